"""The server in its own process, for clients that block."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

from sprucepost.loop import Co, Scope, in_scope, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.wire.connection import Options
from sprucepost.wire.health import SERVING, Health
from sprucepost.wire.reflection import Reflection
from sprucepost.wire.server import Server
from tests.interop.service import METHODS


def _serve(loop: EpollLoop, scope: Scope) -> Co[None]:
    health = Health()
    health.set("", SERVING)
    methods = {**METHODS, **health.methods(), **Reflection(["grpc.testing.TestService"]).methods()}
    server = Server(loop, scope, methods, Options(max_message_bytes=8 * 1024 * 1024, keepalive_ms=500.0))
    address = server.listen(("127.0.0.1", 0))
    print(address[1], flush=True)
    yield from sleep(120_000)


@contextmanager
def our_server() -> Iterator[str]:
    """Run the server in a process and yield its address."""
    process = subprocess.Popen([sys.executable, "-m", "tests.interop.serving"], stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        yield f"127.0.0.1:{int(process.stdout.readline())}"
    finally:
        process.kill()
        process.wait()


if __name__ == "__main__":
    main = EpollLoop()
    main.run(lambda: in_scope(lambda scope: _serve(main, scope)))
