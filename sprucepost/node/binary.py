"""Owners' messages: a length, a type, a task's id and parameters, all big-endian. No I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from sprucepost.node.bounds import MOST, Malformed

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


class Decoder:
    """Bytes in, in any pieces; messages out, until one cannot be read: then ``error`` is set, and nothing more is taken."""

    def __init__(self) -> None:
        self._data = bytearray()
        self.error: Malformed | None = None

    @property
    def waiting(self) -> int:
        """Bytes of a message that has not come whole."""
        return len(self._data)

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole now, in order."""
        if self.error is not None:
            return []
        self._data += data
        found: list[Message] = []
        at = 0
        try:
            while len(self._data) - at >= _LENGTH:
                length = int.from_bytes(self._data[at : at + _LENGTH], "big")
                if not _HEAD.size - _LENGTH <= length <= MOST - _LENGTH:
                    raise Malformed(f"a message of {length} bytes")
                end = at + _LENGTH + length
                if len(self._data) < end:
                    break
                found.append(_message(bytes(self._data[at:end])))
                at = end
        except Malformed as error:
            self.error = error
            self._data.clear()
            return found
        del self._data[:at]
        return found


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
    if size > MOST:
        raise ValueError(f"a message of {size} bytes")
    return _HEAD.pack(size - _LENGTH, kind, int(task, 16)) + body
