"""A capture taken apart: HTTP/2 frames to gRPC messages, with the time at which each was complete.

Nothing here shares code with the placer's own connections, but for the prefix format: what checks must not err with
what is checked.
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
    """One gRPC message. ``order`` counts over the whole capture, so that equal times keep their order."""

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
    """A connection came to its end."""

    at: float
    order: int
    connection: int
    client: str
    target: str


class _Half:
    """One direction of one connection."""

    def __init__(self, from_client: bool) -> None:
        self.from_client = from_client
        self.buffer = bytearray()
        self.decoder = hpack.Decoder()
        self.preface = len(PREFACE) if from_client else 0
        self.block: tuple[int, bytearray] | None = None
        self.messages: dict[int, bytearray] = {}

    def feed(self, data: bytes) -> Iterator[tuple[int, int, bytes]]:
        """(kind, stream, payload) of each frame: DATA unpadded, HEADERS as whole blocks."""
        self.buffer += data
        if self.preface:
            cut = min(self.preface, len(self.buffer))
            del self.buffer[:cut]
            self.preface -= cut
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
        """The gRPC messages that DATA completes."""
        held = self.messages.setdefault(stream, bytearray())
        held += data
        while len(held) >= 5:
            size = int.from_bytes(held[1:5], "big")
            if len(held) < 5 + size:
                return
            if held[0] == 0:  # none of the protocol's messages is compressed
                yield bytes(held[5 : 5 + size])
            del held[: 5 + size]


@dataclass
class _Connection:
    client: str
    target: str
    up: _Half
    down: _Half
    paths: dict[int, str]


def read_messages(records: Iterator[CaptureRecord]) -> Iterator[Message | Closed]:
    """Every message and every connection's end, in the capture's order."""
    import json

    connections: dict[int, _Connection] = {}
    order = 0
    for record in records:
        if record.kind == OPENED:
            who = json.loads(record.data)
            connections[record.connection] = _Connection(who["client"], who["target"], _Half(True), _Half(False), {})
            continue
        connection = connections.get(record.connection)
        if connection is None:
            continue
        if record.kind == CLOSED:
            order += 1
            yield Closed(record.at_ms, order, record.connection, connection.client, connection.target)
            del connections[record.connection]
            continue
        half = connection.up if record.kind == FROM_CLIENT else connection.down
        for kind, stream, payload in half.feed(record.data):
            if kind == HEADERS:
                fields = dict(half.decoder.decode(payload, raw=True))
                if half.from_client and b":path" in fields:
                    connection.paths[stream] = bytes(fields[b":path"]).decode("latin-1")
            elif kind == DATA:
                for data in half.complete(stream, payload):
                    order += 1
                    yield Message(
                        record.at_ms,
                        order,
                        record.connection,
                        connection.client,
                        connection.target,
                        connection.paths.get(stream, ""),
                        stream,
                        half.from_client,
                        data,
                        record.max_delay_ms,
                    )
