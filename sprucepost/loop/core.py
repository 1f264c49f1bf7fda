"""One turn of the event loop, and the interfaces that an implementation of the loop must supply."""

from __future__ import annotations

import errno
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import TypeVar

from sprucepost.loop.task import Co, Task
from sprucepost.loop.timers import Timer, TimerHeap

T = TypeVar("T")

Address = tuple[str, int] | str
"""An IP address and port, or the path of a unix socket."""

STALL_POLL_MS = 50.0  # longest wait of a loop that detects stalls: a pause within a wait goes unnoticed
MAX_FRESH_POLLS = 4  # polls in a row by poll_until_fresh(); needing more means that reading takes all the time
WAIT_OVERRUN_MS = 5.0  # a wait that ends later than this was not merely rounded up by the system

_LOCAL_SHORTAGES = (
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN,
)  # fmt: skip


def is_local_shortage(error: BaseException) -> bool:
    """Whether ``error`` is a shortage on this machine: no descriptor, memory, local port or route.

    Such an error says nothing about the peer, and it is temporary.
    """
    return isinstance(error, OSError) and error.errno in _LOCAL_SHORTAGES


Callback = Callable[[], None]
Rng = random.Random


class Sock(ABC):
    """One connected (or connecting) non-blocking byte stream. An OSError of the system is passed on."""

    peer: str

    @abstractmethod
    def recv(self, max_bytes: int) -> bytes | None:
        """Return up to ``max_bytes`` bytes; ``b""`` at the end of the stream; None when nothing has arrived yet."""

    @abstractmethod
    def send(self, data: bytes | memoryview) -> int:
        """Return how many bytes the system accepted; 0 when its send buffer is full."""

    @abstractmethod
    def connect_error(self) -> OSError | None:
        """Return why connecting failed, or None; valid once the socket has become writable."""

    @abstractmethod
    def shutdown_write(self) -> None:
        """Send the end of the stream; reading continues."""

    @abstractmethod
    def close(self, reset: bool = False) -> None:
        """Close the socket; with ``reset`` the peer sees a reset and unsent bytes are discarded."""


class Listener(ABC):
    """A listening socket."""

    address: Address

    @abstractmethod
    def accept(self) -> Sock | None:
        """Return the next connection or None; raises OSError when the system cannot create one (EMFILE)."""

    @abstractmethod
    def close(self) -> None:
        """Close the listening socket."""
        ...


class Loop(ABC):
    """A single-threaded event loop. Each turn runs sockets, due timers, ready callbacks, then end-of-turn hooks.

    Sockets go before timers so that after a pause (SIGSTOP, a slow turn) an answer that has already arrived is read
    before its timeout fires. End-of-turn hooks flush what the turn wrote: many messages, one ``send``.

    An exception in any callback stops the loop: it cancels the main coroutine and is raised by :meth:`run`.
    """

    def __init__(self) -> None:
        self._ready: deque[Callback] = deque()
        self._timers = TimerHeap()
        self._turn_end_hooks: list[Callback] = []
        self._crash: BaseException | None = None
        self._main: Task[object] | None = None
        self.turns = 0
        self.unpolled_ms = 0.0  # how long data that just became readable may have waited: time not polling the sockets
        self.polling_mid_turn = False  # within poll_now(): every readable socket is read to its end
        self.left_unread = False  # set by a socket callback that left data unread: poll_until_fresh() polls again
        self.polls = 0  # polls of the sockets so far
        self._polled_at: float | None = None
        self._stall: tuple[float, Callable[[float], None]] | None = None  # least length in ms, callback
        self.late_ms = 0.0  # how late the first due timer of the latest turn was: the loop's own lag

    # Supplied by an implementation

    @abstractmethod
    def now(self) -> float:
        """Monotonic time in ms."""

    @abstractmethod
    def wall(self) -> float:
        """Wall-clock time of the system in ms; it may step."""

    @abstractmethod
    def rng(self) -> random.Random:
        """Return a new random generator, seeded from the loop's own source."""

    @abstractmethod
    def token(self, size: int) -> bytes:
        """Return ``size`` unpredictable bytes, for identities."""

    @abstractmethod
    def listen(self, address: Address, backlog: int = 512) -> Listener:
        """Open a listening socket at ``address``."""
        ...

    @abstractmethod
    def dial(self, address: Address, source: str | None = None) -> Sock:
        """Begin to connect, from the local IP address ``source`` if given.

        The socket becomes writable once connecting has succeeded or failed.
        """

    @abstractmethod
    def adopt(self, fd: int) -> Listener:
        """Take over a listening socket that another process opened and passed on."""

    @abstractmethod
    def send_datagram(self, path: str, data: bytes) -> None:
        """Send to a unix datagram socket (``@`` begins an abstract name); a datagram that cannot be sent is dropped."""

    @abstractmethod
    def watch(self, sock: Sock | Listener, readable: Callback | None, writable: Callback | None) -> None:
        """Call back as long as the socket is ready (level-triggered); two Nones end the watch."""

    @abstractmethod
    def on_signal(self, number: int, callback: Callback) -> None:
        """Run ``callback`` in a turn of the loop after signal ``number``."""

    @abstractmethod
    def _poll(self, wait_ms: float | None) -> None:
        """Wait for sockets for at most ``wait_ms`` (None: without limit) and run their callbacks."""

    def _after_poll(self, began: float, wait_ms: float | None) -> None:
        """Account for the time without polling; called by :meth:`_poll` after its wait and before any callback."""
        now = self.now()
        busy_ms = began - self._polled_at if self._polled_at is not None else 0.0
        overrun_ms = max(0.0, now - began - wait_ms) if wait_ms is not None else 0.0
        if overrun_ms > WAIT_OVERRUN_MS:
            # The process was stopped at an unknown time within the wait. Data that arrived before the stop would have
            # ended the wait, so the stop may have begun with the wait, and data may have waited for all of it. Counting
            # only the time after the planned end of the wait made requests appear 1,560 ms fresher than they were.
            overrun_ms = now - began
        self.unpolled_ms = max(0.0, busy_ms) + overrun_ms
        self._polled_at = now
        self.polls += 1
        if self._stall is not None and self.unpolled_ms >= self._stall[0]:
            length_ms = self.unpolled_ms
            self.guard(lambda: self._stall[1](length_ms) if self._stall is not None else None)

    # Shared by all implementations

    @property
    def since_poll_ms(self) -> float:
        """Time since the sockets were last polled, in ms."""
        return self.now() - self._polled_at if self._polled_at is not None else 0.0

    @property
    def polled_at(self) -> float:
        """When the sockets were last polled, in ms of :meth:`now`."""
        return self._polled_at if self._polled_at is not None else 0.0

    def poll_now(self) -> None:
        """Read what has arrived on the sockets, in the middle of a turn, for a caller that must know it before acting.

        Costs one system call when nothing has arrived, however many sockets there are.
        """
        self.polling_mid_turn = True
        try:
            self._poll(0.0)
        finally:
            self.polling_mid_turn = False

    def poll_until_fresh(self, most_ms: float) -> bool:
        """Poll until everything that had arrived ``most_ms`` ago has been read.

        Data that arrives during a poll is left for the next one, so a poll that took long is followed by another.
        Returns False when ``MAX_FRESH_POLLS`` polls do not suffice: reading takes all the time.

        Two things may stay unread: data behind a full-sized read of one connection
        (``Transport.has_unread_backlog``), and new connections beyond those that ``MAX_FRESH_POLLS`` polls accept.
        """
        for _ in range(MAX_FRESH_POLLS):
            self.left_unread = False
            self.poll_now()
            if not self.left_unread and self.since_poll_ms <= most_ms:
                return True
        return self.since_poll_ms <= most_ms

    def call_soon(self, callback: Callback) -> None:
        """Run ``callback`` in this turn or the next."""
        self._ready.append(callback)

    def call_later(self, delay_ms: float, callback: Callback) -> Timer:
        """Run ``callback`` after ``delay_ms``, unless the returned timer is cancelled before."""
        return self._timers.add(self.now() + max(0.0, delay_ms), callback)

    def on_stall(self, least_ms: float, callback: Callable[[float], None]) -> None:
        """Run ``callback(length_ms)`` when the sockets have not been polled for ``least_ms`` or longer.

        That is a pause of the process or a slow turn. The callback runs before the data that is read from the sockets
        then is processed.
        """
        self._stall = least_ms, callback

    def at_turn_end(self, callback: Callback) -> None:
        """Run ``callback`` once, after everything else in this turn."""
        self._turn_end_hooks.append(callback)

    def run(self, main: Callable[[], Co[T]]) -> T:
        """Run a coroutine to its end and return its value; every task that it started has ended by then."""
        task: Task[T] = Task(self, main(), "main")
        self._main = task  # type: ignore[assignment]
        task.start()
        while not task.done:
            self.turn()
        self._main = None
        if self._crash is not None:
            crash, self._crash = self._crash, None
            raise crash
        return task.take()

    def turn(self) -> None:
        """Run one turn; blocks in the system until something is due."""
        self.turns += 1
        if self._ready or self._turn_end_hooks:
            wait: float | None = 0.0
        else:
            due = self._timers.next_due()
            wait = None if due is None else max(0.0, due - self.now())
            if self._stall is not None:
                wait = STALL_POLL_MS if wait is None else min(wait, STALL_POLL_MS)
        self._poll(wait)
        now, first = self.now(), self._timers.next_due()
        if first is not None:
            self.late_ms = max(0.0, now - first)
        # Timers are due by the time of the poll, not by now: in a process stopped in the middle of a turn, timeouts
        # would otherwise fire before the data that arrived meanwhile is read. That once closed a watch stream whose
        # notification of a drain was still unread.
        polled_at = now if self._polled_at is None else self._polled_at
        while (callback := self._timers.pop_due(polled_at)) is not None:
            self.guard(callback)
        for _ in range(len(self._ready)):  # callbacks that these make ready wait for the next turn: sockets go first
            self.guard(self._ready.popleft())
        while self._turn_end_hooks:
            hooks, self._turn_end_hooks = self._turn_end_hooks, []
            for hook in hooks:
                self.guard(hook)

    def guard(self, callback: Callback) -> None:
        """Run a callback; an exception that it raises stops the loop instead of being lost."""
        try:
            callback()
        except BaseException as error:
            if self._crash is None:
                self._crash = error
            if self._main is None:
                raise
            self._main.cancel()
