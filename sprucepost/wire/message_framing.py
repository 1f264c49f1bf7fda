"""Length-prefixed gRPC messages: one flag byte, four bytes of length, the message, gzip or plain."""

from __future__ import annotations

import zlib

from sprucepost.wire.status import Code, RpcError

PREFIX = 5


def encode(message: bytes, gzip: bool = False) -> bytes:
    """One message as bytes on a stream."""
    if gzip:
        packer = zlib.compressobj(wbits=31)
        message = packer.compress(message) + packer.flush()
    return b"%c%s%s" % (gzip, len(message).to_bytes(4, "big"), message)


def gunzip(data: bytes, most: int) -> bytes:
    """Unpack at most ``most`` bytes: a small bomb may not become a large message."""
    unpacker = zlib.decompressobj(wbits=31)
    try:
        message = unpacker.decompress(data, most + 1)
    except zlib.error as error:
        raise RpcError(Code.INTERNAL, f"compressed message: {error}") from None
    if len(message) > most:
        raise RpcError(Code.RESOURCE_EXHAUSTED, f"message unpacks to more than {most} bytes")
    if not unpacker.eof:
        raise RpcError(Code.INTERNAL, "compressed message ends too soon")
    return message


class Decoder:
    """Bytes in, whole messages out. ``gzip`` tells whether the call's headers announced that encoding."""

    def __init__(self, most: int, gzip: bool = False) -> None:
        self._most, self._gzip = most, gzip
        self._buffer = bytearray()
        self.compressed = False  # whether the latest message came compressed

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that ``data`` completes; RpcError where the stream breaks the format or a limit."""
        buffer = self._buffer
        if not buffer and len(data) >= PREFIX and len(data) == PREFIX + int.from_bytes(data[1:5], "big"):
            return [self._message(data[0], data[PREFIX:], len(data) - PREFIX)]  # the common case, without a copy
        buffer += data
        found, at = [], 0
        while len(buffer) - at >= PREFIX:
            size = int.from_bytes(buffer[at + 1 : at + PREFIX], "big")
            if size > self._most:
                raise RpcError(Code.RESOURCE_EXHAUSTED, f"message of {size} bytes, the limit is {self._most}")
            end = at + PREFIX + size
            if len(buffer) < end:
                break
            found.append(self._message(buffer[at], bytes(buffer[at + PREFIX : end]), size))
            at = end
        if at:
            del buffer[:at]
        return found

    def _message(self, flag: int, data: bytes, size: int) -> bytes:
        if size > self._most:
            raise RpcError(Code.RESOURCE_EXHAUSTED, f"message of {size} bytes, the limit is {self._most}")
        self.compressed = flag == 1
        if flag == 0:
            return data
        if flag != 1:
            raise RpcError(Code.INTERNAL, f"message flag {flag}: unknown")
        if not self._gzip:
            raise RpcError(Code.INTERNAL, "compressed message on a call without grpc-encoding")
        return gunzip(data, self._most)

    @property
    def held(self) -> int:
        """Bytes of a message that is not whole yet."""
        return len(self._buffer)
