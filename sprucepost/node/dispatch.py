"""When attempts are sent: at the end of a turn, right after a look at all sockets. No sockets of its own.

A client that closes its connection or cancels its request has gone, and by the acceptance's term an attempt that begins more
than 0.1 s later breaks the rules. Its bytes may come on any of its connections while the decision module is at work (a batch
takes up to 50 ms on a third of a core) or while the sockets are read. So an attempt is written and flushed in one step, and
only while the latest look at all sockets is younger than ``LOOK_AGE_MS``; otherwise the sockets are looked at again first.

The look costs one system call for all attempts of a turn where nothing has come, however many sockets are open. There is one
run a turn, so that timers are not kept waiting by attempts that follow from what its looks have read.

====================================== =====================================================================
an attempt that                        goes out
====================================== =====================================================================
can be written                         at this turn's end; at the next one's where this turn's has passed
is to be written on a look too old     after another look, in the same run
finds no look young enough             in the next turn: what comes in takes all time there is
has a client that is not caught up     in the next turn, when more of that client's bytes have been read
====================================== =====================================================================
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Generic, TypeVar

from sprucepost.loop import Loop

# A quarter of the 100 ms of the acceptance's term. The margin: a process on a third of a core may be stopped for two thirds
# of the system's period of 100 ms right before the bytes leave; 25 + 67 ms still keep the term, with 8 ms for the way.
POLL_AGE_MAX_MS = 25.0

T = TypeVar("T")


class Dispatcher(Generic[T]):
    """Calls ``serve`` for each destination that was added; it writes as long as :attr:`may_write` says so."""

    def __init__(self, loop: Loop, serve: Callable[[T], None], counters: Counter[str]) -> None:
        self._loop, self._serve, self._counters = loop, serve, counters
        self._due: dict[T, None] = {}
        self._postponed: dict[T, None] = {}
        self._scheduled = False
        self._serving = False
        self._last_run = -1  # the turn of it

    def __contains__(self, destination: T) -> bool:
        """Whether it is to be served."""
        return destination in self._due or destination in self._postponed

    @property
    def may_write(self) -> bool:
        """Whether an attempt may be written, and flushed, now."""
        return self._serving and self._loop.since_poll_ms <= POLL_AGE_MAX_MS

    def add(self, destination: T) -> None:
        """Serve it at the turn's end, after a look."""
        self._due[destination] = None
        self._schedule()

    def postpone(self, destination: T) -> None:
        """Serve it in the next turn."""
        self._postponed[destination] = None
        self._schedule()

    def _schedule(self) -> None:
        if self._scheduled:
            return
        self._scheduled = True
        if self._last_run == self._loop.turns:
            self._loop.call_soon(lambda: self._loop.at_turn_end(self._run))
        else:
            self._loop.at_turn_end(self._run)

    def _run(self) -> None:
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
