"""When attempts are sent: at the end of a loop turn, right after a poll of all sockets. Has no sockets of its own.

A client leaves by closing its connection or by cancelling its request. The platform counts an attempt that begins more than
0.1 s later as a violation. The bytes of a client that leaves may arrive on any of its connections while the decision module
runs (a batch takes up to 50 ms on a third of a core) or while the sockets are read. So an attempt is written and flushed in
one step, and only while the latest poll of all sockets is younger than ``POLL_AGE_MAX_MS``; otherwise the sockets are polled
again first.

A poll that finds nothing costs one system call for all attempts of a turn, however many sockets are open. There is one run
per turn, so that attempts that follow from what a run has read do not delay timers.

======================================== ===================================================================
an attempt that                          is sent
======================================== ===================================================================
can be written                           at the end of this turn, or of the next one if this run is over
needs a newer poll                       after another poll, in the same run
cannot get a poll that is new enough     in the next turn: reading the sockets takes all the time there is
has a client with unread input           in the next turn, when more of that client's bytes have been read
======================================== ===================================================================
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Generic, TypeVar

from sprucepost.loop import Loop

# A quarter of the 100 ms that the platform allows. A process on a third of a core may be throttled for two thirds of the
# system's period of 100 ms right before the bytes leave: 25 + 67 ms stay below 100 ms, with 8 ms left for the network.
POLL_AGE_MAX_MS = 25.0

T = TypeVar("T")


class Dispatcher(Generic[T]):
    """Calls ``serve`` for each destination that was added; ``serve`` writes only while :attr:`may_write` is true."""

    def __init__(self, loop: Loop, serve: Callable[[T], None], counters: Counter[str]) -> None:
        self._loop, self._serve, self._counters = loop, serve, counters
        self._due: dict[T, None] = {}
        self._postponed: dict[T, None] = {}
        self._scheduled = False
        self._serving = False
        self._last_run = -1  # the turn of the last run

    def __contains__(self, destination: T) -> bool:
        """Whether the destination waits to be served."""
        return destination in self._due or destination in self._postponed

    @property
    def may_write(self) -> bool:
        """Whether an attempt may be written, and flushed, now."""
        return self._serving and self._loop.since_poll_ms <= POLL_AGE_MAX_MS

    def add(self, destination: T) -> None:
        """Serve the destination at the turn's end, after a poll of the sockets."""
        self._due[destination] = None
        self._schedule()

    def postpone(self, destination: T) -> None:
        """Serve the destination in the next turn."""
        self._postponed[destination] = None
        self._schedule()

    def _schedule(self) -> None:
        """Have one run at the end of this turn, or of the next one if this turn's run is over."""
        if self._scheduled:
            return
        self._scheduled = True
        if self._last_run == self._loop.turns:
            self._loop.call_soon(lambda: self._loop.at_turn_end(self._run))
        else:
            self._loop.at_turn_end(self._run)

    def _run(self) -> None:
        """Serve all destinations, polling the sockets again whenever the latest poll is too old."""
        self._last_run = self._loop.turns
        self._due |= self._postponed
        self._postponed = {}
        while self._due:
            if not self._loop.poll_until_fresh(POLL_AGE_MAX_MS):
                self._counters["dispatch_held"] += 1
                break
            due, self._due = self._due, {}
            self._serve_all(due)
        self._scheduled = False
        if self._due or self._postponed:
            self._schedule()

    def _serve_all(self, due: dict[T, None]) -> None:
        self._serving = True
        try:
            for destination in due:
                self._serve(destination)
        finally:
            self._serving = False
