"""Whether the line stands or drains: the least length within an interval tells them apart (after CoDel, RFC 8289)."""

from __future__ import annotations


class OverloadDetector:
    """``standing`` once the line has not been shorter than ``target_ms`` for a whole interval, until it is.

    A burst, however long its line, is over at some moment; under overload the line never is. The mean, the longest wait or
    the loop's lag cannot tell the two apart. What counts is the time that the whole line takes to drain: in a fair line the
    next ask of a quiet owner waits for nothing even then, and with each ask's own wait the verdict went to and fro.

    ``lately`` outlives it: until an interval has passed in which nothing was refused, and a quarter of one is then enough
    for the line to stand again. Without that an overload was forgotten whenever the line ran empty for a moment, which the
    bounds of a standing line see to: it grew to a whole aim again before it counted, and goodput swung between a tenth and
    twice the mean.
    """

    def __init__(self, target_ms: float, interval_ms: float) -> None:
        if not 0 < target_ms < interval_ms:
            raise ValueError("target_ms: must be above 0 and below interval_ms")
        self._target_ms, self._interval_ms = target_ms, interval_ms
        self.overloaded = False
        self._above_target_ms = 0.0  # for how long it was longer at every look
        self._last_update = 0.0
        self._recent_until = -interval_ms  # how long it counts as lately

    def recent(self, now: float) -> bool:
        return self.overloaded or now < self._recent_until

    def record_refusal(self, now: float) -> None:
        """The line was too long for an ask."""
        if self.recent(now):
            self._recent_until = now + self._interval_ms

    def update(self, now: float, drain_ms: float) -> None:
        """The line as it is left after asks were taken up, in ms until it will have drained."""
        # A gap counts for no more than the target: the process stood still, and what the line did meanwhile nobody saw.
        elapsed_ms, self._last_update = min(now - self._last_update, self._target_ms), now
        if drain_ms < self._target_ms:
            self._above_target_ms, self.overloaded = 0.0, False
            return
        self._above_target_ms += elapsed_ms
        if self._above_target_ms >= (self._interval_ms / 4.0 if self.recent(now) else self._interval_ms):
            self.overloaded, self._recent_until = True, now + self._interval_ms
