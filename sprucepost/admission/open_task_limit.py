"""How many tasks may be open, and whose they may be."""

from __future__ import annotations

from collections import Counter

TOO_MANY_OPEN = "too many open tasks"
SCARCE_SHARE = 0.8  # of the room: beyond, worth and shares count


class OpenTaskLimit:
    """``max_open`` open tasks, a bound on memory; ``opened`` and ``closed`` keep the books.

    ================  ==============================================================================
    all taken         refused, whatever it is worth
    the last fifth    only asks of at least the worth that the place asks for: the fuller, the dearer
    an owner's share  in the last fifth an owner that holds more than an even share waits
    ================  ==============================================================================
    """

    def __init__(self, max_open: int) -> None:
        self.max_open = max_open
        self.open: Counter[str] = Counter()
        self.total = 0
        self._refused_until: dict[str, float] = {}  # owners turned away, until when they count as waiting

    def refusal_reason(self, owner: str, worth: float, now: float) -> str:
        """Why this ask finds no room; empty where it does."""
        used_share = self.total / self.max_open
        if used_share >= 1.0:
            return TOO_MANY_OPEN
        if used_share < SCARCE_SHARE:
            return ""
        if worth < (used_share - SCARCE_SHARE) / (1.0 - SCARCE_SHARE):
            return "too many open tasks for its worth"
        # Who was just turned away has a share too: else one that holds everything is alone and keeps it.
        while self._refused_until and next(iter(self._refused_until.values())) < now:
            del self._refused_until[next(iter(self._refused_until))]
        holders = len(self.open.keys() | self._refused_until.keys() | {owner})
        if holders > 1 and self.open[owner] >= self.max_open / holders:
            return "this owner has its share of open tasks"
        return ""

    def record_refusal(self, owner: str, until: float) -> None:
        self._refused_until.pop(owner, None)
        self._refused_until[owner] = until

    def record_admission(self, owner: str) -> None:
        self._refused_until.pop(owner, None)

    def opened(self, owner: str) -> None:
        self.open[owner] += 1
        self.total += 1

    def closed(self, owner: str) -> None:
        self.total -= 1
        self.open[owner] -= 1
        if self.open[owner] <= 0:
            del self.open[owner]
