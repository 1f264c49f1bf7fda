"""Reads the bytes of each TCP connection on this machine from the kernel (``sock_diag(7)``, ``struct tcp_info``).

Nothing is counted in the processes themselves, so that the measurement costs them nothing.
"""

from __future__ import annotations

import os
import re
import socket
import struct
from dataclasses import dataclass
from pathlib import Path

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST, NLM_F_DUMP = 0x001, 0x300
NLMSG_ERROR, NLMSG_DONE = 2, 3
INET_DIAG_INFO = 2
TCP_ESTABLISHED = 1
RECEIVE_BYTES = 1 << 17

_HEADER = struct.Struct("=IHHII")  # nlmsghdr: length, type, flags, sequence, sender
_REQUEST = struct.Struct("=BBBxI48x")  # inet_diag_req_v2: family, protocol, extensions, states, no address
_PORTS = struct.Struct("!HH")
_INODE = struct.Struct("=I")
_ATTRIBUTE = struct.Struct("=HH")
_BYTES = struct.Struct("=QQ")
_PORTS_AT = 4  # in inet_diag_msg
_INODE_AT = 68
_DIAG_BYTES = 72
_ACKNOWLEDGED_AT = 120  # of tcpi_bytes_acked in tcp_info; tcpi_bytes_received follows

Ports = tuple[int, int]
"""Local and remote port of a connection; all addresses are those of the loopback interface."""


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes of one end of a connection. ``sent``: bytes that the other end has acknowledged."""

    inode: int
    sent: int
    received: int


def connections() -> dict[Ports, Traffic]:
    """All established IPv4 connections. Raises OSError if the kernel refuses the request."""
    found: dict[Ports, Traffic] = {}
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
        body = _REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1), 1 << TCP_ESTABLISHED)
        flags = NLM_F_REQUEST | NLM_F_DUMP
        netlink.send(_HEADER.pack(_HEADER.size + len(body), SOCK_DIAG_BY_FAMILY, flags, 1, 0) + body)
        while _read_datagram(netlink.recv(RECEIVE_BYTES), found):
            pass
    return found


def _read_datagram(data: bytes, found: dict[Ports, Traffic]) -> bool:
    """Read one datagram of the answer. Returns whether more follow."""
    at = 0
    while at < len(data):
        length, kind, *_ = _HEADER.unpack_from(data, at)
        if kind == NLMSG_DONE:
            return False
        if kind == NLMSG_ERROR:
            raise OSError("the kernel refused the request for socket statistics")
        _read_socket(data[at + _HEADER.size : at + length], found)
        at += _aligned(length)
    return True


def _read_socket(message: bytes, found: dict[Ports, Traffic]) -> None:
    ports = _PORTS.unpack_from(message, _PORTS_AT)
    (inode,) = _INODE.unpack_from(message, _INODE_AT)
    at = _DIAG_BYTES
    while at + _ATTRIBUTE.size <= len(message):
        length, kind = _ATTRIBUTE.unpack_from(message, at)
        if kind == INET_DIAG_INFO:
            sent, received = _BYTES.unpack_from(message, at + _ATTRIBUTE.size + _ACKNOWLEDGED_AT)
            found[ports] = Traffic(inode, sent, received)
        at += max(_ATTRIBUTE.size, _aligned(length))


def _aligned(length: int) -> int:
    return (length + 3) & ~3


def inodes(pid: int) -> set[int]:
    """Inodes of the sockets of a process. Raises OSError if it has ended."""
    found = set()
    for descriptor in os.listdir(f"/proc/{pid}/fd"):
        try:
            match = re.fullmatch(r"socket:\[(\d+)\]", str(Path(f"/proc/{pid}/fd/{descriptor}").readlink()))
        except OSError:  # closed in the meantime
            continue
        if match is not None:
            found.add(int(match[1]))
    return found
