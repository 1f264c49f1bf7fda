"""The line of asks that wait to be taken up: fair between owners, weighted by worth, the dearest and most urgent first.

Start-time fair queueing (Goyal, Vin, Cheng 1996): each owner has a tag, the work done for it in units of worth, and the
owner with the smallest tag is next. A dear ask advances its owner's tag by less than a cheap one, so that worth counts, and
an owner that asks little is served soon whatever another has piled up. Within an owner: dearest first, then the one whose
time ends first.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from typing import Generic, TypeVar

T = TypeVar("T")
LEAST = 1e-3  # weight of a class that is worth nothing: it waits long, but it is served
SLACK = 64  # entries of the heaps that may be over before they are swept
TAGS_KEPT = 1024  # owners without asks whose tag is remembered


class Waiting(Generic[T]):
    """One ask in line. ``due``: when it cannot be taken up any more; ``late``: from when on it will hardly be placed
    within its aim. Times in ms, of one clock."""

    __slots__ = ("due", "item", "late", "owner", "taken", "weight")

    def __init__(self, item: T, owner: str, weight: float, due: float, late: float = math.inf) -> None:
        self.item, self.owner, self.weight = item, owner, max(weight, LEAST)
        self.due, self.late, self.taken = due, late, False


class _Owner(Generic[T]):
    __slots__ = ("by_weight", "head", "heap", "start", "version")

    def __init__(self, start: float) -> None:
        self.start = start  # its tag: where its next ask begins
        self.heap: list[tuple[float, float, int, Waiting[T]]] = []
        self.by_weight: Counter[float] = Counter()
        self.version = 0
        self.head = 0.0  # weight of its first


class Line(Generic[T]):
    """``len`` counts what is neither popped nor expired."""

    def __init__(self) -> None:
        self._owners: dict[str, _Owner[T]] = {}
        self._tags: dict[str, float] = {}  # of owners that have none in line
        self._order: list[tuple[float, int, str, int]] = []  # finish of the head, serial, owner, version
        self._by_due: list[tuple[float, int, Waiting[T]]] = []
        self._virtual = 0.0
        self._active = 0.0  # the heads' weights together
        self._serial = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def put(self, waiting: Waiting[T]) -> None:
        owner = self._owners.get(waiting.owner)
        if owner is None:
            owner = _Owner(max(self._virtual, self._tags.pop(waiting.owner, 0.0)))
            self._owners[waiting.owner] = owner
        self._serial += 1
        heapq.heappush(owner.heap, (-waiting.weight, waiting.due, self._serial, waiting))
        owner.by_weight[waiting.weight] += 1
        heapq.heappush(self._by_due, (waiting.due, self._serial, waiting))
        self._size += 1
        if len(self._by_due) > 2 * self._size + SLACK:  # owners may wait an hour for what was taken up at once
            self._by_due = [entry for entry in self._by_due if not entry[2].taken]
            heapq.heapify(self._by_due)
        if owner.heap[0][3] is waiting:
            self._rank(waiting.owner, owner)

    def _rank(self, name: str, owner: _Owner[T]) -> None:
        """Its head is another one now."""
        weight = owner.heap[0][3].weight
        self._active += weight - owner.head
        owner.head = weight
        owner.version += 1
        heapq.heappush(self._order, (owner.start + 1.0 / weight, self._serial, name, owner.version))
        if len(self._order) > 2 * len(self._owners) + SLACK:
            self._order = [entry for entry in self._order if self._current(entry[2], entry[3])]
            heapq.heapify(self._order)

    def _current(self, name: str, version: int) -> bool:
        owner = self._owners.get(name)
        return owner is not None and owner.version == version

    def pop(self) -> Waiting[T] | None:
        """The next to be taken up; None where the line is empty."""
        while self._order:
            finish, _, name, version = heapq.heappop(self._order)
            if not self._current(name, version):
                continue
            owner = self._owners[name]
            waiting = heapq.heappop(owner.heap)[3]
            self._virtual = max(self._virtual, owner.start)
            owner.start = finish
            self._left(waiting, owner)
            self._next(name, owner)
            return waiting
        return None

    def _left(self, waiting: Waiting[T], owner: _Owner[T]) -> None:
        waiting.taken = True
        self._size -= 1
        owner.by_weight[waiting.weight] -= 1

    def _next(self, name: str, owner: _Owner[T]) -> None:
        while owner.heap and owner.heap[0][3].taken:
            heapq.heappop(owner.heap)
        if owner.heap:
            self._rank(name, owner)
            return
        self._active -= owner.head
        del self._owners[name]
        self._tags[name] = owner.start
        if not self._owners:  # nobody waits: all begin anew
            self._tags.clear()
            self._order.clear()
            self._virtual = self._active = 0.0
        elif len(self._tags) > TAGS_KEPT:
            self._tags = {name: tag for name, tag in self._tags.items() if tag > self._virtual}
            while len(self._tags) > TAGS_KEPT:
                del self._tags[next(iter(self._tags))]

    def expire(self, now: float, late_too: bool = False) -> list[Waiting[T]]:
        """Take out those whose time is over; ``late_too``: also those that will miss their aim, by a look at each."""
        over = []
        while self._by_due and (self._by_due[0][2].taken or self._by_due[0][0] <= now):
            waiting = heapq.heappop(self._by_due)[2]
            if not waiting.taken:
                over.append(waiting)
        if late_too:
            over += [entry[2] for entry in self._by_due if entry[2].late <= now and not entry[2].taken]
        for waiting in over:
            owner = self._owners[waiting.owner]
            first = owner.heap[0][3] is waiting
            self._left(waiting, owner)
            if first:
                self._next(waiting.owner, owner)
        return over

    def ahead(self, name: str, weight: float) -> float:
        """How many asks would be taken up before one that joined now, at most, were no more to come.

        Of its own owner those of its weight and above; of each other owner what it is given until this one's turn,
        reckoned by the weights in line now.
        """
        weight = max(weight, LEAST)
        owner = self._owners.get(name)
        if owner is None:
            start, own, cost = max(self._virtual, self._tags.get(name, 0.0)), 0, 0.0
            others, active = self._size, self._active
        else:
            dearer = [(w, n) for w, n in owner.by_weight.items() if w >= weight and n]
            start, own = owner.start, sum(n for _, n in dearer)
            cost = sum(n / w for w, n in dearer)
            others, active = self._size - sum(owner.by_weight.values()), self._active - owner.head
        if others <= 0:
            return float(own)
        span = max(0.0, start + cost + 1.0 / weight - self._virtual)
        return own + min(float(others), span * max(0.0, active) + len(self._owners))
