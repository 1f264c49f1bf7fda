"""Bounds how many submissions owners may have open, so that under overload most of them are never sent."""

from __future__ import annotations

from collections.abc import Sequence


def max_min_bound(demands: Sequence[float], total: float) -> float:
    """The max-min fair bound on each demand under which all together use ``total``; inf if all demands fit.

    A demand below the bound is met in full, and what it leaves is divided evenly among the others.
    """
    remaining = total
    for n, demand in enumerate(sorted(demands)):
        share = remaining / (len(demands) - n)
        if demand > share:
            return share
        remaining -= demand
    return float("inf")


class Credit:
    """``total``: how many submissions may be without an outcome in all; 0: no bound.

    =======================  =====================================================================================
    the queue drains         no bound: the queue is there to absorb bursts
    overload, refusals       as many as are answered within a quarter of the aim plus the machines' time (Little's law)
    it was empty meanwhile   a quarter more at each update, until it exceeds the limit on open tasks
    neither                  unchanged
    =======================  =====================================================================================

    A queue that runs empty while owners hold submissions back wastes time. The bound is an estimate, and where it is too
    low it must grow immediately. It is not lifted at once: all held submissions would arrive as one burst, the placer would
    be overloaded again, and the load would oscillate between too much and nothing.
    """

    def __init__(self) -> None:
        self.total = 0

    def update(self, refuses: bool, was_empty: bool, affordable: float, max_open: int) -> None:
        """Recompute the bound.

        ``refuses``: the queue is overloaded and has refused requests since the last update; ``was_empty``: it was empty at
        some moment since then; ``affordable``: how many are answered in an acceptable time at the current pace;
        ``max_open`` tasks may be open in all.
        """
        if refuses:
            self.total = max(1, min(int(affordable), max_open))
        elif self.total and was_empty:
            self.total += max(1, self.total // 4)
            if self.total >= max_open:
                self.total = 0

    def per_owner_bound(self, open_submissions: Sequence[int], previous: int) -> int:
        """The bound for each owner, by the open submissions of each; ``previous``: the bound so far; 0: no bound.

        An owner that has reached its bound may want any number more.
        """
        if not self.total:
            return 0
        demands = [float("inf") if not previous or count >= previous else float(count) for count in open_submissions]
        bound = max_min_bound(demands, float(self.total))
        return max(1, self.total if bound == float("inf") else int(bound))
