"""The cases of ``conformance`` against our server and our client, over raw sockets."""

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

MARK = b"marker!!"


def hold(call: ServerCall) -> None:
    """A call that its peer's half-close does not end."""
    call.on_message = lambda data: None


def verdict(case: c.Case, got: list[c.Frame], alive: bool, call_went: bool) -> str:
    """What is wrong with what the end under test sent; empty where nothing is."""
    away = [int.from_bytes(frame.payload[4:8], "big") for frame in got if frame.kind == GOAWAY]
    resets = [(f.stream, int.from_bytes(f.payload, "big")) for f in got if f.kind == RST_STREAM]
    broken = [reset for reset in resets if reset[1] != 0]  # NO_ERROR follows an answer that did not need the rest
    if isinstance(case.want, c.Goaway):
        return "" if away and away[0] in case.want.codes else f"GOAWAY {away}, resets {resets}"
    if away or not alive:
        return f"the connection ended: GOAWAY {away}"
    if isinstance(case.want, c.Reset):
        return "" if broken == [(case.want.stream, case.want.code)] else f"resets {resets}"
    if broken:
        return f"resets {resets}"
    if not call_went:
        return "the next call was not answered"
    if case.want.echoed is not None:
        body = b"".join(f.payload for f in got if f.kind == DATA and f.stream == 1)
        if body != message(case.want.echoed):
            return f"answered {body[:40]!r}"
    return ""


def acked(got: bytes | bytearray) -> bool:
    return any(frame.kind == PING and frame.flags & 1 and frame.payload == MARK for frame in c.read(got))


def answered(got: bytes | bytearray, stream: int) -> bool:
    return any(frame.kind == HEADERS and frame.stream == stream and frame.flags & 1 for frame in c.read(got))


def play(case: c.Case) -> str:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[str]:
        raw = yield from peer(loop, address)
        raw.send(case.sent if case.whole else c.START + case.sent)
        if isinstance(case.want, c.Goaway):
            yield from raw.until_closed()
            return verdict(case, list(c.read(bytes(raw.got))), False, False)
        raw.send(encode(PING, 0, 0, MARK))
        yield from wait_for(lambda: acked(raw.got) or raw.ended)
        again = max([0, *(f.stream for f in c.read(case.sent) if f.kind == HEADERS)]) + 2 | 1
        went = again > 2**31 - 1  # no number is left for another call
        if not raw.ended and not went:
            raw.send(c.setting((4, 65535)) + c.head(stream=again) + c.data(flags=c.END, stream=again))
            yield from wait_for(lambda: answered(raw.got, again) or raw.ended)
            went = not raw.ended
        if isinstance(case.want, c.Fine) and case.want.echoed is not None:
            yield from wait_for(lambda: answered(raw.got, 1) or raw.ended)
        return verdict(case, list(c.read(bytes(raw.got))), not raw.ended, went)

    methods = {"/t.T/Echo": Method(attach=echo), "/t.T/Hold": Method(attach=hold)}
    return str(serve(body, methods))


@pytest.mark.parametrize("case", c.SERVER, ids=lambda case: f"{case.section} {case.what}")
def test_the_server(case: c.Case) -> None:
    assert play(case) == ""


@pytest.mark.parametrize("case", c.CLIENT, ids=lambda case: f"{case.section} {case.what}")
def test_the_client(case: c.Case) -> None:
    def body(loop: EpollLoop, server: Server, address: Address) -> Co[tuple[str, Any, bytes]]:
        peers: list[Peer] = []
        listener = loop.listen(("127.0.0.1", 0))
        acceptor = Acceptor(loop, listener, lambda sock: peers.append(Peer(Transport(loop, sock))))

        transport = yield from connect(loop, (yield from current()), listener.address, 1000)
        client = ClientConnection(loop, transport, "x", Options())
        yield from wait_for(lambda: peers)
        raw = peers[0]
        if not case.whole:
            raw.send(encode(SETTINGS, 0, 0))
            yield from client.ready()
        call = client.call("/t.T/Echo")
        call.send(b"hi")
        yield from wait_for(lambda: any(f.kind == DATA for f in c.read(bytes(raw.got)[24:])))
        raw.send(case.sent)
        if isinstance(case.want, c.Goaway):
            yield from raw.until_closed()
            acceptor.close()
            return verdict(case, list(c.read(bytes(raw.got)[24:])), False, False), call.end_status, b""
        raw.send(encode(PING, 0, 0, MARK))
        yield from wait_for(lambda: acked(bytes(raw.got)[24:]) or raw.ended)
        got = b""
        if isinstance(case.want, c.Fine):
            yield from wait_for(lambda: call.end_status is not None)
            if case.want.echoed is not None:
                got = (yield from call.receive()) or b""
        wrong = verdict(case._replace(want=c.Fine()) if isinstance(case.want, c.Fine) else case,
                        list(c.read(bytes(raw.got)[24:])), not raw.ended, True)  # fmt: skip
        client.close()
        acceptor.close()
        return wrong, call.end_status, got

    wrong, over, got = serve(body)
    assert wrong == ""
    if isinstance(case.want, c.Fine):
        assert over.code is Code.OK
        assert got == (case.want.echoed or b"")
    else:
        assert isinstance(over, RpcError) and over.code is not Code.OK


def test_the_checker_sees_each_kind_of_wrong_answer() -> None:
    reset = c.Frame(RST_STREAM, 0, 1, (2).to_bytes(4, "big"))
    away = c.Frame(GOAWAY, 0, 0, bytes(4) + (1).to_bytes(4, "big"))
    fine, stream, whole = (c.Case("", "", b"", want) for want in (c.ECHO, c.STREAM, c.goaway(c.SIZE)))
    assert verdict(fine, [reset], True, True) and verdict(fine, [away], False, True)
    assert verdict(fine, [], True, False) and verdict(fine, [c.Frame(DATA, 0, 1, b"no")], True, True)
    assert (
        verdict(stream, [], True, True)
        and verdict(stream, [reset], True, True)
        and verdict(stream, [away], False, True)
    )
    assert verdict(whole, [], False, False) and verdict(whole, [away], False, False)


def test_the_list_has_a_hundred_cases_each_once() -> None:
    names = [(case.section, case.what) for case in c.SERVER]
    assert len(names) == len(set(names)) >= 100
