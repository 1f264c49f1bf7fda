"""Bounded queues between coroutines."""

from __future__ import annotations

from collections import deque
from typing import Any, Generic, TypeVar

from sprucepost.loop.task import Co, Task, Undo

T = TypeVar("T")


class Full(Exception):
    """The queue is at its capacity."""


class Closed(Exception):
    """The queue has been closed; a getter sees this only once the queue is also empty."""


class Queue(Generic[T]):
    """A first-in, first-out queue of at most ``size`` items.

    A putter waits for free capacity and a getter for an item, each in order of arrival.
    """

    def __init__(self, size: int) -> None:
        if size < 1:
            raise ValueError("size: must be at least 1")
        self._size = size
        self._items: deque[T] = deque()
        self._getters: deque[Task[Any]] = deque()
        self._putters: deque[tuple[Task[Any], T]] = deque()
        self._closed = False

    def __len__(self) -> int:
        return len(self._items)

    def put_now(self, item: T) -> None:
        """Put without waiting; raises Full when the queue is at its capacity and Closed when it is closed."""
        if self._closed:
            raise Closed
        if self._getters:
            self._getters.popleft().wake((item,))
        elif len(self._items) < self._size:
            self._items.append(item)
        else:
            raise Full

    def put(self, item: T) -> Co[None]:
        """Put ``item``, waiting while the queue is full; raises Closed when the queue is closed."""
        try:
            self.put_now(item)
        except Full:

            def trap(task: Task[Any]) -> Undo:
                entry = (task, item)
                self._putters.append(entry)
                return lambda: self._putters.remove(entry)

            yield trap

    def get(self) -> Co[T]:
        """Return the next item, waiting for one; raises Closed once the queue is closed and empty."""
        if self._items:
            item = self._items.popleft()
            if self._putters:
                putter, putter_item = self._putters.popleft()
                self._items.append(putter_item)
                putter.wake(())
            return item
        if self._closed:
            raise Closed

        def trap(task: Task[Any]) -> Undo:
            self._getters.append(task)
            return lambda: self._getters.remove(task)

        (item,) = yield trap
        return item

    def close(self) -> None:
        """Accept no more items; queued items can still be taken. Waiting putters and getters raise Closed."""
        self._closed = True
        while self._getters:
            self._getters.popleft().wake(error=Closed())
        while self._putters:
            self._putters.popleft()[0].wake(error=Closed())
