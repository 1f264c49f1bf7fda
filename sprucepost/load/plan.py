"""A load plan: how many asks come when, of which classes, by how many owners. What ``load --plan`` reads."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Rate = Annotated[float, Meta(gt=0, le=1_000_000, description="asks a second, over all placers")]


class Steady(Struct, forbid_unknown_fields=True, frozen=True, tag_field="shape", tag="steady"):
    """One ask after the other, evenly."""

    rate: Rate


class Surge(Struct, forbid_unknown_fields=True, frozen=True):
    from_s: Annotated[float, Meta(ge=0)]
    to_s: Positive
    times: Positive


class Poisson(Struct, forbid_unknown_fields=True, frozen=True, tag_field="shape", tag="poisson"):
    """Independent asks; within a surge so many times as many."""

    rate: Rate
    surges: list[Surge] = []


class Bursts(Struct, forbid_unknown_fields=True, frozen=True, tag_field="shape", tag="bursts"):
    """``size`` asks at once, every ``every_ms``, each burst up to ``jitter_ms`` later."""

    size: Count
    every_ms: Positive
    jitter_ms: Annotated[float, Meta(ge=0)] = 0.0


class Ramp(Struct, forbid_unknown_fields=True, frozen=True, tag_field="shape", tag="ramp"):
    """Independent asks at a rate that moves evenly from one to the other."""

    from_rate: Rate
    to_rate: Rate


class Replay(Struct, forbid_unknown_fields=True, frozen=True, tag_field="shape", tag="replay"):
    """The asks of a recorded day, ``times`` as fast; classes, owners and services are the day's own."""

    record: Annotated[str, Meta(description="folder that `sprucepost badday --record` wrote")]
    times: Positive = 1.0


class Class(Struct, forbid_unknown_fields=True, frozen=True):
    """One kind of ask; ``share`` among the classes. ``aim_ms``: placed within that is good."""

    name: str
    share: Positive = 1.0
    cores: Positive = 0.1
    memory: Positive = 0.1
    left_ms: Positive = 3000.0
    aim_ms: Positive = 500.0
    life_ms: Positive = 1000.0


class Plan(Struct, forbid_unknown_fields=True, frozen=True):
    arrivals: Steady | Poisson | Bursts | Ramp | Replay
    classes: list[Class] = []
    length_s: Annotated[float, Meta(gt=0, le=86_400)] = 10.0
    seed: int = 1
    owners: Annotated[int, Meta(ge=1, le=10_000, description="each has a session at each placer")] = 8
    owner_skew: Annotated[
        float, Meta(ge=0, le=4, description="0: all ask alike; 1: the n-th asks a n-th of the first (Zipf)")
    ] = 0.0
    services: Count = 50
    credit: Annotated[bool, Meta(description="owners keep to the placer's credit")] = True
    batches: Annotated[bool, Meta(description="owners take many refusals in one frame")] = True

    def problems(self) -> list[str]:
        lines = []
        if isinstance(self.arrivals, Replay):
            if self.classes:
                lines.append("classes: a replay has the recorded day's own")
        elif not self.classes:
            lines.append("classes: at least one is needed")
        names = [cls.name for cls in self.classes]
        for n, name in enumerate(names):
            if name in names[:n]:
                lines.append(f"classes[{n}].name: {name} is there twice")
        if isinstance(self.arrivals, Poisson):
            for n, surge in enumerate(self.arrivals.surges):
                if surge.to_s <= surge.from_s:
                    lines.append(f"arrivals.surges[{n}].to_s: must be after from_s")
        return lines
