"""Whether the line stands or drains: the least length within an interval tells them apart (after CoDel, RFC 8289)."""

from __future__ import annotations


class Standing:
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
        self._target, self._interval = target_ms, interval_ms
        self.standing = False
        self._above = 0.0  # for how long it was longer at every look
        self._looked = 0.0
        self._until = -interval_ms  # how long it counts as lately

    def lately(self, now: float) -> bool:
        return self.standing or now < self._until

    def refused(self, now: float) -> None:
        """The line was too long for an ask."""
        if self.lately(now):
            self._until = now + self._interval

    def look(self, now: float, length_ms: float) -> None:
        """The line as it is left after asks were taken up, in ms until it will have drained."""
        # A gap counts for no more than the target: the process stood still, and what the line did meanwhile nobody saw.
        passed, self._looked = min(now - self._looked, self._target), now
        if length_ms < self._target:
            self._above, self.standing = 0.0, False
            return
        self._above += passed
        if self._above >= (self._interval / 4.0 if self.lately(now) else self._interval):
            self.standing, self._until = True, now + self._interval
