"""A placer on a loop with virtual time and in-memory sockets, so that only the order of events counts."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sprucepost.loop import Address, Co, Listener, Scope, Sock, Task, in_scope
from sprucepost.node import jsonl
from sprucepost.node.config import read_config
from sprucepost.node.jsonl import MessageType
from sprucepost.node.log import Log
from sprucepost.node.service import Service
from tests.node.platform import settings
from tests.placing.support import VirtualLoop

Call = Callable[[], None]

LISTEN, DISCOVERY = ("127.0.0.1", 2905), ("127.0.0.2", 2379)


class VirtualSock(Sock):
    """The placer's end of a connection. ``up`` tells whether it is established; ``sent`` holds what the peer can read."""

    def __init__(self, peer: str, up: bool = True) -> None:
        self.peer, self.up = peer, up
        self.inbox: list[bytes | OSError] = []  # what the peer has sent; ``b""`` is its end of the stream
        self.sent = bytearray()
        self.ended = self.closed = self.was_reset = False
        self.error: OSError | None = None

    def recv(self, most: int) -> bytes | None:
        found = self.inbox.pop(0) if self.inbox else None
        if isinstance(found, OSError):
            raise found
        return found

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
    """A listener whose connections wait in ``backlog`` until they are accepted."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.backlog: list[VirtualSock] = []

    def accept(self) -> Sock | None:
        return self.backlog.pop(0) if self.backlog else None

    def close(self) -> None:
        self.backlog.clear()


class SocketLoop(VirtualLoop):
    """A loop with in-memory sockets: ``listeners`` by address, and all dials in ``dialled``; no dial completes by itself."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[Address, VirtualListener] = {}
        self.dialled: list[tuple[Address, VirtualSock]] = []
        self.reverses_order = False  # whether what one poll finds is handled in the reverse order
        self._watched: dict[Sock | Listener, tuple[Call | None, Call | None]] = {}

    def listen(self, address: Address, backlog: int = 512) -> Listener:
        listener = self.listeners[address] = VirtualListener(address)
        return listener

    def dial(self, address: Address, source: str | None = None) -> Sock:
        sock = VirtualSock(str(address), up=False)
        self.dialled.append((address, sock))
        return sock

    def arrive(self, address: Address, peer: str, data: bytes = b"") -> VirtualSock:
        """A peer connects and sends ``data``; returns the placer's end of the connection."""
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

    def watched(self) -> set[Sock | Listener]:
        """Return the sockets and listeners that are polled."""
        return set(self._watched)

    def _poll(self, wait_ms: float | None) -> None:
        ready = self._ready_calls()
        if ready:
            self._after_poll(self.time, 0.0)
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
        return found[::-1] if self.reverses_order else found


def host_address(number: int) -> tuple[str, int]:
    """The address of the host with that number."""
    return f"10.0.{number // 250}.{number % 250 + 1}", 2905


def known_hosts(hosts: int) -> dict[str, Any]:
    """The bulletin document of a configuration with that many hosts: one full list."""
    entries = [
        {
            "uid": f"s-{n}", "endpoint": "{}:{}".format(*host_address(n)), "az": "room-a", "model": "std",
            "pod_group": n, "state": "SERVING", "boot_ms": 0, "open": [32.0, 64.0],
        }
        for n in range(hosts)
    ]  # fmt: skip
    return {"no": 1, "items": [{"no": 1, "roster": {"rev": 1, "all": True, "targets": entries}}]}


class PlacerScope(Scope):
    """Runs the tasks of one placer in the scope of the test; ``dials`` are those that connect to hosts."""

    def __init__(self, scope: Scope) -> None:
        self._scope = scope
        self.dials: list[Task[Any]] = []

    def spawn(self, co: Co[Any], name: str) -> Task[Any]:
        task = self._scope.spawn(co, name)
        if name.startswith("host "):
            self.dials.append(task)
        return task


class Placer:
    """A whole placer on virtual sockets; its dials are answered only by the test."""

    def __init__(self, loop: SocketLoop, scope: Scope, folder: Path, changes: dict[str, Any]) -> None:
        self.loop = loop
        self.lines: list[dict[str, Any]] = []
        self.path = folder / "config.json"
        self.document: dict[str, Any] = {
            "name": "n0", "listen": "{}:{}".format(*LISTEN), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64}, "bulletin": "{}:{}".format(*DISCOVERY),
            "known": known_hosts(1), "settings": settings(), **changes,
        }  # fmt: skip
        self.path.write_text(json.dumps(self.document))
        environment = {"BALANCER_CONFIG": str(self.path)}
        log = Log(loop, "n0", lambda line: self.lines.append(json.loads(line)))
        self._scope = PlacerScope(scope)
        self.service = Service(loop, self._scope, environment, read_config(environment), log)
        scope.spawn(self.service.run(), "placer")

    def give_up_dials(self) -> None:
        """Close the sockets of the dials that are under way."""
        watched = self.loop.watched()
        for task in self._scope.dials:
            task.cancel()
        for sock in watched - self.loop.watched():
            sock.close()

    def dialled(self, address: Address) -> list[VirtualSock]:
        """The sockets dialled to that address so far."""
        return [sock for to, sock in self.loop.dialled if to == address]

    def serve_hosts(self) -> None:
        """Establish each dial to a host, and have the hosts accept and end each task at once."""
        for address, sock in self.loop.dialled:
            if address == DISCOVERY or sock.closed:
                continue
            sock.up = True
            lines, sock.sent = jsonl.Decoder().feed(bytes(sock.sent)), bytearray()
            for line in lines:
                if line.type is MessageType.OPEN:
                    sock.inbox.append(jsonl.encode(MessageType.READY, line.sid, text=jsonl.quoted("x")))
                    sock.inbox.append(jsonl.encode(MessageType.CLOSE, line.sid, code=16))


def run_virtual(folder: Path, body: Callable[[Placer], Co[None]], **changes: Any) -> None:
    """Run a test's coroutine beside a placer; ``changes`` are applied to its configuration."""
    loop = SocketLoop()

    def main(scope: Scope) -> Co[None]:
        yield from body(Placer(loop, scope, folder, changes))
        scope.cancel()

    loop.run(lambda: in_scope(main))
