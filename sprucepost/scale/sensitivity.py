"""Sensitivity of the top-ranked demand: varies each assumption alone, then those of the counting together.

The assumptions are the weights of the measures of harm, the parameters of the plan (shares that the users' figures leave
open), and how well existing mechanisms can be made to serve (:class:`sprucepost.scale.present.Assumptions`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import product

import msgspec

from sprucepost.scale.demands import EQUAL, Demand, Outcome, Ranked, Weights, count, rank
from sprucepost.scale.plan import Day, Plan, draw
from sprucepost.scale.present import HAND_S_PER_PROCESS, ROLL_S_PER_PROCESS, STRICT, Assumptions, observe
from sprucepost.scale.settings import FleetSize

WEIGHTS: dict[str, Weights] = {
    "equal": EQUAL,
    "starts alone": Weights(1, 0, 0),
    "worth alone": Weights(0, 1, 0),
    "time alone": Weights(0, 0, 1),
    "without starts": Weights(0, 1, 1),
    "without worth": Weights(1, 0, 1),
    "without time": Weights(1, 1, 0),
}
ROLLOUTS: dict[str, float | None] = {
    "not carried": None,
    "each by hand": HAND_S_PER_PROCESS,
    "as quick as a roll": ROLL_S_PER_PROCESS,
}
MEMBERS_LATE: dict[str, float | None] = {"not carried": None, "10 %": 0.1, "1 %": 0.01}
STALE_EFFECTS = (1.0, 0.3, 0.1)


@dataclass(frozen=True, slots=True)
class Case:
    """One varied assumption, and the two demands that then rank highest."""

    assumption: str
    value: str
    first: Ranked
    second: Ranked

    @property
    def margin(self) -> float:
        """Ratio of the first demand's score to the second's."""
        low = self.second.score or 0.0
        return (self.first.score or 0.0) / low if low else float("inf")


def cases(size: FleetSize, seed: int) -> Iterator[Case]:
    """Vary one assumption at a time; the first case is the unchanged one."""
    plan = draw(size, seed)
    strict = count(plan, observe(plan))
    for name, weights in WEIGHTS.items():
        yield _case("weights", name, strict, weights)
    for assumption, value, assumptions in _assumptions_alone():
        yield _case(assumption, value, count(plan, observe(plan, assumptions)))
    for assumption, value, other in _sizes(size):
        yield _drawn(assumption, value, draw(other, seed))
    for other_seed in (seed + 1, seed + 2):
        yield _drawn("seed", str(other_seed), draw(size, other_seed))
    yield _drawn("day", Day.DOMINANT_TEAM.value, draw(size, seed, Day.DOMINANT_TEAM))


def together(size: FleetSize, seed: int) -> dict[str, Counter[Demand]]:
    """How often each demand ranks first over all combinations of weights and stale effects, by how changes are rolled out
    and how likely a gang member is late."""
    plan = draw(size, seed)
    firsts: dict[str, Counter[Demand]] = {}
    for (rollout, s_per_process), (late, member_late) in product(ROLLOUTS.items(), MEMBERS_LATE.items()):
        counter = firsts.setdefault(f"changes: {rollout}; members late: {late}", Counter())
        for effect in STALE_EFFECTS:
            assumptions = Assumptions(s_per_process, member_late, effect)
            outcomes = count(plan, observe(plan, assumptions))
            counter.update(rank(outcomes, weights)[0].outcome.demand for weights in WEIGHTS.values())
    return firsts


def _assumptions_alone() -> Iterator[tuple[str, str, Assumptions]]:
    for name, s_per_process in ROLLOUTS.items():
        yield "changes reach processes", name, replace(STRICT, rollout_s_per_process=s_per_process)
    for name, member_late in MEMBERS_LATE.items():
        yield "members of gangs late", name, replace(STRICT, member_late=member_late)
    for effect in STALE_EFFECTS:
        yield "old configuration matters to", f"{effect:.0%}", replace(STRICT, stale_effect=effect)
    for percent in (1.2, 3.4):
        yield "CPU of a view, %", f"{percent:g}", replace(STRICT, cpu_percent=percent)


def _sizes(size: FleetSize) -> Iterator[tuple[str, str, FleetSize]]:
    """Sizes with one parameter changed that the users' figures leave open."""
    for part, key, values in (
        ("work", "gang_share", (0.02, 0.3)),
        ("work", "tasks_per_job", (3.0, 30.0)),
        ("teams", "over_asking", (0.0, 0.3)),
        ("teams", "quota_headroom", (0.75, 3.0)),
        ("changes", "fleet_wide_share", (0.0, 0.5)),
    ):
        for value in values:
            changed = msgspec.structs.replace(getattr(size, part), **{key: value})
            yield f"{part}.{key}", f"{value:g}", msgspec.structs.replace(size, **{part: changed})


def _drawn(assumption: str, value: str, plan: Plan) -> Case:
    return _case(assumption, value, count(plan, observe(plan)))


def _case(assumption: str, value: str, outcomes: tuple[Outcome, ...], weights: Weights = EQUAL) -> Case:
    ranked = rank(outcomes, weights)
    return Case(assumption, value, ranked[0], ranked[1])
