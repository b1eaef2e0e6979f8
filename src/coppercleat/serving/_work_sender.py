"""Sends an instance's work in flight, its zone's sums, and what it passes on."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec
import trio

from coppercleat.accounts import Allowances
from coppercleat.ids import InstanceId
from coppercleat.membership import Detector, MessageKind, Messenger
from coppercleat.observability import part_logger
from coppercleat.serving._account_load import AccountLoadReport
from coppercleat.serving._fleet_order import QueuedWork
from coppercleat.serving._peer_messages import (
    AttemptResultsReport,
    WorkInFlight,
    ZoneWorkInFlight,
)
from coppercleat.serving._peer_recipients import PeerRecipients
from coppercleat.serving._relay_pacer import RelayPacer
from coppercleat.serving._reported_work import ReportedWork
from coppercleat.serving._settings import GatewaySettings
from coppercleat.serving._stream_origins import (
    BegunStreams,
    StreamBatch,
    StreamOrigins,
)
from coppercleat.serving._work_counts import InFlight

_ZONE_REPORT_INTERVAL_S = 0.3
"""Interval between the counts of a zone; other zones rarely use its upstreams."""

_BATCHING_DELAY_S = 0.03
"""Finished attempts are reported together after this delay, started ones at once."""

_log = part_logger("peers")


class WorkSender:
    """Sends counts when they change, and for the zone while this instance speaks.

    Attributes:
      sent_at: When the counts were last sent, in seconds of this instance's clock.
      has_waiting: Returns whether work is queued at this instance.
      waiting: Returns the queued work of this instance.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        messenger: Messenger,
        detector: Detector,
        reported: ReportedWork,
        origins: StreamOrigins,
        *,
        has_waiting: Callable[[], bool],
        waiting: Callable[[], tuple[QueuedWork, ...]],
    ) -> None:
        self.sent_at = float("-inf")
        self.has_waiting = has_waiting
        self.waiting = waiting
        self._settings = settings
        self._messenger = messenger
        self._detector = detector
        self._reported = reported
        self._origins = origins
        self._placement = reported.placement
        self._allowances: Allowances = reported.allowances
        self._relay = reported.relay
        self._recipients = PeerRecipients(detector, reported.placement)
        self._zone_streams = StreamBatch()
        self._number = 0
        self._speaks = False
        self._last_sent: tuple[tuple[InFlight, ...], tuple[QueuedWork, ...]] = ((), ())
        self._changed = trio.Event()
        self._urgent = trio.Event()
        self._relay_pacer = RelayPacer()
        self._relay.on_pending = self._relay_pacer.schedule

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the tasks that send until cancelled."""
        nursery.start_soon(self._send_counts_on_change)
        nursery.start_soon(self._send_zone_counts)
        nursery.start_soon(self._relay_forever)

    def work_changed(self, *, urgent: bool) -> None:
        """Schedules a message about changed work in flight or queued.

        In a small fleet every change is urgent while work is queued anywhere.

        Args:
          urgent: Whether to skip the batching delay. Started attempts are urgent, since
            peers would otherwise take the same slot.
        """
        self._changed.set()
        if urgent or (self._recipients.hears_few() and self._slots_are_scarce()):
            self._urgent.set()

    def _slots_are_scarce(self) -> bool:
        return bool(self._placement.peer_queues) or self.has_waiting()

    def send_to(self, instance: InstanceId) -> None:
        """Sends this instance's work in flight to a peer that may not know it."""
        self._messenger.send(instance, self._own_work().on_wire())

    def send_relayed_to(self, instance: InstanceId, now: float) -> None:
        """Sends a new instance of the zone what others have asked to pass on."""
        is_here = self._detector.zone_of(instance) == self._settings.zone
        if is_here and self._recipients.is_speaker(now):
            relayed = self._relay.snapshot(now=now)
            if relayed.works and self._recipients.is_relayed(now):
                self._messenger.send(instance, relayed.on_wire())

    def send_results(self) -> None:
        """Sends attempt results within the availability zone.

        A network fault may concern an upstream's connections from one zone only.
        """
        results = tuple(self._placement.take_unreported_results())
        if not results:
            return
        now = trio.current_time()
        if not self._recipients.is_relayed(now):
            for instance in self._recipients.here(now):
                self._messenger.send(instance, AttemptResultsReport(results))
            return
        # Only one speaker passes them on, since they would be counted twice.
        speaker = self._detector.speakers(now)[0]
        if speaker == self._settings.instance:
            self._relay.observe_results(speaker, results)
        else:
            self._messenger.send(speaker, AttemptResultsReport(results, pass_on=True))

    def collect_streams(
        self, sender: InstanceId, streams: tuple[BegunStreams, ...], now: float
    ) -> None:
        """Keeps streams of the own zone to pass them on, if this instance speaks."""
        if not streams or self._recipients.tells_all(now):
            return
        if not self._recipients.is_speaker(now):
            return
        if self._detector.zone_of(sender) == self._settings.zone:
            self._zone_streams.add(streams)
            if self._recipients.is_relayed(now):
                self._relay.observe_streams(streams)

    def log_speakers(self, now: float) -> None:
        """Logs when this instance begins or ceases to speak for its zone."""
        tells_all = self._recipients.tells_all(now)
        speakers = () if tells_all else self._detector.speakers(now)
        speaks = self._settings.instance in speakers
        if speaks != self._speaks:
            self._speaks = speaks
            _log.info("Speakers of the zone changed.", speaks=speaks, speakers=speakers)

    async def _send_counts_on_change(self) -> None:
        while True:
            await self._changed.wait()
            with trio.move_on_after(_BATCHING_DELAY_S):
                await self._urgent.wait()
            self._changed = trio.Event()
            started = self._urgent.is_set()
            self._urgent = trio.Event()
            now = self.sent_at = trio.current_time()
            self._send_counts(self._recipients.of_counts(now, started=started))

    def _send_counts(self, instances: Iterable[InstanceId]) -> None:
        """Sends this instance's work in flight, as routine if nothing has changed."""
        work = self._own_work()
        now = trio.current_time()
        if work.pass_on and self._recipients.is_speaker(now):
            incarnation = self._detector.own.incarnation
            self._relay.observe(self._settings.instance, incarnation, work, now=now)
        previous, self._last_sent = self._last_sent, (work.counts, work.waiting)
        is_same = previous == self._last_sent
        kind = MessageKind.ROUTINE if is_same else MessageKind.NEWS
        speakers = self._detector.speakers(now)
        streams = self._origins.take_untold(now=now)
        self.collect_streams(self._settings.instance, streams, now)
        work = msgspec.structs.replace(work, streams=streams)
        direct = msgspec.structs.replace(work, pass_on=False)
        for instance in instances:
            message = work if instance in speakers else direct
            self._messenger.send(instance, message.on_wire(), kind=kind)

    def _own_work(self) -> WorkInFlight:
        now = trio.current_time()
        self._number += 1
        return WorkInFlight(
            tuple(self._placement.own_in_flight()),
            self.waiting(),
            self._placement.demand.own_rates(now=now),
            self._number,
            self._recipients.is_relayed(now),
            self._allowances.own_use(now=now),
            account_load=self._own_account_load(),
        )

    def _own_account_load(self) -> AccountLoadReport:
        if not self._settings.overload.fair_shares:
            return AccountLoadReport()
        return self._placement.account_load.own_report()

    def _zone_account_load(self) -> AccountLoadReport:
        if not self._settings.overload.fair_shares:
            return AccountLoadReport()
        return self._reported.zone_account_load()

    async def _send_zone_counts(self) -> None:
        """Sends this zone's work to the others while this instance speaks for it."""
        while True:
            await trio.sleep(_ZONE_REPORT_INTERVAL_S)
            now = trio.current_time()
            if self._recipients.tells_all(now):
                continue
            speakers = self._detector.speakers(now)
            if self._settings.instance not in speakers:
                continue
            here = self._recipients.here(now)
            zone_work = ZoneWorkInFlight(
                self._settings.zone,
                tuple(self._placement.own_zone_in_flight()),
                self._placement.demand.combined_rates(here, now=now),
                self._allowances.zone_use(here, now=now),
                self._zone_streams.take(),
                self._zone_account_load(),
            ).on_wire()
            place = speakers.index(self._settings.instance)
            for speaker in self._recipients.speakers_elsewhere(place, now):
                self._messenger.send(speaker, zone_work, kind=MessageKind.ROUTINE)

    async def _relay_forever(self) -> None:
        """Passes on what others have asked this instance to pass on."""
        while True:
            now = await self._relay_pacer.wait_until_due()
            relayed = self._relay.take(now=now)
            if relayed is None:
                continue
            message = relayed.on_wire()
            for instance in self._recipients.here(now):
                self._messenger.send(instance, message, kind=MessageKind.ROUTINE)
