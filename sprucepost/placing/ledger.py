"""The settlement ledger: every task taken is open, then exactly one of placed, refused, failed.

Free of I/O and clock. The ledger, not the order of callbacks, makes a second answer impossible: :meth:`Ledger.settle`
raises where a task is not open. It also says what a late word of a machine means (:func:`late_word`), for a task that
a machine turns out to hold after its offer was given up, or after a restart.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Outcome(Enum):
    OPEN = "open"
    PLACED = "placed"
    REFUSED = "refused"
    FAILED = "failed"


class DuplicateOutcomeError(Exception):
    """Something tried to answer a task that has its answer."""


@dataclass(eq=False)
class Entry:
    """One task of this placer. ``sessions`` are those that are to hear of it, in the order in which they
    came; one that has asked twice while the task is open is owed two outcomes."""

    request: int
    name: str
    task_class: int
    service: str
    outcome: Outcome = Outcome.OPEN
    sessions: dict[bytes, int] = field(default_factory=dict)  # and how many outcomes each is owed
    attempts: int = 0
    pending_attempt: int | None = None  # the attempt that is out
    machine: str = ""  # where it is placed
    attempt: int = 0  # by which attempt
    cancelled: bool = False  # its owner wants it no more
    may_have_run: bool = False  # an attempt ended without proof that it never ran
    owner: str | None = None  # whose share of the room it counts for, while it is open
    deadline: float = 0.0  # when its owner gives up
    opened_at: float = 0.0
    dequeued_at: float = 0.0  # when it came out of the line, on the loop's clock; 0 while it waits there
    repeat: bool = False  # its owner had asked before
    ask: Any = None  # what the task asks for, as it came


class LateAction(Enum):
    """What to do with a task that a machine holds and that no attempt of ours waits for."""

    PLACE = "place"  # it is the answer to a task still open
    TAKE_OVER = "take_over"  # nobody here knows it: it is ours to look after
    SURFACE = "surface"  # its owner was told of a failure and may hand it over
    WITHDRAW = "withdraw"  # a copy: another attempt counts


def late_action(entry: Entry | None) -> LateAction:
    """``entry``: the task of that name, the latest one where it came several times; None where there is none."""
    if entry is None:
        return LateAction.TAKE_OVER
    if entry.outcome is Outcome.OPEN:
        # With an attempt out, that one counts: two may not both be bound. Of a keyed task the group keeps one copy.
        return LateAction.PLACE if entry.pending_attempt is None and not entry.cancelled else LateAction.WITHDRAW
    if entry.outcome is Outcome.FAILED and not entry.cancelled:
        return LateAction.SURFACE
    return LateAction.WITHDRAW


class Ledger:
    """Tasks by request and by name. Open and placed ones are kept until they end, the others until :meth:`forget`."""

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
        return self._by_request.get(request)

    def by_name(self, name: str) -> Entry | None:
        """The latest task of that name that is open, placed, or answered a short while ago."""
        return self._by_name.get(name)

    def current(self, name: str) -> Entry | None:
        """The task of that name if it is open or placed: a further ask joins it."""
        entry = self._by_name.get(name)
        return entry if entry is not None and entry.outcome in (Outcome.OPEN, Outcome.PLACED) else None

    def open_entries(self) -> list[Entry]:
        return [entry for entry in self._by_request.values() if entry.outcome is Outcome.OPEN]

    def take(self, name: str, task_class: int, service: str, now: float) -> Entry:
        """A new open task. One of that name must not be open or placed."""
        assert self.current(name) is None, f"{name} is open or placed"
        self._requests += 1
        entry = Entry(self._requests, name, task_class, service, opened_at=now)
        self._by_request[entry.request] = self._by_name[name] = entry
        self.open += 1
        return entry

    def settle(self, entry: Entry, outcome: Outcome, now: float) -> None:
        """The one outcome of an open task."""
        if entry.outcome is not Outcome.OPEN:
            raise DuplicateOutcomeError(f"{entry.name}: {outcome.value} after {entry.outcome.value}")
        assert outcome is not Outcome.OPEN
        entry.outcome = outcome
        self.open -= 1
        self.outcomes[outcome] += 1
        if outcome is not Outcome.PLACED:
            self._settled.append((now, entry))

    def renumber(self, entry: Entry) -> int:
        """A new request number for the same task (it was found running: the module knows it by a new one)."""
        del self._by_request[entry.request]
        self._requests += 1
        entry.request = self._requests
        self._by_request[entry.request] = entry
        return entry.request

    def end(self, entry: Entry) -> None:
        """A placed task is over."""
        assert entry.outcome is Outcome.PLACED, f"{entry.name} is {entry.outcome.value}"
        del self._by_request[entry.request]
        if self._by_name.get(entry.name) is entry:
            del self._by_name[entry.name]

    def forget(self, before: float) -> None:
        """Drop what was refused or failed before that time: no late word of it is expected any more."""
        kept = []
        for at, entry in self._settled:
            if at >= before:
                kept.append((at, entry))
            else:
                del self._by_request[entry.request]
                if self._by_name.get(entry.name) is entry:
                    del self._by_name[entry.name]
        self._settled = kept
