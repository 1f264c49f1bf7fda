"""The gRPC server: connections, dispatch, deadlines, graceful shutdown."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from sprucepost.loop import Acceptor, Address, Cancelled, Co, Listener, Loop, Scope, Sock, Task, Transport, sleep
from sprucepost.wire.call import Call
from sprucepost.wire.connection import Connection, Options
from sprucepost.wire.http2 import Code as H2Code
from sprucepost.wire.http2 import Http2Error
from sprucepost.wire.metadata import Headers, Metadata, decode_metadata, encode_metadata, parse_timeout
from sprucepost.wire.status import Code, RpcError, percent_encode


class Message(Protocol):
    """A protobuf message."""

    def SerializeToString(self) -> bytes: ...


class ServerCall(Call):
    """A call that this server handles."""

    def __init__(self, connection: ServerConnection, max_message_bytes: int) -> None:
        super().__init__(connection, max_message_bytes)
        self.path = ""
        self.metadata: Metadata = ()
        self.deadline: float | None = None  # on the loop's clock, in ms
        self.trailing_metadata: list[tuple[str, str | bytes]] = []
        self._initial_metadata: list[tuple[str, str | bytes]] = []
        self._started = False
        self.accepts_gzip = False
        self.finishing = False

    def remaining_ms(self) -> float | None:
        """Time left until the call's deadline; None if the caller set none."""
        return None if self.deadline is None else max(0.0, self.deadline - self.connection.loop.now())

    def send_initial_metadata(self, metadata: Iterable[tuple[str, str | bytes]] = (), compress: bool = False) -> None:
        """Send the headers that precede the messages; ``compress`` applies if the caller accepts gzip."""
        if self._started or self.end_status is not None or self.finishing:
            return
        self._initial_metadata.extend(metadata)
        self._started = True
        headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]
        if compress and self.accepts_gzip:
            self.gzip_out = True
            headers.append((b"grpc-encoding", b"gzip"))
        headers.append((b"grpc-accept-encoding", b"identity,gzip"))
        self.connection.http2.send_headers(self.stream, headers + encode_metadata(self._initial_metadata))
        self.connection.flush_soon()

    def start_sending(self) -> None:
        self.send_initial_metadata()

    def finish(self, status: RpcError | None = None) -> None:
        """End the call: send the buffered messages, then the trailers with ``status``, by default OK."""
        if self.end_status is not None or self.finishing:
            return
        self.finishing = True
        status = status or RpcError(Code.OK)
        if status.code is not Code.OK:
            self._unsent.clear()  # an error does not wait for a peer that does not read
            self.unsent_bytes = 0

        def trailers() -> None:
            fields: Headers = (
                []
                if self._started
                else [
                    (b":status", b"200"),
                    (b"content-type", b"application/grpc"),
                    (b"grpc-accept-encoding", b"identity,gzip"),
                    *encode_metadata(self._initial_metadata),
                ]
            )
            fields.append((b"grpc-status", b"%d" % status.code))
            if status.message:
                fields.append((b"grpc-message", percent_encode(status.message).encode()))
            http2 = self.connection.http2
            http2.send_headers(self.stream, fields + encode_metadata(self.trailing_metadata), end=True)
            if not self._peer_ended:
                http2.reset(self.stream, H2Code.NO_ERROR)  # the rest of the request is not needed
            self.mark_done(status)
            self.connection.flush_soon()

        self._after_flush = trailers
        self.connection.schedule_send(self)


Handler = Callable[[ServerCall], Co[None]]
Attach = Callable[[ServerCall], None]


@dataclass(frozen=True)
class Method:
    """How a method is served: ``handler`` runs as a coroutine, ``attach`` sets callbacks on the call instead.

    Callbacks avoid a task switch for each message.
    """

    handler: Handler | None = None
    attach: Attach | None = None


Request = TypeVar("Request")


def unary(parse: Callable[[bytes], Request], answer: Callable[[Request, ServerCall], Co[Message]]) -> Method:
    """Return a method with one request and one response message."""

    def handler(call: ServerCall) -> Co[None]:
        reply = yield from answer(parse((yield from receive_single(call))), call)
        call.send(reply.SerializeToString())

    return Method(handler)


def receive_single(call: ServerCall) -> Co[bytes]:
    """Receive the request of a call that has exactly one message."""
    message = yield from call.receive()
    if message is None:
        raise RpcError(Code.INTERNAL, "no request message")
    if (yield from call.receive()) is not None:
        raise RpcError(Code.INTERNAL, "more than one request message")
    return message


class ServerConnection(Connection):
    """An accepted connection of a server."""

    def __init__(self, server: Server, sock: Sock) -> None:
        self.server = server
        super().__init__(server.loop, Transport(server.loop, sock), False, server.options, server.counters)

    def reply_to_invalid_peer(self, error: Http2Error) -> None:
        if error.name == "http1":
            self.transport.write(
                b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 33\r\n"
                b"Content-Type: text/plain\r\n\r\nthis port speaks gRPC on HTTP/2.\n"
            )

    def on_headers(self, stream: int, headers: Headers, end: bool) -> None:
        if stream in self.calls:  # request trailers: gRPC uses only their END_STREAM
            if end:
                self.calls[stream].handle_end()
            return
        if self.draining or self.server.draining:
            self.counters["refused_leaving"] += 1
            self.http2.reset(stream, H2Code.REFUSED_STREAM)
            return
        call = ServerCall(self, self.options.max_message_bytes)
        call.stream = stream
        self.calls[stream] = call
        try:
            method = self._read_request(call, headers)
        except RpcError as error:
            self.counters["request"] += 1
            call.finish(error)
            if end:
                call.handle_end()
            return
        if end:
            call._peer_ended = True
        if method is not None:
            self.server.dispatch(method, call)

    def _read_request(self, call: ServerCall, headers: Headers) -> Method | None:
        fields = dict(headers)
        content_type = fields.get(b"content-type", b"")
        for invalid, status in (
            (fields.get(b":method") != b"POST", b"405"),
            (
                not (
                    content_type == b"application/grpc"
                    or content_type.startswith((b"application/grpc+", b"application/grpc;"))
                ),
                b"415",
            ),
        ):
            if invalid:  # not a gRPC request: reply with an HTTP status
                self.counters["request"] += 1
                self.http2.send_headers(call.stream, [(b":status", status)], end=True)
                self.http2.reset(call.stream, H2Code.NO_ERROR)
                call.mark_done(RpcError(Code.INTERNAL, "not a gRPC request"))
                return None
        call.path = fields.get(b":path", b"").decode("latin-1")
        encoding = fields.get(b"grpc-encoding", b"identity")
        if encoding not in (b"identity", b"gzip"):
            raise RpcError(Code.UNIMPLEMENTED, f"grpc-encoding {encoding.decode('latin-1')!r} is not supported")
        call.decoder._gzip = encoding == b"gzip"
        call.accepts_gzip = b"gzip" in [part.strip() for part in fields.get(b"grpc-accept-encoding", b"").split(b",")]
        call.metadata = decode_metadata(headers)
        if (timeout := fields.get(b"grpc-timeout")) is not None:
            try:
                timeout_ms = parse_timeout(timeout)
            except ValueError as error:
                raise RpcError(Code.INTERNAL, str(error)) from None
            call.deadline = self.loop.now() + timeout_ms
            call.timer = self.loop.call_later(timeout_ms, lambda: self._expire(call))
        method = self.server.methods.get(call.path)
        if method is None:
            service = call.path.rsplit("/", 1)[0]
            service_known = any(path.rsplit("/", 1)[0] == service for path in self.server.methods)
            missing = "method" if service_known else "service"
            raise RpcError(Code.UNIMPLEMENTED, f"unknown {missing} {call.path}")
        return method

    def _expire(self, call: ServerCall) -> None:
        error = RpcError(Code.DEADLINE_EXCEEDED, "deadline exceeded")
        call.finish(error)
        self.server.cancel_handler(call, error)

    def fail_call(self, call: Call, error: RpcError) -> None:
        assert isinstance(call, ServerCall)
        call.finish(error)
        self.server.cancel_handler(call, error)

    def on_reset(self, stream: int, code: int) -> None:
        call = self.calls.get(stream)
        if call is not None:
            error = RpcError(Code.CANCELLED, f"reset by the caller ({code})")
            call.mark_done(error)

    def check_idle(self, now: float) -> None:
        if not self.received_valid and now - self._opened_ms > self.options.handshake_timeout_ms:
            self.counters["mute"] += 1
            self.abort("no preface in time")
        elif not self.calls and now - max(self._last_call_ended_ms, self._opened_ms) > self.options.idle_timeout_ms:
            self.close("idle")


class Server:
    """Serves ``methods``, by path, on its listeners. Handlers run in ``scope`` and are cancelled when it ends.

    ``on_error(path, error)`` is called when a handler raises an unexpected exception.
    """

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        methods: dict[str, Method],
        options: Options | None = None,
        on_error: Callable[[str, BaseException], None] | None = None,
    ) -> None:
        self.loop, self.scope, self.methods = loop, scope, methods
        self.options = options or Options()
        self.counters: Counter[str] = Counter()
        self.connections: dict[ServerConnection, None] = {}
        self.draining = False
        self._on_error = on_error or (lambda path, error: None)
        self._acceptors: list[Acceptor] = []
        self._tasks: dict[ServerCall, Task[Any]] = {}

    def listen(self, address: Address) -> Address:
        """Listen on an address and serve it; return the bound address. OSError if it cannot be bound."""
        return self.serve(self.loop.listen(address))

    def serve(self, listener: Listener) -> Address:
        """Serve a listening socket and return its address."""
        self._acceptors.append(Acceptor(self.loop, listener, self._accept))
        return listener.address

    def _accept(self, sock: Sock) -> None:
        if len(self.connections) >= self.options.max_connections:
            self.counters["connections"] += 1
            sock.close(reset=True)
            return
        connection = ServerConnection(self, sock)
        self.connections[connection] = None
        connection.on_closed = lambda: self._forget(connection)

    def _forget(self, connection: ServerConnection) -> None:
        self.connections.pop(connection, None)

    def dispatch(self, method: Method, call: ServerCall) -> None:
        """Start a method for a call."""
        self.counters["calls"] += 1
        if method.attach is not None:
            try:
                method.attach(call)
            except RpcError as error:
                call.finish(error)
            else:
                if call._peer_ended and call.on_end is not None:
                    call.on_end()
            return
        assert method.handler is not None
        task = self.scope.spawn(self._run(method.handler, call), call.path)
        self._tasks[call] = task
        call.on_done = lambda status: self.cancel_handler(call, status)

    def _run(self, handler: Handler, call: ServerCall) -> Co[None]:
        try:
            yield from handler(call)
            call.finish()
        except RpcError as error:
            call.finish(error)
        except Cancelled:
            call.finish(RpcError(Code.CANCELLED, "cancelled by the server"))
            raise
        except Exception as error:  # an error in a handler ends its call, not the server
            self.counters["handler"] += 1
            self._on_error(call.path, error)
            call.finish(RpcError(Code.UNKNOWN, f"{type(error).__name__}: {error}"))
        finally:
            self._tasks.pop(call, None)

    def cancel_handler(self, call: ServerCall, status: RpcError) -> None:
        """Cancel the handler of a call that ended with an error before it."""
        task = self._tasks.get(call)
        if task is not None and status.code is not Code.OK:
            task.cancel()

    def drain(self, grace_ms: float) -> Co[None]:
        """Accept no new connection or call, wait at most ``grace_ms`` for open calls to end, then close."""
        self.draining = True
        for acceptor in self._acceptors:
            acceptor.close()
        for connection in list(self.connections):
            connection.http2.goaway(last=2**31 - 1)
            connection.flush_soon()
        deadline = self.loop.now() + grace_ms
        while any(connection.calls for connection in self.connections) and self.loop.now() < deadline:
            yield from sleep(min(20.0, grace_ms))
        self.close()
        yield from sleep(0)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.draining = True
        for acceptor in self._acceptors:
            acceptor.close()
        for connection in list(self.connections):
            connection.close("shutting down")
