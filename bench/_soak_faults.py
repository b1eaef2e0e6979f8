"""Plays the faults of a schedule against a fleet."""

from __future__ import annotations

import contextlib
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import httpcore
import msgspec
import trio

from bench._soak_healing import HEALTHY_STORE, insist
from bench._soak_record import FaultPlayed, Record, RecordedGateways
from bench._soak_schedule import (
    AnyFault,
    ConfigurationChanges,
    ConnectionsSilent,
    GatewayPaused,
    GatewayReloads,
    GatewaysKilled,
    GatewayStopped,
    HistoryLost,
    OwnerKilled,
    RunnerFaulty,
    RunnerGrey,
    RunnerLeaves,
    StoreAway,
    StoreLosesAnswers,
    StoreSilent,
    StoreSlow,
    StreamsNotResumed,
    WayHarmed,
)
from coppercleat.errors import CoppercleatError

STOP_S = 12.0
"""A gateway that is stopped as planned has ended after this time."""

_ALL_HISTORY = 10**9
_ROW_S = 0.5
_NETWORK = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
_HEALTHY_WAY = {"cut": False, "swallow": False, "mute": False, "delay_s": 0.0}
_HEALTHY = {"store": HEALTHY_STORE | {"dropped_before": 0, "lose_table": ""}}

Player = Callable[["FaultPlayer", Any], Awaitable[None]]
PLAYERS: dict[type, Player] = {}
"""How a fault is played, by its type."""

_P = TypeVar("_P", bound=Player)


def plays(*kinds: type) -> Callable[[_P], _P]:
    """Registers how faults of these types are played."""

    def register(player: _P) -> _P:
        PLAYERS.update(dict.fromkeys(kinds, player))
        return player

    return register


class FaultPlayer:
    """Plays faults that may overlap.

    What several faults set at one target is merged: a fault that ends leaves the others
    as they are, and of two that set the same the later one holds.
    """

    def __init__(self, fleet: RecordedGateways, record: Record) -> None:
        self.fleet = fleet
        self.record = record
        self._set: dict[str, list[dict[str, Any]]] = {}
        self._setting = trio.Lock()

    async def play(self, fault: AnyFault) -> None:
        """Plays one fault, and keeps when, and which processes it hit."""
        played = FaultPlayed(fault=fault, began_unix_s=time.time())
        self.record.faults.append(played)
        await PLAYERS[type(fault)](self, fault)
        played.ended_unix_s = time.time()

    async def have(self, target: str, for_s: float, **knobs: Any) -> None:
        """Sets something at the store, a way or a runner for a while."""
        layers = self._set.setdefault(target, [])
        layers.append(knobs)
        await self._apply(target, set(knobs))
        await trio.sleep(for_s)
        layers.remove(knobs)
        await self._apply(target, set(knobs))

    async def _apply(self, target: str, names: set[str]) -> None:
        async with self._setting:
            merged: dict[str, Any] = {}
            for layer in self._set[target]:
                merged |= layer
            if target.startswith("way "):
                harm = _HEALTHY_WAY | merged
                await self.fleet.link(target.removeprefix("way "), **harm)
                return
            healthy = _HEALTHY.get(target, {"silent": False, "fail_every": 0})
            values = {name: merged.get(name, healthy.get(name, 0)) for name in names}
            await self.fleet.control(target, **values)

    def hit(self, fault: AnyFault, name: str) -> None:
        """Keeps which process a fault hit, and when."""
        for played in self.record.faults:
            if played.fault is fault:
                played.hits.append((name, time.time()))

    def kill(self, fault: AnyFault, name: str) -> None:
        """Kills a gateway."""
        self.hit(fault, name)
        self.record.expect_end(name)
        self.fleet.processes[name].kill()

    async def owner_of(self, job: str) -> str:
        """Returns the gateway that owns a job; "" if it is not known.

        The job's row says so, or else, where the store does not answer, it is the one
        that told a client last that the job is accepted.
        """
        with contextlib.suppress(CoppercleatError), trio.move_on_after(_ROW_S):
            rows = await self.fleet.rows_of_job(job)
            row = rows.get(f"job/{job}", {}).get("value", {"owner": ""})
            return row["owner"].partition("/")[0]
        accepted = [c for c in self.record.calls if (c.of, c.status) == (job, 202)]
        return accepted[-1].gateway if accepted else ""

    def start_again(self, name: str) -> None:
        """Starts a gateway, unless another fault has done so."""
        if not self.fleet.processes[name].running:
            self.fleet.start_gateway(name)


@plays(StoreAway)
async def _store_away(player: FaultPlayer, fault: StoreAway) -> None:
    await player.have("store", fault.for_s, outage=True)


@plays(StoreSilent)
async def _store_silent(player: FaultPlayer, fault: StoreSilent) -> None:
    await player.have("store", fault.for_s, hang=True)


@plays(StoreSlow)
async def _store_slow(player: FaultPlayer, fault: StoreSlow) -> None:
    await player.have("store", fault.for_s, latency_s=fault.latency_s)


@plays(StoreLosesAnswers)
async def _store_loses_answers(player: FaultPlayer, fault: StoreLosesAnswers) -> None:
    await player.have(
        "store",
        fault.for_s,
        lose_share=fault.share,
        late_effect_s=fault.late_effect_s,
        lose_table=fault.table,
    )


@plays(HistoryLost)
async def _history_lost(player: FaultPlayer, fault: HistoryLost) -> None:
    await player.have("store", fault.for_s, dropped_before=_ALL_HISTORY)


@plays(WayHarmed)
async def _way_harmed(player: FaultPlayer, fault: WayHarmed) -> None:
    harm = {name: getattr(fault, name) for name in _HEALTHY_WAY}
    set_ones = {name: value for name, value in harm.items() if value}
    await player.have(f"way {fault.way}", fault.for_s, **set_ones)


@plays(ConnectionsSilent)
async def _connections_silent(player: FaultPlayer, fault: ConnectionsSilent) -> None:
    for pause_s in fault.pauses_s:
        await player.fleet.silence(list(fault.ways))
        await trio.sleep(pause_s)


@plays(GatewaysKilled)
async def _gateways_killed(player: FaultPlayer, fault: GatewaysKilled) -> None:
    for time_number, down_s in enumerate(fault.down_s):
        if time_number:
            await trio.sleep(fault.up_s)
        for name in fault.gateways:
            player.kill(fault, name)
        await trio.sleep(down_s)
        for name in fault.gateways:
            player.start_again(name)


@plays(OwnerKilled)
async def _owner_killed(player: FaultPlayer, fault: OwnerKilled) -> None:
    name = await player.owner_of(fault.job)
    if name in player.fleet.names:
        player.kill(fault, name)
        await trio.sleep(fault.down_s)
        player.start_again(name)


@plays(GatewayPaused)
async def _gateway_paused(player: FaultPlayer, fault: GatewayPaused) -> None:
    process = player.fleet.processes[fault.gateway]
    process.signal(signal.SIGSTOP)
    await trio.sleep(fault.for_s)
    process.signal(signal.SIGCONT)


@plays(GatewayStopped)
async def _gateway_stopped(player: FaultPlayer, fault: GatewayStopped) -> None:
    process = player.fleet.processes[fault.gateway]
    if not process.running:
        return
    player.hit(fault, fault.gateway)
    player.record.expect_end(fault.gateway)
    process.signal(signal.SIGTERM)
    with trio.move_on_after(STOP_S):
        while process.running:
            await trio.sleep(0.05)
    if process.running:
        player.record.problems.append(f"{fault.gateway} does not stop")
        process.kill()
    player.start_again(fault.gateway)


@plays(GatewayReloads)
async def _gateway_reloads(player: FaultPlayer, fault: GatewayReloads) -> None:
    player.fleet.processes[fault.gateway].signal(signal.SIGHUP)


@plays(RunnerFaulty)
async def _runner_faulty(player: FaultPlayer, fault: RunnerFaulty) -> None:
    knobs = msgspec.to_builtins(fault)
    for name in ("kind", "number", "at_s", "for_s", "runner"):
        del knobs[name]
    knobs = {name: value for name, value in knobs.items() if value}
    if "silent" in knobs:
        await player.have(fault.runner, fault.for_s, silent=True)
        return
    if "cut_next" in knobs:
        knobs |= {"cut_after": fault.cut_after, "torn": True}
    await player.fleet.control(fault.runner, **knobs)


@plays(StreamsNotResumed)
async def _streams_not_resumed(player: FaultPlayer, fault: StreamsNotResumed) -> None:
    knobs = {"cut_next": 30, "cut_after": fault.cut_after}
    for name in player.fleet.runners:
        await player.fleet.control(name, resume_status=fault.status, **knobs)
    await trio.sleep(fault.for_s)
    for name in player.fleet.runners:
        await player.fleet.control(name, resume_status=0, cut_next=0)


@plays(RunnerGrey)
async def _runner_grey(player: FaultPlayer, fault: RunnerGrey) -> None:
    await player.have(fault.runner, fault.for_s, fail_every=fault.fail_every)


@plays(RunnerLeaves)
async def _runner_leaves(player: FaultPlayer, fault: RunnerLeaves) -> None:
    fleet, name = player.fleet, fault.runner
    await insist(lambda: fleet.list_runner(name, state="draining"))
    await trio.sleep(fault.drains_s)
    await insist(lambda: fleet.unlist_runner(name))
    await trio.sleep(fault.drains_s)
    await insist(lambda: fleet.list_runner(name))


@plays(ConfigurationChanges)
async def _configuration_changes(
    player: FaultPlayer, fault: ConfigurationChanges
) -> None:
    for _ in range(fault.versions):
        await insist(player.fleet.apply_config)
        await trio.sleep(0.1)
