"""The gRPC interoperability test service on this project's server."""

from __future__ import annotations

from sprucepost.loop import Co, sleep
from sprucepost.wire.server import Method, ServerCall, unary
from sprucepost.wire.status import Code, RpcError
from tests.interop.pb import testing_pb2 as pb

SERVICE = "/grpc.testing.TestService"
ECHO_INITIAL, ECHO_TRAILING = "x-grpc-test-echo-initial", "x-grpc-test-echo-trailing-bin"


def _echo_metadata(call: ServerCall, compress: bool = False) -> None:
    found = dict(call.metadata)
    initial = [(ECHO_INITIAL, found[ECHO_INITIAL])] if ECHO_INITIAL in found else []
    if ECHO_TRAILING in found:
        call.trailing_metadata.append((ECHO_TRAILING, found[ECHO_TRAILING]))
    call.send_initial_metadata(initial, compress)


def _check(expected: pb.BoolValue | None, call: ServerCall) -> None:
    if expected is not None and expected.value != call.last_compressed:
        raise RpcError(Code.INVALID_ARGUMENT, "the request's compression is not as expected")


def _empty(request: pb.Empty, call: ServerCall) -> Co[pb.Empty]:
    return pb.Empty()
    yield


def _unary(request: pb.SimpleRequest, call: ServerCall) -> Co[pb.SimpleResponse]:
    _check(request.expect_compressed if request.HasField("expect_compressed") else None, call)
    if request.response_status.code:
        raise RpcError(Code(request.response_status.code), request.response_status.message)
    _echo_metadata(call, request.response_compressed.value)
    return pb.SimpleResponse(payload=pb.Payload(body=bytes(request.response_size)))
    yield


def _output(call: ServerCall, request: pb.StreamingOutputCallRequest) -> Co[None]:
    if request.response_status.code:
        raise RpcError(Code(request.response_status.code), request.response_status.message)
    for wanted in request.response_parameters:
        if wanted.interval_us:
            yield from sleep(wanted.interval_us / 1000)
        reply = pb.StreamingOutputCallResponse(payload=pb.Payload(body=bytes(wanted.size)))
        yield from call.send_wait(reply.SerializeToString(), compress=wanted.compressed.value)


def _streaming_output(call: ServerCall) -> Co[None]:
    message = yield from call.receive()
    assert message is not None
    request = pb.StreamingOutputCallRequest.FromString(message)
    call.send_initial_metadata(compress=any(wanted.compressed.value for wanted in request.response_parameters))
    yield from _output(call, request)


def _streaming_input(call: ServerCall) -> Co[None]:
    total = 0
    while (message := (yield from call.receive())) is not None:
        request = pb.StreamingInputCallRequest.FromString(message)
        _check(request.expect_compressed if request.HasField("expect_compressed") else None, call)
        total += len(request.payload.body)
    call.send(pb.StreamingInputCallResponse(aggregated_payload_size=total).SerializeToString())


def _full_duplex(call: ServerCall) -> Co[None]:
    _echo_metadata(call)
    while (message := (yield from call.receive())) is not None:
        yield from _output(call, pb.StreamingOutputCallRequest.FromString(message))


METHODS = {
    f"{SERVICE}/EmptyCall": unary(pb.Empty.FromString, _empty),
    f"{SERVICE}/UnaryCall": unary(pb.SimpleRequest.FromString, _unary),
    f"{SERVICE}/StreamingOutputCall": Method(_streaming_output),
    f"{SERVICE}/StreamingInputCall": Method(_streaming_input),
    f"{SERVICE}/FullDuplexCall": Method(_full_duplex),
}
