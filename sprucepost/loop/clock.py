"""Wall time for decisions that many placers must make in step."""

from __future__ import annotations


class AlignedClock:
    """Wall-clock milliseconds that never go back and follow a stepped system clock by a bounded slew.

    The decision module divides time into turns and cold windows by ``now / length`` and assumes that all placers read
    nearly the same clock. This clock therefore starts at the system's wall time and then runs on the monotonic clock.
    Each read compares the two and moves towards the system clock by at most ``slew`` of the time elapsed since the
    read before. Following a step of +-5 s takes 100 s at the usual 5 %; during that time no duration is off by more
    than that share, and no placer sees the same moment twice.

    ``read(mono, wall)`` takes the readings of both clocks in ms, so the class itself reads neither.
    """

    def __init__(self, mono: float, wall: float, slew: float = 0.05) -> None:
        if not 0 <= slew < 1:
            raise ValueError("slew: must be at least 0 and under 1")
        self._mono, self._time, self._slew = mono, wall, slew

    def read(self, mono: float, wall: float) -> float:
        """Return the aligned time in ms, given the monotonic clock and the system's wall clock in ms."""
        elapsed = max(0.0, mono - self._mono)
        self._mono = max(mono, self._mono)
        unslewed = self._time + elapsed
        max_slew = elapsed * self._slew
        self._time = unslewed + min(max(wall - unslewed, -max_slew), max_slew)
        return self._time
