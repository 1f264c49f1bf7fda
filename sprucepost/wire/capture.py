"""Capture files: the bytes that connections carried, with their times.

The recording proxy writes them and the rule checkers read them. A file is ``SPRCAP2\\n`` followed by records. A record
is big-endian: time (double, wall-clock ms), delay (float, the most ms that the bytes may have waited before the proxy
read them), connection (u32), kind (u8), size (u32), payload. The kinds are 0 opened (payload: JSON object with ``client``
and ``target``), 1 bytes from the client, 2 bytes from the target, 3 closed. Reading stops before an incomplete record at
the end of the file.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass

MAGIC = b"SPRCAP2\n"
_HEADER = struct.Struct(">dfIBI")
OPENED, FROM_CLIENT, FROM_TARGET, CLOSED = range(4)


@dataclass(frozen=True)
class CaptureRecord:
    """One record; ``kind`` is ``OPENED``, ``FROM_CLIENT``, ``FROM_TARGET`` or ``CLOSED``."""

    at_ms: float
    connection: int
    kind: int
    data: bytes
    max_delay_ms: float = 0.0


class CaptureWriter:
    """Writes a capture file through ``write``. Times are wall-clock ms."""

    def __init__(self, write: Callable[[bytes], object]) -> None:
        self._write = write
        self._connections = 0
        write(MAGIC)

    def _put(self, at_ms: float, connection: int, kind: int, data: bytes, max_delay_ms: float = 0.0) -> None:
        self._write(_HEADER.pack(at_ms, max_delay_ms, connection, kind, len(data)) + data)

    def opened(self, at_ms: float, client: str, target: str) -> int:
        """Record a new connection and return its number."""
        self._connections += 1
        self._put(at_ms, self._connections, OPENED, json.dumps({"client": client, "target": target}).encode())
        return self._connections

    def data(self, at_ms: float, connection: int, from_client: bool, data: bytes, max_delay_ms: float = 0.0) -> None:
        """Record bytes that were read from one side, and how long they may have waited before."""
        self._put(at_ms, connection, FROM_CLIENT if from_client else FROM_TARGET, data, max_delay_ms)

    def closed(self, at_ms: float, connection: int) -> None:
        """Record the end of a connection."""
        self._put(at_ms, connection, CLOSED, b"")


def read_capture(data: bytes) -> Iterator[CaptureRecord]:
    """Yield the records of a capture file. ValueError if the file does not begin with the magic bytes."""
    if not data.startswith(MAGIC):
        raise ValueError("not a capture file")
    offset = len(MAGIC)
    while offset + _HEADER.size <= len(data):
        at_ms, max_delay_ms, connection, kind, size = _HEADER.unpack_from(data, offset)
        offset += _HEADER.size
        if offset + size > len(data):
            return
        yield CaptureRecord(at_ms, connection, kind, data[offset : offset + size], max_delay_ms)
        offset += size
