"""Shares of clients in what this process keeps for them. No I/O.

Dynamic thresholds (Choudhury and Hahne, 1998): a client may hold up to ``FREE_SPACE_FACTOR`` times what is still free. A client
that is alone may hold four fifths of the limit; the more clients hold much, the less each may hold, and some space always
stays free for one that holds little.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable

FREE_SPACE_FACTOR = 4
# A task that a client has handed over costs about 4 KiB: its ledger entry, and what the scheduler keeps of it.
BYTES_PER_TASK = 4096
TASK_MEMORY_DIVISOR = 4  # such tasks take up to a quarter of the memory


def max_handed_over_tasks(memory_bytes: float) -> int:
    """Return how many tasks that clients have handed over are kept with that limit of memory."""
    return int(memory_bytes / TASK_MEMORY_DIVISOR / BYTES_PER_TASK)


class ClientShares:
    """Counts what each client holds, up to ``limit`` in all."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held: Counter[Hashable] = Counter()
        self._total = 0

    def __len__(self) -> int:
        return self._total

    def admits(self, client: Hashable) -> bool:
        """Return whether the client may hold one more."""
        return self._held[client] < FREE_SPACE_FACTOR * (self._limit - self._total)

    def add(self, client: Hashable) -> None:
        """Count one more that the client holds."""
        self._held[client] += 1
        self._total += 1

    def remove(self, client: Hashable) -> None:
        """Count one less."""
        self._total -= 1
        self._held[client] -= 1
        if not self._held[client]:
            del self._held[client]
