"""Stand-in for a plain service: answers a call, and counts what it ran."""

from __future__ import annotations

from typing import Any

import msgspec
import trio

from coppercleat.asgi import read_body, send_part, start_response
from tests.standins.control import Controlled, arguments, run_standin, start


class Knobs(msgspec.Struct, kw_only=True):
    """What a test can set.

    Attributes:
      wait_s: Seconds that each call takes.
      lose_next: So many further calls run and give no answer.
      cross_next: So many further answers carry another request's id.
      refuse: Refuse calls as not run.
    """

    wait_s: float = 0.0
    lose_next: int = 0
    cross_next: int = 0
    refuse: bool = False


class LostError(Exception):
    """Ends a call without an answer."""


class ServiceStandin(Controlled):
    """Answers ``ran N: BODY``."""

    def __init__(self, name: str) -> None:
        super().__init__(Knobs())
        self.name = name
        self.ran: list[str] = []

    def report(self) -> dict[str, Any]:
        return {"ran": self.ran}

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        body = await read_body(receive)
        request_id = dict(scope["headers"]).get(b"x-request-id", b"").decode()
        if self.knobs.refuse:
            await start_response(send, 503, b"application/json", request_id)
            await send_part(send, b'{"not_run": true}', more=False)
            return
        self.ran.append(body.decode())
        await trio.sleep(self.knobs.wait_s)
        if self.knobs.lose_next > 0:
            self.knobs.lose_next -= 1
            raise LostError
        if self.knobs.cross_next > 0:
            self.knobs.cross_next -= 1
            request_id = "other"
        await start_response(send, 200, b"text/plain", request_id)
        answer = f"ran {len(self.ran)}: ".encode() + body
        await send_part(send, answer, more=False)


async def main(options: Any) -> None:
    """Serves until killed."""
    await run_standin(ServiceStandin(options.name), options.port)


if __name__ == "__main__":
    start(main, arguments("name"))
