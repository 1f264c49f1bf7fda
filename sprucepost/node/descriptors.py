"""The process's file descriptors: how many connections there may be, and which of them ends first where none is left.

Connections of three sorts share what the process does not need itself. A part of it is kept for closes that linger (a
close waits for the peer's end, see :class:`~sprucepost.loop.Transport`); closes may use more than that as long as nobody
else does, and those that have lasted longest end at once when the descriptor of one is wanted. So no connection is
opened or taken without a descriptor, and one is always left for discovery and for reading the configuration.

============================== ==========================================================================
descriptors                    for
============================== ==========================================================================
``OWN``                        the process itself
a ``CLOSING_PART``'th of all   closes that linger, and more where connections leave it
the others                     connections to clients and hosts
============================== ==========================================================================
"""

from __future__ import annotations

import resource
from collections.abc import Callable

from sprucepost.loop import Transport

OWN = 12
"""Three standard streams, three of the loop, the listener, discovery, the configuration's file, a connection that has been
accepted and not been decided on, and two that whoever started the process may have left open."""
OWN_PART = 8  # of a limit too small for that, the part that is kept
CLOSING_PART = 16
SHARE_PART = 3  # the part that connections to hosts, and clients' connections, may have whatever the others want


def descriptor_limit(configured: int) -> int:
    """How many descriptors there may be: as the configuration says, and no more than the system grants."""
    granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if granted == resource.RLIM_INFINITY else min(configured, granted)


class Descriptors:
    """``limit`` descriptors; ``connections`` counts those connections that are not ending."""

    def __init__(self, limit: int, connections: Callable[[], int]) -> None:
        self._connections = connections
        self.guaranteed_share = limit // SHARE_PART
        self._shared = limit - min(OWN, limit // OWN_PART)
        self._most = self._shared - limit // CLOSING_PART
        self._closing: dict[Transport, None] = {}  # in the order in which they began to close

    @property
    def closing(self) -> int:
        """How many connections hold a descriptor while they end."""
        return len(self._closing)

    def available(self) -> int:
        """How many connections there may be more; below zero where there are too many."""
        return self._most - self._connections()

    def close(self, transport: Transport) -> None:
        """A connection that counts no longer is closed; while its close lingers, its descriptor is accounted for here."""
        transport.close()
        if not transport.socket_closed:
            self._closing[transport] = None
            transport.on_socket_closed = lambda: self._forget(transport)

    def reclaim(self) -> None:
        """Before a connection is added: end the longest closes until there is a descriptor for it."""
        while self._closing and self._connections() + len(self._closing) >= self._shared:
            next(iter(self._closing)).end_linger()

    def _forget(self, transport: Transport) -> None:
        self._closing.pop(transport, None)
