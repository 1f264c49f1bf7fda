"""The gRPC client: one connection and the calls on it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from sprucepost.loop import Address, Co, Loop, Task, Transport, connect, current, park
from sprucepost.loop.task import Undo
from sprucepost.wire.call import Call, CallConnection
from sprucepost.wire.connection import Connection, Options
from sprucepost.wire.http2 import Code as H2Code
from sprucepost.wire.http2 import Http2Error
from sprucepost.wire.metadata import Headers, Metadata, decode_metadata, encode_metadata, format_timeout
from sprucepost.wire.status import (
    H2_TO_CODE,
    HTTP_TO_CODE,
    REFUSED_STREAM,
    Code,
    RpcError,
    parse_code,
    percent_decode,
)


class ClientCall(Call):
    """A call that this client makes. ``on_initial_metadata`` is called before the first message."""

    def __init__(self, connection: CallConnection, max_message_bytes: int) -> None:
        super().__init__(connection, max_message_bytes)
        self.on_initial_metadata: Callable[[Metadata], None] | None = None
        self.initial_metadata: Metadata | None = None
        self.trailing_metadata: Metadata = ()
        self._initial_waiter: Task[Any] | None = None

    def end(self) -> None:
        """Half-close the call. END_STREAM is sent only once, as a second one is a protocol error."""
        if self.end_status is None and not self.end_sent:
            self._end_requested = True
            self.connection.schedule_send(self)

    def cancel(self, code: Code = Code.CANCELLED, message: str = "cancelled by the caller") -> None:
        """End the call now and reset its stream."""
        if self.end_status is None:
            self.connection.http2.reset(self.stream, H2Code.CANCEL)
            self.connection.flush_soon()
            self.mark_done(RpcError(code, message))

    def wait_initial_metadata(self) -> Co[Metadata]:
        """Wait for the server's initial metadata. RpcError if the call ended without it."""
        while self.initial_metadata is None:
            if self.end_status is not None:
                raise self.end_status

            def trap(task: Task[Any]) -> Undo:
                self._initial_waiter = task

                def undo() -> None:
                    self._initial_waiter = None

                return undo

            yield from park(trap)
        return self.initial_metadata

    def _wake_initial(self) -> None:
        if self._initial_waiter is not None:
            task, self._initial_waiter = self._initial_waiter, None
            task.wake()

    def mark_done(self, status: RpcError) -> None:
        super().mark_done(status)
        self._wake_initial()

    def result(self) -> Co[None]:
        """Wait for the end of the call and drop its messages. RpcError unless it ended with OK."""
        while (yield from self.receive()) is not None:
            pass
        if self.end_status is not None and self.end_status.code is not Code.OK:
            raise self.end_status


class ClientConnection(Connection):
    """One connection to one server. When it is lost, its calls end with UNAVAILABLE; it does not reconnect."""

    def __init__(self, loop: Loop, transport: Transport, authority: str, options: Options) -> None:
        self.authority = authority
        self._ready_waiters: list[Task[Any]] = []
        self.settings_received = False
        super().__init__(loop, transport, True, options, Counter())

    def ready(self) -> Co[None]:
        """Wait for the server's SETTINGS. RpcError if the connection ends first."""
        while not self.settings_received:
            if self.closed:
                raise RpcError(Code.UNAVAILABLE, "connection lost before it was ready", unprocessed=True)

            def trap(task: Task[Any]) -> Undo:
                self._ready_waiters.append(task)
                return lambda: self._ready_waiters.remove(task)

            yield from park(trap)

    def _wake_ready(self) -> None:
        waiters, self._ready_waiters = self._ready_waiters, []
        for task in waiters:
            task.wake()

    def on_window(self) -> None:
        if not self.settings_received:
            self.settings_received = True
            self._wake_ready()
        super().on_window()

    def call_done(self) -> None:
        super().call_done()
        if self.draining and not self.calls:
            self.close("the last call before a GOAWAY has ended")

    def handle_lost(self, text: str) -> None:
        super().handle_lost(text)
        self._wake_ready()

    def call(
        self,
        path: str,
        metadata: Iterable[tuple[str, str | bytes]] = (),
        timeout_ms: float | None = None,
        gzip: bool = False,
    ) -> ClientCall:
        """Begin a call. RpcError, marked unprocessed, if the connection or the server's stream limit allows none.

        ``timeout_ms`` is sent as the call's deadline and also ends the call here; ``gzip`` compresses its messages.
        """
        if self.closed or self.draining:
            raise RpcError(Code.UNAVAILABLE, "the connection accepts no more calls", unprocessed=True)
        if not self.http2.can_open_stream():
            raise RpcError(Code.RESOURCE_EXHAUSTED, "the server allows no more streams", unprocessed=True)
        headers: Headers = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", path.encode()),
            (b":authority", self.authority.encode()),
            (b"te", b"trailers"),
            (b"content-type", b"application/grpc"),
            (b"user-agent", b"sprucepost"),
            (b"grpc-accept-encoding", b"identity,gzip"),
        ]
        if timeout_ms is not None:
            headers.append((b"grpc-timeout", format_timeout(timeout_ms)))
        if gzip:
            headers.append((b"grpc-encoding", b"gzip"))
        call = ClientCall(self, self.options.max_message_bytes)
        call.gzip_out = gzip
        try:
            call.stream = self.http2.open_stream(headers + encode_metadata(metadata))
        except Http2Error as error:
            self.draining = True
            raise RpcError(Code.UNAVAILABLE, str(error), unprocessed=True) from None
        self.calls[call.stream] = call
        if timeout_ms is not None:
            call.timer = self.loop.call_later(
                timeout_ms, lambda: call.cancel(Code.DEADLINE_EXCEEDED, "deadline exceeded")
            )
        self.flush_soon()
        return call

    def unary(
        self,
        path: str,
        request: bytes,
        metadata: Iterable[tuple[str, str | bytes]] = (),
        timeout_ms: float | None = None,
        gzip: bool = False,
    ) -> Co[bytes]:
        """Send one message and return the response. RpcError unless the call ends with OK and one message."""
        call = self.call(path, metadata, timeout_ms, gzip)
        call.send(request)
        call.end()
        try:
            reply = yield from call.receive()
            yield from call.result()
        finally:
            call.cancel()
        if reply is None:
            raise RpcError(Code.INTERNAL, "no response message")
        return reply

    def on_headers(self, stream: int, headers: Headers, end: bool) -> None:
        call = self.calls.get(stream)
        if call is None:
            return
        assert isinstance(call, ClientCall)
        fields = dict(headers)
        status = fields.get(b":status")
        if status is not None and not end:
            content_type = fields.get(b"content-type", b"")
            if status != b"200" or not content_type.startswith(b"application/grpc"):
                self._end_call(call, _status_from_http(status, content_type))
                self.http2.reset(stream, H2Code.CANCEL)
                return
            encoding = fields.get(b"grpc-encoding", b"identity")
            if encoding not in (b"identity", b"gzip"):
                self.fail_call(call, RpcError(Code.INTERNAL, f"unknown grpc-encoding {encoding!r}"))
                return
            call.decoder._gzip = encoding == b"gzip"
            call.initial_metadata = decode_metadata(headers)
            if call.on_initial_metadata is not None:
                call.on_initial_metadata(call.initial_metadata)
            call._wake_initial()
            return
        if not end:
            self.fail_call(call, RpcError(Code.INTERNAL, "headers in the middle of a response"))
            return
        if b"grpc-status" in fields:
            code = parse_code(fields[b"grpc-status"].decode("latin-1"))
            error = RpcError(code, percent_decode(fields.get(b"grpc-message", b"").decode("latin-1")))
        elif status is not None:
            error = _status_from_http(status, fields.get(b"content-type", b""))
        else:
            error = RpcError(Code.UNKNOWN, "the response has no grpc-status")
        call.trailing_metadata = decode_metadata(headers)
        if error.code is Code.OK and call.decoder.buffered_bytes:
            error = RpcError(Code.INTERNAL, "the response ends inside a message")
        self._end_call(call, error)

    def _end_call(self, call: ClientCall, status: RpcError) -> None:
        call.handle_end()
        if not call.end_sent:  # the server ended first: reset the unfinished request
            self.http2.reset(call.stream, H2Code.NO_ERROR)
        call.mark_done(status)

    def on_data(self, stream: int, data: bytes, end: bool) -> None:
        super().on_data(stream, data, end)
        call = self.calls.get(stream)
        if end and call is not None:
            call.mark_done(RpcError(Code.INTERNAL, "the response ends without trailers"))

    def fail_call(self, call: Call, error: RpcError) -> None:
        assert isinstance(call, ClientCall)
        call.cancel(error.code, error.message)

    def on_reset(self, stream: int, code: int) -> None:
        call = self.calls.get(stream)
        if call is not None:
            status = H2_TO_CODE.get(code, Code.INTERNAL)
            call.mark_done(RpcError(status, f"reset by the server ({code})", unprocessed=code == REFUSED_STREAM))

    def on_goaway(self, code: int, last_stream: int, text: bytes) -> None:
        self.draining = True
        message = f"the server sent GOAWAY ({code}{': ' + text.decode('latin-1') if text else ''})"
        for call in list(self.calls.values()):
            if call.stream > last_stream:
                call.mark_done(RpcError(Code.UNAVAILABLE, message, unprocessed=True))


def _status_from_http(status: bytes, content_type: bytes) -> RpcError:
    number = int(status) if status.isdigit() else 0
    if number == 200:
        return RpcError(Code.UNKNOWN, f"not a gRPC response: content-type {content_type.decode('latin-1')!r}")
    return RpcError(HTTP_TO_CODE.get(number, Code.UNKNOWN), f"HTTP status {number}")


def open_client(
    loop: Loop,
    address: Address,
    limit_ms: float = 5000.0,
    options: Options | None = None,
    source: str | None = None,
) -> Co[ClientConnection]:
    """Connect and wait for the server's SETTINGS. Raises OSError, TimedOut or RpcError."""
    task = yield from current()
    transport = yield from connect(loop, task, address, limit_ms, source)
    authority = "localhost" if isinstance(address, str) else f"{address[0]}:{address[1]}"
    connection = ClientConnection(loop, transport, authority, options or Options())
    try:
        yield from connection.ready()
    except BaseException:
        connection.abort("connecting was abandoned")
        raise
    return connection
