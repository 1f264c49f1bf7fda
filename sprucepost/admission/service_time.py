"""Measures what one request costs this process in total, while requests are queued without a gap."""

from __future__ import annotations

from collections import deque
from statistics import median

WINDOW_MS = 20.0  # shorter windows measure the clock more than the work
WINDOWS_KEPT = 9
REFUSAL_COST_SHARE = 0.1  # upper bound on the cost of a refusal, as a share of the cost of a processed request


class ServiceTime:
    """The cost of a request, learned while the queue is not empty.

    The loop does not idle while requests are queued, so the elapsed time divided by the number of dequeued requests is the
    cost of one, including reading, deciding, offering and the machines' answers. The median of the latest windows is used,
    so that a stall of the process, which falls into one of them, has no effect.

    ``cost_ms``: the cost without the requests refused meanwhile, 0 until it is known; it is kept when the queue empties.
    ``pace_ms``: the time per dequeued request in the current queue, refusals included. Without this distinction an
    overload, in which most time goes into refusals, is remembered as a slow host, and the next burst is refused.
    """

    def __init__(self) -> None:
        self.cost_ms = self._pace_ms = 0.0
        self._window_start: float | None = None
        self._dequeued = self._refused = 0
        self._costs: deque[float] = deque(maxlen=WINDOWS_KEPT)
        self._paces: deque[float] = deque(maxlen=WINDOWS_KEPT)

    @property
    def pace_ms(self) -> float:
        """The time per dequeued request, refusals included."""
        return max(self.cost_ms, self._pace_ms)

    def record_refusal(self) -> None:
        """Count a refusal in the current window."""
        self._refused += 1

    def record_dequeued(self, now: float, count: int, left: int) -> None:
        """Record that ``count`` requests were dequeued at ``now`` and ``left`` are still queued."""
        if self._window_start is not None and now - self._window_start >= WINDOW_MS and self._dequeued:
            elapsed_ms = now - self._window_start
            self._costs.append(elapsed_ms / (self._dequeued + REFUSAL_COST_SHARE * self._refused))
            self._paces.append(elapsed_ms / self._dequeued)
            # The first two windows are used as well: otherwise a fresh process under overload admits everything until three
            # have passed. The smaller of the two is taken, since a stall may fall into either.
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
