"""Adapter between the simulator's line protocol and the schedulers' interface, for any number of schedulers.

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
SCOPES = {
    "off": i.Scope.NONE,
    "machine": i.Scope.MACHINE,
    "cell": i.Scope.CELL,
    "zone": i.Scope.ZONE,
    "all": i.Scope.ALL,
}
REPORT_FIELDS = {
    "x0": "free_cores",
    "x1": "free_memory",
    "utilization": "busy",
    "backlog": "queue",
    "recent_ms": "start_time",
}
REPEAT_FLAG = 16


class ProtocolError(Exception):
    """Input that violates the protocol."""


def _required(mapping: Any, key: str) -> Any:
    """Return the value at a dotted key; ValueError names a key that is missing."""
    for part in key.split("."):
        if not isinstance(mapping, dict) or part not in mapping:
            raise ValueError(f"{key}: missing")
        mapping = mapping[part]
    return mapping


def _choice(key: str, table: dict[str, Any], value: Any) -> Any:
    if value not in table:
        raise ValueError(f"{key}: unknown value {value!r}")
    return table[value]


def _number(key: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{key}: must be a number")
    return float(value)


def _list(key: str, value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError(f"{key}: must be a list")
    return value


def _classes(info: dict[str, Any]) -> tuple[i.TaskClass, ...]:
    family = _required(info, "family_info")
    classes = _list("classes", _required(info, "classes"))

    def per_class(key: str, n: int, default: Any) -> Any:
        values = _list(f"family_info.{key}", family.get(key) or [])
        return values[n] if n < len(values) else default

    return tuple(
        i.TaskClass(
            name=str(entry.get("name", n)),
            aim=_number("classes.objective", _required(entry, "objective")),
            deadline=_number("classes.deadline", _required(entry, "deadline")),
            effect=_choice("classes.effect", EFFECTS, _required(entry, "effect")),
            worth=_number("classes.worth", _required(entry, "worth")),
            late_worth=_number("classes.late_value", entry.get("late_value", 0.0)),
            start_worth=_number("family_info.class_start_s", per_class("class_start_s", n, 0.0)),
            group=_choice("classes.key_scope", SCOPES, entry.get("key_scope", "all")),
            window=_number("classes.window", entry.get("window", 0.0)),
            kind=int(_number("family_info.class_kind", per_class("class_kind", n, -1))),
            spread=_choice("family_info.class_spread", SCOPES, per_class("class_spread", n, "off")),
            most=int(_number("family_info.most_together", per_class("most_together", n, 0))),
            priority=int(_number("family_info.precedence", per_class("precedence", n, 0))),
            calm=_number("family_info.calm_level", per_class("calm_level", n, 1.0)),
            fade=_number("family_info.fades_over", per_class("fades_over", n, 1.0)),
        )
        for n, entry in enumerate(classes)
    )


def _kinds(info: dict[str, Any]) -> tuple[i.MachineKind, ...]:
    cores = _list("family_info.cores_by_kind", _required(info, "family_info.cores_by_kind"))
    memory = _list("family_info.memory_by_kind", _required(info, "family_info.memory_by_kind"))
    names = info.get("skus") or [str(n) for n in range(len(cores))]
    if not len(cores) == len(memory) == len(names):
        raise ValueError("family_info.memory_by_kind: must give one value for each kind")
    return tuple(
        i.MachineKind(
            str(name),
            _number("family_info.cores_by_kind", kind_cores),
            _number("family_info.memory_by_kind", kind_memory),
        )
        for name, kind_cores, kind_memory in zip(names, cores, memory, strict=True)
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
    """Return the LoadReport fields for the names of a report's values in the settings; "" for an unknown name."""
    return [REPORT_FIELDS.get(name, "") for name in names]


def settings_from(info: Any) -> i.Settings:
    """Return the settings from the object of an UP line; ValueError names a key that is missing or invalid."""

    def number(key: str) -> float:
        return _number(key, _required(info, key))

    family, limits = _required(info, "family_info"), _required(info, "policy_limits")
    modes = {mode.value: mode for mode in i.ListMode}
    return i.Settings(
        number=int(number("me")),
        n_instances=int(number("n_instances")),
        zone=int(number("zone")),
        zones=tuple(str(zone) for zone in _list("areas", _required(info, "areas"))),
        kinds=_kinds(info),
        classes=_classes(info),
        tenants=_tenants(info),
        list_mode=_choice("membership_mode", modes, _required(info, "membership_mode")),
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


class _Fields:
    """The space-separated fields of one line, read in order; ``-`` and missing fields are absent."""

    def __init__(self, text: str) -> None:
        self.values = text.split(" ")
        self.position = 0

    def text(self, default: str | None = None) -> str:
        field = self.values[self.position] if self.position < len(self.values) else "-"
        self.position += 1
        if field in ("-", ""):
            if default is None:
                raise ValueError("a field is missing")
            return default
        return field

    def number(self, default: float | None = None) -> float:
        value = float(self.text(None if default is None else str(default)))
        if not math.isfinite(value):
            raise ValueError("a number is not finite")
        return value

    def integer(self, default: int | None = None) -> int:
        return int(self.text(None if default is None else str(default)))

    def rest(self) -> str:
        return " ".join(self.values[self.position :])


def _entry(fields: _Fields) -> i.MachineEntry:
    zone, memory, state = fields.integer(0), fields.number(0.0), i.MachineState(fields.integer())
    machine, cell, started = fields.text(), fields.integer(0), fields.number(0.0)
    fields.text("")  # the rating adds nothing to the machine kind
    cores, kind = fields.number(0.0), fields.integer(0)
    return i.MachineEntry(machine, state, zone, cell, kind, started, cores, memory)


def _request(fields: _Fields) -> i.TaskRequest:
    request, task_class, tenant, task, left = (
        fields.integer(),
        fields.integer(),
        fields.integer(0),
        fields.text(""),
        fields.number(),
    )
    lifetime = fields.text("")
    service, cores, memory, flags = fields.text(), fields.number(0.0), fields.number(0.0), fields.integer(0)
    return i.TaskRequest(
        request,
        task_class,
        service,
        cores,
        memory,
        left,
        tenant,
        task,
        float(lifetime) if lifetime and flags & 1 else None,
        bool(flags & REPEAT_FLAG),
    )


class Adapter:
    """Runs one scheduler for each instance and answers batches of lines."""

    def __init__(self) -> None:
        self.schedulers: dict[str, Scheduler] = {}
        self.report_fields: dict[str, list[str]] = {}
        self.complete_rosters: dict[int, tuple[i.MachineEntry, ...]] = {}
        self.open_roster: tuple[int, int, list[i.MachineEntry]] | None = None
        self.now: float | None = None
        self.events: dict[str, list[i.Event]] = {}
        self.reply: list[str] = []
        self.parsers: dict[str, Callable[[str, _Fields], i.Event | None]] = {
            "DIRECTORY_UPDATE": self._parse_list,
            "DEMAND": lambda name, fields: _request(fields),
            "FOUND": self._parse_found,
            "ACCEPTED": self._parse_accepted,
            "STATUS_NOTE": self._parse_note,
            "RESPONSE": self._parse_outcome,
            "LAPSED": lambda name, fields: i.RequestAbandoned(fields.integer()),
            "BELL": lambda name, fields: i.TimerFired(fields.rest()),
        }

    def handle_line(self, line: str) -> list[str] | None:
        """Process one line; at the end of a batch return the lines of the reply, otherwise None."""
        keyword, _, rest = line.partition(" ")
        fields = _Fields(rest)
        if self.open_roster is not None and keyword != "ROW":
            raise ProtocolError("a ROSTER has fewer ROW lines than it announced")
        if keyword == "TURN":
            if self.now is not None:
                raise ProtocolError("TURN inside a batch")
            self.now, self.events, self.reply = fields.number(), {}, []
            return None
        if self.now is None:
            if not line.strip():
                return None
            raise ProtocolError(f"{keyword} outside a batch")
        if keyword == "FLUSH":
            reply = self._run_batch(self.now)
            self.now = None
            return reply
        if keyword == "ROSTER":
            self.open_roster = (fields.integer(), fields.integer(), [])
            self._complete_roster()
        elif keyword == "ROW":
            if self.open_roster is None:
                raise ProtocolError("ROW outside a ROSTER")
            self.open_roster[2].append(_entry(fields))
            self._complete_roster()
        elif keyword == "UP":
            self._start_instance(fields)
        elif keyword == "KILLED":
            name = fields.text()
            self.schedulers.pop(name, None)
            self.events.pop(name, None)
        elif keyword in self.parsers:
            name = fields.text()
            event = self.parsers[keyword](name, fields)
            if event is not None and name in self.schedulers:
                self.events.setdefault(name, []).append(event)
        return None

    def _complete_roster(self) -> None:
        if self.open_roster is not None and len(self.open_roster[2]) >= self.open_roster[1]:
            self.complete_rosters[self.open_roster[0]] = tuple(self.open_roster[2])
            self.open_roster = None

    def _start_instance(self, fields: _Fields) -> None:
        name, seed = fields.text(), fields.integer()
        info = json.loads(fields.rest())
        self.schedulers[name] = Scheduler(settings_from(info), seed)
        names = (info.get("report") or {}).get("fields", [])
        self.report_fields[name] = report_fields(names)
        self.events[name] = []

    def _parse_list(self, name: str, fields: _Fields) -> i.Event:
        fields.text("")
        number, kind = fields.integer(-1), i.ListKind(fields.integer())
        if kind is i.ListKind.FAILED:
            return i.MachineList(kind)
        if number not in self.complete_rosters:
            raise ValueError("no ROSTER has this list number")
        return i.MachineList(kind, self.complete_rosters[number])

    def _parse_found(self, name: str, fields: _Fields) -> i.Event:
        request = _request(fields)
        return i.TaskFound(request, fields.text())

    def _parse_accepted(self, name: str, fields: _Fields) -> i.Event:
        request, attempt = fields.integer(), fields.integer()
        fields.text("")
        return i.Accepted(request, attempt, fields.number(0.0))

    def _parse_note(self, name: str, fields: _Fields) -> i.Event | None:
        request, attempt = fields.integer(), fields.integer()
        fields.text("")
        kind, value = fields.integer(), fields.number(0.0)
        return i.StatusNote(request, attempt, i.StatusKind(kind), value) if kind in set(i.StatusKind) else None

    def _parse_outcome(self, name: str, fields: _Fields) -> i.Event:
        request, attempt = fields.integer(), fields.integer()
        fields.text("")
        ending = i.Ending(fields.text())
        fields.number(0.0)
        closed, reason, usage = fields.integer(0), fields.integer(0), fields.text("")
        report = None
        if usage and name in self.report_fields:
            values = [float(value) for value in usage.split(",")]
            named = zip(self.report_fields[name], values, strict=False)
            report = i.LoadReport(**{field: value for field, value in named if field})
        known = i.Reason(reason) if reason in set(i.Reason) else i.Reason.UNTOLD
        return i.Outcome(request, attempt, ending, bool(closed), known, report)

    def _run_batch(self, now: float) -> list[str]:
        for name, events in self.events.items():
            try:
                self.reply.extend(_encode_actions(name, self.schedulers[name].handle(now, events)))
            except Exception as error:  # the protocol reports any exception of the module as a failure
                text = " ".join(f"{type(error).__name__}: {error}".split())
                self.reply.append(f"BAIL_OUT {name} {text}")
        return [*self.reply, "END"]


def _encode_actions(name: str, actions: Iterable[i.Action]) -> Iterable[str]:
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
    """Answer batches until the input ends. Return the exit status: 0 at a clean end, 1 after malformed input."""
    adapter = Adapter()
    number = 0
    try:
        for line in source:
            number += 1
            reply = adapter.handle_line(line.rstrip("\r\n"))
            if reply is not None:
                sink.write("\n".join(reply) + "\n")
                sink.flush()
        if adapter.now is not None:
            raise ProtocolError("input ended inside a batch")
    except (ProtocolError, ValueError, RecursionError) as error:
        print(f"sprucepost: line {number}: {error}", file=errors)
        return 1
    return 0


def main() -> int:
    """Serve batches from standard input on standard output; return the exit status."""
    return serve(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
