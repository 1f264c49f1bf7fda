"""Shares of clients in what this process keeps for them. No I/O.

Dynamic thresholds (Choudhury and Hahne, 1998): a client may hold up to ``FREE_SPACE_FACTOR`` times what is still free. One
that is alone may hold four fifths of the limit; the more clients hold much, the less each may hold, and some space always
stays free for one that holds little.
"""

from __future__ import annotations

from collections import Counter

FREE_SPACE_FACTOR = 4
# A task that a client has handed over costs about 4 KiB: its ledger entry, and what the scheduler keeps of it.
BYTES_PER_TASK = 4096
TASK_MEMORY_DIVISOR = 4  # such tasks take up to a quarter of the memory


def max_handed_over_tasks(memory_bytes: float) -> int:
    """Return how many tasks that clients have handed over are kept with that limit of memory."""
    return int(memory_bytes / TASK_MEMORY_DIVISOR / BYTES_PER_TASK)


def has_share_left(held: int, total: int, limit: int) -> bool:
    """Return whether a client that holds ``held`` of ``total`` may hold one more."""
    return held < FREE_SPACE_FACTOR * (limit - total)


class ClientShares:
    """Counts what each client holds, up to ``limit`` in all."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held: Counter[object] = Counter()
        self._total = 0

    def __len__(self) -> int:
        return self._total

    def admits(self, client: object) -> bool:
        """Return whether the client may hold one more."""
        return has_share_left(self._held[client], self._total, self._limit)

    def add(self, client: object) -> None:
        """Count one more that the client holds."""
        self._held[client] += 1
        self._total += 1

    def remove(self, client: object) -> None:
        """Count one less."""
        self._total -= 1
        self._held[client] -= 1
        if not self._held[client]:
            del self._held[client]
