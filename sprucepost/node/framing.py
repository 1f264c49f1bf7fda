"""Splitting of byte streams into messages, shared by both codecs: size limit, error and incremental decoder. No I/O."""

from __future__ import annotations

from typing import Generic, TypeVar

# How long a closed connection waits for the peer's end of stream. What crosses the close arrives within 50 ms, and it must
# not meet a socket that is closed already, which would reset the connection.
LINGER_MS = 250.0
MAX_MESSAGE_BYTES = 16 * 1024  # one message, including its length field or line feed

M = TypeVar("M")


class Malformed(Exception):
    """The bytes are not a valid message, so nothing that follows on the connection can be decoded."""


class MessageTooLong(ValueError):
    """A message to be sent would exceed ``MAX_MESSAGE_BYTES``."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(f"message of {size_bytes} bytes is longer than {MAX_MESSAGE_BYTES}")


def is_encodable(text: str) -> bool:
    """Return whether the text is valid Unicode; a JSON string may hold half of a surrogate pair."""
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True


class Framing(Generic[M]):
    """Incremental decoder: takes bytes in pieces of any size and returns complete messages.

    After a message that cannot be decoded ``error`` is set, and no more input is accepted.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._start = 0  # of the next message in ``_data``
        self.error: Malformed | None = None

    @property
    def buffered_bytes(self) -> int:
        """Bytes received of messages that have not been returned yet."""
        return len(self._data) - self._start

    def feed(self, data: bytes) -> list[M]:
        """Add received bytes and return the messages that are complete now, in order."""
        self.add(data)
        messages: list[M] = []
        while self._start < len(self._data) and (message := self.next_message()) is not None:
            messages.append(message)
        return messages

    def add(self, data: bytes) -> None:
        """Add received bytes; :meth:`next_message` returns the messages."""
        if self.error is not None:
            return
        if self._start:
            del self._data[: self._start]
            self._start = 0
        self._data += data

    def next_message(self) -> M | None:
        """Return the next complete message, or None if there is none or it cannot be decoded."""
        if self.error is not None:
            return None
        try:
            end = self._message_end(self._data, self._start)
            message = None if end is None else self._parse(bytes(self._data[self._start : end]))
        except Malformed as error:
            self.error = error
            self._data.clear()
            self._start = 0
            return None
        if end is not None:
            self._start = end
        return message

    def has_next(self) -> bool:
        """Return whether :meth:`next_message` would return a message, or find that it cannot be decoded."""
        if self.error is not None:
            return False
        try:
            return self._message_end(self._data, self._start) is not None
        except Malformed:
            return True

    def _message_end(self, data: bytearray, at: int) -> int | None:
        """Return where the message that starts at that offset ends, or None if it is incomplete.

        Raises Malformed if the message is too long.
        """
        raise NotImplementedError

    def _parse(self, data: bytes) -> M:
        """Decode one complete message."""
        raise NotImplementedError
