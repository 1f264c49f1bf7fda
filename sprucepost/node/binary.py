"""Owners' messages: a length, a type, a task's id and parameters, all big-endian. No I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from sprucepost.node.framing import MAX_MESSAGE_BYTES, Framing, Malformed

_HEAD = struct.Struct(">HBQ")
_PARAMETER = struct.Struct(">BH")
_LENGTH = 2


class Kind(IntEnum):
    """The types of messages."""

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
    """The parameters' codes."""

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
    """One message; ``task`` is its id as 16 hex digits in small letters."""

    kind: int
    task: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int | None:
        """The cause, where there is one of one byte."""
        value = self.parameters.get(Code.CAUSE, b"")
        return value[0] if len(value) == 1 else None


class Decoder(Framing[Message]):
    """An owner's bytes."""

    def _message_end(self, data: bytearray, at: int) -> int | None:
        if len(data) - at < _LENGTH:
            return None
        length = int.from_bytes(data[at : at + _LENGTH], "big")
        if not _HEAD.size - _LENGTH <= length <= MAX_MESSAGE_BYTES - _LENGTH:
            raise Malformed(f"a message of {length} bytes")
        end = at + _LENGTH + length
        return end if end <= len(data) else None

    def _parse(self, data: bytes) -> Message:
        return _message(data)


def _message(data: bytes) -> Message:
    _, kind, task = _HEAD.unpack_from(data)
    parameters: dict[int, bytes] = {}
    at = _HEAD.size
    while at < len(data):
        if at + _PARAMETER.size > len(data):
            raise Malformed("a parameter is cut")
        code, length = _PARAMETER.unpack_from(data, at)
        at += _PARAMETER.size
        if at + length > len(data):
            raise Malformed(f"parameter {code} is longer than its message")
        if code in parameters:
            raise Malformed(f"parameter {code} comes twice")
        parameters[code] = data[at : at + length]
        at += length
    return Message(kind, f"{task:016x}", parameters)


def encode(kind: Kind, task: str, parameters: Iterable[tuple[Code, bytes]] = ()) -> bytes:
    """One message; ValueError where it is longer than a message may be."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in parameters)
    size = _HEAD.size + len(body)
    if size > MAX_MESSAGE_BYTES:
        raise ValueError(f"a message of {size} bytes")
    return _HEAD.pack(size - _LENGTH, kind, int(task, 16)) + body
