"""Whose stream is left unread for a while: what refusing may cost, shared evenly among those that are refused."""

from __future__ import annotations

from collections import Counter
from typing import Generic, TypeVar

T = TypeVar("T")


class Reading(Generic[T]):
    """In each interval ``most`` asks may be refused in all: that many cost half of it.

    Owners that heed neither refusals nor credit are left unread for the rest of an interval once they have had an even share
    of those; the others go on. Nobody is left unread before all together have been refused half of ``most``, and none before
    it has been refused ``LEAST`` times itself.
    """

    LEAST = 16

    def __init__(self, interval_ms: float) -> None:
        self.interval_ms = interval_ms
        self._until = 0.0
        self._of: Counter[T] = Counter()
        self._count = 0

    def refused(self, who: T, now: float, cost_ms: float) -> float:
        """One more is refused, each at ``cost_ms`` (0: not known). For how long its stream is left unread; 0: it is not."""
        if now >= self._until:
            self._until, self._count = now + self.interval_ms, 0
            self._of.clear()
        self._of[who] += 1
        self._count += 1
        if not cost_ms:
            return 0.0
        most = self.interval_ms / 2.0 / cost_ms
        if self._count <= most / 2.0 or self._of[who] < max(self.LEAST, most / len(self._of)):
            return 0.0
        return self._until - now
