"""Validation of HTTP field sections by RFC 9113 8.1 to 8.3, and the decoder that replaces h2's own.

h2 ends the connection at a malformed field section, or at a body whose length differs from the declared one. RFC 9113
8.1.1 ends only the stream: behind a proxy a connection carries the requests of many callers.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Any

import hpack

from sprucepost.wire.metadata import Headers

# 8.2.1: no control characters, space, uppercase letters or non-ASCII bytes, and a colon only at the start
_NAME = re.compile(rb":?[!-9;-@\[-~]+")
_INVALID_VALUE = re.compile(rb"[\0\n\r]|\A[ \t]|[ \t]\Z")
_STATUS = re.compile(rb"[1-9][0-9][0-9]")
_DIGITS = re.compile(rb"[0-9]{1,18}")
# 8.2.2: fields of HTTP/1.1 connections
_CONNECTION_FIELDS = frozenset((b"connection", b"proxy-connection", b"keep-alive", b"transfer-encoding", b"upgrade"))
_REQUEST_PSEUDO_FIELDS = frozenset((b":method", b":scheme", b":path", b":authority"))


class SectionKind(Enum):
    """The kinds of field sections, which have different pseudo-fields."""

    REQUEST = "request"
    RESPONSE = "response"
    TRAILERS = "trailers"


class FieldDecoder(hpack.Decoder):
    """Keeps the last field section as received in ``latest``; h2 gets it without the fields that h2 must not check.

    These are ``content-length``, as DATA bypasses h2, and a request's ``:status``, which h2 would treat as an interim
    response.
    """

    def __init__(self, client: bool, max_bytes: int) -> None:
        super().__init__(max_header_list_size=max_bytes)
        self._hidden = (b"content-length",) if client else (b"content-length", b":status")
        self.latest: Headers = []

    def decode(self, data: bytes, raw: bool = False) -> Any:
        fields = super().decode(data, raw=True)
        self.latest = [(bytes(field[0]), bytes(field[1])) for field in fields]
        return [field for field in fields if field[0] not in self._hidden]


def find_error(fields: Headers, kind: SectionKind) -> str:
    """Return why a field section is malformed, or an empty string."""
    pseudo: dict[bytes, bytes] = {}
    host, regular_seen = None, False
    for name, value in fields:
        if not _NAME.fullmatch(name):
            return f"field name {name[:40]!r}"
        if _INVALID_VALUE.search(value):
            return f"value of {name[:40]!r}"
        if name[0] == 58:  # colon
            if regular_seen:
                return f"{name.decode()} after a regular field"
            if name in pseudo:
                return f"{name.decode()} twice"
            pseudo[name] = value
            continue
        regular_seen = True
        if name in _CONNECTION_FIELDS or (name == b"te" and value.lower() != b"trailers"):
            return f"{name.decode()} does not belong into HTTP/2"
        if name == b"host":
            if host is not None and host != value:
                return "two hosts"
            host = value
    if kind is SectionKind.TRAILERS:
        return "pseudo-field in trailers" if pseudo else ""
    if kind is SectionKind.RESPONSE:
        if pseudo.keys() != {b":status"} or not _STATUS.fullmatch(pseudo[b":status"]):
            return "a response has a :status of three digits and no other pseudo-field"
        return ""
    return _find_request_error(pseudo, host)


def _find_request_error(pseudo: dict[bytes, bytes], host: bytes | None) -> str:
    if unknown := [name for name in pseudo if name not in _REQUEST_PSEUDO_FIELDS]:
        return f"pseudo-field {unknown[0].decode()}"
    if not pseudo.get(b":method"):
        return "no :method"
    if pseudo[b":method"] == b"CONNECT":
        return "" if pseudo.keys() == {b":method", b":authority"} else "CONNECT has :method and :authority only"
    if not pseudo.get(b":scheme"):
        return "no :scheme"
    path = pseudo.get(b":path", b"")
    if not path.startswith(b"/") and not (path == b"*" and pseudo[b":method"] == b"OPTIONS"):
        return f":path {path[:40]!r}" if path else "no :path"
    if host is not None and pseudo.get(b":authority", host) != host:
        return "host and :authority differ"
    return ""


def content_length(fields: Headers) -> int | None:
    """Return the declared length of the body, or None. ValueError if it is not a number or the fields disagree."""
    values = {value for name, value in fields if name == b"content-length"}
    if not values:
        return None
    lengths = {int(value) for value in values if _DIGITS.fullmatch(value)}
    if len(lengths) != 1 or not all(_DIGITS.fullmatch(value) for value in values):
        raise ValueError("content-length")
    return lengths.pop()
