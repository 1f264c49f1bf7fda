"""HTTP/2 frames as defined by RFC 9113: types, flags, and the checks that need only the frame header."""

from __future__ import annotations

import struct

from h2.errors import ErrorCodes as Code

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING, GOAWAY, WINDOW_UPDATE, CONTINUATION = range(10)
NAMES = (
    "DATA", "HEADERS", "PRIORITY", "RST_STREAM", "SETTINGS", "PUSH_PROMISE", "PING", "GOAWAY", "WINDOW_UPDATE",
    "CONTINUATION",
)  # fmt: skip
END_STREAM, END_HEADERS, ACK, PADDED, WITH_PRIORITY = 1, 4, 1, 8, 0x20
MAX_FRAME_BYTES = 16384  # payload that this end accepts, RFC 9113 6.5.2
MAX_UINT31 = 2**31 - 1  # the largest stream id and window
_STREAM_FRAMES = frozenset((DATA, HEADERS, PRIORITY, RST_STREAM, PUSH_PROMISE, CONTINUATION))
_CONNECTION_FRAMES = frozenset((SETTINGS, PING, GOAWAY))
_FIXED_SIZES = {RST_STREAM: 4, PING: 8, WINDOW_UPDATE: 4}


def encode(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    """Return the bytes of a frame."""
    return struct.pack(">IBI", len(payload) << 8 | kind, flags, stream) + payload


def window_update(stream: int, size: int) -> bytes:
    """Return a WINDOW_UPDATE frame by ``size`` bytes."""
    return struct.pack(">IBII", 4 << 8 | WINDOW_UPDATE, 0, stream, size)


def find_header_error(kind: int, flags: int, stream: int, size: int) -> tuple[Code, str] | None:
    """Return the connection error in a frame header, as code and text, or None. RFC 9113 section 6 by frame type.

    A wrong size is FRAME_SIZE_ERROR, also where a parser reports a protocol error.
    """
    name = NAMES[kind] if kind < len(NAMES) else ""
    if kind in _STREAM_FRAMES and not stream:
        return Code.PROTOCOL_ERROR, f"{name} on stream 0"
    if kind in _CONNECTION_FRAMES and stream:
        return Code.PROTOCOL_ERROR, f"{name} on stream {stream}"
    if size != _FIXED_SIZES.get(kind, size):
        return Code.FRAME_SIZE_ERROR, f"{name} of {size} bytes"
    if kind == SETTINGS and (size if flags & ACK else size % 6):
        return Code.FRAME_SIZE_ERROR, f"SETTINGS of {size} bytes"
    if kind == GOAWAY and size < 8:
        return Code.FRAME_SIZE_ERROR, f"GOAWAY of {size} bytes"
    return None


def without_priority(frame: bytes) -> bytes | None:
    """Return a HEADERS frame without the deprecated priority fields (RFC 9113 5.3.2); None if they are truncated.

    The fields are ignored, so errors in them must be ignored too: h2 would end the connection for a stream that depends
    on itself.
    """
    flags, pad = frame[4], 1 if frame[4] & PADDED else 0
    if len(frame) < 9 + pad + 5:
        return None
    stream = int.from_bytes(frame[5:9], "big")
    return encode(HEADERS, flags & ~WITH_PRIORITY, stream, frame[9 : 9 + pad] + frame[14 + pad :])
