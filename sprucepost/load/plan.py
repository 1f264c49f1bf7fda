"""Load plans, as ``load --plan`` reads them: when tasks are submitted, of which classes and by how many owners."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Rate = Annotated[float, Meta(gt=0, le=1_000_000, description="submissions per second, over all placers")]


class Steady(Struct, forbid_unknown_fields=True, frozen=True, tag_field="shape", tag="steady"):
    """Submissions at equal intervals."""

    rate: Rate


class Surge(Struct, forbid_unknown_fields=True, frozen=True):
    """A time with ``times`` the usual rate."""

    from_s: Annotated[float, Meta(ge=0)]
    to_s: Positive
    times: Positive


class Poisson(Struct, forbid_unknown_fields=True, frozen=True, tag_field="shape", tag="poisson"):
    """Poisson arrivals, at a multiple of the rate during surges; of surges that overlap the highest counts."""

    rate: Rate
    surges: list[Surge] = []


class Bursts(Struct, forbid_unknown_fields=True, frozen=True, tag_field="shape", tag="bursts"):
    """``size`` submissions at once, every ``every_ms``; each burst comes up to ``jitter_ms`` later."""

    size: Count
    every_ms: Positive
    jitter_ms: Annotated[float, Meta(ge=0)] = 0.0


class Ramp(Struct, forbid_unknown_fields=True, frozen=True, tag_field="shape", tag="ramp"):
    """Poisson arrivals at a rate that changes linearly from one to the other."""

    from_rate: Rate
    to_rate: Rate


class Replay(Struct, forbid_unknown_fields=True, frozen=True, tag_field="shape", tag="replay"):
    """The submissions of a recorded run, ``times`` as fast, with their own classes, owners and services."""

    record: Annotated[str, Meta(description="folder that `sprucepost badday --record` wrote")]
    times: Positive = 1.0


class Class(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of tasks and its ``share`` of the submissions; a placement within ``aim_ms`` is good."""

    name: str
    share: Positive = 1.0
    cores: Positive = 0.1
    memory: Positive = 0.1
    left_ms: Positive = 3000.0
    aim_ms: Positive = 500.0
    life_ms: Positive = 1000.0


class Plan(Struct, forbid_unknown_fields=True, frozen=True):
    """A whole load plan. ``length_s`` is the time in which submissions are due."""

    arrivals: Steady | Poisson | Bursts | Ramp | Replay
    classes: list[Class] = []
    length_s: Annotated[float, Meta(gt=0, le=86_400)] = 10.0
    seed: int = 1
    owners: Annotated[int, Meta(ge=1, le=10_000, description="each has a session at each placer")] = 8
    owner_skew: Annotated[
        float,
        Meta(
            ge=0, le=4, description="0: equal shares; 1: the n-th owner submits a n-th of the first one's tasks (Zipf)"
        ),
    ] = 0.0
    services: Count = 50
    credit: Annotated[bool, Meta(description="owners keep to the placer's credit")] = True
    batches: Annotated[bool, Meta(description="owners accept many refusals in one frame")] = True

    def problems(self) -> list[str]:
        """Return a line for each contradiction in the plan, with its key."""
        lines = []
        if isinstance(self.arrivals, Replay):
            if self.classes:
                lines.append("classes: a replay has those of the recorded run")
        elif not self.classes:
            lines.append("classes: at least one is needed")
        names = [cls.name for cls in self.classes]
        for n, name in enumerate(names):
            if name in names[:n]:
                lines.append(f"classes[{n}].name: {name} is given twice")
        if isinstance(self.arrivals, Poisson):
            for n, surge in enumerate(self.arrivals.surges):
                if surge.to_s <= surge.from_s:
                    lines.append(f"arrivals.surges[{n}].to_s: must be after from_s")
        return lines
