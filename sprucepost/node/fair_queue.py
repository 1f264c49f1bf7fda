"""Queue of new tasks that have not been submitted to the scheduler yet: round robin over connections. No I/O.

Connections take turns, so a busy connection does not delay the others; items of one connection stay in order. A task's
worth is not considered here: the scheduler places the tasks of a batch by worth, and a task waits in this queue for
a few turns of the loop only.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Queued items by the connection on which they arrived, each with its arrival time in ms."""

    def __init__(self) -> None:
        self._queues: dict[object, deque[tuple[float, T]]] = {}  # the connection whose turn is next comes first

    def __bool__(self) -> bool:
        return bool(self._queues)

    @property
    def oldest_arrival(self) -> float:
        """Arrival time of the item that has waited longest; the queue must not be empty."""
        return min(queue[0][0] for queue in self._queues.values())

    def put(self, connection: object, item: T, now: float) -> None:
        """Append an item to the queue of that connection."""
        self._queues.setdefault(connection, deque()).append((now, item))

    def pop(self) -> T:
        """Remove and return the next item in turn; the queue must not be empty."""
        connection = next(iter(self._queues))
        queue = self._queues.pop(connection)
        _, item = queue.popleft()
        if queue:
            self._queues[connection] = queue
        return item
