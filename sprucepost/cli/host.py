"""A host whose wall clock can be stepped while the placer on it runs, for days that need one."""

from __future__ import annotations

import signal
from pathlib import Path

from sprucepost.loop.epoll import EpollLoop

AGAIN_MS = 50.0


class SteppedLoop(EpollLoop):
    """The real loop, with a wall clock that is off by what ``file`` says (ms), read at SIGUSR2. The monotonic clock is not
    touched, as on a host whose time is set."""

    def __init__(self, seed: int | None, file: Path) -> None:
        super().__init__(seed)
        self._file, self._off = file, 0.0

    def obey(self) -> None:
        """Begin to listen to the signal."""
        self.on_signal(signal.SIGUSR2, self._read)
        self._read()

    def _read(self) -> None:
        try:
            self._off = float(self._file.read_text())
        except FileNotFoundError:
            return
        except OSError:  # no descriptor is left, which is another fault of the same day
            self.call_later(AGAIN_MS, self._read)

    def wall(self) -> float:
        return super().wall() + self._off
