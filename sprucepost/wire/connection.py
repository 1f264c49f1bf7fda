"""One HTTP/2 connection on a transport: calls, flushing, keepalive, stalled calls and closing, for both roles."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from sprucepost.loop import Loop, Timer, Transport
from sprucepost.wire.call import Call
from sprucepost.wire.http2 import Code as H2Code
from sprucepost.wire.http2 import Http2Endpoint, Http2Error
from sprucepost.wire.metadata import Headers
from sprucepost.wire.rate_limits import PingPolicy
from sprucepost.wire.status import Code, RpcError

LINGER_MS = 1000.0  # for the peer to read the last frames before the connection is reset


@dataclass(frozen=True)
class Options:
    """Limits of one end; sizes in bytes, times in ms."""

    max_message_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 16_384
    max_streams: int = 100
    stream_window: int = 262_144
    connection_window: int = 1_048_576
    max_connections: int = 4096
    keepalive_ms: float = 20_000.0
    keepalive_timeout_ms: float = 10_000.0
    handshake_timeout_ms: float = 10_000.0  # from accept until the peer's preface and SETTINGS
    idle_timeout_ms: float = 300_000.0  # a server closes a connection that has no calls for this long
    stall_timeout_ms: float = 30_000.0  # a call ends if the peer's window lets none of its data out for this long
    max_transport_bytes: int = 1_048_576  # unsent bytes at the socket from which calls are held back
    min_ping_interval_ms: float = 10_000.0
    max_send_delay_ms: float | None = None  # messages that are not written within this time are never sent


class Connection:
    """The part that both roles share. ``counters`` counts errors by name for the metrics."""

    def __init__(
        self, loop: Loop, transport: Transport, client: bool, options: Options, counters: Counter[str]
    ) -> None:
        self.loop, self.options, self.counters = loop, options, counters
        self.transport = transport
        self.peer = transport.peer
        self.calls: dict[int, Call] = {}
        self.http2 = Http2Endpoint(
            self,
            client,
            loop.now(),
            options.max_streams,
            options.stream_window,
            options.connection_window,
            options.max_header_bytes,
            None if client else PingPolicy(options.min_ping_interval_ms),
        )
        self.on_closed: Callable[[], None] = lambda: None
        self.closed = False
        self.draining = False
        self.received_valid = False  # whether the peer has sent valid HTTP/2
        self._calls_to_flush: dict[Call, None] = {}
        self._blocked_calls: dict[Call, float] = {}  # calls waiting for the peer's window, since when (ms)
        self._flush_scheduled = False
        self._last_read_ms = loop.now()
        self._ping_sent_ms: float | None = None
        self._timer: Timer = loop.call_later(self._check_interval_ms(), self._check_timeouts)
        self._opened_ms = loop.now()
        self._last_call_ended_ms = loop.now()
        self.transport.on_data = self._on_bytes
        self.transport.on_end = self._on_end
        self.transport.on_lost = lambda error: self.handle_lost(str(error) if error else "connection lost")
        self.transport.on_drained = self._on_drained
        self._unsent_since_ms = 0.0
        if options.max_send_delay_ms is not None:
            self.transport.may_send = self._within_send_delay
        self.transport.start()
        self._flush()

    # From the transport

    def _on_bytes(self, data: bytes) -> None:
        self._last_read_ms = self.loop.now()
        self._ping_sent_ms = None
        try:
            self.http2.receive(data, self._last_read_ms)
            self.received_valid = True
        except Http2Error as error:
            self.counters[error.name] += 1
            self.reply_to_invalid_peer(error)
            self._linger()
            self.handle_lost(f"{error.name}: {error}")
            return
        self.flush_soon()

    def _on_end(self) -> None:
        self.transport.close()
        self.handle_lost("the peer closed the connection")

    def reply_to_invalid_peer(self, error: Http2Error) -> None:
        """Reply to a peer that violated the protocol, if its protocol is known."""

    def _on_drained(self) -> None:
        if self._calls_to_flush:
            self.flush_soon()

    # From the HTTP/2 endpoint

    def on_headers(self, stream: int, headers: Headers, end: bool) -> None:
        raise NotImplementedError

    def on_data(self, stream: int, data: bytes, end: bool) -> None:
        call = self.calls.get(stream)
        if call is None:
            return
        try:
            if data:
                call.handle_data(data)
        except RpcError as error:
            self.counters["message"] += 1
            self.fail_call(call, error)
            return
        if end:
            call.handle_end()

    def fail_call(self, call: Call, error: RpcError) -> None:
        raise NotImplementedError

    def on_reset(self, stream: int, code: int) -> None:
        raise NotImplementedError

    def on_error(self, stream: int, name: str, code: int) -> None:
        """The peer violated the protocol on a stream, which has been reset; the other streams continue."""
        self.counters[name] += 1
        self.on_reset(stream, code)

    def on_window(self) -> None:
        for call in self._blocked_calls:
            self._calls_to_flush[call] = None
        self._blocked_calls.clear()
        self.flush_soon()

    def on_goaway(self, code: int, last_stream: int, text: bytes) -> None:
        """The peer accepts no more streams from this end (RFC 9113 6.8).

        Ignored by a server, which opens none; it still serves calls that such a peer opens.
        """

    def on_ping_ack(self, payload: bytes) -> None:
        """The peer acknowledged a ping. Any bytes from the peer have already satisfied the keepalive."""

    # For calls

    def consumed(self, call: Call, size: int) -> None:
        """Return ``size`` bytes of the call's window to the peer."""
        self.http2.consumed(call.stream, size)
        self.flush_soon()

    def schedule_send(self, call: Call) -> None:
        """Flush the call's buffer at the end of the turn."""
        if not self._calls_to_flush:
            self._unsent_since_ms = self.loop.now()
        self._calls_to_flush[call] = None
        self.flush_soon()

    def send_blocked(self, call: Call) -> bool:
        """Whether the peer's window or the socket holds back the call's bytes."""
        return call in self._blocked_calls or self.transport.blocked

    def _within_send_delay(self) -> bool:
        """Whether the buffered messages are recent enough to be sent.

        A process that is suspended within a turn sends its messages when it resumes; they are then as old as the pause.
        """
        delay_ms = self.loop.now() - self._unsent_since_ms if self._unsent_since_ms else 0.0
        self._unsent_since_ms = 0.0
        if delay_ms <= (self.options.max_send_delay_ms or 0.0):
            return True
        self.counters["stale"] += 1
        return False

    def call_done(self) -> None:
        """Note that a call has ended."""
        self._last_call_ended_ms = self.loop.now()

    def flush_soon(self) -> None:
        """Flush once at the end of this turn: one pass over the calls and one write for many messages."""
        if not self._flush_scheduled and not self.closed:
            self._flush_scheduled = True
            self.loop.at_turn_end(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self.closed:
            return
        if self._calls_to_flush and self.transport.buffered < self.options.max_transport_bytes:
            calls, self._calls_to_flush = self._calls_to_flush, {}
            for call in calls:
                unsent_before = call.unsent_bytes
                if call.end_status is not None or not call.flush():
                    self._blocked_calls.pop(call, None)
                elif call not in self._blocked_calls or call.unsent_bytes < unsent_before:
                    self._blocked_calls[call] = self.loop.now()
        data = self.http2.outgoing()
        if not data:
            # The messages wait for the peer's window. That is no pause of this process, and must not count as the delay
            # of a later write.
            self._unsent_since_ms = 0.0
        self.transport.write(data)

    # Time

    def _check_interval_ms(self) -> float:
        return min(self.options.keepalive_ms, self.options.handshake_timeout_ms, self.options.stall_timeout_ms) / 2

    def _check_timeouts(self) -> None:
        """Check keepalive, stalled calls and idle connections; runs at a fixed interval."""
        if self.closed:
            return
        now, options = self.loop.now(), self.options
        self._timer = self.loop.call_later(self._check_interval_ms(), self._check_timeouts)
        for call, since in list(self._blocked_calls.items()):
            if call.end_status is not None:
                del self._blocked_calls[call]
            elif now - since > options.stall_timeout_ms:
                self.counters["stalled"] += 1
                del self._blocked_calls[call]
                self.fail_call(call, RpcError(Code.RESOURCE_EXHAUSTED, "the peer takes no data"))
        if (
            self.transport.buffered >= options.max_transport_bytes
            and now - self._last_read_ms > 2 * options.stall_timeout_ms
        ):
            self.counters["stalled"] += 1
            self.abort("the peer reads nothing")
            return
        if self._ping_sent_ms is not None:
            if now - self._ping_sent_ms > options.keepalive_timeout_ms:
                self.counters["keepalive"] += 1
                self.abort("no answer to a keepalive ping")
                return
        elif now - self._last_read_ms >= options.keepalive_ms and (self.calls or self.received_valid):
            self._ping_sent_ms = now
            self.http2.ping(b"alive\0\0\0")
        self.check_idle(now)
        self.flush_soon()

    def check_idle(self, now: float) -> None:
        """Close the connection if it is idle; a role may override this."""

    # The end

    def close(self, text: str = "") -> None:
        """Send a GOAWAY and what is buffered, then close."""
        if not self.closed:
            self.http2.close(H2Code.NO_ERROR, text.encode())
            self._linger()
            self.handle_lost(text or "closed")

    def _linger(self) -> None:
        """Send what is left and wait briefly for the peer to close.

        Closing a socket with unread bytes resets the connection, and the peer would lose the last frames.
        """
        transport = self.transport
        transport.write(self.http2.outgoing())
        transport.shutdown_write()
        transport.on_data = lambda data: None
        transport.on_drained = None
        transport.on_end = transport.abort
        transport.on_lost = lambda error: None
        self.loop.call_later(LINGER_MS, transport.abort)

    def abort(self, text: str) -> None:
        """Reset the connection and end its calls."""
        if not self.closed:
            self.transport.abort()
            self.handle_lost(text)

    def handle_lost(self, text: str) -> None:
        """End every call, as the connection is closed or lost."""
        if self.closed:
            return
        self.closed = True
        self._timer.cancel()
        for call in list(self.calls.values()):
            call.mark_done(RpcError(Code.UNAVAILABLE, text))
        self._calls_to_flush.clear()
        self._blocked_calls.clear()
        self.on_closed()
