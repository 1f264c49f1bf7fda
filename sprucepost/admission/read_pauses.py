"""Whose stream is left unread for a while: what refusing may cost, shared evenly among those that are refused."""

from __future__ import annotations

from collections import Counter
from typing import Generic, TypeVar

T = TypeVar("T")


class ReadPauses(Generic[T]):
    """In each interval as many asks may be refused as cost all of it; beyond, who has had an even share is left unread.

    That is the worst of all cases: owners that heed neither refusals nor credit, at ten times what can be placed.
    What is not read grows old at its owner, and is too late for its aim when it is: with half of that bound five times
    the load left 0.16 of the peak's goodput, where refusing all left 0.6. None is left unread before it has been refused
    ``MIN_REFUSALS`` times itself.
    """

    MIN_REFUSALS = 16

    def __init__(self, interval_ms: float) -> None:
        self.interval_ms = interval_ms
        self._interval_end = 0.0
        self._refusals_by: Counter[T] = Counter()
        self._refusals = 0

    def record_refusal(self, key: T, now: float, cost_ms: float) -> float:
        """One more is refused, each at ``cost_ms`` (0: not known). For how long its stream is left unread; 0: it is not."""
        if now >= self._interval_end:
            self._interval_end, self._refusals = now + self.interval_ms, 0
            self._refusals_by.clear()
        self._refusals_by[key] += 1
        self._refusals += 1
        if not cost_ms:
            return 0.0
        max_refusals = self.interval_ms / cost_ms
        if self._refusals <= max_refusals or self._refusals_by[key] < max(
            self.MIN_REFUSALS, max_refusals / len(self._refusals_by)
        ):
            return 0.0
        return self._interval_end - now
