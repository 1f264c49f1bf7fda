"""Simulates processes with disks on a network of datagrams, in virtual time.

Datagrams may be late, lost, duplicated and reordered. A disk makes its writes durable in order, each after a delay. A
power cut loses the pending writes, except for a random number of the oldest: records with checksums allow to cut a torn
or reordered tail at its first gap.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.agreement.actions import Send, Write
from sprucepost.simulation.event_queue import EventQueue


class StateMachine(Protocol):
    """The interface of a simulated state machine; each call returns actions."""

    def tick(self, now: float) -> list[Any]: ...
    def receive(self, now: float, peer: str, message: Any) -> list[Any]: ...
    def write_completed(self, now: float, sequence: int) -> list[Any]: ...
    def write_failed(self, now: float) -> list[Any]: ...


class DiskProcess:
    """One process and its disk.

    ``clock_rate`` is the speed of its clock (1: that of virtual time), ``write_ms`` the range of a write's duration.
    """

    def __init__(
        self, name: str, state_machine: StateMachine, clock_rate: float, write_ms: tuple[float, float]
    ) -> None:
        self.name, self.state_machine, self.clock_rate, self.write_ms = name, state_machine, clock_rate, write_ms
        self.alive = True
        self.paused_until = 0.0
        self.fail_next_write = False
        self.pending_writes: list[Write] = []  # oldest first
        self.disk_free_at = 0.0


class DatagramNetwork(EventQueue):
    """A network of processes with disks.

    Calls ``on_durable`` with each write that a restart will find, and ``on_action`` with each action that is neither a
    message nor a write.
    """

    def __init__(
        self,
        seed: int,
        tick_ms: float,
        delay_ms: tuple[float, float],
        on_durable: Callable[[str, Write], None],
        on_action: Callable[[DiskProcess, Any], None],
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.loss = self.duplication = 0.0  # share of datagrams, each
        self.partitions: list[
            Callable[[str, str], bool]
        ] = []  # each tells whether datagrams from one to another are lost
        self.processes: dict[str, DiskProcess] = {}
        self._tick_ms, self._delay_ms = tick_ms, delay_ms
        self._on_durable, self._on_action = on_durable, on_action

    def start(self, process: DiskProcess) -> None:
        """Start a process; an earlier one of that name must have ended."""
        self.processes[process.name] = process
        self.at(self.now + self.rng.uniform(0.0, self._tick_ms), lambda: self._tick(process))

    def kill(self, process: DiskProcess, power_cut: bool = False) -> None:
        """End a process. Its pending writes reach the disk, or with ``power_cut`` a random number of the oldest."""
        process.alive = False
        pending = process.pending_writes
        kept = self.rng.randint(0, len(pending)) if power_cut else len(pending)
        for write in pending[:kept]:
            self._on_durable(process.name, write)
        process.pending_writes = []

    def clock(self, process: DiskProcess) -> float:
        """Return the reading of the process's monotonic clock, in ms."""
        return self.now * process.clock_rate

    def do(self, process: DiskProcess, call: Callable[[], list[Any]]) -> None:
        """Call the state machine and perform its actions: now, or when the process is no longer paused."""
        if not process.alive:
            return
        if self.now < process.paused_until:
            self.at(process.paused_until, lambda: self.do(process, call))
            return
        for action in call():
            if isinstance(action, Send):
                self._send(process, action)
            elif isinstance(action, Write):
                self._write(process, action)
            else:
                self._on_action(process, action)

    def _tick(self, process: DiskProcess) -> None:
        if process.alive:
            self.do(process, lambda: process.state_machine.tick(self.clock(process)))
            self.at(max(self.now + self._tick_ms, process.paused_until), lambda: self._tick(process))

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return any(separates(sender, receiver) for separates in self.partitions)

    def _send(self, process: DiskProcess, action: Send) -> None:
        if self.rng.random() < self.loss or self._is_cut(process.name, action.to):
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            self.at(self.now + self.rng.uniform(*self._delay_ms), lambda: self._deliver(process.name, action))

    def _deliver(self, sender: str, action: Send) -> None:
        process = self.processes.get(action.to)
        if process is not None and not self._is_cut(sender, action.to):
            self.do(process, lambda: process.state_machine.receive(self.clock(process), sender, action.message))

    def _write(self, process: DiskProcess, write: Write) -> None:
        process.pending_writes.append(write)
        process.disk_free_at = max(process.disk_free_at, self.now) + self.rng.uniform(*process.write_ms)
        self.at(process.disk_free_at, lambda: self._complete(process, write))

    def _complete(self, process: DiskProcess, write: Write) -> None:
        if not process.alive or write not in process.pending_writes:
            return
        if process.fail_next_write:  # how much of it and of later writes is on disk is unknown
            process.fail_next_write, process.pending_writes = False, []
            self.do(process, lambda: process.state_machine.write_failed(self.clock(process)))
            return
        process.pending_writes.remove(write)
        self._on_durable(process.name, write)
        self.do(process, lambda: process.state_machine.write_completed(self.clock(process), write.sequence))
