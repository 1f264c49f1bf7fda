"""Accepting connections, including when the system has no resources for another one."""

from __future__ import annotations

from collections.abc import Callable

from sprucepost.loop.core import Address, Listener, Loop, Sock

MAX_ACCEPTS_PER_TURN = 64  # a burst of new connections must not starve the established ones
FAILED_ACCEPT_PAUSE_MS = 100.0  # after a failed accept the listener stays readable: without a pause the loop would spin
DRAIN_RETRY_MS = 20.0  # between attempts to drain the backlog while the system refuses connections
MAX_DRAIN_RETRIES = 10  # 0.2 s in all: a shutdown leaves that much after the last connection may have arrived


class Acceptor:
    """Passes each new connection of ``listener`` to ``on_connection``.

    When the system cannot create one (EMFILE, ENFILE, ENOBUFS, ENOMEM) the listener is not polled for a moment: pending
    connections stay in the backlog, the loop does not spin, and accepting resumes by itself. ``failed_accepts`` counts
    these failures.
    """

    def __init__(self, loop: Loop, listener: Listener, on_connection: Callable[[Sock], None]) -> None:
        self._loop, self._listener, self._on_connection = loop, listener, on_connection
        self.address: Address = listener.address
        self.failed_accepts = 0
        self._closed = self._paused = False
        self._resume()

    def pause(self, ms: float) -> None:
        """Leave new connections in the backlog for ``ms``."""
        if not (self._closed or self._paused):
            self._paused = True
            self._loop.watch(self._listener, None, None)
            self._loop.call_later(ms, self._resume)

    def _resume(self) -> None:
        self._paused = False
        if not self._closed:
            self._loop.watch(self._listener, self._readable, None)

    def _readable(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock = self._listener.accept()
            except OSError:
                self.failed_accepts += 1
                self.pause(FAILED_ACCEPT_PAUSE_MS)
                return
            if sock is None:
                return
            self._on_connection(sock)
            if self._closed or self._paused:
                return
        self._loop.left_unread = True

    def drain(self, on_drained: Callable[[], None]) -> None:
        """Accept every connection in the backlog, then call ``on_drained``.

        A failed accept is retried up to ``MAX_DRAIN_RETRIES`` times.
        """
        self._drain(on_drained, MAX_DRAIN_RETRIES)

    def _drain(self, on_drained: Callable[[], None], retries: int) -> None:
        while not self._closed:
            try:
                sock = self._listener.accept()
            except OSError:
                if retries:
                    self.failed_accepts += 1
                    self._loop.call_later(DRAIN_RETRY_MS, lambda: self._drain(on_drained, retries - 1))
                    return
                break
            if sock is None:
                break
            self._on_connection(sock)
        on_drained()

    def close(self) -> None:
        """Stop accepting and close the listener; the system resets the connections left in the backlog."""
        if not self._closed:
            self._closed = True
            self._loop.watch(self._listener, None, None)
            self._listener.close()
