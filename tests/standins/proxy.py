"""A fault-injecting TCP proxy: many links, each open, cut or swallowing."""

from __future__ import annotations

from typing import Any

import msgspec
import trio

from tests.standins.control import Controlled, arguments, run_standin, start

_READ_BYTES = 65_536


class Link(msgspec.Struct, kw_only=True):
    """One link.

    Attributes:
      target: ``IP:PORT`` to connect to.
      cut: Refuse new connections and close open ones.
      swallow: Pass nothing on towards the target; connections stay open, and those
        that have lost something pass nothing more that way.
      mute: Pass nothing back; the same.
      delay_s: Added to each part, each way.
      silence: Grows by one to pass nothing more on, either way, on the connections
        that are open at that moment; new ones work.
    """

    target: str
    cut: bool = False
    swallow: bool = False
    mute: bool = False
    delay_s: float = 0.0
    silence: int = 0


class Knobs(msgspec.Struct, kw_only=True):
    """Links by the port that they listen on."""

    links: dict[int, Link] = msgspec.field(default_factory=dict)


class Proxy(Controlled):
    """Runs the links."""

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__(Knobs())
        self.nursery = nursery
        self.listening: set[int] = set()
        self.open: dict[int, set[trio.SocketStream]] = {}
        self.silences: dict[int, int] = {}
        self.silent: set[trio.SocketStream] = set()

    async def knobs_changed(self, names: set[str]) -> None:
        for port, link in self.knobs.links.items():
            if port not in self.listening:
                self.listening.add(port)
                self.open[port] = set()
                await self.nursery.start(self._listen, port)
            if link.cut:
                for stream in list(self.open[port]):
                    trio.lowlevel.notify_closing(stream.socket)
                    stream.socket.close()
            if link.silence > self.silences.get(port, 0):
                self.silences[port] = link.silence
                self.silent |= self.open[port]

    def report(self) -> dict[str, Any]:
        return {"silent": len(self.silent) // 2}

    async def _listen(self, port: int, task_status: Any) -> None:
        async def handle(stream: trio.SocketStream) -> None:
            await self._handle(port, stream)

        await trio.serve_tcp(handle, port, host="127.0.0.1", task_status=task_status)

    async def _handle(self, port: int, near: trio.SocketStream) -> None:
        link = self.knobs.links[port]
        if link.cut:
            return
        host, _, target = link.target.rpartition(":")
        try:
            far = await trio.open_tcp_stream(host, int(target))
        except OSError:
            return
        streams = {near, far}
        self.open[port] |= streams
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, port, near, far, "swallow", scope)
                nursery.start_soon(self._pump, port, far, near, "mute", scope)
        finally:
            self.open[port] -= streams
            self.silent -= streams
            await trio.aclose_forcefully(near)
            await trio.aclose_forcefully(far)

    async def _pump(
        self, port: int, source: Any, sink: Any, stopper: str, scope: trio.CancelScope
    ) -> None:
        lost = False
        try:
            while data := await source.receive_some(_READ_BYTES):
                link = self.knobs.links[port]
                if link.delay_s:
                    await trio.sleep(link.delay_s)
                # What comes after lost bytes can't be delivered: no network makes a
                # hole in a stream of bytes.
                lost = lost or getattr(link, stopper) or source in self.silent
                if not lost:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


async def main(port: int) -> None:
    """Serves until killed."""
    async with trio.open_nursery() as nursery:
        await run_standin(Proxy(nursery), port)


if __name__ == "__main__":
    start(main, arguments().port)
