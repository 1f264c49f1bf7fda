"""Periodic health checks of a placer's port, which detect times in which its process was not scheduled.

A slow answer to a health check means that the process got no CPU time. This is the checkers' only way to tell a placer
that is late from one that was starved by the machine: the placer's own logs are no evidence, and its recorded traffic
looks the same in both cases.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from sprucepost.loop import Address, Co, Loop, TimedOut, sleep
from sprucepost.wire.client import ClientConnection, open_client
from sprucepost.wire.status import RpcError

HEALTH_CHECK_PATH = "/grpc.health.v1.Health/Check"
PROBE_INTERVAL_MS = 100.0
SLOW_ANSWER_MS = 50.0  # a slower answer is recorded


def probe(loop: Loop, address: Address, placer: str, note: Callable[[str, dict[str, Any]], None]) -> Co[None]:
    """Check the placer's health until cancelled, and record ``placer_starved`` for each slow answer.

    ``since`` is the wall-clock time of the request in ms; the event's own time is that of the answer.
    """
    while True:
        connection: ClientConnection | None = None
        try:
            connection = yield from open_client(loop, address, 1000.0)
            while True:
                since, began = time.time() * 1000.0, loop.now()
                yield from connection.unary(HEALTH_CHECK_PATH, b"", timeout_ms=30_000.0)
                if loop.now() - began > SLOW_ANSWER_MS:
                    note("placer_starved", {"placer": placer, "since": since})
                yield from sleep(PROBE_INTERVAL_MS)
        except (OSError, RpcError, TimedOut):
            yield from sleep(PROBE_INTERVAL_MS)
        finally:
            if connection is not None:
                connection.close()
