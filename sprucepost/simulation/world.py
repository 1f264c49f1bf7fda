"""Simulates processes and the streams between them in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.simulation.event_queue import EventQueue
from sprucepost.view.messages import Close, Dial, Send

DIAL_LIMIT_MS = 1000.0  # a dial without an answer fails after that
RETRY_DELIVERY_MS = 25.0  # interval at which messages held up by a partition are tried again


class StateMachine(Protocol):
    """The interface of a simulated state machine; each call returns actions."""

    def tick(self, now: float) -> list[Any]: ...
    def stream_opened(self, now: float, stream: int, dialled: str | None) -> list[Any]: ...
    def dial_failed(self, now: float, dialled: str) -> list[Any]: ...
    def stream_ended(self, now: float, stream: int) -> list[Any]: ...
    def message_received(self, now: float, stream: int, message: Any) -> list[Any]: ...


class Process:
    """One process at an address.

    ``notifications`` are the actions of its state machine that don't concern streams, with their times in ms.
    """

    def __init__(self, address: str, state_machine: StateMachine, place: str) -> None:
        self.address, self.state_machine, self.place = address, state_machine, place
        self.alive = True
        self.paused_until = 0.0
        self.lag_ms = 0.0  # added to all that it does and receives
        self.cannot_dial = False
        self.streams: dict[int, _Stream] = {}
        self.notifications: list[tuple[float, Any]] = []


class _Stream:
    """One stream between two processes, with its number at each end."""

    def __init__(self, ends: tuple[Process, Process], stream_ids: tuple[int, int]) -> None:
        self.ends, self.stream_ids = ends, stream_ids
        self.last_arrival_ms = [0.0, 0.0]  # when the latest message to each end arrives: messages keep their order
        self.has_ended = False


class World(EventQueue):
    """Processes and their streams.

    ``tick_ms`` is the interval at which state machines are ticked, ``delay_ms`` the range of a message's delay.
    """

    def __init__(self, seed: int, tick_ms: float, delay_ms: tuple[float, float] = (0.2, 2.0)) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self._tick_ms, self._delay_ms = tick_ms, delay_ms
        self.processes: dict[str, Process] = {}
        self._stream_counter = 0
        # Each tells whether messages from one process to another are held up.
        self.partitions: list[Callable[[Process, Process], bool]] = []
        self.duplication = 0.0  # share of messages that arrive twice
        self.messages_sent = 0

    # Processes and faults

    def start(self, address: str, state_machine: StateMachine, place: str = "") -> Process:
        """Start a process; an earlier one at that address must have ended."""
        process = self.processes[address] = Process(address, state_machine, place)
        self.at(self.now + self.rng.uniform(0.0, self._tick_ms), lambda: self._tick(process))
        return process

    def kill(self, process: Process, silently: bool = False) -> None:
        """End a process at once; ``silently``, as by a power cut, the other ends of its streams don't notice."""
        process.alive = False
        for stream in list(process.streams.values()):
            if silently:
                stream.has_ended = True  # nothing more arrives from here; the other end keeps its stream
            else:
                self._end(stream, process)
        process.streams.clear()

    def pause(self, process: Process, length_ms: float) -> None:
        """Pause a process; what arrives meanwhile is handled when it continues."""
        process.paused_until = max(process.paused_until, self.now + length_ms)

    def reset(self, share: float) -> None:
        """Break that share of all streams."""
        streams = {id(stream): stream for process in self.processes.values() for stream in process.streams.values()}
        for stream in list(streams.values()):
            if not stream.has_ended and self.rng.random() < share:
                for process in stream.ends:
                    self._end(stream, process)

    def is_held(self, one: Process, other: Process) -> bool:
        """Return whether messages from one to the other are held up now."""
        return any(cut(one, other) for cut in self.partitions)

    # Delivery

    def _tick(self, process: Process) -> None:
        if process.alive and self.processes.get(process.address) is process:
            self.do(process, lambda: process.state_machine.tick(self.now))
            self.at(max(self.now + self._tick_ms, process.paused_until) + process.lag_ms, lambda: self._tick(process))

    def do(self, process: Process, call: Callable[[], list[Any]]) -> None:
        """Call the state machine and perform its actions: now, or when the process is no longer paused."""
        if not process.alive:
            return
        if self.now < process.paused_until:
            self.at(process.paused_until, lambda: self.do(process, call))
            return
        for action in call():
            if isinstance(action, Send):
                if (stream := process.streams.get(action.stream)) is not None:
                    self._send(stream, process, action.word)
            elif isinstance(action, Close):
                if (stream := process.streams.get(action.stream)) is not None:
                    self._end(stream, process)
            elif isinstance(action, Dial):
                self._dial(process, action)
            else:
                process.notifications.append((self.now, action))

    def _draw_delay(self, process: Process) -> float:
        return self.rng.uniform(*self._delay_ms) + process.lag_ms

    def _send(self, stream: _Stream, sender: Process, message: Any) -> None:
        self.messages_sent += 1
        to = 1 if stream.ends[0] is sender else 0
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            stream.last_arrival_ms[to] = max(stream.last_arrival_ms[to], self.now + self._draw_delay(stream.ends[to]))
            self.at(stream.last_arrival_ms[to], lambda: self._arrive(stream, to, message))

    def _arrive(self, stream: _Stream, to: int, message: Any) -> None:
        receiver, sender = stream.ends[to], stream.ends[1 - to]
        if stream.has_ended or receiver.streams.get(stream.stream_ids[to]) is not stream:
            return
        if self.is_held(sender, receiver):
            self.at(self.now + RETRY_DELIVERY_MS, lambda: self._arrive(stream, to, message))
            return
        self.do(receiver, lambda: receiver.state_machine.message_received(self.now, stream.stream_ids[to], message))

    def _end(self, stream: _Stream, by: Process) -> None:
        """Close one end; the other end notices after the messages that are under way."""
        to = 1 if stream.ends[0] is by else 0
        by.streams.pop(stream.stream_ids[1 - to], None)
        if not stream.has_ended:
            self.at(
                max(stream.last_arrival_ms[to], self.now + self._draw_delay(stream.ends[to])),
                lambda: self._ended(stream, to),
            )

    def _ended(self, stream: _Stream, to: int) -> None:
        receiver, sender = stream.ends[to], stream.ends[1 - to]
        if receiver.streams.get(stream.stream_ids[to]) is not stream:
            return
        if self.is_held(sender, receiver):
            self.at(self.now + RETRY_DELIVERY_MS, lambda: self._ended(stream, to))
            return
        stream.has_ended = True
        del receiver.streams[stream.stream_ids[to]]
        self.do(receiver, lambda: receiver.state_machine.stream_ended(self.now, stream.stream_ids[to]))

    def _dial(self, process: Process, action: Dial) -> None:
        self.at(self.now + self._draw_delay(process), lambda: self._answer_dial(process, action))

    def _answer_dial(self, process: Process, action: Dial) -> None:
        target, dialled = self.processes.get(action.address), action.name or action.address
        if target is None or not target.alive:
            self.do(process, lambda: process.state_machine.dial_failed(self.now, dialled))
        elif process.cannot_dial or self.is_held(process, target) or self.is_held(target, process) or target is process:
            self.at(
                self.now + DIAL_LIMIT_MS,
                lambda: self.do(process, lambda: process.state_machine.dial_failed(self.now, dialled)),
            )
        elif process.alive:
            self._stream_counter += 2
            stream = _Stream((process, target), (self._stream_counter, self._stream_counter + 1))
            process.streams[stream.stream_ids[0]] = target.streams[stream.stream_ids[1]] = stream
            self.do(process, lambda: process.state_machine.stream_opened(self.now, stream.stream_ids[0], dialled))
            self.do(target, lambda: target.state_machine.stream_opened(self.now, stream.stream_ids[1], None))
