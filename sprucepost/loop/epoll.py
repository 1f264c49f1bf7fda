"""The implementation of the loop on the real clock, real sockets and ``select.epoll``."""

from __future__ import annotations

import contextlib
import errno
import math
import os
import random
import select
import signal
import socket
import struct
import time
from collections.abc import Callable
from typing import TypeVar

from sprucepost.loop.core import Address, Listener, Loop, Sock

T = TypeVar("T")

STALL_MS = 5.0  # a wait that ends this much late was a pause of the process, not the kernel's timer slack
MIN_EVENTS_PER_POLL = 1023  # limit of one poll, the default of select.epoll; higher when more descriptors are watched
_LINGER_RESET = struct.pack("ii", 1, 0)  # struct linger {on, 0 s}: close() resets the connection
MAX_ABORTED_ACCEPTS = 64  # connections skipped in one accept() because they ended while still in the backlog
# Errors that accept(2) reports for one pending connection; the next one may be accepted.
_ABORTED = (
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM,
)  # fmt: skip

# Errors of recv(2), send(2) and epoll_ctl(2) that say nothing about the connection; the call is retried.
_TRANSIENT = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC)
_CONNECTING = (errno.EINPROGRESS, errno.EINTR)  # connect(2) continues by itself, also when a signal interrupted it
STARTUP_TRIES = 40  # per startup step that the system refuses: 2 s of the 30 s in which a placer must be ready
STARTUP_RETRY_S = 0.05  # pause between these attempts
REARM_MS = 20.0  # until registering a descriptor that the system had no memory for is retried


def _disable_nagle(sock: socket.socket) -> None:
    """Send small writes at once (TCP_NODELAY); ignored where unsupported or when the socket is closed already."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def retry_on_startup(step: Callable[[], T], transient: type[Exception] = OSError) -> T:
    """Run one step of a process's startup, retrying while the system refuses it.

    The system may be short of a resource, or the process that used the address before may not have ended yet. The
    exception of the last of ``STARTUP_TRIES`` attempts is passed on.
    """
    for _ in range(STARTUP_TRIES - 1):
        try:
            return step()
        except transient:
            time.sleep(STARTUP_RETRY_S)
    return step()


class EpollSock(Sock):
    """A connected stream on a non-blocking system socket."""

    def __init__(self, sock: socket.socket, peer: str) -> None:
        self._sock, self.peer = sock, peer
        self.fd = sock.fileno()

    def recv(self, max_bytes: int) -> bytes | None:
        try:
            return self._sock.recv(max_bytes)
        except OSError as error:
            if error.errno in _TRANSIENT:
                return None
            raise

    def send(self, data: bytes | memoryview) -> int:
        try:
            return self._sock.send(data, socket.MSG_NOSIGNAL)
        except OSError as error:
            if error.errno in _TRANSIENT:
                return 0
            raise

    def connect_error(self) -> OSError | None:
        try:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:  # unknown: an error, if any, will show with the first read or write
            return None
        return OSError(code, os.strerror(code)) if code else None

    def shutdown_write(self) -> None:
        with contextlib.suppress(OSError):  # the peer may have reset it already; the next read reports that
            self._sock.shutdown(socket.SHUT_WR)

    def close(self, reset: bool = False) -> None:
        if reset:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        with contextlib.suppress(OSError):  # Linux releases the descriptor even so
            self._sock.close()


class EpollListener(Listener):
    """A listening socket of the system."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.fd = sock.fileno()
        name = sock.getsockname()
        self.address = name if isinstance(name, str) else (str(name[0]), int(name[1]))

    def accept(self) -> Sock | None:
        for _ in range(MAX_ABORTED_ACCEPTS):
            try:
                sock, name = self._sock.accept()
            except OSError as error:
                if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                    return None
                if error.errno in _ABORTED:
                    continue
                raise
            break
        else:
            return None
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            _disable_nagle(sock)
        return EpollSock(sock, f"{name[0]}:{name[1]}" if isinstance(name, tuple) else "unix")

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.close()


class EpollLoop(Loop):
    """The event loop of a process. ``seed`` makes :meth:`rng` repeatable; :meth:`token` stays unpredictable."""

    def __init__(self, seed: int | None = None) -> None:
        super().__init__()
        self._epoll = select.epoll()
        self._watched: dict[int, tuple[Callable[[], None] | None, Callable[[], None] | None]] = {}
        self._seed_rng = random.Random(seed)
        self._registered: dict[int, int] = {}  # event masks registered with epoll, by descriptor
        self._unarmed: set[int] = set()  # descriptors whose event mask could not be registered yet
        self._signal_callbacks: dict[int, Callable[[], None]] = {}
        self._wakeup_pipe: tuple[int, int] | None = None  # pipe of the signal handlers: read end, write end

    def now(self) -> float:
        return time.monotonic() * 1000.0

    def wall(self) -> float:
        return time.time() * 1000.0

    def rng(self) -> random.Random:
        return random.Random(self._seed_rng.getrandbits(64))

    def token(self, size: int) -> bytes:
        return os.urandom(size)

    def listen(self, address: Address, backlog: int = 512) -> Listener:
        unix = isinstance(address, str)
        sock = socket.socket(socket.AF_UNIX if unix else socket.AF_INET, socket.SOCK_STREAM)
        try:
            if not unix:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(address)
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        return EpollListener(sock)

    def adopt(self, fd: int) -> Listener:
        sock = socket.socket(fileno=fd)
        sock.setblocking(False)
        return EpollListener(sock)

    def send_datagram(self, path: str, data: bytes) -> None:
        with (
            contextlib.suppress(OSError),  # outermost: with no descriptor left, creating the socket fails too
            socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK) as sock,
        ):
            sock.sendto(data, "\0" + path[1:] if path.startswith("@") else path)

    def dial(self, address: Address, source: str | None = None) -> Sock:
        unix = isinstance(address, str)
        sock = socket.socket(socket.AF_UNIX if unix else socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            if not unix:
                _disable_nagle(sock)
            if source is not None and not unix:
                sock.bind((source, 0))
            sock.connect(address)
        except OSError as error:
            if error.errno not in _CONNECTING:
                EpollSock(sock, "").close()
                raise
        return EpollSock(sock, address if isinstance(address, str) else f"{address[0]}:{address[1]}")

    def watch(
        self, sock: Sock | Listener, readable: Callable[[], None] | None, writable: Callable[[], None] | None
    ) -> None:
        assert isinstance(sock, (EpollSock, EpollListener))
        fd = sock.fd
        if readable is None and writable is None:
            self._watched.pop(fd, None)
            self._unarmed.discard(fd)
            if self._registered.pop(fd, None) is not None:
                self._epoll.unregister(fd)
            return
        self._watched[fd] = readable, writable
        self._arm(fd)

    def _arm(self, fd: int) -> None:
        """Register the event mask of ``fd`` with epoll; retried after ``REARM_MS`` on lack of memory."""
        readable, writable = self._watched[fd]
        mask = (select.EPOLLIN if readable else 0) | (select.EPOLLOUT if writable else 0)
        registered = self._registered.get(fd)
        if registered == mask:
            self._unarmed.discard(fd)
            return
        try:
            if registered is None:
                self._epoll.register(fd, mask)
            else:
                self._epoll.modify(fd, mask)
        except OSError as error:
            if error.errno not in _TRANSIENT:
                raise
            self._unarmed.add(fd)
        else:
            self._registered[fd] = mask
            self._unarmed.discard(fd)

    def on_signal(self, number: int, callback: Callable[[], None]) -> None:
        if self._wakeup_pipe is None:
            self._wakeup_pipe = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
            signal.set_wakeup_fd(self._wakeup_pipe[1], warn_on_full_buffer=False)
            self._watched[self._wakeup_pipe[0]] = self._read_signals, None
            self._arm(self._wakeup_pipe[0])
        self._signal_callbacks[number] = callback
        signal.signal(number, lambda *_: None)

    def _read_signals(self) -> None:
        assert self._wakeup_pipe is not None
        with contextlib.suppress(BlockingIOError):
            for number in os.read(self._wakeup_pipe[0], 256):
                if number in self._signal_callbacks:
                    self._signal_callbacks[number]()

    def _poll(self, wait_ms: float | None) -> None:
        if self._unarmed:
            for fd in list(self._unarmed):
                self._arm(fd)
            if self._unarmed:
                wait_ms = REARM_MS if wait_ms is None else min(wait_ms, REARM_MS)
        # Rounded up to whole ms, the unit of epoll: rounded down, the loop would spin through the last millisecond.
        wait_s = -1.0 if wait_ms is None else math.ceil(wait_ms) / 1000.0
        began = self.now()
        max_events = max(MIN_EVENTS_PER_POLL, len(self._watched))  # report every ready descriptor in one poll
        ready = self._epoll.poll(wait_s, max_events)
        if wait_s >= 0.0 and self.now() - began > wait_s * 1000.0 + STALL_MS:
            # A call interrupted by SIGSTOP and SIGCONT returns what was ready before the pause, or nothing. Timeouts
            # would then fire before the answers already in the sockets are read, and data read a turn later would not
            # count as having waited. Without this second poll an answer of an owner was late by the pause.
            ready = self._epoll.poll(0.0, max_events)
        self._after_poll(began, None if wait_ms is None else wait_s * 1000.0)
        for fd, mask in ready:
            readable, writable = self._watched.get(fd, (None, None))
            if readable is not None and mask & ~select.EPOLLOUT:
                self.guard(readable)
            # The callbacks run so far may have closed the socket or set other callbacks.
            writable = self._watched.get(fd, (None, None))[1]
            if writable is not None and mask & ~select.EPOLLIN:
                self.guard(writable)

    def close(self) -> None:
        """Close the loop's own descriptors."""
        if self._wakeup_pipe is not None:
            signal.set_wakeup_fd(-1)
            for fd in self._wakeup_pipe:
                os.close(fd)
        self._epoll.close()
