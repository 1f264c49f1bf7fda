"""A session of numbered frames that continues over several streams. No I/O; ``docs/protocol.md`` has the rules.

Each end numbers the frames that it sends from 1 and keeps each until the other end has acknowledged it. When a stream
breaks, each end sends on the next stream the number of the last frame that it received. Later frames are sent again, and
repeated frames are dropped here. Every frame thus takes effect once and in order as long as both ends keep the session.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

F = TypeVar("F")


class SessionBroken(Exception):
    """The other end violated the numbering, or too many frames are unacknowledged: the stream cannot continue."""


class Session(Generic[F]):
    """One end of a session. ``max_unacknowledged`` bounds the frames kept for a peer that acknowledges nothing."""

    def __init__(self, max_unacknowledged: int = 10_000) -> None:
        self._max_unacknowledged = max_unacknowledged
        self._last_sent = 0  # number of the last frame that this end numbered
        self._unacknowledged: deque[tuple[int, F]] = deque()
        self.last_received = 0  # number of the last frame that was accepted from the other end
        self._acked = 0  # the last acknowledgement that was sent

    @property
    def unacknowledged(self) -> int:
        """Number of frames that the other end has not acknowledged."""
        return len(self._unacknowledged)

    @property
    def ack_due(self) -> bool:
        """Whether the other end has sent frames that no acknowledgement covers yet."""
        return self.last_received > self._acked

    def assign_seq(self, frame: F) -> int:
        """Number a new frame and keep it until it is acknowledged. SessionBroken if too many frames are kept."""
        if len(self._unacknowledged) >= self._max_unacknowledged:
            raise SessionBroken(f"{len(self._unacknowledged)} frames without an acknowledgement")
        self._last_sent += 1
        self._unacknowledged.append((self._last_sent, frame))
        return self._last_sent

    def ack(self) -> int:
        """Return the acknowledgement to send now, and count it as sent."""
        self._acked = self.last_received
        return self.last_received

    def receive_ack(self, ack: int) -> None:
        """Drop the frames up to ``ack``, which the other end has received."""
        if ack > self._last_sent:
            raise SessionBroken(f"acknowledges frame {ack}, the last one sent is {self._last_sent}")
        while self._unacknowledged and self._unacknowledged[0][0] <= ack:
            self._unacknowledged.popleft()

    def accept(self, seq: int) -> bool:
        """Whether the frame with this number is new; False for a repeat. SessionBroken if a frame is missing."""
        if seq <= self.last_received:
            return False
        if seq != self.last_received + 1:
            raise SessionBroken(f"frame {seq} after {self.last_received}")
        self.last_received = seq
        return True

    def resume(self, last_seen: int) -> list[tuple[int, F]]:
        """Return the frames to send again on a new stream to an end that has received those up to ``last_seen``.

        ``last_seen`` also acknowledges these frames. SessionBroken if it lies before an earlier acknowledgement.
        """
        self.receive_ack(last_seen)
        first = self._unacknowledged[0][0] if self._unacknowledged else self._last_sent + 1
        if last_seen + 1 < first:
            raise SessionBroken(f"saw {last_seen}, but has acknowledged {first - 1}")
        return list(self._unacknowledged)

    def update_unacknowledged(self, change: Callable[[F], F]) -> None:
        """Replace each kept frame by ``change`` of it, before the frames are sent again."""
        self._unacknowledged = deque((seq, change(frame)) for seq, frame in self._unacknowledged)
