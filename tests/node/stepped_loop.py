"""Event loop on real sockets whose clock advances only while it waits, or by the test: results do not depend on load."""

from __future__ import annotations

import array
import fcntl
import select
import socket
import termios
import time
from collections.abc import Callable
from typing import Any

from sprucepost.loop.epoll import EpollLoop

SETTLE_S = 0.002  # real time that a wait leaves for bytes in flight over loopback, before the clock is stepped
EPOCH_MS = 1.7e12  # wall-clock time at the start
ARRIVAL_TIMEOUT_MS = 5000  # real time after which bytes sent over loopback are considered lost


class _SteppingEpoll:
    """Epoll object whose waits step the loop's clock."""

    def __init__(self, loop: SteppedLoop, real: Any) -> None:
        self._loop, self._real = loop, real

    def poll(self, wait: float, max_events: int = -1) -> list[tuple[int, int]]:
        found: list[tuple[int, int]] = self._real.poll(0.0, max_events)
        if found or wait == 0.0:
            return found
        found = self._real.poll(SETTLE_S if wait > 0.0 else ARRIVAL_TIMEOUT_MS / 1000.0, max_events)
        if not found and wait > 0.0:
            self._loop.time += wait * 1000.0
        return found

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


class SteppedLoop(EpollLoop):
    """Event loop with a stepped clock: ``time`` in ms; ``on_read`` is called after each read of a socket."""

    def __init__(self) -> None:
        super().__init__(seed=1)
        self.time = 1_000_000.0
        self.on_read: Callable[[], None] = lambda: None
        self._epoll = _SteppingEpoll(self, self._epoll)  # type: ignore[assignment]

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return EPOCH_MS + self.time

    def guard(self, call: Callable[[], None]) -> None:
        super().guard(call)
        if getattr(call, "__name__", "") == "_readable":
            self.on_read()


def wait_until_readable(fd: int) -> None:
    """Wait until the kernel has something to read there: bytes, an end of stream, a reset or a connection."""
    waiting = select.poll()
    waiting.register(fd, select.POLLIN)
    assert waiting.poll(ARRIVAL_TIMEOUT_MS), "nothing came over loopback"


def wait_for_buffered_bytes(sock: socket.socket, size: int) -> None:
    """Wait until the socket's receive buffer holds that many bytes."""
    buffered = array.array("i", [0])
    for _ in range(ARRIVAL_TIMEOUT_MS):
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, buffered)
        if buffered[0] >= size:
            return
        time.sleep(0.001)
    raise AssertionError(f"{buffered[0]} of {size} bytes came over loopback")
