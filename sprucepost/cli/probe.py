"""Asks a placer's port again and again whether anybody is there: where the answer takes long, the process had no processor.

That is the checkers' only way to tell a placer that is late from one that the machine gave no time to: its own logs are not
evidence, and the bytes at the tap are the same.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from sprucepost.loop import Address, Co, Loop, TimedOut, sleep
from sprucepost.wire.client import ClientConnection, open_client
from sprucepost.wire.status import RpcError

PATH = "/grpc.health.v1.Health/Check"
EVERY_MS = 100.0
LONG_MS = 50.0  # an answer that takes longer is noted


def probe(loop: Loop, address: Address, placer: str, note: Callable[[str, dict[str, Any]], None]) -> Co[None]:
    """For ever; ``note("placer_starved", ...)`` with wall-clock ``since``; the note's own time is the answer's."""
    while True:
        connection: ClientConnection | None = None
        try:
            connection = yield from open_client(loop, address, 1000.0)
            while True:
                since, began = time.time() * 1000.0, loop.now()
                yield from connection.unary(PATH, b"", timeout_ms=30_000.0)
                if loop.now() - began > LONG_MS:
                    note("placer_starved", {"placer": placer, "since": since})
                yield from sleep(EVERY_MS)
        except (OSError, RpcError, TimedOut):
            yield from sleep(EVERY_MS)
        finally:
            if connection is not None:
                connection.close()
