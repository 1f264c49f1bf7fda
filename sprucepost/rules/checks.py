"""The five rules, each as a checker that is fed events in order and asked for its verdict at the end.

Times are those of the tap. Where two events on different connections are compared, ``SLACK_MS`` allows for what lies
between a process and the tap. What the run did to a placer on purpose (killed, stopped it) is told by :class:`Run`, since
a killed placer owes nothing and a stopped one owes its answers at once when it goes on.

Three things can leave a verdict open, and then it is *undecided*, which is counted apart and never taken for good: the
tap looked late, so that bytes may have been sent in time; the placer got no processor, as probes of its port saw; a word
went out to the placer and its connection was reset before it can have read it. ``docs/scenarios.md`` lists what each rule
takes as proof.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from sprucepost.rules import trace as t
from sprucepost.settings import Cluster, TaskClass

SLACK_MS = 250.0


@dataclass
class Verdict:
    """What a checker found: how often it looked, and each break in one line."""

    rule: str
    checked: int = 0
    broken: list[str] = field(default_factory=list)
    undecided: list[str] = field(default_factory=list)


@dataclass
class Run:
    """What the run itself did to placers, and when it ended."""

    killed: dict[str, list[float]] = field(default_factory=dict)  # by placer: moments
    stalled: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # by placer: from, to
    starved: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # by placer: a probe waited from, to
    ended_at: float = float("inf")

    def read(self, placer: str, at: float, until: float) -> bool:
        """Whether a placer can be taken to have read what went out to it ``at`` on a connection that ended at ``until``."""
        if until == float("inf"):
            return True
        pauses = [*self.stalled.get(placer, []), *self.starved.get(placer, [])]
        return until - at - _overlap(pauses, at, until) > SLACK_MS

    def starved_ms(self, placer: str, since: float, until: float) -> float:
        """How long, of that time, the placer did not answer a probe of its port, though nobody had stopped it."""
        starved, stalled = self.starved.get(placer, []), self.stalled.get(placer, [])
        stopped = sum(_overlap(stalled, max(a, since), min(b, until)) for a, b in starved)
        return max(0.0, _overlap(starved, since, until) - stopped)

    def killed_between(self, placer: str, since: float, until: float) -> bool:
        return any(since - SLACK_MS <= at <= until + SLACK_MS for at in self.killed.get(placer, []))

    def awake(self, placer: str, due: float) -> float:
        """A moment by which the placer could act on what was due: after a pause that covers it."""
        for since, until in self.stalled.get(placer, []):
            if since <= due <= until + SLACK_MS:
                due = max(due, until + 2 * SLACK_MS)
        return due


def _overlap(spans: list[tuple[float, float]], since: float, until: float) -> float:
    """Time of ``since`` to ``until`` that the spans cover, each moment once."""
    covered, reached = 0.0, since
    for start, end in sorted(spans):
        start, end = max(start, reached), min(end, until)
        if end > start:
            covered, reached = covered + end - start, end
    return covered


class Checker:
    """``take`` each event, then ``finish``."""

    rule = ""

    def __init__(self, cluster: Cluster, run: Run) -> None:
        self.cluster, self.run = cluster, run
        self.classes: dict[str, TaskClass] = {cls.name: cls for cls in cluster.classes}
        self.verdict = Verdict(self.rule)

    def take(self, event: t.Event) -> None:
        raise NotImplementedError

    def finish(self) -> None:
        """Judge what is still open."""

    def broken(self, at: float, text: str) -> None:
        self.verdict.broken.append(f"{at:.0f} ms: {text}")

    def undecided(self, at: float, text: str, why: str) -> None:
        self.verdict.undecided.append(f"{at:.0f} ms: {text} ({why})")

    def too_late(self, placer: str, since: float, at: float, late: float, due: float, text: str) -> None:
        """Something came at ``at`` that was due, counted from ``since``; perhaps for a cause that is not the placer's."""
        if at - late <= due:
            self.undecided(at, text, f"the tap was {late:.0f} ms late")
        elif (starved := self.run.starved_ms(placer, since, at)) >= at - late - due:
            self.undecided(at, text, f"the placer had no processor for {starved:.0f} ms")
        else:
            self.broken(at, text)


@dataclass
class _Ask:
    at: float
    due: float
    hand_over: bool


class NoTaskLost(Checker):
    """Rule 1: one outcome for each ask, in time, and nothing sent for a task after it."""

    rule = "1 no task lost"

    def __init__(self, cluster: Cluster, run: Run) -> None:
        super().__init__(cluster, run)
        self._asks: dict[tuple[str, bytes, str], deque[_Ask]] = {}
        self._open: dict[tuple[str, str], int] = {}  # by placer and task: asks without an outcome
        self._answered: dict[tuple[str, str], tuple[float, str]] = {}
        self._down: dict[tuple[str, bytes], float] = {}  # sessions without a stream, since when
        self._gaps: dict[tuple[str, bytes], list[tuple[float, float]]] = {}
        self._began: dict[tuple[str, bytes], float] = {}  # when each session first had a stream
        self._cancelled: set[tuple[str, bytes, str]] = set()

    def take(self, event: t.Event) -> None:
        if isinstance(event, t.Asked):
            key = (event.placer, event.session, event.task)
            if event.again:  # it had not arrived before: the owner's time runs from now
                self._asked_again(key, event)
                return
            self._asks.setdefault(key, deque()).append(_Ask(event.at, event.at + event.left_ms, event.hand_over))
            self._cancelled.discard(key)
            if not event.hand_over:
                self.verdict.checked += 1
            self._open[event.placer, event.task] = self._open.get((event.placer, event.task), 0) + 1
        elif isinstance(event, t.Cancelled):
            self._cancelled.add((event.placer, event.session, event.task))
        elif isinstance(event, t.Told):
            self._told(event)
        elif isinstance(event, t.Stream):
            key2 = (event.placer, event.session)
            self._began.setdefault(key2, event.at)
            if not event.up:
                self._down[key2] = event.at
            elif key2 in self._down:
                self._gaps.setdefault(key2, []).append((self._down.pop(key2), event.at))
        elif isinstance(event, t.Offered) and not event.again:
            answered = self._answered.get((event.placer, event.name))
            if answered is not None and not self._open.get((event.placer, event.name)):
                at, kind = answered
                if event.at > at + SLACK_MS:
                    self.broken(event.at, f"{event.placer} offers {event.name} after it was {kind} at {at:.0f} ms")

    def _asked_again(self, key: tuple[str, bytes, str], event: t.Asked) -> None:
        asks = self._asks.get(key)
        if asks and not asks[-1].hand_over:
            asks[-1].at, asks[-1].due = event.at, event.at + event.left_ms

    def _told(self, event: t.Told) -> None:
        if event.kind not in ("bound", "refused", "failed", "ended"):
            return
        key = (event.placer, event.session, event.task)
        asks = self._asks.get(key)
        if event.kind == "ended":
            if asks and asks[0].hand_over:
                self._close(event, asks)
            return
        if not asks:
            if key not in self._cancelled:
                self.broken(event.at, f"{event.placer} tells {event.task} {event.kind}, a second outcome")
            return
        ask = self._close(event, asks)
        if ask.hand_over:
            return
        due = self._excused(event.placer, event.session, ask)
        if event.at > due + SLACK_MS:
            text = f"{event.placer} tells {event.task} {event.kind} {event.at - ask.due:.0f} ms too late"
            self.too_late(event.placer, ask.at, event.at, event.late, due + SLACK_MS, text)
        if event.kind in ("refused", "failed"):
            self._answered[event.placer, event.task] = event.at, event.kind
        else:
            self._answered.pop((event.placer, event.task), None)

    def _close(self, event: t.Told, asks: deque[_Ask]) -> _Ask:
        self._open[event.placer, event.task] -= 1
        return asks.popleft()

    def _excused(self, placer: str, session: bytes, ask: _Ask) -> float:
        """When the outcome is due: later where the owner's own stream was down, or the placer was stopped."""
        due = self.run.awake(placer, ask.due)
        for since, until in self._gaps.get((placer, session), []):
            if since <= due and until >= ask.at:
                due = max(due, until + SLACK_MS)
        return due

    def finish(self) -> None:
        for (placer, session, task), asks in sorted(self._asks.items()):
            for ask in asks:
                due = self._excused(placer, session, ask)
                if ask.hand_over or due + SLACK_MS > self.run.ended_at:
                    continue
                # A session dies with its process. A cut may hold an ask in the tap while its placer is killed, and then
                # let it go to a connection whose other end is long dead: nobody read it.
                began = min(ask.at, self._began.get((placer, session), ask.at))
                if self.run.killed_between(placer, began, due) or (placer, session) in self._down:
                    continue
                self.broken(ask.at, f"{placer} never answers {task}")


@dataclass
class _Attempt:
    event: t.Offered
    refused_at: float | None = None
    accepted_at: float | None = None
    over_at: float | None = None  # its machine is known to be gone or another one


class NoEffectTwice(Checker):
    """Rule 2: one attempt out at a time; after one that may have run, only what the class allows."""

    rule = "2 no effect twice"

    def __init__(self, cluster: Cluster, run: Run) -> None:
        super().__init__(cluster, run)
        self._requests: dict[tuple[int, int, int], list[_Attempt]] = {}
        self._by_key: dict[t.Key, _Attempt] = {}
        self._by_name: dict[tuple[str, str], list[_Attempt]] = {}
        self._where: dict[tuple[str, str], t.Listed] = {}
        self._lives: dict[tuple[str, str], int] = {}
        self._out: dict[tuple[str, str], list[_Attempt]] = {}  # by placer and machine: not known to be over
        self._asks: dict[tuple[str, int, str], int] = {}  # by placer, incarnation and task: asks without an outcome
        self._before: dict[tuple[str, int, str], set[tuple[int, int, int]]] = {}  # requests of asks that are answered

    def take(self, event: t.Event) -> None:
        if isinstance(event, t.Offered) and not event.again:
            self.verdict.checked += 1
            self._offered(event)
        elif isinstance(event, t.Answered):
            attempt = self._by_key.get(event.key)
            if attempt is None:
                return
            if event.kind == "refused":
                attempt.refused_at = event.at
            elif attempt.accepted_at is None or event.again:
                attempt.accepted_at = event.at if self.run.read(event.placer, event.at, event.until) else None
        elif isinstance(event, t.Listed):
            if event.state == 0:
                # Also a word that may not have arrived ends the attempt here: the placer may act on it.
                self._gone(event.placer, event.machine, event.at)
            else:
                self._where[event.placer, event.machine] = event
        elif isinstance(event, t.Attached):
            before = self._lives.get((event.placer, event.machine))
            if before is not None and before != event.life:
                self._gone(event.placer, event.machine, event.at)
            self._lives[event.placer, event.machine] = event.life
        elif isinstance(event, t.Asked) and not event.hand_over and not event.again:
            self._asked(event)
        elif isinstance(event, t.Told) and event.kind in ("bound", "refused", "failed"):
            if event.kind == "refused":
                self._refused(event)
            ask = (event.placer, event.incarnation, event.task)
            self._asks[ask] = max(0, self._asks.get(ask, 0) - 1)

    def _asked(self, event: t.Asked) -> None:
        """While an ask of a task is open, others join it, and one outcome speaks for all: attempts since the first of them
        count. An ask that comes when none is open begins anew: what earlier ones left is not its attempts."""
        ask = (event.placer, event.incarnation, event.task)
        if not self._asks.get(ask):
            self._before[ask] = {a.event.key[:3] for a in self._by_name.get((event.placer, event.task), [])}
        self._asks[ask] = self._asks.get(ask, 0) + 1

    def _gone(self, placer: str, machine: str, at: float) -> None:
        for attempt in self._out.pop((placer, machine), []):
            if attempt.over_at is None:
                attempt.over_at = at

    def _ends(self, attempt: _Attempt) -> float:
        """When the attempt was no longer out, as far as the placer could know."""
        ends = attempt.event.at - attempt.event.late + attempt.event.wait_ms
        for known in (attempt.refused_at, attempt.over_at):
            if known is not None:
                ends = min(ends, known)
        return ends

    def _offered(self, event: t.Offered) -> None:
        key = event.key[:3]
        before = self._requests.setdefault(key, [])
        attempt = _Attempt(event)
        cls = self.classes.get(event.task.task_class)
        for earlier in before:
            if earlier.accepted_at is not None and earlier.accepted_at < event.at - SLACK_MS:
                timed_out = earlier.event.at + earlier.event.wait_ms <= earlier.accepted_at + SLACK_MS
                if not timed_out:
                    self.broken(event.at, f"{event.placer} offers {event.name} again though it was accepted")
                    break
            slack = min(SLACK_MS, earlier.event.wait_ms / 2)  # never so wide that it covers the attempt itself
            if earlier.refused_at is None and event.at - event.late < self._ends(earlier) + earlier.event.late - slack:
                text = f"{event.placer} has two attempts of {event.name} out"
                if event.at < self._ends(earlier) - slack:
                    self.broken(event.at, text)
                    break
                late = max(event.late, earlier.event.late)
                self.undecided(event.at, text, f"the tap was {late:.0f} ms late")
        may_run = [earlier for earlier in before if earlier.refused_at is None]
        if may_run and cls is not None:
            self._allowed(event, may_run[0].event, cls)
        before.append(attempt)
        self._by_key[event.key] = attempt
        self._by_name.setdefault((event.placer, event.name), []).append(attempt)
        self._out.setdefault((event.placer, event.machine), []).append(attempt)

    def _allowed(self, event: t.Offered, first: t.Offered, cls: TaskClass) -> None:
        if cls.effect == "unsafe":
            self.broken(event.at, f"{event.placer} offers unsafe {event.name} again though it may have run")
        elif cls.effect == "keyed":
            if event.at - first.at > cls.window_ms + SLACK_MS:
                self.broken(event.at, f"{event.placer} offers {event.name} again after its window")
            here = self._where.get((event.placer, event.machine))
            there = self._where.get((event.placer, first.machine))
            if cls.group != "all" and here is not None and there is not None:
                same = here.zone == there.zone if cls.group == "zone" else here.cell == there.cell
                if not same:
                    self.broken(event.at, f"{event.placer} offers {event.name} outside its key's {cls.group}")

    def _refused(self, event: t.Told) -> None:
        """A refusal promises that a retry does no harm: that no attempt of this very ask may have run."""
        before = self._before.get((event.placer, event.incarnation, event.task), set())
        attempts = [
            attempt
            for attempt in self._by_name.get((event.placer, event.task), [])
            if attempt.event.key[1] == event.incarnation and attempt.event.key[:3] not in before
        ]
        if not attempts:
            return
        cls = self.classes.get(attempts[-1].event.task.task_class)
        harmless = cls is None or cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all")
        if not harmless and any(attempt.refused_at is None for attempt in attempts):
            self.broken(event.at, f"{event.placer} refuses {event.task} though it may have run")


class DrainsKept(Checker):
    """Rule 3: nothing new to a machine later than the grace after word that it drains or is gone."""

    rule = "3 drains kept"

    def __init__(self, cluster: Cluster, run: Run) -> None:
        super().__init__(cluster, run)
        self._since: dict[tuple[str, str], float] = {}  # word that the placer has read
        self._perhaps: dict[tuple[str, str], float] = {}  # word that it may have read

    def take(self, event: t.Event) -> None:
        if isinstance(event, t.Listed):
            key = (event.placer, event.machine)
            if event.state == 1:
                self._since.pop(key, None)
                self._perhaps.pop(key, None)
            elif self.run.read(event.placer, event.at, event.until):
                self._since.setdefault(key, event.at)
            else:
                self._perhaps.setdefault(key, event.at)
        elif isinstance(event, t.Offered):
            self.verdict.checked += 1
            self._offered(event)

    def _offered(self, event: t.Offered) -> None:
        key = (event.placer, event.machine)
        since = self._since.get(key)
        if since is None:
            perhaps = self._perhaps.get(key)
            if perhaps is not None and event.at > self._due(event.placer, perhaps):
                self.undecided(event.at, self._text(event, perhaps), "the word may not have arrived")
        elif event.at > (due := self._due(event.placer, since)):
            self.too_late(event.placer, since, event.at, event.late, due, self._text(event, since))

    def _due(self, placer: str, since: float) -> float:
        return self.run.awake(placer, since + self.cluster.drain_grace_ms) + SLACK_MS / 5

    def _text(self, event: t.Offered, since: float) -> str:
        after = f"{event.at - since:.0f} ms after word that it drains or is gone"
        return f"{event.placer} offers {event.name} to {event.machine} {after}"


class ColdKept(Checker):
    """Rule 4: no more offers to a cold machine in any ``fall_ms`` than it bears, of placers told of its start."""

    rule = "4 no cold machine pushed over"

    def __init__(self, cluster: Cluster, run: Run) -> None:
        super().__init__(cluster, run)
        self._started: dict[tuple[str, str], float] = {}
        self._recent: dict[str, deque[tuple[float, float]]] = {}  # when, and how much earlier it may have been
        self.most = 0

    def take(self, event: t.Event) -> None:
        if isinstance(event, (t.Listed, t.Attached)):
            if self.run.read(event.placer, event.at, event.until):
                self._told(event.placer, event.machine, event.started_ms)
        elif isinstance(event, t.Offered) and not event.again:
            started = self._started.get((event.placer, event.machine), 0.0)
            if not started or not started <= event.at < started + self.cluster.warm_after_ms:
                return
            self.verdict.checked += 1
            recent = self._recent.setdefault(event.machine, deque())
            recent.append((event.at, event.late))
            while recent[0][0] <= event.at - self.cluster.fall_ms:
                recent.popleft()
            self.most = max(self.most, len(recent))
            if len(recent) > self.cluster.cold_bears:
                text = f"{event.machine} is cold and gets {len(recent)} offers in {self.cluster.fall_ms:g} ms"
                surely = [at for at, late in recent if at - late > event.at - self.cluster.fall_ms]
                if len(surely) > self.cluster.cold_bears:
                    self.broken(event.at, text)
                else:
                    self.undecided(event.at, text, f"the tap was {max(late for _, late in recent):.0f} ms late")

    def _told(self, placer: str, machine: str, started_ms: float) -> None:
        """A later start counts; a list that is behind takes nothing back."""
        self._started[placer, machine] = max(self._started.get((placer, machine), 0.0), started_ms)


class SpreadKept(Checker):
    """Rule 5: of a service, no more tasks of one placer in one place than its class says."""

    rule = "5 spread kept"

    def __init__(self, cluster: Cluster, run: Run) -> None:
        super().__init__(cluster, run)
        self._where: dict[tuple[str, str], t.Listed] = {}
        self._held: dict[tuple[int, int], dict[t.Key, tuple[str, str, float]]] = {}  # machine, service, out until
        self._services: dict[str, tuple[str, str]] = {}  # by task: service and class
        self._lives: dict[tuple[str, str], int] = {}
        self._names: dict[t.Key, str] = {}
        self._open: dict[tuple[int, str], list[t.Key]] = {}  # by incarnation and task: attempts without an outcome yet

    def take(self, event: t.Event) -> None:
        if isinstance(event, t.Attached):
            before = self._lives.get((event.placer, event.machine))
            self._lives[event.placer, event.machine] = event.life
            if before not in (None, event.life):  # all that it held is lost, and its placer knows before any list tells
                for number, incarnation in self._held:
                    if incarnation == event.incarnation:
                        self._drop(self._held[number, incarnation], event.machine)
        elif isinstance(event, t.Listed):
            if event.state:
                self._where[event.placer, event.machine] = event
            else:
                for held in self._held.values():
                    self._drop(held, event.machine)
        elif isinstance(event, t.Offered) and not event.again:
            self._services[event.name] = event.task.service, event.task.task_class
            self._names[event.key] = event.name
            self._open.setdefault((event.key[1], event.name), []).append(event.key)
            self._offered(event)
        elif isinstance(event, t.Told) and event.kind in ("bound", "refused", "failed"):
            keys = self._open.pop((event.incarnation, event.task), ())
            # Given up: an acceptance that the tap saw before that was not read by then, else the task were bound. It
            # counts from its adoption, if an owner claims it.
            for key in keys if event.kind != "bound" else ():
                self._held.get(key[:2], {}).pop(key, None)
        elif isinstance(event, t.Adopted):
            named = self._services.get(event.name)
            held = self._held.setdefault(event.key[:2], {})
            # It takes the place of the attempt by which the machine came to hold the task: with an acceptance about the
            # time-out both were counted.
            for key in [key for key in held if self._names.get(key) == event.name]:
                del held[key]
            if named is not None:
                held[event.key] = event.machine, named[0], float("inf")
                self._names[event.key] = event.name
        elif isinstance(event, t.Withdrawn):
            # An answer about the time-out is heard or given up: without the placer's own word both were counted.
            self._held.get(event.key[:2], {}).pop(event.key, None)
        elif isinstance(event, t.Answered):
            held = self._held.get(event.key[:2], {})
            if event.kind in ("refused", "ended"):
                held.pop(event.key, None)
            elif event.key in held:
                machine, service, until = held[event.key]
                if event.at <= until + SLACK_MS:  # later words are of an attempt that was given up
                    held[event.key] = machine, service, float("inf")

    def _offered(self, event: t.Offered) -> None:
        held = self._held.setdefault(event.key[:2], {})
        # Of a request one attempt counts: whoever offers the next has given the one before up. An acceptance that the tap
        # saw in the millisecond before, and the placer had not read, counted as another task of the service.
        for key in [key for key in held if key[2] == event.key[2] and key[3] < event.key[3]]:
            del held[key]
        cls = self.classes.get(event.task.task_class)
        if cls is not None and cls.spread != "none":
            self.verdict.checked += 1
            count = 1 + sum(
                service == event.task.service and until > event.at and self._together(event, machine, cls.spread)
                for machine, service, until in held.values()
            )
            if count > cls.most:
                self.broken(
                    event.at,
                    f"{event.placer} has {count} tasks of {event.task.service} in one {cls.spread} "
                    f"({event.machine}), {cls.most} allowed",
                )
        # Out until its time-out at the latest; the placer's own clock ran from a moment before.
        held[event.key] = event.machine, event.task.service, event.at - event.late + event.wait_ms - SLACK_MS

    @staticmethod
    def _drop(held: dict[t.Key, tuple[str, str, float]], machine: str) -> None:
        for key in [key for key, entry in held.items() if entry[0] == machine]:
            del held[key]

    def _together(self, event: t.Offered, machine: str, spread: str) -> bool:
        if machine == event.machine:
            return True
        here, there = self._where.get((event.placer, event.machine)), self._where.get((event.placer, machine))
        if spread == "machine" or here is None or there is None:
            return False
        return here.zone == there.zone if spread == "zone" else here.cell == there.cell


CHECKERS: tuple[type[Checker], ...] = (NoTaskLost, NoEffectTwice, DrainsKept, ColdKept, SpreadKept)


def judge(events: Iterable[t.Event], cluster: Cluster, run: Run) -> list[Verdict]:
    """The five verdicts on a run."""
    checkers = [kind(cluster, run) for kind in CHECKERS]
    for event in events:
        for checker in checkers:
            checker.take(event)
    for checker in checkers:
        checker.finish()
    return [checker.verdict for checker in checkers]
