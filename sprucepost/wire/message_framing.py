"""Length-prefixed gRPC messages: one compression flag byte, four bytes of length, the message, gzip or plain."""

from __future__ import annotations

import zlib

from sprucepost.wire.status import Code, RpcError

PREFIX_BYTES = 5


def encode_message(message: bytes, gzip: bool = False) -> bytes:
    """Encode one message with its prefix, compressed if ``gzip``."""
    if gzip:
        compressor = zlib.compressobj(wbits=31)
        message = compressor.compress(message) + compressor.flush()
    return b"%c%s%s" % (gzip, len(message).to_bytes(4, "big"), message)


def gunzip(data: bytes, max_bytes: int) -> bytes:
    """Decompress at most ``max_bytes``, so that a decompression bomb does not become a large message."""
    decompressor = zlib.decompressobj(wbits=31)
    try:
        message = decompressor.decompress(data, max_bytes + 1)
    except zlib.error as error:
        raise RpcError(Code.INTERNAL, f"compressed message: {error}") from None
    if len(message) > max_bytes:
        raise RpcError(Code.RESOURCE_EXHAUSTED, f"message unpacks to more than {max_bytes} bytes")
    if not decompressor.eof:
        raise RpcError(Code.INTERNAL, "compressed message ends too soon")
    return message


class MessageDecoder:
    """Splits a byte stream into messages. ``gzip`` tells whether the call's headers announced that encoding."""

    def __init__(self, max_bytes: int, gzip: bool = False) -> None:
        self._max_bytes, self._gzip = max_bytes, gzip
        self._buffer = bytearray()
        self.compressed = False  # whether the latest message was compressed

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages that ``data`` completes. RpcError if the stream violates the format or a limit."""
        buffer = self._buffer
        if not buffer and len(data) >= PREFIX_BYTES and len(data) == PREFIX_BYTES + int.from_bytes(data[1:5], "big"):
            # The common case, without a copy.
            return [self._decode(data[0], data[PREFIX_BYTES:], len(data) - PREFIX_BYTES)]
        buffer += data
        messages, offset = [], 0
        while len(buffer) - offset >= PREFIX_BYTES:
            size = int.from_bytes(buffer[offset + 1 : offset + PREFIX_BYTES], "big")
            if size > self._max_bytes:
                raise RpcError(Code.RESOURCE_EXHAUSTED, f"message of {size} bytes, the limit is {self._max_bytes}")
            end = offset + PREFIX_BYTES + size
            if len(buffer) < end:
                break
            messages.append(self._decode(buffer[offset], bytes(buffer[offset + PREFIX_BYTES : end]), size))
            offset = end
        if offset:
            del buffer[:offset]
        return messages

    def _decode(self, flag: int, data: bytes, size: int) -> bytes:
        if size > self._max_bytes:
            raise RpcError(Code.RESOURCE_EXHAUSTED, f"message of {size} bytes, the limit is {self._max_bytes}")
        self.compressed = flag == 1
        if flag == 0:
            return data
        if flag != 1:
            raise RpcError(Code.INTERNAL, f"message flag {flag}: unknown")
        if not self._gzip:
            raise RpcError(Code.INTERNAL, "compressed message on a call without grpc-encoding")
        return gunzip(data, self._max_bytes)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an incomplete message."""
        return len(self._buffer)
