"""Accepting connections, also when the system has none left to give."""

from __future__ import annotations

from collections.abc import Callable

from sprucepost.loop.core import Address, Listener, Loop, Sock

ACCEPT_MOST = 64  # connections taken in one turn: a storm of them cannot keep those that are open waiting
SHORT_PAUSE_MS = 100.0  # rest after a failed accept: the listener stays readable, so without one the loop would spin


class Acceptor:
    """Gives each new connection of ``listener`` to ``take``.

    Where the system refuses one (EMFILE, ENFILE, ENOBUFS, ENOMEM) the listener rests for a moment: what waits stays in
    the backlog, nothing spins, and accepting goes on by itself. ``short`` counts those rests.
    """

    def __init__(self, loop: Loop, listener: Listener, take: Callable[[Sock], None]) -> None:
        self._loop, self._listener, self._take = loop, listener, take
        self.address: Address = listener.address
        self.short = 0
        self._closed = self._resting = False
        self._resume()

    def rest(self, ms: float) -> None:
        """Leave what comes in the backlog for so long."""
        if not (self._closed or self._resting):
            self._resting = True
            self._loop.watch(self._listener, None, None)
            self._loop.call_later(ms, self._resume)

    def _resume(self) -> None:
        self._resting = False
        if not self._closed:
            self._loop.watch(self._listener, self._readable, None)

    def _readable(self) -> None:
        for _ in range(ACCEPT_MOST):
            try:
                sock = self._listener.accept()
            except OSError:
                self.short += 1
                self.rest(SHORT_PAUSE_MS)
                return
            if sock is None:
                return
            self._take(sock)
            if self._closed or self._resting:
                return
        self._loop.left_unread = True

    def drain(self) -> None:
        """Take all that waits in the backlog, as far as there are descriptors."""
        while not self._closed:
            try:
                sock = self._listener.accept()
            except OSError:
                return
            if sock is None:
                return
            self._take(sock)

    def close(self) -> None:
        """Take no more; what waits in the backlog is reset by the system."""
        if not self._closed:
            self._closed = True
            self._loop.watch(self._listener, None, None)
            self._listener.close()
