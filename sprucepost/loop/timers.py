"""The timer heap. It reads no clock, so real and virtual loops share it."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Timer:
    """A callback that is due at ``due_ms`` on the loop's clock. Cancelling it again, or after it fired, is a no-op."""

    __slots__ = ("_heap", "callback", "due_ms", "sequence")

    def __init__(self, heap: TimerHeap, due_ms: float, sequence: int, callback: Callable[[], None]) -> None:
        self._heap: TimerHeap | None = heap
        self.due_ms, self.sequence = due_ms, sequence
        self.callback: Callable[[], None] | None = callback

    def __lt__(self, other: Timer) -> bool:
        return (self.due_ms, self.sequence) < (other.due_ms, other.sequence)

    @property
    def pending(self) -> bool:
        """Whether the timer has neither fired nor been cancelled."""
        return self.callback is not None

    def cancel(self) -> None:
        """Keep the timer from firing. O(1) now; removing the cancelled entry from the heap costs O(log n) later."""
        if self.callback is not None:
            self.callback = None
            heap, self._heap = self._heap, None
            if heap is not None:
                heap.note_cancelled()


class TimerHeap:
    """Timers ordered by due time; those due at the same time fire in the order in which they were added.

    Cancelled entries stay in the heap until they reach its top or make up more than half of it, when the heap is
    rebuilt: cancelling is O(log n) amortised and memory stays within twice the pending timers. A placer cancels nearly
    every timer it sets (the deadline of each answer), so cancelled entries must not stay until they are due.
    """

    COMPACT_OVER = 64  # cancelled entries below which the heap is never rebuilt

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._sequence = 0
        self._cancelled = 0

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def add(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Add a timer that is due at ``due_ms`` on the loop's clock."""
        self._sequence += 1
        timer = Timer(self, due_ms, self._sequence, callback)
        heapq.heappush(self._heap, timer)
        return timer

    def note_cancelled(self) -> None:
        """Count a cancelled entry; rebuild the heap when more than half of the entries are cancelled."""
        self._cancelled += 1
        if self._cancelled > self.COMPACT_OVER and self._cancelled * 2 > len(self._heap):
            self._heap = [timer for timer in self._heap if timer.pending]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def _drop_cancelled(self) -> None:
        while self._heap and not self._heap[0].pending:
            heapq.heappop(self._heap)
            self._cancelled -= 1

    def next_due(self) -> float | None:
        """When the next timer is due, in ms on the loop's clock, or None."""
        self._drop_cancelled()
        return self._heap[0].due_ms if self._heap else None

    def pop_due(self, now: float) -> Callable[[], None] | None:
        """Remove the first timer that is due by ``now`` and return its callback, or None; the timer counts as fired."""
        self._drop_cancelled()
        if not self._heap or self._heap[0].due_ms > now:
            return None
        timer = heapq.heappop(self._heap)
        callback, timer.callback, timer._heap = timer.callback, None, None
        return callback
