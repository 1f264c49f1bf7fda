"""A buffered byte stream over one socket: reads by callback, writes gathered until the end of the turn."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sprucepost.loop.core import Address, Loop, Sock
from sprucepost.loop.task import Co, Task, Undo, within
from sprucepost.loop.timers import Timer

READ_MOST = 65536  # bytes taken from one socket in one turn: a loud peer cannot keep the others waiting
LOOK_MOST = 4  # reads of one look: what has come, and the end behind it


class Transport:
    """Owns a connected socket.

    ``on_data(bytes)`` for each read, ``on_end()`` when the peer has sent all (reading stops), ``on_lost(error)`` once
    when the stream is gone for a cause other than :meth:`close` or :meth:`abort`. ``on_drained()`` after a flush that
    left nothing buffered. Written bytes are sent in one call at the end of the turn.

    With ``linger_ms`` :meth:`close` sends the end of the stream and reads on, for ``on_linger_data`` alone, until the
    peer's end comes or that time is over. A socket closed with bytes unread, or to which some come afterwards, is reset
    by the system, and the reset may take away what was sent before it and not read yet. The time also bounds how long
    :meth:`close` waits for a peer that does not read.
    """

    def __init__(self, loop: Loop, sock: Sock) -> None:
        self._loop, self._sock = loop, sock
        self.peer = sock.peer
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.on_end: Callable[[], None] = lambda: None
        self.on_lost: Callable[[OSError | None], None] = lambda error: None
        self.on_drained: Callable[[], None] | None = None
        self.may_send: Callable[[], bool] = lambda: (
            True
        )  # asked right before what this turn wrote goes out; else it is reset
        self._out: list[bytes] = []
        self.buffered = 0  # bytes written and not yet taken by the system
        self._reading = False
        self._blocked = False  # the system's send buffer is full
        self._flush_due = False
        self._ended = False  # the peer's end was seen
        self._closing = False
        self._half = False
        self.closed = False  # nothing more is passed on or taken
        self.socket_closed = False  # the socket has been given back
        self.linger_ms = 0.0
        self.on_linger_data: Callable[[bytes], None] = lambda data: None  # what comes while it lingers
        self.on_socket_closed: Callable[[], None] = lambda: None  # called once, when the socket has been given back
        self._lingering: Timer | None = None
        self._delivering = False  # within on_data
        self.sent = 0  # bytes that the system has taken, ever
        self.waited_ms = 0.0  # how long, at most, the bytes that came last had waited for us
        self._more = 0.0  # when a read that may have left bytes behind took place, 0 where none was left

    def start(self) -> None:
        """Begin to read, once the callbacks are set."""
        self.resume()

    @property
    def written(self) -> int:
        """Bytes given to :meth:`write` so far; what is there now has gone out once ``sent`` is that many."""
        return self.sent + self.buffered

    @property
    def blocked(self) -> bool:
        """Whether the system takes no more bytes for now."""
        return self._blocked

    def pause(self) -> None:
        """Take no more bytes: the system's buffer fills and the peer has to wait."""
        if self._reading:
            self._reading = False
            self._rewatch()

    def resume(self) -> None:
        if not self._reading and not self._ended and not self.closed:
            self._reading = True
            self._rewatch()

    def write(self, data: bytes) -> None:
        if self.closed or self._closing or self._half or not data:
            return
        self._out.append(data)
        self.buffered += len(data)
        if not self._flush_due and not self._blocked:
            self._flush_due = True
            self._loop.at_turn_end(self._first_flush)

    def shutdown_write(self) -> None:
        """Send the stream's end after what is buffered."""
        self._half = True
        if not self._out and not self.closed:
            self._sock.shutdown_write()

    def close(self) -> None:
        """Send what is buffered, then close."""
        if self.closed:
            return
        self._closing = True
        if not self._out:
            self._finish()
        elif self.linger_ms:
            self.pause()
            self._lingering = self._loop.call_later(self.linger_ms, lambda: self._shut(True))

    def abort(self) -> None:
        """Close at once; the peer sees a reset."""
        if not self.closed:
            self._shut(True)

    def end_linger(self) -> None:
        """End a close that lingers now; the peer sees a reset where the system does not take all that was written."""
        if self._out:
            self._flush()
        if not self.socket_closed:
            self._shut(bool(self._out))

    def _shut(self, reset: bool) -> None:
        self.closed = self.socket_closed = True
        if self._lingering is not None:
            self._lingering.cancel()
        self._loop.watch(self._sock, None, None)
        self._sock.close(reset)
        self._out, self.buffered = [], 0
        self.on_socket_closed()

    def _finish(self) -> None:
        """All is sent: close, or see the peer's end first."""
        if not self.linger_ms or self._ended:
            self._shut(False)
            return
        self.closed = True
        self._sock.shutdown_write()
        self._loop.watch(self._sock, self._discard, None)
        if self._lingering is None:
            self._lingering = self._loop.call_later(self.linger_ms, lambda: self._shut(False))

    def _discard(self) -> None:
        try:
            data = self._sock.recv(READ_MOST)
        except OSError:
            data = b""
        if data:
            self.on_linger_data(data)
        elif data == b"":
            self._shut(False)

    def _rewatch(self) -> None:
        self._loop.watch(
            self._sock, self._readable if self._reading else None, self._writable if self._blocked else None
        )

    def _lost(self, error: OSError | None) -> None:
        if not self.closed:
            self._shut(error is not None)
            self.on_lost(error)

    def read_now(self) -> bool:
        """Read now what lies there, the peer's end included; whether there was anything. Within ``on_data`` it does nothing:
        what comes later must not be taken earlier."""
        found = 0
        while (
            found < LOOK_MOST
            and self._reading
            and not (self.closed or self._delivering)
            and self._read(self._loop.since_poll_ms)
        ):
            found += 1
        return found > 0

    @property
    def has_unread_backlog(self) -> bool:
        """Whether the last read was a whole one, and the latest look found that more lies there or came before it: what is
        unread may be older than that look. It is read in the next turn."""
        return self._more > 0.0 and self._more >= self._loop.polled_at

    def _readable(self) -> None:
        if self._delivering:  # a look at all sockets in the midst of it: it is read in the next turn
            return
        looking = self._loop.polling_mid_turn
        if looking and self._more:  # it has had its part of this turn: a loud peer cannot keep the others waiting
            now = self._loop.now()
            self.waited_ms, self._more = self.waited_ms + now - self._more, now
            return
        if self._read(self._loop.unpolled_ms) and looking and not self._more:
            self.read_now()  # the peer's end may lie right behind what was read

    def _read(self, unseen_ms: float) -> bool:
        """Take what is there, which may have waited so long; False where nothing was."""
        try:
            data = self._sock.recv(READ_MOST)
        except OSError as error:
            self._lost(error)
            return True
        if data is None:
            self._more = 0.0
            return False
        if data:
            now = self._loop.now()
            self.waited_ms = self.waited_ms + now - self._more if self._more else unseen_ms
            self._more = now if len(data) == READ_MOST else 0.0
            self._delivering = True
            try:
                self.on_data(data)
            finally:
                self._delivering = False
        else:
            self._ended = True
            self.pause()
            self.on_end()
        return True

    def _writable(self) -> None:
        self._blocked = False
        self._flush()
        if not self._blocked and not self.closed:
            self._rewatch()

    def flush(self) -> None:
        """Send what was written now, and not at the turn's end."""
        self._first_flush()

    def _first_flush(self) -> None:
        if not self._flush_due:  # sent already
            return
        if not self.closed and not self.may_send():
            self._lost(OSError("stood still with bytes that must not be late"))
            return
        self._flush()

    def _flush(self) -> None:
        self._flush_due = False
        if self.closed or self._blocked:
            return
        data: bytes | memoryview = b"".join(self._out) if len(self._out) > 1 else (self._out or [b""])[0]
        sent = 0
        try:
            while sent < len(data):
                took = self._sock.send(memoryview(data)[sent:])
                if not took:
                    break
                sent += took
                self.sent += took
        except OSError as error:
            self._lost(error)
            return
        self.buffered -= sent
        if sent < len(data):
            self._out = [bytes(memoryview(data)[sent:])]
            if not self._blocked:
                self._blocked = True
                self._rewatch()
            return
        self._out = []
        if self._closing:
            self._finish()
        elif self._half:
            self._sock.shutdown_write()
        elif self.on_drained is not None:
            self.on_drained()


def connect(loop: Loop, task: Task[Any], address: Address, limit_ms: float, source: str | None = None) -> Co[Transport]:
    """A transport to ``address``; OSError, or TimedOut after ``limit_ms``."""
    sock = loop.dial(address, source)

    def trap(waiting: Task[Any]) -> Undo:
        def writable() -> None:
            loop.watch(sock, None, None)
            waiting.wake(sock.connect_error())

        loop.watch(sock, None, writable)
        return lambda: loop.watch(sock, None, None)

    def attempt() -> Co[OSError | None]:
        return (yield trap)  # type: ignore[no-any-return]

    try:
        error = yield from within(task, limit_ms, attempt())
    except BaseException:
        sock.close()
        raise
    if error is not None:
        sock.close()
        raise error
    return Transport(loop, sock)
