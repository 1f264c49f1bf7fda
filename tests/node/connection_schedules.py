"""Random schedules of what clients send on their connections, in virtual time, and the rules that every connection keeps:

- a client that has a request open or a task placed keeps its connection, and each of its requests gets one outcome;
- any other client gets bytes or the end of its connection within 3 s of its connecting, or of a message that got none.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from pathlib import Path

from sprucepost.loop import Co, sleep
from sprucepost.node import binary
from sprucepost.node.binary import Kind
from tests.node.platform import setup
from tests.node.test_crossings import release
from tests.node.virtual import LISTEN, Placer, VirtualSock, run_virtual

CLIENTS, MAX_ACTIONS, LENGTH_MS, STEP_MS = 10, 8, 5000, 20.0
REACTION_LIMIT_MS = 3000.0
ACTION_KINDS = [
    "set-up", "set-up to wait", "taken back", "useless", "unknown release", "half", "rest", "test", "invalid",
    "handed over", "handed over, unlisted", "end of a task", "leave",
]  # fmt: skip
WANT_NO_ANSWER = ("handed over", "end of a task")


class Client:
    """One connection, and what its client knows."""

    def __init__(self, schedule: ConnectionSchedule, number: int) -> None:
        self._schedule, self.number = schedule, number
        self.address = f"127.0.0.{8 + number % 6}"  # some share theirs
        self.sock: VirtualSock | None = None
        self.open: set[str] = set()  # requests without an outcome
        self.standing: list[str] = []
        self.answered = False  # whether any bytes have come
        self.awaiting_since = 0.0  # since its connecting, or the first message since bytes last came
        self.awaits = self._left = False
        self._half = self._sids = 0
        self._read = 0

    def sid(self) -> str:
        self._sids += 1
        return f"7e{self.number:04x}{self._sids:010x}"

    def act(self, kind: str, now: float) -> None:
        if self.sock is None:
            self.sock = self._schedule.placer.loop.arrive(LISTEN, f"{self.address}:{self.number + 1}")
            self.awaiting_since, self.awaits = now, True
        if self.sock.ended or self._left:
            return
        if self._half:  # only the rest can follow half of a message
            kind = "leave" if kind == "leave" else "rest"
        data = self._data(kind)
        if data is not None:
            self.sock.inbox.append(data)
            if kind not in WANT_NO_ANSWER and (kind == "rest" or not self.awaits) and self.answered:
                self.awaiting_since, self.awaits = now, True

    def _data(self, kind: str) -> bytes | None:
        sid = self.sid()
        if kind in ("set-up", "set-up to wait"):
            self.open.add(sid)
            return setup(sid, CLASS="bill", KEY=sid, LEFT="2000" if kind == "set-up" else "5000")
        if kind == "half":
            self._half = 1
            return release(sid)[:7]
        if kind == "rest":
            rest, self._half = (b"\0" * 4 + release(sid)[11:]) if self._half else None, 0
            return rest
        if kind == "handed over":
            self.standing.append(sid)
            return setup(sid, FIGURES="cores:0.01;memory:0.01;service:s;at:s-0", LEFT=None)
        if kind == "end of a task":
            return release(self.standing.pop()) if self.standing else None
        if kind == "leave":
            self.open.clear()
            self._left = True
            return b""
        return {
            "taken back": setup(sid) + release(sid),
            "useless": binary.encode(Kind.PROGRESS, sid),
            "unknown release": release(sid),
            "test": binary.encode(Kind.TEST, sid),
            "invalid": setup(sid, CLASS="nobody"),
            "handed over, unlisted": setup(sid, FIGURES="cores:1;memory:1;service:s;at:s-none", LEFT=None),
        }[kind]

    def read(self, faults: list[str]) -> None:
        """Read what has come, and check that each request gets one outcome."""
        if self.sock is None or len(self.sock.sent) == self._read:
            return
        self.answered, self.awaits = True, False
        received = binary.Decoder().feed(bytes(self.sock.sent))
        self._read = len(self.sock.sent)
        counts = Counter(message.task for message in received if message.kind == Kind.ANSWER)
        faults.extend(f"{sid} was answered {number} times" for sid, number in counts.items() if number > 1)
        self.open -= {message.task for message in received}

    def check(self, now: float, faults: list[str]) -> None:
        """Check that the connection has not been kept for too long."""
        self.read(faults)
        if self.sock is None:
            return
        if self.sock.ended:
            if self.open:
                faults.append(f"client {self.number}: ended with requests {sorted(self.open)} open")
            self.open.clear()
        elif self.open or self._holds():
            self.awaiting_since = now
        elif self.awaits and now - self.awaiting_since > REACTION_LIMIT_MS:
            faults.append(f"client {self.number}: neither bytes nor an end for {now - self.awaiting_since:.0f} ms")

    def _holds(self) -> bool:
        """Whether the placer holds a task that came on this connection, or sends bytes at the end of this turn."""
        mine = f"{self.address}:{self.number + 1}"
        links = [link for link in self._schedule.placer.service.owners.links if link.transport.peer == mine]
        return any(link.placed_tasks or link.transport.buffered for link in links)


class ConnectionSchedule:
    """One random schedule."""

    placer: Placer

    def __init__(self, seed: int) -> None:
        self._seed, self._rng = seed, random.Random(seed)
        self._clients = [Client(self, number) for number in range(CLIENTS)]
        self._silent_from = self._rng.choice([math.inf, LENGTH_MS / 4])  # when hosts stop to answer
        self._faults: list[str] = []

    def play(self, folder: Path) -> list[str]:
        """Play the schedule and return the rules that were broken."""
        run_virtual(folder, self._body)
        return [f"seed {self._seed}: {fault}" for fault in self._faults]

    def _body(self, placer: Placer) -> Co[None]:
        self.placer = placer
        began = placer.loop.now()
        actions = sorted(
            (self._rng.uniform(0, LENGTH_MS), client.number, self._rng.choice(kinds))
            for client in self._clients
            for kinds in [self._rng.sample(ACTION_KINDS, self._rng.randint(1, 4))]
            for _ in range(self._rng.randint(1, MAX_ACTIONS))
        )
        while (now := placer.loop.now() - began) < LENGTH_MS + 2 * REACTION_LIMIT_MS and not self._faults:
            while actions and actions[0][0] <= now:
                _, number, kind = actions.pop(0)
                self._clients[number].act(kind, now)
            if (
                now < self._silent_from and int(now / STEP_MS) % 10 == 0
            ):  # late enough for requests to be open meanwhile
                placer.serve_hosts()
            yield from sleep(STEP_MS)
            for client in self._clients:
                client.check(placer.loop.now() - began, self._faults)
        for client in self._clients:
            if client.open and client.sock is not None:
                self._faults.append(f"client {client.number}: no outcome for {sorted(client.open)}")
