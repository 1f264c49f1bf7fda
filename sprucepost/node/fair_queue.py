"""Queue of new tasks that have not been submitted to the scheduler yet: round robin over connections. No I/O.

Connections take turns, so a busy connection does not delay the others; items of one connection stay in order. A connection
without queued items goes first when it brings one, unless it has had its turn in this round (as the new flows of FQ-CoDel,
RFC 8290): what a client sends now and then does not wait for what others have queued. A task's worth is not considered here:
the scheduler places the tasks of a batch by worth, and a task waits in this queue for a few turns of the loop only.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Queued items by the connection on which they arrived, each with its arrival time in ms."""

    def __init__(self) -> None:
        # The connection whose turn is next comes first. One without items has had its turn, and leaves at its next one.
        self._queues: OrderedDict[object, deque[tuple[float, T]]] = OrderedDict()
        self._length = 0

    def __bool__(self) -> bool:
        return self._length > 0

    def oldest_arrival(self, may_leave: Callable[[T], bool]) -> float:
        """Return when the item arrived that has waited longest of those that may leave; infinity if there is none."""
        first_items = [queue[0] for queue in self._queues.values() if queue]
        return min((at for at, item in first_items if may_leave(item)), default=math.inf)

    def put(self, connection: object, item: T, now: float) -> None:
        """Append an item to the queue of that connection."""
        if connection not in self._queues:
            self._queues[connection] = deque()
            self._queues.move_to_end(connection, last=False)
        self._queues[connection].append((now, item))
        self._length += 1

    def pop(self, may_leave: Callable[[T], bool] = lambda item: True) -> T | None:
        """Remove and return the next item in turn; None if there is none.

        A connection whose first item may not leave yet keeps its place.
        """
        if not self._length:
            return None
        finished: list[object] = []
        found: T | None = None
        for connection, queue in self._queues.items():
            if not queue:
                finished.append(connection)
            elif may_leave(queue[0][1]):
                found = queue.popleft()[1]
                self._queues.move_to_end(connection)
                self._length -= 1
                break
        for connection in finished if self._length else list(self._queues):
            del self._queues[connection]
        return found
