"""What an end of HTTP/2 must do with what it is sent, written from RFC 9113: cases by section, for raw sockets.

A case is the bytes after the preface and SETTINGS and what must come of them: ``Reset`` (a stream error: that stream ends
with the code and the connection lives), ``Goaway`` (a connection error with the code), ``Fine`` (neither). For all but
``Goaway`` the checker then asks for a PING's acknowledgement and, of a server, for one more call.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import hpack
from h2.errors import ErrorCodes as Code

from sprucepost.wire.frames import (
    CONTINUATION,
    DATA,
    GOAWAY,
    HEADERS,
    PING,
    PREFACE,
    PRIORITY,
    PUSH_PROMISE,
    RST_STREAM,
    SETTINGS,
    WINDOW_UPDATE,
    encode,
)
from sprucepost.wire.message_framing import encode_message as message

END, WHOLE, PADDED, WITH_PRIORITY = 1, 4, 8, 0x20
START = PREFACE + encode(SETTINGS, 0, 0)


class Frame(NamedTuple):
    kind: int
    flags: int
    stream: int
    payload: bytes


def read(data: bytes | bytearray) -> Iterator[Frame]:
    """The whole frames in what a peer received."""
    at = 0
    while at + 9 <= len(data):
        end = at + 9 + int.from_bytes(data[at : at + 3], "big")
        if end > len(data):
            return
        yield Frame(data[at + 3], data[at + 4], int.from_bytes(data[at + 5 : at + 9], "big"), bytes(data[at + 9 : end]))
        at = end


@dataclass(frozen=True)
class Fine:
    """``echoed``: message that must come back on stream 1, with OK."""

    echoed: bytes | None = None


@dataclass(frozen=True)
class Reset:
    code: Code
    stream: int = 1


@dataclass(frozen=True)
class Goaway:
    """Any of the codes: where the RFC leaves a choice, both are right."""

    codes: tuple[Code, ...]


def goaway(*codes: Code) -> Goaway:
    return Goaway(codes)


class Case(NamedTuple):
    section: str
    what: str
    sent: bytes
    want: Fine | Reset | Goaway
    whole: bool = False  # ``sent`` replaces the preface and SETTINGS


Fields = list[tuple[bytes, bytes]]
REQUEST: Fields = [
    (b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/t.T/Echo"), (b":authority", b"x"), (b"te", b"trailers"),
    (b"content-type", b"application/grpc"),
]  # fmt: skip
HI = message(b"hi")
BREAKS, SIZE, FLOW = Code.PROTOCOL_ERROR, Code.FRAME_SIZE_ERROR, Code.FLOW_CONTROL_ERROR
PACKING, CLOSED = Code.COMPRESSION_ERROR, Code.STREAM_CLOSED
STREAM = Reset(BREAKS)


def block(fields: Fields) -> bytes:
    """Without a dynamic table, so that any block can follow any other."""
    encoder = hpack.Encoder()
    return b"".join(encoder.encode([(n, v, True)], huffman=False) for n, v in fields)


def without(name: bytes, fields: Fields = REQUEST) -> Fields:
    return [field for field in fields if field[0] != name]


def put(name: bytes, value: bytes) -> Fields:
    return [(n, value if n == name else v) for n, v in REQUEST]


def head(
    fields: Fields = REQUEST, flags: int = WHOLE, stream: int = 1, before: bytes = b"", after: bytes = b""
) -> bytes:
    return encode(HEADERS, flags, stream, before + block(fields) + after)


def data(payload: bytes = HI, flags: int = 0, stream: int = 1) -> bytes:
    return encode(DATA, flags, stream, payload)


def setting(*pairs: tuple[int, int], flags: int = 0) -> bytes:
    return encode(SETTINGS, flags, 0, b"".join(k.to_bytes(2, "big") + v.to_bytes(4, "big") for k, v in pairs))


def window(more: int, stream: int = 0) -> bytes:
    return encode(WINDOW_UPDATE, 0, stream, more.to_bytes(4, "big"))


def reset(stream: int = 1, code: int = 8) -> bytes:
    return encode(RST_STREAM, 0, stream, code.to_bytes(4, "big"))


def declared(size: bytes, *more: tuple[bytes, bytes]) -> bytes:
    return head([*REQUEST, (b"content-length", size), *more])


def trailers(fields: Fields, flags: int = WHOLE | END) -> bytes:
    return head() + data() + encode(HEADERS, flags, 1, block(fields))


ECHO = Fine(b"hi")
WHOLE_CALL = head() + data(flags=END)
CALL_3 = head(stream=3) + data(flags=END, stream=3)
SPLIT = block(REQUEST)
TRAILERS = encode(HEADERS, WHOLE | END, 1, block([(b"x", b"1")]))
HELD = head(put(b":path", b"/t.T/Hold"), WHOLE | END)  # half-closed; the server leaves it open

SERVER = [
    # 3.4 Connection preface
    Case("3.4", "preface and SETTINGS in one", START, Fine(), True),
    Case("3.4", "SETTINGS with values", PREFACE + setting((3, 10), (4, 1000)), Fine(), True),
    Case("3.4", "PING before SETTINGS", PREFACE + encode(PING, 0, 0, bytes(8)), goaway(BREAKS), True),
    Case("3.4", "HEADERS before SETTINGS", PREFACE + head(), goaway(BREAKS), True),
    Case("3.4", "SETTINGS acknowledgement first", PREFACE + encode(SETTINGS, 1, 0), goaway(BREAKS), True),
    Case("3.4", "WINDOW_UPDATE before SETTINGS", PREFACE + window(5), goaway(BREAKS), True),
    # 4.1, 4.2 Frames and their size
    Case("4.1", "unknown kind on the connection", encode(0x16, 0xFF, 0, b"abc"), Fine()),
    Case("4.1", "unknown kind on an idle stream", encode(0x50, 0, 9, b"abc"), Fine()),
    Case("4.1", "unknown kind in a call", head() + encode(0x50, 3, 1, b"abc") + data(flags=END), ECHO),
    Case("4.1", "unknown flags are ignored", encode(PING, 0xFE & ~1, 0, bytes(8)) + WHOLE_CALL, ECHO),
    Case("4.1", "reserved bit of the stream is ignored", b"".join((head(), encode(DATA, END, 0x80000001, HI))), ECHO),
    Case("4.2", "DATA of the most bytes", head() + data(message(bytes(16379)), END), Fine(bytes(16379))),
    Case("4.2", "DATA larger than allowed", head() + data(bytes(16385)), goaway(SIZE)),
    Case("4.2", "HEADERS larger than allowed", encode(HEADERS, WHOLE, 1, bytes(16385)), goaway(SIZE)),
    Case("4.2", "PING larger than allowed", encode(PING, 0, 0, bytes(16385)), goaway(SIZE)),
    # 4.3 Field section compression
    Case("4.3", "block in three frames",
         encode(HEADERS, 0, 1, SPLIT[:5]) + encode(CONTINUATION, 0, 1, SPLIT[5:9])
         + encode(CONTINUATION, WHOLE, 1, SPLIT[9:]) + data(flags=END), ECHO),
    Case("4.3", "index beyond the table", encode(HEADERS, WHOLE, 1, b"\xff\xff\x7f"), goaway(PACKING, BREAKS)),
    Case("4.3", "block cut within a string", encode(HEADERS, WHOLE, 1, SPLIT[:-2]), goaway(PACKING, BREAKS)),
    Case("4.3", "table larger than allowed", encode(HEADERS, WHOLE, 1, b"\x3f\xff\xff\x7f" + SPLIT),
         goaway(PACKING, BREAKS)),
    Case("4.3", "another stream within a block", encode(HEADERS, 0, 1, SPLIT[:5]) + head(stream=3), goaway(BREAKS)),
    Case("4.3", "unknown kind within a block", encode(HEADERS, 0, 1, SPLIT[:5]) + encode(0x50, 0, 1), goaway(BREAKS)),
    Case("4.3", "PING within a block", encode(HEADERS, 0, 1, SPLIT[:5]) + encode(PING, 0, 0, bytes(8)), goaway(BREAKS)),
    Case("4.3", "WINDOW_UPDATE within a block", encode(HEADERS, 0, 1, SPLIT[:5]) + window(1), goaway(BREAKS)),
    Case("4.3", "CONTINUATION of another stream", encode(HEADERS, 0, 1, SPLIT[:5]) + encode(CONTINUATION, 4, 3, SPLIT[5:]),
         goaway(BREAKS)),
    # 5.1 Stream states
    Case("5.1", "DATA on an idle stream", data(), goaway(BREAKS)),
    Case("5.1", "RST_STREAM on an idle stream", reset(), goaway(BREAKS)),
    Case("5.1", "WINDOW_UPDATE on an idle stream", window(1, 1), goaway(BREAKS)),
    Case("5.1", "CONTINUATION on an idle stream", encode(CONTINUATION, WHOLE, 1, SPLIT), goaway(BREAKS)),
    Case("5.1", "PRIORITY on an idle stream", encode(PRIORITY, 0, 7, b"\0\0\0\5\x10") + WHOLE_CALL, ECHO),
    Case("5.1", "DATA after the reset", head() + reset() + data() + CALL_3, Fine()),
    Case("5.1", "WINDOW_UPDATE after the reset", head() + reset() + window(5, 1), Fine()),
    Case("5.1", "RST_STREAM twice", head() + reset() + reset(), Fine()),
    Case("5.1", "PRIORITY after the reset", head() + reset() + encode(PRIORITY, 0, 1, b"\0\0\0\0\x10"), Fine()),
    Case("5.1", "half-closed: the answer still comes", WHOLE_CALL, ECHO),
    Case("5.1", "half-closed: WINDOW_UPDATE", WHOLE_CALL + window(5, 1), ECHO),
    Case("5.1", "half-closed: HEADERS again", HELD + head(), Reset(CLOSED)),
    Case("5.1", "half-closed: DATA again", HELD + data(), Reset(CLOSED)),
    Case("5.1.1", "an even stream", head(stream=2), goaway(BREAKS)),
    Case("5.1.1", "a lower stream than before", head(stream=5) + head(stream=3), goaway(BREAKS)),
    Case("5.1.1", "streams left out", head(stream=7) + data(flags=END, stream=7), Fine()),
    Case("5.1.1", "the highest stream", head(stream=2**31 - 1) + data(flags=END, stream=2**31 - 1), Fine()),
    Case("5.4.1", "GOAWAY from the peer, open call goes on",
         head() + encode(GOAWAY, 0, 0, bytes(8)) + data(flags=END), ECHO),
    # 5.3 Priority, deprecated
    Case("5.3", "HEADERS with priority", head(flags=WHOLE | WITH_PRIORITY, before=b"\0\0\0\0\x10") + data(flags=END), ECHO),
    Case("5.3", "HEADERS that depend on themselves",
         head(flags=WHOLE | WITH_PRIORITY, before=b"\0\0\0\1\x10") + data(flags=END), ECHO),
    Case("5.3", "HEADERS with priority and padding",
         head(flags=WHOLE | WITH_PRIORITY | PADDED, before=b"\3\x80\0\0\0\x10", after=bytes(3)) + data(flags=END), ECHO),
    Case("5.3", "PRIORITY that depends on itself", head() + encode(PRIORITY, 0, 1, b"\0\0\0\1\x10") + data(flags=END), ECHO),
    # 6.1 DATA
    Case("6.1", "DATA on stream 0", data(stream=0), goaway(BREAKS)),
    Case("6.1", "padded DATA", head() + data(b"\4" + HI + bytes(4), PADDED | END), ECHO),
    Case("6.1", "DATA of padding only", head() + data(b"\3\0\0\0", PADDED) + data(flags=END), ECHO),
    Case("6.1", "padding as long as the frame", head() + data(b"\3\0\0", PADDED), goaway(BREAKS)),
    Case("6.1", "padded without a length", head() + data(b"", PADDED), goaway(BREAKS)),
    Case("6.1", "padding that is not zero", head() + data(b"\2" + HI + b"ab", PADDED | END), ECHO),
    Case("6.1", "empty DATA at the end", head() + data() + data(b"", END), ECHO),
    # 6.2 HEADERS
    Case("6.2", "HEADERS on stream 0", head(stream=0), goaway(BREAKS)),
    Case("6.2", "padded HEADERS", head(flags=WHOLE | PADDED, before=b"\5", after=bytes(5)) + data(flags=END), ECHO),
    Case("6.2", "padding longer than the block", encode(HEADERS, WHOLE | PADDED, 1, b"\x20ab"), goaway(BREAKS)),
    Case("6.2", "priority cut short", encode(HEADERS, WHOLE | WITH_PRIORITY, 1, b"abc"), goaway(SIZE, BREAKS)),
    # 6.3, 6.4 PRIORITY, RST_STREAM
    Case("6.3", "PRIORITY on stream 0", encode(PRIORITY, 0, 0, bytes(5)), goaway(BREAKS)),
    Case("6.3", "PRIORITY of 4 bytes", head() + encode(PRIORITY, 0, 1, bytes(4)), Reset(SIZE)),
    Case("6.4", "RST_STREAM on stream 0", reset(0), goaway(BREAKS)),
    Case("6.4", "RST_STREAM of 3 bytes", head() + encode(RST_STREAM, 0, 1, bytes(3)), goaway(SIZE)),
    Case("6.4", "RST_STREAM with an unknown code", head() + reset(code=0xFFFF), Fine()),
    # 6.5 SETTINGS
    Case("6.5", "SETTINGS on a stream", encode(SETTINGS, 0, 1), goaway(BREAKS)),
    Case("6.5", "SETTINGS of 5 bytes", encode(SETTINGS, 0, 0, bytes(5)), goaway(SIZE)),
    Case("6.5", "acknowledgement with payload", encode(SETTINGS, 1, 0, bytes(6)), goaway(SIZE)),
    Case("6.5.2", "push neither on nor off", setting((2, 2)), goaway(BREAKS)),
    Case("6.5.2", "window beyond 2^31-1", setting((4, 2**31)), goaway(FLOW)),
    Case("6.5.2", "frame under 16384", setting((5, 16383)), goaway(BREAKS)),
    Case("6.5.2", "frame beyond 2^24-1", setting((5, 2**24)), goaway(BREAKS)),
    Case("6.5.2", "frame of 2^24-1", setting((5, 2**24 - 1)) + WHOLE_CALL, ECHO),
    Case("6.5.2", "window of 2^31-1", setting((4, 2**31 - 1)) + WHOLE_CALL, ECHO),
    Case("6.5.2", "table of size 0", setting((1, 0)) + WHOLE_CALL, ECHO),
    Case("6.5.2", "table of size 2^32-1", setting((1, 2**32 - 1)) + WHOLE_CALL, ECHO),
    Case("6.5.2", "no streams allowed to a server", setting((3, 0)) + WHOLE_CALL, ECHO),
    Case("6.5.2", "list size 0 is advice", setting((6, 0)) + WHOLE_CALL, ECHO),
    Case("6.5.2", "unknown setting", setting((0xFFF0, 7)) + WHOLE_CALL, ECHO),
    Case("6.5.3", "one value twice, the last counts", setting((4, 0), (4, 65535)) + WHOLE_CALL, ECHO),
    # 6.6 to 6.8
    Case("6.6", "PUSH_PROMISE from a client", head() + encode(PUSH_PROMISE, WHOLE, 1, b"\0\0\0\2" + SPLIT), goaway(BREAKS)),
    Case("6.7", "PING on a stream", encode(PING, 0, 1, bytes(8)), goaway(BREAKS)),
    Case("6.7", "PING of 6 bytes", encode(PING, 0, 0, bytes(6)), goaway(SIZE)),
    Case("6.7", "acknowledgement nobody waits for", encode(PING, 1, 0, bytes(8)), Fine()),
    Case("6.8", "GOAWAY on a stream", encode(GOAWAY, 0, 1, bytes(8)), goaway(BREAKS)),
    Case("6.8", "GOAWAY of 7 bytes", encode(GOAWAY, 0, 0, bytes(7)), goaway(SIZE)),
    Case("6.8", "GOAWAY with text", encode(GOAWAY, 0, 0, bytes(8) + b"why"), Fine()),
    # 6.9 WINDOW_UPDATE and flow control
    Case("6.9", "by 0 on the connection", window(0), goaway(BREAKS)),
    Case("6.9", "by 0 on a stream", head() + window(0, 1), STREAM),
    Case("6.9", "of 3 bytes", encode(WINDOW_UPDATE, 0, 0, bytes(3)), goaway(SIZE)),
    Case("6.9.1", "connection window beyond 2^31-1", window(2**31 - 1), goaway(FLOW)),
    Case("6.9.1", "stream window beyond 2^31-1", head() + window(2**31 - 1, 1), Reset(FLOW)),
    Case("6.9.1", "window 0, then open",
         setting((4, 0)) + WHOLE_CALL + window(3, 1) + window(1000, 1), ECHO),
    Case("6.9.2", "window taken back, negative, then open",
         setting((4, 2)) + WHOLE_CALL + setting((4, 0)) + window(1000, 1), ECHO),
    Case("6.9.2", "change that overflows an open stream", head() + window(2**30, 1) + setting((4, 2**31 - 1)),
         goaway(FLOW)),
    # 6.10 CONTINUATION
    Case("6.10", "on stream 0", encode(CONTINUATION, WHOLE, 0, b""), goaway(BREAKS)),
    Case("6.10", "after a whole block", head() + encode(CONTINUATION, WHOLE, 1, SPLIT), goaway(BREAKS)),
    Case("6.10", "empty ones", encode(HEADERS, 0, 1, SPLIT) + encode(CONTINUATION, 0, 1) * 3 + encode(CONTINUATION, WHOLE, 1)
         + data(flags=END), ECHO),
    # 8.1 Framing of messages
    Case("8.1", "trailers", trailers([(b"x-sum", b"1")]), ECHO),
    Case("8.1", "trailers without the end", trailers([(b"x-sum", b"1")], WHOLE), STREAM),
    Case("8.1", "trailers with a pseudo-field", trailers([(b":path", b"/")]), STREAM),
    Case("8.1", "trailers with a connection field", trailers([(b"connection", b"close")]), STREAM),
    Case("8.1.1", "declared length that comes", declared(b"7") + data(flags=END), ECHO),
    Case("8.1.1", "declared length in two parts", declared(b"7") + data(HI[:3]) + data(HI[3:], END), ECHO),
    Case("8.1.1", "declared length and padding", declared(b"7") + data(b"\4" + HI + bytes(4), PADDED | END), ECHO),
    Case("8.1.1", "declared length, then trailers", declared(b"7") + data() + TRAILERS,
         ECHO),
    Case("8.1.1", "declared twice alike", declared(b"7", (b"content-length", b"7")) + data(flags=END), ECHO),
    Case("8.1.1", "more than declared", declared(b"6") + data(), STREAM),
    Case("8.1.1", "less than declared", declared(b"9") + data(flags=END), STREAM),
    Case("8.1.1", "less than declared, then trailers",
         declared(b"9") + data() + TRAILERS, STREAM),
    Case("8.1.1", "declared and no body", head([*REQUEST, (b"content-length", b"5")], WHOLE | END), STREAM),
    Case("8.1.1", "declared 0 and no body", head([*REQUEST, (b"content-length", b"0")], WHOLE | END), Fine()),
    Case("8.1.1", "declared in two ways", declared(b"7", (b"content-length", b"8")), STREAM),
    Case("8.1.1", "no number", declared(b"+7"), STREAM),
    Case("8.1.1", "a negative number", declared(b"-1"), STREAM),
    Case("8.1.1", "a number beyond any", declared(b"9" * 40), STREAM),
    Case("8.1.1", "a broken stream leaves its neighbour",
         declared(b"6") + head(stream=3) + data() + data(flags=END, stream=3),
         STREAM),
    # 8.2 Fields
    Case("8.2.1", "a capital in a name", head([*REQUEST, (b"X-Big", b"1")]), STREAM),
    Case("8.2.1", "a space in a name", head([*REQUEST, (b"x y", b"1")]), STREAM),
    Case("8.2.1", "an empty name", head([*REQUEST, (b"", b"1")]), STREAM),
    Case("8.2.1", "a colon in a name", head([*REQUEST, (b"x:y", b"1")]), STREAM),
    Case("8.2.1", "a name beyond ASCII", head([*REQUEST, (b"x\xe9", b"1")]), STREAM),
    Case("8.2.1", "a line feed in a value", head([*REQUEST, (b"x", b"a\nb")]), STREAM),
    Case("8.2.1", "a carriage return in a value", head([*REQUEST, (b"x", b"a\rb")]), STREAM),
    Case("8.2.1", "a NUL in a value", head([*REQUEST, (b"x", b"a\0b")]), STREAM),
    Case("8.2.1", "a value that begins with a space", head([*REQUEST, (b"x", b" a")]), STREAM),
    Case("8.2.1", "a value that ends with a tab", head([*REQUEST, (b"x", b"a\t")]), STREAM),
    Case("8.2.1", "an empty value", head([*REQUEST, (b"x", b"")]) + data(flags=END), ECHO),
    Case("8.2.1", "a value beyond ASCII", head([*REQUEST, (b"x", b"\xe9")]) + data(flags=END), ECHO),
    *(Case("8.2.2", f"{name.decode()}", head([*REQUEST, (name, b"x")]), STREAM)
      for name in (b"connection", b"proxy-connection", b"keep-alive", b"transfer-encoding", b"upgrade")),
    Case("8.2.2", "te other than trailers", head(put(b"te", b"gzip")), STREAM),
    Case("8.2.2", "te in capitals", head(put(b"te", b"Trailers")) + data(flags=END), ECHO),
    Case("8.2.3", "cookies apart", head([*REQUEST, (b"cookie", b"a=1"), (b"cookie", b"b=2")]) + data(flags=END), ECHO),
    # 8.3 Control data
    Case("8.3", "a pseudo-field after a regular one", head([*REQUEST[1:], REQUEST[0]]), STREAM),
    Case("8.3", "an unknown pseudo-field", head([(b":way", b"x"), *REQUEST]), STREAM),
    Case("8.3", "a response's pseudo-field", head([(b":status", b"200"), *REQUEST]), STREAM),
    Case("8.3", "an interim response from a client", head([(b":status", b"100"), *REQUEST]), STREAM),
    Case("8.3", "pseudo-fields in any order", head([*REQUEST[3::-1], *REQUEST[4:]]) + data(flags=END), ECHO),
    Case("8.3.1", "a method twice", head([REQUEST[0], *REQUEST]), STREAM),
    *(Case("8.3.1", f"without {name.decode()}", head(without(name)), STREAM) for name in (b":method", b":scheme", b":path")),
    Case("8.3.1", "an empty path", head(put(b":path", b"")), STREAM),
    Case("8.3.1", "a path without a slash", head(put(b":path", b"t.T/Echo")), STREAM),
    Case("8.3.1", "host like the authority", head([*REQUEST, (b"host", b"x")]) + data(flags=END), ECHO),
    Case("8.3.1", "host other than the authority", head([*REQUEST, (b"host", b"y")]), STREAM),
    Case("8.3.1", "host alone", head([*without(b":authority"), (b"host", b"x")]) + data(flags=END), ECHO),
    Case("8.3.1", "https as the scheme", head(put(b":scheme", b"https")) + data(flags=END), ECHO),
    Case("8.5", "CONNECT with a path", head(put(b":method", b"CONNECT")), STREAM),
]  # fmt: skip

RESPONSE: Fields = [(b":status", b"200"), (b"content-type", b"application/grpc")]
OK: Fields = [(b"grpc-status", b"0")]


def answer(fields: Fields = RESPONSE, flags: int = WHOLE) -> bytes:
    return encode(HEADERS, flags, 1, block(fields))


def ended(fields: Fields = OK, flags: int = WHOLE | END) -> bytes:
    return encode(HEADERS, flags, 1, block(fields))


# To a client that has one call open, on stream 1, and has sent "hi" on it.
CLIENT = [
    Case("3.4", "PING before SETTINGS", encode(PING, 0, 0, bytes(8)), goaway(BREAKS), True),
    Case("4.1", "unknown kind", encode(0x50, 0, 1, b"x") + answer() + data() + ended(), ECHO),
    Case("4.2", "frame larger than allowed", answer() + data(bytes(16385)), goaway(SIZE)),
    Case("4.3", "a block that is none", encode(HEADERS, WHOLE, 1, b"\xff\xff\x7f"), goaway(PACKING, BREAKS)),
    Case("5.1", "HEADERS on an idle stream", encode(HEADERS, WHOLE, 9, block(RESPONSE)), goaway(BREAKS)),
    Case("5.1", "DATA on an even stream", data(stream=2), goaway(BREAKS)),
    Case("5.1.1", "a stream that a server opens", encode(HEADERS, WHOLE, 2, block(RESPONSE)), goaway(BREAKS)),
    Case("6.1", "padded DATA", answer() + data(b"\2" + HI + bytes(2), PADDED) + ended(), ECHO),
    Case("6.1", "padding as long as the frame", answer() + data(b"\3\0\0", PADDED), goaway(BREAKS)),
    Case("6.2", "padded HEADERS",
         encode(HEADERS, WHOLE | PADDED, 1, b"\2" + block(RESPONSE) + bytes(2)) + data() + ended(), ECHO),
    Case("6.5", "SETTINGS of 5 bytes", encode(SETTINGS, 0, 0, bytes(5)), goaway(SIZE)),
    Case("6.5.2", "a server that turns push on", setting((2, 1)), goaway(BREAKS)),
    Case("6.5.2", "window beyond 2^31-1", setting((4, 2**31)), goaway(FLOW)),
    Case("6.5.2", "frame of 2^24-1", setting((5, 2**24 - 1)) + answer() + data() + ended(), ECHO),
    Case("6.6", "PUSH_PROMISE though push is off", encode(PUSH_PROMISE, WHOLE, 1, b"\0\0\0\2" + SPLIT), goaway(BREAKS)),
    Case("6.7", "PING of 6 bytes", encode(PING, 0, 0, bytes(6)), goaway(SIZE)),
    Case("6.9", "by 0 on the stream", window(0, 1), STREAM),
    Case("6.9", "by 0 on the connection", window(0), goaway(BREAKS)),
    Case("6.9.1", "stream window beyond 2^31-1", window(2**31 - 1, 1), Reset(FLOW)),
    Case("8.1", "an interim response first", answer([(b":status", b"103")]) + answer() + data() + ended(), ECHO),
    Case("8.1", "trailers only", ended([*RESPONSE, (b"grpc-status", b"0")]), Fine()),
    Case("8.1.1", "declared length that comes", answer([*RESPONSE, (b"content-length", b"7")]) + data() + ended(), ECHO),
    Case("8.1.1", "more than declared", answer([*RESPONSE, (b"content-length", b"5")]) + data(), STREAM),
    Case("8.1.1", "less than declared", answer([*RESPONSE, (b"content-length", b"9")]) + data() + ended(), STREAM),
    Case("8.2.1", "a capital in a name", answer([*RESPONSE, (b"X-Big", b"1")]), STREAM),
    Case("8.2.2", "connection", answer([*RESPONSE, (b"connection", b"x")]), STREAM),
    Case("8.3.2", "no status", answer(RESPONSE[1:]), STREAM),
    Case("8.3.2", "a status of two digits", answer([(b":status", b"20"), RESPONSE[1]]), STREAM),
    Case("8.3.2", "a request's pseudo-field", answer([(b":path", b"/"), *RESPONSE]), STREAM),
    Case("8.1", "trailers with a pseudo-field", answer() + data() + ended([(b":status", b"200"), *OK]), STREAM),
]  # fmt: skip
