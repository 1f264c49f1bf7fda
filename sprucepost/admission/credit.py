"""How many asks each owner may have open, told before it asks, so that under overload most of them are never sent."""

from __future__ import annotations

from collections.abc import Sequence


def level(wants: Sequence[float], total: float) -> float:
    """Max-min fairness: the bound for each under which they take ``total`` together; inf where all they want fits.

    Who wants less than the bound gets what it wants, and what it leaves goes to the others evenly.
    """
    left = total
    for n, want in enumerate(sorted(wants)):
        share = left / (len(wants) - n)
        if want > share:
            return share
        left -= want
    return float("inf")


class Credit:
    """``total`` asks that may be without an outcome together; 0: no bound.

    =======================  =====================================================================================
    the line drains          no bound: bursts are what the line is for
    the line stands          as many as are answered within a quarter of the aim and the machines' own time (Little's law)
    it has stopped standing  twice as many after each interval, until they are more than may be open in all
    =======================  =====================================================================================

    The bound is let go slowly: were it lifted at once, all that owners hold back would arrive as one burst, the line
    would stand again, and placer and owners would swing between too much and nothing.
    """

    def __init__(self, interval_ms: float) -> None:
        self._interval = interval_ms
        self.total = 0
        self._since = 0.0

    def look(self, now: float, standing: bool, fits: float, most: int) -> None:
        """``fits``: as many as are answered in a bearable time, at the pace of now; ``most`` may be open in all."""
        if standing:
            self.total, self._since = max(1, min(int(fits), most)), now
        elif self.total and now - self._since >= self._interval:
            self.total, self._since = self.total * 2, now
            if self.total >= most:
                self.total = 0

    def each(self, open_asks: Sequence[int], told: int) -> int:
        """The bound for each owner, of those that have asks open, where ``told`` was it so far; 0: no bound. Who is at its
        bound may want any number more."""
        if not self.total:
            return 0
        wants = [float("inf") if not told or count >= told else float(count) for count in open_asks]
        found = level(wants, float(self.total))
        return max(1, self.total if found == float("inf") else int(found))
