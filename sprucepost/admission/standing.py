"""Whether the line stands or drains: the least length within an interval tells them apart (after CoDel, RFC 8289)."""

from __future__ import annotations


class Standing:
    """``standing`` once the line has not been shorter than ``target_ms`` for a whole interval, until it is.

    A burst, however long its line, is over at some moment; under overload the line never is. The mean, the longest wait or
    the loop's lag cannot tell the two apart. What counts is the time that the whole line takes to drain: in a fair line the
    next ask of a quiet owner waits for nothing even then, and with each ask's own wait the verdict went to and fro.
    """

    def __init__(self, target_ms: float, interval_ms: float) -> None:
        if not 0 < target_ms < interval_ms:
            raise ValueError("target_ms: must be above 0 and below interval_ms")
        self._target, self._interval = target_ms, interval_ms
        self.standing = False
        self._above: float | None = None  # since when it was longer at every look

    def look(self, now: float, length_ms: float) -> None:
        """The line as it is left after asks were taken up, in ms until it will have drained."""
        if length_ms < self._target:
            self._above, self.standing = None, False
        elif self._above is None:
            self._above = now
        elif now - self._above >= self._interval:
            self.standing = True
