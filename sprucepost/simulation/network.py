"""Processes with disks on a network of datagrams, in virtual time.

Datagrams may be late, lost, duplicated and out of order. A disk makes its writes durable in order, each after a while.
When the power is cut, a process loses what was not durable, except for as many of the pending writes, from the oldest on,
as chance has it: a torn or reordered tail is cut at its first gap, as records with checksums allow.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.agreement.actions import Send, Write
from sprucepost.simulation.event_queue import EventQueue


class StateMachine(Protocol):
    """What is played: each call returns actions."""

    def tick(self, now: float) -> list[Any]: ...
    def receive(self, now: float, peer: str, message: Any) -> list[Any]: ...
    def write_completed(self, now: float, sequence: int) -> list[Any]: ...
    def write_failed(self, now: float) -> list[Any]: ...


class DiskProcess:
    """One process and its disk. ``clock_rate``: how fast its clock goes; ``write_ms``: how long a write takes."""

    def __init__(self, name: str, machine: StateMachine, clock_rate: float, write_ms: tuple[float, float]) -> None:
        self.name, self.state_machine, self.clock_rate, self.write_ms = name, machine, clock_rate, write_ms
        self.alive = True
        self.paused_until = 0.0
        self.fail_next_write = False
        self.pending_writes: list[Write] = []  # oldest first
        self.disk_free_at = 0.0


class DatagramNetwork(EventQueue):
    """``on_durable`` is told of each write that a restart will find, ``on_action`` of all other actions."""

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
        self.loss = self.duplication = 0.0  # shares of datagrams
        self.partitions: list[Callable[[str, str], bool]] = []  # whether datagrams from one to another are lost
        self.processes: dict[str, DiskProcess] = {}
        self._tick_ms, self._delay_ms = tick_ms, delay_ms
        self._on_durable, self._on_action = on_durable, on_action

    def start(self, process: DiskProcess) -> None:
        """A process begins; any earlier one of that name must be dead."""
        self.processes[process.name] = process
        self.at(self.now + self.rng.uniform(0.0, self._tick_ms), lambda: self._tick(process))

    def kill(self, process: DiskProcess, power_cut: bool = False) -> None:
        """End a process. Its pending writes reach the disk, or after a ``power_cut`` only the oldest few of them."""
        process.alive = False
        pending = process.pending_writes
        kept = self.rng.randint(0, len(pending)) if power_cut else len(pending)
        for write in pending[:kept]:
            self._on_durable(process.name, write)
        process.pending_writes = []

    def clock(self, process: DiskProcess) -> float:
        """What the process's monotonic clock shows."""
        return self.now * process.clock_rate

    def do(self, process: DiskProcess, call: Callable[[], list[Any]]) -> None:
        """Call the machine and carry out its actions: now, or when the process is no longer paused."""
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
        if process.fail_next_write:  # nobody knows what of it, and of the following ones, is there
            process.fail_next_write, process.pending_writes = False, []
            self.do(process, lambda: process.state_machine.write_failed(self.clock(process)))
            return
        process.pending_writes.remove(write)
        self._on_durable(process.name, write)
        self.do(process, lambda: process.state_machine.write_completed(self.clock(process), write.sequence))
