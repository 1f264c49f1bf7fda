"""How many messages of no use a connection may bring before it is ended. No I/O.

A message is of no use if it changes nothing and could not have: an unknown type, a release of an unknown id, a set-up that
is refused for what it contains or taken back before it was offered, a health check. Some of them come from clients that keep
to the protocol: after a restart of the placer, or when messages cross each other. So the rate is far above what those need.
"""

from __future__ import annotations

BURST = 1000.0  # messages at once: the protocol page's bad clients send hundreds, and get an answer or a close
PER_SECOND = 100.0  # messages in the long run; the busiest placer gets 90 set-ups a second from all its clients
MANY = 32  # without an answer between them, by which a connection counts as one that floods


class UselessMessages:
    """Token bucket of one connection: ``BURST`` messages, refilled at ``PER_SECOND``. Times are ms of one clock."""

    def __init__(self, now: float) -> None:
        self._left, self._refilled_at = BURST, now
        self.since_answer = 0  # messages since something was last sent on the connection

    @property
    def are_many(self) -> bool:
        """Whether many have come since something was last sent on the connection."""
        return self.since_answer >= MANY

    def record(self, now: float) -> bool:
        """Count one message; return whether the connection may stay."""
        self.since_answer += 1
        self._left = min(BURST, self._left + (now - self._refilled_at) * PER_SECOND / 1000.0)
        self._refilled_at = now
        self._left -= 1.0
        return self._left >= 0.0
