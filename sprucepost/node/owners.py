"""Owners' connections: set-ups come in, answers and releases go out.

A connection is *proven* once it has brought a set-up that could be taken. One that is not, and carries no open set-up, is
closed soon: whoever opens hundreds and says nothing, or sends half a message, holds descriptors that the usual owners
need.

A standing task belongs to no connection, but its release must find one, and an owner opens none to be told. So a connection
is *needed* while a task that it brought stands, or while it is the only one of an owner for whom one stands; it is closed
neither for being idle nor to make room. What such a connection costs is bounded: owners hold a third of the descriptors.

============================= ================================== ==============================================
a connection                  idle                               when a newcomer finds no room
============================= ================================== ==============================================
with an open set-up           stays                              stays
needed                        stays                              stays; the newcomer is turned away
proven                        closed after the idle time         goes after the unproven ones, longest idle first
unproven                      closed after ``UNPROVEN_TIMEOUT_MS``       goes first
============================= ================================== ==============================================

None is closed before it has been looked at once more: what lies there unread has been taken, by the platform's word. What
crosses the close on its way is sent again by its owner, who must see the end and not a reset, which may overtake
what we sent before: so a close lingers.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from sprucepost.loop import Acceptor, Co, Listener, Loop, Sock, Transport, sleep
from sprucepost.node.attempt import OwnerPort, SetUpResult
from sprucepost.node.binary import Code, Decoder, Kind, Message, encode
from sprucepost.node.descriptors import Descriptors
from sprucepost.node.framing import LINGER_MS, MAX_MESSAGE_BYTES
from sprucepost.node.log import Log
from sprucepost.node.parsing import InvalidSetUp, SetUpParser
from sprucepost.node.tasks import CAUSE_REFUSED, RELEASE_RETENTION_MS, Tasks

UNPROVEN_TIMEOUT_MS = 1500.0  # for a connection that says nothing useful: half of the 3 s in which it is owed a close
ARRIVAL_GRACE_MS = 50.0  # what was on its way when a connection was taken, or crosses its close, comes within that
MAX_UNREAD_BYTES = 16 * MAX_MESSAGE_BYTES  # bytes that an owner may leave unread
FINISH_LOOK_MS = 5.0  # between looks whether all connections have ended


class OwnerLink:
    """One owner's connection."""

    def __init__(self, owners: Owners, transport: Transport, now: float) -> None:
        self._owners, self.transport = owners, transport
        self.decoder = Decoder()
        self.owner_address = transport.peer.rpartition(":")[0]  # an owner is known by the host that it calls from
        self.open: set[str] = set()  # set-ups without an answer
        self.placed_tasks = 0  # tasks that it brought and that still stand
        self.has_sent_message = False  # whether a whole message has come
        self.proven = False
        self.used = now  # when something useful last passed
        self.partial_since: float | None = None
        # Releases that may not have gone out whole: with how many bytes sent they have, id, cause.
        self._releases: deque[tuple[int, str, int]] = deque()

    @property
    def closed(self) -> bool:
        return self.transport.closed

    def add_placed_task(self) -> None:
        """A task that it brought stands from now on."""
        self.placed_tasks += 1
        self._owners.placed_by_owner[self.owner_address] += 1

    def remove_placed_task(self) -> None:
        """Such a task is over."""
        self.placed_tasks -= 1
        self._owners.placed_by_owner[self.owner_address] -= 1
        if not self._owners.placed_by_owner[self.owner_address]:
            del self._owners.placed_by_owner[self.owner_address]

    def input_read(self) -> bool:
        """Whether nothing of its owner was left unread by the latest look: a give-up may come on any connection."""
        return self._owners.input_read(self.owner_address)

    def discard_set_up(self, sid: str) -> None:
        """That set-up is owed no answer any more."""
        self.open.discard(sid)

    def answer(self, sid: str, text: str) -> None:
        """The task stands."""
        self.open.discard(sid)
        self._send(encode(Kind.ANSWER, sid, [(Code.DESCRIPTION, text.encode("utf-8"))]))

    def refuse(self, sid: str, cause: int, stay_away_ms: float) -> None:
        """The task is refused or failed, by its cause."""
        self.open.discard(sid)
        parameters = [(Code.CAUSE, bytes([cause]))]
        if stay_away_ms > 0:
            parameters.append((Code.STAY_AWAY, str(round(stay_away_ms)).encode()))
        self._send(encode(Kind.RELEASE, sid, parameters))

    def release(self, sid: str, cause: int) -> None:
        """The task is over."""
        if not self.transport.buffered:
            self._releases.clear()
        self.refuse(sid, cause, 0.0)
        self._releases.append((self.transport.written, sid, cause))
        self._owners.log.task(sid, "released", owner=self.transport.peer)

    def unsent_releases(self) -> list[tuple[str, int]]:
        """Those that its owner cannot have read, since not all of their bytes went out."""
        return [(sid, cause) for mark, sid, cause in self._releases if mark > self.transport.sent]

    def answer_health_check(self, sid: str, passed: bool) -> None:
        self._send(encode(Kind.TESTED, sid, [(Code.CAUSE, bytes([passed]))]))

    def _send(self, data: bytes) -> None:
        if self.closed:
            return
        self.used = self._owners.loop.now()
        self.transport.write(data)
        if (
            self.transport.buffered > MAX_UNREAD_BYTES
        ):  # not now: the module's other answers of this batch are still to come
            self._owners.loop.call_soon(lambda: self._owners.disconnect(self, "unread"))


def _least_useful(link: OwnerLink) -> tuple[bool, float]:
    """The order in which idle connections make room: those that brought nothing useful first, the longest idle first."""
    return link.proven, link.used


class Owners:
    """All owners' connections."""

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        tasks: Tasks,
        words: SetUpParser,
        descriptors: Descriptors,
        most: int,
        most_open: int,
        idle_ms: float,
        log: Log,
        counters: Counter[str],
    ) -> None:
        self.loop, self._tasks, self._words, self.log, self.counters = loop, tasks, words, log, counters
        self._descriptors, self._most, self._most_open, self._idle = descriptors, most, most_open, idle_ms
        self.free_other_connection: Callable[[], bool] = lambda: False  # have somebody else give up one that is idle
        self.links: dict[OwnerLink, None] = {}
        self.placed_by_owner: Counter[str] = Counter()  # tasks that stand, by whose they are
        self._behind: dict[OwnerLink, None] = {}  # of which a read may have left something behind
        self.fails_health_checks = False  # tests fail, so that nothing more is sent
        self.refuses_set_ups = False  # what comes now is refused
        # Releases that found no connection: until, whose, id, cause.
        self._unsent: list[tuple[float, str, str, int]] = []
        self._acceptor = Acceptor(loop, listener, self._take)

    # Connections

    @property
    def accepts_failed(self) -> int:
        """How often the system had no descriptor for a connection that waited to be taken."""
        return self._acceptor.failed_accepts

    def _take(self, sock: Sock) -> None:
        if not self._find_room():
            self.counters["owners_turned_away"] += 1
            sock.close(reset=True)
            return
        self._descriptors.reclaim()
        link = OwnerLink(self, Transport(self.loop, sock), self.loop.now())
        link.transport.linger_ms = LINGER_MS
        self.links[link] = None
        link.transport.on_data = lambda data: self._data(link, data)
        link.transport.on_end = lambda: self.disconnect(link, "ended")
        link.transport.on_lost = lambda error: self._forget(link)
        link.transport.on_linger_data = lambda data: self._late(link, data)
        link.transport.start()
        if self.loop.polling_mid_turn:  # what the newcomer has said already belongs to the look
            link.transport.read_now()
        self._await_room()

    def _find_room(self) -> bool:
        """A place for a newcomer: where descriptors are short, that of a client that has brought nothing useful in its time,
        else of an idle connection to a host, else of any idle client."""
        if len(self.links) >= self._most:
            return self._make_room()
        return (
            self._descriptors.available() > 0
            or self._make_room(lambda link: not (link.proven or self._arriving(link)))
            or self.free_other_connection()
            or self._make_room()
        )

    def _arriving(self, link: OwnerLink) -> bool:
        """Whether what it was opened for may still be on its way."""
        return self.loop.now() - link.used < ARRIVAL_GRACE_MS

    def _await_room(self) -> None:
        """Where the next newcomer could only have the place of one that has just come, it waits in the backlog: who comes
        back the moment it is closed would else push out usual clients before their set-up has arrived. Clients that hold
        less than their share need not wait: connections to hosts make room for them."""
        within_share = len(self.links) < self._descriptors.guaranteed_share
        if len(self.links) < self._most and (within_share or self._descriptors.available() > 0):
            return
        idle = [link for link in self.links if not (link.open or link.placed_tasks)]
        if not idle:
            return
        wait = min(idle, key=_least_useful).used + ARRIVAL_GRACE_MS - self.loop.now()
        if wait > 0:
            self.counters["owners_awaited"] += 1
            self._acceptor.pause(wait)

    def _make_room(self, may_go: Callable[[OwnerLink], bool] = lambda link: True) -> bool:
        """Close an idle connection, one of those that may go; False where there is none."""
        for _ in range(2):  # what is found unread the first time may be answered by the second
            needed = self._needed()
            idle = [link for link in self.links if not (link.open or link in needed) and may_go(link)]
            for link in sorted(idle, key=_least_useful):
                if not link.transport.read_now():
                    self.disconnect(link, "room")
                if link not in self.links:
                    return True
        return False

    def _needed(self) -> set[OwnerLink]:
        """The connections on which releases are to go that are still to come."""
        spoken = Counter(link.owner_address for link in self.links if link.has_sent_message)
        return {
            link
            for link in self.links
            if link.placed_tasks
            or (
                link.has_sent_message and spoken[link.owner_address] == 1 and link.owner_address in self.placed_by_owner
            )
        }

    def disconnect(self, link: OwnerLink, why: str) -> None:
        """End the connection; what was open on it is given up."""
        if link not in self.links:
            return
        self.counters[f"owner_{why}"] += 1
        if why in ("ended", "idle", "stopped"):
            self._descriptors.close(link.transport)
        elif why in ("room", "silent"):
            if not link.transport.buffered:  # its descriptor is wanted, or it has said nothing: no lingering
                link.transport.linger_ms = 0.0
            self._descriptors.close(link.transport)
        else:
            link.transport.abort()
        self._forget(link)

    def _forget(self, link: OwnerLink) -> None:
        if self.links.pop(link, self) is not None:
            return
        self._behind.pop(link, None)
        if link.open:
            sids, link.open = sorted(link.open), set()
            self._tasks.owner_disconnected(sids)
        if link.closed:
            for sid, cause in link.unsent_releases():
                self.release(link, sid, cause)

    def tick(self) -> None:
        """Close what is of no use."""
        now, needed = self.loop.now(), self._needed()
        for link in list(self.links):
            if link.partial_since is not None and now - link.partial_since > UNPROVEN_TIMEOUT_MS:
                self.disconnect(link, "cut")
            elif link.open or link in needed or now - link.used <= (self._idle if link.proven else UNPROVEN_TIMEOUT_MS):
                continue
            elif not link.transport.read_now():
                self.disconnect(link, "idle" if link.proven else "silent")
        self._unsent = [item for item in self._unsent if item[0] > now]

    def stop_listening(self) -> None:
        """Take no more connections; those that wait to be taken are."""
        self._acceptor.drain(self._acceptor.close)

    def close_connections(self) -> Co[None]:
        """End all connections: what lies there is refused, what was written goes out, within ``LINGER_MS``."""
        links = list(self.links)
        for link in links:
            link.transport.read_now()
            self.disconnect(link, "stopped")
        while any(not link.transport.socket_closed for link in links):
            yield from sleep(FINISH_LOOK_MS)

    # Messages

    def input_read(self, whose: str) -> bool:
        """Whether the latest look has left nothing unread on that owner's connections."""
        for link in [link for link in self._behind if not link.transport.has_unread_backlog]:
            del self._behind[link]
        return all(link.owner_address != whose for link in self._behind)

    def _late(self, link: OwnerLink, data: bytes) -> None:
        """What was on its way when we ended the connection. A set-up is sent again by its owner, but what is given up or
        ended there counts."""
        for message in link.decoder.feed(data):
            if message.kind == Kind.RELEASE:
                self._tasks.owner_cancelled(message.task)

    def _data(self, link: OwnerLink, data: bytes) -> None:
        if link.transport.has_unread_backlog:
            self._behind[link] = None
        messages = link.decoder.feed(data)
        if messages:
            link.partial_since = None  # a busy owner's reads may all end within a message, each another one
            if not link.has_sent_message:
                link.has_sent_message = True
                self._send_unsent(link)
        for message in messages:
            if link.closed:
                return
            self._message(link, message)
        if link.closed:
            return
        if link.decoder.error is not None:
            self.log("owner_malformed", peer=link.transport.peer, why=str(link.decoder.error))
            self.disconnect(link, "malformed")
        elif not link.decoder.buffered_bytes:
            link.partial_since = None
        elif link.partial_since is None:
            link.partial_since = self.loop.now()

    def _message(self, link: OwnerLink, message: Message) -> None:
        if message.kind == Kind.SETUP:
            self._set_up(link, message)
        elif message.kind == Kind.RELEASE:
            self._tasks.owner_cancelled(message.task)
        elif message.kind == Kind.TEST:
            link.answer_health_check(message.task, not self.fails_health_checks)

    def _set_up(self, link: OwnerLink, message: Message) -> None:
        try:
            setup = self._words.parse(message)
        except InvalidSetUp as refused:
            self.counters["invalid"] += 1
            self.log("owner_invalid", peer=link.transport.peer, task=message.task, why=str(refused))
            link.refuse(message.task, refused.cause, 0.0)
            return
        if not setup.current_host and (self.refuses_set_ups or self._tasks.ledger.open >= self._most_open):
            self.counters["turned_away"] += 1
            link.refuse(message.task, CAUSE_REFUSED, 0.0)
            return
        taken = self._tasks.admit(setup, link, link.transport.waited_ms)
        if taken is SetUpResult.DUPLICATE_ID:
            self.log("owner_repeats_id", peer=link.transport.peer, task=message.task)
            self.disconnect(link, "malformed")
            return
        link.used = self.loop.now()
        if not setup.current_host and taken is not SetUpResult.CANCELLED:
            link.open.add(setup.sid)
        if not link.proven and taken is not SetUpResult.HOST_UNKNOWN:
            link.proven = True

    # Releases

    def release(self, link: OwnerPort, sid: str, cause: int) -> None:
        """On its own connection, else on another of that owner, else on the next on which it says something."""
        assert isinstance(link, OwnerLink)
        if link.closed:
            others = [
                other
                for other in self.links
                if other.has_sent_message and not other.closed and other.owner_address == link.owner_address
            ]
            if not others:
                self.counters["releases_waiting"] += 1
                self.log.task(sid, "release_waits", owner=link.owner_address, why="no connection of its owner")
                self._unsent.append((self.loop.now() + RELEASE_RETENTION_MS, link.owner_address, sid, cause))
                return
            link = max(others, key=lambda other: (other.proven, other.used))
        link.release(sid, cause)

    def _send_unsent(self, link: OwnerLink) -> None:
        mine = [item for item in self._unsent if item[1] == link.owner_address]
        self._unsent = [item for item in self._unsent if item[1] != link.owner_address]
        for _, _, sid, cause in mine:
            link.release(sid, cause)
