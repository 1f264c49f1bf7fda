"""Drawn schedules of one task's words: hosts that know the truth, several connections, held answers, time-outs, give-ups.

Hosts, connections and owners are played in virtual time around the real :class:`sprucepost.node.tasks.Tasks`. The oracle
knows what each host did and says when the client is owed its word.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sprucepost.node.attempt import Attempt
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.tasks import WITHDRAWAL_REPLY_MS
from sprucepost.placing.ledger import Outcome
from tests.node.test_tasks import TaskHarness

TASKS, SPAN_MS = 8, 6000.0
OWED_MS = 1000.0  # by the protocol, from the host's release
REASONS = ("evicted", "pushed_out", "sent_away")


def sid_of(number: int) -> str:
    return f"d0055aa5c7e{number:05x}"


@dataclass
class Copy:
    """A task at one host, as that host knows it."""

    attempt: Attempt
    noted_at: float | None = None  # when we had read the first note of it
    cut: bool = False  # the host has read that we took it back
    withdrawn_at: float | None = None
    ended: bool = False
    answered: bool = False  # nothing is open on its connection any more


@dataclass
class Schedule:
    """One drawn schedule; ``faults`` says what the oracle objects to."""

    seed: int
    faults: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.harness = TaskHarness()
        self.loop = self.harness.loop
        self.copies: dict[Attempt, Copy] = {}
        self.seen = 0
        self.told: list[tuple[float, str, str]] = []  # when, what and of which task clients have heard
        self.owed: list[tuple[float, str]] = []
        self.taken_back: dict[tuple[str, str], float] = {}  # when an attempt was last taken back, by task and host
        self.left: set[str] = set()  # tasks that their owner gave up or ended
        self.harness.withdraw = self._give_up  # type: ignore[method-assign, assignment]

    def play(self) -> list[str]:
        """Play it and return what the oracle objects to."""
        for number in range(TASKS):
            self.loop.call_later(self.rng.uniform(0.0, SPAN_MS / 4), lambda n=number: self._ask(sid_of(n)))  # type: ignore[misc]
        ends = self.loop.time + SPAN_MS
        while self.loop.time < ends:
            self.loop.pass_ms(1.0)
            self._watch()
        self._judge()
        return self.faults

    def _ask(self, sid: str) -> None:
        self.harness.ask(sid)
        if self.rng.random() < 0.1:
            self.loop.call_later(self.rng.uniform(0.0, 2000.0), lambda: self._leave(sid))

    def _leave(self, sid: str) -> None:
        self.left.add(sid)
        self.harness.tasks.owner_cancelled(sid)

    def _watch(self) -> None:
        """Hosts read what the placer has written."""
        events, self.seen = self.harness.events[self.seen :], len(self.harness.events)
        for event in events:
            if event[0] in ("answer", "refuse", "release"):
                self.told.append((self.loop.time, event[0], event[1]))
            elif event[0] == "open":
                self.loop.call_later(self._delay(), lambda a=event[1]: self._arrive(a))  # type: ignore[misc]

    def _copy(self, attempt: Attempt) -> Copy:
        return self.copies.setdefault(attempt, Copy(attempt))

    def _give_up(self, attempt: Attempt) -> None:
        """The placer takes it back: nothing on its connection is of it any more, and its host will read so."""
        copy = self._copy(attempt)
        copy.withdrawn_at = self.taken_back[attempt.sid, attempt.machine] = self.loop.time
        self.loop.call_later(self._delay(), lambda: self._cut(copy))

    def _cut(self, copy: Copy) -> None:
        """The host reads that; one that still has the copy answers with the same cause, or with that of a cancellation."""
        if not copy.cut and not copy.ended and self.rng.random() < 0.5:
            line = Line(MessageType.CLOSE, copy.attempt.sid, {}, self.rng.choice((16, 31)))
            self.loop.call_later(self.rng.uniform(2.0, 30.0), lambda: self._answer_taking_back(copy, line))
        copy.cut = True

    def _answer_taking_back(self, copy: Copy, line: Line) -> None:
        self.harness.tasks.handle_withdrawn_message(copy.attempt.machine, line)

    def _delay(self) -> float:
        return self.rng.uniform(0.3, 8.0)

    def _arrive(self, attempt: Attempt) -> None:
        """The host decides what becomes of it."""
        rng = self.rng
        if rng.random() < 0.25:
            self._say(attempt, MessageType.CLOSE, self._delay(), own=True, code=rng.choice((34, 47, 102)))
            return
        held = rng.random() < 0.5
        life = rng.uniform(1.0, 2000.0)
        if rng.random() < 0.4:  # it ends about when the placer takes it back
            life = max(1.0, attempt.deadline - self.loop.time + rng.uniform(-10.0, 5.0))
        answer_after = rng.uniform(50.0, 2500.0) if held else self._delay()
        own = not held or rng.random() < 0.4  # else that connection is of no use for other words
        self._say(attempt, MessageType.READY, answer_after, own=True, text="made")
        for _ in range(rng.randrange(3)):
            self._say(attempt, MessageType.EVENT, rng.uniform(0.0, life), own, attrs={"note": "cores", "value": "0.5"})
        reason = {"note": rng.choice(REASONS)} if rng.random() < 0.3 else {}
        self._say(
            attempt, MessageType.CLOSE, life if held else max(life, answer_after), own, reason, rng.choice((16, 41))
        )

    def _say(
        self, attempt: Attempt, word: MessageType, after: float, own: bool, attrs: dict[str, str] | None = None,
        code: int | None = None, text: str | None = None,
    ) -> None:  # fmt: skip
        line = Line(word, attempt.sid, attrs or {}, code, text)

        def say() -> None:
            copy = self._copy(attempt)
            if copy.cut or (copy.ended and word is not MessageType.READY):
                return
            if word is MessageType.CLOSE:
                copy.ended = True
            self.loop.call_later(self._delay(), lambda: self._deliver(attempt, line, own))

        self.loop.call_later(after, say)

    def _deliver(self, attempt: Attempt, line: Line, own: bool) -> None:
        """As ``Hosts`` does: by the connection that brings it."""
        copy, tasks = self._copy(attempt), self.harness.tasks
        carried = own and copy.withdrawn_at is None and not copy.answered
        if line.type is MessageType.CLOSE and line.code not in (34, 47, 102):
            self._owe(copy, line, own)
        if carried and line.type is not MessageType.EVENT:
            copy.answered = True
            tasks.handle_answer(attempt, line)
        elif carried:
            attempt.noted = True
        elif own and copy.withdrawn_at is not None:
            tasks.handle_withdrawn_message(attempt.machine, line)
        else:
            tasks.handle_message(attempt.machine, line)
        if line.type is MessageType.EVENT and copy.noted_at is None:
            copy.noted_at = self.loop.time

    def _owe(self, copy: Copy, line: Line, own: bool) -> None:
        """The client is owed its word where the placer can know that the copy stood: by the protocol a release before the
        answer, without note and reason and on the set-up's connection, says that the set-up broke on its way."""
        noted = copy.noted_at is not None and (copy.withdrawn_at is None or copy.noted_at <= copy.withdrawn_at)
        seen = copy.withdrawn_at is None and (copy.answered or not own)
        if copy.withdrawn_at is not None and (line.code == 16 or self._stands(line.sid)):
            return  # that may answer our taking it back; or the client has its answer by a later attempt
        lately = (
            self.loop.time - self.taken_back.get((line.sid, copy.attempt.machine), -WITHDRAWAL_REPLY_MS)
            < WITHDRAWAL_REPLY_MS
        )
        if line.code == 16 and not own and lately:
            return  # that may answer our taking an earlier attempt back
        if seen or noted or line.attrs.get("note") in REASONS:
            self.owed.append((self.loop.time, copy.attempt.sid))

    def _stands(self, sid: str) -> bool:
        entry = self.harness.tasks.ledger.current(sid)
        return entry is not None and entry.outcome is Outcome.PLACED

    def _judge(self) -> None:
        for at, sid in self.owed:
            in_time = any(whose == sid and word != "answer" and when <= at + OWED_MS for when, word, whose in self.told)
            if not in_time and sid not in self.left and self.loop.time > at + OWED_MS:
                self.faults.append(f"seed {self.seed}: {sid} was over, and its caller was not told in time")
        for sid in {sid for _, _, sid in self.told}:
            words = [word for _, word, whose in self.told if whose == sid]
            if words not in (["answer"], ["refuse"], ["answer", "release"]):
                self.faults.append(f"seed {self.seed}: {sid} heard {words}")
