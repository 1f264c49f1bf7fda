"""Hostile and broken peers: each ends with a bounded cost, a named error and a counter, and other streams go on."""

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
OPEN = PREFACE + frame(SETTINGS)


def head(*more: tuple[str, str]) -> bytes:
    """The preface and one open call on stream 1."""
    machine = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    machine.initiate_connection()
    machine.send_headers(1, [*REQUEST, *more])
    return bytes(machine.data_to_send())


def goaway(data: bytes) -> tuple[int, bytes]:
    """Code and text of the GOAWAY in what a peer received."""
    at = 0
    while at + 9 <= len(data):
        size = int.from_bytes(data[at : at + 3], "big")
        if data[at + 3] == GOAWAY:
            return int.from_bytes(data[at + 13 : at + 17], "big"), data[at + 17 : at + 9 + size]
        at += 9 + size
    raise AssertionError("no GOAWAY")


def answered(data: bytes) -> bool:
    """Whether a HEADERS frame has come."""
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
    "frame_size": (OPEN + frame(DATA, 0, 1, b"")[:0] + b"\xff\xff\xff\0\0\0\0\0\1", "frame_size"),
    "ping": (OPEN + frame(PING, 0, 0, b"12345678") * 5000, "too_many_pings"),
    "ping_ack": (OPEN + frame(PING, 1, 0, b"12345678") * 5000, "flood_ping"),
    "settings": (OPEN + frame(SETTINGS) * 5000, "flood_settings"),
    "priority": (OPEN + frame(PRIORITY, 0, 3, b"\0\0\0\0\1") * 5000, "flood_priority"),
    "window": (OPEN + frame(WINDOW_UPDATE, 0, 0, b"\0\0\0\1") * 5000, "flood_window_update"),
    "window_overflow": (OPEN + frame(WINDOW_UPDATE, 0, 0, b"\x7f\xff\xff\xff") * 2, "window"),
    "empty_data": (head() + frame(DATA, 0, 1) * 5000, "flood_data"),
    "continuation": (OPEN + frame(HEADERS, 0, 1, b"\0") + frame(CONTINUATION, 0, 1, b"\0\1a\1b") * 50_000, "protocol"),
    "empty_continuation": (OPEN + frame(HEADERS, 0, 1, b"\x82") + frame(CONTINUATION, 0, 1) * 50_000, None),
    "headers_too_large": (head(*[(f"x-{n}", "v" * 500) for n in range(60)]), "headers"),
    "data_on_idle": (OPEN + frame(DATA, 0, 7, b"x"), "protocol"),
    "padding": (head() + frame(DATA, 8, 1, b"\xff12"), "padding"),
    "unknown_kinds": (OPEN + frame(77, 0, 0, b"x") * 5000, "flood_unknown"),
    "push": (OPEN + frame(5, 4, 1, b"\0\0\0\2"), "protocol"),
    "data_in_headers": (OPEN + frame(HEADERS, 0, 1, b"\x82") + frame(DATA, 0, 1, b"x"), "protocol"),
}


@pytest.mark.parametrize("name", FLOODS)
def test_a_flood_ends_its_connection_and_no_other(name: str) -> None:
    data, counter = FLOODS[name]

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        good = yield from open_client(loop, address)
        call = good.call("/t.T/Echo")
        bad = yield from peer(loop, address)
        bad.send(data)
        yield from bad.until_closed()
        call.send(b"still here")
        message = yield from call.receive()
        good.close()
        return message, dict(server.counters), len(server.connections)

    message, counters, _ = serve(body)
    assert message == b"still here"
    if counter is not None:
        assert counters.get(counter) == 1, counters
    assert sum(count for key, count in counters.items() if key != "calls") >= 1


def test_a_rapid_reset_flood_is_bounded() -> None:
    machine = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    machine.initiate_connection()
    for n in range(5000):
        machine.send_headers(1 + 2 * n, REQUEST)
        machine.reset_stream(1 + 2 * n)
    data = machine.data_to_send()

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        bad = yield from peer(loop, address)
        bad.send(data)
        got = yield from bad.until_closed()
        return goaway(got), dict(server.counters)

    (code, _), counters = serve(body)
    assert code == 11 and counters["flood_rst_stream"] == 1 and counters["calls"] < 3000
    assert RST_STREAM == 3


def test_http1_on_the_grpc_port_gets_an_answer_it_can_read() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        bad = yield from peer(loop, address)
        bad.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        return (yield from bad.until_closed()), dict(server.counters)

    got, counters = serve(body)
    assert got.startswith(b"HTTP/1.1 400") and counters == {"http1": 1}


def test_too_many_pings_is_told_by_its_usual_name() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        bad = yield from peer(loop, address)
        bad.send(OPEN + frame(PING, 0, 0, b"12345678") * 10)
        return goaway((yield from bad.until_closed()))

    assert serve(body) == (11, b"too_many_pings")


def test_a_compressed_bomb_is_not_unpacked() -> None:
    bomb = zlib.compressobj(wbits=31)
    packed = bomb.compress(bytes(100_000_000)) + bomb.flush()

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


def test_a_broken_message_ends_its_call_alone() -> None:
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


def test_a_slow_reader_costs_a_bounded_buffer_and_then_its_call() -> None:
    def source(call: ServerCall) -> Co[None]:
        while True:
            yield from call.send_wait(bytes(10_000))
            most[0] = max(most[0], call.unsent_bytes)

    most = [0]

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        bad = yield from peer(loop, address)
        bad.transport.pause()
        bad.send(head())
        yield from wait_for(lambda: server.counters["stalled"])
        return most[0], server.counters["stalled"]

    held, stalled = serve(body, {"/t.T/Echo": Method(source)}, Options(stall_timeout_ms=200.0))
    assert stalled == 1 and held < 300_000


def test_a_zero_window_peer_costs_its_call_only() -> None:
    zero = head() + frame(SETTINGS, 0, 0, struct.pack(">HI", 4, 0))

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        bad = yield from peer(loop, address)
        bad.send(zero + frame(DATA, 0, 1, encode_message(b"hello")))
        yield from wait_for(lambda: server.counters["stalled"])
        good = yield from open_client(loop, address)
        call = good.call("/t.T/Echo")
        call.send(b"on")
        return (yield from call.receive())

    assert serve(body, options=Options(stall_timeout_ms=200.0)) == b"on"


def test_mute_connections_are_closed_and_their_number_is_bounded() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        peers = []
        for _ in range(60):
            with contextlib.suppress(ConnectionResetError):  # over the limit
                peers.append((yield from peer(loop, address)))
        yield from wait_for(lambda: all(p.ended for p in peers))
        assert not server.connections
        good = yield from open_client(loop, address)
        call = good.call("/t.T/Echo")
        call.send(b"on")
        return (yield from call.receive()), server.counters["connections"], server.counters["mute"]

    message, refused, mute = serve(body, options=Options(max_connections=40, handshake_timeout_ms=300.0))
    assert (message, refused, mute) == (b"on", 20, 40)


def test_thousands_of_idle_connections_cost_the_others_little() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    count = min(2000, (hard - 200) // 2)

    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        peers = []
        for _ in range(count):
            idle = yield from peer(loop, address)
            idle.send(OPEN)
            peers.append(idle)
        yield from wait_for(lambda: sum(c.received_valid for c in server.connections) == count)
        good = yield from open_client(loop, address)
        call = good.call("/t.T/Echo")
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


def test_wrong_requests_get_an_answer_of_their_own() -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[Any]:
        codes = []
        for change in ({":method": "GET"}, {"content-type": "text/html"}, {"grpc-encoding": "snappy"},
                       {"grpc-timeout": "x"}, {":path": "/t.T/None"}):  # fmt: skip
            machine = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
            machine.initiate_connection()
            machine.send_headers(1, [*{**dict(REQUEST), **change}.items()], end_stream=True)
            bad = yield from peer(loop, address)
            bad.send(machine.data_to_send())
            yield from wait_for(lambda bad=bad: answered(bytes(bad.got)))  # type: ignore[misc]
            events = machine.receive_data(bytes(bad.got))
            found = [
                {bytes(k): bytes(v) for k, v in event.headers or ()}
                for event in events
                if isinstance(event, ResponseReceived)
            ]
            codes.append((found[0].get(b"grpc-status") or found[0][b":status"]).decode())
            bad.transport.close()
        return codes

    assert serve(body) == ["405", "415", "12", "13", "12"]
