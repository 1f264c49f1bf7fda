"""The budget of file descriptors: how many connections there may be, and which one closes first when none is left.

Connections to clients, connections to hosts and lingering closes share the descriptors that the process does not need
itself. A lingering close waits for the peer's end (see :class:`~sprucepost.loop.Transport`). A part of the descriptors is
reserved for them; they may use more while nobody else needs it, and the oldest are cut off when a descriptor is wanted. So
no connection is opened or accepted without a descriptor, and one is always left for discovery and for reading the
configuration.

============================== ==========================================================================
descriptors                    used for
============================== ==========================================================================
``OWN_DESCRIPTORS``            the process itself
1 / ``CLOSING_DIVISOR`` of all lingering closes, which may use more while connections do not need it
the others                     connections to clients and hosts
============================== ==========================================================================
"""

from __future__ import annotations

import resource
from collections.abc import Callable

from sprucepost.loop import Transport

OWN_DESCRIPTORS = 12
"""Three standard streams, three of the loop, the listener, discovery, the configuration file, one connection that is
accepted and not decided on yet, and two that the parent process may have left open."""
OWN_DIVISOR = 8  # with a limit too small for that, the process keeps this share of it
CLOSING_DIVISOR = 16
SHARE_DIVISOR = 3  # clients and hosts each have this share of the limit guaranteed


def descriptor_limit(configured: int) -> int:
    """The number of descriptors to use: as configured, but no more than the system allows."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft_limit == resource.RLIM_INFINITY else min(configured, soft_limit)


class Descriptors:
    """Divides ``limit`` descriptors; ``connections`` returns the number of connections without those that are closing."""

    def __init__(self, limit: int, connections: Callable[[], int]) -> None:
        self._connections = connections
        self.guaranteed_share = limit // SHARE_DIVISOR
        self._for_connections_and_closes = limit - min(OWN_DESCRIPTORS, limit // OWN_DIVISOR)
        self._max_connections = self._for_connections_and_closes - limit // CLOSING_DIVISOR
        self._closing: dict[Transport, None] = {}  # oldest close first

    @property
    def closing(self) -> int:
        """The number of lingering closes."""
        return len(self._closing)

    def available(self) -> int:
        """How many more connections there may be; negative where there are too many."""
        return self._max_connections - self._connections()

    def close(self, transport: Transport, on_closed: Callable[[], None] = lambda: None) -> None:
        """Close a connection that ``connections`` counts no longer; a lingering close is counted here until it is done.

        ``on_closed`` is called then.
        """
        transport.close()
        if transport.socket_closed:
            on_closed()
            return
        self._closing[transport] = None

        def closed() -> None:
            self._closing.pop(transport, None)
            on_closed()

        transport.on_socket_closed = closed

    def reclaim(self) -> None:
        """Cut off the oldest lingering closes until one more connection fits. Called before a connection is opened."""
        while self._closing and self._connections() + len(self._closing) >= self._for_connections_and_closes:
            next(iter(self._closing)).end_linger()
