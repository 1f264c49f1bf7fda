"""The cases of ``conformance`` against this project's server and client, over raw sockets."""

from __future__ import annotations

from typing import Any

import pytest

from sprucepost.loop import Address, Co, Transport, connect, current
from sprucepost.loop.accept import Acceptor
from sprucepost.loop.epoll import EpollLoop
from sprucepost.wire.client import ClientConnection
from sprucepost.wire.connection import Options
from sprucepost.wire.frames import DATA, GOAWAY, HEADERS, PING, RST_STREAM, SETTINGS, encode
from sprucepost.wire.message_framing import encode_message as message
from sprucepost.wire.server import Method, Server, ServerCall
from sprucepost.wire.status import Code, RpcError
from tests.wire import conformance as c
from tests.wire.support import Peer, echo, peer, serve, wait_for

PING_PAYLOAD = b"marker!!"


def hold(call: ServerCall) -> None:
    """Leave a call open after the peer's half-close."""
    call.on_message = lambda data: None


def find_deviation(case: c.Case, frames: list[c.Frame], alive: bool, next_call_done: bool) -> str:
    """Return how the frames from the endpoint under test differ from the expected reaction, or an empty string."""
    goaway_codes = [int.from_bytes(frame.payload[4:8], "big") for frame in frames if frame.kind == GOAWAY]
    resets = [(f.stream, int.from_bytes(f.payload, "big")) for f in frames if f.kind == RST_STREAM]
    errors = [reset for reset in resets if reset[1] != 0]  # NO_ERROR follows a response to an unfinished request
    if isinstance(case.expected, c.Goaway):
        return (
            "" if goaway_codes and goaway_codes[0] in case.expected.codes else f"GOAWAY {goaway_codes}, resets {resets}"
        )
    if goaway_codes or not alive:
        return f"the connection ended: GOAWAY {goaway_codes}"
    if isinstance(case.expected, c.Reset):
        return "" if errors == [(case.expected.stream, case.expected.code)] else f"resets {resets}"
    if errors:
        return f"resets {resets}"
    if not next_call_done:
        return "the next call was not answered"
    if case.expected.echoed is not None:
        body = b"".join(f.payload for f in frames if f.kind == DATA and f.stream == 1)
        if body != message(case.expected.echoed):
            return f"answered {body[:40]!r}"
    return ""


def ping_acknowledged(got: bytes | bytearray) -> bool:
    return any(frame.kind == PING and frame.flags & 1 and frame.payload == PING_PAYLOAD for frame in c.read(got))


def answered(got: bytes | bytearray, stream: int) -> bool:
    return any(frame.kind == HEADERS and frame.stream == stream and frame.flags & 1 for frame in c.read(got))


def run_server_case(case: c.Case) -> str:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[str]:
        raw = yield from peer(loop, address)
        raw.send(case.sent if case.replaces_start else c.CONNECTION_START + case.sent)
        if isinstance(case.expected, c.Goaway):
            yield from raw.until_closed()
            return find_deviation(case, list(c.read(bytes(raw.got))), False, False)
        raw.send(encode(PING, 0, 0, PING_PAYLOAD))
        yield from wait_for(lambda: ping_acknowledged(raw.got) or raw.ended)
        next_stream = max([0, *(f.stream for f in c.read(case.sent) if f.kind == HEADERS)]) + 2 | 1
        next_call_done = next_stream > 2**31 - 1  # no stream id is left for another call
        if not raw.ended and not next_call_done:
            raw.send(
                c.settings((4, 65535)) + c.request(stream=next_stream) + c.data(flags=c.END_STREAM, stream=next_stream)
            )
            yield from wait_for(lambda: answered(raw.got, next_stream) or raw.ended)
            next_call_done = not raw.ended
        if isinstance(case.expected, c.Accepted) and case.expected.echoed is not None:
            yield from wait_for(lambda: answered(raw.got, 1) or raw.ended)
        return find_deviation(case, list(c.read(bytes(raw.got))), not raw.ended, next_call_done)

    methods = {"/t.T/Echo": Method(attach=echo), "/t.T/Hold": Method(attach=hold)}
    return str(serve(body, methods))


@pytest.mark.parametrize("case", c.SERVER, ids=lambda case: f"{case.section} {case.title}")
def test_server_reacts_as_required(case: c.Case) -> None:
    assert run_server_case(case) == ""


@pytest.mark.parametrize("case", c.CLIENT, ids=lambda case: f"{case.section} {case.title}")
def test_client_reacts_as_required(case: c.Case) -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[tuple[str, Any, bytes]]:
        peers: list[Peer] = []
        listener = loop.listen(("127.0.0.1", 0))
        acceptor = Acceptor(loop, listener, lambda sock: peers.append(Peer(Transport(loop, sock))))

        transport = yield from connect(loop, (yield from current()), listener.address, 1000)
        client = ClientConnection(loop, transport, "x", Options())
        yield from wait_for(lambda: peers)
        raw = peers[0]
        if not case.replaces_start:
            raw.send(encode(SETTINGS, 0, 0))
            yield from client.ready()
        call = client.call("/t.T/Echo")
        call.send(b"hi")
        yield from wait_for(lambda: any(f.kind == DATA for f in c.read(bytes(raw.got)[24:])))
        raw.send(case.sent)
        if isinstance(case.expected, c.Goaway):
            yield from raw.until_closed()
            acceptor.close()
            return find_deviation(case, list(c.read(bytes(raw.got)[24:])), False, False), call.end_status, b""
        raw.send(encode(PING, 0, 0, PING_PAYLOAD))
        yield from wait_for(lambda: ping_acknowledged(bytes(raw.got)[24:]) or raw.ended)
        got = b""
        if isinstance(case.expected, c.Accepted):
            yield from wait_for(lambda: call.end_status is not None)
            if case.expected.echoed is not None:
                got = (yield from call.receive()) or b""
        deviation = find_deviation(case._replace(expected=c.Accepted()) if isinstance(case.expected, c.Accepted) else case,
                                   list(c.read(bytes(raw.got)[24:])), not raw.ended, True)  # fmt: skip
        client.close()
        acceptor.close()
        return deviation, call.end_status, got

    deviation, status, got = serve(body)
    assert deviation == ""
    if isinstance(case.expected, c.Accepted):
        assert status.code is Code.OK
        assert got == (case.expected.echoed or b"")
    else:
        assert isinstance(status, RpcError) and status.code is not Code.OK


def test_checker_reports_each_kind_of_wrong_reaction() -> None:
    reset = c.Frame(RST_STREAM, 0, 1, (2).to_bytes(4, "big"))
    goaway = c.Frame(GOAWAY, 0, 0, bytes(4) + (1).to_bytes(4, "big"))
    accepted, stream_error, connection_error = (
        c.Case("", "", b"", expected) for expected in (c.ECHO, c.STREAM_ERROR, c.goaway(c.FRAME_SIZE))
    )
    assert find_deviation(accepted, [reset], True, True) and find_deviation(accepted, [goaway], False, True)
    assert find_deviation(accepted, [], True, False) and find_deviation(
        accepted, [c.Frame(DATA, 0, 1, b"no")], True, True
    )
    assert (
        find_deviation(stream_error, [], True, True)
        and find_deviation(stream_error, [reset], True, True)
        and find_deviation(stream_error, [goaway], False, True)
    )
    assert find_deviation(connection_error, [], False, False) and find_deviation(
        connection_error, [goaway], False, False
    )


def test_at_least_100_distinct_server_cases() -> None:
    names = [(case.section, case.title) for case in c.SERVER]
    assert len(names) == len(set(names)) >= 100
