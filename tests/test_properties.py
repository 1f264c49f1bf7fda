"""The five rules under unusual but legal orders of events."""

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
WINDOW_MS = 600.0
MACHINE_COUNT = 6


@dataclass
class SentOffer:
    """An offer that was sent, and how it ended."""

    machine: str
    at: float
    ending: i.Ending | None = None
    accepted: bool = False


class RuleChecker:
    """Tracks independently of the scheduler what the rules allow, and checks every action against it."""

    def __init__(self, mode: i.ListMode) -> None:
        config = settings(*CLASSES, list_mode=mode, fall=WINDOW_MS, warm_after=3000.0, cold_bears=6.0, max_attempts=4)
        self.locations = {f"m{n}": (n // 2, n % 3) for n in range(MACHINE_COUNT)}
        self.state = dict.fromkeys(self.locations, i.MachineState.READY)
        self.started = dict.fromkeys(self.locations, 0.0)
        self.cold_sends: dict[str, list[float]] = {name: [] for name in self.locations}
        self.requests: dict[int, tuple[i.TaskRequest, float]] = {}
        self.offers: dict[int, list[SentOffer]] = {}
        self.answered: set[int] = set()
        self.timers: list[tuple[float, str]] = []
        self.cluster = Cluster(config, *(self.entry(name) for name in self.locations))
        self.check(self.cluster.first)

    def entry(self, name: str) -> i.MachineEntry:
        cell, zone = self.locations[name]
        return entry(name, cell=cell, zone=zone, state=self.state[name], started=self.started[name])

    def feed(self, *events: i.Event) -> None:
        self.check(self.cluster.after(0.0, *events))

    def check(self, actions: list[i.Action]) -> None:
        for action in actions:
            if isinstance(action, i.SetTimer):
                assert action.delay >= 0.0
                self.timers.append((self.cluster.now + action.delay, action.name))
            elif isinstance(action, i.Offer):
                self.check_offer(action)
            elif isinstance(action, (i.Refuse, i.Fail)):
                assert action.request in self.requests and action.request not in self.answered
                self.answered.add(action.request)
                ask = self.requests[action.request][0]
                uncertain = [s for s in self.offers[action.request] if s.ending not in NEVER_RAN]
                if isinstance(action, i.Refuse) and uncertain:
                    assert CLASSES[ask.task_class].effect is i.Effect.SAFE

    def check_offer(self, action: i.Offer) -> None:
        now, name = self.cluster.now, action.machine
        assert action.request not in self.answered
        ask, deadline = self.requests[action.request]
        cls = CLASSES[ask.task_class]
        earlier = self.offers[action.request]
        assert action.timeout > 0 and now + action.timeout <= deadline
        assert self.state[name] is i.MachineState.READY
        assert all(sent.ending is not None for sent in earlier)
        uncertain = [sent for sent in earlier if sent.ending not in NEVER_RAN]
        if uncertain and cls.effect is not i.Effect.SAFE:
            assert cls.effect is i.Effect.KEYED and now < uncertain[0].at + cls.window
            assert cls.group is i.Scope.ALL or self.locations[name][0] == self.locations[uncertain[0].machine][0]
        if self.started[name] > 0 and now < self.started[name] + 3000.0:
            recent = [at for at in self.cold_sends[name] if at > now - WINDOW_MS]
            assert len(recent) < 6 // 3
        self.cold_sends[name].append(now)
        earlier.append(SentOffer(name, now))
        if cls.spread is not i.Scope.NONE:
            assert self.count_open(ask.service, cls.spread, name) <= cls.most

    def count_open(self, service: str, scope: i.Scope, name: str) -> int:
        def in_scope(other: str) -> bool:
            if scope is i.Scope.MACHINE:
                return other == name
            index = 0 if scope is i.Scope.CELL else 1
            return self.locations[other][index] == self.locations[name][index]

        return sum(
            sent.ending is None and in_scope(sent.machine)
            for request, earlier in self.offers.items()
            if self.requests[request][0].service == service
            for sent in earlier
        )

    def advance(self, step: float) -> None:
        """Advance the clock and deliver each timer at its time."""
        until = self.cluster.now + step
        while due := sorted(timer for timer in self.timers if timer[0] <= until):
            self.timers.remove(due[0])
            self.cluster.now = max(self.cluster.now, due[0][0])
            self.feed(i.TimerFired(due[0][1]))
        self.cluster.now = until
        for request, (_, deadline) in self.requests.items():
            assert request in self.answered or until <= deadline, "a request was not answered before its deadline"

    def open_offers(self) -> list[tuple[int, int, SentOffer]]:
        return [
            (request, number, sent)
            for request, earlier in self.offers.items()
            for number, sent in enumerate(earlier)
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
    checker = RuleChecker(mode)
    for step_kind, pick, other in steps:
        checker.advance(float(pick % 97))
        unfinished = checker.open_offers()
        if step_kind == "ask":
            number = other % len(CLASSES)
            ask = checker.cluster.task_request(f"c{number}s{pick % 3}", task_class=number, left=50.0 + pick % 3000)
            checker.requests[ask.request] = (ask, checker.cluster.now + ask.left)
            checker.offers[ask.request] = []
            checker.feed(ask)
        elif step_kind == "list":
            name = f"m{pick % MACHINE_COUNT}"
            checker.state[name] = i.MachineState(other % 3)
            if other >= 5:
                checker.started[name] = checker.cluster.now - pick % 100
                checker.cold_sends[name] = []
            checker.feed(i.MachineList(i.ListKind.DELTA, (checker.entry(name),)))
        elif step_kind == "failed":
            checker.feed(i.MachineList(i.ListKind.FAILED))
        elif step_kind == "wait":
            checker.advance(float(pick % 2500))
        elif step_kind == "gone" and checker.requests:
            request = sorted(checker.requests)[pick % len(checker.requests)]
            checker.answered.add(request)
            checker.feed(i.RequestAbandoned(request))
        elif step_kind == "accept" and unfinished:
            request, number, sent = unfinished[pick % len(unfinished)]
            if not sent.accepted and request not in checker.answered:
                sent.accepted = True
                checker.answered.add(request)
                checker.feed(i.Accepted(request, number, float(pick % 500)))
        elif step_kind == "note" and unfinished:
            request, number, _ = unfinished[pick % len(unfinished)]
            checker.feed(i.StatusNote(request, number, i.StatusKind(1 + other % 5), (pick % 100) / 100))
        elif step_kind == "end" and unfinished:
            request, number, sent = unfinished[pick % len(unfinished)]
            endings = [i.Ending.OK, i.Ending.RESET] if sent.accepted else [e for e in i.Ending if e is not i.Ending.OK]
            sent.ending = endings[pick % len(endings)]
            reason = i.Reason(other)
            checker.feed(i.Outcome(request, number, sent.ending, request in checker.answered, reason))
    checker.advance(4000.0)
