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

from collections import deque
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

Content = TypeVar("Content")

# By the platform's page, what crosses the end of a connection crosses it within that time.
CROSSING_MS = 50.0


class Stream(Protocol):
    """The connection on which messages are written, as :class:`~sprucepost.loop.Transport` has it."""

    sent: int  # bytes that the system has taken
    drained_at: float  # when the system last took what it had not taken at once, in ms of the loop's clock

    @property
    def written(self) -> int:
        """Bytes written."""
        ...

    @property
    def known_open_at(self) -> float:
        """An end that had arrived by that time, in ms of the loop's clock, would have been read by now."""
        ...


@dataclass(slots=True, eq=False)
class WrittenMessage(Generic[Content]):
    """A message that has been written to a connection."""

    sid: str  # of the task that it concerns
    content: Content
    written_at: float  # in ms of the loop's clock
    end_offset: int  # bytes written on the connection, up to its end


class Deliveries(Generic[Content]):
    """The messages written to one connection that are not known to be delivered, oldest first."""

    __slots__ = ("_messages", "_stream")

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._messages: deque[WrittenMessage[Content]] = deque()

    def __len__(self) -> int:
        return len(self._messages)

    def record(self, sid: str, content: Content, now: float) -> None:
        """Record a message that has just been written."""
        if self._messages:
            self._drop_delivered(self._stream.known_open_at)
        self._messages.append(WrittenMessage(sid, content, now, self._stream.written))

    def confirm(self, sid: str) -> None:
        """Record that the peer has read what concerns that task."""
        if self._messages:
            self._messages = deque(message for message in self._messages if message.sid != sid)

    def unsent(self) -> list[WrittenMessage[Content]]:
        """Return the messages that the peer cannot have read, as the system has not taken all of them."""
        return [message for message in self._messages if message.end_offset > self._stream.sent]

    def undelivered(self, open_at: float) -> list[WrittenMessage[Content]]:
        """Return the messages that the peer may not have read, if the connection was open until that time and ended then."""
        self._drop_delivered(open_at)
        return list(self._messages)

    def _drop_delivered(self, open_at: float) -> None:
        while self._messages and self._is_delivered(self._messages[0], open_at):
            self._messages.popleft()

    def _is_delivered(self, message: WrittenMessage[Content], open_at: float) -> bool:
        """Return whether a message has been read, if the connection was open at that time."""
        if message.end_offset > self._stream.sent:
            return False
        return max(message.written_at, self._stream.drained_at) + CROSSING_MS <= open_at
