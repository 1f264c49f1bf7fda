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

END_STREAM, END_HEADERS, PADDED, WITH_PRIORITY = 1, 4, 8, 0x20
CONNECTION_START = PREFACE + encode(SETTINGS, 0, 0)


class Frame(NamedTuple):
    kind: int
    flags: int
    stream: int
    payload: bytes


def read(data: bytes | bytearray) -> Iterator[Frame]:
    """Yield the complete frames in what a peer received."""
    at = 0
    while at + 9 <= len(data):
        end = at + 9 + int.from_bytes(data[at : at + 3], "big")
        if end > len(data):
            return
        yield Frame(data[at + 3], data[at + 4], int.from_bytes(data[at + 5 : at + 9], "big"), bytes(data[at + 9 : end]))
        at = end


@dataclass(frozen=True)
class Accepted:
    """No error. ``echoed`` is the message that must be returned on stream 1, with OK."""

    echoed: bytes | None = None


@dataclass(frozen=True)
class Reset:
    """A stream error."""

    code: Code
    stream: int = 1


@dataclass(frozen=True)
class Goaway:
    """A connection error with any of the codes; the RFC allows more than one in some cases."""

    codes: tuple[Code, ...]


def goaway(*codes: Code) -> Goaway:
    return Goaway(codes)


class Case(NamedTuple):
    """Bytes for the endpoint and the required reaction."""

    section: str
    title: str
    sent: bytes
    expected: Accepted | Reset | Goaway
    replaces_start: bool = False  # ``sent`` is sent in place of the preface and SETTINGS


Fields = list[tuple[bytes, bytes]]
REQUEST: Fields = [
    (b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/t.T/Echo"), (b":authority", b"x"), (b"te", b"trailers"),
    (b"content-type", b"application/grpc"),
]  # fmt: skip
HI_MESSAGE = message(b"hi")
PROTOCOL, FRAME_SIZE, FLOW_CONTROL = Code.PROTOCOL_ERROR, Code.FRAME_SIZE_ERROR, Code.FLOW_CONTROL_ERROR
COMPRESSION, STREAM_CLOSED = Code.COMPRESSION_ERROR, Code.STREAM_CLOSED
STREAM_ERROR = Reset(PROTOCOL)


def block(fields: Fields) -> bytes:
    """Encode a field section without the dynamic table, so that any block can follow any other."""
    encoder = hpack.Encoder()
    return b"".join(encoder.encode([(n, v, True)], huffman=False) for n, v in fields)


def without(name: bytes, fields: Fields = REQUEST) -> Fields:
    return [field for field in fields if field[0] != name]


def with_field(name: bytes, value: bytes) -> Fields:
    return [(n, value if n == name else v) for n, v in REQUEST]


def request(
    fields: Fields = REQUEST, flags: int = END_HEADERS, stream: int = 1, before: bytes = b"", after: bytes = b""
) -> bytes:
    return encode(HEADERS, flags, stream, before + block(fields) + after)


def data(payload: bytes = HI_MESSAGE, flags: int = 0, stream: int = 1) -> bytes:
    return encode(DATA, flags, stream, payload)


def settings(*pairs: tuple[int, int], flags: int = 0) -> bytes:
    return encode(SETTINGS, flags, 0, b"".join(k.to_bytes(2, "big") + v.to_bytes(4, "big") for k, v in pairs))


def window_update(increment: int, stream: int = 0) -> bytes:
    return encode(WINDOW_UPDATE, 0, stream, increment.to_bytes(4, "big"))


def rst_stream(stream: int = 1, code: int = 8) -> bytes:
    return encode(RST_STREAM, 0, stream, code.to_bytes(4, "big"))


def request_of_length(length: bytes, *more: tuple[bytes, bytes]) -> bytes:
    return request([*REQUEST, (b"content-length", length), *more])


def request_with_trailers(fields: Fields, flags: int = END_HEADERS | END_STREAM) -> bytes:
    return request() + data() + encode(HEADERS, flags, 1, block(fields))


ECHO = Accepted(b"hi")
ECHO_CALL = request() + data(flags=END_STREAM)
CALL_3 = request(stream=3) + data(flags=END_STREAM, stream=3)
REQUEST_BLOCK = block(REQUEST)
REQUEST_TRAILERS = encode(HEADERS, END_HEADERS | END_STREAM, 1, block([(b"x", b"1")]))
# Half-closed by the client, left open by the server.
HELD_CALL = request(with_field(b":path", b"/t.T/Hold"), END_HEADERS | END_STREAM)

SERVER = [
    # 3.4 Connection preface
    Case("3.4", "preface and SETTINGS in one write", CONNECTION_START, Accepted(), True),
    Case("3.4", "SETTINGS with values", PREFACE + settings((3, 10), (4, 1000)), Accepted(), True),
    Case("3.4", "PING before SETTINGS", PREFACE + encode(PING, 0, 0, bytes(8)), goaway(PROTOCOL), True),
    Case("3.4", "HEADERS before SETTINGS", PREFACE + request(), goaway(PROTOCOL), True),
    Case("3.4", "SETTINGS acknowledgement first", PREFACE + encode(SETTINGS, 1, 0), goaway(PROTOCOL), True),
    Case("3.4", "WINDOW_UPDATE before SETTINGS", PREFACE + window_update(5), goaway(PROTOCOL), True),
    # 4.1, 4.2 Frames and their size
    Case("4.1", "unknown type on the connection", encode(0x16, 0xFF, 0, b"abc"), Accepted()),
    Case("4.1", "unknown type on an idle stream", encode(0x50, 0, 9, b"abc"), Accepted()),
    Case("4.1", "unknown type in a call", request() + encode(0x50, 3, 1, b"abc") + data(flags=END_STREAM), ECHO),
    Case("4.1", "unknown flags are ignored", encode(PING, 0xFE & ~1, 0, bytes(8)) + ECHO_CALL, ECHO),
    Case("4.1", "reserved bit of the stream is ignored",
         b"".join((request(), encode(DATA, END_STREAM, 0x80000001, HI_MESSAGE))), ECHO),
    Case("4.2", "DATA of the largest size",
         request() + data(message(bytes(16379)), END_STREAM), Accepted(bytes(16379))),
    Case("4.2", "DATA larger than allowed", request() + data(bytes(16385)), goaway(FRAME_SIZE)),
    Case("4.2", "HEADERS larger than allowed", encode(HEADERS, END_HEADERS, 1, bytes(16385)), goaway(FRAME_SIZE)),
    Case("4.2", "PING larger than allowed", encode(PING, 0, 0, bytes(16385)), goaway(FRAME_SIZE)),
    # 4.3 Field section compression
    Case("4.3", "block in three frames",
         encode(HEADERS, 0, 1, REQUEST_BLOCK[:5]) + encode(CONTINUATION, 0, 1, REQUEST_BLOCK[5:9])
         + encode(CONTINUATION, END_HEADERS, 1, REQUEST_BLOCK[9:]) + data(flags=END_STREAM), ECHO),
    Case("4.3", "index beyond the table",
         encode(HEADERS, END_HEADERS, 1, b"\xff\xff\x7f"), goaway(COMPRESSION, PROTOCOL)),
    Case("4.3", "block truncated within a string",
         encode(HEADERS, END_HEADERS, 1, REQUEST_BLOCK[:-2]), goaway(COMPRESSION, PROTOCOL)),
    Case("4.3", "table larger than allowed", encode(HEADERS, END_HEADERS, 1, b"\x3f\xff\xff\x7f" + REQUEST_BLOCK),
         goaway(COMPRESSION, PROTOCOL)),
    Case("4.3", "another stream within a block",
         encode(HEADERS, 0, 1, REQUEST_BLOCK[:5]) + request(stream=3), goaway(PROTOCOL)),
    Case("4.3", "unknown type within a block",
         encode(HEADERS, 0, 1, REQUEST_BLOCK[:5]) + encode(0x50, 0, 1), goaway(PROTOCOL)),
    Case("4.3", "PING within a block",
         encode(HEADERS, 0, 1, REQUEST_BLOCK[:5]) + encode(PING, 0, 0, bytes(8)), goaway(PROTOCOL)),
    Case("4.3", "WINDOW_UPDATE within a block",
         encode(HEADERS, 0, 1, REQUEST_BLOCK[:5]) + window_update(1), goaway(PROTOCOL)),
    Case("4.3", "CONTINUATION of another stream",
         encode(HEADERS, 0, 1, REQUEST_BLOCK[:5]) + encode(CONTINUATION, 4, 3, REQUEST_BLOCK[5:]),
         goaway(PROTOCOL)),
    # 5.1 Stream states
    Case("5.1", "DATA on an idle stream", data(), goaway(PROTOCOL)),
    Case("5.1", "RST_STREAM on an idle stream", rst_stream(), goaway(PROTOCOL)),
    Case("5.1", "WINDOW_UPDATE on an idle stream", window_update(1, 1), goaway(PROTOCOL)),
    Case("5.1", "CONTINUATION on an idle stream",
         encode(CONTINUATION, END_HEADERS, 1, REQUEST_BLOCK), goaway(PROTOCOL)),
    Case("5.1", "PRIORITY on an idle stream", encode(PRIORITY, 0, 7, b"\0\0\0\5\x10") + ECHO_CALL, ECHO),
    Case("5.1", "DATA after the reset", request() + rst_stream() + data() + CALL_3, Accepted()),
    Case("5.1", "WINDOW_UPDATE after the reset", request() + rst_stream() + window_update(5, 1), Accepted()),
    Case("5.1", "RST_STREAM twice", request() + rst_stream() + rst_stream(), Accepted()),
    Case("5.1", "PRIORITY after the reset",
         request() + rst_stream() + encode(PRIORITY, 0, 1, b"\0\0\0\0\x10"), Accepted()),
    Case("5.1", "half-closed: the response still comes", ECHO_CALL, ECHO),
    Case("5.1", "half-closed: WINDOW_UPDATE", ECHO_CALL + window_update(5, 1), ECHO),
    Case("5.1", "half-closed: HEADERS again", HELD_CALL + request(), Reset(STREAM_CLOSED)),
    Case("5.1", "half-closed: DATA again", HELD_CALL + data(), Reset(STREAM_CLOSED)),
    Case("5.1.1", "an even stream", request(stream=2), goaway(PROTOCOL)),
    Case("5.1.1", "a lower stream than before", request(stream=5) + request(stream=3), goaway(PROTOCOL)),
    Case("5.1.1", "skipped stream ids", request(stream=7) + data(flags=END_STREAM, stream=7), Accepted()),
    Case("5.1.1", "the highest stream",
         request(stream=2**31 - 1) + data(flags=END_STREAM, stream=2**31 - 1), Accepted()),
    Case("5.4.1", "GOAWAY from the peer, open call goes on",
         request() + encode(GOAWAY, 0, 0, bytes(8)) + data(flags=END_STREAM), ECHO),
    # 5.3 Priority, deprecated
    Case("5.3", "HEADERS with priority",
         request(flags=END_HEADERS | WITH_PRIORITY, before=b"\0\0\0\0\x10") + data(flags=END_STREAM), ECHO),
    Case("5.3", "HEADERS that depend on themselves",
         request(flags=END_HEADERS | WITH_PRIORITY, before=b"\0\0\0\1\x10") + data(flags=END_STREAM), ECHO),
    Case("5.3", "HEADERS with priority and padding",
         request(flags=END_HEADERS | WITH_PRIORITY | PADDED, before=b"\3\x80\0\0\0\x10", after=bytes(3))
         + data(flags=END_STREAM), ECHO),
    Case("5.3", "PRIORITY that depends on itself",
         request() + encode(PRIORITY, 0, 1, b"\0\0\0\1\x10") + data(flags=END_STREAM), ECHO),
    # 6.1 DATA
    Case("6.1", "DATA on stream 0", data(stream=0), goaway(PROTOCOL)),
    Case("6.1", "padded DATA", request() + data(b"\4" + HI_MESSAGE + bytes(4), PADDED | END_STREAM), ECHO),
    Case("6.1", "DATA of padding only", request() + data(b"\3\0\0\0", PADDED) + data(flags=END_STREAM), ECHO),
    Case("6.1", "padding as long as the frame", request() + data(b"\3\0\0", PADDED), goaway(PROTOCOL)),
    Case("6.1", "padded without a pad length", request() + data(b"", PADDED), goaway(PROTOCOL)),
    Case("6.1", "padding that is not zero", request() + data(b"\2" + HI_MESSAGE + b"ab", PADDED | END_STREAM), ECHO),
    Case("6.1", "empty DATA at the end", request() + data() + data(b"", END_STREAM), ECHO),
    # 6.2 HEADERS
    Case("6.2", "HEADERS on stream 0", request(stream=0), goaway(PROTOCOL)),
    Case("6.2", "padded HEADERS",
         request(flags=END_HEADERS | PADDED, before=b"\5", after=bytes(5)) + data(flags=END_STREAM), ECHO),
    Case("6.2", "padding longer than the block", encode(HEADERS, END_HEADERS | PADDED, 1, b"\x20ab"), goaway(PROTOCOL)),
    Case("6.2", "truncated priority",
         encode(HEADERS, END_HEADERS | WITH_PRIORITY, 1, b"abc"), goaway(FRAME_SIZE, PROTOCOL)),
    # 6.3, 6.4 PRIORITY, RST_STREAM
    Case("6.3", "PRIORITY on stream 0", encode(PRIORITY, 0, 0, bytes(5)), goaway(PROTOCOL)),
    Case("6.3", "PRIORITY of 4 bytes", request() + encode(PRIORITY, 0, 1, bytes(4)), Reset(FRAME_SIZE)),
    Case("6.4", "RST_STREAM on stream 0", rst_stream(0), goaway(PROTOCOL)),
    Case("6.4", "RST_STREAM of 3 bytes", request() + encode(RST_STREAM, 0, 1, bytes(3)), goaway(FRAME_SIZE)),
    Case("6.4", "RST_STREAM with an unknown code", request() + rst_stream(code=0xFFFF), Accepted()),
    # 6.5 SETTINGS
    Case("6.5", "SETTINGS on a stream", encode(SETTINGS, 0, 1), goaway(PROTOCOL)),
    Case("6.5", "SETTINGS of 5 bytes", encode(SETTINGS, 0, 0, bytes(5)), goaway(FRAME_SIZE)),
    Case("6.5", "acknowledgement with payload", encode(SETTINGS, 1, 0, bytes(6)), goaway(FRAME_SIZE)),
    Case("6.5.2", "ENABLE_PUSH neither 0 nor 1", settings((2, 2)), goaway(PROTOCOL)),
    Case("6.5.2", "window beyond 2^31-1", settings((4, 2**31)), goaway(FLOW_CONTROL)),
    Case("6.5.2", "frame under 16384", settings((5, 16383)), goaway(PROTOCOL)),
    Case("6.5.2", "frame beyond 2^24-1", settings((5, 2**24)), goaway(PROTOCOL)),
    Case("6.5.2", "frame of 2^24-1", settings((5, 2**24 - 1)) + ECHO_CALL, ECHO),
    Case("6.5.2", "window of 2^31-1", settings((4, 2**31 - 1)) + ECHO_CALL, ECHO),
    Case("6.5.2", "table of size 0", settings((1, 0)) + ECHO_CALL, ECHO),
    Case("6.5.2", "table of size 2^32-1", settings((1, 2**32 - 1)) + ECHO_CALL, ECHO),
    Case("6.5.2", "a limit of no streams for a server", settings((3, 0)) + ECHO_CALL, ECHO),
    Case("6.5.2", "header list size 0 is advisory", settings((6, 0)) + ECHO_CALL, ECHO),
    Case("6.5.2", "unknown setting", settings((0xFFF0, 7)) + ECHO_CALL, ECHO),
    Case("6.5.3", "one setting twice, the last applies", settings((4, 0), (4, 65535)) + ECHO_CALL, ECHO),
    # 6.6 to 6.8
    Case("6.6", "PUSH_PROMISE from a client",
         request() + encode(PUSH_PROMISE, END_HEADERS, 1, b"\0\0\0\2" + REQUEST_BLOCK), goaway(PROTOCOL)),
    Case("6.7", "PING on a stream", encode(PING, 0, 1, bytes(8)), goaway(PROTOCOL)),
    Case("6.7", "PING of 6 bytes", encode(PING, 0, 0, bytes(6)), goaway(FRAME_SIZE)),
    Case("6.7", "unsolicited acknowledgement", encode(PING, 1, 0, bytes(8)), Accepted()),
    Case("6.8", "GOAWAY on a stream", encode(GOAWAY, 0, 1, bytes(8)), goaway(PROTOCOL)),
    Case("6.8", "GOAWAY of 7 bytes", encode(GOAWAY, 0, 0, bytes(7)), goaway(FRAME_SIZE)),
    Case("6.8", "GOAWAY with text", encode(GOAWAY, 0, 0, bytes(8) + b"why"), Accepted()),
    # 6.9 WINDOW_UPDATE and flow control
    Case("6.9", "increment 0 on the connection", window_update(0), goaway(PROTOCOL)),
    Case("6.9", "increment 0 on a stream", request() + window_update(0, 1), STREAM_ERROR),
    Case("6.9", "WINDOW_UPDATE of 3 bytes", encode(WINDOW_UPDATE, 0, 0, bytes(3)), goaway(FRAME_SIZE)),
    Case("6.9.1", "connection window beyond 2^31-1", window_update(2**31 - 1), goaway(FLOW_CONTROL)),
    Case("6.9.1", "stream window beyond 2^31-1", request() + window_update(2**31 - 1, 1), Reset(FLOW_CONTROL)),
    Case("6.9.1", "window 0, then raised",
         settings((4, 0)) + ECHO_CALL + window_update(3, 1) + window_update(1000, 1), ECHO),
    Case("6.9.2", "window reduced below zero, then raised",
         settings((4, 2)) + ECHO_CALL + settings((4, 0)) + window_update(1000, 1), ECHO),
    Case("6.9.2", "change that overflows an open stream",
         request() + window_update(2**30, 1) + settings((4, 2**31 - 1)),
         goaway(FLOW_CONTROL)),
    # 6.10 CONTINUATION
    Case("6.10", "CONTINUATION on stream 0", encode(CONTINUATION, END_HEADERS, 0, b""), goaway(PROTOCOL)),
    Case("6.10", "CONTINUATION after a complete block",
         request() + encode(CONTINUATION, END_HEADERS, 1, REQUEST_BLOCK), goaway(PROTOCOL)),
    Case("6.10", "empty CONTINUATION frames",
         encode(HEADERS, 0, 1, REQUEST_BLOCK) + encode(CONTINUATION, 0, 1) * 3 + encode(CONTINUATION, END_HEADERS, 1)
         + data(flags=END_STREAM), ECHO),
    # 8.1 Framing of messages
    Case("8.1", "trailers", request_with_trailers([(b"x-sum", b"1")]), ECHO),
    Case("8.1", "trailers without END_STREAM", request_with_trailers([(b"x-sum", b"1")], END_HEADERS), STREAM_ERROR),
    Case("8.1", "trailers with a pseudo-field", request_with_trailers([(b":path", b"/")]), STREAM_ERROR),
    Case("8.1", "trailers with a connection field", request_with_trailers([(b"connection", b"close")]), STREAM_ERROR),
    Case("8.1.1", "declared length that is sent", request_of_length(b"7") + data(flags=END_STREAM), ECHO),
    Case("8.1.1", "declared length in two parts",
         request_of_length(b"7") + data(HI_MESSAGE[:3]) + data(HI_MESSAGE[3:], END_STREAM), ECHO),
    Case("8.1.1", "declared length and padding",
         request_of_length(b"7") + data(b"\4" + HI_MESSAGE + bytes(4), PADDED | END_STREAM), ECHO),
    Case("8.1.1", "declared length, then trailers", request_of_length(b"7") + data() + REQUEST_TRAILERS,
         ECHO),
    Case("8.1.1", "declared twice with one value",
         request_of_length(b"7", (b"content-length", b"7")) + data(flags=END_STREAM), ECHO),
    Case("8.1.1", "more than declared", request_of_length(b"6") + data(), STREAM_ERROR),
    Case("8.1.1", "less than declared", request_of_length(b"9") + data(flags=END_STREAM), STREAM_ERROR),
    Case("8.1.1", "less than declared, then trailers",
         request_of_length(b"9") + data() + REQUEST_TRAILERS, STREAM_ERROR),
    Case("8.1.1", "declared and no body",
         request([*REQUEST, (b"content-length", b"5")], END_HEADERS | END_STREAM), STREAM_ERROR),
    Case("8.1.1", "declared 0 and no body",
         request([*REQUEST, (b"content-length", b"0")], END_HEADERS | END_STREAM), Accepted()),
    Case("8.1.1", "declared with two values", request_of_length(b"7", (b"content-length", b"8")), STREAM_ERROR),
    Case("8.1.1", "not a number", request_of_length(b"+7"), STREAM_ERROR),
    Case("8.1.1", "a negative number", request_of_length(b"-1"), STREAM_ERROR),
    Case("8.1.1", "a number that is too large", request_of_length(b"9" * 40), STREAM_ERROR),
    Case("8.1.1", "an error on one stream leaves another",
         request_of_length(b"6") + request(stream=3) + data() + data(flags=END_STREAM, stream=3),
         STREAM_ERROR),
    # 8.2 Fields
    Case("8.2.1", "an uppercase letter in a name", request([*REQUEST, (b"X-Big", b"1")]), STREAM_ERROR),
    Case("8.2.1", "a space in a name", request([*REQUEST, (b"x y", b"1")]), STREAM_ERROR),
    Case("8.2.1", "an empty name", request([*REQUEST, (b"", b"1")]), STREAM_ERROR),
    Case("8.2.1", "a colon in a name", request([*REQUEST, (b"x:y", b"1")]), STREAM_ERROR),
    Case("8.2.1", "a non-ASCII name", request([*REQUEST, (b"x\xe9", b"1")]), STREAM_ERROR),
    Case("8.2.1", "a line feed in a value", request([*REQUEST, (b"x", b"a\nb")]), STREAM_ERROR),
    Case("8.2.1", "a carriage return in a value", request([*REQUEST, (b"x", b"a\rb")]), STREAM_ERROR),
    Case("8.2.1", "a NUL in a value", request([*REQUEST, (b"x", b"a\0b")]), STREAM_ERROR),
    Case("8.2.1", "a value that begins with a space", request([*REQUEST, (b"x", b" a")]), STREAM_ERROR),
    Case("8.2.1", "a value that ends with a tab", request([*REQUEST, (b"x", b"a\t")]), STREAM_ERROR),
    Case("8.2.1", "an empty value", request([*REQUEST, (b"x", b"")]) + data(flags=END_STREAM), ECHO),
    Case("8.2.1", "a non-ASCII value", request([*REQUEST, (b"x", b"\xe9")]) + data(flags=END_STREAM), ECHO),
    *(Case("8.2.2", f"{name.decode()}", request([*REQUEST, (name, b"x")]), STREAM_ERROR)
      for name in (b"connection", b"proxy-connection", b"keep-alive", b"transfer-encoding", b"upgrade")),
    Case("8.2.2", "te other than trailers", request(with_field(b"te", b"gzip")), STREAM_ERROR),
    Case("8.2.2", "te with an uppercase letter",
         request(with_field(b"te", b"Trailers")) + data(flags=END_STREAM), ECHO),
    Case("8.2.3", "separate cookie fields",
         request([*REQUEST, (b"cookie", b"a=1"), (b"cookie", b"b=2")]) + data(flags=END_STREAM), ECHO),
    # 8.3 Control data
    Case("8.3", "a pseudo-field after a regular one", request([*REQUEST[1:], REQUEST[0]]), STREAM_ERROR),
    Case("8.3", "an unknown pseudo-field", request([(b":way", b"x"), *REQUEST]), STREAM_ERROR),
    Case("8.3", "a response's pseudo-field", request([(b":status", b"200"), *REQUEST]), STREAM_ERROR),
    Case("8.3", "an interim response from a client", request([(b":status", b"100"), *REQUEST]), STREAM_ERROR),
    Case("8.3", "pseudo-fields in any order", request([*REQUEST[3::-1], *REQUEST[4:]]) + data(flags=END_STREAM), ECHO),
    Case("8.3.1", "a method twice", request([REQUEST[0], *REQUEST]), STREAM_ERROR),
    *(Case("8.3.1", f"without {name.decode()}", request(without(name)), STREAM_ERROR)
      for name in (b":method", b":scheme", b":path")),
    Case("8.3.1", "an empty path", request(with_field(b":path", b"")), STREAM_ERROR),
    Case("8.3.1", "a path without a slash", request(with_field(b":path", b"t.T/Echo")), STREAM_ERROR),
    Case("8.3.1", "host like the authority", request([*REQUEST, (b"host", b"x")]) + data(flags=END_STREAM), ECHO),
    Case("8.3.1", "host other than the authority", request([*REQUEST, (b"host", b"y")]), STREAM_ERROR),
    Case("8.3.1", "host alone", request([*without(b":authority"), (b"host", b"x")]) + data(flags=END_STREAM), ECHO),
    Case("8.3.1", "https as the scheme", request(with_field(b":scheme", b"https")) + data(flags=END_STREAM), ECHO),
    Case("8.5", "CONNECT with a path", request(with_field(b":method", b"CONNECT")), STREAM_ERROR),
]  # fmt: skip

RESPONSE: Fields = [(b":status", b"200"), (b"content-type", b"application/grpc")]
OK: Fields = [(b"grpc-status", b"0")]


def response(fields: Fields = RESPONSE, flags: int = END_HEADERS) -> bytes:
    return encode(HEADERS, flags, 1, block(fields))


def response_trailers(fields: Fields = OK, flags: int = END_HEADERS | END_STREAM) -> bytes:
    return encode(HEADERS, flags, 1, block(fields))


# For a client with one open call on stream 1 that has sent "hi".
CLIENT = [
    Case("3.4", "PING before SETTINGS", encode(PING, 0, 0, bytes(8)), goaway(PROTOCOL), True),
    Case("4.1", "unknown type", encode(0x50, 0, 1, b"x") + response() + data() + response_trailers(), ECHO),
    Case("4.2", "frame larger than allowed", response() + data(bytes(16385)), goaway(FRAME_SIZE)),
    Case("4.3", "an invalid header block",
         encode(HEADERS, END_HEADERS, 1, b"\xff\xff\x7f"), goaway(COMPRESSION, PROTOCOL)),
    Case("5.1", "HEADERS on an idle stream", encode(HEADERS, END_HEADERS, 9, block(RESPONSE)), goaway(PROTOCOL)),
    Case("5.1", "DATA on an even stream", data(stream=2), goaway(PROTOCOL)),
    Case("5.1.1", "a stream that a server opens", encode(HEADERS, END_HEADERS, 2, block(RESPONSE)), goaway(PROTOCOL)),
    Case("6.1", "padded DATA", response() + data(b"\2" + HI_MESSAGE + bytes(2), PADDED) + response_trailers(), ECHO),
    Case("6.1", "padding as long as the frame", response() + data(b"\3\0\0", PADDED), goaway(PROTOCOL)),
    Case("6.2", "padded HEADERS",
         encode(HEADERS, END_HEADERS | PADDED, 1, b"\2" + block(RESPONSE) + bytes(2)) + data() + response_trailers(),
         ECHO),
    Case("6.5", "SETTINGS of 5 bytes", encode(SETTINGS, 0, 0, bytes(5)), goaway(FRAME_SIZE)),
    Case("6.5.2", "a server that enables push", settings((2, 1)), goaway(PROTOCOL)),
    Case("6.5.2", "window beyond 2^31-1", settings((4, 2**31)), goaway(FLOW_CONTROL)),
    Case("6.5.2", "frame of 2^24-1", settings((5, 2**24 - 1)) + response() + data() + response_trailers(), ECHO),
    Case("6.6", "PUSH_PROMISE though push is off",
         encode(PUSH_PROMISE, END_HEADERS, 1, b"\0\0\0\2" + REQUEST_BLOCK), goaway(PROTOCOL)),
    Case("6.7", "PING of 6 bytes", encode(PING, 0, 0, bytes(6)), goaway(FRAME_SIZE)),
    Case("6.9", "increment 0 on the stream", window_update(0, 1), STREAM_ERROR),
    Case("6.9", "increment 0 on the connection", window_update(0), goaway(PROTOCOL)),
    Case("6.9.1", "stream window beyond 2^31-1", window_update(2**31 - 1, 1), Reset(FLOW_CONTROL)),
    Case("8.1", "an interim response first",
         response([(b":status", b"103")]) + response() + data() + response_trailers(), ECHO),
    Case("8.1", "trailers only", response_trailers([*RESPONSE, (b"grpc-status", b"0")]), Accepted()),
    Case("8.1.1", "declared length that is sent",
         response([*RESPONSE, (b"content-length", b"7")]) + data() + response_trailers(), ECHO),
    Case("8.1.1", "more than declared", response([*RESPONSE, (b"content-length", b"5")]) + data(), STREAM_ERROR),
    Case("8.1.1", "less than declared",
         response([*RESPONSE, (b"content-length", b"9")]) + data() + response_trailers(), STREAM_ERROR),
    Case("8.2.1", "an uppercase letter in a name", response([*RESPONSE, (b"X-Big", b"1")]), STREAM_ERROR),
    Case("8.2.2", "connection", response([*RESPONSE, (b"connection", b"x")]), STREAM_ERROR),
    Case("8.3.2", "no status", response(RESPONSE[1:]), STREAM_ERROR),
    Case("8.3.2", "a status of two digits", response([(b":status", b"20"), RESPONSE[1]]), STREAM_ERROR),
    Case("8.3.2", "a request's pseudo-field", response([(b":path", b"/"), *RESPONSE]), STREAM_ERROR),
    Case("8.1", "trailers with a pseudo-field",
         response() + data() + response_trailers([(b":status", b"200"), *OK]), STREAM_ERROR),
]  # fmt: skip
