"""Tells an overload from a burst by the shortest queue within an interval (after CoDel, RFC 8289)."""

from __future__ import annotations


class OverloadDetector:
    """``overloaded`` once the queue has not been shorter than ``target_ms`` for a whole interval, until it is again.

    The queue of a burst, however long, drains at some moment; under overload it never does. Neither the mean nor the longest
    wait nor the loop's lag can tell the two apart. The queue's length is the time that it takes to drain. Each request's own
    wait is not used: in a fair queue the next request of a quiet owner does not wait even under overload, and the result
    oscillated.

    :meth:`recent` stays true until an interval has passed without a refusal, and meanwhile a quarter of an interval is
    enough to detect the next overload. Without that, an overload was forgotten whenever the queue ran empty for a moment,
    which the limits applied under overload bring about: the queue grew to a whole aim again before it was detected, and
    goodput oscillated between a tenth and twice the mean.
    """

    def __init__(self, target_ms: float, interval_ms: float) -> None:
        if not 0 < target_ms < interval_ms:
            raise ValueError("target_ms: must be above 0 and below interval_ms")
        self._target_ms, self._interval_ms = target_ms, interval_ms
        self.overloaded = False
        self._above_target_for_ms = 0.0  # for how long it was longer at every update
        self._last_update = 0.0
        self._recent_until = -interval_ms  # until when an overload counts as recent

    def recent(self, now: float) -> bool:
        """Whether there is an overload or was one within the last interval."""
        return self.overloaded or now < self._recent_until

    def record_refusal(self, now: float) -> None:
        """Record that the queue was too long for a request."""
        if self.recent(now):
            self._recent_until = now + self._interval_ms

    def update(self, now: float, drain_ms: float) -> None:
        """Record the queue's length after requests were dequeued, as the time in ms that it takes to drain."""
        # A gap counts as the target at most: the process was stalled, and the queue was not observed meanwhile.
        elapsed_ms, self._last_update = min(now - self._last_update, self._target_ms), now
        if drain_ms < self._target_ms:
            self._above_target_for_ms, self.overloaded = 0.0, False
            return
        self._above_target_for_ms += elapsed_ms
        if self._above_target_for_ms >= (self._interval_ms / 4.0 if self.recent(now) else self._interval_ms):
            self.overloaded, self._recent_until = True, now + self._interval_ms
