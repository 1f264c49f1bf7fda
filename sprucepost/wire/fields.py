"""What a list of HTTP fields must be, by RFC 9113 8.1 to 8.3; and the decoder that h2 gets in place of its own.

h2 takes a malformed list, or a body of another length than declared, for the end of the connection. It is the end of its
stream only (8.1.1): behind a proxy a connection carries the requests of many callers.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Any

import hpack

from sprucepost.wire.metadata import Headers

_NAME = re.compile(
    rb":?[!-9;-@\[-~]+"
)  # 8.2.1: no controls, no space, no capitals, nothing beyond ASCII, no colon within
_BAD_VALUE = re.compile(rb"[\0\n\r]|\A[ \t]|[ \t]\Z")
_STATUS = re.compile(rb"[1-9][0-9][0-9]")
_DIGITS = re.compile(rb"[0-9]{1,18}")
_CONNECTION_FIELDS = frozenset(
    (b"connection", b"proxy-connection", b"keep-alive", b"transfer-encoding", b"upgrade")
)  # 8.2.2
_REQUEST_PSEUDO_FIELDS = frozenset((b":method", b":scheme", b":path", b":authority"))


class SectionKind(Enum):
    REQUEST = "request"
    RESPONSE = "response"
    TRAILERS = "trailers"


class FieldDecoder(hpack.Decoder):
    """Keeps each list as it came (``latest``) and shows h2 the rest of it without what it would judge itself.

    The body's length is not h2's to check, since DATA goes around it, and a request's ``:status`` would be taken for
    an interim response.
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
    """Why the list is malformed; empty where it is not."""
    pseudo: dict[bytes, bytes] = {}
    host, regular = None, False
    for name, value in fields:
        if not _NAME.fullmatch(name):
            return f"field name {name[:40]!r}"
        if _BAD_VALUE.search(value):
            return f"value of {name[:40]!r}"
        if name[0] == 58:  # a colon
            if regular:
                return f"{name.decode()} after a regular field"
            if name in pseudo:
                return f"{name.decode()} twice"
            pseudo[name] = value
            continue
        regular = True
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
    """The declared length of the body, None without one. ValueError where the fields give none or several."""
    found = {value for name, value in fields if name == b"content-length"}
    if not found:
        return None
    numbers = {int(value) for value in found if _DIGITS.fullmatch(value)}
    if len(numbers) != 1 or not all(_DIGITS.fullmatch(value) for value in found):
        raise ValueError("content-length")
    return numbers.pop()
