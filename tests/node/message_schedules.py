"""Random schedules of messages about tasks: several connections, delayed answers, timeouts and cancellations.

Hosts, connections and owners are simulated in virtual time around the real :class:`sprucepost.node.tasks.Tasks`. The
oracle knows what each host did, and checks that every client is told in time of a task that has ended.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sprucepost.node.attempt import Attempt
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.releases import WITHDRAWAL_REPLY_MS
from sprucepost.placing.ledger import Outcome
from tests.node.test_tasks import TaskHarness

TASKS, DURATION_MS = 8, 6000.0
RELEASE_DEADLINE_MS = 1000.0  # by the protocol, after the host's release
REASONS = ("evicted", "pushed_out", "sent_away")


def sid_of(number: int) -> str:
    return f"d0055aa5c7e{number:05x}"


@dataclass
class Copy:
    """A task at one host, in the state that the host knows."""

    attempt: Attempt
    noted_at: float | None = None  # when the placer had read the first note on it
    withdrawal_read: bool = False  # whether the host has read the withdrawal
    withdrawn_at: float | None = None
    ended: bool = False
    answered: bool = False  # whether its set-up is no longer open on its connection


@dataclass
class Schedule:
    """One random schedule; ``faults`` holds what the oracle has found."""

    seed: int
    faults: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.harness = TaskHarness()
        self.loop = self.harness.loop
        self.copies: dict[Attempt, Copy] = {}
        self.events_seen = 0
        self.client_messages: list[tuple[float, str, str]] = []  # messages to clients: time, kind, task id
        self.expected: list[tuple[float, str]] = []
        self.withdrawn_at: dict[tuple[str, str], float] = {}  # time of the latest withdrawal, by task and host
        self.cancelled: set[str] = set()  # tasks that their owner cancelled or ended
        self.harness.withdraw = self._on_withdraw  # type: ignore[method-assign]

    def play(self) -> list[str]:
        """Run the schedule and return what the oracle has found."""
        for number in range(TASKS):
            self.loop.call_later(self.rng.uniform(0.0, DURATION_MS / 4), lambda n=number: self._submit(sid_of(n)))  # type: ignore[misc]
        ends = self.loop.time + DURATION_MS
        while self.loop.time < ends:
            self.loop.pass_ms(1.0)
            self._process_events()
        self._check()
        return self.faults

    def _submit(self, sid: str) -> None:
        self.harness.submit(sid)
        if self.rng.random() < 0.1:
            self.loop.call_later(self.rng.uniform(0.0, 2000.0), lambda: self._cancel(sid))

    def _cancel(self, sid: str) -> None:
        self.cancelled.add(sid)
        self.harness.tasks.owner_cancelled(sid)

    def _process_events(self) -> None:
        """Deliver the placer's new offers to the hosts and record its messages to clients."""
        events, self.events_seen = self.harness.events[self.events_seen :], len(self.harness.events)
        for event in events:
            if event[0] in ("answer", "refuse", "release"):
                self.client_messages.append((self.loop.time, event[0], event[1]))
            elif event[0] == "open":
                self.loop.call_later(self._delay(), lambda a=event[1]: self._receive_offer(a))  # type: ignore[misc]

    def _copy(self, attempt: Attempt) -> Copy:
        return self.copies.setdefault(attempt, Copy(attempt))

    def _on_withdraw(self, attempt: Attempt, tell_host: bool = True) -> None:
        """Handle a withdrawal by the placer: the host reads it later, and the set-up is no longer open on its connection."""
        copy = self._copy(attempt)
        copy.withdrawn_at = self.withdrawn_at[attempt.sid, attempt.machine] = self.loop.time
        self.loop.call_later(self._delay(), lambda: self._read_withdrawal(copy))

    def _read_withdrawal(self, copy: Copy) -> None:
        """Have the host read the withdrawal; a host that still runs the copy may answer with cause 16 or 31."""
        if not copy.withdrawal_read and not copy.ended and self.rng.random() < 0.5:
            line = Line(MessageType.CLOSE, copy.attempt.sid, {}, self.rng.choice((16, 31)))
            self.loop.call_later(self.rng.uniform(2.0, 30.0), lambda: self._answer_withdrawal(copy, line))
        copy.withdrawal_read = True

    def _answer_withdrawal(self, copy: Copy, line: Line) -> None:
        self.harness.tasks.handle_withdrawn_message(copy.attempt.machine, line)

    def _delay(self) -> float:
        return self.rng.uniform(0.3, 8.0)

    def _receive_offer(self, attempt: Attempt) -> None:
        """Let the host decide on the offer, and schedule its messages."""
        rng = self.rng
        if rng.random() < 0.25:
            self._send(attempt, MessageType.CLOSE, self._delay(), own_connection=True, code=rng.choice((34, 47, 102)))
            return
        answer_delayed = rng.random() < 0.5
        lifetime_ms = rng.uniform(1.0, 2000.0)
        if rng.random() < 0.4:  # it ends at about the time when the placer withdraws it
            lifetime_ms = max(1.0, attempt.deadline - self.loop.time + rng.uniform(-10.0, 5.0))
        answer_after_ms = rng.uniform(50.0, 2500.0) if answer_delayed else self._delay()
        own_connection = not answer_delayed or rng.random() < 0.4  # else its other messages use another connection
        self._send(attempt, MessageType.READY, answer_after_ms, own_connection=True, text="made")
        for _ in range(rng.randrange(3)):
            self._send(
                attempt,
                MessageType.EVENT,
                rng.uniform(0.0, lifetime_ms),
                own_connection,
                attrs={"note": "cores", "value": "0.5"},
            )
        reason = {"note": rng.choice(REASONS)} if rng.random() < 0.3 else {}
        self._send(
            attempt,
            MessageType.CLOSE,
            lifetime_ms if answer_delayed else max(lifetime_ms, answer_after_ms),
            own_connection,
            reason,
            rng.choice((16, 41)),
        )

    def _send(
        self, attempt: Attempt, message_type: MessageType, after_ms: float, own_connection: bool,
        attrs: dict[str, str] | None = None, code: int | None = None, text: str | None = None,
    ) -> None:  # fmt: skip
        line = Line(message_type, attempt.sid, attrs or {}, code, text)

        def send() -> None:
            copy = self._copy(attempt)
            if copy.withdrawal_read or (copy.ended and message_type is not MessageType.READY):
                return
            if message_type is MessageType.CLOSE:
                copy.ended = True
            self.loop.call_later(self._delay(), lambda: self._deliver(attempt, line, own_connection))

        self.loop.call_later(after_ms, send)

    def _deliver(self, attempt: Attempt, line: Line, own_connection: bool) -> None:
        """Dispatch a message by the connection it arrives on, as ``Hosts`` does."""
        copy, tasks = self._copy(attempt), self.harness.tasks
        on_set_up_connection = own_connection and copy.withdrawn_at is None and not copy.answered
        if line.type is MessageType.CLOSE and line.code not in (34, 47, 102):
            self._expect_message(copy, line, own_connection)
        if on_set_up_connection and line.type is not MessageType.EVENT:
            copy.answered = True
            tasks.handle_answer(attempt, line)
        elif on_set_up_connection:
            attempt.noted = True
        elif own_connection and copy.withdrawn_at is not None:
            tasks.handle_withdrawn_message(attempt.machine, line)
        else:
            tasks.handle_message(attempt.machine, line)
        if line.type is MessageType.EVENT and copy.noted_at is None:
            copy.noted_at = self.loop.time

    def _expect_message(self, copy: Copy, line: Line, own_connection: bool) -> None:
        """Expect a message to the client if the placer can know that the copy had been accepted.

        By the protocol a release before the answer, without note and reason and on the connection of the set-up, says
        that the set-up was lost in transit.
        """
        noted = copy.noted_at is not None and (copy.withdrawn_at is None or copy.noted_at <= copy.withdrawn_at)
        seen = copy.withdrawn_at is None and (copy.answered or not own_connection)
        if copy.withdrawn_at is not None and (line.code == 16 or self._is_placed(line.sid)):
            return  # it may answer the withdrawal, or the client has its answer from a later attempt
        recently = (
            self.loop.time - self.withdrawn_at.get((line.sid, copy.attempt.machine), -WITHDRAWAL_REPLY_MS)
            < WITHDRAWAL_REPLY_MS
        )
        if line.code == 16 and not own_connection and recently:
            return  # it may answer the withdrawal of an earlier attempt
        if seen or noted or line.attrs.get("note") in REASONS:
            self.expected.append((self.loop.time, copy.attempt.sid))

    def _is_placed(self, sid: str) -> bool:
        entry = self.harness.tasks.ledger.current(sid)
        return entry is not None and entry.outcome is Outcome.PLACED

    def _check(self) -> None:
        for at, sid in self.expected:
            in_time = any(
                task == sid and kind != "answer" and when <= at + RELEASE_DEADLINE_MS
                for when, kind, task in self.client_messages
            )
            if not in_time and sid not in self.cancelled and self.loop.time > at + RELEASE_DEADLINE_MS:
                self.faults.append(f"seed {self.seed}: {sid} ended, and its caller was not told in time")
        for sid in {sid for _, _, sid in self.client_messages}:
            kinds = [kind for _, kind, task in self.client_messages if task == sid]
            if kinds not in (["answer"], ["refuse"], ["answer", "release"]):
                self.faults.append(f"seed {self.seed}: the client of {sid} was sent {kinds}")
