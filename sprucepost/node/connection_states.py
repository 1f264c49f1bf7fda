"""States of an owner's connection, and by when each of them ends. No I/O.

Nothing that a peer sends, or does not send, keeps a connection beyond its deadline; see :func:`review` for the table.

======================== ======================================== =========================== ============================
state                    condition                                deadline                    at the deadline
======================== ======================================== =========================== ============================
message incomplete       part of a message has arrived            ``REACTION_MS`` after it    open set-ups fail, and the
                                                                  began                       connection is cut
answer owed              a set-up is open, and the connection     none: each set-up has one
                         does not bring many messages of no use
kept                     a task that it brought is placed; or     none: the tasks end
                         its owner has a placed task and no
                         other connection, and it does not
                         await anything
unanswered               its messages have led to nothing that    ``REACTION_MS`` after the   open set-ups fail, and it is
                         is sent to it                            first of them, or           closed
                                                                  ``FIRST_REACTION_MS`` if a
                                                                  task was handed over at a
                                                                  host that was not listed
first message awaited    nothing has arrived                      ``REACTION_MS``             closed
idle                     otherwise                                the idle timeout after its  closed
                                                                  last use; ``REACTION_MS``
                                                                  if it is not proven
======================== ======================================== =========================== ============================

An incomplete message may come on top of any other state; whichever deadline is earlier counts. A connection on which nothing
has been sent yet ends ``FIRST_REACTION_MS`` after it was opened, unless it owes an answer or is kept.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from enum import Enum

REACTION_MS = 1500.0  # half of the 3 s within which a client must get an answer or the end of its connection
FIRST_REACTION_MS = 2500.0  # in all, for a client that sends its first message slowly; these 3 s less two checks


class ConnectionState(Enum):
    """What a connection is open for."""

    MESSAGE_INCOMPLETE = "message_incomplete"
    ANSWER_OWED = "answer_owed"
    KEPT = "kept"
    UNANSWERED = "unanswered"
    FIRST_MESSAGE_AWAITED = "first_message_awaited"
    IDLE = "idle"


class EndReason(Enum):
    """Why a connection is ended at its deadline."""

    CUT = "cut"
    UNANSWERED = "unanswered"
    SILENT = "silent"
    IDLE = "idle"


@dataclass(frozen=True, slots=True)
class ConnectionFacts:
    """What is known of a connection. Times are ms of one clock."""

    opened_at: float
    is_answered: bool  # whether anything has been sent on it but releases that may be another client's
    used_at: float  # when it was opened, brought a task that was admitted, or was last written to
    has_sent_message: bool
    proven: bool  # it has brought a task that was admitted
    open_set_ups: int
    placed_tasks: int  # that it brought
    is_last_of_owner: bool  # its owner has placed tasks and no other connection to be told of their end on
    partial_since: float | None  # since when part of a message has been waiting for the rest
    unanswered_since: float | None  # when the first message came to which nothing was sent since
    awaits_list: bool  # it has handed over a task at a host that was not listed, and may be listed soon
    brings_many_useless: bool  # lately, also set-ups that are taken back at once: there may always be one open


@dataclass(frozen=True, slots=True)
class Review:
    """State of a connection, when it is ended (``math.inf``: by an event only), and why then."""

    state: ConnectionState
    ends_at: float
    reason: EndReason


def is_kept(facts: ConnectionFacts) -> bool:
    """Return whether the connection is kept for the release of a placed task."""
    return facts.placed_tasks > 0 or (
        facts.has_sent_message and facts.is_last_of_owner and facts.unanswered_since is None
    )


def review(facts: ConnectionFacts, idle_ms: float) -> Review:
    """Return the state of a connection and its deadline; ``idle_ms`` is the idle timeout."""
    found = _without_partial_message(facts, idle_ms)
    if facts.partial_since is not None and facts.partial_since + REACTION_MS < found.ends_at:
        found = Review(ConnectionState.MESSAGE_INCOMPLETE, facts.partial_since + REACTION_MS, EndReason.CUT)
    if facts.is_answered or found.state in (ConnectionState.ANSWER_OWED, ConnectionState.KEPT):
        return found
    return replace(found, ends_at=min(found.ends_at, facts.opened_at + FIRST_REACTION_MS))


def _without_partial_message(facts: ConnectionFacts, idle_ms: float) -> Review:
    if facts.open_set_ups and not (facts.brings_many_useless and facts.unanswered_since is not None):
        return Review(ConnectionState.ANSWER_OWED, math.inf, EndReason.IDLE)
    if is_kept(facts):
        return Review(ConnectionState.KEPT, math.inf, EndReason.IDLE)
    if facts.unanswered_since is not None:
        limit_ms = FIRST_REACTION_MS if facts.awaits_list else REACTION_MS
        return Review(ConnectionState.UNANSWERED, facts.unanswered_since + limit_ms, EndReason.UNANSWERED)
    if not facts.has_sent_message:
        return Review(ConnectionState.FIRST_MESSAGE_AWAITED, facts.used_at + REACTION_MS, EndReason.SILENT)
    if not facts.proven:
        return Review(ConnectionState.IDLE, facts.used_at + REACTION_MS, EndReason.SILENT)
    return Review(ConnectionState.IDLE, facts.used_at + idle_ms, EndReason.IDLE)
