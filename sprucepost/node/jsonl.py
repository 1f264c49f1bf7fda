"""Hosts' messages: one JSON object a line. No I/O."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from sprucepost.node.framing import MAX_MESSAGE_BYTES, Framing, Malformed

_ID = re.compile("[0-9a-fA-F]{16}")


class MessageType(StrEnum):
    """The types of messages."""

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
    """One message; ``sid`` is its task's id in small letters."""

    type: MessageType
    sid: str
    attrs: dict[str, str] = field(default_factory=dict)
    code: int | None = None
    text: str | None = None


class Decoder(Framing[Line]):
    """A host's bytes."""

    def _message_end(self, data: bytearray, at: int) -> int | None:
        end = data.find(b"\n", at) + 1
        if (end or len(data) + 1) - at > MAX_MESSAGE_BYTES:
            raise Malformed("a line without an end")
        return end or None

    def _parse(self, data: bytes) -> Line:
        return _line(data[:-1])


def _line(data: bytes) -> Line:
    try:
        raw = json.loads(data.decode("utf-8"))
    except (ValueError, RecursionError):
        raise Malformed("a line that is not JSON") from None
    if not isinstance(raw, dict):
        raise Malformed("a line that is not an object")
    word, sid, attrs = raw.get("msg"), raw.get("sid"), raw.get("attrs", {})
    code, text = raw.get("code"), raw.get("text")
    if not isinstance(word, str) or word not in _WORDS:
        raise Malformed("a line of no known type")
    if not isinstance(sid, str) or not _ID.fullmatch(sid):
        raise Malformed("a line without an id")
    if not isinstance(attrs, dict) or not all(_plain(value) for value in attrs.values()):
        raise Malformed("fields that are neither text nor numbers")
    if code is not None and (not isinstance(code, int) or isinstance(code, bool)):
        raise Malformed("a cause that is no number")
    if text is not None and not (isinstance(text, str) and _encodes(text)):
        raise Malformed("a description that is no text")
    return Line(_WORDS[word], sid.lower(), {key: str(value) for key, value in attrs.items()}, code, text)


_WORDS: dict[str, MessageType] = {word.value: word for word in MessageType}


def _plain(value: Any) -> bool:
    if isinstance(value, int) and not isinstance(value, bool):
        return abs(value) < 10**18  # a longer one would be refused as text, and costs
    return isinstance(value, (str, float))


def _encodes(text: str) -> bool:
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True


def quoted(text: str) -> str:
    """A text as JSON, as short as it can be."""
    return json.dumps(text, ensure_ascii=False)


def encode(
    word: MessageType, sid: str, attrs: dict[str, str] | None = None, code: int | None = None, text: str | None = None
) -> bytes:
    """One line; ``text`` is given as :func:`quoted` returned it. ValueError where it is longer than a line may be."""
    parts = f'{{"msg":"{word.value}","sid":"{sid}","attrs":{json.dumps(attrs or {}, separators=(",", ":"))}'
    if code is not None:
        parts += f',"code":{code}'
    if text is not None:
        parts += f',"text":{text}'
    line = (parts + "}\n").encode("utf-8")
    if len(line) > MAX_MESSAGE_BYTES:
        raise ValueError(f"a line of {len(line)} bytes")
    return line
