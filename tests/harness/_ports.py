"""Ports of a test's processes: each play holds a shard of them for itself."""

from __future__ import annotations

import fcntl
import os
import pathlib
import socket
import tempfile

from coppercleat.errors import CoppercleatError

SHARD_VARIABLE = "COPPERCLEAT_TEST_SHARD"
"""The environment variable that gives a play its shard; see tools/behave_shards.py."""

SHARDS = 22
PORTS_PER_SHARD = 1000
_LOWEST_PORT = 10_000
_PORT_OF_SHARD_0 = 20_000
"""Further shards follow, and after the highest port come those from the lowest on. All
lie below the kernel's own range for connections."""


class ShardHeldError(CoppercleatError):
    """Another play holds the shard.

    Attributes:
      shard: Its number.
      holder: Process id of that play.
    """

    kind = "test_shard_held"
    default_remedy = (
        f"Wait for its end, give {SHARD_VARIABLE} another shard, or leave the variable "
        "out: the play then takes the highest shard that is free."
    )

    def __init__(self, shard: int, holder: int) -> None:
        super().__init__(
            f"shard {shard} of the tests' ports is held by process {holder}"
        )
        self.shard = shard
        self.holder = holder


class NoShardFreeError(CoppercleatError):
    """Other plays hold all shards."""

    kind = "no_test_shard_free"
    default_remedy = "Wait for the end of one of them, and run fewer side by side."


class Shard:
    """A range of ports that this process holds until its end.

    Attributes:
      number: From 0 on.
      first_port: The lowest port.
    """

    def __init__(self, number: int) -> None:
        """Takes the shard.

        Raises:
          ShardHeldError: Another process has it.
        """
        self.number = number
        self.first_port = first_port(number)
        if not hold(lock_file(number)):
            raise ShardHeldError(number, holder_of(number))
        self._last_port = self.first_port

    def free_port(self) -> int:
        """Returns a port at which nothing listens; not the same again soon."""
        while True:
            offset = self._last_port + 1 - self.first_port
            self._last_port = self.first_port + offset % PORTS_PER_SHARD
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", self._last_port))
                except OSError:
                    continue
                return self._last_port


def first_port(shard: int) -> int:
    """Returns the lowest port of a shard."""
    before = _PORT_OF_SHARD_0 - _LOWEST_PORT + shard * PORTS_PER_SHARD
    return _LOWEST_PORT + before % (SHARDS * PORTS_PER_SHARD)


def shard_of(port: int) -> int:
    """Returns the shard that a port belongs to."""
    return (port - _PORT_OF_SHARD_0) // PORTS_PER_SHARD % SHARDS


def hold(path: pathlib.Path) -> bool:
    """Locks a file until the end of this process; returns whether no other has it.

    The lock belongs to an open file that no child inherits, so that the kernel frees it
    when this process ends, in whatever way.
    """
    file = os.open(path, os.O_RDWR | os.O_CREAT, 0o666)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(file)
        return False
    os.truncate(file, 0)
    os.write(file, str(os.getpid()).encode())
    return True


def hold_suite_shards() -> bool:
    """Takes the lowest shards for a suite; returns whether no other suite has them."""
    return hold(pathlib.Path(tempfile.gettempdir()) / "coppercleat-suite.lock")


def lock_file(shard: int) -> pathlib.Path:
    """Returns the file whose lock holds a shard."""
    return pathlib.Path(tempfile.gettempdir()) / f"coppercleat-shard-{shard}.lock"


def holder_of(shard: int) -> int:
    """Returns the process id of the play that took a shard last, 0 for none."""
    try:
        return int(lock_file(shard).read_text() or 0)
    except FileNotFoundError:
        return 0


def take_shard(wanted: str | None) -> Shard:
    """Takes the shard that is given, or the highest that is free.

    The lowest ones are for a suite.

    Raises:
      ShardHeldError: Another play has the one that is given.
      NoShardFreeError: Other plays have all.
    """
    if wanted is not None:
        return Shard(int(wanted) % SHARDS)
    for number in reversed(range(SHARDS)):
        try:
            return Shard(number)
        except ShardHeldError:
            continue
    raise NoShardFreeError(f"all {SHARDS} shards of the tests' ports are held")


_shards: list[Shard] = []
"""The shard of this process, once it has asked for a port."""


def own_shard() -> Shard:
    """Returns the shard of this process, and takes it first if it has none."""
    if not _shards:
        _shards.append(take_shard(os.environ.get(SHARD_VARIABLE)))
    return _shards[0]


def free_port() -> int:
    """Returns a port that no other play takes and at which nothing listens now."""
    return own_shard().free_port()
