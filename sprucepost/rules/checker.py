"""Shared parts of the rule checkers: the history of a run, the result of a rule and the checkers' base class.

Times are in ms, as the recording proxy took them. Where events on different connections are compared, ``SLACK_MS``
allows for the delay between a process and the proxy. :class:`RunHistory` holds what the run did to placers on purpose:
a killed placer has nothing left to answer, and a stopped one must answer as soon as it continues.

A check is *undecided* where the evidence doesn't suffice. Undecided checks are counted apart and never as passed. There
are three causes: the proxy read late, so that the bytes may have been sent in time; the placer got no CPU time, as
probes of its port show; a message went out to the placer and its connection was reset before the placer can have read
it. ``docs/scenarios.md`` lists what each rule takes as proof.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sprucepost.rules import trace as t
from sprucepost.settings import Cluster, TaskClass

SLACK_MS = 250.0  # for the delay between a process and the recording proxy


@dataclass
class RuleResult:
    """Result of a rule: the number of checks and a line for each violation. The fields are those of ``result.json``."""

    rule: str
    checked: int = 0
    broken: list[str] = field(default_factory=list)
    undecided: list[str] = field(default_factory=list)


@dataclass
class RunHistory:
    """What the run did to placers, and when it ended. All times in ms."""

    killed: dict[str, list[float]] = field(default_factory=dict)  # times by placer
    stalled: dict[str, list[tuple[float, float]]] = field(
        default_factory=dict
    )  # (from, to) by placer: stopped by the run
    starved: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # (from, to) by placer: a probe waited
    ended_at: float = float("inf")

    def was_read(self, placer: str, at: float, until: float) -> bool:
        """Return whether a placer must have read what was sent to it ``at`` on a connection that ended at ``until``.

        Bytes that a process hasn't read are lost when the connection is reset. Time in which the placer didn't run
        doesn't count.
        """
        if until == float("inf"):
            return True
        pauses = [*self.stalled.get(placer, []), *self.starved.get(placer, [])]
        return until - at - _overlap(pauses, at, until) > SLACK_MS

    def starved_ms(self, placer: str, since: float, until: float) -> float:
        """Return for how many ms of that time the placer left a probe of its port unanswered although it wasn't stopped."""
        starved, stalled = self.starved.get(placer, []), self.stalled.get(placer, [])
        stopped = sum(_overlap(stalled, max(a, since), min(b, until)) for a, b in starved)
        return max(0.0, _overlap(starved, since, until) - stopped)

    def killed_between(self, placer: str, since: float, until: float) -> bool:
        """Return whether the run killed that placer in that time, give or take ``SLACK_MS``."""
        return any(since - SLACK_MS <= at <= until + SLACK_MS for at in self.killed.get(placer, []))

    def due_after_pauses(self, placer: str, due: float) -> float:
        """Return ``due``, or where the placer was stopped at that time, the end of the stop and some slack."""
        for since, until in self.stalled.get(placer, []):
            if since <= due <= until + SLACK_MS:
                due = max(due, until + 2 * SLACK_MS)
        return due


def _overlap(spans: list[tuple[float, float]], since: float, until: float) -> float:
    """Return how many ms from ``since`` to ``until`` the spans cover; overlaps count once."""
    covered, reached = 0.0, since
    for start, end in sorted(spans):
        start, end = max(start, reached), min(end, until)
        if end > start:
            covered, reached = covered + end - start, end
    return covered


class MachineLocations:
    """The locations of machines as each placer knows them from the list."""

    def __init__(self) -> None:
        self._listed: dict[tuple[str, str], t.MachineListed] = {}

    def record(self, event: t.MachineListed) -> None:
        """Record the location in a list entry; the latest entry counts."""
        self._listed[event.placer, event.machine] = event

    def share_location(self, placer: str, one: str, other: str, level: str) -> bool | None:
        """Return whether two machines share a location; None where the placer doesn't know both.

        ``level`` is ``zone`` or ``cell``.
        """
        first, second = self._listed.get((placer, one)), self._listed.get((placer, other))
        if first is None or second is None:
            return None
        return first.zone == second.zone if level == "zone" else first.cell == second.cell


class Checker:
    """Base class of the checkers: call ``observe`` with each event in order, then ``finish``."""

    rule = ""

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        self.cluster, self.history = cluster, history
        self.classes: dict[str, TaskClass] = {cls.name: cls for cls in cluster.classes}
        self.result = RuleResult(self.rule)

    def observe(self, event: t.Event) -> None:
        """Process the next event of the run."""
        raise NotImplementedError

    def finish(self) -> None:
        """Check what is still open at the end of the run."""

    def add_violation(self, at: float, text: str) -> None:
        """Record a violation of the rule."""
        self.result.broken.append(f"{at:.0f} ms: {text}")

    def add_undecided(self, at: float, text: str, reason: str) -> None:
        """Record a possible violation that the evidence neither proves nor rules out."""
        self.result.undecided.append(f"{at:.0f} ms: {text} ({reason})")

    def add_late(self, placer: str, since: float, at: float, late: float, due: float, text: str) -> None:
        """Record something that came ``at``, after it was ``due``, as a violation or as undecided.

        It is undecided where the delay may be the proxy's, which read up to ``late`` ms late, or where the placer
        lacked CPU time between ``since`` and ``at``.
        """
        if at - late <= due:
            self.add_undecided(at, text, f"the recording proxy read {late:.0f} ms late")
        elif (starved := self.history.starved_ms(placer, since, at)) >= at - late - due:
            self.add_undecided(at, text, f"the placer got no CPU time for {starved:.0f} ms")
        else:
            self.add_violation(at, text)
