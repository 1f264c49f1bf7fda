"""Call metadata and time-outs as HTTP/2 header fields ("gRPC over HTTP2": Requests, Custom-Metadata, Timeout)."""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Iterable

Metadata = tuple[tuple[str, str | bytes], ...]
Headers = list[tuple[bytes, bytes]]

_KEY = re.compile(r"^[0-9a-z_.-]+$")
_RESERVED = {"te", "content-type", "user-agent", "host", "connection"}
_TIMEOUT = re.compile(rb"^(\d{1,8})([HMSmun])$")
_UNIT_MS = {b"H": 3_600_000.0, b"M": 60_000.0, b"S": 1000.0, b"m": 1.0, b"u": 1e-3, b"n": 1e-6}


def encode_metadata(metadata: Iterable[tuple[str, str | bytes]]) -> Headers:
    """Encode custom metadata as header fields. ``-bin`` keys take bytes. ValueError names a key that cannot be sent."""
    headers: Headers = []
    for key, value in metadata:
        if not _KEY.match(key) or key.startswith("grpc-") or key in _RESERVED:
            raise ValueError(f"metadata {key!r}: the key is invalid or reserved")
        if key.endswith("-bin"):
            if isinstance(value, str):
                raise ValueError(f"metadata {key!r}: a -bin value must be bytes")
            field = base64.b64encode(value).rstrip(b"=")
        else:
            if (
                isinstance(value, bytes)
                or not value.isascii()
                or any(not " " <= character <= "~" for character in value)
            ):
                raise ValueError(f"metadata {key!r}: the value must be printable ASCII text")
            field = value.strip(" ").encode()
        headers.append((key.encode(), field))
    return headers


def decode_metadata(headers: Headers) -> Metadata:
    """Return the custom metadata in header fields. A ``-bin`` field that is not valid base64 is left out."""
    metadata: list[tuple[str, str | bytes]] = []
    for name, value in headers:
        if name.startswith((b":", b"grpc-")) or name.decode("latin-1") in _RESERVED:
            continue
        key = name.decode("latin-1")
        if key.endswith("-bin"):
            for part in value.split(b","):
                part = part.strip()
                try:
                    metadata.append((key, base64.b64decode(part + b"=" * (-len(part) % 4), validate=True)))
                except binascii.Error:
                    continue
        else:
            metadata.append((key, value.decode("latin-1")))
    return tuple(metadata)


def parse_timeout(value: bytes) -> float:
    """Return the ms of a ``grpc-timeout`` value. ValueError if it is malformed."""
    match = _TIMEOUT.match(value)
    if match is None:
        raise ValueError(f"grpc-timeout {value[:20]!r}: malformed")
    return int(match[1]) * _UNIT_MS[match[2]]


def format_timeout(timeout_ms: float) -> bytes:
    """Return the ``grpc-timeout`` value for a time in ms, rounded down, with at most eight digits."""
    for unit, size in ((b"u", 1e-3), (b"m", 1.0), (b"S", 1000.0), (b"M", 60_000.0)):
        count = int(max(0.0, timeout_ms) / size)
        if count < 10**8:
            return b"%d%s" % (count, unit)
    return b"99999999H"
