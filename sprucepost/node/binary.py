"""The codec of messages to and from owners: length, type, task id and parameters, all big-endian. No I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from sprucepost.node.framing import MAX_MESSAGE_BYTES, Framing, Malformed, MessageTooLong

_HEADER = struct.Struct(">HBQ")
_PARAMETER_HEADER = struct.Struct(">BH")
_LENGTH_BYTES = 2  # of the length field, which does not count itself


class Kind(IntEnum):
    """Message types."""

    SETUP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASED = 16
    NOTE = 44
    MOVE = 51
    TEST = 52
    TESTED = 53


class Code(IntEnum):
    """Parameter codes."""

    CLASS = 180
    LEFT = 183
    TENANT = 186
    NAME = 192
    FIGURES = 195
    STAY_AWAY = 198
    KEY = 219
    CAUSE = 222
    DESCRIPTION = 225


@dataclass(frozen=True, slots=True)
class Message:
    """One message; ``task`` is the task's id, 16 hex digits in lower case, and ``parameters`` are by their code."""

    kind: int
    task: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int | None:
        """The cause; None where there is none, or not one of a single byte."""
        value = self.parameters.get(Code.CAUSE, b"")
        return value[0] if len(value) == 1 else None


class Decoder(Framing[Message]):
    """Decodes what an owner sends."""

    def _message_end(self, data: bytearray, at: int) -> int | None:
        if len(data) - at < _LENGTH_BYTES:
            return None
        length = int.from_bytes(data[at : at + _LENGTH_BYTES], "big")
        if not _HEADER.size - _LENGTH_BYTES <= length <= MAX_MESSAGE_BYTES - _LENGTH_BYTES:
            raise Malformed(f"message length {length} is out of range")
        end = at + _LENGTH_BYTES + length
        return end if end <= len(data) else None

    def _parse(self, data: bytes) -> Message:
        return _parse(data)


def _parse(data: bytes) -> Message:
    _, kind, task = _HEADER.unpack_from(data)
    parameters: dict[int, bytes] = {}
    at = _HEADER.size
    while at < len(data):
        if at + _PARAMETER_HEADER.size > len(data):
            raise Malformed("parameter has no whole header")
        code, length = _PARAMETER_HEADER.unpack_from(data, at)
        at += _PARAMETER_HEADER.size
        if at + length > len(data):
            raise Malformed(f"parameter {code} is longer than its message")
        if code in parameters:
            raise Malformed(f"parameter {code} comes twice")
        parameters[code] = data[at : at + length]
        at += length
    return Message(kind, f"{task:016x}", parameters)


def encode(kind: Kind, task: str, parameters: Iterable[tuple[Code, bytes]] = ()) -> bytes:
    """Encode one message; raises MessageTooLong."""
    body = b"".join(_PARAMETER_HEADER.pack(code, len(value)) + value for code, value in parameters)
    size = _HEADER.size + len(body)
    if size > MAX_MESSAGE_BYTES:
        raise MessageTooLong(size)
    return _HEADER.pack(size - _LENGTH_BYTES, kind, int(task, 16)) + body
