"""Connections of owners: set-ups arrive on them, answers and releases are sent on them.

A connection is *proven* once it has brought a set-up that was admitted. Its state and deadline are in ``connection_states``.
A placed task belongs to no connection, but its release needs one, and an owner does not open a connection to receive it, so
some connections are *kept* for it. The cost of such connections is bounded: the owners' share is a third of the descriptors.

============================= ==================================================
a connection                  when a new connection needs a descriptor
============================= ==================================================
with an open set-up           stays open
kept                          stays open; the new connection is rejected
proven                        closed after the unproven ones, longest idle first
unproven                      closed first
============================= ==================================================

Each connection is polled once more before it is closed: the platform counts bytes that have arrived unread as received.
What crosses the close is sent again by its owner. For that the owner must see an end of stream and not a reset, which may
overtake data sent earlier, so a close lingers.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable

from sprucepost.loop import Acceptor, Co, Listener, Loop, Sock, Transport, sleep
from sprucepost.node.attempt import OwnerPort, SetUpResult
from sprucepost.node.binary import Kind, Message
from sprucepost.node.client_shares import has_share_left
from sprucepost.node.connection_states import ConnectionState, EndReason, Review, is_kept, review
from sprucepost.node.delivery import WrittenMessage
from sprucepost.node.descriptors import Descriptors
from sprucepost.node.framing import LINGER_MS
from sprucepost.node.log import Log
from sprucepost.node.owner_input import READ_BYTES, OwnerInput
from sprucepost.node.owner_link import OwnerLink
from sprucepost.node.owner_releases import OwedRelease, OwnerReleases
from sprucepost.node.parsing import InvalidSetUp, SetUpParser
from sprucepost.node.releases import CAUSE_REFUSED
from sprucepost.node.tasks import Tasks

ARRIVAL_GRACE_MS = 50.0  # data in flight when a connection is accepted, or crossing its close, arrives within that time
MIN_OPEN_TASKS = 4  # set-ups that each connection may have open, however many there are in all
STOP_READ_MS = 50.0  # for handling what has arrived on all connections before the process ends
CLOSE_POLL_MS = 5.0  # interval of the checks whether all connections have ended
LINGERING = ("ended", "idle", "stopped", "useless", "unanswered")
ENDED_BY_PEER = ("ended", "lost")
# Ends for what the peer has sent, or not sent: the peer gets the outcome of its open set-ups first.
ENDED_FOR_INPUT = ("useless", "malformed", "cut")


def _closing_order(link: OwnerLink) -> tuple[bool, float]:
    """Sort key of idle connections to close: unproven ones first, then the longest idle first."""
    return link.proven, link.used


class Owners:
    """Connections of all owners."""

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        tasks: Tasks,
        parser: SetUpParser,
        descriptors: Descriptors,
        max_connections: int,
        max_open_tasks: int,
        idle_ms: float,
        log: Log,
        counters: Counter[str],
    ) -> None:
        self.loop, self._tasks, self._parser, self.log, self.counters = loop, tasks, parser, log, counters
        self._descriptors, self._max_connections, self._max_open_tasks, self._idle_ms = (
            descriptors,
            max_connections,
            max_open_tasks,
            idle_ms,
        )
        self.free_other_connection: Callable[[], bool] = lambda: False  # closes an idle connection to a host
        self.links: dict[OwnerLink, None] = {}
        self.placed_by_owner: Counter[str] = Counter()  # number of placed tasks by owner address
        self._unread_links: dict[OwnerLink, None] = {}  # a read may have left input behind on these
        self._pruned_at_poll = -1  # number of the poll after which connections without unread input were dropped there
        self.fails_health_checks = False  # owners then stop sending set-ups
        self.refuses_set_ups = False  # set-ups that arrive now are refused
        self.releases = OwnerReleases(loop, self.links.keys(), log, counters)
        self._first_messages = 0  # number of connections that have brought a message so far
        self._input = OwnerInput(loop, self._on_message, self._after_visit)
        self._acceptor = Acceptor(loop, listener, self._accept_connection)

    # Connections

    @property
    def accepts_failed(self) -> int:
        """How often the system had no descriptor to accept a waiting connection."""
        return self._acceptor.failed_accepts

    def _accept_connection(self, sock: Sock) -> None:
        if not self._free_slot():
            self.counters["owners_turned_away"] += 1
            sock.close(reset=True)
            return
        self._descriptors.reclaim()
        link = OwnerLink(self, Transport(self.loop, sock), self.loop.now())
        link.transport.linger_ms, link.transport.max_read_bytes = LINGER_MS, READ_BYTES
        self.links[link] = None
        link.transport.on_data = lambda data: self._on_data(link, data)
        link.transport.on_end = lambda: self.disconnect(link, "ended")
        link.transport.on_lost = lambda error: self._lose(link)
        link.transport.on_linger_data = lambda data: self._on_late_data(link, data)
        link.transport.start()
        self.log("owner_accepted", peer=link.transport.peer, connections=len(self.links))
        if self.loop.polling_mid_turn:  # input that has arrived on the new connection belongs to this poll
            link.transport.read_now()
        self._delay_accepting()

    def _free_slot(self) -> bool:
        """Return whether a new connection may be accepted, after closing an idle one if descriptors are short.

        Unproven connections past their grace time are closed first, then idle connections to hosts, then any idle
        connection of an owner.
        """
        if len(self.links) >= self._max_connections:
            return self._close_idle()
        return (
            self._descriptors.available() > 0
            or self._close_idle(lambda link: not (link.proven or self._in_arrival_grace(link)))
            or self.free_other_connection()
            or self._close_idle()
        )

    def _in_arrival_grace(self, link: OwnerLink) -> bool:
        """Return whether the input for which the connection was opened may still be in flight."""
        return self.loop.now() - link.used < ARRIVAL_GRACE_MS

    def _delay_accepting(self) -> None:
        """Stop accepting for a while if the next connection could only replace one that has just been accepted.

        The next connection waits in the listen backlog. Otherwise peers that reconnect as soon as they are closed
        would displace other owners before their set-ups have arrived. While owners hold less than their share of the
        descriptors there is no wait, because idle connections to hosts are closed for them.
        """
        within_share = len(self.links) < self._descriptors.guaranteed_share
        if len(self.links) < self._max_connections and (within_share or self._descriptors.available() > 0):
            return
        idle = [link for link in self.links if not (link.open or link.placed_tasks)]
        if not idle:
            return
        wait = min(idle, key=_closing_order).used + ARRIVAL_GRACE_MS - self.loop.now()
        if wait > 0:
            self.counters["owners_awaited"] += 1
            self._acceptor.pause(wait)

    def _close_idle(self, may_close: Callable[[OwnerLink], bool] = lambda link: True) -> bool:
        """Close an idle connection for which ``may_close`` is true; return False if there is none."""
        for _ in range(2):  # input that the first round finds may have been answered by the second
            last_links = self._last_links()
            idle = [
                link
                for link in self.links
                if not (link.open or is_kept(link.facts(is_last_of_owner=link in last_links))) and may_close(link)
            ]
            for link in sorted(idle, key=_closing_order):
                if not self._read_arrived(link):
                    self.disconnect(link, "room")
                if link not in self.links:
                    return True
        return False

    def _last_links(self) -> set[OwnerLink]:
        """Return the connections that are the only ones on which their owners, who have placed tasks, can be told of an end.

        Connections from one address count as those of one owner; where a task has been answered on some, only these count.
        """
        by_owner: defaultdict[str, list[OwnerLink]] = defaultdict(list)
        for link in self.links:
            if link.has_sent_message and link.owner_address in self.placed_by_owner:
                by_owner[link.owner_address].append(link)
        found = set()
        for links in by_owner.values():
            candidates = [link for link in links if link.was_answered] or links
            if len(candidates) == 1:
                found.add(candidates[0])
        return found

    def _read_arrived(self, link: OwnerLink) -> bool:
        """Handle what has arrived on a connection, at most one visit; return whether there was anything.

        A connection that floods has had its visits, and there is always more.
        """
        if link.is_flooding:
            return False
        if link.is_queued:
            self._input.visit(link)
            return True
        return link.transport.read_now()

    def states(self) -> Counter[ConnectionState]:
        """Return the number of connections in each state."""
        last_links = self._last_links()
        return Counter(self._review(link, last_links).state for link in self.links)

    def _review(self, link: OwnerLink, last_links: set[OwnerLink]) -> Review:
        return review(link.facts(is_last_of_owner=link in last_links), self._idle_ms)

    def disconnect(self, link: OwnerLink, why: str) -> None:
        """Close the connection and cancel its open set-ups."""
        if link not in self.links:
            return
        self._record_end(link, why)
        if link.is_queued or why in ENDED_FOR_INPUT:  # what such a peer still sends is not handled
            link.transport.on_linger_data = lambda data: None
        if why in (*ENDED_FOR_INPUT, "unanswered"):
            self._tasks.fail_open(sorted(link.open), f"its connection is ended: {why}")
        link.misused = why in ENDED_FOR_INPUT or why == "unread"
        open_until = self._open_until(link, why)
        is_short_of_descriptors = why in ("room", "silent")  # its descriptor is needed, or it sent nothing useful
        if is_short_of_descriptors and not link.transport.buffered:
            link.transport.linger_ms = 0.0
        # With an answer that was not sent, its task is ended: a peer that still reads is not told otherwise.
        is_given_up = why == "ended" and bool(link.unsent_answers())
        sends_rest = why in LINGERING or (why in ENDED_FOR_INPUT and link.transport.buffered > 0)
        if (sends_rest and not is_given_up) or is_short_of_descriptors:
            total = link.transport.written
            self._descriptors.close(link.transport, lambda: self._closed(link, total, why))
        else:
            link.transport.abort()
        self._remove(link)
        if why in (*ENDED_BY_PEER, *ENDED_FOR_INPUT) or link.transport.socket_closed:
            self._send_again(link, link.releases.undelivered(open_until), why)
        if why in ENDED_BY_PEER or link.transport.socket_closed:
            self._end_unanswered(link)

    def _closed(self, link: OwnerLink, total: int, why: str) -> None:
        """Account for what was left, of ``total`` bytes in all, when this side has closed the connection."""
        if link.transport.sent < total and why not in (*ENDED_BY_PEER, *ENDED_FOR_INPUT):
            self._send_again(link, link.releases.unsent(), why)

    def _send_again(self, link: OwnerLink, releases: list[WrittenMessage[OwedRelease]], why: str) -> None:
        """Send releases again that are in doubt on a connection that has ended."""
        self.releases.send_again([message.content for message in releases], link, why)

    def _end_unanswered(self, link: OwnerLink) -> None:
        """End the tasks whose answers have not been sent on a connection that has ended."""
        for sid in link.unsent_answers():
            self._tasks.answer_unread(sid, link)

    def _lose(self, link: OwnerLink) -> None:
        """Cancel the open set-ups of a connection that broke."""
        if link not in self.links:
            return
        self._record_end(link, "lost")
        open_until = self._open_until(link, "lost")
        self._remove(link)
        self._send_again(link, link.releases.undelivered(open_until), "lost")
        self._end_unanswered(link)

    def _record_end(self, link: OwnerLink, why: str) -> None:
        """Count and log why a connection has ended, and in which state."""
        self.counters[f"owner_{why}"] += 1
        state = self._review(link, self._last_links()).state
        self.log.owner_ended(
            why,
            peer=link.peer,
            state=state.value,
            open=len(link.open) or None,
            standing=link.placed_tasks or None,
            releases_in_doubt=len(link.releases.undelivered(self._open_until(link, why))) or None,
            answers_unsent=len(link.unsent_answers()) or None,
        )

    def _open_until(self, link: OwnerLink, why: str) -> float:
        """Return until when a connection that ends now is known to have been open, in ms of the loop's clock."""
        return link.transport.open_until if why in ENDED_BY_PEER else link.transport.known_open_at

    def _remove(self, link: OwnerLink) -> None:
        if self.links.pop(link, self) is not None:
            return
        link.ended = True
        self._unread_links.pop(link, None)
        self._input.discard(link)
        if link.open:
            sids, link.open = sorted(link.open), set()
            self._tasks.owner_disconnected(sids)

    def tick(self) -> None:
        """End the connections whose deadline has passed; send releases on, or drop them. Called periodically."""
        self.releases.check()
        now, last_links = self.loop.now(), self._last_links()
        for link in list(self.links):
            found = self._review(link, last_links)
            if found.ends_at < now and found.reason is not EndReason.CUT and self._read_arrived(link):
                found = self._review(link, last_links)  # what has arrived may be of use
            if found.ends_at < now:
                self.disconnect(link, found.reason.value)

    def stop_listening(self) -> None:
        """Accept the connections that wait in the backlog, then no more."""
        self._acceptor.drain(self._acceptor.close)

    def close_connections(self) -> Co[None]:
        """Close all connections: unread set-ups are refused and buffered output is sent, within ``LINGER_MS``.

        Those that leave nothing unread come first: what the others have sent may take all the time that is left.
        """
        self.releases.finish()
        links = sorted(self.links, key=lambda link: link.has_unread_input)
        reads_until = self.loop.now() + STOP_READ_MS
        for link in links:
            self._read_arrived(link)
            while link.is_queued and self.loop.now() < reads_until:
                self._input.visit(link)
            self.disconnect(link, "stopped")
        while any(not link.transport.socket_closed for link in links):
            yield from sleep(CLOSE_POLL_MS)

    # Messages

    def input_read(self, link: OwnerLink, ready_at: float) -> bool:
        """Return whether no input left unread since before ``ready_at`` may hold a cancellation by the connection's owner.

        An owner may cancel on any of its connections, and owners are told apart by their address only. So input counts that
        other connections from that address have left unread, unless they flood or have done so only since ``ready_at``: an
        attempt waits for others for ``FLOODING_AFTER_MS`` at the most. On its own connection all input counts.
        """
        if not self._unread_links:
            return True
        if link.has_unread_input:
            return False
        if self._pruned_at_poll != self.loop.polls:
            self._pruned_at_poll = self.loop.polls
            self._unread_links = {other: None for other in self._unread_links if other.has_unread_input}
        return all(
            other.owner_address != link.owner_address
            or other.is_flooding
            or (other.unread_since is not None and other.unread_since > ready_at)
            for other in self._unread_links
        )

    def _on_late_data(self, link: OwnerLink, data: bytes) -> None:
        """Handle input that was in flight when the connection was closed.

        The owner sends a set-up again, but not a release, so releases are handled: those in ``READ_BYTES``, as a peer that
        sends more does not heed the end of its connection.
        """
        link.late_bytes += len(data)
        if link.late_bytes > READ_BYTES:
            return
        for message in link.decoder.feed(data):
            if message.kind == Kind.RELEASE:
                self._tasks.owner_cancelled(message.task, link.transport.peer)

    def _on_data(self, link: OwnerLink, data: bytes) -> None:
        if not link.transport.continued:
            link.unread_since = None
        self._input.receive(link, data)
        if link.transport.has_unread_backlog and not link.closed:
            self._unread_links[link] = None
            link.unread_since = link.unread_since if link.unread_since is not None else self.loop.now()

    def _after_visit(self, link: OwnerLink, has_more: bool) -> None:
        """Take stock of a connection after some of its messages have been handled; ``has_more``: others wait."""
        if link.decoder.error is not None:
            self.log("owner_malformed", peer=link.transport.peer, why=str(link.decoder.error))
            self.disconnect(link, "malformed")
        elif has_more or not link.decoder.buffered_bytes:
            link.partial_since = None
        elif link.partial_since is None:
            link.partial_since = self.loop.now()
        if link.has_sent_message and not (link.got_waiting_releases or has_more or link.closed):
            link.got_waiting_releases = True  # now: a task that is handed over first is not released
            self.releases.send_waiting(link)

    def _on_message(self, link: OwnerLink, message: Message) -> None:
        if not link.first_message_number:
            self._first_messages += 1
            link.first_message_number = self._first_messages
        link.partial_since = None  # reads from a busy owner may each end within another message
        useful, link.was_written_to = False, False
        if message.kind == Kind.SETUP:
            useful = self._on_set_up(link, message)
        elif message.kind == Kind.RELEASE:
            useful = self._tasks.owner_cancelled(message.task, link.transport.peer)
        elif message.kind == Kind.TEST:
            link.answer_health_check(message.task, not self.fails_health_checks)
        elif message.kind == Kind.RELEASED:
            self.releases.confirm(link, message.task)
            useful = link.confirm_release(message.task)
        if useful:
            return
        if not link.was_written_to:
            link.await_answer()
        if not (link.closed or link.useless_messages.record(self.loop.now())):
            self.log("owner_useless", peer=link.transport.peer, task=message.task, kind=message.kind)
            self.disconnect(link, "useless")

    def _on_set_up(self, link: OwnerLink, message: Message) -> bool:
        """Handle a set-up; return whether it was of use."""
        try:
            setup = self._parser.parse(message)
        except InvalidSetUp as error:
            self.counters["invalid"] += 1
            self.log("owner_invalid", peer=link.transport.peer, task=message.task, why=str(error))
            link.refuse(message.task, error.cause, 0.0)
            return False
        if not setup.current_host and (self.refuses_set_ups or not self._may_open(link)):
            self.counters["turned_away"] += 1
            link.refuse(message.task, CAUSE_REFUSED, 0.0)
            return False
        result = self._tasks.admit(setup, link, link.input_waited_ms)
        if result is SetUpResult.DUPLICATE_ID:
            self.log("owner_repeats_id", peer=link.transport.peer, task=message.task)
            self.disconnect(link, "malformed")
            return False
        if result is SetUpResult.OVER_SHARE:
            link.refuse(message.task, CAUSE_REFUSED, 0.0)
        link.awaits_list |= result is SetUpResult.HOST_UNKNOWN
        if result is not SetUpResult.ADMITTED:
            return False
        link.used, link.proven = self.loop.now(), True
        if not setup.current_host:
            link.open.add(setup.sid)
        return True

    def _may_open(self, link: OwnerLink) -> bool:
        """Return whether one more set-up may be open on that connection."""
        held = len(link.open)
        return held < MIN_OPEN_TASKS or has_share_left(held, self._tasks.ledger.open, self._max_open_tasks)

    # Releases

    def release(self, link: OwnerPort, sid: str, cause: int) -> None:
        """Send the release on this connection, or on those that may be of the same owner."""
        assert isinstance(link, OwnerLink)
        self.releases.owe(link, sid, cause)

    def cancel_release(self, sid: str) -> None:
        """Send the release of that task no more: the task has been handed over, or its owner knows of the end."""
        self.releases.cancel(sid)

    def release_again(self, link: OwnerPort, sid: str) -> None:
        """Send the release of a task that its owner hands over on this connection, if the owner may not have heard of it."""
        assert isinstance(link, OwnerLink)
        self.releases.handed_over_again(link, sid)
