"""The five rules under odd but legal orders of events."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import HealthCheck, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from sprucepost import interface as i
from tests.support import Cluster, entry, settings, task_class

CLASSES = (
    task_class(spread=i.Scope.MACHINE, most=2),
    task_class(effect=i.Effect.KEYED, group=i.Scope.CELL, window=900.0, spread=i.Scope.ZONE, most=3),
    task_class(effect=i.Effect.KEYED, group=i.Scope.ALL, window=900.0, spread=i.Scope.CELL, most=2),
    task_class(effect=i.Effect.UNSAFE),
)
NEVER_RAN = (i.Ending.FULL, i.Ending.CONNECT_FAILED, i.Ending.VOID)
FALL = 600.0
MACHINES = 6


@dataclass
class Sent:
    machine: str
    at: float
    ending: i.Ending | None = None
    accepted: bool = False


class Judge:
    """Keeps its own account of what is allowed and checks every action against it."""

    def __init__(self, mode: i.ListMode) -> None:
        config = settings(*CLASSES, list_mode=mode, fall=FALL, warm_after=3000.0, cold_bears=6.0, max_attempts=4)
        self.places = {f"m{n}": (n // 2, n % 3) for n in range(MACHINES)}
        self.state = dict.fromkeys(self.places, i.MachineState.READY)
        self.started = dict.fromkeys(self.places, 0.0)
        self.cold_sends: dict[str, list[float]] = {name: [] for name in self.places}
        self.asks: dict[int, tuple[i.TaskRequest, float]] = {}
        self.sent: dict[int, list[Sent]] = {}
        self.answered: set[int] = set()
        self.timers: list[tuple[float, str]] = []
        self.cluster = Cluster(config, *(self.entry(name) for name in self.places))
        self.check(self.cluster.first)

    def entry(self, name: str) -> i.MachineEntry:
        cell, zone = self.places[name]
        return entry(name, cell=cell, zone=zone, state=self.state[name], started=self.started[name])

    def feed(self, *events: i.Event) -> None:
        self.check(self.cluster.after(0.0, *events))

    def check(self, actions: list[i.Action]) -> None:
        for action in actions:
            if isinstance(action, i.SetTimer):
                assert action.delay >= 0.0
                self.timers.append((self.cluster.now + action.delay, action.name))
            elif isinstance(action, i.Offer):
                self.offer(action)
            elif isinstance(action, (i.Refuse, i.Fail)):
                assert action.request in self.asks and action.request not in self.answered
                self.answered.add(action.request)
                ask = self.asks[action.request][0]
                doubtful = [s for s in self.sent[action.request] if s.ending not in NEVER_RAN]
                if isinstance(action, i.Refuse) and doubtful:
                    assert CLASSES[ask.task_class].effect is i.Effect.SAFE

    def offer(self, action: i.Offer) -> None:
        now, name = self.cluster.now, action.machine
        assert action.request not in self.answered
        ask, deadline = self.asks[action.request]
        cls = CLASSES[ask.task_class]
        tries = self.sent[action.request]
        assert action.timeout > 0 and now + action.timeout <= deadline
        assert self.state[name] is i.MachineState.READY
        assert all(sent.ending is not None for sent in tries)
        doubtful = [sent for sent in tries if sent.ending not in NEVER_RAN]
        if doubtful and cls.effect is not i.Effect.SAFE:
            assert cls.effect is i.Effect.KEYED and now < doubtful[0].at + cls.window
            assert cls.group is i.Scope.ALL or self.places[name][0] == self.places[doubtful[0].machine][0]
        if self.started[name] > 0 and now < self.started[name] + 3000.0:
            recent = [at for at in self.cold_sends[name] if at > now - FALL]
            assert len(recent) < 6 // 3
        self.cold_sends[name].append(now)
        tries.append(Sent(name, now))
        if cls.spread is not i.Scope.NONE:
            assert self.held(ask.service, cls.spread, name) <= cls.most

    def held(self, service: str, place: i.Scope, name: str) -> int:
        def same(other: str) -> bool:
            if place is i.Scope.MACHINE:
                return other == name
            index = 0 if place is i.Scope.CELL else 1
            return self.places[other][index] == self.places[name][index]

        return sum(
            sent.ending is None and same(sent.machine)
            for request, tries in self.sent.items()
            if self.asks[request][0].service == service
            for sent in tries
        )

    def wait(self, step: float) -> None:
        """Let time pass, delivering timers as they come due."""
        until = self.cluster.now + step
        while due := sorted(timer for timer in self.timers if timer[0] <= until):
            self.timers.remove(due[0])
            self.cluster.now = max(self.cluster.now, due[0][0])
            self.feed(i.TimerFired(due[0][1]))
        self.cluster.now = until
        for request, (_, deadline) in self.asks.items():
            assert request in self.answered or until <= deadline, "an answer is overdue"

    def open(self) -> list[tuple[int, int, Sent]]:
        return [
            (request, number, sent)
            for request, tries in self.sent.items()
            for number, sent in enumerate(tries)
            if sent.ending is None
        ]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "accept", "end", "end", "list", "failed", "note", "wait", "gone"]),
        st.integers(0, 10**6),
        st.integers(0, 7),
    ),
    min_size=20,
    max_size=120,
)


@profile(derandomize=True, max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
@given(steps=STEPS, mode=st.sampled_from(list(i.ListMode)))
def test_the_rules_hold_under_any_legal_order(steps: list[tuple[str, int, int]], mode: i.ListMode) -> None:
    judge = Judge(mode)
    for word, pick, other in steps:
        judge.wait(float(pick % 97))
        live = judge.open()
        if word == "ask":
            number = other % len(CLASSES)
            ask = judge.cluster.task_request(f"c{number}s{pick % 3}", task_class=number, left=50.0 + pick % 3000)
            judge.asks[ask.request] = (ask, judge.cluster.now + ask.left)
            judge.sent[ask.request] = []
            judge.feed(ask)
        elif word == "list":
            name = f"m{pick % MACHINES}"
            judge.state[name] = i.MachineState(other % 3)
            if other >= 5:
                judge.started[name] = judge.cluster.now - pick % 100
                judge.cold_sends[name] = []
            judge.feed(i.MachineList(i.ListKind.DELTA, (judge.entry(name),)))
        elif word == "failed":
            judge.feed(i.MachineList(i.ListKind.FAILED))
        elif word == "wait":
            judge.wait(float(pick % 2500))
        elif word == "gone" and judge.asks:
            request = sorted(judge.asks)[pick % len(judge.asks)]
            judge.answered.add(request)
            judge.feed(i.RequestAbandoned(request))
        elif word == "accept" and live:
            request, number, sent = live[pick % len(live)]
            if not sent.accepted and request not in judge.answered:
                sent.accepted = True
                judge.answered.add(request)
                judge.feed(i.Accepted(request, number, float(pick % 500)))
        elif word == "note" and live:
            request, number, _ = live[pick % len(live)]
            judge.feed(i.StatusNote(request, number, i.StatusKind(1 + other % 5), (pick % 100) / 100))
        elif word == "end" and live:
            request, number, sent = live[pick % len(live)]
            endings = [i.Ending.OK, i.Ending.RESET] if sent.accepted else [e for e in i.Ending if e is not i.Ending.OK]
            sent.ending = endings[pick % len(endings)]
            reason = i.Reason(other)
            judge.feed(i.Outcome(request, number, sent.ending, request in judge.answered, reason))
    judge.wait(4000.0)
