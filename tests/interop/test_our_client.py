"""This project's client against grpcio's server: the published interoperability cases."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from concurrent import futures
from typing import Any

import grpc
import pytest

from sprucepost.loop import Co, current, within
from sprucepost.loop.epoll import EpollLoop
from sprucepost.wire.client import ClientConnection, open_client
from sprucepost.wire.connection import Options
from sprucepost.wire.status import Code, RpcError
from tests.interop.pb import testing_pb2 as pb
from tests.interop.service import ECHO_INITIAL, ECHO_TRAILING, SERVICE


class GrpcioService:
    """The test service on grpcio's server."""

    def empty(self, request: pb.Empty, context: Any) -> pb.Empty:
        return pb.Empty()

    def unary(self, request: pb.SimpleRequest, context: Any) -> pb.SimpleResponse:
        self._metadata(context)
        if request.response_status.code:
            context.abort({2: grpc.StatusCode.UNKNOWN}[request.response_status.code], request.response_status.message)
        if request.response_compressed.value:
            context.set_compression(grpc.Compression.Gzip)
        return pb.SimpleResponse(payload=pb.Payload(body=bytes(request.response_size)))

    def output(self, request: pb.StreamingOutputCallRequest, context: Any) -> Iterator[Any]:
        if request.response_status.code:
            context.abort(grpc.StatusCode.UNKNOWN, request.response_status.message)
        for wanted in request.response_parameters:
            time.sleep(wanted.interval_us / 1e6)
            yield pb.StreamingOutputCallResponse(payload=pb.Payload(body=bytes(wanted.size)))

    def input(self, requests: Iterator[Any], context: Any) -> pb.StreamingInputCallResponse:
        return pb.StreamingInputCallResponse(aggregated_payload_size=sum(len(r.payload.body) for r in requests))

    def duplex(self, requests: Iterator[Any], context: Any) -> Iterator[Any]:
        self._metadata(context)
        for request in requests:
            yield from self.output(request, context)

    def _metadata(self, context: Any) -> None:
        found = dict(context.invocation_metadata())
        if ECHO_INITIAL in found:
            context.send_initial_metadata([(ECHO_INITIAL, found[ECHO_INITIAL])])
        if ECHO_TRAILING in found:
            context.set_trailing_metadata([(ECHO_TRAILING, found[ECHO_TRAILING])])

    def handler(self) -> Any:
        def serialize(m: Any) -> bytes:
            return bytes(m.SerializeToString())

        return grpc.method_handlers_generic_handler(
            SERVICE[1:],
            {
                "EmptyCall": grpc.unary_unary_rpc_method_handler(self.empty, pb.Empty.FromString, serialize),
                "UnaryCall": grpc.unary_unary_rpc_method_handler(self.unary, pb.SimpleRequest.FromString, serialize),
                "StreamingOutputCall": grpc.unary_stream_rpc_method_handler(
                    self.output, pb.StreamingOutputCallRequest.FromString, serialize
                ),
                "StreamingInputCall": grpc.stream_unary_rpc_method_handler(
                    self.input, pb.StreamingInputCallRequest.FromString, serialize
                ),
                "FullDuplexCall": grpc.stream_stream_rpc_method_handler(
                    self.duplex, pb.StreamingOutputCallRequest.FromString, serialize
                ),
            },
        )


@pytest.fixture(scope="module")
def port() -> Iterator[int]:
    server = grpc.server(futures.ThreadPoolExecutor(8), options=[("grpc.max_receive_message_length", -1)])
    server.add_generic_rpc_handlers((GrpcioService().handler(),))
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    yield port
    server.stop(0)


Run = Callable[[Callable[[ClientConnection], Co[Any]]], Any]


@pytest.fixture
def run(port: int) -> Run:
    def run(body: Callable[[ClientConnection], Co[Any]]) -> Any:
        loop = EpollLoop(1)

        def main() -> Co[Any]:
            options = Options(max_message_bytes=16_000_000)
            connection = yield from open_client(loop, ("127.0.0.1", port), options=options)
            try:
                return (yield from within((yield from current()), 20_000, body(connection)))
            finally:
                connection.close()

        try:
            return loop.run(main)
        finally:
            loop.close()

    return run


def output_request(*sizes: int, body: int = 0, interval_us: int = 0) -> bytes:
    return pb.StreamingOutputCallRequest(
        response_parameters=[pb.ResponseParameters(size=size, interval_us=interval_us) for size in sizes],
        payload=pb.Payload(body=bytes(body)),
    ).SerializeToString()


def size_of(message: bytes | None) -> int:
    assert message is not None
    return len(pb.StreamingOutputCallResponse.FromString(message).payload.body)


def call_error(run: Run, body: Callable[[ClientConnection], Co[Any]]) -> RpcError:
    with pytest.raises(RpcError) as error:
        run(body)
    return error.value


def test_empty_unary(run: Run) -> None:
    assert run(lambda connection: connection.unary(f"{SERVICE}/EmptyCall", b"")) == b""


@pytest.mark.parametrize("request_size, response_size", [(271828, 314159), (9_000_000, 9_000_000)])
def test_large_unary(run: Run, request_size: int, response_size: int) -> None:
    request = pb.SimpleRequest(response_size=response_size, payload=pb.Payload(body=bytes(request_size)))
    reply = run(lambda connection: connection.unary(f"{SERVICE}/UnaryCall", request.SerializeToString()))
    assert len(pb.SimpleResponse.FromString(reply).payload.body) == response_size


def test_client_streaming(run: Run) -> None:
    def body(connection: ClientConnection) -> Co[int]:
        call = connection.call(f"{SERVICE}/StreamingInputCall")
        for size in (27182, 8, 1828, 45904):
            message = pb.StreamingInputCallRequest(payload=pb.Payload(body=bytes(size)))
            yield from call.send_wait(message.SerializeToString())
        call.end()
        reply = yield from call.receive()
        yield from call.result()
        assert reply is not None
        return pb.StreamingInputCallResponse.FromString(reply).aggregated_payload_size

    assert run(body) == 74922


def test_server_streaming(run: Run) -> None:
    def body(connection: ClientConnection) -> Co[list[int]]:
        call = connection.call(f"{SERVICE}/StreamingOutputCall")
        call.send(output_request(31415, 9, 2653, 58979))
        call.end()
        sizes = []
        while (message := (yield from call.receive())) is not None:
            sizes.append(size_of(message))
        assert call.end_status is not None and call.end_status.code is Code.OK
        return sizes

    assert run(body) == [31415, 9, 2653, 58979]


def test_ping_pong(run: Run) -> None:
    def body(connection: ClientConnection) -> Co[list[int]]:
        call = connection.call(f"{SERVICE}/FullDuplexCall")
        sizes = []
        for response, request in ((31415, 27182), (9, 8), (2653, 1828), (58979, 45904)):
            call.send(output_request(response, body=request))
            sizes.append(size_of((yield from call.receive())))
        call.end()
        yield from call.result()
        return sizes

    assert run(body) == [31415, 9, 2653, 58979]


def test_empty_stream(run: Run) -> None:
    def body(connection: ClientConnection) -> Co[Any]:
        call = connection.call(f"{SERVICE}/FullDuplexCall")
        call.end()
        message = yield from call.receive()
        yield from call.result()
        return message

    assert run(body) is None


def test_cancel_after_begin(run: Run) -> None:
    def body(connection: ClientConnection) -> Co[None]:
        call = connection.call(f"{SERVICE}/StreamingInputCall")
        call.cancel()
        yield from call.result()

    assert call_error(run, body).code is Code.CANCELLED


def test_cancel_after_first_response(run: Run) -> None:
    def body(connection: ClientConnection) -> Co[None]:
        call = connection.call(f"{SERVICE}/FullDuplexCall")
        call.send(output_request(31415, body=27182))
        assert size_of((yield from call.receive())) == 31415
        call.cancel()
        yield from call.result()

    assert call_error(run, body).code is Code.CANCELLED


def test_timeout_on_sleeping_server(run: Run) -> None:
    def body(connection: ClientConnection) -> Co[None]:
        call = connection.call(f"{SERVICE}/FullDuplexCall", timeout_ms=30)
        call.send(output_request(1, body=27182, interval_us=500_000))
        yield from call.result()

    assert call_error(run, body).code is Code.DEADLINE_EXCEEDED


@pytest.mark.parametrize("message", ["test status message", "\t\ntest ☺ and 😈 100%\r\n"])
def test_status_code_and_message_and_special_status_message(run: Run, message: str) -> None:
    request = pb.SimpleRequest(response_status=pb.EchoStatus(code=2, message=message)).SerializeToString()
    error = call_error(run, lambda connection: connection.unary(f"{SERVICE}/UnaryCall", request))
    assert (error.code, error.message) == (Code.UNKNOWN, message)


def test_custom_metadata(run: Run) -> None:
    sent: list[tuple[str, str | bytes]] = [(ECHO_INITIAL, "test_initial"), (ECHO_TRAILING, b"\xab\xab\xab")]

    def body(connection: ClientConnection) -> Co[Any]:
        call = connection.call(f"{SERVICE}/UnaryCall", sent)
        call.send(pb.SimpleRequest(response_size=1).SerializeToString())
        call.end()
        initial = yield from call.wait_initial_metadata()
        yield from call.result()
        return initial, call.trailing_metadata

    initial, trailing = run(body)
    assert sent[0] in initial and sent[1] in trailing


@pytest.mark.parametrize(
    "path", [f"{SERVICE}/UnimplementedCall", "/grpc.testing.UnimplementedService/UnimplementedCall"]
)
def test_unimplemented_method_and_service(run: Run, path: str) -> None:
    assert call_error(run, lambda connection: connection.unary(path, b"")).code is Code.UNIMPLEMENTED


def test_compressed_unary_both_ways(run: Run) -> None:
    request = pb.SimpleRequest(
        response_compressed=pb.BoolValue(value=True), response_size=314159, payload=pb.Payload(body=bytes(271828))
    ).SerializeToString()

    def body(connection: ClientConnection) -> Co[tuple[bool, int]]:
        call = connection.call(f"{SERVICE}/UnaryCall", gzip=True)
        call.send(request)
        call.end()
        reply = yield from call.receive()
        compressed = call.last_compressed
        yield from call.result()
        assert reply is not None
        return compressed, len(pb.SimpleResponse.FromString(reply).payload.body)

    assert run(body) == (True, 314159)


def test_new_calls_after_goaway_fail_as_unprocessed(port: int) -> None:
    loop = EpollLoop(1)

    def main() -> Co[RpcError]:
        connection = yield from open_client(loop, ("127.0.0.1", port))
        connection.on_goaway(0, 0, b"")
        try:
            connection.call("/any")
        except RpcError as error:
            return error
        raise AssertionError("the call was accepted")

    error = loop.run(main)
    loop.close()
    assert error.code is Code.UNAVAILABLE and error.unprocessed
