"""The HTTP/1.1 server for health and metrics."""

from __future__ import annotations

from typing import Any

import pytest

from sprucepost.loop import Address, Co
from sprucepost.loop.epoll import EpollLoop
from sprucepost.wire.http1 import Http1Server
from sprucepost.wire.server import Server
from tests.wire.support import peer, serve, wait_for

PAGES = {"/healthz": lambda: (200, "text/plain", b"alive\n")}


@pytest.mark.parametrize(
    "request_bytes, first, body",
    [
        (b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 200", b"alive\n"),
        (b"GET /healthz?x=1 HTTP/1.0\r\n\r\n", b"HTTP/1.1 200", b"alive\n"),
        (b"HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 200", b""),
        (b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 404", b"no such page\n"),
        (b"POST /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 405", b"only GET and HEAD\n"),
        (b"\x16\x03\x01 nonsense\r\n\r\n", b"HTTP/1.1 400", b"malformed request\n"),
        (b"GET / HTTP/1.1\r\n" + b"x: " + b"y" * 20_000, b"HTTP/1.1 431", b"malformed request\n"),
    ],
)
def test_response_to_one_request(request_bytes: bytes, first: bytes, body: bytes) -> None:
    def run(loop: EpollLoop, server: Server, address: Address) -> Co[bytes]:
        http = Http1Server(loop, ("127.0.0.1", 0), PAGES)
        caller = yield from peer(loop, http.address)
        caller.send(request_bytes)
        got = yield from caller.until_closed()
        caller.transport.close()
        yield from wait_for(lambda: not http._connections)
        http.close()
        return got

    got: Any = serve(run)
    head, _, rest = got.partition(b"\r\n\r\n")
    assert head.startswith(first) and rest == body
