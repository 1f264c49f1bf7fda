"""A clock that is far off must not take part in what is shared out by time."""

from __future__ import annotations


class ClockSkewMonitor:
    """Judges this host's clock by the times that the list puts on its updates.

    Windows of cold machines are cut by the wall clock, and placers must agree on it. All hear the same list, so its time is
    what they agree on. An update is never from the future: ``wall - told`` is this host's lead plus the update's way, and
    the smallest of the latest few is the best guess at the lead alone. The placer's clock follows ``wall - lead`` at its
    own pace; while it is off from that by more than ``most_ms`` it takes no seat, and it returns within half of that.
    """

    KEPT = 8

    def __init__(self, most_ms: float) -> None:
        if most_ms <= 0:
            raise ValueError("most_ms: must be above 0")
        self._most = most_ms
        self._leads: list[float] = []
        self.is_skewed = False

    @property
    def lead_ms(self) -> float:
        """The best guess at how far this clock is ahead; 0 before any update."""
        return min(self._leads, default=0.0)

    def record_update(self, now_ms: float, wall_ms: float, told_ms: float) -> bool:
        """An update with the list's own time, by the placer's clock and the host's; whether the verdict has changed."""
        if told_ms <= 0:
            return False  # a list that does not tell its time
        self._leads = [*self._leads, wall_ms - told_ms][-self.KEPT :]
        error = abs(now_ms - (wall_ms - self.lead_ms))
        before = self.is_skewed
        self.is_skewed = error > (self._most / 2 if self.is_skewed else self._most)
        return self.is_skewed is not before
