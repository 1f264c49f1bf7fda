"""The client against the server, and the parts that need no socket."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucepost.loop import Address, Co, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.wire.client import open_client
from sprucepost.wire.connection import Options
from sprucepost.wire.frames import PREFACE
from sprucepost.wire.http2 import Http2Endpoint, Http2Error
from sprucepost.wire.message_framing import MessageDecoder, encode_message
from sprucepost.wire.metadata import Headers, decode_metadata, encode_metadata, format_timeout, parse_timeout
from sprucepost.wire.rate_limits import FrameBudget
from sprucepost.wire.server import Method, Server, ServerCall
from sprucepost.wire.status import Code, RpcError, percent_decode, percent_encode
from tests.wire.support import echo, serve, wait_for


def test_many_messages_both_ways_with_small_windows() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[int]:
        client = yield from open_client(loop, address, options=Options(stream_window=5000, connection_window=65_535))
        call = client.call("/t.T/Echo")
        sizes = [random.Random(n).randrange(0, 30_000) for n in range(100)]
        got = []
        for size in sizes:
            call.send(bytes(size))
        call.end()
        while (message := (yield from call.receive())) is not None:
            got.append(len(message))
        assert got == sizes
        return len(server.connections)

    assert serve(body, options=Options(stream_window=7000, connection_window=65_535)) == 1


def test_a_call_ends_when_its_connection_is_lost_and_handlers_are_cancelled() -> None:
    ended: list[str] = []

    def handler(call: ServerCall) -> Co[None]:
        try:
            yield from sleep(60_000)
        finally:
            ended.append("handler")

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Code]:
        client = yield from open_client(loop, address)
        call = client.call("/t.T/Slow")
        yield from wait_for(lambda: server._tasks)
        client.abort("test")
        yield from wait_for(lambda: ended)
        assert call.end_status is not None
        return call.end_status.code

    assert serve(body, {"/t.T/Slow": Method(handler)}) is Code.UNAVAILABLE


def test_a_second_end_or_a_send_after_the_end_does_not_break_the_connection() -> None:
    """When a machine rejects a placer's number, its streams are all ended: a second END_STREAM ended the process."""

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        client = yield from open_client(loop, address)
        call = client.call("/t.T/Hold")
        call.send(b"a")
        call.end()
        yield from sleep(30)
        call.end()
        call.send(b"b")
        yield from sleep(30)
        assert call.end_status is None and not client.closed
        return (yield from client.unary("/t.T/Echo", b"whole"))

    held: list[ServerCall] = []
    methods = {"/t.T/Hold": Method(attach=held.append), "/t.T/Echo": Method(attach=echo)}
    assert serve(body, methods) == b"whole"


def test_messages_that_wait_for_the_window_do_not_count_as_delay_of_a_later_ping() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        client = yield from open_client(loop, address, options=Options(max_send_delay_ms=100.0))
        call = client.call("/t.T/Hold")
        for _ in range(6):
            call.send(bytes(200_000))  # the server buffers some and returns no more window
        yield from sleep(50)
        assert call.send_blocked
        call.send(b"waits")  # none of it can be sent
        yield from sleep(250)
        client.http2.ping(b"12345678")
        client.flush_soon()
        yield from sleep(50)
        return client.closed, client.counters["stale"]

    held: list[ServerCall] = []
    assert serve(body, {"/t.T/Hold": Method(attach=held.append)}) == (False, 0)


def test_an_error_in_a_handler_ends_its_call_and_is_counted() -> None:
    def handler(call: ServerCall) -> Co[None]:
        raise KeyError("test")
        yield

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        client = yield from open_client(loop, address)
        try:
            yield from client.unary("/t.T/Bad", b"")
        except RpcError as error:
            return error.code, server.counters["handler"]

    assert serve(body, {"/t.T/Bad": Method(handler)}) == (Code.UNKNOWN, 1)


def test_draining_completes_open_calls_and_refuses_new_ones() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        client = yield from open_client(loop, address)
        call = client.call("/t.T/Echo")
        call.send(b"one")
        yield from call.receive()
        task = server.scope.spawn(server.drain(2000), "drain")
        yield from wait_for(lambda: client.draining)
        with pytest.raises(RpcError) as refused:
            client.call("/t.T/Echo")
        call.send(b"two")
        call.end()
        last = yield from call.receive()
        yield from call.result()
        yield from wait_for(lambda: task.done)
        return last, refused.value.code, refused.value.unprocessed

    assert serve(body) == (b"two", Code.UNAVAILABLE, True)


def test_keepalive_detects_a_peer_that_hangs() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[str]:
        client = yield from open_client(loop, address, options=Options(keepalive_ms=100, keepalive_timeout_ms=100))
        call = client.call("/t.T/Echo")
        for connection in server.connections:
            connection.transport.pause()  # the peer hangs: the socket stays open, nothing is answered
        try:
            yield from call.result()
        except RpcError as error:
            return error.message
        return ""

    assert serve(body) == "no answer to a keepalive ping"


def test_a_slow_receiver_on_one_stream_does_not_block_another() -> None:
    def lazy(call: ServerCall) -> Co[None]:
        yield from sleep(60_000)  # never receives a message

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        client = yield from open_client(loop, address)
        slow, fast = client.call("/t.T/Lazy"), client.call("/t.T/Echo")
        for _ in range(100):
            slow.send(bytes(100_000))
        fast.send(b"quick")
        message = yield from fast.receive()
        yield from sleep(50)
        return message, slow.unsent_bytes > 9_000_000

    assert serve(body, {"/t.T/Lazy": Method(lazy), "/t.T/Echo": Method(attach=_echo)}) == (b"quick", True)


def _echo(call: ServerCall) -> None:
    call.on_message, call.on_end = call.send, call.finish


def test_data_beyond_the_window_is_a_connection_error() -> None:
    server, client = (
        Http2Endpoint(ByteCounter(), client=False, now=0.0),
        Http2Endpoint(ByteCounter(), client=True, now=0.0),
    )
    stream = client.open_stream([(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/"), (b":authority", b"x")])
    server.receive(client.outgoing(), 0.0)
    frame = (16384).to_bytes(3, "big") + b"\0\0" + stream.to_bytes(4, "big") + bytes(16384)
    for _ in range(16):
        server.receive(frame, 0.0)
    with pytest.raises(Http2Error) as error:
        server.receive(frame, 0.0)
    assert error.value.name == "window" and error.value.code == 3


class ByteCounter:
    """Counts the received bytes and ignores other events."""

    def __init__(self) -> None:
        self.data = 0

    def on_headers(self, stream: int, headers: Headers, end: bool) -> None: ...
    def on_data(self, stream: int, data: bytes, end: bool) -> None:
        self.data += len(data)

    def on_reset(self, stream: int, code: int) -> None: ...
    def on_error(self, stream: int, name: str, code: int) -> None: ...
    def on_window(self) -> None: ...
    def on_goaway(self, code: int, last_stream: int, text: bytes) -> None: ...
    def on_ping_ack(self, payload: bytes) -> None: ...


@settings(max_examples=300, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 12), st.integers(0, 255), st.integers(0, 9), st.binary(max_size=60)), max_size=30)
)
def test_arbitrary_frames_raise_only_http2_errors(frames: list[tuple[int, int, int, bytes]]) -> None:
    endpoint = Http2Endpoint(ByteCounter(), client=False, now=0.0)
    try:
        endpoint.receive(PREFACE, 0.0)
        for kind, flags, stream, payload in frames:
            head = len(payload).to_bytes(3, "big") + bytes([kind, flags]) + stream.to_bytes(4, "big")
            endpoint.receive(head + payload, 0.0)
    except Http2Error as error:
        assert error.name
    assert len(endpoint.outgoing()) < 10_000


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=400), st.booleans())
def test_arbitrary_bytes_raise_only_http2_errors(data: bytes, client: bool) -> None:
    endpoint = Http2Endpoint(ByteCounter(), client=client, now=0.0)
    try:
        endpoint.receive(data, 0.0)
    except Http2Error as error:
        assert error.name


@given(st.lists(st.binary(max_size=300), max_size=8), st.booleans(), st.integers(1, 50))
def test_messages_are_decoded_from_chunks_of_any_size(messages: list[bytes], gzip: bool, cut: int) -> None:
    stream = b"".join(encode_message(message, gzip) for message in messages)
    decoder, got = MessageDecoder(1000, gzip), []
    for at in range(0, len(stream), cut):
        got += decoder.feed(stream[at : at + cut])
    assert got == messages and decoder.buffered_bytes == 0


@given(st.binary(max_size=200))
def test_the_decoder_raises_only_rpc_errors(data: bytes) -> None:
    decoder = MessageDecoder(100, True)
    try:
        for message in decoder.feed(data):
            assert len(message) <= 100
    except RpcError:
        pass


@given(st.text())
def test_status_messages_are_encoded_and_decoded(text: str) -> None:
    encoded = percent_encode(text)
    assert encoded.isascii() and encoded.isprintable()
    assert percent_decode(encoded) == text.encode("utf-8", "replace").decode()


@given(st.binary(), st.text("abc XYZ~!", min_size=1))
def test_metadata_is_encoded_and_decoded(raw: bytes, text: str) -> None:
    sent: list[tuple[str, str | bytes]] = [("key-bin", raw), ("key", text)]
    assert decode_metadata(encode_metadata(sent)) == (("key-bin", raw), ("key", text.strip(" ")))


@pytest.mark.parametrize(
    "key, value", [("grpc-x", "v"), ("Upper", "v"), ("a", "ö"), ("a", b"v"), ("a-bin", "v"), ("te", "v")]
)
def test_an_error_names_metadata_that_cannot_be_sent(key: str, value: str | bytes) -> None:
    with pytest.raises(ValueError, match=key):
        encode_metadata([(key, value)])


@given(st.floats(0, 1e12))
def test_an_encoded_timeout_is_never_longer_than_requested(timeout: float) -> None:
    text = format_timeout(timeout)
    assert len(text) <= 9 and parse_timeout(text) <= timeout + 1e-9


def test_a_budget_bounds_floods_but_not_well_behaved_peers() -> None:
    budget = FrameBudget(0.0)
    assert sum(budget.spend(0.0) for _ in range(5000)) == 1000
    budget = FrameBudget(0.0)
    for _ in range(100_000):
        budget.earn()
        assert budget.spend(0.0)
