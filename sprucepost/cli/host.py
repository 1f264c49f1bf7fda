"""An event loop whose wall clock can be stepped while a placer runs on it, for scenarios with clock faults."""

from __future__ import annotations

import signal
from pathlib import Path

from sprucepost.loop.epoll import EpollLoop

READ_RETRY_MS = 50.0


class SteppedLoop(EpollLoop):
    """The epoll loop with an offset on its wall clock: the number of milliseconds in ``file``, read again at SIGUSR2.

    The monotonic clock is unchanged, as on a host whose time is set.
    """

    def __init__(self, seed: int | None, file: Path) -> None:
        super().__init__(seed)
        self._file, self._offset_ms = file, 0.0

    def watch_offset(self) -> None:
        """Read the offset now and at each SIGUSR2."""
        self.on_signal(signal.SIGUSR2, self._read_offset)
        self._read_offset()

    def _read_offset(self) -> None:
        try:
            self._offset_ms = float(self._file.read_text())
        except FileNotFoundError:
            return
        except OSError:  # out of file descriptors, which the same scenario may inject
            self.call_later(READ_RETRY_MS, self._read_offset)

    def wall(self) -> float:
        return super().wall() + self._offset_ms
