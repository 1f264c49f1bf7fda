"""gRPC status codes, the error that carries one, and how HTTP/2 and HTTP failures map to them.

Source: the gRPC documents "Status codes and their use in gRPC", "gRPC over HTTP2" and "HTTP to gRPC status code
mapping".
"""

from __future__ import annotations

import re
from enum import IntEnum
from urllib.parse import unquote_to_bytes


class Code(IntEnum):
    """gRPC status codes."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class RpcError(Exception):
    """A call that ended with a status other than OK.

    ``unprocessed`` is True only if the peer is known not to have processed the call, so that it may be retried.
    """

    def __init__(self, code: Code, message: str = "", unprocessed: bool = False) -> None:
        super().__init__(f"{code.name}: {message}" if message else code.name)
        self.code, self.message, self.unprocessed = code, message, unprocessed


HTTP_TO_CODE = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}

REFUSED_STREAM = 7  # HTTP/2 error code
H2_TO_CODE = {
    REFUSED_STREAM: Code.UNAVAILABLE,
    8: Code.CANCELLED,  # CANCEL
    11: Code.RESOURCE_EXHAUSTED,  # ENHANCE_YOUR_CALM
    12: Code.PERMISSION_DENIED,  # INADEQUATE_SECURITY
}


def parse_code(text: str) -> Code:
    """Return the code in a ``grpc-status`` header; UNKNOWN if it is invalid."""
    return Code(int(text)) if text.isdecimal() and int(text) in Code._value2member_map_ else Code.UNKNOWN


_ESCAPED = re.compile(rb"[^\x20-\x24\x26-\x7e]")


def percent_encode(text: str) -> str:
    """Encode a ``grpc-message``: UTF-8, with ``%`` and all bytes but printable ASCII as ``%XX``."""
    raw = text.encode("utf-8", "replace")
    return _ESCAPED.sub(lambda match: b"%%%02X" % match[0][0], raw).decode("ascii")


def percent_decode(text: str) -> str:
    """Decode a ``grpc-message``; invalid escapes are kept as they are."""
    return unquote_to_bytes(text.encode("utf-8", "surrogateescape")).decode("utf-8", "replace")
