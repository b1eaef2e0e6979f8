"""Runs a gateway instance as a process, and stops it without a cut."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Protocol

import trio

from coppercleat.gateway._gateway import Gateway
from coppercleat.observability import part_logger
from coppercleat.serving import LEAVE_TIMEOUT_S, GatewaySettings
from coppercleat.startup_objects import leave_out_startup_objects

UNREADY_S = 2.5
"""Time for which new connections still come after the instance says that it is not
ready: it is asked once a second and leaves the rotation after two misses."""

GRACE_MARGIN_S = 0.8
"""Kept of the grace period for the end of the process itself."""

_POLL_S = 0.02

_log = part_logger("gateway")


class GatewayEdges(Protocol):
    """The ports of a gateway instance."""

    async def serve(
        self,
        gateway: Gateway,
        *,
        shutdown: Callable,
        graceful_s: float,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves clients and readiness until ``shutdown`` returns and all is done."""
        ...

    def reload(self) -> GatewaySettings:
        """Reads the settings again."""
        ...


async def run_gateway(gateway: Gateway, edges: GatewayEdges) -> None:
    """Runs an instance until a signal stops it."""
    settings = gateway.settings
    speed = gateway.peers.detector.own.speed
    _log.info("Starting.", instance=settings.instance, boot=gateway.boot, speed=speed)
    listening_over = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.run)
        async with trio.open_nursery() as serving:
            serving.start_soon(
                _handle_signals, gateway, edges, listening_over, serving.cancel_scope
            )
            await serving.start(_serve, gateway, edges, listening_over.wait)
            gateway.startup_objects = leave_out_startup_objects()
        nursery.cancel_scope.cancel()
    _log.info("Stopped.", instance=settings.instance, boot=gateway.boot)


async def _serve(
    gateway: Gateway,
    edges: GatewayEdges,
    shutdown: Callable,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    graceful_s = gateway.settings.grace_s - UNREADY_S - GRACE_MARGIN_S
    await edges.serve(
        gateway,
        shutdown=shutdown,
        graceful_s=max(1.0, graceful_s),
        task_status=task_status,
    )


async def _handle_signals(
    gateway: Gateway,
    edges: GatewayEdges,
    listening_over: trio.Event,
    serving: trio.CancelScope,
) -> None:
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        # Blocked since the start of the process; one that has come is delivered now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        async for number in signals:
            if number == signal.SIGHUP:
                _reload(gateway, edges)
                continue
            break
        _log.info("Stopping.", in_flight=gateway.in_flight)
        await _stop(gateway, listening_over)
        serving.cancel()


def _reload(gateway: Gateway, edges: GatewayEdges) -> None:
    """Takes what may change while the process runs; the rest needs a restart."""
    try:
        settings = edges.reload()
    except Exception as error:  # noqa: BLE001 - a bad file leaves the old settings
        _log.error("The settings could not be read again.", reason=str(error))
        return
    gateway.settings = settings
    gateway.watch.settings = settings
    _log.info("Settings read again.", seeds=len(settings.seeds))


async def _stop(gateway: Gateway, listening_over: trio.Event) -> None:
    """Stops in order: no new clients, no jobs, then what is in flight ends."""
    began = trio.current_time()
    gateway.stopping = True
    ends_at = began + gateway.settings.grace_s - GRACE_MARGIN_S
    gateway.admission.queue.shedder.shutdown_at = ends_at
    # Others take over what could not be released, once they know of the stop.
    with trio.move_on_after(UNREADY_S - LEAVE_TIMEOUT_S):
        await gateway.worker.release_jobs()
    await gateway.watch.leave()
    await trio.sleep_until(began + UNREADY_S)
    listening_over.set()
    while gateway.in_flight and trio.current_time() < ends_at:
        await trio.sleep(_POLL_S)
    _log.info("Drained.", left=gateway.in_flight)
