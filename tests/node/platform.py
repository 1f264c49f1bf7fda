"""A simulated platform on one loop: owners, hosts and the bulletin around a real placer."""

from __future__ import annotations

import json
import os
import re
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from sprucepost.loop import Acceptor, Co, Scope, Sock, Transport, connect, current, in_scope
from sprucepost.loop.epoll import EpollLoop
from sprucepost.node import binary, jsonl
from sprucepost.node.binary import Code, Kind, Message
from sprucepost.node.config import read_config
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.log import Log
from sprucepost.node.service import Service
from tests.wire.support import wait_for

DESCRIPTION = '\r\nm=audio \u00e9 \\ " \u0001'  # one character of each kind that JSON escapes


def settings(**changes: Any) -> dict[str, Any]:
    """The settings object of a placer's configuration."""
    classes = [
        {"name": "web", "objective": 400.0, "deadline": 3000.0, "effect": "pure", "worth": 3.0},
        {"name": "bill", "objective": 400.0, "deadline": 3000.0, "effect": "token", "worth": 9.0, "window": 2500.0},
    ]
    return {
        "areas": ["room-a", "room-b"],
        "skus": ["std"],
        "classes": classes,
        "me": 0,
        "n_instances": 1,
        "zone": 0,
        "membership_mode": "push",
        "granularity": 2.0,
        "report": {"fields": ["x0", "x1", "backlog"], "how": "inline"},
        "policy_limits": {
            "max_attempts": 3, "connect_timeout": 250.0, "keepalive": 30000.0, "max_retry_after": 1000.0
        },
        "rules": {"fall": 2000.0, "warm_after": 5000.0, "ask_every": 2000.0, "drain_grace": 1000.0},
        "family_info": {
            "cores_by_kind": [32], "memory_by_kind": [64.0], "admit_cores": 1.5, "accepts_memory": 1.5,
            "cold_bears": 12.0, "free_in_list": True, "measured_by": "asked", "yes_at": "accepted",
        },
        **changes,
    }  # fmt: skip


def setup(sid: str, **changes: Any) -> bytes:
    """An encoded set-up; parameters given as None are left out."""
    values: dict[Code, Any] = {
        Code.CLASS: "web",
        Code.LEFT: "3000",
        Code.NAME: f"task-{sid[-4:]}",
        Code.FIGURES: "cores:1;memory:2;service:00000000b4d65521",
        Code.DESCRIPTION: sid + DESCRIPTION,
    } | {Code[name]: value for name, value in changes.items()}
    parameters = [
        (code, value if isinstance(value, bytes) else value.encode()) for code, value in values.items() if value
    ]
    return binary.encode(Kind.SETUP, sid, parameters)


class Link:
    """The platform's end of a connection; collects the decoded messages in ``received``."""

    def __init__(self, transport: Transport, decoder: Any, take: Callable[[Link, Any], None]) -> None:
        self.transport, self.received, self.ended = transport, [], False  # type: tuple[Transport, list[Any], bool]

        def data(raw: bytes) -> None:
            for item in decoder.feed(raw):
                self.received.append(item)
                take(self, item)

        transport.on_data, transport.on_end, transport.on_lost = data, self._end, lambda error: self._end()
        transport.start()

    def _end(self) -> None:
        self.ended = True
        self.transport.close()

    def send(self, message_type: MessageType, sid: str, attrs: dict[str, str] | None = None, **more: Any) -> None:
        """Send a host's message."""
        text = more.get("text")
        self.transport.write(
            jsonl.encode(message_type, sid, attrs, more.get("code"), jsonl.quoted(text) if text is not None else None)
        )


class Host:
    """A simulated host; ``on_open`` handles a set-up, by default with an answer that has the host's description."""

    def __init__(self, platform: Platform, uid: str, port: int = 0) -> None:
        self.platform, self.uid = platform, uid
        self.links: list[Link] = []
        self.on_open: Callable[[Link, Line], None] = lambda link, line: link.send(
            MessageType.READY, line.sid, text=self.description_for(line.sid)
        )
        self.answers_probes = True  # whether it answers health checks
        self.acceptor = Acceptor(platform.loop, platform.loop.listen(("127.0.0.1", port)), self._take)
        assert isinstance(self.acceptor.address, tuple)
        self.port = self.acceptor.address[1]

    def description_for(self, sid: str) -> str:
        """The description in this host's answer to that task."""
        return f"by {self.uid} for {sid}{DESCRIPTION}"

    def _take(self, sock: Sock) -> None:
        self.links.append(Link(Transport(self.platform.loop, sock), jsonl.Decoder(), self._line))

    def _line(self, link: Link, line: Line) -> None:
        if line.type is MessageType.OPEN:
            self.on_open(link, line)
        elif line.type is MessageType.PROBE and self.answers_probes:
            link.send(MessageType.PROBED, line.sid, code=1)

    def lines(self, message_type: MessageType) -> list[Line]:
        """The messages of that type that this host has received, on all its connections."""
        return [line for link in self.links for line in link.received if line.type is message_type]

    def die(self) -> None:
        """End the host's process: nothing listens any more, and its connections are reset."""
        self.acceptor.close()
        for link in self.links:
            link.transport.abort()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """The host's entry in the bulletin."""
        return {
            "uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": "room-a", "model": "std", "pod_group": 0,
            "state": "SERVING", "capacity_hint": 1, "boot_ms": 0, "open": [32.0, 64.0], **changes,
        }  # fmt: skip


class BulletinServer:
    """The bulletin's server; ``requests`` holds the number ``after`` of each request.

    ``mode`` sets how it treats a request: "answers" it once there is an event, stays "silent", "breaks" off the response, or
    is "hasty" and answers at once.
    """

    def __init__(self, platform: Platform) -> None:
        self.platform, self.items, self.requests = platform, [], []  # type: tuple[Platform, list[Any], list[int]]
        self.mode = "answers"
        self._waiting: list[tuple[Transport, int]] = []
        self.acceptor = Acceptor(platform.loop, platform.loop.listen(("127.0.0.1", 0)), self._take)
        self.address = f"127.0.0.1:{self.acceptor.address[1]}"

    def publish(self, *entries: dict[str, Any], everything: bool = False) -> None:
        """Publish an event; ``everything`` makes it a full list."""
        number = len(self.items) + 1
        self.items.append({"no": number, "roster": {"rev": number, "all": everything, "targets": list(entries)}})
        waiting, self._waiting = self._waiting, []
        for transport, after in waiting:
            self._answer(transport, after)

    def document(self, after: int = 0) -> dict[str, Any]:
        """The document with the events after that number."""
        return {"no": len(self.items), "items": self.items[after:]}

    def _take(self, sock: Sock) -> None:
        transport = Transport(self.platform.loop, sock)
        read = bytearray()

        def take(data: bytes) -> None:
            read.extend(data)
            if read.endswith(b"\r\n\r\n"):
                self._question(transport, bytes(read))
                read.clear()

        transport.on_data = take
        transport.start()

    def _question(self, transport: Transport, data: bytes) -> None:
        found = re.match(rb"GET /bulletins\?after=(\d+)&patience=(\d+) ", data)
        assert found is not None, data
        after = int(found[1])
        self.requests.append(after)
        if self.mode == "silent":
            return
        if after < len(self.items) or self.mode == "hasty":
            self._answer(transport, after)
        else:
            self._waiting.append((transport, after))
            self.platform.loop.call_later(float(found[2]), lambda: self._answer_late(transport, after))

    def _answer_late(self, transport: Transport, after: int) -> None:
        if (transport, after) in self._waiting:
            self._waiting.remove((transport, after))
            self._answer(transport, after)

    def _answer(self, transport: Transport, after: int) -> None:
        body = json.dumps(self.document(after)).encode()
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        if self.mode == "breaks":
            transport.write(head + body[:-20])
            transport.close()
        else:
            transport.write(head + body)


class Platform:
    """A placer, with the hosts and the bulletin around it."""

    def __init__(self, loop: EpollLoop, scope: Scope, folder: Path) -> None:
        self.loop, self._scope, self.folder = loop, scope, folder
        self.bulletin = BulletinServer(self)
        self.hosts: dict[str, Host] = {}
        self.lines: list[str] = []
        self.service: Service

    def host(self, uid: str, port: int = 0) -> Host:
        """Add a host; port 0 means any free one."""
        host = self.hosts[uid] = Host(self, uid, port)
        return host

    def environment(self, **changes: Any) -> Mapping[str, str]:
        """Write the configuration file with these changes, and return the environment that names it."""
        path = self.folder / "config.json"
        path.write_text(json.dumps({
            "name": "n0", "listen": _free_address(self.loop), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64}, "bulletin": self.bulletin.address,
            "known": self.bulletin.document(), "settings": settings(), **changes,
        }))  # fmt: skip
        return {"BALANCER_CONFIG": str(path)}

    def start(self, **changes: Any) -> None:
        """Start the placer; its configuration knows the hosts added so far."""
        if not self.bulletin.items:
            self.bulletin.publish(*(host.entry() for host in self.hosts.values()), everything=True)
        environment = self.environment(**changes)
        config = read_config(environment)
        self.service = Service(self.loop, self._scope, environment, config, Log(self.loop, "n0", self.lines.append))
        self._scope.spawn(self.service.run(), "placer")

    def spawn(self, what: Co[None], name: str) -> None:
        """Run a coroutine beside the test until the test ends."""
        self._scope.spawn(what, name)

    def owner(self) -> Co[Link]:
        """Connect an owner to the placer."""
        task = yield from current()
        transport = yield from connect(self.loop, task, self.service.config.listen, 1000.0)
        return Link(transport, binary.Decoder(), lambda link, message: None)

    def standing(self) -> int:
        """The number of accepted tasks that have not been released."""
        return sum(map(len, self.service.tasks.placed.values()))


def messages_for(owner: Link, sid: str) -> list[Message]:
    """The messages about a task that an owner has received."""
    return [message for message in owner.received if message.task == sid]


def wait_for_message(owner: Link, sid: str, kind: Kind, limit_ms: float = 3000) -> Co[Message]:
    """Wait until the owner has received a message of that kind about the task, and check that there is only one."""
    yield from wait_for(lambda: any(m.kind == kind for m in messages_for(owner, sid)), limit_ms)
    found = [message for message in messages_for(owner, sid) if message.kind == kind]
    assert len(found) == 1
    return found[0]


def _free_address(loop: EpollLoop) -> str:
    """An address for the placer, which it takes only later: on a loopback address of this process, so that no listener of
    another run, nor a host of this one, gets the port meanwhile."""
    pid = os.getpid()
    listener = loop.listen((f"127.{64 + pid % 128}.{pid // 128 % 256}.1", 0))
    listener.close()
    assert not isinstance(listener.address, str)
    host, port = listener.address
    return f"{host}:{port}"


def run_on_platform(folder: Path, body: Callable[[Platform], Co[None]], loop: EpollLoop | None = None) -> None:
    """Run a test's coroutine with a platform on one loop, which is closed afterwards."""
    loop = loop or EpollLoop(1)

    def main(scope: Scope) -> Co[None]:
        yield from body(Platform(loop, scope, folder))
        scope.cancel()

    try:
        loop.run(lambda: in_scope(main))
    finally:
        loop.close()
