"""Whether a fleet's ports are held by its own processes, as the kernel tells."""

from __future__ import annotations

import os
import pathlib
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from tests.harness._ports import holder_of, shard_of
from tests.harness._processes import Process

_AGAIN_S = 0.05
"""A process that ends while it is looked at seems to hold a port no more."""

_LISTEN = "0A"
"""A listening socket's state in /proc/net/tcp."""


@attrs.frozen
class PortUse:
    """What a fleet's port is for.

    Attributes:
      name: Whose port it is, and for what.
      pid: The process that is to listen there; 0 while there is none.
    """

    name: str
    port: int
    pid: int


class PortHolder:
    """A fleet that looks who holds its ports.

    Attributes:
      processes: Its processes by name.
      started: All that were ever started, in order.
      disturbances: Which ports other processes were seen to hold, in words.
    """

    def __init__(self) -> None:
        self.processes: dict[str, Process] = {}
        self.started: list[Process] = []
        self.disturbances: list[str] = []

    def port_uses(self) -> list[PortUse]:
        """Returns all ports that have been given out, with who is to listen there."""
        raise NotImplementedError

    def add_process(self, process: Process) -> None:
        """Takes a process that was started, in the place of an earlier one."""
        self.processes[process.name] = process
        self.started.append(process)

    def pid(self, name: str) -> int:
        """Returns the id of a process, 0 if it does not run."""
        process = self.processes.get(name)
        return process.popen.pid if process is not None and process.running else 0

    def note_foreign_listeners(self) -> list[str]:
        """Looks who holds the ports; returns what was found, now or before."""
        for found in foreign_listeners(self.port_uses):
            if found not in self.disturbances:
                self.disturbances.append(found)
        return self.disturbances


def foreign_listeners(uses: Callable[[], Iterable[PortUse]]) -> list[str]:
    """Returns in words which ports are held by processes other than they should be.

    A port at which nothing listens is nobody's: its process may be dead or starting.

    Args:
      uses: Returns the ports as they are now.
    """
    first = _held_by_others(uses())
    if not first:
        return []
    time.sleep(_AGAIN_S)
    return [_told(use) for use in _held_by_others(uses()) if use in first]


def port_states(uses: Callable[[], Iterable[PortUse]]) -> list[dict[str, Any]]:
    """Returns for each port who is to listen there and who does."""
    others, listeners = set(foreign_listeners(uses)), _listeners()
    states = []
    for use in uses():
        holder = "its own process" if use.port in listeners else "nobody"
        if _told(use) in others:
            holder = f"another process; shard held by {holder_of(shard_of(use.port))}"
        states.append(attrs.asdict(use) | {"listens": holder})
    return states


def _told(use: PortUse) -> str:
    return (
        f"port {use.port} of {use.name} is held by a process that is not of this play: "
        "what the play saw may be that process's doing"
    )


def _held_by_others(uses: Iterable[PortUse]) -> list[PortUse]:
    listeners = _listeners()
    own: dict[int, set[str]] = {}
    found = []
    for use in uses:
        if use.port not in listeners:
            continue
        if use.pid not in own:
            own[use.pid] = _sockets(use.pid)
        if not listeners[use.port] & own[use.pid]:
            found.append(use)
    return found


def _listeners() -> Mapping[int, set[str]]:
    """Returns the inodes of listening sockets by port."""
    found: dict[int, set[str]] = {}
    for table in ("/proc/net/tcp", "/proc/net/tcp6"):
        path = pathlib.Path(table)
        if not path.exists():
            continue
        for line in path.read_text().splitlines()[1:]:
            fields = line.split()
            if fields[3] == _LISTEN:
                port = int(fields[1].rpartition(":")[2], 16)
                found.setdefault(port, set()).add(fields[9])
    return found


def _sockets(pid: int) -> set[str]:
    """Returns the inodes of the sockets that a process and its children have."""
    if not pid:
        return set()
    found = set()
    try:
        for descriptor in pathlib.Path(f"/proc/{pid}/fd").iterdir():
            try:
                link = os.readlink(descriptor)
            except FileNotFoundError:
                continue
            if link.startswith("socket:["):
                found.add(link.removeprefix("socket:[").removesuffix("]"))
        for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
            for child in (task / "children").read_text().split():
                found |= _sockets(int(child))
    except (FileNotFoundError, ProcessLookupError, PermissionError):
        pass  # It has ended meanwhile.
    return found
