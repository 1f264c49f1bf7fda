"""Connections of owners: set-ups arrive on them, answers and releases are sent on them.

A connection is *proven* once it has brought a set-up that could be admitted. An unproven connection without an open set-up
is closed early: a peer that opens hundreds of connections and sends nothing, or half a message, holds descriptors that
other owners need.

A placed task belongs to no connection, but its release needs one, and an owner does not open a connection to receive it.
So a connection is *needed* while a task that it brought is placed, or while it is the only connection of an owner that
has a placed task; it is closed neither for being idle nor to free a descriptor. The cost of such connections is bounded:
the owners' share is a third of the descriptors.

============================= ================================== ==============================================
a connection                  when idle                          when a new connection needs a descriptor
============================= ================================== ==============================================
with an open set-up           stays open                         stays open
needed                        stays open                         stays open; the new connection is rejected
proven                        closed after the idle timeout      closed after the unproven ones, longest idle
                                                                 first
unproven                      closed after                       closed first
                              ``UNPROVEN_TIMEOUT_MS``
============================= ================================== ==============================================

Each connection is polled once more before it is closed: the platform counts bytes that have arrived unread as received.
What crosses the close is sent again by its owner. For that the owner must see an end of stream and not a reset, which may
overtake data sent earlier, so a close lingers.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from sprucepost.loop import Acceptor, Co, Listener, Loop, Sock, Transport, sleep
from sprucepost.node.attempt import OwnerPort, SetUpResult
from sprucepost.node.binary import Code, Decoder, Kind, Message, encode
from sprucepost.node.descriptors import Descriptors
from sprucepost.node.framing import LINGER_MS, MAX_MESSAGE_BYTES
from sprucepost.node.log import Log
from sprucepost.node.parsing import InvalidSetUp, SetUpParser
from sprucepost.node.tasks import CAUSE_REFUSED, RELEASE_RETENTION_MS, Tasks

UNPROVEN_TIMEOUT_MS = 1500.0  # half of the 3 s within which such a connection must be closed
ARRIVAL_GRACE_MS = 50.0  # data in flight when a connection is accepted, or crossing its close, arrives within that time
MAX_UNREAD_BYTES = 16 * MAX_MESSAGE_BYTES  # unsent output after which an owner that does not read is disconnected
CLOSE_POLL_MS = 5.0  # interval of the checks whether all connections have ended


@dataclass(frozen=True, slots=True)
class WaitingRelease:
    """A release without a connection to send it on."""

    expires_at: float  # in ms of the loop's clock
    owner_address: str
    sid: str
    cause: int


@dataclass(frozen=True, slots=True)
class WrittenRelease:
    """A release that has been written to a connection and may not have been sent completely."""

    end_offset: int  # bytes sent on the connection once it has been
    sid: str
    cause: int


class OwnerLink:
    """Connection of one owner."""

    def __init__(self, owners: Owners, transport: Transport, now: float) -> None:
        self._owners, self.transport = owners, transport
        self.decoder = Decoder()
        self.owner_address = transport.peer.rpartition(":")[0]  # owners are told apart by the address they connect from
        self.open: set[str] = set()  # ids of set-ups without an answer
        self.placed_tasks = 0  # tasks that it brought and that are still placed
        self.has_sent_message = False  # whether a complete message has arrived
        self.proven = False
        self.used = now  # time of the last admitted set-up or of the last write, in ms of the loop's clock
        self.partial_since: float | None = None  # since when an incomplete message has been buffered
        self._unconfirmed_releases: deque[WrittenRelease] = deque()

    @property
    def closed(self) -> bool:
        return self.transport.closed

    def add_placed_task(self) -> None:
        """Count a task placed for this connection."""
        self.placed_tasks += 1
        self._owners.placed_by_owner[self.owner_address] += 1

    def remove_placed_task(self) -> None:
        """Stop counting such a task, which has ended."""
        self.placed_tasks -= 1
        self._owners.placed_by_owner[self.owner_address] -= 1
        if not self._owners.placed_by_owner[self.owner_address]:
            del self._owners.placed_by_owner[self.owner_address]

    def input_read(self) -> bool:
        """Return whether the latest poll left no input of this owner unread: it may cancel on any of its connections."""
        return self._owners.input_read(self.owner_address)

    def discard_set_up(self, sid: str) -> None:
        """Drop an open set-up that needs no answer any more."""
        self.open.discard(sid)

    def answer(self, sid: str, text: str) -> None:
        """Send the answer: the task is placed."""
        self.open.discard(sid)
        self._send(encode(Kind.ANSWER, sid, [(Code.DESCRIPTION, text.encode("utf-8"))]))

    def refuse(self, sid: str, cause: int, stay_away_ms: float) -> None:
        """Tell the owner that the task was refused or has failed; ``stay_away_ms`` asks it to back off."""
        self.open.discard(sid)
        parameters = [(Code.CAUSE, bytes([cause]))]
        if stay_away_ms > 0:
            parameters.append((Code.STAY_AWAY, str(round(stay_away_ms)).encode()))
        self._send(encode(Kind.RELEASE, sid, parameters))

    def release(self, sid: str, cause: int) -> None:
        """Tell the owner that its placed task has ended."""
        if not self.transport.buffered:
            self._unconfirmed_releases.clear()
        self.refuse(sid, cause, 0.0)
        self._unconfirmed_releases.append(WrittenRelease(self.transport.written, sid, cause))
        self._owners.log.task(sid, "released", owner=self.transport.peer)

    def unsent_releases(self) -> list[WrittenRelease]:
        """Return the releases that the owner cannot have read, since they were not sent completely."""
        return [release for release in self._unconfirmed_releases if release.end_offset > self.transport.sent]

    def answer_health_check(self, sid: str, passed: bool) -> None:
        """Reply to a health check of the owner."""
        self._send(encode(Kind.TESTED, sid, [(Code.CAUSE, bytes([passed]))]))

    def _send(self, data: bytes) -> None:
        if self.closed:
            return
        self.used = self._owners.loop.now()
        self.transport.write(data)
        if self.transport.buffered > MAX_UNREAD_BYTES:  # deferred: other answers of this batch follow
            self._owners.loop.call_soon(lambda: self._owners.disconnect(self, "unread"))


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
        self.fails_health_checks = False  # owners then stop sending set-ups
        self.refuses_set_ups = False  # set-ups that arrive now are refused
        self._waiting_releases: list[WaitingRelease] = []
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
        link.transport.linger_ms = LINGER_MS
        self.links[link] = None
        link.transport.on_data = lambda data: self._on_data(link, data)
        link.transport.on_end = lambda: self.disconnect(link, "ended")
        link.transport.on_lost = lambda error: self._remove(link)
        link.transport.on_linger_data = lambda data: self._on_late_data(link, data)
        link.transport.start()
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
            needed = self._needed_links()
            idle = [link for link in self.links if not (link.open or link in needed) and may_close(link)]
            for link in sorted(idle, key=_closing_order):
                if not link.transport.read_now():
                    self.disconnect(link, "room")
                if link not in self.links:
                    return True
        return False

    def _needed_links(self) -> set[OwnerLink]:
        """Return the connections that are kept open for releases still to be sent."""
        per_owner = Counter(link.owner_address for link in self.links if link.has_sent_message)
        return {
            link
            for link in self.links
            if link.placed_tasks
            or (
                link.has_sent_message
                and per_owner[link.owner_address] == 1
                and link.owner_address in self.placed_by_owner
            )
        }

    def disconnect(self, link: OwnerLink, why: str) -> None:
        """Close the connection and cancel its open set-ups."""
        if link not in self.links:
            return
        self.counters[f"owner_{why}"] += 1
        if why in ("ended", "idle", "stopped"):
            self._descriptors.close(link.transport)
        elif why in ("room", "silent"):
            if not link.transport.buffered:  # its descriptor is needed, or it sent nothing useful: no lingering
                link.transport.linger_ms = 0.0
            self._descriptors.close(link.transport)
        else:
            link.transport.abort()
        self._remove(link)

    def _remove(self, link: OwnerLink) -> None:
        if self.links.pop(link, self) is not None:
            return
        self._unread_links.pop(link, None)
        if link.open:
            sids, link.open = sorted(link.open), set()
            self._tasks.owner_disconnected(sids)
        if link.closed:
            for release in link.unsent_releases():
                self.release(link, release.sid, release.cause)

    def tick(self) -> None:
        """Close connections that are idle, unproven or stuck in a message; drop expired releases."""
        now, needed = self.loop.now(), self._needed_links()
        for link in list(self.links):
            if link.partial_since is not None and now - link.partial_since > UNPROVEN_TIMEOUT_MS:
                self.disconnect(link, "cut")
            elif (
                link.open
                or link in needed
                or now - link.used <= (self._idle_ms if link.proven else UNPROVEN_TIMEOUT_MS)
            ):
                continue
            elif not link.transport.read_now():
                self.disconnect(link, "idle" if link.proven else "silent")
        self._waiting_releases = [release for release in self._waiting_releases if release.expires_at > now]

    def stop_listening(self) -> None:
        """Accept the connections that wait in the backlog, then no more."""
        self._acceptor.drain(self._acceptor.close)

    def close_connections(self) -> Co[None]:
        """Close all connections: unread set-ups are refused and buffered output is sent, within ``LINGER_MS``."""
        links = list(self.links)
        for link in links:
            link.transport.read_now()
            self.disconnect(link, "stopped")
        while any(not link.transport.socket_closed for link in links):
            yield from sleep(CLOSE_POLL_MS)

    # Messages

    def input_read(self, owner_address: str) -> bool:
        """Return whether the latest poll left nothing unread on the connections of that owner."""
        for link in [link for link in self._unread_links if not link.transport.has_unread_backlog]:
            del self._unread_links[link]
        return all(link.owner_address != owner_address for link in self._unread_links)

    def _on_late_data(self, link: OwnerLink, data: bytes) -> None:
        """Handle input that was in flight when the connection was closed.

        The owner sends a set-up again, but not a release, so releases are handled.
        """
        for message in link.decoder.feed(data):
            if message.kind == Kind.RELEASE:
                self._tasks.owner_cancelled(message.task)

    def _on_data(self, link: OwnerLink, data: bytes) -> None:
        if link.transport.has_unread_backlog:
            self._unread_links[link] = None
        messages = link.decoder.feed(data)
        is_first_read = bool(messages) and not link.has_sent_message
        if messages:
            link.partial_since = None  # reads from a busy owner may each end within another message
            link.has_sent_message = True
        for message in messages:
            if link.closed:
                return
            self._on_message(link, message)
        if link.closed:
            return
        if is_first_read:  # after the messages: a task that is handed over is not released
            self._send_waiting_releases(link)
        if link.decoder.error is not None:
            self.log("owner_malformed", peer=link.transport.peer, why=str(link.decoder.error))
            self.disconnect(link, "malformed")
        elif not link.decoder.buffered_bytes:
            link.partial_since = None
        elif link.partial_since is None:
            link.partial_since = self.loop.now()

    def _on_message(self, link: OwnerLink, message: Message) -> None:
        if message.kind == Kind.SETUP:
            self._on_set_up(link, message)
        elif message.kind == Kind.RELEASE:
            self._tasks.owner_cancelled(message.task)
        elif message.kind == Kind.TEST:
            link.answer_health_check(message.task, not self.fails_health_checks)

    def _on_set_up(self, link: OwnerLink, message: Message) -> None:
        try:
            setup = self._parser.parse(message)
        except InvalidSetUp as error:
            self.counters["invalid"] += 1
            self.log("owner_invalid", peer=link.transport.peer, task=message.task, why=str(error))
            link.refuse(message.task, error.cause, 0.0)
            return
        if not setup.current_host and (self.refuses_set_ups or self._tasks.ledger.open >= self._max_open_tasks):
            self.counters["turned_away"] += 1
            link.refuse(message.task, CAUSE_REFUSED, 0.0)
            return
        result = self._tasks.admit(setup, link, link.transport.waited_ms)
        if result is SetUpResult.DUPLICATE_ID:
            self.log("owner_repeats_id", peer=link.transport.peer, task=message.task)
            self.disconnect(link, "malformed")
            return
        link.used = self.loop.now()
        if not setup.current_host and result is not SetUpResult.CANCELLED:
            link.open.add(setup.sid)
        if not link.proven and result is not SetUpResult.HOST_UNKNOWN:
            link.proven = True

    # Releases

    def release(self, link: OwnerPort, sid: str, cause: int) -> None:
        """Send the release on this connection, else on another of that owner, else on the next one that it uses."""
        assert isinstance(link, OwnerLink)
        if link.closed:
            others = [
                other
                for other in self.links
                if other.has_sent_message and not other.closed and other.owner_address == link.owner_address
            ]
            if not others:
                self.counters["releases_waiting"] += 1
                self.log.task(sid, "release_waits", owner=link.owner_address, why="no connection to its owner")
                expires_at = self.loop.now() + RELEASE_RETENTION_MS
                self._waiting_releases.append(WaitingRelease(expires_at, link.owner_address, sid, cause))
                return
            link = max(others, key=lambda other: (other.proven, other.used))
        link.release(sid, cause)

    def cancel_release(self, sid: str) -> None:
        """Drop the release of that task if it still waits for a connection: the task has been handed over."""
        self._waiting_releases = [release for release in self._waiting_releases if release.sid != sid]

    def _send_waiting_releases(self, link: OwnerLink) -> None:
        waiting, self._waiting_releases = self._waiting_releases, []
        for release in waiting:
            if release.owner_address == link.owner_address:
                link.release(release.sid, release.cause)
            else:
                self._waiting_releases.append(release)
