"""Clients that misuse a placer: what each kind sends, and a raw sender for many connections at full speed.

Runs as a process of its own: ``python -m benchmarks.rude_client_kinds KIND HOST PORT CONNECTIONS SECONDS SOURCE [CLASS
LISTED_HOST]``, where the last two are names of the deployment. The last line of its output is a JSON object with the counts
of :class:`Report`.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import selectors
import socket
import struct
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass

from review.platform_standin import CAUSE, RELEASE, TEST, Task, encode

MESSAGES_PER_CHUNK = 200
REACTION_LIMIT_S = 3.0  # within which each client is owed a refusal, an error or a close
RECONNECT_PAUSE_S = 0.1  # of a client whose connection was closed
RELEASED_CAUSE = [(CAUSE, bytes([16]))]
UNKNOWN_TYPE, UNLISTED_HOST = 77, "s-ffffffff"
LEFT_MS = 2000


@dataclass
class Deployment:
    """Names that the placer knows."""

    task_class: str = "reading-api"
    listed_host: str = "s-00000000"


DEPLOYMENT = Deployment()  # main() sets it from its arguments


def _ids() -> Iterator[str]:
    start = int.from_bytes(os.urandom(6), "big") << 16
    return (f"{(start + n) & (2**64 - 1):016x}" for n in itertools.count(1))


IDS = _ids()


def _set_up(task_class: str = "", service: str = "00000000000000aa", at_host: str = "") -> tuple[str, bytes]:
    sid = next(IDS)
    task = Task(sid, f"rude-{sid}", task_class or DEPLOYMENT.task_class, service, LEFT_MS)
    data = task.setup(at_host)
    figures, small = b"cores:1;memory:1;", b"cores:0.01;memory:0.01;"
    at = data.index(figures) - 2  # the length of the parameter, and that of the message, change with the figures
    grown = len(small) - len(figures)
    (length,) = struct.unpack_from(">H", data, at)
    body = data[2:at] + struct.pack(">H", length + grown) + data[at + 2 :].replace(figures, small)
    return sid, struct.pack(">H", len(body)) + body


def _repeat(make: Callable[[], bytes]) -> Callable[[], bytes]:
    return lambda: b"".join(make() for _ in range(MESSAGES_PER_CHUNK))


def _taken_back() -> bytes:
    sid, data = _set_up()
    return data + encode(RELEASE, sid, RELEASED_CAUSE)


def _new_service() -> bytes:
    return _set_up(service=os.urandom(8).hex())[1]


FLOODS: dict[str, Callable[[], bytes]] = {
    "unknown-type": _repeat(lambda: encode(UNKNOWN_TYPE, next(IDS), [])),
    "unknown-releases": _repeat(lambda: encode(RELEASE, next(IDS), RELEASED_CAUSE)),
    "tests": _repeat(lambda: encode(TEST, next(IDS), [(CAUSE, b"\0")])),
    "invalid-class": _repeat(lambda: _set_up(task_class="no-such-class")[1]),
    "invalid-class-unread": _repeat(lambda: _set_up(task_class="no-such-class")[1]),
    "new-services": _repeat(_new_service),
    "taken-back": _repeat(_taken_back),
    "handed-over": _repeat(lambda: _set_up(at_host=DEPLOYMENT.listed_host)[1]),
    "handed-over-unlisted": _repeat(lambda: _set_up(at_host=UNLISTED_HOST)[1]),
}
"""Full speed, every id new."""

SLOW: dict[str, Callable[[int], bytes]] = {
    "silent": lambda n: b"",
    "one-taken-back": lambda n: _taken_back() if n == 0 else b"",
    "300-taken-back": lambda n: b"".join(_taken_back() for _ in range(300)) if n == 0 else b"",
    "useless-only": lambda n: encode(UNKNOWN_TYPE, next(IDS), []),
    "half-message": lambda n: encode(TEST, next(IDS), [(CAUSE, b"\0")])[:5] if n == 0 else b"",
    "slow-writer": lambda n: _set_up()[1][n : n + 1],
    "releases-then-half": lambda n: (encode(RELEASE, next(IDS), RELEASED_CAUSE) * 2)[9:23],
}
"""What is sent at each interval of ``SLOW_INTERVAL_S``, by the number of the interval."""
SLOW_INTERVAL_S = 0.1


@dataclass
class Report:
    """What became of the clients of one process."""

    connections: int = 0  # opened, with those after a close
    closed: int = 0  # ended by the placer
    unanswered: int = 0  # of those open long enough: neither bytes nor a close within ``REACTION_LIMIT_S``
    sent_bytes: int = 0
    received_bytes: int = 0


class Client:
    """One rude connection, opened again after each close."""

    def __init__(self, kind: str, address: tuple[str, int], source: str, report: Report) -> None:
        self._kind, self._address, self._source, self._report = kind, address, source, report
        self._flood, self._slow = FLOODS.get(kind), SLOW.get(kind)
        self._reads = not kind.endswith("-unread")
        self._pending = b""
        self._intervals = 0
        self.sock: socket.socket | None = None
        self.opened_at = self.reopen_at = 0.0
        self.reacted = False

    def open(self, now: float) -> None:
        self.sock = socket.socket()
        self.sock.bind((self._source, 0))
        self.sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.sock.connect(self._address)
        self.opened_at, self.reacted, self._pending, self._intervals = now, False, b"", 0
        self._report.connections += 1

    def _close(self, now: float) -> None:
        assert self.sock is not None
        self.sock.close()
        self.sock, self.reopen_at = None, now + RECONNECT_PAUSE_S
        self.settle(now)
        self._report.closed += 1

    def settle(self, now: float) -> None:
        """Count the client if it has had no reaction in time."""
        if not self.reacted and now - self.opened_at > REACTION_LIMIT_S:
            self._report.unanswered += 1
        self.reacted = True

    def _next_data(self, now: float) -> bytes:
        if self._flood is not None:
            return self._flood()
        assert self._slow is not None
        if now - self.opened_at < self._intervals * SLOW_INTERVAL_S:
            return b""
        self._intervals += 1
        return self._slow(self._intervals - 1)

    def step(self, now: float) -> None:
        """Read what has come and write what the system takes."""
        if self.sock is None:
            if now >= self.reopen_at:
                self.open(now)
            return
        try:
            if self._reads:
                self._read(now)
            if self.sock is not None:
                self._pending = self._pending or self._next_data(now)
                if self._pending:
                    sent = self.sock.send(self._pending)
                    self._report.sent_bytes += sent
                    self._pending = self._pending[sent:]
        except BlockingIOError:
            return
        except OSError:
            self._close(now)

    def _read(self, now: float) -> None:
        assert self.sock is not None
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        if not data:
            self._close(now)
            return
        self._report.received_bytes += len(data)
        if not self.reacted:
            self.settle(now)


def run(kind: str, address: tuple[str, int], connections: int, seconds: float, source: str) -> Report:
    """Run that many clients of one kind for that long."""
    report = Report()
    clients = [Client(kind, address, source, report) for _ in range(connections)]
    ends_at = time.monotonic() + seconds
    selector = selectors.DefaultSelector()
    while (now := time.monotonic()) < ends_at:
        for client in clients:
            before = client.sock
            client.step(now)
            if client.sock is not before:
                if before is not None:
                    selector.unregister(before) if before.fileno() >= 0 else _forget(selector, before)
                if client.sock is not None:
                    mask = selectors.EVENT_READ | (selectors.EVENT_WRITE if kind in FLOODS else 0)
                    selector.register(client.sock, mask)
        if kind in SLOW or connections > 1:
            selector.select(SLOW_INTERVAL_S / 10 if kind in SLOW else 0.001)
    now = time.monotonic()
    for client in clients:
        if client.sock is not None:
            client.settle(now)
            client.sock.close()
    return report


def _forget(selector: selectors.BaseSelector, closed: socket.socket) -> None:
    """Unregister a socket that is closed already: the system has dropped its descriptor."""
    for key in list(selector.get_map().values()):
        if key.fileobj is closed:
            selector.unregister(closed)
            return


def main() -> None:
    kind, host, port, connections, seconds, source = sys.argv[1:7]
    if sys.argv[7:]:
        DEPLOYMENT.task_class, DEPLOYMENT.listed_host = sys.argv[7:9]
    report = run(kind, (host, int(port)), int(connections), float(seconds), source)
    print(json.dumps(asdict(report)))


if __name__ == "__main__":
    main()
