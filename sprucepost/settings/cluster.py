"""Settings of a deployment: zones, machine kinds, task classes, tenants and limits.

Times are in milliseconds; cores and memory are in the units that the site uses. Docstrings and descriptions of the
Structs are part of the published JSON schema.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from sprucepost import interface as i

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(min_length=1, max_length=128, pattern=r"^[^\s]+$")]


class Kind(Struct, forbid_unknown_fields=True, frozen=True):
    """A kind of machine."""

    name: Name
    cores: Positive
    memory: Positive


class TaskClass(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of tasks."""

    name: Name
    aim_ms: Annotated[Positive, Meta(description="a start within this time earns its full worth")]
    deadline_ms: Annotated[Positive, Meta(description="an owner waits so long for a placing")]
    effect: Annotated[Literal["safe", "keyed", "unsafe"], Meta(description="what a second run does")]
    worth: Annotated[NotNegative, Meta(description="of a second of full service")]
    late_worth: NotNegative = 0.0
    start_worth: NotNegative = 0.0
    group: Annotated[
        Literal["all", "zone", "cell"], Meta(description="keyed: the machines that discard repeats of a key")
    ] = "all"
    window_ms: Annotated[NotNegative, Meta(description="keyed: how long they do, from the first try on")] = 0.0
    kind: Annotated[str | None, Meta(description="the only machine kind that takes it")] = None
    spread: Annotated[Literal["none", "machine", "cell", "zone"], Meta(description="where `most` counts")] = "none"
    most: Annotated[int, Meta(ge=0, description="tasks of one service that a placer may have in one such place")] = 0
    priority: Annotated[int, Meta(ge=0, le=3)] = 0
    calm: Annotated[Positive, Meta(description="share of busy cores up to which it is served in full")] = 1.0
    fade: Annotated[Positive, Meta(description="share beyond that over which service drops to nothing")] = 1.0


class Tenant(Struct, forbid_unknown_fields=True, frozen=True):
    name: Name
    share: NotNegative
    quota_cores: Positive | None = None


class Cluster(Struct, forbid_unknown_fields=True, frozen=True):
    """What every placer of a deployment is told alike."""

    zones: Annotated[list[Name], Meta(min_length=1)]
    kinds: Annotated[list[Kind], Meta(min_length=1)]
    classes: Annotated[list[TaskClass], Meta(min_length=1)]
    max_attempts: Count
    accepts_cores: Annotated[Positive, Meta(description="machines accept tasks up to this many times their cores")]
    accepts_memory: Annotated[Positive, Meta(description="and up to this many times their memory")]
    cold_bears: Annotated[NotNegative, Meta(description="offers in `fall_ms` that a cold machine bears in any case")]
    fall_ms: Positive
    warm_after_ms: NotNegative
    drain_grace_ms: Annotated[NotNegative, Meta(description="how long after word of a drain an offer may still go out")]
    list_ask_every_ms: Positive
    tenants: list[Tenant] = []
    over_share_worth: NotNegative = 1.0
    max_retry_after_ms: NotNegative = 0.0
    owner_wait_ms: Annotated[
        NotNegative, Meta(description="owners wait so long before they ask again for what may run already")
    ] = 3000.0
    room_in_list: bool = True
    report_counts: Literal["asked", "used"] = "used"
    preempts: bool = False

    def problems(self) -> list[str]:
        """Return one line for each invalid value or combination, beginning with the path of its key."""
        found = []
        for key, names in (
            ("zones", self.zones),
            ("kinds", [kind.name for kind in self.kinds]),
            ("classes", [cls.name for cls in self.classes]),
            ("tenants", [tenant.name for tenant in self.tenants]),
        ):
            found += [f"{key}: {name!r} appears twice" for name in sorted(set(names)) if names.count(name) > 1]
        for n, cls in enumerate(self.classes):
            at = f"classes[{n}]"
            if cls.effect == "keyed" and cls.window_ms <= 0:
                found.append(f"{at}.window_ms: must be above 0 for a keyed class")
            if cls.spread != "none" and cls.most < 1:
                found.append(f"{at}.most: must be at least 1 where spread is {cls.spread!r}")
            if cls.aim_ms > cls.deadline_ms:
                found.append(f"{at}.aim_ms: must not be above deadline_ms")
            if cls.kind is not None and cls.kind not in [kind.name for kind in self.kinds]:
                found.append(f"{at}.kind: no machine kind is named {cls.kind!r}")
        return found

    @property
    def max_clock_skew_ms(self) -> float:
        """Largest difference between a placer's clock and the list's at which the placer still places tasks, in ms.

        A machine counts as cold for this much longer, because a clock that is ahead finds it warm too early: after a
        step of one host's clock, two machines got one offer too many in the last 15 ms of their cold period.
        """
        return self.fall_ms / 4.0

    def to_interface(self, number: int, instances: int, zone: str, tick_ms: float) -> i.Settings:
        """Return the decision module's settings for placer ``number`` of ``instances``.

        ``tick_ms`` is the granularity of its timers.
        """
        kinds = [kind.name for kind in self.kinds]
        return i.Settings(
            number=number,
            n_instances=instances,
            zone=self.zones.index(zone),
            zones=tuple(self.zones),
            kinds=tuple(i.MachineKind(kind.name, kind.cores, kind.memory) for kind in self.kinds),
            classes=tuple(
                i.TaskClass(
                    name=cls.name,
                    aim=cls.aim_ms,
                    deadline=cls.deadline_ms,
                    effect=i.Effect(cls.effect),
                    worth=cls.worth,
                    late_worth=cls.late_worth,
                    start_worth=cls.start_worth,
                    group=i.Scope(cls.group),
                    window=cls.window_ms,
                    kind=-1 if cls.kind is None else kinds.index(cls.kind),
                    spread=i.Scope(cls.spread),
                    most=cls.most,
                    priority=cls.priority,
                    calm=cls.calm,
                    fade=cls.fade,
                )
                for cls in self.classes
            ),
            # The decision module requests the list itself, so that it decides when to call and when to retry.
            list_mode=i.ListMode.ASK,
            max_attempts=self.max_attempts,
            accepts_cores=self.accepts_cores,
            accepts_memory=self.accepts_memory,
            cold_bears=self.cold_bears,
            fall=self.fall_ms,
            warm_after=self.warm_after_ms + self.max_clock_skew_ms,
            ask_every=self.list_ask_every_ms,
            tick=tick_ms,
            tenants=tuple(
                i.Tenant(t.name, t.share, float("inf") if t.quota_cores is None else t.quota_cores)
                for t in self.tenants
            ),
            over_share_worth=self.over_share_worth,
            max_retry_after=self.max_retry_after_ms,
            room_in_list=self.room_in_list,
            report_counts=i.LoadBasis(self.report_counts),
            preempts=self.preempts,
        )
