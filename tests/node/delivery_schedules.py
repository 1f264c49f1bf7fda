"""Random schedules of connections that end around messages that must take effect, with an oracle that knows what was read.

Several clients, most of them at one address, have connections of their own to one placer; each has its own record of what
it has read. Drawn are connections that are closed and reset by clients (what lies unread there is lost) and by the host,
tests, set-ups, ends of tasks by hosts and by clients, deaths of the host's process, a late loop, and pairs of these in one
step; by seed, clients confirm releases, what one poll finds is handled in the reverse order, and the placer has a third of a
core.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from sprucepost.loop import Co
from sprucepost.node import binary
from sprucepost.node.binary import Kind
from tests.node.plays import END_DUE_MS, RELEASE_DUE_MS
from tests.node.virtual_platform import STEP_MS, OwnerConnection, Process, VirtualPlatform, run_on_virtual_platform

LENGTH_MS, QUIET_MS = 6000.0, 9500.0
LATE_MAX_MS = 500.0
CROSSING_MS = 100.0  # a release that was read on a connection which stays open for so long is delivered
CLIENTS = 4


@dataclass(eq=False)
class Client:
    """A client: its connections, with the time since which each has been usable for releases."""

    address: str
    confirms: bool
    connections: dict[OwnerConnection, float] = field(default_factory=dict)
    ended_at: dict[OwnerConnection, float] = field(default_factory=dict)


@dataclass(eq=False)
class Task:
    """A task as its client and its host know it. Times are ms of the loop's clock."""

    sid: str
    client: Client
    connection: OwnerConnection  # that brought it
    process: Process | None = None
    is_known: bool = False  # its client has read the answer
    told: dict[OwnerConnection, float] = field(default_factory=dict)
    known_over_at: float | None = None  # by then the placer has been told of its end, or concludes it
    over_at: float = 0.0
    ended_by_client_at: float | None = None


class DeliverySchedule:
    """One random schedule; ``play`` returns what the oracle has found."""

    platform: VirtualPlatform
    process: Process

    def __init__(self, seed: int) -> None:
        self.seed, self.rng = seed, random.Random(seed)
        self.faults: list[str] = []
        self.tasks: dict[str, Task] = {}
        self.next_step: list[Callable[[], None]] = []  # what happens before clients and hosts read what has been sent
        self.late_until = 0.0
        self.disturbed_at = -LATE_MAX_MS  # when the host has ended its connections
        confirms = self.rng.random() < 0.3
        shares_address = [self.rng.random() < 0.8 for _ in range(CLIENTS)]
        self.clients = [
            Client("127.0.2.1" if same else f"127.0.3.{n}", confirms) for n, same in enumerate(shares_address)
        ]

    def play(self, folder: Path) -> list[str]:
        """Run the schedule and return what the oracle has found."""
        run_on_virtual_platform(folder, self._body)
        return [f"seed {self.seed}: {fault}" for fault in self.faults]

    def _body(self, platform: VirtualPlatform) -> Co[None]:
        self.platform, rng = platform, self.rng
        platform.loop.reverses_order, platform.is_sliced = rng.random() < 0.5, rng.random() < 0.3
        platform.on_started, platform.on_ended = self._task_started, self._task_ended
        self.process = platform.start_process("s-0")
        platform.publish(self.process.entry(boot_ms=0), everything=True)
        platform.start_placer()
        for client in self.clients:
            self._connect(client)
        yield from platform.run(100.0)
        actions = self._draw()
        began = platform.loop.time
        while platform.loop.time < began + LENGTH_MS + QUIET_MS and not self.faults:
            calls, self.next_step = self.next_step, []
            for call in calls:
                call()
            while actions and actions[0][0] <= platform.loop.time - began:
                actions.pop(0)[1]()
            yield from platform.run(STEP_MS)
            self._check()

    def _draw(self) -> list[tuple[float, Callable[[], None]]]:
        rng = self.rng
        kinds: list[tuple[Callable[[], None], int]] = [
            (self._submit, rng.randint(6, 20)),
            (self._connect_any, rng.randint(2, 8)),
            (self._close_any, rng.randint(1, 8)),
            (self._end_by_host, rng.randint(2, 12)),
            (self._end_by_client, rng.randint(0, 6)),
            (self._end_and_close, rng.randint(0, 6)),
            (self._end_by_client_and_disturb, rng.randint(0, 4)),
            (self._disturb, rng.choice((0, 0, 1, 2))),
            (self._restart_host, rng.choice((0, 0, 0, 1))),
            (self._be_late, rng.choice((0, 0, 2, 4))),
        ]
        drawn = [(rng.uniform(0.0, LENGTH_MS), call) for call, number in kinds for _ in range(number)]
        return sorted(drawn, key=lambda action: action[0])

    # Clients

    def _connect(self, client: Client) -> OwnerConnection:
        connection = self.platform.connect(self.platform.placers[0], client.address)
        connection.sock.inbox.append(binary.encode(Kind.TEST, "0" * 16, []))
        client.connections[connection] = self.platform.loop.time
        return connection

    def _connect_any(self) -> None:
        self._connect(self.rng.choice(self.clients))

    def _submit(self) -> None:
        client = self.rng.choice(self.clients)
        connection = self.rng.choice(list(client.connections) or [self._connect(client)])
        sid = f"de155aa5{len(self.tasks):08x}"
        self.tasks[sid] = Task(sid, client, connection)
        connection.submit(sid)

    def _close(self, client: Client, connection: OwnerConnection) -> None:
        if connection not in client.connections:
            return
        connection.close(self.rng.choice(("close", "reset")))
        del client.connections[connection]
        client.ended_at[connection] = self.platform.loop.time
        if self.rng.random() < 0.3:
            self._connect(client)

    def _close_any(self) -> None:
        client = self.rng.choice(self.clients)
        if client.connections:
            self._close(client, self.rng.choice(list(client.connections)))

    def _standing(self) -> list[Task]:
        return [task for task in self.tasks.values() if task.process is not None and task.is_known]

    def _end_by_client(self) -> None:
        standing = [task for task in self._standing() if task.client.connections and task.ended_by_client_at is None]
        if standing:
            task = self.rng.choice(standing)
            task.ended_by_client_at = self.platform.loop.time
            self.rng.choice(list(task.client.connections)).end_tasks(task.sid)

    # The host

    def _end_by_host(self, task: Task | None = None) -> None:
        standing = self._standing()
        task = task or (self.rng.choice(standing) if standing else None)
        if task is not None and task.process is not None:
            self.platform.end_task(task.process, task.sid)

    def _end_and_close(self) -> None:
        """Have a task end and the connection that brought it, in either order, at one time, a step or a pause apart."""
        open_there = [task for task in self._standing() if task.connection in task.client.connections]
        if not open_there:
            return
        task = self.rng.choice(open_there)
        calls = [lambda: self._end_by_host(task), lambda: self._close(task.client, task.connection)]
        self.rng.shuffle(calls)
        calls[0]()
        self._soon(calls[1])

    def _end_by_client_and_disturb(self) -> None:
        self._end_by_client()
        self._soon(self._disturb)

    def _soon(self, call: Callable[[], None]) -> None:
        """Do something at once, after a pause of the placer, or a step later and perhaps before such a pause."""
        draw = self.rng.random()
        if draw < 0.5:
            self.next_step += [call, self._be_late] if draw < 0.2 else [call]
            return
        if draw < 0.7:
            self._be_late()
        call()

    def _disturb(self) -> None:
        self.disturbed_at = self.platform.loop.time
        self.platform.end_connections(self.process, self.rng.choice(("close", "reset")))
        for task in self._standing():
            if task.known_over_at is not None and task.known_over_at > self.disturbed_at - CROSSING_MS:
                task.known_over_at = task.over_at + END_DUE_MS

    def _restart_host(self) -> None:
        self.platform.kill(self.process)
        self.process = self.platform.start_process("s-0")
        self.platform.tell(self.process.entry())

    def _be_late(self) -> None:
        self.platform.be_late(self.rng.uniform(STEP_MS, LATE_MAX_MS))
        self.late_until = self.platform.loop.time

    # The oracle

    def _task_started(self, process: Process, sid: str) -> None:
        self.tasks[sid].process, self.tasks[sid].known_over_at = process, None

    def _task_ended(self, process: Process, sid: str) -> None:
        task, now = self.tasks[sid], self.platform.loop.time
        task.process, task.over_at = None, now
        is_disturbed = now - self.disturbed_at < 2 * LATE_MAX_MS or not process.alive
        task.known_over_at = now + END_DUE_MS if is_disturbed else now

    def _check(self) -> None:
        now = self.platform.loop.time
        for client in self.clients:
            for connection in list(client.connections):
                self._read(client, connection)
                if connection.sock.ended:
                    del client.connections[connection]
                    client.ended_at[connection] = now
        for task in self.tasks.values():
            self._check_task(task, now)

    def _read(self, client: Client, connection: OwnerConnection) -> None:
        for at, sid, kind, _ in connection.told:
            task = self.tasks.get(sid)
            if task is None or task.client is not client:
                continue
            if kind == Kind.ANSWER:
                task.is_known = True
            elif kind == Kind.RELEASE:
                self._told(task, connection, at)
                if client.confirms:
                    connection.sock.inbox.append(binary.encode(Kind.RELEASED, sid, []))
        connection.told.clear()

    def _told(self, task: Task, connection: OwnerConnection, at: float) -> None:
        runs = task.is_known and task.process is not None and task.ended_by_client_at is None
        if runs and not self.process.may_be_in_doubt(at - self._lateness()):
            self.faults.append(f"{task.sid} runs, and its client is told that it is over")
        if connection in task.told:
            self.faults.append(f"{task.sid}: told twice on one connection")
        first = task.told.get(task.connection)
        stayed_open_until = task.client.ended_at.get(task.connection, at)
        if first is not None and stayed_open_until > max(first, self.late_until) + CROSSING_MS + self._lateness():
            self.faults.append(f"{task.sid}: told again although it was read where it was brought")
        task.told[connection] = at

    def _lateness(self) -> float:
        return LATE_MAX_MS if self.platform.loop.time < self.late_until + 2 * LATE_MAX_MS else 0.0

    def _check_task(self, task: Task, now: float) -> None:
        if task.ended_by_client_at is not None:
            if task.process is not None and now > task.ended_by_client_at + END_DUE_MS + LATE_MAX_MS:
                self.faults.append(f"{task.sid} runs on, and its client has ended it")
            return
        if task.known_over_at is None or not task.is_known or task.told:
            return
        for since in task.client.connections.values():
            due_from = max(since, task.known_over_at, self.late_until)
            is_expected = due_from + RELEASE_DUE_MS < task.over_at + END_DUE_MS
            if is_expected and now > due_from + RELEASE_DUE_MS:
                self.faults.append(f"{task.sid} is over since {task.over_at:.0f}, and its client has not read of it")
                task.known_over_at = None
                return
