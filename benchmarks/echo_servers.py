"""Echo servers on this project's wire and on grpc.aio, for comparison.

Each is run as ``python -m benchmarks.echo_servers KIND`` and prints its port.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import grpc

from sprucepost.loop import Co, Scope, in_scope, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.wire.connection import Options
from sprucepost.wire.server import Method, Server, ServerCall


def _echo(call: ServerCall) -> None:
    call.on_message = call.send
    call.on_end = call.finish


def ours() -> None:
    loop = EpollLoop()

    def main(scope: Scope) -> Co[None]:
        methods = {"/b.B/Stream": Method(attach=_echo), "/b.B/Unary": Method(attach=_echo)}
        address = Server(loop, scope, methods, Options(max_streams=1000)).listen(("127.0.0.1", 0))
        print(address[1], flush=True)
        yield from sleep(600_000)

    loop.run(lambda: in_scope(main))


def aio() -> None:
    async def stream(requests: Any, context: Any) -> Any:
        async for request in requests:
            yield request

    async def unary(request: bytes, context: Any) -> bytes:
        return request

    async def main() -> None:
        server = grpc.aio.server()
        handlers = {
            "Stream": grpc.stream_stream_rpc_method_handler(stream),
            "Unary": grpc.unary_unary_rpc_method_handler(unary),
        }
        server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("b.B", handlers),))
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        print(port, flush=True)
        await asyncio.sleep(600)

    asyncio.run(main())


if __name__ == "__main__":
    {"ours": ours, "aio": aio}[sys.argv[1]]()
