"""What the rules' checkers share: the history of a run, a rule's result, and the base class.

Times are those of the tap. Where two events on different connections are compared, ``SLACK_MS`` allows for what lies between
a process and the tap. What the run did to a placer on purpose (killed, stopped it) is told by :class:`RunHistory`, since a
killed placer owes nothing and a stopped one owes its answers at once when it goes on.

Three things can leave a check open, and then it is *undecided*, which is counted apart and never taken for a pass: the tap
looked late, so that bytes may have been sent in time; the placer got no processor, as probes of its port saw; a message
went out to the placer and its connection was reset before it can have read it. ``docs/scenarios.md`` lists what each rule
takes as proof.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sprucepost.rules import trace as t
from sprucepost.settings import Cluster, TaskClass

SLACK_MS = 250.0


@dataclass
class RuleResult:
    """What a checker found: how often it looked, and each violation in one line. The fields are those of ``result.json``."""

    rule: str
    checked: int = 0
    broken: list[str] = field(default_factory=list)
    undecided: list[str] = field(default_factory=list)


@dataclass
class RunHistory:
    """What the run itself did to placers, and when it ended."""

    killed: dict[str, list[float]] = field(default_factory=dict)  # by placer: moments
    stalled: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # by placer: from, to
    starved: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # by placer: a probe waited from, to
    ended_at: float = float("inf")

    def was_read(self, placer: str, at: float, until: float) -> bool:
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
        """Whether the run killed that placer about then."""
        return any(since - SLACK_MS <= at <= until + SLACK_MS for at in self.killed.get(placer, []))

    def due_after_pauses(self, placer: str, due: float) -> float:
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


class MachineLocations:
    """Where each placer has been told that machines are."""

    def __init__(self) -> None:
        self._listed: dict[tuple[str, str], t.MachineListed] = {}

    def record(self, event: t.MachineListed) -> None:
        """The latest word counts."""
        self._listed[event.placer, event.machine] = event

    def share(self, placer: str, one: str, other: str, place: str) -> bool | None:
        """Whether two machines are in one ``zone`` or ``cell``; None where the placer does not know both."""
        here, there = self._listed.get((placer, one)), self._listed.get((placer, other))
        if here is None or there is None:
            return None
        return here.zone == there.zone if place == "zone" else here.cell == there.cell


class Checker:
    """``observe`` each event, then ``finish``."""

    rule = ""

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        self.cluster, self.history = cluster, history
        self.classes: dict[str, TaskClass] = {cls.name: cls for cls in cluster.classes}
        self.result = RuleResult(self.rule)

    def observe(self, event: t.Event) -> None:
        """Take the next event of the run."""
        raise NotImplementedError

    def finish(self) -> None:
        """Check what is still open at the end of the run."""

    def add_violation(self, at: float, text: str) -> None:
        """The rule was broken at that moment."""
        self.result.broken.append(f"{at:.0f} ms: {text}")

    def add_undecided(self, at: float, text: str, why: str) -> None:
        """The rule may have been broken: the evidence does not say."""
        self.result.undecided.append(f"{at:.0f} ms: {text} ({why})")

    def add_late(self, placer: str, since: float, at: float, late: float, due: float, text: str) -> None:
        """Something came at ``at`` that was due, counted from ``since``; perhaps for a cause that is not the placer's."""
        if at - late <= due:
            self.add_undecided(at, text, f"the tap was {late:.0f} ms late")
        elif (starved := self.history.starved_ms(placer, since, at)) >= at - late - due:
            self.add_undecided(at, text, f"the placer had no processor for {starved:.0f} ms")
        else:
            self.add_violation(at, text)
