"""A loop on real sockets whose time passes only where it waits, and where a test says: a busy machine changes no verdict."""

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

SETTLE_S = 0.002  # real time that a wait leaves for bytes on their way over loopback, before time is stepped
EPOCH_MS = 1.7e12  # wall-clock time at the start
LIES_MS = 5000  # real time after which bytes that were sent over loopback do not come any more


class _Waits:
    """An epoll object whose waits step the loop's time."""

    def __init__(self, loop: SteppedLoop, real: Any) -> None:
        self._loop, self._real = loop, real

    def poll(self, wait: float, most: int = -1) -> list[tuple[int, int]]:
        found: list[tuple[int, int]] = self._real.poll(0.0, most)
        if found or wait == 0.0:
            return found
        found = self._real.poll(SETTLE_S if wait > 0.0 else LIES_MS / 1000.0, most)
        if not found and wait > 0.0:
            self._loop.time += wait * 1000.0
        return found

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


class SteppedLoop(EpollLoop):
    """``time`` is its clock, in ms; ``on_read`` is called after each read of a socket."""

    def __init__(self) -> None:
        super().__init__(seed=1)
        self.time = 1_000_000.0
        self.on_read: Callable[[], None] = lambda: None
        self._epoll = _Waits(self, self._epoll)  # type: ignore[assignment]

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return EPOCH_MS + self.time

    def guard(self, call: Callable[[], None]) -> None:
        super().guard(call)
        if getattr(call, "__name__", "") == "_readable":
            self.on_read()


def wait_until_readable(fd: int) -> None:
    """Return once something lies there in the kernel: bytes, an end, a reset or a connection."""
    waiting = select.poll()
    waiting.register(fd, select.POLLIN)
    assert waiting.poll(LIES_MS), "nothing came over loopback"


def wait_for_buffered_bytes(sock: socket.socket, size: int) -> None:
    """Return once so many bytes lie in that socket."""
    found = array.array("i", [0])
    for _ in range(LIES_MS):
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, found)
        if found[0] >= size:
            return
        time.sleep(0.001)
    raise AssertionError(f"{found[0]} of {size} bytes came over loopback")
