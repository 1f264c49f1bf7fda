"""The queue of tasks of which the module has not been told yet: round robin between connections. No I/O.

The connections take turns, so that a loud one takes no other's place; what came on one stays in its order. Worth plays no
part: the module places the dearest of a batch first, and only a few turns lie between coming and being told.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class FairQueue(Generic[T]):
    """What waits, by the connection on which it came, each with the time at which it did."""

    def __init__(self) -> None:
        self._waiting: dict[object, deque[tuple[float, T]]] = {}  # the connection whose turn it is first

    def __bool__(self) -> bool:
        return bool(self._waiting)

    @property
    def since(self) -> float:
        """When the one came that has waited for longest; there must be one."""
        return min(line[0][0] for line in self._waiting.values())

    def put(self, link: object, item: T, now: float) -> None:
        """To the end of what came on that connection."""
        self._waiting.setdefault(link, deque()).append((now, item))

    def pop(self) -> T:
        """The next one in turn; there must be one."""
        link = next(iter(self._waiting))
        line = self._waiting.pop(link)
        _, item = line.popleft()
        if line:
            self._waiting[link] = line
        return item
