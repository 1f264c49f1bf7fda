"""A buffered byte stream over one socket: reads by callback, writes gathered until the end of the turn."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from sprucepost.loop.core import Address, Loop, Sock
from sprucepost.loop.task import Co, Task, Undo, within
from sprucepost.loop.timers import Timer

MAX_READ_BYTES = 65536  # per connection and turn: a fast sender must not starve the other connections
MAX_READS = 4  # of one read_now(): the data that has arrived, and the end of the stream behind it


class Transport:
    """A buffered stream that owns a connected socket.

    ``on_data(bytes)`` is called for each read, ``on_end()`` at the end of the peer's stream (reading stops), and
    ``on_lost(error)`` once when the connection is lost for a cause other than :meth:`close` or :meth:`abort`.
    ``on_drained()`` is called after a flush that left nothing buffered. Written bytes are sent in one call at the end
    of the turn.

    With ``linger_ms``, :meth:`close` sends the end of the stream and keeps reading, passing the data to
    ``on_linger_data`` only, until the peer's end arrives or that time has passed. The system resets a socket that is
    closed with unread bytes, or to which bytes arrive after the close, and the reset may discard data that was sent
    before it and that the peer has not read yet. ``linger_ms`` also bounds how long :meth:`close` waits for a peer that
    does not read.
    """

    def __init__(self, loop: Loop, sock: Sock) -> None:
        self._loop, self._sock = loop, sock
        self.peer = sock.peer
        self.max_read_bytes = MAX_READ_BYTES  # of one read
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.on_end: Callable[[], None] = lambda: None
        self.on_lost: Callable[[OSError | None], None] = lambda error: None
        self.on_drained: Callable[[], None] | None = None
        # Asked right before the data of this turn is sent; when it returns False the connection is reset instead.
        self.may_send: Callable[[], bool] = lambda: True
        self._out: list[bytes] = []
        self.buffered = 0  # bytes written and not yet accepted by the system
        self._reading = False
        self._blocked = False  # the system's send buffer is full
        self._flush_due = False
        self._ended = False  # the end of the peer's stream was read
        self._closing = False
        self._write_shutdown = False  # shutdown_write() was called
        self.closed = False  # no more data is delivered or accepted
        self.socket_closed = False  # the socket itself has been closed
        self.linger_ms = 0.0  # 0: close() does not wait for the peer
        self.on_linger_data: Callable[[bytes], None] = lambda data: None  # data that arrives while lingering
        self.on_socket_closed: Callable[[], None] = lambda: None  # called once, after the socket has been closed
        self._linger_timer: Timer | None = None
        self._delivering = False  # within on_data()
        self.sent = 0  # total bytes accepted by the system
        self.drained_at = -math.inf  # when it last accepted what it had not accepted at once, in ms of the loop's clock
        self.waited_ms = 0.0  # how long, at most, the data or the end that was read last had waited
        self.continued = False  # whether the data delivered last had arrived behind a read that left data unread
        self._partial_read_at = 0.0  # when a read that may have left more data unread took place; 0 if none was left
        self._unread_at_poll = -1  # number of the latest poll after which data may have been left unread
        self._data_at_poll = -math.inf  # number of the latest poll that found data
        self._nothing_unread_before_data = -math.inf  # when the latest poll was that found nothing before that one
        self._paused_at: float | None = None  # since when what arrived may lie unread: reading was paused then
        self._resumed_at_poll = -1  # number of the latest poll when it was resumed

    def start(self) -> None:
        """Begin to read; called once the callbacks are set."""
        self.resume()

    @property
    def written(self) -> int:
        """Total bytes passed to :meth:`write`; all of them have been sent once ``sent`` reaches this value."""
        return self.sent + self.buffered

    @property
    def open_until(self) -> float:
        """The end that was read last, or that a write met, has not arrived before that time, in ms of the loop's clock."""
        return min(self._loop.now() - self.waited_ms, self._nothing_unread_at())

    @property
    def known_open_at(self) -> float:
        """An end that had arrived by that time, in ms of the loop's clock, would have been read by now."""
        return -math.inf if self.has_unread_backlog else self._nothing_unread_at()

    def _nothing_unread_at(self) -> float:
        """Return when the latest poll was that left nothing unread: what the latest one of all has found may not be handled
        yet, and behind data that a poll has found its end may have arrived too."""
        if self._data_at_poll >= self._loop.polls - 1:
            return self._nothing_unread_before_data
        return self._loop.polled_at - self._loop.unpolled_ms

    @property
    def blocked(self) -> bool:
        """Whether the system accepts no more bytes for now."""
        return self._blocked

    def pause(self) -> None:
        """Stop reading: the system's receive buffer fills up and the peer has to wait. Ignored once the stream is closed."""
        if self._reading and not self.closed:  # its descriptor may be another connection's by then
            self._reading = False
            self._paused_at = self._loop.now()
            self._rewatch()

    def resume(self) -> None:
        """Read again after :meth:`pause`."""
        if not self._reading and not self._ended and not self.closed:
            self._reading = True
            if self._paused_at is not None:  # what has arrived meanwhile shows at the next poll
                self._unread_at_poll = self._resumed_at_poll = self._loop.polls
            self._rewatch()

    def write(self, data: bytes) -> None:
        """Buffer ``data`` for sending at the end of the turn; ignored once the stream is closed for writing."""
        if self.closed or self._closing or self._write_shutdown or not data:
            return
        self._out.append(data)
        self.buffered += len(data)
        if not self._flush_due and not self._blocked:
            self._flush_due = True
            self._loop.at_turn_end(self._flush_at_turn_end)

    def shutdown_write(self) -> None:
        """Send the end of the stream after the buffered data."""
        self._write_shutdown = True
        if not self._out and not self.closed:
            self._sock.shutdown_write()

    def close(self) -> None:
        """Send the buffered data, then close."""
        if self.closed:
            return
        self._closing = True
        if not self._out:
            self._sent_all()
        elif self.linger_ms:
            self.pause()
            self._linger_timer = self._loop.call_later(self.linger_ms, lambda: self._close_socket(True))

    def abort(self) -> None:
        """Close at once; the peer sees a reset."""
        if not self.closed:
            self._close_socket(True)

    def end_linger(self) -> None:
        """End a lingering close now; the peer sees a reset if the system does not accept all of the buffered data."""
        if self._out:
            self._flush()
        if not self.socket_closed:
            self._close_socket(bool(self._out))

    def _close_socket(self, reset: bool) -> None:
        self.closed = self.socket_closed = True
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._loop.watch(self._sock, None, None)
        self._sock.close(reset)
        self._out, self.buffered = [], 0
        self.on_socket_closed()

    def _sent_all(self) -> None:
        """Close once everything is sent; with ``linger_ms``, wait for the end of the peer's stream first."""
        if not self.linger_ms or self._ended:
            self._close_socket(False)
            return
        self.closed = True
        self._sock.shutdown_write()
        self._loop.watch(self._sock, self._linger_readable, None)
        if self._linger_timer is None:
            self._linger_timer = self._loop.call_later(self.linger_ms, lambda: self._close_socket(False))

    def _linger_readable(self) -> None:
        try:
            data = self._sock.recv(self.max_read_bytes)
        except OSError:
            data = b""
        if data:
            self.on_linger_data(data)
        elif data == b"":
            self._close_socket(False)

    def _rewatch(self) -> None:
        self._loop.watch(
            self._sock, self._readable if self._reading else None, self._writable if self._blocked else None
        )

    def _connection_lost(self, error: OSError | None) -> None:
        if not self.closed:
            self._close_socket(error is not None)
            self.on_lost(error)

    def read_now(self) -> bool:
        """Read now what has arrived, including the end of the peer's stream; return whether there was anything.

        Does nothing within ``on_data``: data that arrived later must not be processed earlier.
        """
        reads = 0
        while (
            reads < MAX_READS
            and self._reading
            and not (self.closed or self._delivering)
            and self._read(self._loop.since_poll_ms)
        ):
            reads += 1
        return reads > 0

    @property
    def has_unread_backlog(self) -> bool:
        """Whether data may be unread that arrived before the latest poll of the sockets.

        That is so while reading is paused, and after a read of ``max_read_bytes`` or a pause if the latest poll found more
        data or preceded it. The rest is read in the next turn.
        """
        return not (self._reading or self._ended or self.closed) or self._unread_at_poll == self._loop.polls

    def _unread_since_pause(self) -> float | None:
        """Return when reading was paused, if what arrived meanwhile may still lie unread: the next poll shows it all."""
        if self._reading and self._loop.polls > self._resumed_at_poll + 1:
            self._paused_at = None
        return self._paused_at

    def _readable(self) -> None:
        if self._delivering:  # polled from within on_data(): the rest is read in the next turn
            return
        mid_turn = self._loop.polling_mid_turn
        if mid_turn and self._partial_read_at:  # it has had its share of this turn: it must not starve the others
            now = self._loop.now()
            self.waited_ms, self._partial_read_at = self.waited_ms + now - self._partial_read_at, now
            self._unread_at_poll = self._loop.polls
            return
        if self._read(self._loop.unpolled_ms) and mid_turn and not self._partial_read_at:
            self.read_now()  # the end of the peer's stream may follow directly

    def _read(self, unpolled_ms: float) -> bool:
        """Read once; the data may have waited for ``unpolled_ms``. Returns False when there was nothing."""
        failure: OSError | None = None
        try:
            data = self._sock.recv(self.max_read_bytes)
        except OSError as error:
            data, failure = b"", error
        if data is None:
            self._partial_read_at, self._unread_at_poll = 0.0, -1
            return False
        now, polls = self._loop.now(), self._loop.polls
        self.continued = self._unread_at_poll >= polls - 1 and self._unread_at_poll >= 0
        paused_at, self._paused_at = self._unread_since_pause(), None
        if paused_at is not None:
            unpolled_ms = max(unpolled_ms, now - paused_at)
        left_behind = self._partial_read_at > 0.0 and self.continued
        self.waited_ms = self.waited_ms + now - self._partial_read_at if left_behind else unpolled_ms
        if failure is not None:
            self._connection_lost(failure)
        elif data:
            if self._data_at_poll < polls - 1:
                self._nothing_unread_before_data = self._loop.polled_at - self._loop.unpolled_ms
            self._data_at_poll = polls
            is_full = len(data) >= self.max_read_bytes
            self._partial_read_at, self._unread_at_poll = (now, polls) if is_full else (0.0, -1)
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
        if not self._blocked:
            self.drained_at = self._loop.now()
            if not self.closed:
                self._rewatch()

    def flush(self) -> None:
        """Send the buffered data now instead of at the end of the turn."""
        self._flush_at_turn_end()

    def _flush_at_turn_end(self) -> None:
        if not self._flush_due:  # already sent
            return
        if not self.closed and not self.may_send():
            self._connection_lost(OSError("process stalled before sending data that must not be late"))
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
                accepted = self._sock.send(memoryview(data)[sent:])
                if not accepted:
                    break
                sent += accepted
                self.sent += accepted
        except OSError as error:
            self.waited_ms = self._loop.since_poll_ms
            paused_at = self._unread_since_pause()
            if paused_at is not None:
                self.waited_ms = max(self.waited_ms, self._loop.now() - paused_at)
            self._connection_lost(error)
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
            self._sent_all()
        elif self._write_shutdown:
            self._sock.shutdown_write()
        elif self.on_drained is not None:
            self.on_drained()


def connect(loop: Loop, task: Task[Any], address: Address, limit_ms: float, source: str | None = None) -> Co[Transport]:
    """Connect to ``address`` and return the transport; raises OSError, or TimedOut after ``limit_ms``."""
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
