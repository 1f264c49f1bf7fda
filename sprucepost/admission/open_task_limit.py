"""How many tasks may be open, and whose they may be."""

from __future__ import annotations

from collections import Counter

FULL = "too many open tasks"
SCARCE = 0.8  # of the room: beyond, worth and shares count


class Room:
    """``most`` open tasks, a bound on memory; ``opened`` and ``closed`` keep the books.

    ================  ==============================================================================
    all taken         refused, whatever it is worth
    the last fifth    only asks of at least the worth that the place asks for: the fuller, the dearer
    an owner's share  in the last fifth an owner that holds more than an even share waits
    ================  ==============================================================================
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.open: Counter[str] = Counter()
        self.total = 0
        self._waiting: dict[str, float] = {}  # owners turned away, until when they count as waiting

    def why_not(self, owner: str, worth: float, now: float) -> str:
        """Why this ask finds no room; empty where it does."""
        full = self.total / self.most
        if full >= 1.0:
            return FULL
        if full < SCARCE:
            return ""
        if worth < (full - SCARCE) / (1.0 - SCARCE):
            return "too many open tasks for its worth"
        # Who was just turned away has a share too: else one that holds everything is alone and keeps it.
        while self._waiting and next(iter(self._waiting.values())) < now:
            del self._waiting[next(iter(self._waiting))]
        holders = len(self.open.keys() | self._waiting.keys() | {owner})
        if holders > 1 and self.open[owner] >= self.most / holders:
            return "this owner has its share of open tasks"
        return ""

    def turned_away(self, owner: str, until: float) -> None:
        self._waiting.pop(owner, None)
        self._waiting[owner] = until

    def let_in(self, owner: str) -> None:
        self._waiting.pop(owner, None)

    def opened(self, owner: str) -> None:
        self.open[owner] += 1
        self.total += 1

    def closed(self, owner: str) -> None:
        self.total -= 1
        self.open[owner] -= 1
        if self.open[owner] <= 0:
            del self.open[owner]
