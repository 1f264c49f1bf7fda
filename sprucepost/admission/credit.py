"""How many asks each owner may have open, told before it asks, so that under overload most of them are never sent."""

from __future__ import annotations

from collections.abc import Sequence


def max_min_bound(wants: Sequence[float], total: float) -> float:
    """Max-min fairness: the bound for each under which they take ``total`` together; inf where all they want fits.

    Who wants less than the bound gets what it wants, and what it leaves goes to the others evenly.
    """
    remaining = total
    for n, want in enumerate(sorted(wants)):
        share = remaining / (len(wants) - n)
        if want > share:
            return share
        remaining -= want
    return float("inf")


class Credit:
    """``total`` asks that may be without an outcome together; 0: no bound.

    =======================  =====================================================================================
    the line drains          no bound: bursts are what the line is for
    it stands and refuses    as many as are answered within a quarter of the aim and the machines' own time (Little's law)
    it was empty since       a quarter more at each look, until they are more than may be open in all
    neither                  as before
    =======================  =====================================================================================

    A line that runs empty while owners hold asks back is time lost: what fits is an estimate, and where it came out too
    small it must grow at once. But not be lifted at once: all that owners hold back would arrive as one burst,
    the line would stand again, and placer and owners would swing between too much and nothing.
    """

    def __init__(self) -> None:
        self.total = 0

    def update(self, refuses: bool, was_empty: bool, affordable: float, max_open: int) -> None:
        """``was_empty``: the line was, at some moment since the last look. ``affordable``: as many as are answered in
        a bearable time, at the pace of now. ``max_open`` may be open in all."""
        if refuses:
            self.total = max(1, min(int(affordable), max_open))
        elif self.total and was_empty:
            self.total += max(1, self.total // 4)
            if self.total >= max_open:
                self.total = 0

    def per_owner_bound(self, open_asks: Sequence[int], previous: int) -> int:
        """The bound for each owner, of those that have asks open, where ``told`` was it so far; 0: no bound. Who is at its
        bound may want any number more."""
        if not self.total:
            return 0
        wants = [float("inf") if not previous or count >= previous else float(count) for count in open_asks]
        bound = max_min_bound(wants, float(self.total))
        return max(1, self.total if bound == float("inf") else int(bound))
