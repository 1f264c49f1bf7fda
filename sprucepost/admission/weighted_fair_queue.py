"""The queue of admitted requests: fair between owners, weighted by worth, the most valuable and most urgent first.

Start-time fair queueing (Goyal, Vin, Cheng 1996): each owner has a tag, the work done for it in units of worth, and the
owner with the smallest tag is served next. A valuable request advances its owner's tag by less than a cheap one, so that
worth counts, and an owner with few requests is served soon however many another has queued. Within an owner the most
valuable request comes first, then the one with the earliest deadline.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from typing import Generic, TypeVar

T = TypeVar("T")
MIN_WEIGHT = 1e-3  # weight of a class with no worth: it waits long, but is served
STALE_ENTRIES_ALLOWED = 64  # removed entries that a heap may hold beyond its length before it is rebuilt
MAX_TAGS_KEPT = 1024  # owners without queued requests whose tag is kept


class QueuedRequest(Generic[T]):
    """One queued request.

    After ``deadline`` it cannot be processed any more; after ``aim_deadline`` it will hardly be placed within its aim. Both
    in ms, on one clock.
    """

    __slots__ = ("aim_deadline", "deadline", "item", "owner", "removed", "weight")

    def __init__(self, item: T, owner: str, weight: float, deadline: float, aim_deadline: float = math.inf) -> None:
        self.item, self.owner, self.weight = item, owner, max(weight, MIN_WEIGHT)
        self.deadline, self.aim_deadline, self.removed = deadline, aim_deadline, False


class _Owner(Generic[T]):
    """The queued requests of one owner."""

    __slots__ = ("by_weight", "head_weight", "heap", "start", "version")

    def __init__(self, start: float) -> None:
        self.start = start  # its tag: the virtual start time of its next request
        self.heap: list[tuple[float, float, int, QueuedRequest[T]]] = []
        self.by_weight: Counter[float] = Counter()
        self.version = 0
        self.head_weight = 0.0  # weight of its next request


class WeightedFairQueue(Generic[T]):
    """A fair queue of requests. ``len`` counts those neither popped nor expired."""

    def __init__(self) -> None:
        self._owners: dict[str, _Owner[T]] = {}
        self._idle_tags: dict[str, float] = {}  # of owners without queued requests
        self._order: list[tuple[float, int, str, int]] = []  # virtual finish time of the head, serial, owner, version
        self._by_deadline: list[tuple[float, int, QueuedRequest[T]]] = []
        self._virtual_time = 0.0
        self._head_weights = 0.0  # sum of the weights of all owners' heads
        self._serial = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, queued: QueuedRequest[T]) -> None:
        """Add a request."""
        owner = self._owners.get(queued.owner)
        if owner is None:
            owner = _Owner(max(self._virtual_time, self._idle_tags.pop(queued.owner, 0.0)))
            self._owners[queued.owner] = owner
        self._serial += 1
        heapq.heappush(owner.heap, (-queued.weight, queued.deadline, self._serial, queued))
        owner.by_weight[queued.weight] += 1
        heapq.heappush(self._by_deadline, (queued.deadline, self._serial, queued))
        self._length += 1
        # Deadlines may be an hour away, long after the requests have been dequeued.
        if len(self._by_deadline) > 2 * self._length + STALE_ENTRIES_ALLOWED:
            self._by_deadline = [entry for entry in self._by_deadline if not entry[2].removed]
            heapq.heapify(self._by_deadline)
        if owner.heap[0][3] is queued:
            self._push_order(queued.owner, owner)

    def _push_order(self, name: str, owner: _Owner[T]) -> None:
        """Order the owner by its new head."""
        weight = owner.heap[0][3].weight
        self._head_weights += weight - owner.head_weight
        owner.head_weight = weight
        owner.version += 1
        heapq.heappush(self._order, (owner.start + 1.0 / weight, self._serial, name, owner.version))
        if len(self._order) > 2 * len(self._owners) + STALE_ENTRIES_ALLOWED:
            self._order = [entry for entry in self._order if self._is_current(entry[2], entry[3])]
            heapq.heapify(self._order)

    def _is_current(self, name: str, version: int) -> bool:
        owner = self._owners.get(name)
        return owner is not None and owner.version == version

    def pop(self) -> QueuedRequest[T] | None:
        """Remove and return the next request; None if the queue is empty."""
        while self._order:
            finish, _, name, version = heapq.heappop(self._order)
            if not self._is_current(name, version):
                continue
            owner = self._owners[name]
            queued = heapq.heappop(owner.heap)[3]
            self._virtual_time = max(self._virtual_time, owner.start)
            owner.start = finish
            self._mark_removed(queued, owner)
            self._requeue_owner(name, owner)
            return queued
        return None

    def _mark_removed(self, queued: QueuedRequest[T], owner: _Owner[T]) -> None:
        queued.removed = True
        self._length -= 1
        owner.by_weight[queued.weight] -= 1

    def _requeue_owner(self, name: str, owner: _Owner[T]) -> None:
        while owner.heap and owner.heap[0][3].removed:
            heapq.heappop(owner.heap)
        if owner.heap:
            self._push_order(name, owner)
            return
        self._head_weights -= owner.head_weight
        del self._owners[name]
        self._idle_tags[name] = owner.start
        if not self._owners:  # the queue is empty: restart virtual time
            self._idle_tags.clear()
            self._order.clear()
            self._virtual_time = self._head_weights = 0.0
        elif len(self._idle_tags) > MAX_TAGS_KEPT:
            self._idle_tags = {name: tag for name, tag in self._idle_tags.items() if tag > self._virtual_time}
            while len(self._idle_tags) > MAX_TAGS_KEPT:
                del self._idle_tags[next(iter(self._idle_tags))]

    def expire(self, now: float, past_aim_too: bool = False) -> list[QueuedRequest[T]]:
        """Remove and return the expired requests; ``past_aim_too``: also those past their aim, by a scan of all."""
        expired = []
        while self._by_deadline and (self._by_deadline[0][2].removed or self._by_deadline[0][0] <= now):
            queued = heapq.heappop(self._by_deadline)[2]
            if not queued.removed:
                expired.append(queued)
        if past_aim_too:
            expired += [
                entry[2] for entry in self._by_deadline if entry[2].aim_deadline <= now and not entry[2].removed
            ]
        for queued in expired:
            owner = self._owners[queued.owner]
            was_head = owner.heap[0][3] is queued
            self._mark_removed(queued, owner)
            if was_head:
                self._requeue_owner(queued.owner, owner)
        return expired

    def requests_ahead(self, name: str, weight: float) -> float:
        """How many requests, at most, would be dequeued before one that joined now if no more came.

        Of its own owner those of at least its weight; of each other owner what is served before this one's turn, by the
        weights queued now.
        """
        weight = max(weight, MIN_WEIGHT)
        owner = self._owners.get(name)
        if owner is None:
            start, own_ahead, cost = max(self._virtual_time, self._idle_tags.get(name, 0.0)), 0, 0.0
            others, head_weights = self._length, self._head_weights
        else:
            ahead_in_owner = [(w, n) for w, n in owner.by_weight.items() if w >= weight and n]
            start, own_ahead = owner.start, sum(n for _, n in ahead_in_owner)
            cost = sum(n / w for w, n in ahead_in_owner)
            others, head_weights = self._length - sum(owner.by_weight.values()), self._head_weights - owner.head_weight
        if others <= 0:
            return float(own_ahead)
        span = max(0.0, start + cost + 1.0 / weight - self._virtual_time)
        return own_ahead + min(float(others), span * max(0.0, head_weights) + len(self._owners))
