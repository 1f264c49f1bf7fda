"""The order in which the messages of owners are handled: connections take turns, and each turn is bounded.

What a connection has sent is handled in *visits* of bounded cost. A connection with messages left after its visit joins
the backlog and is not read meanwhile, so that its peer has to wait; the backlog is served round robin, for a bounded part of
each turn of the loop. So a connection that sends faster than its messages can be handled delays itself, and the others by
one visit each turn.

======================== ============================================= ==================================================
a connection             after a visit                                 is read and visited
======================== ============================================= ==================================================
without messages left    leaves the backlog                            when a poll of the sockets finds input
with messages left       joins the end of the backlog                  not read; visited in its turn, in the time of the
                                                                       backlog
======================== ============================================= ==================================================
"""

from __future__ import annotations

from collections.abc import Callable

from sprucepost.loop import Loop
from sprucepost.node.binary import Kind, Message
from sprucepost.node.framing import MAX_MESSAGE_BYTES
from sprucepost.node.owner_link import OwnerLink

READ_BYTES = MAX_MESSAGE_BYTES  # of one read: any message fits, and more would only wait in the process
SET_UP_COST = 8  # a set-up costs about as much as that many other messages
VISIT_COST = 64
VISIT_MS = 1.0
READ_COST_PER_TURN = 10 * VISIT_COST  # of the visits that follow reads
# A quarter of the age that a poll may have when an attempt is sent (see ``dispatch``): sockets are polled in time.
BACKLOG_TURN_MS = 6.0
BACKLOG_VISITS_PER_TURN = 64
BUSY_FOR_MS = 1000.0  # how long a connection that has left the backlog may have to join it without a visit


class OwnerInput:
    """Handles the messages of all owners' connections.

    ``handle`` is called for each message, and ``visited`` after each visit of a connection, with whether messages are left.
    """

    def __init__(
        self, loop: Loop, handle: Callable[[OwnerLink, Message], None], visited: Callable[[OwnerLink, bool], None]
    ) -> None:
        self._loop, self._handle, self._visited = loop, handle, visited
        # The connection whose turn is next comes first. Those that join without a visit alternate with the others: what they
        # bring is not known yet, and others may have to wait for it.
        self._backlog: dict[OwnerLink, None] = {}
        self._unvisited: dict[OwnerLink, None] = {}
        self._scheduled = False
        self._turn = self._turn_cost = 0  # a turn of the loop, and what visits after reads have cost in it

    def receive(self, link: OwnerLink, data: bytes) -> None:
        """Handle what has been read on a connection, as far as one visit goes.

        Once visits have cost their share of this turn of the loop, connections that have been in the backlog a short time
        ago, or have not sent a message yet, join it without a visit.
        """
        link.decoder.add(data)
        link.read_at, link.read_waited_ms = self._loop.now(), link.transport.waited_ms
        if self._turn != self._loop.turns:
            self._turn, self._turn_cost = self._loop.turns, 0
        if self._turn_cost >= READ_COST_PER_TURN and link.decoder.has_next():
            is_busy = not link.has_sent_message or link.read_at - link.left_backlog_at < BUSY_FOR_MS
            if is_busy:
                self._queue(link, self._unvisited)
                return
        self._turn_cost += self.visit(link)

    def visit(self, link: OwnerLink) -> int:
        """Handle messages of that connection until none is left or the visit has cost its share; return what it has cost."""
        cost, ends_at = 0, 0.0
        while (message := link.decoder.next_message()) is not None:
            self._handle(link, message)
            cost += SET_UP_COST if message.kind == Kind.SETUP else 1
            if link.closed:
                return cost
            if not link.decoder.buffered_bytes or cost >= VISIT_COST:
                break
            now = self._loop.now()
            ends_at = ends_at or now + VISIT_MS
            if now >= ends_at:
                break
        has_more = link.decoder.buffered_bytes > 0 and link.decoder.has_next()
        if has_more:
            self._queue(link, self._backlog)
        elif link.is_queued:
            self.discard(link)
            link.transport.resume()
        self._visited(link, has_more)
        return cost

    def _queue(self, link: OwnerLink, backlog: dict[OwnerLink, None]) -> None:
        """Add a connection to the backlog; it is not read meanwhile."""
        link.transport.pause()
        link.is_queued = True
        backlog[link] = None
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._serve_backlog)

    def discard(self, link: OwnerLink) -> None:
        """Forget a connection: it has no messages left, or they are not to be handled."""
        if link.is_queued:
            self._backlog.pop(link, None)
            self._unvisited.pop(link, None)
            link.is_queued, link.left_backlog_at = False, self._loop.now()

    def _serve_backlog(self) -> None:
        """Visit the connections of the backlog in turn for as long as this turn of the loop allows."""
        ends_at = self._loop.now() + BACKLOG_TURN_MS
        for number in range(BACKLOG_VISITS_PER_TURN):
            if self._loop.now() >= ends_at:
                break
            first, second = (self._backlog, self._unvisited) if number % 2 else (self._unvisited, self._backlog)
            link = next(iter(first or second), None)
            if link is None:
                break
            self._backlog.pop(link, None)
            self._unvisited.pop(link, None)
            self.visit(link)
        self._scheduled = bool(self._backlog or self._unvisited)
        if self._scheduled:
            self._loop.call_soon(self._serve_backlog)
