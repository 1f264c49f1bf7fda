"""Speaks the simulator's line protocol for any number of schedulers: wire to interface and back.

Run it with ``python -m sprucepost.adapter``. Each batch on standard input gets one reply on standard output.
"""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from sprucepost import interface as i
from sprucepost.scheduler import Scheduler

EFFECTS = {"pure": i.Effect.SAFE, "token": i.Effect.KEYED, "side_effect": i.Effect.UNSAFE}
PLACES = {
    "off": i.Scope.NONE,
    "machine": i.Scope.MACHINE,
    "cell": i.Scope.CELL,
    "zone": i.Scope.ZONE,
    "all": i.Scope.ALL,
}
REPORTS = {
    "x0": "free_cores",
    "x1": "free_memory",
    "utilization": "busy",
    "backlog": "queue",
    "recent_ms": "start_time",
}
REPEAT_FLAG = 16


class WireError(Exception):
    """Input that does not follow the protocol."""


def _need(mapping: Any, key: str) -> Any:
    """The value at a dotted key; ValueError naming the key where it is missing."""
    for part in key.split("."):
        if not isinstance(mapping, dict) or part not in mapping:
            raise ValueError(f"{key}: missing")
        mapping = mapping[part]
    return mapping


def _choice(key: str, table: dict[str, Any], word: Any) -> Any:
    if word not in table:
        raise ValueError(f"{key}: unknown value {word!r}")
    return table[word]


def _number(key: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{key}: must be a number")
    return float(value)


def _list(key: str, value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError(f"{key}: must be a list")
    return value


def _classes(info: dict[str, Any]) -> tuple[i.TaskClass, ...]:
    family = _need(info, "family_info")
    classes = _list("classes", _need(info, "classes"))

    def per_class(key: str, n: int, default: Any) -> Any:
        values = _list(f"family_info.{key}", family.get(key) or [])
        return values[n] if n < len(values) else default

    return tuple(
        i.TaskClass(
            name=str(entry.get("name", n)),
            aim=_number("classes.objective", _need(entry, "objective")),
            deadline=_number("classes.deadline", _need(entry, "deadline")),
            effect=_choice("classes.effect", EFFECTS, _need(entry, "effect")),
            worth=_number("classes.worth", _need(entry, "worth")),
            late_worth=_number("classes.late_value", entry.get("late_value", 0.0)),
            start_worth=_number("family_info.class_start_s", per_class("class_start_s", n, 0.0)),
            group=_choice("classes.key_scope", PLACES, entry.get("key_scope", "all")),
            window=_number("classes.window", entry.get("window", 0.0)),
            kind=int(_number("family_info.class_kind", per_class("class_kind", n, -1))),
            spread=_choice("family_info.class_spread", PLACES, per_class("class_spread", n, "off")),
            most=int(_number("family_info.most_together", per_class("most_together", n, 0))),
            priority=int(_number("family_info.precedence", per_class("precedence", n, 0))),
            calm=_number("family_info.calm_level", per_class("calm_level", n, 1.0)),
            fade=_number("family_info.fades_over", per_class("fades_over", n, 1.0)),
        )
        for n, entry in enumerate(classes)
    )


def _kinds(info: dict[str, Any]) -> tuple[i.MachineKind, ...]:
    cores = _list("family_info.cores_by_kind", _need(info, "family_info.cores_by_kind"))
    memory = _list("family_info.memory_by_kind", _need(info, "family_info.memory_by_kind"))
    names = info.get("skus") or [str(n) for n in range(len(cores))]
    if not len(cores) == len(memory) == len(names):
        raise ValueError("family_info.memory_by_kind: must give one value for each kind")
    return tuple(
        i.MachineKind(
            str(name), _number("family_info.cores_by_kind", size), _number("family_info.memory_by_kind", room)
        )
        for name, size, room in zip(names, cores, memory, strict=True)
    )


def _tenants(info: dict[str, Any]) -> tuple[i.Tenant, ...]:
    quotas = info["family_info"].get("quota_cores") or []
    return tuple(
        i.Tenant(
            str(entry.get("name", n)),
            _number("tenants.share", entry.get("share", 0.0)),
            _number("family_info.quota_cores", quotas[n]) if n < len(quotas) else float("inf"),
        )
        for n, entry in enumerate(info.get("tenants") or [])
    )


def report_fields(names: Iterable[str]) -> list[str]:
    """What the values of a load report are to the module, by their names in the settings; "" for nothing."""
    return [REPORTS.get(word, "") for word in names]


def settings_from(info: Any) -> i.Settings:
    """Settings from the first message's object; ValueError names the key that is missing or senseless."""

    def number(key: str) -> float:
        return _number(key, _need(info, key))

    family, limits = _need(info, "family_info"), _need(info, "policy_limits")
    modes = {mode.value: mode for mode in i.ListMode}
    return i.Settings(
        number=int(number("me")),
        n_instances=int(number("n_instances")),
        zone=int(number("zone")),
        zones=tuple(str(zone) for zone in _list("areas", _need(info, "areas"))),
        kinds=_kinds(info),
        classes=_classes(info),
        tenants=_tenants(info),
        list_mode=_choice("membership_mode", modes, _need(info, "membership_mode")),
        max_attempts=int(number("policy_limits.max_attempts")),
        accepts_cores=number("family_info.admit_cores"),
        accepts_memory=number("family_info.accepts_memory"),
        cold_bears=number("family_info.cold_bears"),
        fall=number("rules.fall"),
        warm_after=number("rules.warm_after"),
        ask_every=number("rules.ask_every"),
        tick=number("granularity"),
        over_share_worth=_number("over_share_worth", info.get("over_share_worth", 1.0)),
        max_retry_after=_number("policy_limits.max_retry_after", limits.get("max_retry_after", 0.0)),
        room_in_list=bool(family.get("free_in_list", False)),
        report_counts=_choice(
            "family_info.measured_by", {c.value: c for c in i.LoadBasis}, family.get("measured_by", "used")
        ),
        runs_when_accepted=family.get("yes_at") == "running",
        preempts=bool(family.get("makes_room", False)),
    )


class _Parts:
    """The parts of one line, read in order; ``-`` and missing ones are absent."""

    def __init__(self, text: str) -> None:
        self.parts = text.split(" ")
        self.at = 0

    def text(self, default: str | None = None) -> str:
        part = self.parts[self.at] if self.at < len(self.parts) else "-"
        self.at += 1
        if part in ("-", ""):
            if default is None:
                raise ValueError("a value is missing")
            return default
        return part

    def number(self, default: float | None = None) -> float:
        value = float(self.text(None if default is None else str(default)))
        if not math.isfinite(value):
            raise ValueError("a number is not finite")
        return value

    def integer(self, default: int | None = None) -> int:
        return int(self.text(None if default is None else str(default)))

    def rest(self) -> str:
        return " ".join(self.parts[self.at :])


def _entry(parts: _Parts) -> i.MachineEntry:
    zone, memory, state = parts.integer(0), parts.number(0.0), i.MachineState(parts.integer())
    machine, cell, started = parts.text(), parts.integer(0), parts.number(0.0)
    parts.text("")  # the rating says nothing that the kind does not
    cores, kind = parts.number(0.0), parts.integer(0)
    return i.MachineEntry(machine, state, zone, cell, kind, started, cores, memory)


def _request(parts: _Parts) -> i.TaskRequest:
    request, task_class, tenant, task, left = (
        parts.integer(),
        parts.integer(),
        parts.integer(0),
        parts.text(""),
        parts.number(),
    )
    life = parts.text("")
    service, cores, memory, flags = parts.text(), parts.number(0.0), parts.number(0.0), parts.integer(0)
    return i.TaskRequest(
        request,
        task_class,
        service,
        cores,
        memory,
        left,
        tenant,
        task,
        float(life) if life and flags & 1 else None,
        bool(flags & REPEAT_FLAG),
    )


class Adapter:
    """Hosts one scheduler for each instance and turns batches into replies."""

    def __init__(self) -> None:
        self.schedulers: dict[str, Scheduler] = {}
        self.report_fields: dict[str, list[str]] = {}
        self.rosters: dict[int, tuple[i.MachineEntry, ...]] = {}
        self.roster: tuple[int, int, list[i.MachineEntry]] | None = None
        self.now: float | None = None
        self.events: dict[str, list[i.Event]] = {}
        self.reply: list[str] = []
        self.readers: dict[str, Callable[[str, _Parts], i.Event | None]] = {
            "DIRECTORY_UPDATE": self._list,
            "DEMAND": lambda name, parts: _request(parts),
            "FOUND": self._found,
            "ACCEPTED": self._accepted,
            "STATUS_NOTE": self._note,
            "RESPONSE": self._outcome,
            "LAPSED": lambda name, parts: i.RequestAbandoned(parts.integer()),
            "BELL": lambda name, parts: i.TimerFired(parts.rest()),
        }

    def line(self, line: str) -> list[str] | None:
        """Take one line; at the end of a batch return the reply's lines."""
        word, _, rest = line.partition(" ")
        parts = _Parts(rest)
        if self.roster is not None and word != "ROW":
            raise WireError("a ROSTER has fewer ROW lines than it says")
        if word == "TURN":
            if self.now is not None:
                raise WireError("TURN inside a batch")
            self.now, self.events, self.reply = parts.number(), {}, []
            return None
        if self.now is None:
            if not line.strip():
                return None
            raise WireError(f"{word} outside a batch")
        if word == "FLUSH":
            reply = self._finish(self.now)
            self.now = None
            return reply
        if word == "ROSTER":
            self.roster = (parts.integer(), parts.integer(), [])
            self._fill_roster()
        elif word == "ROW":
            if self.roster is None:
                raise WireError("ROW outside a ROSTER")
            self.roster[2].append(_entry(parts))
            self._fill_roster()
        elif word == "UP":
            self._up(parts)
        elif word == "KILLED":
            name = parts.text()
            self.schedulers.pop(name, None)
            self.events.pop(name, None)
        elif word in self.readers:
            name = parts.text()
            event = self.readers[word](name, parts)
            if event is not None and name in self.schedulers:
                self.events.setdefault(name, []).append(event)
        return None

    def _fill_roster(self) -> None:
        if self.roster is not None and len(self.roster[2]) >= self.roster[1]:
            self.rosters[self.roster[0]] = tuple(self.roster[2])
            self.roster = None

    def _up(self, parts: _Parts) -> None:
        name, seed = parts.text(), parts.integer()
        info = json.loads(parts.rest())
        self.schedulers[name] = Scheduler(settings_from(info), seed)
        fields = (info.get("report") or {}).get("fields", [])
        self.report_fields[name] = report_fields(fields)
        self.events[name] = []

    def _list(self, name: str, parts: _Parts) -> i.Event:
        parts.text("")
        number, kind = parts.integer(-1), i.ListKind(parts.integer())
        if kind is i.ListKind.FAILED:
            return i.MachineList(kind)
        if number not in self.rosters:
            raise ValueError("a list number that no ROSTER gave")
        return i.MachineList(kind, self.rosters[number])

    def _found(self, name: str, parts: _Parts) -> i.Event:
        request = _request(parts)
        return i.TaskFound(request, parts.text())

    def _accepted(self, name: str, parts: _Parts) -> i.Event:
        request, attempt = parts.integer(), parts.integer()
        parts.text("")
        return i.Accepted(request, attempt, parts.number(0.0))

    def _note(self, name: str, parts: _Parts) -> i.Event | None:
        request, attempt = parts.integer(), parts.integer()
        parts.text("")
        kind, value = parts.integer(), parts.number(0.0)
        return i.StatusNote(request, attempt, i.StatusKind(kind), value) if kind in set(i.StatusKind) else None

    def _outcome(self, name: str, parts: _Parts) -> i.Event:
        request, attempt = parts.integer(), parts.integer()
        parts.text("")
        ending = i.Ending(parts.text())
        parts.number(0.0)
        closed, reason, usage = parts.integer(0), parts.integer(0), parts.text("")
        report = None
        if usage and name in self.report_fields:
            values = [float(value) for value in usage.split(",")]
            named = zip(self.report_fields[name], values, strict=False)
            report = i.LoadReport(**{field: value for field, value in named if field})
        known = i.Reason(reason) if reason in set(i.Reason) else i.Reason.UNTOLD
        return i.Outcome(request, attempt, ending, bool(closed), known, report)

    def _finish(self, now: float) -> list[str]:
        for name, events in self.events.items():
            try:
                self.reply.extend(_written(name, self.schedulers[name].handle(now, events)))
            except Exception as error:  # whatever the module raises is its declared failure
                text = " ".join(f"{type(error).__name__}: {error}".split())
                self.reply.append(f"BAIL_OUT {name} {text}")
        return [*self.reply, "END"]


def _written(name: str, actions: Iterable[i.Action]) -> Iterable[str]:
    for action in actions:
        if isinstance(action, i.Offer):
            yield f"TRY {name} {action.request} {action.machine} {action.timeout:.3f}"
        elif isinstance(action, i.SetTimer):
            yield f"REMIND {name} {action.delay:.3f} {action.name}"
        elif isinstance(action, i.Refuse):
            yield f"DENY {name} {action.request} {action.retry_after:.3f}"
        elif isinstance(action, i.Fail):
            yield f"FAIL {name} {action.request}"
        elif isinstance(action, i.Subscribe):
            yield f"LISTEN {name} 1"
        elif isinstance(action, i.Log):
            yield f"EMIT {name} {action.text}"


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends; 0 at a clean end, 1 after malformed input."""
    adapter = Adapter()
    number = 0
    try:
        for line in source:
            number += 1
            reply = adapter.line(line.rstrip("\r\n"))
            if reply is not None:
                sink.write("\n".join(reply) + "\n")
                sink.flush()
        if adapter.now is not None:
            raise WireError("input ended inside a batch")
    except (WireError, ValueError, RecursionError) as error:
        print(f"sprucepost: line {number}: {error}", file=errors)
        return 1
    return 0


def main() -> int:
    """Serve standard input and output."""
    return serve(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
