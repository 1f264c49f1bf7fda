"""Takes a capture apart: from HTTP/2 frames to gRPC messages, each with the time at which it was complete.

Shares no code with the placer's connections, so that an error there doesn't hide itself from the checks. Only the
format of the message prefix is the same.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import hpack

from sprucepost.wire.capture import CLOSED, FROM_CLIENT, OPENED, CaptureRecord

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, CONTINUATION = 0, 1, 3, 9


@dataclass(frozen=True)
class Message:
    """One gRPC message.

    ``at`` is in ms. ``order`` counts over the whole capture, so that messages of equal times keep their order. The
    bytes may have been sent up to ``late_ms`` earlier.
    """

    at: float
    order: int
    connection: int
    client: str
    target: str
    path: str
    stream: int
    from_client: bool
    data: bytes
    late_ms: float


@dataclass(frozen=True)
class Closed:
    """The end of a connection; ``at`` in ms."""

    at: float
    order: int
    connection: int
    client: str
    target: str


class _Direction:
    """One direction of one connection."""

    def __init__(self, from_client: bool) -> None:
        self.from_client = from_client
        self.buffer = bytearray()
        self.decoder = hpack.Decoder()
        self.preface_left = len(PREFACE) if from_client else 0  # bytes still to skip
        self.block: tuple[int, bytearray] | None = None  # stream and bytes of an incomplete header block
        self.messages: dict[int, bytearray] = {}  # by stream: bytes of an incomplete message

    def feed(self, data: bytes) -> Iterator[tuple[int, int, bytes]]:
        """Yield (kind, stream, payload) of each frame: DATA without padding, HEADERS as complete blocks."""
        self.buffer += data
        if self.preface_left:
            skipped = min(self.preface_left, len(self.buffer))
            del self.buffer[:skipped]
            self.preface_left -= skipped
        while len(self.buffer) >= 9:
            size = int.from_bytes(self.buffer[:3], "big")
            if len(self.buffer) < 9 + size:
                return
            kind, flags = self.buffer[3], self.buffer[4]
            stream = int.from_bytes(self.buffer[5:9], "big") & 0x7FFFFFFF
            payload = bytes(self.buffer[9 : 9 + size])
            del self.buffer[: 9 + size]
            if kind in (DATA, HEADERS) and flags & 8:
                payload = payload[1 : len(payload) - payload[0]]
            if kind == HEADERS:
                if flags & 32:
                    payload = payload[5:]
                self.block = stream, bytearray(payload)
            elif kind == CONTINUATION and self.block is not None:
                self.block[1].extend(payload)
            if kind in (HEADERS, CONTINUATION):
                if flags & 4 and self.block is not None:
                    stream, block = self.block
                    self.block = None
                    yield HEADERS, stream, bytes(block)
            elif kind in (DATA, RST_STREAM):
                yield kind, stream, payload

    def complete(self, stream: int, data: bytes) -> Iterator[bytes]:
        """Yield the gRPC messages of a stream that this payload of a DATA frame completes."""
        pending = self.messages.setdefault(stream, bytearray())
        pending += data
        while len(pending) >= 5:
            size = int.from_bytes(pending[1:5], "big")
            if len(pending) < 5 + size:
                return
            if pending[0] == 0:  # the protocol compresses no message
                yield bytes(pending[5 : 5 + size])
            del pending[: 5 + size]


@dataclass
class _Connection:
    client: str
    target: str
    to_server: _Direction
    to_client: _Direction
    paths: dict[int, str]


def read_messages(records: Iterator[CaptureRecord]) -> Iterator[Message | Closed]:
    """Yield every message and the end of every connection, in the order of the capture."""
    import json

    connections: dict[int, _Connection] = {}
    order = 0
    for record in records:
        if record.kind == OPENED:
            opened = json.loads(record.data)
            connections[record.connection] = _Connection(
                opened["client"], opened["target"], _Direction(True), _Direction(False), {}
            )
            continue
        connection = connections.get(record.connection)
        if connection is None:
            continue
        if record.kind == CLOSED:
            order += 1
            yield Closed(record.at_ms, order, record.connection, connection.client, connection.target)
            del connections[record.connection]
            continue
        direction = connection.to_server if record.kind == FROM_CLIENT else connection.to_client
        for kind, stream, payload in direction.feed(record.data):
            if kind == HEADERS:
                fields = dict(direction.decoder.decode(payload, raw=True))
                if direction.from_client and b":path" in fields:
                    connection.paths[stream] = bytes(fields[b":path"]).decode("latin-1")
            elif kind == DATA:
                for data in direction.complete(stream, payload):
                    order += 1
                    yield Message(
                        record.at_ms,
                        order,
                        record.connection,
                        connection.client,
                        connection.target,
                        connection.paths.get(stream, ""),
                        stream,
                        direction.from_client,
                        data,
                        record.max_delay_ms,
                    )
