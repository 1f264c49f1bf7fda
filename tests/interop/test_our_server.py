"""grpcio's clients, blocking and aio, against this project's server: the published interoperability cases."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from typing import Any

import grpc
import pytest

from sprucepost.std import health_pb2, reflection_pb2
from tests.interop.pb import testing_pb2 as pb
from tests.interop.serving import our_server

SERVICE = "/grpc.testing.TestService"


@pytest.fixture(scope="module")
def address() -> Iterator[str]:
    with our_server() as address:
        yield address


@pytest.fixture
def channel(address: str) -> Iterator[Any]:
    with grpc.insecure_channel(address, [("grpc.max_receive_message_length", -1)]) as channel:
        yield channel


def unary(channel: Any, name: str = "UnaryCall", reply: Any = pb.SimpleResponse) -> Any:
    return channel.unary_unary(f"{SERVICE}/{name}", lambda m: m.SerializeToString(), reply.FromString)


def duplex(channel: Any) -> Any:
    return channel.stream_stream(
        f"{SERVICE}/FullDuplexCall", lambda m: m.SerializeToString(), pb.StreamingOutputCallResponse.FromString
    )


def output_request(*sizes: int, body: int = 0, interval_us: int = 0) -> pb.StreamingOutputCallRequest:
    return pb.StreamingOutputCallRequest(
        response_parameters=[pb.ResponseParameters(size=size, interval_us=interval_us) for size in sizes],
        payload=pb.Payload(body=bytes(body)),
    )


def test_empty_unary(channel: Any) -> None:
    assert unary(channel, "EmptyCall", pb.Empty)(pb.Empty(), timeout=10) == pb.Empty()


def test_large_unary(channel: Any) -> None:
    request = pb.SimpleRequest(response_size=314159, payload=pb.Payload(body=bytes(271828)))
    assert len(unary(channel)(request, timeout=10).payload.body) == 314159


def test_client_streaming(channel: Any) -> None:
    call = channel.stream_unary(
        f"{SERVICE}/StreamingInputCall", lambda m: m.SerializeToString(), pb.StreamingInputCallResponse.FromString
    )
    sizes = (27182, 8, 1828, 45904)
    requests = (pb.StreamingInputCallRequest(payload=pb.Payload(body=bytes(size))) for size in sizes)
    assert call(requests, timeout=10).aggregated_payload_size == 74922


def test_server_streaming(channel: Any) -> None:
    call = channel.unary_stream(
        f"{SERVICE}/StreamingOutputCall", lambda m: m.SerializeToString(), pb.StreamingOutputCallResponse.FromString
    )
    sizes = [31415, 9, 2653, 58979]
    assert [len(reply.payload.body) for reply in call(output_request(*sizes), timeout=10)] == sizes


def test_ping_pong(channel: Any) -> None:
    sizes = [(31415, 27182), (9, 8), (2653, 1828), (58979, 45904)]
    sent: list[pb.StreamingOutputCallRequest] = []
    waiting: list[pb.StreamingOutputCallRequest] = [output_request(sizes[0][0], body=sizes[0][1])]

    def requests() -> Iterator[pb.StreamingOutputCallRequest]:
        while len(sent) < len(sizes):
            while not waiting:
                time.sleep(0.001)
            sent.append(waiting.pop())
            yield sent[-1]

    got = []
    for reply in duplex(channel)(requests(), timeout=10):
        got.append(len(reply.payload.body))
        if len(got) < len(sizes):
            waiting.append(output_request(sizes[len(got)][0], body=sizes[len(got)][1]))
    assert got == [size for size, _ in sizes]


def test_empty_stream(channel: Any) -> None:
    assert list(duplex(channel)(iter(()), timeout=10)) == []


def test_cancel_after_begin(channel: Any) -> None:
    call = channel.stream_unary(
        f"{SERVICE}/StreamingInputCall", lambda m: m.SerializeToString(), pb.StreamingInputCallResponse.FromString
    )

    def never() -> Iterator[pb.StreamingInputCallRequest]:
        time.sleep(0.5)
        yield pb.StreamingInputCallRequest()

    future = call.future(never(), timeout=10)
    assert future.cancel()
    assert future.code() is grpc.StatusCode.CANCELLED


def test_cancel_after_first_response(channel: Any) -> None:
    stop: list[bool] = []

    def requests() -> Iterator[pb.StreamingOutputCallRequest]:
        yield output_request(31415, body=27182)
        while not stop:
            time.sleep(0.001)

    call = duplex(channel)(requests(), timeout=10)
    assert len(next(call).payload.body) == 31415
    call.cancel()
    stop.append(True)
    with pytest.raises(grpc.RpcError) as error:
        next(call)
    assert error.value.code() is grpc.StatusCode.CANCELLED


def test_timeout_on_sleeping_server(channel: Any) -> None:
    with pytest.raises(grpc.RpcError) as error:
        list(duplex(channel)(iter([output_request(1, body=27182, interval_us=1_000_000)]), timeout=0.05))
    assert error.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED


@pytest.mark.parametrize(
    "message", ["test status message", "\t\ntest with whitespace\r\nand Unicode BMP ☺ and non-BMP 😈\t\n"]
)
def test_status_code_and_message_and_special_status_message(channel: Any, message: str) -> None:
    status = pb.EchoStatus(code=2, message=message)
    with pytest.raises(grpc.RpcError) as error:
        unary(channel)(pb.SimpleRequest(response_status=status), timeout=10)
    assert (error.value.code(), error.value.details()) == (grpc.StatusCode.UNKNOWN, message)
    with pytest.raises(grpc.RpcError) as error:
        list(duplex(channel)(iter([pb.StreamingOutputCallRequest(response_status=status)]), timeout=10))
    assert (error.value.code(), error.value.details()) == (grpc.StatusCode.UNKNOWN, message)


def test_custom_metadata(channel: Any) -> None:
    metadata = (
        ("x-grpc-test-echo-initial", "test_initial_metadata_value"),
        ("x-grpc-test-echo-trailing-bin", b"\xab\xab\xab"),
    )
    _, call = unary(channel).with_call(pb.SimpleRequest(response_size=1), metadata=metadata, timeout=10)
    assert metadata[0] in [tuple(pair) for pair in call.initial_metadata()]
    assert metadata[1] in [tuple(pair) for pair in call.trailing_metadata()]
    stream = duplex(channel)(iter([output_request(1)]), metadata=metadata, timeout=10)
    assert len(list(stream)) == 1
    assert metadata[0] in [tuple(pair) for pair in stream.initial_metadata()]
    assert metadata[1] in [tuple(pair) for pair in stream.trailing_metadata()]


@pytest.mark.parametrize(
    "path", [f"{SERVICE}/UnimplementedCall", "/grpc.testing.UnimplementedService/UnimplementedCall"]
)
def test_unimplemented_method_and_service(channel: Any, path: str) -> None:
    with pytest.raises(grpc.RpcError) as error:
        channel.unary_unary(path)(b"", timeout=10)
    assert error.value.code() is grpc.StatusCode.UNIMPLEMENTED


def test_client_compressed_unary(channel: Any) -> None:
    request = pb.SimpleRequest(
        expect_compressed=pb.BoolValue(value=True), response_size=314159, payload=pb.Payload(body=bytes(271828))
    )
    with pytest.raises(grpc.RpcError) as error:  # the case's probe: announced as compressed but sent uncompressed
        unary(channel)(request, timeout=10)
    assert error.value.code() is grpc.StatusCode.INVALID_ARGUMENT
    assert len(unary(channel)(request, timeout=10, compression=grpc.Compression.Gzip).payload.body) == 314159


def test_server_compressed_unary(channel: Any) -> None:
    for compressed in (True, False):
        request = pb.SimpleRequest(response_compressed=pb.BoolValue(value=compressed), response_size=314159)
        assert len(unary(channel)(request, timeout=10).payload.body) == 314159


def test_client_compressed_streaming(channel: Any) -> None:
    call = channel.stream_unary(
        f"{SERVICE}/StreamingInputCall", lambda m: m.SerializeToString(), pb.StreamingInputCallResponse.FromString
    )
    requests = [
        pb.StreamingInputCallRequest(expect_compressed=pb.BoolValue(value=True), payload=pb.Payload(body=bytes(size)))
        for size in (27182, 45904)
    ]
    assert call(iter(requests), timeout=10, compression=grpc.Compression.Gzip).aggregated_payload_size == 73086


def test_server_compressed_streaming(channel: Any) -> None:
    call = channel.unary_stream(
        f"{SERVICE}/StreamingOutputCall", lambda m: m.SerializeToString(), pb.StreamingOutputCallResponse.FromString
    )
    request = pb.StreamingOutputCallRequest(
        response_parameters=[
            pb.ResponseParameters(size=31415, compressed=pb.BoolValue(value=True)),
            pb.ResponseParameters(size=92653, compressed=pb.BoolValue(value=False)),
        ]
    )
    assert [len(reply.payload.body) for reply in call(request, timeout=10)] == [31415, 92653]


def test_messages_much_larger_than_the_windows_in_both_directions(channel: Any) -> None:
    request = pb.SimpleRequest(response_size=7_000_000, payload=pb.Payload(body=bytes(7_000_000)))
    assert len(unary(channel)(request, timeout=30).payload.body) == 7_000_000


def test_a_message_over_the_limit_ends_only_its_call(channel: Any) -> None:
    with pytest.raises(grpc.RpcError) as error:
        unary(channel)(pb.SimpleRequest(payload=pb.Payload(body=bytes(9_000_000))), timeout=30)
    assert error.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
    assert unary(channel, "EmptyCall", pb.Empty)(pb.Empty(), timeout=10) == pb.Empty()


def test_a_connection_stays_open_while_idle_for_several_keepalive_intervals(channel: Any) -> None:
    call = unary(channel, "EmptyCall", pb.Empty)
    call(pb.Empty(), timeout=10)
    time.sleep(1.5)
    call(pb.Empty(), timeout=10)


def test_health_check_and_watch(channel: Any) -> None:
    path = "/grpc.health.v1.Health"
    reply = health_pb2.HealthCheckResponse
    check = channel.unary_unary(f"{path}/Check", lambda m: m.SerializeToString(), reply.FromString)
    assert check(health_pb2.HealthCheckRequest(), timeout=10).status == reply.SERVING
    with pytest.raises(grpc.RpcError) as error:
        check(health_pb2.HealthCheckRequest(service="none"), timeout=10)
    assert error.value.code() is grpc.StatusCode.NOT_FOUND
    watch = channel.unary_stream(f"{path}/Watch", lambda m: m.SerializeToString(), reply.FromString)
    stream = watch(health_pb2.HealthCheckRequest(service="none"), timeout=10)
    assert next(stream).status == reply.SERVICE_UNKNOWN
    stream.cancel()


@pytest.mark.parametrize("version", ["v1", "v1alpha"])
def test_reflection(channel: Any, version: str) -> None:
    reflection_pb = reflection_pb2
    call = channel.stream_stream(
        f"/grpc.reflection.{version}.ServerReflection/ServerReflectionInfo",
        lambda m: m.SerializeToString(),
        reflection_pb.ServerReflectionResponse.FromString,
    )
    ask = reflection_pb.ServerReflectionRequest
    requests = [
        ask(list_services="*"),
        ask(file_containing_symbol="grpc.testing.TestService"),
        ask(file_by_filename="none"),
    ]
    listed, file, none = list(call(iter(requests), timeout=10))
    assert "grpc.testing.TestService" in [entry.name for entry in listed.list_services_response.service]
    assert b"SimpleRequest" in file.file_descriptor_response.file_descriptor_proto[0]
    assert none.error_response.error_code == 5


def test_aio_runs_many_streams_at_once(address: str) -> None:
    async def one(channel: Any, number: int) -> int:
        call = channel.stream_stream(
            f"{SERVICE}/FullDuplexCall", lambda m: m.SerializeToString(), pb.StreamingOutputCallResponse.FromString
        )()
        total = 0
        for n in range(20):
            await call.write(output_request(100 + number + n))
            total += len((await call.read()).payload.body)
        await call.done_writing()
        assert await call.read() is grpc.aio.EOF
        return total

    async def many() -> list[int]:
        async with grpc.aio.insecure_channel(address) as channel:
            return await asyncio.gather(*(one(channel, n) for n in range(80)))

    assert asyncio.run(many()) == [sum(100 + number + n for n in range(20)) for number in range(80)]


def test_aio_empty_and_large_unary_status_and_cancel(address: str) -> None:
    async def main() -> None:
        async with grpc.aio.insecure_channel(address) as channel:
            assert await unary(channel, "EmptyCall", pb.Empty)(pb.Empty()) == pb.Empty()
            request = pb.SimpleRequest(response_size=314159, payload=pb.Payload(body=bytes(271828)))
            assert len((await unary(channel)(request)).payload.body) == 314159
            with pytest.raises(grpc.aio.AioRpcError) as error:
                await unary(channel)(pb.SimpleRequest(response_status=pb.EchoStatus(code=9, message="ö%")))
            assert (error.value.code(), error.value.details()) == (grpc.StatusCode.FAILED_PRECONDITION, "ö%")
            call = duplex(channel)()
            await call.write(output_request(10))
            await call.read()
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call.read()

    asyncio.run(main())
