"""Keeps the configuration in force current, from the platform and from peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import trio

from coppercleat.configuration import (
    Applied,
    Change,
    ConfigurationStore,
    Document,
    Operation,
    Snapshot,
)
from coppercleat.errors import PlatformUnavailableError
from coppercleat.ids import Revision
from coppercleat.observability import Metrics, part_logger
from coppercleat.storage import AnswerLostError, paced

_POLL_S = 2.0
_POLLS_PER_S = 50.0

_log = part_logger("configuration")


class ConfigurationKeeper:
    """Adopts newer revisions only, whoever brings them.

    Attributes:
      document: The configuration in force.
      source: Where the latest revision came from: nowhere, platform or peers.
      changed: Set and replaced at each new revision, for those who watch.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        *,
        metrics: Metrics,
        rng: random.Random,
        live_instances: Callable[[], int],
        on_adopted: Callable[[list[Change]], None],
    ) -> None:
        self.store = store
        self.document = Document()
        self.source = "nowhere"
        self.changed = trio.Event()
        self._metrics = metrics
        self._rng = rng
        self._live_instances = live_instances
        self._on_adopted = on_adopted
        self._loaded = False

    @property
    def loaded(self) -> bool:
        """Whether a configuration has been read from anywhere."""
        return self._loaded

    async def run(self) -> None:
        """Polls the platform until cancelled."""
        while True:
            await self.poll()
            pause_s = paced(_POLL_S, self._live_instances(), _POLLS_PER_S)
            await trio.sleep(pause_s * self._rng.uniform(0.75, 1.25))

    async def poll(self) -> None:
        """Adopts what the platform has that is newer."""
        before = self.document.revision
        try:
            await self.store.catch_up(self.document)
        except PlatformUnavailableError:
            return
        self._loaded = True
        if self.source == "nowhere":
            self.source = "platform"
        self._announce(before, "platform")

    async def apply(
        self,
        operations: Sequence[Operation],
        *,
        seen: Revision,
        change_id: str,
        author: str,
        dry_run: bool,
    ) -> Applied:
        """Accepts a change or refuses it whole; see ``ConfigurationStore``."""
        before = self.document.revision
        try:
            return await self.store.apply(
                self.document,
                operations,
                seen=seen,
                change_id=change_id,
                author=author,
                dry_run=dry_run,
            )
        except AnswerLostError as error:
            error.remedy = "Send the same change again, with the same change_id."
            raise
        finally:
            self._announce(before, "platform")

    def adopt_changes(self, changes: Sequence[Change]) -> None:
        """Adopts changes that a peer has sent."""
        before = self.document.revision
        self.document.adopt_changes(changes)
        self._announce(before, "peers")

    def adopt_snapshot(self, snapshot: Snapshot) -> None:
        """Adopts a snapshot that a peer has sent."""
        before = self.document.revision
        self.document.adopt_snapshot(snapshot)
        self._loaded = True
        self._announce(before, "peers")

    def _announce(self, before: Revision, source: str) -> None:
        if self.document.revision == before:
            return
        self._loaded = True
        self.source = source
        self.changed.set()
        self.changed = trio.Event()
        self._metrics.revision.set({}, self.document.revision)
        _log.info("Revision in force.", revision=self.document.revision, source=source)
        self._on_adopted(self.document.changes_after(before) or [])
