"""Stand-in for a runner that answers each request with bytes of its own.

An answer that ends with ``<reset>`` is followed by a reset of the connection, other
than to calls that only look whether it is there.
"""

from __future__ import annotations

import re
import socket
import struct

import trio

from tests.standins.control import arguments, start

_RESET = b"<reset>"
_RESET_AFTER_S = 0.2
"""A reset that follows at once may discard what has been sent."""


def _whole(request: bytes) -> bool:
    """Whether a request has come to the end of its body."""
    head, end, body = request.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    return bool(end) and len(body) >= (int(length[1]) if length else 0)


async def main(port: int, answer: str) -> None:
    """Serves until killed."""
    data = answer.encode().decode("unicode_escape").encode("latin-1")

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            request = b""
            while not _whole(request):
                part = await stream.receive_some(65_536)
                if not part:
                    return
                request += part
            await stream.send_all(data.removesuffix(_RESET))
            if data.endswith(_RESET) and request.startswith(b"POST"):
                await trio.sleep(_RESET_AFTER_S)
                linger = struct.pack("ii", 1, 0)
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                stream.socket.close()
            else:
                await stream.send_eof()

    await trio.serve_tcp(serve, port, host="127.0.0.1")


if __name__ == "__main__":
    options = arguments("answer")
    start(main, options.port, options.answer)
