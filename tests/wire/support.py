"""A server and raw peers on one event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sprucepost.loop import Address, Co, Scope, Transport, connect, current, in_scope, sleep, within
from sprucepost.loop.epoll import EpollLoop
from sprucepost.wire.connection import Options
from sprucepost.wire.server import Method, Server, ServerCall


class Peer:
    """A raw connection that sends any bytes and keeps the received ones in ``got``."""

    def __init__(self, transport: Transport) -> None:
        self.transport, self.got, self.ended = transport, bytearray(), False
        transport.on_data = self.got.extend
        transport.on_end = self._end
        transport.on_lost = lambda error: self._end()
        transport.start()

    def _end(self) -> None:
        self.ended = True

    def send(self, data: bytes) -> None:
        self.transport.write(data)

    def until_closed(self, limit_ms: float = 3000) -> Co[bytes]:
        """Wait until the other end closes; return all received bytes."""
        yield from wait_for(lambda: self.ended, limit_ms)
        return bytes(self.got)


def wait_for(ready: Callable[[], Any], limit_ms: float = 3000) -> Co[None]:
    """Poll until ``ready`` is true. AssertionError after ``limit_ms``."""
    for _ in range(int(limit_ms / 2)):
        if ready():
            return
        yield from sleep(2)
    raise AssertionError("condition not met in time")


def peer(loop: EpollLoop, address: Address) -> Co[Peer]:
    """Open a raw connection."""
    return Peer((yield from connect(loop, (yield from current()), address, 1000)))


def echo(call: ServerCall) -> None:
    """Send every message back, by callbacks."""
    call.on_message = call.send
    call.on_end = call.finish


def serve(
    body: Callable[[EpollLoop, Server, Address], Co[Any]],
    methods: dict[str, Method] | None = None,
    options: Options | None = None,
) -> Any:
    """Run ``body`` with a server, by default one that echoes, for at most 20 s."""
    loop = EpollLoop(1)

    def main(scope: Scope) -> Co[Any]:
        server = Server(loop, scope, methods or {"/t.T/Echo": Method(attach=echo)}, options)
        address = server.listen(("127.0.0.1", 0))
        try:
            return (yield from within((yield from current()), 20_000, body(loop, server, address)))
        finally:
            server.close()
            scope.cancel()

    try:
        return loop.run(lambda: in_scope(main))
    finally:
        loop.close()
