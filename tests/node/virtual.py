"""A loop on virtual time with sockets that lie in memory: what a placer does, in the order of events alone."""

from __future__ import annotations

from collections.abc import Callable

from sprucepost.loop import Address, Listener, Sock
from tests.placing.support import VirtualLoop

Call = Callable[[], None]


class VirtualSock(Sock):
    """One side's end. ``up`` is whether connecting has come through; ``sent`` holds what the other side can read."""

    def __init__(self, peer: str, up: bool = True) -> None:
        self.peer, self.up = peer, up
        self.inbox: list[bytes] = []  # ``b""`` is the other side's end
        self.sent = bytearray()
        self.ended = self.closed = self.was_reset = False
        self.error: OSError | None = None

    def recv(self, most: int) -> bytes | None:
        return self.inbox.pop(0) if self.inbox else None

    def send(self, data: bytes | memoryview) -> int:
        self.sent += data
        return len(data)

    def connect_error(self) -> OSError | None:
        return self.error

    def shutdown_write(self) -> None:
        self.ended = True

    def close(self, reset: bool = False) -> None:
        self.closed = self.ended = True
        self.was_reset = reset


class VirtualListener(Listener):
    """Connections wait in ``backlog`` until they are taken."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.backlog: list[VirtualSock] = []

    def accept(self) -> Sock | None:
        return self.backlog.pop(0) if self.backlog else None

    def close(self) -> None:
        self.backlog.clear()


class SocketLoop(VirtualLoop):
    """What it listens on is in ``listeners``, what it dials in ``dialled``; no dial comes up by itself."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[Address, VirtualListener] = {}
        self.dialled: list[tuple[Address, VirtualSock]] = []
        self._watched: dict[Sock | Listener, tuple[Call | None, Call | None]] = {}

    def listen(self, address: Address, backlog: int = 512) -> Listener:
        listener = self.listeners[address] = VirtualListener(address)
        return listener

    def dial(self, address: Address, source: str | None = None) -> Sock:
        sock = VirtualSock(str(address), up=False)
        self.dialled.append((address, sock))
        return sock

    def arrive(self, address: Address, peer: str, data: bytes = b"") -> VirtualSock:
        """Somebody connects, and sends that; the placer's end of it."""
        sock = VirtualSock(peer)
        if data:
            sock.inbox.append(data)
        self.listeners[address].backlog.append(sock)
        return sock

    def watch(self, sock: Sock | Listener, readable: Call | None, writable: Call | None) -> None:
        if readable is None and writable is None:
            self._watched.pop(sock, None)
        else:
            self._watched[sock] = readable, writable

    def _poll(self, wait_ms: float | None) -> None:
        ready = self._ready_calls()
        if ready:
            self._polled(self.time, 0.0)
        else:
            assert wait_ms is not None, "nothing will ever happen"
            super()._poll(wait_ms)
        for sock, call in ready:
            if sock in self._watched:
                self.guard(call)

    def _ready_calls(self) -> list[tuple[Sock | Listener, Call]]:
        found: list[tuple[Sock | Listener, Call]] = []
        for sock, (readable, writable) in self._watched.items():
            waiting = sock.backlog if isinstance(sock, VirtualListener) else getattr(sock, "inbox", [])
            if readable is not None and waiting:
                found.append((sock, readable))
            elif writable is not None and getattr(sock, "up", True):
                found.append((sock, writable))
        return found
