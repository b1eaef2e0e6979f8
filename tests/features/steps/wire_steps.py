"""Steps for what a client's socket shows of an answer, and of its end."""

import re
import signal
import socket
import threading

from behave import then, when

from tests.harness._gateways import ONCE, RESUMABLE, STREAM

ROUTES = {"stream": STREAM, "resumable": RESUMABLE, "once": ONCE}


def request_bytes(version, route, deadline_ms):
    host, prefix = ROUTES[route]
    return (
        f"POST {prefix}x HTTP/{version}\r\nhost: {host}\r\nrequest-id: request-1\r\n"
        f"deadline-ms: {deadline_ms}\r\ncontent-length: 4\r\n\r\nbody"
    ).encode()


def read_to_end(sock):
    """Returns all bytes, and whether the connection was reset."""
    parts = []
    try:
        while part := sock.recv(65_536):
            parts.append(part)
            if is_whole(b"".join(parts), ended=False):
                break
    except ConnectionResetError:
        return b"".join(parts), True
    return b"".join(parts), False


def is_whole(data, *, ended):
    """Whether an answer is whole, as its head says that its body is framed."""
    head, blank, body = data.partition(b"\r\n\r\n")
    head = head.lower()
    if not blank:
        return False
    if b"transfer-encoding: chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    if length := re.search(rb"content-length: (\d+)", head):
        return len(body) == int(length[1])
    return ended


def call(context, version, route, deadline_ms):
    port = context.fleet.ports["gateway-1"]["front"]
    with socket.create_connection(("127.0.0.1", port), timeout=20) as sock:
        sock.sendall(request_bytes(version, route, deadline_ms))
        context.data, context.reset = read_to_end(sock)


@when("a client of HTTP/{version} sends a {route} request and reads to the end")
def read_answer(context, version, route):
    call(context, version, route, 5000)


@when(
    "a client of HTTP/{version} sends a stream request and reads to the end, "
    "time is up after 1 s"
)
def read_until_time_is_up(context, version):
    call(context, version, "stream", 1000)


@when(
    "a client of HTTP/{version} sends a stream request and reads to the end, "
    "gateway stops after 1 s"
)
def read_until_stopped(context, version):
    process = context.fleet.processes["gateway-1"]
    timer = threading.Timer(1.0, process.signal, [signal.SIGTERM])
    timer.start()
    call(context, version, "stream", 60_000)
    timer.join()


@then("by its own framing the answer is {end}")
def framed_as(context, end):
    success = context.data.partition(b"\r\n")[0].split()[1:2] == [b"200"]
    whole = is_whole(context.data, ended=not context.reset)
    if end == "whole":
        assert success and whole, context.data
    else:
        assert not (success and whole), context.data
