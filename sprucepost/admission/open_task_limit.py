"""Limits how many tasks may be open, and each owner's share of them."""

from __future__ import annotations

from collections import Counter

TOO_MANY_OPEN = "too many open tasks"
SCARCE_SHARE = 0.8  # of the limit: above it, worth and shares count


class OpenTaskLimit:
    """At most ``max_open`` open tasks, which bounds memory; ``opened`` and ``closed`` count them.

    ``open``: open tasks by owner; ``total``: all open tasks.

    ================  ==============================================================================
    at the limit      refused, whatever its worth
    the last fifth    refused below a worth that rises from 0 to 1 as the last fifth fills up
    an owner's share  in the last fifth an owner that holds an even share or more is refused
    ================  ==============================================================================
    """

    def __init__(self, max_open: int) -> None:
        self.max_open = max_open
        self.open: Counter[str] = Counter()
        self.total = 0
        self._waiting_until: dict[str, float] = {}  # recently refused owners, until when they count as waiting

    def refusal_reason(self, owner: str, worth: float, now: float) -> str:
        """Why a request is refused; empty if it is not."""
        used_share = self.total / self.max_open
        if used_share >= 1.0:
            return TOO_MANY_OPEN
        if used_share < SCARCE_SHARE:
            return ""
        if worth < (used_share - SCARCE_SHARE) / (1.0 - SCARCE_SHARE):
            return "too many open tasks for its worth"
        # An owner just refused has a share too: otherwise one that holds everything is alone and keeps it.
        while self._waiting_until and next(iter(self._waiting_until.values())) < now:
            del self._waiting_until[next(iter(self._waiting_until))]
        holders = len(self.open.keys() | self._waiting_until.keys() | {owner})
        if holders > 1 and self.open[owner] >= self.max_open / holders:
            return "this owner has its share of open tasks"
        return ""

    def record_refusal(self, owner: str, until: float) -> None:
        """Count a refused owner as waiting, until that time."""
        self._waiting_until.pop(owner, None)
        self._waiting_until[owner] = until

    def record_admission(self, owner: str) -> None:
        """Stop counting the owner as waiting."""
        self._waiting_until.pop(owner, None)

    def opened(self, owner: str) -> None:
        """Count a task that was opened."""
        self.open[owner] += 1
        self.total += 1

    def closed(self, owner: str) -> None:
        """Count a task that is open no more."""
        self.total -= 1
        self.open[owner] -= 1
        if self.open[owner] <= 0:
            del self.open[owner]
