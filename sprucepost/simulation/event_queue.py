"""Virtual time and the calls that are scheduled in it."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventQueue:
    """Runs calls in the order of their times, in ms; those of one time in the order in which they were scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled = 0

    def at(self, time_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call; a time in the past means now."""
        self._scheduled += 1
        heapq.heappush(self._heap, (max(time_ms, self.now), self._scheduled, call))

    def run(self, until: float) -> None:
        """Run all calls up to that time, and advance to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until
