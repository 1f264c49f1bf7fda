"""Stand-ins for the platform's parties as PROTOCOL and DEPLOY describe them: owners, hosts, the bulletin, a network that
can be cut, and the placer as a process of its own. Standard library only; every address is a loopback address."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LOOPBACK = "127.0.0.1"
SLACK_S = 0.05  # every time limit is extended by 50 ms

SETUP, ANSWER, RELEASE, TEST, TESTED = 1, 9, 12, 52, 53
CLASS, LEFT, NAME, FIGURES, STAY_AWAY, KEY, CAUSE, DESCRIPTION = 180, 183, 192, 195, 198, 219, 222, 225


class NotRun(Exception):
    """The case could not run; says why."""


class Record:
    """What was sent, answered and run, in order, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def __call__(self, who: str, text: str) -> None:
        self._file.write(f"{self.now():9.3f} {who}: {text}\n")
        self._file.flush()


def encode(kind: int, task: str, parameters: list[tuple[int, bytes]]) -> bytes:
    """A message of the owners' binary form."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return struct.pack(">HBQ", 9 + len(body), kind, int(task, 16)) + body


def decode(data: bytearray) -> list[tuple[int, str, dict[int, bytes]]]:
    """Take the whole messages off the front of ``data``."""
    found = []
    while len(data) >= 2 and len(data) >= 2 + (length := int.from_bytes(data[:2], "big")):
        _, kind, task = struct.unpack_from(">HBQ", data)
        parameters, at = {}, 11
        while at < 2 + length:
            code, size = struct.unpack_from(">BH", data, at)
            parameters[code] = bytes(data[at + 3 : at + 3 + size])
            at += 3 + size
        found.append((kind, f"{task:016x}", parameters))
        del data[: 2 + length]
    return found


class Task:
    """A task as its owner knows it. Times are seconds of the record."""

    def __init__(self, sid: str, name: str, task_class: str, service: str, left_ms: int) -> None:
        self.sid, self.name, self.task_class, self.service, self.left_ms = sid, name, task_class, service, left_ms
        self.key = ""
        self.description = f"{sid}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
        self.sent_at = 0.0
        self.answers: list[tuple[float, str]] = []  # when, and the host's description
        self.releases: list[tuple[float, int]] = []  # when, and the cause

    def setup(self, at_host: str = "") -> bytes:
        """The set-up; with ``at_host`` the one that says that this host holds the task."""
        figures = f"cores:1;memory:1;service:{self.service}" + (f";at:{at_host}" if at_host else "")
        parameters = [
            (CLASS, self.task_class.encode()),
            (LEFT, str(self.left_ms).encode()),
            (NAME, self.name.encode()),
            (FIGURES, figures.encode()),
            (DESCRIPTION, self.description.encode()),
        ]
        if self.key:
            parameters.insert(3, (KEY, self.key.encode()))
        return encode(SETUP, self.sid, parameters)


class OwnerConnection:
    """A connection of an owner to a placer."""

    def __init__(self, owner: Owner, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.owner, self._reader, self._writer = owner, reader, writer
        self.ended: str = ""  # how it ended; empty while it is open
        self.tests: list[int] = []
        self._reading = asyncio.ensure_future(self._read())

    def send(self, data: bytes) -> None:
        self._writer.write(data)

    def close(self) -> None:
        self._reading.cancel()
        self._writer.close()

    async def _read(self) -> None:
        data = bytearray()
        try:
            while chunk := await self._reader.read(65536):
                data += chunk
                for kind, sid, parameters in decode(data):
                    self.owner.take(self, kind, sid, parameters)
            self.ended = "closed"
        except ConnectionError as error:
            self.ended = f"reset ({type(error).__name__})"
        self.owner.record(self.owner.name, f"its connection was {self.ended}")


class Owner:
    """A client: sends set-ups and notes what it is told."""

    def __init__(self, record: Record, name: str, address: tuple[str, int]) -> None:
        self.record, self.name, self.address = record, name, address
        self.tasks: dict[str, Task] = {}
        self.told: Callable[[Task, int, int], None] = lambda task, kind, cause: None

    async def connect(self) -> OwnerConnection:
        return await self.connect_to(self.address)

    async def connect_to(self, address: tuple[str, int]) -> OwnerConnection:
        reader, writer = await asyncio.open_connection(*address)
        return OwnerConnection(self, reader, writer)

    def submit(self, connection: OwnerConnection, task: Task) -> None:
        self.tasks[task.sid] = task
        task.sent_at = self.record.now()
        self.record(
            self.name, f"sets up {task.sid} ({task.task_class}, service {task.service}, left {task.left_ms} ms)"
        )
        connection.send(task.setup())

    def take(self, connection: OwnerConnection, kind: int, sid: str, parameters: dict[int, bytes]) -> None:
        if kind == TESTED:
            connection.tests.append(parameters[CAUSE][0])
            return
        task = self.tasks.get(sid)
        cause = parameters.get(CAUSE, b"\0")[0]
        what = {ANSWER: "the answer", RELEASE: f"a release, cause {cause}"}.get(kind, f"type {kind}")
        self.record(self.name, f"is told of {sid}: {what}" + ("" if task else " (not one of its tasks)"))
        if task is None:
            return
        if kind == ANSWER:
            task.answers.append((self.record.now(), parameters.get(DESCRIPTION, b"").decode()))
        elif kind == RELEASE:
            task.releases.append((self.record.now(), cause))
        self.told(task, kind, cause)


class HostTask:
    """A task at a host: open until it is answered, standing after that."""

    def __init__(self, sid: str, name: str, link: HostLink) -> None:
        self.sid, self.name, self.link, self.standing = sid, name, link, False


class HostLink:
    """A placer's connection, at the host."""

    def __init__(self, host: Host, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.host, self.reader, self.writer, self.open = host, reader, writer, True
        self.peer = host.peers.get(writer.get_extra_info("peername"), "the placer")

    def send(self, kind: str, sid: str, attrs: dict[str, str] | None = None, **more: Any) -> None:
        if self.open:
            line = {"msg": kind, "sid": sid, "attrs": attrs or {}, **more}
            self.writer.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")


class Host:
    """A host that keeps to the page: it answers a set-up after ``admit_s``, and a task stands until it is released."""

    def __init__(self, record: Record, uid: str, zone: str, cell: int, cores: float, memory: float) -> None:
        self.record, self.uid, self.zone, self.cell, self.cores, self.memory = record, uid, zone, cell, cores, memory
        self.links: list[HostLink] = []
        self.tasks: dict[str, HostTask] = {}
        self.cut: dict[str, float] = {}  # standing tasks that a release of the placer ended, and when
        self.unsent: dict[str, int] = {}  # releases for the next connection
        self.admit_s = 0.02
        self.cancelled_cause = 31  # of its release for a task that a placer has ended
        self.state = "SERVING"
        self.boot_ms = 0.0  # the start in Unix ms, of a host that starts late
        self.address: tuple[str, int] = (LOOPBACK, 0)
        self.listed_address: tuple[str, int] | None = None  # where placers reach it, if through a proxy
        self.peers: dict[
            tuple[str, int], str
        ] = {}  # whose the connections are, by their addresses, where that is known
        self.may_answer: Callable[[HostTask], bool] = lambda task: True
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int] = (LOOPBACK, 0)) -> None:
        self._server = await asyncio.start_server(self._serve, *address)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def die(self) -> None:
        """End the process: nothing listens any more, its connections are reset and its tasks are cut."""
        assert self._server is not None
        self._server.close()
        for link in self.links:
            link.writer.transport.abort()
        self.tasks.clear()
        await asyncio.sleep(0)

    def entry(self, way: Way | None = None) -> dict[str, Any]:
        where = way.address if way is not None else self.listed_address or self.address
        return {
            "uid": self.uid, "endpoint": f"{where[0]}:{where[1]}", "az": self.zone, "model": "std-32",
            "pod_group": self.cell, "state": self.state, "capacity_hint": 4, "boot_ms": self.boot_ms,
            "open": [self.cores, self.memory],
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = HostLink(self, reader, writer)
        self.links.append(link)
        for sid, cause in self.unsent.items():
            link.send("close", sid, code=cause)
        self.unsent.clear()
        try:
            while line := await reader.readline():
                self._take(link, json.loads(line))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        link.open = False
        self.links.remove(link)
        for task in [task for task in self.tasks.values() if task.link is link and not task.standing]:
            self.record(self.uid, f"{task.sid} given up with its connection")
            del self.tasks[task.sid]
        writer.close()

    def _take(self, link: HostLink, line: dict[str, Any]) -> None:
        sid = line["sid"]
        if line["msg"] == "open":
            self.record(self.uid, f"gets the set-up {sid}, left {line['attrs'].get('left')}")
            if self.state != "SERVING" or any(
                task.name == line["attrs"]["key"] and task.standing for task in self.tasks.values()
            ):
                link.send("close", sid, {"note": "not_here"}, code=34)
                return
            task = self.tasks[sid] = HostTask(sid, line["attrs"]["key"], link)
            asyncio.get_running_loop().call_later(self.admit_s, self._answer, task)
        elif line["msg"] == "close":
            task = self.tasks.pop(sid, None)
            if task is None:
                return
            self.record(
                self.uid, f"is told by {link.peer} to end {sid}, which {'stands' if task.standing else 'waits'}"
            )
            if task.standing:
                self.cut[sid] = self.record.now()
            asyncio.get_running_loop().call_later(0.01, self._say_cancelled, sid, link, task.standing)
        elif line["msg"] == "probe":
            link.send("probed", sid, code=1)

    def _say_cancelled(self, sid: str, link: HostLink, stood: bool) -> None:
        """A placer has ended the task, so it was moved or ended by its owner. Its placer may be on any connection."""
        for each in self.links if stood else [link]:
            each.send("close", sid, code=self.cancelled_cause)
        if stood:
            self.unsent[sid] = self.cancelled_cause

    def _answer(self, task: HostTask) -> None:
        if self.tasks.get(task.sid) is not task or not (task.link.open or task.standing):
            return
        task.standing = True
        if self.may_answer(task):
            self.record(self.uid, f"answers {task.sid}: it stands")
            task.link.send("ready", task.sid, text=f"by {self.uid} for {task.sid}")
        else:
            self.record(self.uid, f"{task.sid} stands; its answer never comes")

    def end(self, sid: str, cause: int = 16) -> None:
        """The task comes to its end: released on the connection of its set-up, else on any, and on the next one opened.

        Where the first is gone the host cannot know which placer holds the task, so it says so on all that are open.
        """
        task = self.tasks.pop(sid)
        self.record(self.uid, f"{sid} comes to its end, cause {cause}")
        for link in [task.link] if task.link.open else self.links:
            link.send("close", sid, code=cause)
        self.unsent[sid] = cause

    def holds(self, sid: str) -> bool:
        return sid in self.tasks and self.tasks[sid].standing


class Bulletin:
    """Discovery: numbered events over HTTP/1.1. ``delay_s`` is how long it takes before it answers a question."""

    def __init__(self, record: Record) -> None:
        self.record, self.items, self.delay_s = record, [], 0.0  # type: tuple[Record, list[Any], float]
        self.address: tuple[str, int] = (LOOPBACK, 0)
        self._news = asyncio.Event()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def publish(self, *hosts: Host, everything: bool = False, ways: list[Way] | None = None) -> None:
        number = len(self.items) + 1
        entries = [host.entry(ways[n] if ways else None) for n, host in enumerate(hosts)]
        self.items.append({"no": number, "roster": {"rev": number, "all": everything, "targets": entries}})
        self.record("bulletin", f"event {number}: " + ", ".join(f"{e['uid']} {e['state']}" for e in entries))
        self._news.set()
        self._news = asyncio.Event()

    def document(self, after: int = 0) -> dict[str, Any]:
        return {"no": len(self.items), "items": self.items[after:]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                query = head.split(b" ", 2)[1].decode().partition("?")[2]
                asked = dict(part.split("=") for part in query.split("&"))
                after, patience_s = int(asked["after"]), min(5.0, float(asked["patience"]) / 1000)
                if after >= len(self.items):
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._news.wait(), patience_s)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                body = json.dumps(self.document(after)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()


class Way:
    """The network between a placer and a host. While it is cut, open connections stay open and silent, and new ones never
    come up; what a side has sent is delivered after the cut, unless that side has reset the connection by then."""

    def __init__(self, host: Host, placer: str = "the placer") -> None:
        self._host, self._placer, self._target = host, placer, host.address
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((LOOPBACK, 0))
        self._listener.listen(0)
        self._listener.setblocking(False)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._loop = asyncio.get_running_loop()
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self._fillers: list[socket.socket] = []
        self._is_cut = False
        self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        try:
            near, _ = self._listener.accept()
        except BlockingIOError:
            return
        far = socket.socket()
        far.bind((LOOPBACK, 0))
        self._host.peers[far.getsockname()] = self._placer
        far.connect(self._target)
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs.append((near, far))
        self._watch(near, far)

    def _watch(self, near: socket.socket, far: socket.socket) -> None:
        self._loop.add_reader(near, self._move, near, far)
        self._loop.add_reader(far, self._move, far, near)

    def _move(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            data = source.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self._drop(source, sink, reset=True)
            return
        if not data:
            self._drop(source, sink, reset=False)
            return
        with contextlib.suppress(OSError):  # messages are small against the system's buffers
            sink.sendall(data)

    def _drop(self, source: socket.socket, sink: socket.socket, reset: bool) -> None:
        self._pairs = [pair for pair in self._pairs if source not in pair]
        for sock in (source, sink):
            self._loop.remove_reader(sock)
        if reset:
            sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        for sock in (source, sink):
            sock.close()

    def cut(self) -> None:
        """Cut it: nothing passes, and the queue of connections to take is filled, so that no new one comes up."""
        self._is_cut = True
        self._loop.remove_reader(self._listener)
        for pair in self._pairs:
            for sock in pair:
                self._loop.remove_reader(sock)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def heal(self) -> None:
        self._is_cut = False
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        for near, far in list(self._pairs):
            if near.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):  # the placer has reset it: its bytes are gone
                self._drop(near, far, reset=True)
            else:
                self._watch(near, far)
        self._loop.add_reader(self._listener, self._accept)

    def close(self) -> None:
        self._loop.remove_reader(self._listener)
        self._listener.close()
        for sock in [*self._fillers, *(sock for pair in self._pairs for sock in pair)]:
            self._loop.remove_reader(sock)
            sock.close()


def free_address() -> tuple[str, int]:
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()


class Placer:
    """One placer, started by the line ``run`` of the deploy file as DEPLOY describes it."""

    def __init__(self, record: Record, folder: Path, name: str, settings: dict[str, Any], bulletin: Bulletin) -> None:
        self.record, self.name, self._settings, self._bulletin = record, name, settings, bulletin
        self._folder = folder / name
        self._folder.mkdir()
        self.address = free_address()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Write the configuration and start the process; the bulletin's events so far are ``known``."""
        config = self._folder / "config.json"
        listen = f"{self.address[0]}:{self.address[1]}"
        config.write_text(
            json.dumps(
                {
                    "name": self.name, "listen": listen, "seed": os.urandom(8).hex(),
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "bulletin": f"{self._bulletin.address[0]}:{self._bulletin.address[1]}",
                    "known": self._bulletin.document(), "settings": self._settings,
                }
            )
        )  # fmt: skip
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ, "BALANCER_NAME": self.name, "BALANCER_LISTEN": listen, "BALANCER_CONFIG": str(config),
            "TMPDIR": str(temporary),
        }  # fmt: skip
        with (self._folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.record(self.name, "started")

    async def ready(self) -> None:
        """Wait until it passes a test, for at most 30 s."""
        for _ in range(300):
            with contextlib.suppress(OSError):
                connection = await Owner(self.record, "front", self.address).connect()
                connection.send(encode(TEST, "00000000000000aa", [(CAUSE, b"\0")]))
                for _ in range(20):
                    await asyncio.sleep(0.02)
                    if connection.tests or connection.ended:
                        break
                connection.close()
                if connection.tests == [1]:
                    self.record(self.name, "passes a test")
                    return
            await asyncio.sleep(0.1)
        raise NotRun(f"{self.name} is not ready within 30 s: {self.log_tail()}")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def exit_status(self) -> int | None:
        """The exit status, or None while the process runs."""
        return self.process.poll() if self.process is not None else None

    def log_tail(self, lines: int = 3) -> str:
        return " | ".join((self._folder / "log").read_text(errors="replace").splitlines()[-lines:])

    def log_lines(self) -> list[str]:
        return (self._folder / "log").read_text(errors="replace").splitlines()

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def run_case(folder: Path, case: Callable[[Record, Path], Awaitable[str]], limit_s: float = 110.0) -> int:
    """Run a case: it returns what broke the rule, or an empty text. The exit status is 0, 1, or 2 where it could not run."""
    record = Record(folder / "record.txt")
    record("case", f"TROUBLE={int(TROUBLE)}")

    async def limited() -> str:
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(case(record, Path(temporary)), limit_s)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # the placers are ended on the way out
    try:
        broken = asyncio.run(limited())
    except (NotRun, OSError, TimeoutError) as error:
        record("case", f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        return NOT_RUN
    record("case", f"rule broken: {broken}" if broken else "rule held")
    print(f"rule broken: {broken}" if broken else "rule held")
    return BROKEN if broken else HELD
