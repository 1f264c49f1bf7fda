"""Virtual time: what is to happen when."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventQueue:
    """Calls by their moment, in ms; those of one moment in the order in which they were asked for."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._calls = 0

    def at(self, moment: float, call: Callable[[], None]) -> None:
        """Do that then."""
        self._calls += 1
        heapq.heappush(self._heap, (max(moment, self.now), self._calls, call))

    def run(self, until: float) -> None:
        """Play up to that moment."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until
