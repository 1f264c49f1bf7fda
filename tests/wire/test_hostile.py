"""Hostile and faulty peers: each is stopped at a bounded cost with a named error and a counter; others are served."""

from __future__ import annotations

import contextlib
import resource
import struct
import zlib
from typing import Any

import h2.config
import h2.connection
import pytest
from h2.events import ResponseReceived

from sprucepost.loop import Address, Co
from sprucepost.loop.epoll import EpollLoop
from sprucepost.wire.client import open_client
from sprucepost.wire.connection import Options
from sprucepost.wire.frames import (
    CONTINUATION,
    DATA,
    GOAWAY,
    HEADERS,
    PING,
    PREFACE,
    PRIORITY,
    RST_STREAM,
    SETTINGS,
    WINDOW_UPDATE,
)
from sprucepost.wire.message_framing import encode_message
from sprucepost.wire.server import Method, Server, ServerCall
from sprucepost.wire.status import Code, RpcError
from tests.wire.support import peer, serve, wait_for


def frame(kind: int, flags: int = 0, stream: int = 0, payload: bytes = b"") -> bytes:
    return struct.pack(">IBI", len(payload) << 8 | kind, flags, stream) + payload


REQUEST = [
    (":method", "POST"), (":scheme", "http"), (":path", "/t.T/Echo"), (":authority", "x"), ("te", "trailers"),
    ("content-type", "application/grpc"),
]  # fmt: skip
CONNECTION_START = PREFACE + frame(SETTINGS)


def open_call(*more: tuple[str, str]) -> bytes:
    """Return the preface and one open call on stream 1."""
    client_connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    client_connection.initiate_connection()
    client_connection.send_headers(1, [*REQUEST, *more])
    return bytes(client_connection.data_to_send())


def goaway(data: bytes) -> tuple[int, bytes]:
    """Return code and text of the GOAWAY among the received bytes."""
    at = 0
    while at + 9 <= len(data):
        size = int.from_bytes(data[at : at + 3], "big")
        if data[at + 3] == GOAWAY:
            return int.from_bytes(data[at + 13 : at + 17], "big"), data[at + 17 : at + 9 + size]
        at += 9 + size
    raise AssertionError("no GOAWAY")


def answered(data: bytes) -> bool:
    """Whether a complete HEADERS frame was received."""
    at = 0
    while at + 9 <= len(data):
        end = at + 9 + int.from_bytes(data[at : at + 3], "big")
        if data[at + 3] == HEADERS and end <= len(data):
            return True
        at = end
    return False


FLOODS = {
    "random": (b"\x00\xff\x13garbage" * 50, "preface"),
    "tls": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(100), "preface"),
    "frame_size": (CONNECTION_START + frame(DATA, 0, 1, b"")[:0] + b"\xff\xff\xff\0\0\0\0\0\1", "frame_size"),
    "ping": (CONNECTION_START + frame(PING, 0, 0, b"12345678") * 5000, "too_many_pings"),
    "ping_ack": (CONNECTION_START + frame(PING, 1, 0, b"12345678") * 5000, "flood_ping"),
    "settings": (CONNECTION_START + frame(SETTINGS) * 5000, "flood_settings"),
    "priority": (CONNECTION_START + frame(PRIORITY, 0, 3, b"\0\0\0\0\1") * 5000, "flood_priority"),
    "window": (CONNECTION_START + frame(WINDOW_UPDATE, 0, 0, b"\0\0\0\1") * 5000, "flood_window_update"),
    "window_overflow": (CONNECTION_START + frame(WINDOW_UPDATE, 0, 0, b"\x7f\xff\xff\xff") * 2, "window"),
    "empty_data": (open_call() + frame(DATA, 0, 1) * 5000, "flood_data"),
    "continuation": (
        CONNECTION_START + frame(HEADERS, 0, 1, b"\0") + frame(CONTINUATION, 0, 1, b"\0\1a\1b") * 50_000,
        "protocol",
    ),
    "empty_continuation": (CONNECTION_START + frame(HEADERS, 0, 1, b"\x82") + frame(CONTINUATION, 0, 1) * 50_000, None),
    "headers_too_large": (open_call(*[(f"x-{n}", "v" * 500) for n in range(60)]), "headers"),
    "data_on_idle": (CONNECTION_START + frame(DATA, 0, 7, b"x"), "protocol"),
    "padding": (open_call() + frame(DATA, 8, 1, b"\xff12"), "padding"),
    "unknown_kinds": (CONNECTION_START + frame(77, 0, 0, b"x") * 5000, "flood_unknown"),
    "push": (CONNECTION_START + frame(5, 4, 1, b"\0\0\0\2"), "protocol"),
    "data_in_headers": (CONNECTION_START + frame(HEADERS, 0, 1, b"\x82") + frame(DATA, 0, 1, b"x"), "protocol"),
}


@pytest.mark.parametrize("name", FLOODS)
def test_a_flood_ends_only_its_own_connection(name: str) -> None:
    data, counter = FLOODS[name]

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        client = yield from open_client(loop, address)
        call = client.call("/t.T/Echo")
        raw = yield from peer(loop, address)
        raw.send(data)
        yield from raw.until_closed()
        call.send(b"still here")
        message = yield from call.receive()
        client.close()
        return message, dict(server.counters), len(server.connections)

    message, counters, _ = serve(body)
    assert message == b"still here"
    if counter is not None:
        assert counters.get(counter) == 1, counters
    assert sum(count for key, count in counters.items() if key != "calls") >= 1


def test_a_rapid_reset_flood_is_bounded() -> None:
    client_connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    client_connection.initiate_connection()
    for n in range(5000):
        client_connection.send_headers(1 + 2 * n, REQUEST)
        client_connection.reset_stream(1 + 2 * n)
    data = client_connection.data_to_send()

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        raw = yield from peer(loop, address)
        raw.send(data)
        got = yield from raw.until_closed()
        return goaway(got), dict(server.counters)

    (code, _), counters = serve(body)
    assert code == 11 and counters["flood_rst_stream"] == 1 and counters["calls"] < 3000
    assert RST_STREAM == 3


def test_http1_on_the_grpc_port_gets_an_http1_response() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        raw = yield from peer(loop, address)
        raw.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        return (yield from raw.until_closed()), dict(server.counters)

    got, counters = serve(body)
    assert got.startswith(b"HTTP/1.1 400") and counters == {"http1": 1}


def test_too_many_pings_is_reported_by_its_grpc_name() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        raw = yield from peer(loop, address)
        raw.send(CONNECTION_START + frame(PING, 0, 0, b"12345678") * 10)
        return goaway((yield from raw.until_closed()))

    assert serve(body) == (11, b"too_many_pings")


def test_a_decompression_bomb_is_not_unpacked() -> None:
    compressor = zlib.compressobj(wbits=31)
    packed = compressor.compress(bytes(100_000_000)) + compressor.flush()

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        client = yield from open_client(loop, address)
        call = client.call("/t.T/Echo", gzip=True)
        call.send(b"first")
        first = yield from call.receive()
        call.start_sending()
        call._unsent.append(b"\x01" + len(packed).to_bytes(4, "big") + packed)
        client.schedule_send(call)
        other = client.call("/t.T/Echo")
        try:
            yield from call.result()
        except RpcError as error:
            other.send(b"on")
            return first, error.code, (yield from other.receive()), server.counters["message"]

    assert serve(body) == (b"first", Code.RESOURCE_EXHAUSTED, b"on", 1)


def test_a_malformed_message_ends_only_its_call() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        client = yield from open_client(loop, address)
        results = []
        for data in (b"\x07\0\0\0\1x", b"\x01\0\0\0\1x", b"\0\xff\xff\xff\xff"):
            call = client.call("/t.T/Echo")
            call._unsent.append(data)
            client.schedule_send(call)
            try:
                yield from call.result()
            except RpcError as error:
                results.append(error.code)
        call = client.call("/t.T/Echo")
        call.send(b"on")
        return results, (yield from call.receive())

    assert serve(body) == ([Code.INTERNAL, Code.INTERNAL, Code.RESOURCE_EXHAUSTED], b"on")


def test_a_peer_that_does_not_read_uses_a_bounded_buffer_and_loses_its_call() -> None:
    def source(call: ServerCall) -> Co[None]:
        while True:
            yield from call.send_wait(bytes(10_000))
            max_unsent[0] = max(max_unsent[0], call.unsent_bytes)

    max_unsent = [0]

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        raw = yield from peer(loop, address)
        raw.transport.pause()
        raw.send(open_call())
        yield from wait_for(lambda: server.counters["stalled"])
        return max_unsent[0], server.counters["stalled"]

    max_bytes, stalled = serve(body, {"/t.T/Echo": Method(source)}, Options(stall_timeout_ms=200.0))
    assert stalled == 1 and max_bytes < 300_000


def test_a_peer_with_a_zero_window_loses_only_its_call() -> None:
    zero = open_call() + frame(SETTINGS, 0, 0, struct.pack(">HI", 4, 0))

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        raw = yield from peer(loop, address)
        raw.send(zero + frame(DATA, 0, 1, encode_message(b"hello")))
        yield from wait_for(lambda: server.counters["stalled"])
        client = yield from open_client(loop, address)
        call = client.call("/t.T/Echo")
        call.send(b"on")
        return (yield from call.receive())

    assert serve(body, options=Options(stall_timeout_ms=200.0)) == b"on"


def test_silent_connections_are_closed_and_their_number_is_bounded() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        peers = []
        for _ in range(60):
            with contextlib.suppress(ConnectionResetError):  # over the limit of 40
                peers.append((yield from peer(loop, address)))
        yield from wait_for(lambda: all(p.ended for p in peers))
        assert not server.connections
        client = yield from open_client(loop, address)
        call = client.call("/t.T/Echo")
        call.send(b"on")
        return (yield from call.receive()), server.counters["connections"], server.counters["mute"]

    message, refused, silent = serve(body, options=Options(max_connections=40, handshake_timeout_ms=300.0))
    assert (message, refused, silent) == (b"on", 20, 40)


def test_thousands_of_idle_connections_hardly_slow_the_others() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    count = min(2000, (hard - 200) // 2)

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        peers = []
        for _ in range(count):
            idle = yield from peer(loop, address)
            idle.send(CONNECTION_START)
            peers.append(idle)
        yield from wait_for(lambda: sum(c.received_valid for c in server.connections) == count)
        client = yield from open_client(loop, address)
        call = client.call("/t.T/Echo")
        began, turns = loop.now(), loop.turns
        for n in range(100):
            call.send(b"%d" % n)
            assert (yield from call.receive()) == b"%d" % n
        took, turns = loop.now() - began, loop.turns - turns
        for idle in peers:
            idle.transport.abort()
        return len(server.connections) > count, turns < 2000, took < 5000

    try:
        assert serve(body) == (True, True, True)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_each_kind_of_invalid_request_gets_its_own_status() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        codes = []
        for change in ({":method": "GET"}, {"content-type": "text/html"}, {"grpc-encoding": "snappy"},
                       {"grpc-timeout": "x"}, {":path": "/t.T/None"}):  # fmt: skip
            client_connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
            client_connection.initiate_connection()
            client_connection.send_headers(1, [*{**dict(REQUEST), **change}.items()], end_stream=True)
            raw = yield from peer(loop, address)
            raw.send(client_connection.data_to_send())
            yield from wait_for(lambda raw=raw: answered(bytes(raw.got)))  # type: ignore[misc]
            events = client_connection.receive_data(bytes(raw.got))
            found = [
                {bytes(k): bytes(v) for k, v in event.headers or ()}
                for event in events
                if isinstance(event, ResponseReceived)
            ]
            codes.append((found[0].get(b"grpc-status") or found[0][b":status"]).decode())
            raw.transport.close()
        return codes

    assert serve(body) == ["405", "415", "12", "13", "12"]
