"""Processes and the streams between them in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.simulation.event_queue import EventQueue
from sprucepost.view.messages import Close, Dial, Send

DIAL_LIMIT_MS = 1000.0  # a dial that nobody answers fails after that
AGAIN_MS = 25.0  # until what a cut holds up is looked at again


class StateMachine(Protocol):
    """What is played: each call returns actions."""

    def tick(self, now: float) -> list[Any]: ...
    def stream_opened(self, now: float, stream: int, dialled: str | None) -> list[Any]: ...
    def dial_failed(self, now: float, dialled: str) -> list[Any]: ...
    def stream_ended(self, now: float, stream: int) -> list[Any]: ...
    def message_received(self, now: float, stream: int, word: Any) -> list[Any]: ...


class Process:
    """One process at an address; ``notifications`` is what its machine has said beside messages, with the moment."""

    def __init__(self, address: str, machine: StateMachine, place: str) -> None:
        self.address, self.state_machine, self.place = address, machine, place
        self.alive = True
        self.paused_until = 0.0
        self.lag_ms = 0.0  # how late it is with everything
        self.cannot_dial = False
        self.streams: dict[int, _Pipe] = {}
        self.notifications: list[tuple[float, Any]] = []


class _Pipe:
    """One stream: two ends, each with the number that it has there, and messages on the way in both directions."""

    def __init__(self, ends: tuple[Process, Process], idents: tuple[int, int]) -> None:
        self.ends, self.idents = ends, idents
        self.last = [0.0, 0.0]  # when the latest word to each end arrives: none overtakes another
        self.over = False


class World(EventQueue):
    """``rng`` draws all that is left open; ``tick_ms`` is how often machines are looked at."""

    def __init__(self, seed: int, tick_ms: float, delay_ms: tuple[float, float] = (0.2, 2.0)) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self._tick, self._delay = tick_ms, delay_ms
        self.processes: dict[str, Process] = {}
        self._number = 0
        self.partitions: list[Callable[[Process, Process], bool]] = []  # whether a message is held up
        self.duplication = 0.0  # share of messages that come twice
        self.messages_sent = 0

    # Processes and faults

    def start(self, address: str, machine: StateMachine, place: str = "") -> Process:
        """A process begins; whatever had that address must be dead."""
        process = self.processes[address] = Process(address, machine, place)
        self.at(self.now + self.rng.uniform(0.0, self._tick), lambda: self._ticks(process))
        return process

    def kill(self, process: Process, silently: bool = False) -> None:
        """It is gone at once; ``silently`` as with its machine's power, so that no stream ends by itself."""
        process.alive = False
        for pipe in list(process.streams.values()):
            if silently:
                pipe.over = True  # nothing comes from there any more; the other end keeps its own
            else:
                self._end(pipe, process)
        process.streams.clear()

    def pause(self, process: Process, length_ms: float) -> None:
        """It does nothing for so long, and then finds all that has come."""
        process.paused_until = max(process.paused_until, self.now + length_ms)

    def reset(self, share: float) -> None:
        """That share of all streams breaks."""
        streams = {id(pipe): pipe for process in self.processes.values() for pipe in process.streams.values()}
        for pipe in list(streams.values()):
            if not pipe.over and self.rng.random() < share:
                for process in pipe.ends:
                    self._end(pipe, process)

    def is_held(self, one: Process, other: Process) -> bool:
        """Whether messages from one do not reach the other now."""
        return any(cut(one, other) for cut in self.partitions)

    # How it works

    def _ticks(self, process: Process) -> None:
        if process.alive and self.processes.get(process.address) is process:
            self.do(process, lambda: process.state_machine.tick(self.now))
            self.at(max(self.now + self._tick, process.paused_until) + process.lag_ms, lambda: self._ticks(process))

    def do(self, process: Process, call: Callable[[], list[Any]]) -> None:
        """Call the machine, and carry out what it says: now, or when the process runs again."""
        if not process.alive:
            return
        if self.now < process.paused_until:
            self.at(process.paused_until, lambda: self.do(process, call))
            return
        for action in call():
            if isinstance(action, Send):
                if (pipe := process.streams.get(action.stream)) is not None:
                    self._send(pipe, process, action.word)
            elif isinstance(action, Close):
                if (pipe := process.streams.get(action.stream)) is not None:
                    self._end(pipe, process)
            elif isinstance(action, Dial):
                self._dial(process, action)
            else:
                process.notifications.append((self.now, action))

    def _way(self, process: Process) -> float:
        return self.rng.uniform(*self._delay) + process.lag_ms

    def _send(self, pipe: _Pipe, sender: Process, word: Any) -> None:
        self.messages_sent += 1
        to = 1 if pipe.ends[0] is sender else 0
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            pipe.last[to] = max(pipe.last[to], self.now + self._way(pipe.ends[to]))
            self.at(pipe.last[to], lambda: self._arrive(pipe, to, word))

    def _arrive(self, pipe: _Pipe, to: int, word: Any) -> None:
        receiver, sender = pipe.ends[to], pipe.ends[1 - to]
        if pipe.over or receiver.streams.get(pipe.idents[to]) is not pipe:
            return
        if self.is_held(sender, receiver):
            self.at(self.now + AGAIN_MS, lambda: self._arrive(pipe, to, word))
            return
        self.do(receiver, lambda: receiver.state_machine.message_received(self.now, pipe.idents[to], word))

    def _end(self, pipe: _Pipe, by: Process) -> None:
        """One end is closed; the other hears of it as soon as messages from there reach it."""
        to = 1 if pipe.ends[0] is by else 0
        by.streams.pop(pipe.idents[1 - to], None)
        if not pipe.over:
            self.at(max(pipe.last[to], self.now + self._way(pipe.ends[to])), lambda: self._ended(pipe, to))

    def _ended(self, pipe: _Pipe, to: int) -> None:
        receiver, sender = pipe.ends[to], pipe.ends[1 - to]
        if receiver.streams.get(pipe.idents[to]) is not pipe:
            return
        if self.is_held(sender, receiver):
            self.at(self.now + AGAIN_MS, lambda: self._ended(pipe, to))
            return
        pipe.over = True
        del receiver.streams[pipe.idents[to]]
        self.do(receiver, lambda: receiver.state_machine.stream_ended(self.now, pipe.idents[to]))

    def _dial(self, process: Process, action: Dial) -> None:
        self.at(self.now + self._way(process), lambda: self._dialled(process, action))

    def _dialled(self, process: Process, action: Dial) -> None:
        target, dialled = self.processes.get(action.address), action.name or action.address
        if target is None or not target.alive:
            self.do(process, lambda: process.state_machine.dial_failed(self.now, dialled))
        elif process.cannot_dial or self.is_held(process, target) or self.is_held(target, process) or target is process:
            self.at(
                self.now + DIAL_LIMIT_MS,
                lambda: self.do(process, lambda: process.state_machine.dial_failed(self.now, dialled)),
            )
        elif process.alive:
            self._number += 2
            pipe = _Pipe((process, target), (self._number, self._number + 1))
            process.streams[pipe.idents[0]] = target.streams[pipe.idents[1]] = pipe
            self.do(process, lambda: process.state_machine.stream_opened(self.now, pipe.idents[0], dialled))
            self.do(target, lambda: target.state_machine.stream_opened(self.now, pipe.idents[1], None))
