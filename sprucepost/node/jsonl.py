"""The codec of messages to and from hosts: one JSON object per line. No I/O."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from sprucepost.node.framing import MAX_MESSAGE_BYTES, Framing, Malformed, MessageTooLong, is_encodable

_ID = re.compile("[0-9a-fA-F]{16}")


class MessageType(StrEnum):
    """Message types, as in the field ``msg``."""

    OPEN = "open"
    TRYING = "trying"
    READY = "ready"
    CLOSE = "close"
    CLOSED = "closed"
    PROBE = "probe"
    PROBED = "probed"
    EVENT = "event"
    RELOCATE = "relocate"


@dataclass(frozen=True, slots=True)
class Line:
    """One message; ``sid`` is its task's id, 16 hex digits in lower case."""

    type: MessageType
    sid: str
    attrs: dict[str, str] = field(default_factory=dict)
    code: int | None = None
    text: str | None = None


class Decoder(Framing[Line]):
    """Decodes what a host sends."""

    def _message_end(self, data: bytearray, at: int) -> int | None:
        end = data.find(b"\n", at) + 1
        if (end or len(data) + 1) - at > MAX_MESSAGE_BYTES:
            raise Malformed("line is too long")
        return end or None

    def _parse(self, data: bytes) -> Line:
        return _parse(data[:-1])


def _parse(data: bytes) -> Line:
    try:
        raw = json.loads(data.decode("utf-8"))
    except (ValueError, RecursionError):
        raise Malformed("line is not JSON") from None
    if not isinstance(raw, dict):
        raise Malformed("line is not a JSON object")
    type_name, sid, attrs = raw.get("msg"), raw.get("sid"), raw.get("attrs", {})
    code, text = raw.get("code"), raw.get("text")
    if not isinstance(type_name, str) or type_name not in _TYPES:
        raise Malformed("msg is not a known type")
    if not isinstance(sid, str) or not _ID.fullmatch(sid):
        raise Malformed("sid is not 16 hex digits")
    if not isinstance(attrs, dict) or not all(_is_text_or_number(value) for value in attrs.values()):
        raise Malformed("attrs is not an object of strings and numbers")
    if code is not None and (not isinstance(code, int) or isinstance(code, bool)):
        raise Malformed("code is not an integer")
    if text is not None and not (isinstance(text, str) and is_encodable(text)):
        raise Malformed("text is not a string of valid Unicode")
    return Line(_TYPES[type_name], sid.lower(), {key: str(value) for key, value in attrs.items()}, code, text)


_TYPES: dict[str, MessageType] = {each.value: each for each in MessageType}


def _is_text_or_number(value: Any) -> bool:
    if isinstance(value, int) and not isinstance(value, bool):
        return abs(value) < 10**18  # a longer integer is costly to convert, and its consumers would reject it
    return isinstance(value, (str, float))


def quoted(text: str) -> str:
    """Encode a text as a JSON string, without escapes that are not needed."""
    return json.dumps(text, ensure_ascii=False)


def _encode_attrs(attrs: dict[str, str]) -> str:
    """Encode the fields of a message; like :func:`quoted`, without escapes that are not needed."""
    return json.dumps(attrs, ensure_ascii=False, separators=(",", ":"))


def encode(
    message_type: MessageType,
    sid: str,
    attrs: dict[str, str] | None = None,
    code: int | None = None,
    text: str | None = None,
) -> bytes:
    """Encode one message; ``text`` is a JSON string from :func:`quoted`. Raises MessageTooLong."""
    parts = f'{{"msg":"{message_type.value}","sid":"{sid}","attrs":{_encode_attrs(attrs or {})}'
    if code is not None:
        parts += f',"code":{code}'
    if text is not None:
        parts += f',"text":{text}'
    line = (parts + "}\n").encode("utf-8")
    if len(line) > MAX_MESSAGE_BYTES:
        raise MessageTooLong(len(line))
    return line
