"""The turn of a loop, and what an implementation of it must supply."""

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

LOOK_MS = 50.0  # a loop that is to know of its pauses looks at its sockets so often: one within a wait leaves no trace
LOOK_ROUNDS = 4  # looks in a row until nothing is left unread; who needs more than that has no time for anything else
OVERSLEPT_MS = 5.0  # a wait that ends later than that was not the system's rounding

_SHORTAGE = (
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN,
)  # fmt: skip


def is_local_shortage(error: BaseException) -> bool:
    """Whether the system had no descriptor, memory, local port or route: that says nothing of the peer, and passes."""
    return isinstance(error, OSError) and error.errno in _SHORTAGE


Call = Callable[[], None]
Rng = random.Random


class Sock(ABC):
    """One connected (or connecting) non-blocking byte stream. OSError is raised as the system raises it."""

    peer: str

    @abstractmethod
    def recv(self, most: int) -> bytes | None:
        """Up to ``most`` bytes; ``b""`` at the peer's end; None where nothing is there yet."""

    @abstractmethod
    def send(self, data: bytes | memoryview) -> int:
        """Bytes taken, 0 where the send buffer is full."""

    @abstractmethod
    def connect_error(self) -> OSError | None:
        """Why connecting failed, once the socket has become writable."""

    @abstractmethod
    def shutdown_write(self) -> None:
        """Send the end of the stream; reading goes on."""

    @abstractmethod
    def close(self, reset: bool = False) -> None:
        """Give the socket back; with ``reset`` the peer sees a reset and nothing more is sent."""


class Listener(ABC):
    """A listening socket."""

    address: Address

    @abstractmethod
    def accept(self) -> Sock | None:
        """The next connection or None; OSError where the system has none to give (EMFILE)."""

    @abstractmethod
    def close(self) -> None: ...


class Loop(ABC):
    """One thread's turns: sockets, then due timers, then what is ready, then the end-of-turn hooks.

    Sockets go before timers so that after a pause (SIGSTOP, a slow turn) an answer that has already arrived is seen
    before the time-out that it belongs to. End-of-turn hooks flush what the turn wrote: many messages, one ``send``.

    An exception in any callback stops the loop: it cancels the main coroutine and is raised by :meth:`run`.
    """

    def __init__(self) -> None:
        self._ready: deque[Call] = deque()
        self._timers = TimerHeap()
        self._turn_end: list[Call] = []
        self._crash: BaseException | None = None
        self._main: Task[object] | None = None
        self.turns = 0
        self.unpolled_ms = 0.0  # what just became readable may have waited so long: the loop stood still, or was busy
        self.polling_mid_turn = False  # a look in the midst of a turn: what is ready is read to its end
        self.left_unread = False  # to be set where a look leaves something: it is looked again
        self._polled_at: float | None = None
        self._gap: tuple[float, Callable[[float], None]] | None = None
        self.late_ms = 0.0  # how late the latest turn's first due timer was: the loop's own lag

    # What an implementation supplies

    @abstractmethod
    def now(self) -> float:
        """Monotonic time in ms."""

    @abstractmethod
    def wall(self) -> float:
        """The system's wall-clock time in ms; it may step."""

    @abstractmethod
    def rng(self) -> random.Random:
        """A new generator, seeded from the loop's own source."""

    @abstractmethod
    def token(self, size: int) -> bytes:
        """Unpredictable bytes, for identities."""

    @abstractmethod
    def listen(self, address: Address, backlog: int = 512) -> Listener: ...

    @abstractmethod
    def dial(self, address: Address, source: str | None = None) -> Sock:
        """Begin to connect, from the local IP address ``source`` if given; writable once it is decided."""

    @abstractmethod
    def adopt(self, fd: int) -> Listener:
        """A listening socket that another process opened and passed on."""

    @abstractmethod
    def send_datagram(self, path: str, data: bytes) -> None:
        """Send to a unix datagram socket (``@`` begins an abstract name); what cannot be sent is dropped."""

    @abstractmethod
    def watch(self, sock: Sock | Listener, readable: Call | None, writable: Call | None) -> None:
        """Call back as long as the socket is ready (level-triggered); None, None ends the watch."""

    @abstractmethod
    def on_signal(self, number: int, call: Call) -> None:
        """Call ``call`` in a turn of the loop after that signal."""

    @abstractmethod
    def _poll(self, wait_ms: float | None) -> None:
        """Wait for sockets at most so long and run their callbacks."""

    def _after_poll(self, began: float, wait_ms: float | None) -> None:
        """To be called by :meth:`_poll` when the wait is over, before any callback."""
        now = self.now()
        busy = began - self._polled_at if self._polled_at is not None else 0.0
        stood = max(0.0, now - began - wait_ms) if wait_ms is not None else 0.0
        if stood > OVERSLEPT_MS:
            # Stopped, and nobody knows since when: what came at the beginning of the wait would have ended it, and has
            # waited ever since. Counted from the end of the wait, asks were thought 1,560 ms fresher than they were.
            stood = now - began
        self.unpolled_ms = max(0.0, busy) + stood
        self._polled_at = now
        if self._gap is not None and self.unpolled_ms >= self._gap[0]:
            length = self.unpolled_ms
            self.guard(lambda: self._gap[1](length) if self._gap is not None else None)

    # Shared by all

    @property
    def since_poll_ms(self) -> float:
        """How long ago the sockets were looked at."""
        return self.now() - self._polled_at if self._polled_at is not None else 0.0

    @property
    def polled_at(self) -> float:
        """When the sockets were looked at, in ms of :meth:`now`."""
        return self._polled_at if self._polled_at is not None else 0.0

    def poll_now(self) -> None:
        """Read what has come to the sockets now, in the midst of a turn: for who must know it before it acts. One system
        call where nothing has come, however many sockets there are."""
        self.polling_mid_turn = True
        try:
            self._poll(0.0)
        finally:
            self.polling_mid_turn = False

    def poll_until_fresh(self, most_ms: float) -> bool:
        """Look until all that had come ``most_ms`` ago has been read. What comes during a look is left for the next one, so
        one that took long is followed by another. False where ``LOOK_ROUNDS`` do not suffice: reading takes all time.

        Two things may stay unread: what lies behind a whole read of one connection (``Transport.has_unread_backlog``),
        and newcomers behind as many as one look takes, ``LOOK_ROUNDS`` times over.
        """
        for _ in range(LOOK_ROUNDS):
            self.left_unread = False
            self.poll_now()
            if not self.left_unread and self.since_poll_ms <= most_ms:
                return True
        return self.since_poll_ms <= most_ms

    def call_soon(self, call: Call) -> None:
        """In this turn or the next."""
        self._ready.append(call)

    def call_later(self, delay_ms: float, call: Call) -> Timer:
        return self._timers.add(self.now() + max(0.0, delay_ms), call)

    def on_stall(self, least_ms: float, call: Callable[[float], None]) -> None:
        """Call ``call(length_ms)`` when the loop has not looked at its sockets for ``least_ms`` or longer (a pause of the
        process, a slow turn), ahead of what it then reads from them."""
        self._gap = least_ms, call

    def at_turn_end(self, call: Call) -> None:
        """Once, after everything else in this turn."""
        self._turn_end.append(call)

    def run(self, main: Callable[[], Co[T]]) -> T:
        """Run a coroutine to its end and return its value; all that it started has ended by then."""
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
        """One turn; blocks in the system until something is due."""
        self.turns += 1
        if self._ready or self._turn_end:
            wait: float | None = 0.0
        else:
            due = self._timers.next_due()
            wait = None if due is None else max(0.0, due - self.now())
            if self._gap is not None:
                wait = LOOK_MS if wait is None else min(wait, LOOK_MS)
        self._poll(wait)
        now, first = self.now(), self._timers.next_due()
        if first is not None:
            self.late_ms = max(0.0, now - first)
        # Due by when the sockets were looked at, not by now: a process stopped in the midst of a turn would have its
        # time-outs go before what had come meanwhile. A watch was given up so, with the word of a drain unread in it.
        looked = now if self._polled_at is None else self._polled_at
        while (call := self._timers.pop_due(looked)) is not None:
            self.guard(call)
        for _ in range(len(self._ready)):  # those that these make ready wait for the next turn: sockets go first
            self.guard(self._ready.popleft())
        while self._turn_end:
            hooks, self._turn_end = self._turn_end, []
            for hook in hooks:
                self.guard(hook)

    def guard(self, call: Call) -> None:
        """Run a callback; whatever it raises ends the loop instead of being lost."""
        try:
            call()
        except BaseException as error:
            if self._crash is None:
                self._crash = error
            if self._main is None:
                raise
            self._main.cancel()
