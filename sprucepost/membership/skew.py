"""Detection of a host clock that is too far off to share limits which are divided by time."""

from __future__ import annotations


class ClockSkewMonitor:
    """Measures the skew of this host's clock by the timestamps of the list's updates.

    The windows in which offers to cold machines are counted follow the wall clock, so placers must agree on it. All
    receive the same list, whose time serves as the reference. An update never comes from the future: ``wall - list`` is
    this host's lead plus the update's delay, and the minimum over the latest samples is the best estimate of the lead
    alone. The placer's clock is slewed towards ``wall - lead``. While the clock is off by more than ``max_error_ms``
    the placer takes no slot; it returns once the error is within half of that.
    """

    SAMPLE_COUNT = 8

    def __init__(self, max_error_ms: float) -> None:
        if max_error_ms <= 0:
            raise ValueError("max_error_ms: must be above 0")
        self._max_error_ms = max_error_ms
        self._lead_samples_ms: list[float] = []
        self.is_skewed = False

    @property
    def lead_ms(self) -> float:
        """The estimate of how far this host's clock is ahead, in ms; 0 before any update."""
        return min(self._lead_samples_ms, default=0.0)

    def record_update(self, now_ms: float, wall_ms: float, list_ms: float) -> bool:
        """Record an update of the list and return whether ``is_skewed`` has changed.

        ``now_ms`` is the placer's clock, ``wall_ms`` the host's, ``list_ms`` the list's own time.
        """
        if list_ms <= 0:
            return False  # the list does not report its time
        self._lead_samples_ms = [*self._lead_samples_ms, wall_ms - list_ms][-self.SAMPLE_COUNT :]
        error_ms = abs(now_ms - (wall_ms - self.lead_ms))
        was_skewed = self.is_skewed
        self.is_skewed = error_ms > (self._max_error_ms / 2 if self.is_skewed else self._max_error_ms)
        return self.is_skewed is not was_skewed
