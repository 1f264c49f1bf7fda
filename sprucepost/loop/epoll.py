"""The loop on the real clock, real sockets and ``select.epoll``."""

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

STOOD_MS = 5.0  # a wait that ends so much late was a pause of the process, not the kernel's timer slack
READY_MOST = 1023  # sockets that one wait names, as the system's default; more where more are watched
_RESET = struct.pack("ii", 1, 0)
ABORTED_MOST = 64  # connections that have gone before they are taken, skipped in one call
# Errors of one connection that waited, by accept(2): the next one may be taken.
_ABORTED = (
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM,
)  # fmt: skip

# Errors of recv(2), send(2) and epoll_ctl(2) that say nothing of the connection: the call is made again.
_PASSING = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC)
_CONNECTING = (errno.EINPROGRESS, errno.EINTR)  # connect(2) goes on by itself, also where a signal interrupted it
START_TRIES = 40  # of a step of a start that the system refuses: 2 s of the 30 s in which a placer is to be ready
START_PAUSE_S = 0.05  # between them
REWATCH_MS = 20.0  # until a watch that the system had no memory for is tried again


def _send_at_once(sock: socket.socket) -> None:
    """No waiting for more bytes; a connection that cannot have it, or is gone already, does without."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def retry_on_startup(step: Callable[[], T], passing: type[Exception] = OSError) -> T:
    """A step of a process's start, tried again while the system refuses it: for want of something, or since whoever had the
    address before has not ended yet. What it raises after ``START_TRIES`` is passed on."""
    for _ in range(START_TRIES - 1):
        try:
            return step()
        except passing:
            time.sleep(START_PAUSE_S)
    return step()


class EpollSock(Sock):
    def __init__(self, sock: socket.socket, peer: str) -> None:
        self._sock, self.peer = sock, peer
        self.fd = sock.fileno()

    def recv(self, most: int) -> bytes | None:
        try:
            return self._sock.recv(most)
        except OSError as error:
            if error.errno in _PASSING:
                return None
            raise

    def send(self, data: bytes | memoryview) -> int:
        try:
            return self._sock.send(data, socket.MSG_NOSIGNAL)
        except OSError as error:
            if error.errno in _PASSING:
                return 0
            raise

    def connect_error(self) -> OSError | None:
        try:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:  # not known: the error, if there is one, is still to come, with the first read or write
            return None
        return OSError(code, os.strerror(code)) if code else None

    def shutdown_write(self) -> None:
        with contextlib.suppress(OSError):  # the peer may have reset it already; reading tells
            self._sock.shutdown(socket.SHUT_WR)

    def close(self, reset: bool = False) -> None:
        if reset:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        with contextlib.suppress(OSError):  # Linux has given the descriptor back all the same
            self._sock.close()


class EpollListener(Listener):
    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.fd = sock.fileno()
        name = sock.getsockname()
        self.address = name if isinstance(name, str) else (str(name[0]), int(name[1]))

    def accept(self) -> Sock | None:
        for _ in range(ABORTED_MOST):
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
            _send_at_once(sock)
        return EpollSock(sock, f"{name[0]}:{name[1]}" if isinstance(name, tuple) else "unix")

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.close()


class EpollLoop(Loop):
    """``seed`` makes :meth:`rng` repeatable; identities stay unpredictable."""

    def __init__(self, seed: int | None = None) -> None:
        super().__init__()
        self._epoll = select.epoll()
        self._watched: dict[int, tuple[Callable[[], None] | None, Callable[[], None] | None]] = {}
        self._seeds = random.Random(seed)
        self._masks: dict[int, int] = {}  # what the system has been told to watch, by descriptor
        self._unarmed: set[int] = set()  # descriptors whose watch the system has not taken yet
        self._signals: dict[int, Callable[[], None]] = {}
        self._wake: tuple[int, int] | None = None  # a pipe: read, write

    def now(self) -> float:
        return time.monotonic() * 1000.0

    def wall(self) -> float:
        return time.time() * 1000.0

    def rng(self) -> random.Random:
        return random.Random(self._seeds.getrandbits(64))

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
            contextlib.suppress(OSError),  # first: without a descriptor left there is no socket, and the loop goes on
            socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK) as sock,
        ):
            sock.sendto(data, "\0" + path[1:] if path.startswith("@") else path)

    def dial(self, address: Address, source: str | None = None) -> Sock:
        unix = isinstance(address, str)
        sock = socket.socket(socket.AF_UNIX if unix else socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            if not unix:
                _send_at_once(sock)
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
            if self._masks.pop(fd, None) is not None:
                self._epoll.unregister(fd)
            return
        self._watched[fd] = readable, writable
        self._arm(fd)

    def _arm(self, fd: int) -> None:
        """Tell the system what is watched; where it has no memory for that, again after ``REWATCH_MS``."""
        readable, writable = self._watched[fd]
        mask = (select.EPOLLIN if readable else 0) | (select.EPOLLOUT if writable else 0)
        known = self._masks.get(fd)
        if known == mask:
            self._unarmed.discard(fd)
            return
        try:
            if known is None:
                self._epoll.register(fd, mask)
            else:
                self._epoll.modify(fd, mask)
        except OSError as error:
            if error.errno not in _PASSING:
                raise
            self._unarmed.add(fd)
        else:
            self._masks[fd] = mask
            self._unarmed.discard(fd)

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        if self._wake is None:
            self._wake = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
            signal.set_wakeup_fd(self._wake[1], warn_on_full_buffer=False)
            self._watched[self._wake[0]] = self._take_signals, None
            self._arm(self._wake[0])
        self._signals[number] = call
        signal.signal(number, lambda *_: None)

    def _take_signals(self) -> None:
        assert self._wake is not None
        with contextlib.suppress(BlockingIOError):
            for number in os.read(self._wake[0], 256):
                if number in self._signals:
                    self._signals[number]()

    def _poll(self, wait_ms: float | None) -> None:
        if self._unarmed:
            for fd in list(self._unarmed):
                self._arm(fd)
            if self._unarmed:
                wait_ms = REWATCH_MS if wait_ms is None else min(wait_ms, REWATCH_MS)
        # Rounded up to whole ms, which epoll counts in: rounded down it would spin through the last one.
        wait = -1.0 if wait_ms is None else math.ceil(wait_ms) / 1000.0
        began = self.now()
        most = max(READY_MOST, len(self._watched))  # all that are ready: none may hide behind the others
        ready = self._epoll.poll(wait, most)
        if wait >= 0.0 and self.now() - began > wait * 1000.0 + STOOD_MS:
            # After SIGSTOP and SIGCONT the call was interrupted and returns what was ready before, or nothing: every
            # time-out would then go before the answers that lie in the sockets, and what is read a turn later would not
            # count as having waited (an owner's answer was late by the pause).
            ready = self._epoll.poll(0.0, most)
        self._after_poll(began, None if wait_ms is None else wait * 1000.0)
        for fd, mask in ready:
            readable, writable = self._watched.get(fd, (None, None))
            if readable is not None and mask & ~select.EPOLLOUT:
                self.guard(readable)
            # What came before may have closed it, or set other callbacks.
            writable = self._watched.get(fd, (None, None))[1]
            if writable is not None and mask & ~select.EPOLLIN:
                self.guard(writable)

    def close(self) -> None:
        """Give back the loop's own descriptors."""
        if self._wake is not None:
            signal.set_wakeup_fd(-1)
            for fd in self._wake:
                os.close(fd)
        self._epoll.close()
