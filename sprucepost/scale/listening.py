"""Free ports for processes whose configuration must name the port before they listen.

A port that the system has chosen for a listener may be taken by an outgoing connection as soon as the listener is
closed: in a run that opens hundreds of connections, one node in some dozens found its port in use. The ports are
therefore drawn from below the ephemeral range, from which the system takes the ports of connections.
"""

from __future__ import annotations

from pathlib import Path

from sprucepost.loop import Address, Loop
from sprucepost.scale.processes import ScaleError

FIRST_PORT = 10_000
MAX_TRIES = 100
LOOPBACK = "127.0.0.1"


def ephemeral_ports() -> tuple[int, int]:
    """The first and the last port of the range for connections and for listeners that name no port."""
    first, last = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
    return first, last


def free_address(loop: Loop) -> Address:
    """An address on which no process listens, outside the ephemeral range. Raises ScaleError if none is found."""
    span = ephemeral_ports()[0] - FIRST_PORT
    if span < MAX_TRIES:
        raise ScaleError(f"no ports between {FIRST_PORT} and those that the system gives to connections")
    for _ in range(MAX_TRIES):
        port = FIRST_PORT + int.from_bytes(loop.token(4), "big") % span
        try:
            loop.listen((LOOPBACK, port)).close()
        except OSError:
            continue
        return LOOPBACK, port
    raise ScaleError(f"no free port after {MAX_TRIES} tries")
