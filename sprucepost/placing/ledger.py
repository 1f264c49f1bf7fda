"""The ledger of tasks: every task is open, then exactly one of placed, refused, failed.

Free of I/O and clock. :meth:`Ledger.settle` raises where a task is not open, so a second outcome is impossible in any
order of callbacks. :func:`late_action` decides what to do with a task that a machine turns out to hold after its offer was
given up, or after a restart.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Outcome(Enum):
    """The state of a task: open, or its one outcome."""

    OPEN = "open"
    PLACED = "placed"
    REFUSED = "refused"
    FAILED = "failed"


class DuplicateOutcomeError(Exception):
    """Raised on an attempt to settle a task that already has its outcome."""


@dataclass(eq=False)
class Entry:
    """One task of this placer.

    ``sessions`` are those to notify, in the order in which they submitted the task; one that has submitted it twice while
    it is open gets two outcomes.
    """

    request: int
    name: str
    task_class: int
    service: str
    outcome: Outcome = Outcome.OPEN
    sessions: dict[bytes, int] = field(default_factory=dict)  # number of outcomes still to be sent to each
    attempts: int = 0
    pending_attempt: int | None = None  # number of the attempt that is not answered yet
    machine: str = ""  # the machine on which it is placed
    attempt: int = 0  # number of the attempt that placed it
    cancelled: bool = False  # its owner has cancelled it
    may_have_run: bool = False  # an attempt ended without proof that it never ran
    owner: str | None = None  # the owner in whose share of open tasks it counts, while it is open
    deadline: float = 0.0  # when its owner gives up, in ms on the loop's clock
    opened_at: float = 0.0
    dequeued_at: float = 0.0  # when it left the admission queue, in ms on the loop's clock; 0 while it is queued
    repeat: bool = False  # its owner has submitted it before
    ask: Any = None  # what the task asks for, as submitted


class LateAction(Enum):
    """What to do with a task that a machine holds and that no attempt of this placer waits for."""

    PLACE = "place"  # bind it: the task is still open
    TAKE_OVER = "take_over"  # this placer does not know it, and becomes responsible for it
    RECLAIM = "reclaim"  # another process of this number took it over, and its owner is still this placer's
    SURFACE = "surface"  # its owner was told that it failed, and may hand it over
    WITHDRAW = "withdraw"  # a duplicate: another attempt counts


def late_action(entry: Entry | None, is_detached: bool = False) -> LateAction:
    """Decide on such a task. ``entry``: the latest task of that name, or None; ``is_detached``: see ``Attempts``."""
    if entry is None:
        return LateAction.TAKE_OVER
    if entry.outcome is Outcome.OPEN:
        # A pending attempt takes precedence, as two must not both be bound. Of a keyed task the group keeps one copy.
        return LateAction.PLACE if entry.pending_attempt is None and not entry.cancelled else LateAction.WITHDRAW
    if entry.outcome is Outcome.PLACED and is_detached:
        return LateAction.RECLAIM
    if entry.outcome is Outcome.FAILED and not entry.cancelled:
        return LateAction.SURFACE
    return LateAction.WITHDRAW


class Ledger:
    """Tasks by request number and by name.

    Open and placed tasks are kept until they end, the others until :meth:`forget`. ``open`` is the number of open tasks.
    """

    def __init__(self) -> None:
        self._requests = 0
        self._by_request: dict[int, Entry] = {}
        self._by_name: dict[str, Entry] = {}
        self._settled: list[tuple[float, Entry]] = []
        self.open = 0
        self.outcomes: Counter[Outcome] = Counter()

    def __len__(self) -> int:
        return len(self._by_request)

    def by_request(self, request: int) -> Entry | None:
        """The task of that request number, if it is kept."""
        return self._by_request.get(request)

    def by_name(self, name: str) -> Entry | None:
        """The latest task of that name that is open, placed, or recently settled."""
        return self._by_name.get(name)

    def current(self, name: str) -> Entry | None:
        """The task of that name if it is open or placed; a further submission joins it."""
        entry = self._by_name.get(name)
        return entry if entry is not None and entry.outcome in (Outcome.OPEN, Outcome.PLACED) else None

    def open_entries(self) -> list[Entry]:
        """All open tasks."""
        return [entry for entry in self._by_request.values() if entry.outcome is Outcome.OPEN]

    def take(self, name: str, task_class: int, service: str, now: float) -> Entry:
        """Open a new task. None of that name may be open or placed."""
        assert self.current(name) is None, f"{name} is open or placed"
        self._requests += 1
        entry = Entry(self._requests, name, task_class, service, opened_at=now)
        self._by_request[entry.request] = self._by_name[name] = entry
        self.open += 1
        return entry

    def settle(self, entry: Entry, outcome: Outcome, now: float) -> None:
        """Record the one outcome of an open task."""
        if entry.outcome is not Outcome.OPEN:
            raise DuplicateOutcomeError(f"{entry.name}: {outcome.value} after {entry.outcome.value}")
        assert outcome is not Outcome.OPEN
        entry.outcome = outcome
        self.open -= 1
        self.outcomes[outcome] += 1
        if outcome is not Outcome.PLACED:
            self._settled.append((now, entry))

    def renumber(self, entry: Entry) -> int:
        """Give a task that was found running a new request number, under which the scheduler learns of it."""
        del self._by_request[entry.request]
        self._requests += 1
        entry.request = self._requests
        self._by_request[entry.request] = entry
        return entry.request

    def end(self, entry: Entry) -> None:
        """Remove a placed task that has ended."""
        assert entry.outcome is Outcome.PLACED, f"{entry.name} is {entry.outcome.value}"
        del self._by_request[entry.request]
        if self._by_name.get(entry.name) is entry:
            del self._by_name[entry.name]

    def forget(self, before: float) -> None:
        """Drop tasks that were refused or failed before that time; no late message is expected for them."""
        kept = []
        for at, entry in self._settled:
            if at >= before:
                kept.append((at, entry))
            else:
                del self._by_request[entry.request]
                if self._by_name.get(entry.name) is entry:
                    del self._by_name[entry.name]
        self._settled = kept
