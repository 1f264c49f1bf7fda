"""One connection of an owner: what it has brought, and what is sent on it."""

from __future__ import annotations

import math
from collections import Counter
from typing import Protocol

from sprucepost.loop import Loop, Transport
from sprucepost.node.binary import Code, Decoder, Kind, encode
from sprucepost.node.connection_states import ConnectionFacts
from sprucepost.node.delivery import Deliveries
from sprucepost.node.framing import MAX_MESSAGE_BYTES
from sprucepost.node.log import Log
from sprucepost.node.owner_releases import OwedRelease
from sprucepost.node.useless_messages import UselessMessages

MAX_UNREAD_BYTES = 16 * MAX_MESSAGE_BYTES  # unsent output after which an owner that does not read is disconnected
# A connection that has had unread input for so long holds up only what it has brought itself. Half of the time that the
# platform allows between a client's leaving and the last attempt for it.
FLOODING_AFTER_MS = 50.0


class OwnersContext(Protocol):
    """What a connection needs of the owner of all connections."""

    loop: Loop
    log: Log
    placed_by_owner: Counter[str]

    def input_read(self, link: OwnerLink, ready_at: float) -> bool:
        """Return whether no input left unread since before ``ready_at`` may hold a cancellation by that owner."""
        ...

    def disconnect(self, link: OwnerLink, why: str) -> None:
        """Close the connection and cancel its open set-ups."""
        ...


class OwnerLink:
    """Connection of one owner."""

    def __init__(self, owners: OwnersContext, transport: Transport, now: float) -> None:
        self._owners, self.transport = owners, transport
        self.decoder = Decoder()
        self.owner_address = transport.peer.rpartition(":")[0]  # owners are told apart by the address they connect from
        self.open: set[str] = set()  # ids of set-ups without an answer
        self.placed_tasks = 0  # tasks that it brought and that are still placed
        self.owed_releases = 0  # of such tasks that have ended in this turn of the loop
        self.first_message_number = 0  # of the connections in the order of their first messages, from 1; 0: none yet
        self.got_waiting_releases = False  # whether releases that waited for a connection of its owner were sent here
        self.was_written_to = False  # while the message that is handled now has been handled
        self._has_reacted = False  # whether anything has been sent here that is not for another client, perhaps
        self.was_answered = False  # whether a task of its owner was answered here
        self.misused = False  # whether it has been ended for what its client has sent, or not read
        self.ended = False  # whether this side has ended it, or found that it has ended
        self.proven = False
        self._opened_at = now
        self.used = now  # time of the last admitted set-up or of the last write, in ms of the loop's clock
        self.partial_since: float | None = None  # since when an incomplete message has been buffered
        self.unanswered_since: float | None = None  # when the first message came to which nothing was sent since
        self.awaits_list = False  # whether it has handed over a task at a host that was not listed
        self.unread_since: float | None = None  # since when input has been left unread without interruption
        self.late_bytes = 0  # read since this side closed it
        self.is_queued = False  # whether messages wait to be handled, so that it is not read
        self.left_backlog_at = -math.inf  # when it left the backlog of connections with messages to handle
        self.read_at = now  # time of the latest read, in ms of the loop's clock
        self.read_waited_ms = 0.0  # how long, at most, the data of that read had waited
        self.useless_messages = UselessMessages(now)
        self.releases: Deliveries[OwedRelease] = Deliveries(transport)
        # By task, since nothing was buffered: bytes written here, up to the end of its answer.
        self._answers: dict[str, int] = {}
        self._releases_to_confirm = 0  # releases and refusals sent here that the owner has not confirmed

    @property
    def peer(self) -> str:
        """Address and port of the owner."""
        return self.transport.peer

    @property
    def has_sent_message(self) -> bool:
        """Whether a complete message has arrived."""
        return self.first_message_number > 0

    @property
    def closed(self) -> bool:
        """Whether nothing more is handled or sent here; what was written before may still be on its way."""
        return self.ended or self.transport.closed

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

    def input_read(self, ready_at: float) -> bool:
        """Return whether an attempt that could have been sent at that time, in ms of the loop's clock, may be sent now: no
        input is left unread that may hold the owner's cancellation and came before."""
        return self._owners.input_read(self, ready_at)

    @property
    def is_flooding(self) -> bool:
        """Whether it brings more than can be handled: input is left unread for ``FLOODING_AFTER_MS``, or input of which
        much is of no use."""
        if self.unread_since is None or not self.has_unread_input:
            return False
        now = self._owners.loop.now()
        return now - self.unread_since >= FLOODING_AFTER_MS or self.useless_messages.are_many

    @property
    def has_unread_input(self) -> bool:
        """Whether the latest poll left input of this connection unread, in the system or in the decoder."""
        return self.transport.has_unread_backlog

    @property
    def input_waited_ms(self) -> float:
        """How long, at most, the message that is handled now has waited."""
        return self.read_waited_ms + self._owners.loop.now() - self.read_at

    def discard_set_up(self, sid: str) -> None:
        """Drop an open set-up that needs no answer any more."""
        self.open.discard(sid)
        self.await_answer()

    def await_answer(self) -> None:
        """Note that a message has come to which nothing is sent: the peer may be waiting in vain."""
        if self.unanswered_since is None:
            self.unanswered_since = self._owners.loop.now()

    def facts(self, is_last_of_owner: bool) -> ConnectionFacts:
        """Return what decides on its state."""
        return ConnectionFacts(
            self._opened_at,
            self._has_reacted,
            self.used,
            self.has_sent_message,
            self.proven,
            len(self.open),
            self.placed_tasks + self.owed_releases,
            is_last_of_owner,
            self.partial_since,
            self.unanswered_since,
            self.awaits_list,
            self.useless_messages.are_many,
        )

    def answer(self, sid: str, text: str) -> None:
        """Send the answer: the task is placed."""
        self.was_answered = True
        self.open.discard(sid)
        if not self.transport.buffered:
            self._answers.clear()
        self._send(encode(Kind.ANSWER, sid, [(Code.DESCRIPTION, text.encode("utf-8"))]))
        self._answers[sid] = self.transport.written

    def refuse(self, sid: str, cause: int, stay_away_ms: float) -> None:
        """Tell the owner that the task was refused or has failed; ``stay_away_ms`` asks it to back off."""
        self.open.discard(sid)
        self._releases_to_confirm += 1
        parameters = [(Code.CAUSE, bytes([cause]))]
        if stay_away_ms > 0:
            parameters.append((Code.STAY_AWAY, str(round(stay_away_ms)).encode()))
        self._send(encode(Kind.RELEASE, sid, parameters))

    def release(self, owed: OwedRelease, state: str = "released") -> None:
        """Tell the owner that its placed task has ended; ``state`` is what the log says of the task.

        On a connection that may be another client's this is no reaction to what that client has sent.
        """
        is_guess = owed.owner is not self
        self._releases_to_confirm += 1
        self._send(encode(Kind.RELEASE, owed.sid, [(Code.CAUSE, bytes([owed.cause]))]), is_reaction=not is_guess)
        self.releases.record(owed.sid, owed, self._owners.loop.now())
        brought_by = owed.owner.peer if is_guess else None
        self._owners.log.task(owed.sid, state, owner=self.peer, brought_by=brought_by)

    def unsent_answers(self) -> list[str]:
        """Return the tasks whose answers the owner cannot have read, as the system has not taken all of them."""
        return [sid for sid, end_offset in self._answers.items() if end_offset > self.transport.sent]

    def confirm_release(self, sid: str) -> bool:
        """Note that the owner has heard a release or refusal; return whether one was sent to it here."""
        self.releases.confirm(sid)
        self._releases_to_confirm -= 1
        return self._releases_to_confirm >= 0

    def answer_health_check(self, sid: str, passed: bool) -> None:
        """Reply to a health check of the owner."""
        self._send(encode(Kind.TESTED, sid, [(Code.CAUSE, bytes([passed]))]))

    def _send(self, data: bytes, is_reaction: bool = True) -> None:
        if self.closed:
            return
        if is_reaction:
            self.used, self.unanswered_since, self.was_written_to = self._owners.loop.now(), None, True
            self._has_reacted = True
            self.useless_messages.since_answer = 0
        self.transport.write(data)
        if self.transport.buffered > MAX_UNREAD_BYTES:  # deferred: other answers of this batch follow
            self._owners.loop.call_soon(lambda: self._owners.disconnect(self, "unread"))
