"""Whether messages that must take effect at a peer have been delivered. No I/O.

A message that has been written, or even taken by the system, has not been read by its peer: the peer may have ended the
connection before. The platform has confirmations, but no peer has to send them. So the life of a connection is evidence too:
what the system has taken arrives within ``CROSSING_MS``, if the connection lives for as long.

========== ============================================ ====================================================
state      until                                        if the connection ends then
========== ============================================ ====================================================
written    the system has taken all of it               the peer cannot have read it
sent       the peer confirms it, or the connection was  it is in doubt: the peer may have ended the
           open ``CROSSING_MS`` later                   connection before it arrived
delivered                                               it has been read
========== ============================================ ====================================================

The end of a connection may be read long after it has arrived: the connection was open until the time before which its end
cannot have arrived.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

Content = TypeVar("Content")

# By the platform's page, what crosses the end of a connection crosses it within that time.
CROSSING_MS = 50.0


@dataclass(slots=True, eq=False)
class WrittenMessage(Generic[Content]):
    """A message that has been written to a connection."""

    sid: str  # of the task that it concerns
    content: Content
    sent_at: float = math.inf  # when the system had taken all of it, in ms of the loop's clock


class Deliveries(Generic[Content]):
    """The messages written to one connection that are not known to be delivered, oldest first."""

    __slots__ = ("_messages",)

    def __init__(self) -> None:
        self._messages: list[WrittenMessage[Content]] = []

    def __len__(self) -> int:
        return len(self._messages)

    def __iter__(self) -> Iterator[WrittenMessage[Content]]:
        return iter(self._messages)

    def record(self, sid: str, content: Content, open_at: float) -> None:
        """Record a message that has just been written; the connection is known to have been open at that time."""
        if self._messages:
            self.found_open(open_at)
        self._messages.append(WrittenMessage(sid, content))

    def all_sent(self, now: float) -> None:
        """Record that the system has taken all that was written."""
        for message in reversed(self._messages):
            if message.sent_at <= now:
                return
            message.sent_at = now

    def confirm(self, sid: str) -> bool:
        """Record that the peer has read what concerns that task; return whether anything was not known to be delivered."""
        before = len(self._messages)
        self._messages = [message for message in self._messages if message.sid != sid]
        return len(self._messages) < before

    def found_open(self, at: float) -> None:
        """Drop what has been delivered, as the connection was open at that time, in ms of the loop's clock."""
        self._messages = [message for message in self._messages if message.sent_at + CROSSING_MS > at]

    def unsent(self) -> list[WrittenMessage[Content]]:
        """Return the messages that the peer cannot have read, as the system has not taken all of them."""
        return [message for message in self._messages if message.sent_at == math.inf]

    def undelivered(self, open_at: float) -> list[WrittenMessage[Content]]:
        """Return the messages that the peer may not have read, if the connection was open until that time and ended then."""
        self.found_open(open_at)
        return list(self._messages)
