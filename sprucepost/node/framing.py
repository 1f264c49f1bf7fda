"""What both sides share: bounds of a message and a close, the one error, and how bytes become messages. No I/O."""

from __future__ import annotations

from typing import Generic, TypeVar

LINGER_MS = 250.0  # a close waits so long for the peer's end: what crosses it does so within 50 ms, and resets nothing
MAX_MESSAGE_BYTES = 16 * 1024  # bytes of one message, its length or line feed included

M = TypeVar("M")


class Malformed(Exception):
    """What came is no message; nothing that follows on that connection can be read."""


class Framing(Generic[M]):
    """Bytes in, in any pieces; messages out, until one cannot be read: then ``error`` is set, and nothing more is taken."""

    def __init__(self) -> None:
        self._data = bytearray()
        self.error: Malformed | None = None

    @property
    def buffered_bytes(self) -> int:
        """Bytes of a message that has not come whole."""
        return len(self._data)

    def feed(self, data: bytes) -> list[M]:
        """The messages that are whole now, in order."""
        if self.error is not None:
            return []
        self._data += data
        found: list[M] = []
        at = 0
        try:
            while (end := self._message_end(self._data, at)) is not None:
                found.append(self._parse(bytes(self._data[at:end])))
                at = end
        except Malformed as error:
            self.error = error
            self._data.clear()
            return found
        del self._data[:at]
        return found

    def _message_end(self, data: bytearray, at: int) -> int | None:
        """Where the message that begins there ends; None while it is not whole, Malformed where it is too long."""
        raise NotImplementedError

    def _parse(self, data: bytes) -> M:
        """One whole message."""
        raise NotImplementedError
