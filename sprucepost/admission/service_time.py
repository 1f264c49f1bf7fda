"""How fast the line moves: what an ask costs this process, all in, learned while the line is never empty."""

from __future__ import annotations

from collections import deque
from statistics import median

WINDOW_MS = 20.0  # shorter ones say more about the clock than about the work
WINDOWS_KEPT = 9
REFUSAL_COST_SHARE = 0.1  # of what an ask costs that is taken up: what refusing may cost at the most


class ServiceTime:
    """While asks wait the loop does not rest, so time passed by asks taken up is what one costs: reading, deciding,
    offering and the machines' answers included. Of the latest windows the median counts: a pause of the process lies in
    one of them.

    ``cost_ms`` is that without the asks refused meanwhile, and 0 until it is known; it outlives the line. ``pace_ms`` is how
    fast this line moves, refusals included. Without that difference an overload, in which most of the time goes
    into refusing, is remembered as a slow host, and the next burst is refused.
    """

    def __init__(self) -> None:
        self.cost_ms = self._pace_ms = 0.0
        self._window_start: float | None = None
        self._dequeued = self._refused = 0
        self._costs: deque[float] = deque(maxlen=WINDOWS_KEPT)
        self._paces: deque[float] = deque(maxlen=WINDOWS_KEPT)

    @property
    def pace_ms(self) -> float:
        return max(self.cost_ms, self._pace_ms)

    def record_refusal(self) -> None:
        self._refused += 1

    def record_dequeued(self, now: float, count: int, left: int) -> None:
        """At ``now`` that many were taken up, and so many still wait."""
        if self._window_start is not None and now - self._window_start >= WINDOW_MS and self._dequeued:
            elapsed_ms = now - self._window_start
            self._costs.append(elapsed_ms / (self._dequeued + REFUSAL_COST_SHARE * self._refused))
            self._paces.append(elapsed_ms / self._dequeued)
            # The first two windows count as well, or an overload that finds a fresh process lets in all that comes for as
            # long as three take; the smaller of the two, since a pause may lie in either.
            self.cost_ms = median(self._costs) if len(self._costs) >= 3 else min(self._costs)
            self._pace_ms = median(self._paces) if len(self._paces) >= 3 else 0.0
            self._window_start = None
        if not left:
            self._window_start = None
            self._paces.clear()
            self._pace_ms = 0.0
        elif self._window_start is None:
            self._window_start, self._dequeued, self._refused = now, count, 0
        else:
            self._dequeued += count
