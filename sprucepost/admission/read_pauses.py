"""Decides whose stream is not read for a while: bounds the cost of refusals and shares it evenly among sessions."""

from __future__ import annotations

from collections import Counter
from typing import Generic, TypeVar

T = TypeVar("T")


class ReadPauses(Generic[T]):
    """In each interval as many requests may be refused as cost all of its time.

    Beyond that, a session that has had an even share of the refusals is not read until the interval ends.

    This is for the worst case: owners that heed neither refusals nor credit, at ten times the load that can be placed. What
    is not read ages at its owner and is too late for its aim once it is read: with half of that bound, five times the load
    left 0.16 of the peak goodput, where refusing everything left 0.6. No session is paused before it has been refused
    ``MIN_REFUSALS`` times itself.
    """

    MIN_REFUSALS = 16

    def __init__(self, interval_ms: float) -> None:
        self.interval_ms = interval_ms
        self._interval_end = 0.0
        self._refusals_by_key: Counter[T] = Counter()
        self._refusals = 0

    def record_refusal(self, key: T, now: float, cost_ms: float) -> float:
        """Record a refusal of that session, at ``cost_ms`` each (0: not known).

        Returns for how long its stream is not read, in ms; 0: no pause.
        """
        if now >= self._interval_end:
            self._interval_end, self._refusals = now + self.interval_ms, 0
            self._refusals_by_key.clear()
        self._refusals_by_key[key] += 1
        self._refusals += 1
        if not cost_ms:
            return 0.0
        max_refusals = self.interval_ms / cost_ms
        if self._refusals <= max_refusals or self._refusals_by_key[key] < max(
            self.MIN_REFUSALS, max_refusals / len(self._refusals_by_key)
        ):
            return 0.0
        return self._interval_end - now
