"""Accepting connections, also when the system has none left to give."""

from __future__ import annotations

from collections.abc import Callable

from sprucepost.loop.core import Address, Listener, Loop, Sock

ACCEPT_MOST = 64  # connections taken in one turn: a storm of them cannot keep those that are open waiting
SHORT_PAUSE_MS = 100.0  # rest after a failed accept: the listener stays readable, so without one the loop would spin
DRAIN_PAUSE_MS = 20.0  # between tries to drain the backlog while the system has no connection to give
DRAIN_TRIES = 10  # 0.2 s: a stop leaves that much after the last connection may have come


class Acceptor:
    """Gives each new connection of ``listener`` to ``take``.

    Where the system refuses one (EMFILE, ENFILE, ENOBUFS, ENOMEM) the listener rests for a moment: what waits stays in
    the backlog, nothing spins, and accepting goes on by itself. ``failed_accepts`` counts those rests.
    """

    def __init__(self, loop: Loop, listener: Listener, take: Callable[[Sock], None]) -> None:
        self._loop, self._listener, self._take = loop, listener, take
        self.address: Address = listener.address
        self.failed_accepts = 0
        self._closed = self._resting = False
        self._resume()

    def pause(self, ms: float) -> None:
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
                self.failed_accepts += 1
                self.pause(SHORT_PAUSE_MS)
                return
            if sock is None:
                return
            self._take(sock)
            if self._closed or self._resting:
                return
        self._loop.left_unread = True

    def drain(self, then: Callable[[], None]) -> None:
        """Take all that waits in the backlog, then call ``then``; where the system has none to give it is asked again, as
        often as ``DRAIN_TRIES``."""
        self._drain(then, DRAIN_TRIES)

    def _drain(self, then: Callable[[], None], tries: int) -> None:
        while not self._closed:
            try:
                sock = self._listener.accept()
            except OSError:
                if tries:
                    self.failed_accepts += 1
                    self._loop.call_later(DRAIN_PAUSE_MS, lambda: self._drain(then, tries - 1))
                    return
                break
            if sock is None:
                break
            self._take(sock)
        then()

    def close(self) -> None:
        """Take no more; what waits in the backlog is reset by the system."""
        if not self._closed:
            self._closed = True
            self._loop.watch(self._listener, None, None)
            self._listener.close()
