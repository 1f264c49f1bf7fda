"""A small cluster around one placer, for the cases from folder 6 on: hosts, owners and the bulletin as stand-ins.

All of them live in one process, on loopback addresses and the real clock. They speak the platform's protocol and do what
its pages allow: a host answers, refuses, notes, releases and repeats a release on the next connection; an owner counts
every answer; the bulletin keeps numbered events. A case bends one of them, or stops, kills or restarts the placer, which is
started with the line ``run`` of the deploy file. Standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0  # of one run
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses

SETUP, ANSWER, RELEASE, RELEASED, TEST, TESTED = 1, 9, 12, 16, 52, 53  # binary types
CLASS, LEFT, NAME, FIGURES, STAY_AWAY, KEY, CAUSE, DESCRIPTION = 180, 183, 192, 195, 198, 219, 222, 225
REFUSALS = (34, 42, 102)  # causes of a release by which the placer says that trying again is harmless


class NotRun(Exception):
    """The case could not run; the message says why."""


def now_ms() -> float:
    """Unix time in ms."""
    return time.time() * 1000.0


class Record:
    """What was sent, answered and run: ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = now_ms()

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line: time since the start in ms, what happened, and its fields."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{now_ms() - self._began:10.1f} {event} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def encode(kind: int, sid: str, parameters: dict[int, bytes]) -> bytes:
    """Encode one message between owners and placers."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters.items())
    return struct.pack(">HBQ", 9 + len(body), kind, int(sid, 16)) + body


def decode(data: bytearray) -> list[tuple[int, str, dict[int, bytes]]]:
    """Remove the complete messages from the front of ``data`` and return their types, ids and parameters."""
    found = []
    while len(data) >= 2 and len(data) >= 2 + int.from_bytes(data[:2], "big"):
        end = 2 + int.from_bytes(data[:2], "big")
        kind, number = struct.unpack(">BQ", data[2:11])
        at, parameters = 11, {}
        while at < end:
            code, length = struct.unpack(">BH", data[at : at + 3])
            parameters[code] = bytes(data[at + 3 : at + 3 + length])
            at += 3 + length
        found.append((kind, f"{number:016x}", parameters))
        del data[:end]
    return found


@dataclass
class Ask:
    """One set-up of an owner, and all that came of it. Times are Unix ms."""

    sid: str
    class_name: str
    service: str
    sent_at: float
    left_ms: float
    name: str
    owner: str = ""
    key: str = ""
    cores: float = 0.5
    memory: float = 1.0
    arrivals: list[tuple[float, str]] = field(default_factory=list)  # whole set-ups read by hosts: when, and which
    refused: set[str] = field(default_factory=set)  # hosts that have refused it, so that it never ran there
    answered_at: float = 0.0
    released: list[tuple[float, int]] = field(default_factory=list)  # when, and the cause
    host: str = ""  # where it stands, by the description of the answer
    ended_at: float = 0.0  # when its host has released it


class Peer(asyncio.Protocol):
    """One connection; ``on_made``, ``on_data`` and ``on_end`` are set by who uses it."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.buffer = bytearray()
        self.on_made: Callable[[Peer], None] = lambda peer: None
        self.on_data: Callable[[Peer], None] = lambda peer: None
        self.on_end: Callable[[Peer], None] = lambda peer: None
        self.closed = True  # until it has come up

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.closed = False
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_made(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.on_data(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.on_end(self)

    def send(self, data: bytes) -> None:
        """Write, unless the connection has ended."""
        if not (self.closed or self.transport.is_closing()):
            self.transport.write(data)

    def close(self) -> None:
        """End the connection in order."""
        if not self.closed:
            self.transport.close()

    def reset(self) -> None:
        """End the connection with a reset, as a dying process does."""
        if not self.closed:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


@dataclass
class Running:
    """A task at a host."""

    ask: Ask
    peer: Peer
    timers: list[asyncio.TimerHandle] = field(default_factory=list)

    def stop(self) -> None:
        """Stop its timers."""
        for timer in self.timers:
            timer.cancel()


class Host:
    """A host: answers each set-up after ``admit_ms``, notes what stands every second, and releases it at its end."""

    def __init__(self, cluster: Cluster, uid: str, rack: int, room: str, address: tuple[str, int] | None) -> None:
        self.cluster, self.uid, self.rack, self.room = cluster, uid, rack, room
        self.address = address or (cluster.ip(), 0)
        self.state, self.boot_ms, self.admit_ms, self.life_s = "SERVING", 0, 15.0, 20.0
        self.free: tuple[float, float] | None = None  # as listed; None: what its tasks leave
        self.refuses = ""  # the note of its refusals, where it has no room
        self.notes_s = (1.0, 1.0)  # between two notes on what a task uses
        self.note_rng = random.Random(f"73 {uid}")
        self._looks_until = 0.0
        self.holds_answers = False  # whether set-ups wait unanswered
        self.peers: list[Peer] = []
        self.open: dict[str, Peer] = {}  # set-ups without an answer
        self.running: dict[str, Running] = {}
        self.unrepeated: list[bytes] = []  # releases to be sent on the next connection
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._peer, *self.address, reuse_address=True)
        self.address = self._server.sockets[0].getsockname()[:2]

    def _peer(self) -> Peer:
        peer = Peer()
        peer.on_made, peer.on_data, peer.on_end = self._repeat, self._read, self._ended
        self.peers.append(peer)
        return peer

    def _repeat(self, peer: Peer) -> None:
        for line in self.unrepeated:
            peer.send(line)
        self.unrepeated.clear()

    def entry(self) -> dict[str, Any]:
        """Its entry in the bulletin."""
        cores, memory = self.cluster.kind
        used = [sum(task.ask.cores for task in self.running.values()), sum(t.ask.memory for t in self.running.values())]
        free = self.free if self.free is not None else (cores - used[0], memory - used[1])
        return {
            "uid": self.uid, "endpoint": f"{self.address[0]}:{self.address[1]}", "az": self.room, "model": "std",
            "pod_group": self.rack, "state": self.state, "capacity_hint": 4, "boot_ms": self.boot_ms, "open": list(free),
        }  # fmt: skip

    def line(self, kind: str, sid: str, **more: Any) -> bytes:
        """One message to a placer."""
        return (json.dumps({"msg": kind, "sid": sid, "attrs": {}, **more}) + "\n").encode()

    def _read(self, peer: Peer) -> None:
        while (end := peer.buffer.find(b"\n") + 1) > 0:
            message = json.loads(peer.buffer[:end])
            del peer.buffer[:end]
            sid = message["sid"]
            if message["msg"] == "open":
                self._opened(peer, sid)
            elif message["msg"] == "probe":
                peer.send(self.line("probed", sid, code=1))
            elif message["msg"] == "close":
                self._cut(peer, sid)

    def _opened(self, peer: Peer, sid: str) -> None:
        ask = self.cluster.asks.get(sid)
        self.cluster.record("set-up-read", host=self.uid, rack=self.rack, sid=sid, state=self.state)
        if ask is None:
            self.cluster.foreign.append(sid)
            return
        ask.arrivals.append((now_ms(), self.uid))
        self.open[sid] = peer
        if not self.holds_answers:  # it looks at one at a time
            loop = asyncio.get_running_loop()
            self._looks_until = max(self._looks_until, loop.time()) + self.admit_ms / 1000.0
            loop.call_at(self._looks_until, self._admit, peer, ask)

    def _admit(self, peer: Peer, ask: Ask) -> None:
        if self.open.get(ask.sid) is not peer:
            return
        del self.open[ask.sid]
        note = "not_here" if self.state != "SERVING" else self.refuses
        if note:
            ask.refused.add(self.uid)
            self.cluster.record("host-refuses", host=self.uid, sid=ask.sid, note=note)
            peer.send(self.line("close", ask.sid, code=34, attrs={"note": note}))
            return
        self.cluster.record("host-answers", host=self.uid, sid=ask.sid)
        peer.send(self.line("ready", ask.sid, text=f"at {self.uid} for {ask.sid}"))
        self.run(ask, peer)

    def run(self, ask: Ask, peer: Peer) -> None:
        """Have a task stand here."""
        loop = asyncio.get_running_loop()
        task = self.running[ask.sid] = Running(ask, peer)
        task.timers = [
            loop.call_later(self.life_s, self.end, ask.sid),
            loop.call_later(0.2, self._note, ask.sid, "runs"),
        ]

    def _note(self, sid: str, note: str) -> None:
        task = self.running.get(sid)
        if task is not None:
            value = {"runs": 1, "cores": task.ask.cores / 2}[note]
            sent = self._tell(task.peer, self.line("event", sid, attrs={"note": note, "value": value}))
            self.cluster.record("host-notes", host=self.uid, sid=sid, note=note, sent=sent)
            if not self.cluster.settings["family_info"]["use_notes"]:
                return
            next_s = self.note_rng.uniform(*self.notes_s)
            task.timers[1] = asyncio.get_running_loop().call_later(next_s, self._note, sid, "cores")

    def _tell(self, peer: Peer, line: bytes) -> bool:
        """Send on the connection of the set-up, or else on any open one."""
        for each in [peer, *self.peers]:
            if not each.closed and each in self.peers:
                each.send(line)
                return True
        return False

    def end(self, sid: str, cause: int = 16) -> None:
        """Release a task that stands here: on a connection now, and on the next one."""
        task = self.running.pop(sid, None)
        if task is not None:
            task.stop()
            task.ask.ended_at = now_ms()
            line = self.line("close", sid, code=cause)
            sent = self._tell(task.peer, line)
            self.unrepeated.append(line)
            self.cluster.record("host-releases", host=self.uid, sid=sid, cause=cause, sent=sent)

    def _cut(self, peer: Peer, sid: str) -> None:
        self.cluster.record("placer-releases-at-host", host=self.uid, sid=sid)
        self.open.pop(sid, None)
        task = self.running.pop(sid, None)
        if task is not None:
            task.stop()
            task.ask.ended_at = now_ms()
            self._tell(task.peer, self.line("close", sid, code=31))

    def _ended(self, peer: Peer) -> None:
        if peer in self.peers:
            self.peers.remove(peer)
        for sid in [sid for sid, at in self.open.items() if at is peer]:
            del self.open[sid]

    def reset_idle(self) -> None:
        """Reset the connections on which no set-up is open."""
        idle = [peer for peer in self.peers if peer not in self.open.values()]
        self.cluster.record("host-resets-idle", host=self.uid, connections=len(idle))
        for peer in idle:
            peer.reset()

    def forget_idle(self) -> None:
        """Forget the connections on which no set-up is open: nothing is read or sent there any more, and nobody is told."""
        idle = [peer for peer in self.peers if peer not in self.open.values()]
        self.cluster.record("host-forgets-idle", host=self.uid, connections=len(idle))
        for peer in idle:
            self.peers.remove(peer)
            peer.on_data = lambda peer: peer.buffer.clear()

    def die(self) -> None:
        """End as a dying process does: nothing listens, connections are reset, tasks are cut."""
        self.cluster.record("host-ends", host=self.uid, open=len(self.open), running=len(self.running))
        if self._server is not None:
            self._server.close()
        for task in self.running.values():
            task.stop()
        self.running.clear()
        self.open.clear()
        for peer in list(self.peers):
            peer.reset()


class Bulletin:
    """The bulletin: numbered events over HTTP/1.1. ``delay_s`` holds every response back."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster, self.items, self.delay_s = cluster, list[dict[str, Any]](), 0.0
        self.address = (cluster.ip(), 0)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._handlers: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    def publish(self, *hosts: Host, whole: bool = False) -> float:
        """Add an event with these hosts' entries; return when."""
        number = len(self.items) + 1
        entries = [host.entry() for host in hosts]
        self.items.append({"no": number, "roster": {"rev": number, "all": whole, "targets": entries}})
        self.cluster.record("listed", no=number, hosts=",".join(f"{e['uid']}:{e['state']}" for e in entries))
        self._changed.set()
        self._changed = asyncio.Event()
        return now_ms()

    def document(self, after: int = 0) -> dict[str, Any]:
        """The events after that number."""
        return {"no": len(self.items), "items": self.items[after:]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._handlers.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = head.split(b" ")[1].partition(b"?")[2].decode()
                fields = dict(part.split("=") for part in query.split("&"))
                after, patience_s = int(fields["after"]), float(fields["patience"]) / 1000.0
                if after >= len(self.items):
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), min(patience_s, 5.0))
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                body = json.dumps(self.document(after)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            self._handlers.discard(task)

    async def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
        handlers = list(self._handlers)
        for task in handlers:
            task.cancel()
        await asyncio.gather(*handlers, return_exceptions=True)


class Owner:
    """A client of the placer with one connection at a time; counts every answer."""

    def __init__(self, cluster: Cluster, name: str, source: str) -> None:
        self.cluster, self.name, self.source = cluster, name, source
        self.peer: Peer | None = None
        self.confirms = True  # whether it says that it has heard a release

    async def connect(self) -> None:
        """Open a connection to the placer."""
        loop = asyncio.get_running_loop()
        placer = self.cluster.placer
        _, peer = await loop.create_connection(Peer, *placer.listen, local_addr=(self.source, 0))
        peer.on_data, peer.on_end = self._read, self._ended
        self.peer = peer

    def _ended(self, peer: Peer) -> None:
        self.cluster.record("owner-connection-ended", owner=self.name)
        if self.peer is peer:
            self.peer = None

    async def _connected(self) -> Peer:
        if self.peer is None or self.peer.closed:
            await self.connect()
        assert self.peer is not None
        return self.peer

    async def ask(
        self, class_name: str, service: str, *, cores: float = 0.5, memory: float = 1.0, left_ms: float = 5000.0
    ) -> Ask:
        """Send a set-up."""
        sid, name = f"{self.cluster.rng.getrandbits(64) | 1:016x}", f"{self.cluster.rng.getrandbits(64):016x}"
        key = f"{self.cluster.rng.getrandbits(128):032x}" if class_name in self.cluster.keyed else ""
        peer = await self._connected()
        ask = Ask(sid, class_name, service, now_ms(), left_ms, name, self.name, key, cores, memory)
        self.cluster.asks[sid] = ask
        peer.send(self._set_up(ask, f"cores:{cores};memory:{memory};service:{service}"))
        self.cluster.record("set-up-sent", owner=self.name, sid=sid, task_class=class_name, service=service)
        return ask

    async def hand_over(self, ask: Ask) -> None:
        """Tell the placer of a task that a host holds already."""
        peer = await self._connected()
        figures = f"cores:{ask.cores};memory:{ask.memory};service:{ask.service};at:{ask.host}"
        peer.send(self._set_up(ask, figures))
        self.cluster.record("handed-over", owner=self.name, sid=ask.sid, host=ask.host)

    def _set_up(self, ask: Ask, figures: str) -> bytes:
        parameters = {
            CLASS: ask.class_name.encode(), LEFT: str(int(ask.left_ms)).encode(), NAME: ask.name.encode(),
            FIGURES: figures.encode(), DESCRIPTION: f"task {ask.name}\r\nc=IN IP4 127.0.0.1\r\n".encode(),
        }  # fmt: skip
        if ask.key:
            parameters[KEY] = ask.key.encode()
        return encode(SETUP, ask.sid, parameters)

    def _read(self, peer: Peer) -> None:
        for kind, sid, parameters in decode(peer.buffer):
            ask = self.cluster.asks.get(sid)
            if ask is not None and ask.owner != self.name:
                self.cluster.record("not-its-own", owner=self.name, sid=sid, kind=kind)
                ask = None
            cause = parameters.get(CAUSE, b"\0")[0]
            if kind == ANSWER and ask is not None:
                ask.answered_at, text = now_ms(), parameters.get(DESCRIPTION, b"").decode()
                ask.host = text.split(" ")[1]
                self.cluster.record("placer-answers", owner=self.name, sid=sid, text=repr(text))
            elif kind == RELEASE:
                if ask is not None:
                    ask.released.append((now_ms(), cause))
                self.cluster.record("placer-releases", owner=self.name, sid=sid, cause=cause)
                if self.confirms:
                    peer.send(encode(RELEASED, sid, {}))

    def close(self) -> None:
        """End its connection in order."""
        if self.peer is not None:
            self.cluster.record("owner-closes", owner=self.name)
            self.peer.close()
            self.peer = None


class Placer:
    """One placer, started with the line ``run`` of the deploy file."""

    def __init__(self, cluster: Cluster, folder: Path) -> None:
        self.cluster, self.folder = cluster, folder
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((cluster.ip(), 0))
            self.listen: tuple[str, int] = sock.getsockname()
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    async def start(self, limits: dict[str, Any] | None = None) -> None:
        """Start it, and wait until it passes a test."""
        self.starts += 1
        bulletin = self.cluster.bulletin
        config = {
            "name": "n1", "listen": f"{self.listen[0]}:{self.listen[1]}", "seed": f"{self.cluster.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **(limits or {})},
            "bulletin": f"{bulletin.address[0]}:{bulletin.address[1]}", "known": bulletin.document(),
            "settings": self.cluster.settings,
        }  # fmt: skip
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        (self.folder / "tmp").mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(self.folder / "tmp"), "BALANCER_NAME": "n1",
            "BALANCER_LISTEN": config["listen"], "BALANCER_CONFIG": str(path),
        }  # fmt: skip
        with (self.folder / f"log-{self.starts}").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.cluster.record("placer-started", pid=self.process.pid)
        for _ in range(600):
            if self.process.poll() is not None:
                raise NotRun(f"the placer has ended with {self.process.returncode}")
            if await self._passes_test():
                self.cluster.record("placer-ready")
                return
            await asyncio.sleep(0.05)
        raise NotRun("the placer is not ready after 30 s")

    async def _passes_test(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.listen, local_addr=("127.0.0.1", 0))
        except OSError:
            return False
        writer.write(encode(TEST, "1" * 16, {CAUSE: b"\0"}))
        data = bytearray()
        with contextlib.suppress(OSError, TimeoutError):
            data += await asyncio.wait_for(reader.read(100), 5.0)
        writer.close()
        return any(kind == TESTED and found.get(CAUSE) == b"\1" for kind, _, found in decode(data))

    def signal(self, number: int) -> None:
        """Send it a signal."""
        if self.process is not None and self.process.poll() is None:
            self.cluster.record("signal", number=signal.Signals(number).name)
            self.process.send_signal(number)

    def check_alive(self) -> None:
        """Raise NotRun if it has ended by itself."""
        if self.process is not None and self.process.poll() is not None:
            raise NotRun(f"the placer has ended with {self.process.returncode}")

    def kill(self) -> None:
        """Kill it, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()


class Cluster:
    """All of it; ``settings`` are those of the deployment, and ``kind`` gives the cores and the memory of a host."""

    def __init__(self, record: Record, folder: Path, settings: dict[str, Any]) -> None:
        self.record, self.settings = record, settings
        self.rng = random.Random(73)
        self.kind = settings["family_info"]["cores_by_kind"][0], settings["family_info"]["memory_by_kind"][0]
        self.keyed = [each["name"] for each in settings["classes"] if each["effect"] == "token"]
        self.asks: dict[str, Ask] = {}
        self.foreign: list[str] = []  # ids of set-ups at hosts that no owner has sent
        self.hosts: dict[str, Host] = {}
        self._ips = 0
        self.bulletin = Bulletin(self)
        self.placer = Placer(self, folder)

    def ip(self) -> str:
        """A loopback address that no other part of this run has."""
        self._ips += 1
        number, process = self._ips, os.getpid()
        return f"127.{64 + process % 64}.{process // 64 % 60 * 4 + number // 250}.{1 + number % 250}"

    async def add_host(self, uid: str, rack: int, room: str, address: tuple[str, int] | None = None) -> Host:
        """Start a host; it is listed by an event of the bulletin."""
        host = self.hosts[uid] = Host(self, uid, rack, room, address)
        await host.start()
        return host

    def owner(self, name: str, source: str = "") -> Owner:
        """An owner that connects from that address."""
        return Owner(self, name, source or self.ip())

    async def start(self, limits: dict[str, Any] | None = None) -> None:
        """List the hosts and start the placer."""
        await self.bulletin.start()
        self.bulletin.publish(*self.hosts.values(), whole=True)
        await self.placer.start(limits)

    async def close(self) -> None:
        """End all of it."""
        self.placer.kill()
        if keep := os.environ.get("KEEP_LOGS"):  # a folder for the placer's logs, to look into a run
            for log in self.placer.folder.glob("log-*"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        await self.bulletin.close()
        for host in self.hosts.values():
            host.die()
        await asyncio.sleep(0.1)


def settings(classes: list[dict[str, Any]], family: dict[str, Any], rules: dict[str, Any]) -> dict[str, Any]:
    """The settings object of a small deployment: three placers, three rooms, one kind of hosts."""
    return {
        "areas": ["room-a", "room-b", "room-c"], "skus": ["std"], "classes": classes, "tenants": [],
        "blend": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "clients": {"marks_retry": False}, "counted_by": "work", "family": "place", "me": 0, "n_instances": 3, "zone": 0,
        "membership_mode": "push", "granularity": 2.0, "over_share_worth": 0.1, "tier": 0, "tiers": ["compute-pool"],
        "weight_kind": "off", "report": {"fields": [], "how": "off"},
        "policy_limits": {
            "cancel": True, "connect_timeout": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
            "keepalive": 30000.0, "max_attempts": 3, "max_open": 1000000, "max_retry_after": 3000.0,
            "may_duplicate": False, "multiplex": 1048576, "peers": False, "probes": True, "retry_after": True,
        },
        "rules": {"answer_slack": 8.0, "ask_every": 10000.0, "cold_from": 0.16, **rules},
        "family_info": {
            "admit_cores": 1.5, "accepts_memory": 1.5, "cold_bears": 112.0, "cores_by_kind": [24],
            "memory_by_kind": [48.0], "free_in_list": True, "makes_room": False, "measured_by": "asked",
            "yes_at": "accepted", "usual_cores": 0.98, "unit_memory": 1.7, "use_notes": True, "pressure_notes": False,
            "class_kind": [-1] * len(classes), "owner_wait": 3000.0, **family,
        },
    }  # fmt: skip


def main(file: str, settings_object: dict[str, Any], body: Callable[[Cluster], Awaitable[list[str]]]) -> None:
    """Run a case: ``body`` returns what breaks the rule, one text each. Exits with the status of the case."""
    folder = Path(file).resolve().parent
    record = Record(folder)

    async def run() -> list[str]:
        with tempfile.TemporaryDirectory() as temporary:
            cluster = Cluster(record, Path(temporary), settings_object)
            try:
                async with asyncio.timeout(LIMIT_S):
                    return await body(cluster)
            finally:
                await cluster.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # of the stand-ins or the case: it says nothing of the placer
        record("not-run", why=repr(error))
        print(f"not run: {error!r}")
        sys.exit(NOT_RUN)
    verdict = f"broken: {len(broken)}" if broken else "held"
    for text in broken:
        record("BROKEN", what=text)
    record(verdict)
    record.close()
    for text in broken[:10]:
        print(text)
    print(verdict)
    sys.exit(BROKEN if broken else HELD)
