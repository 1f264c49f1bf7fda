"""The bulletin's events: bytes to the module's list. No I/O.

Events are numbered; a document holds those after the number that was asked for. What is held is the last event taken
whole and each host's entry. A repeated number is passed over; a number that skips some shows that something was missed,
and the whole list is asked for again. What comes before an event that cannot be taken counts: it is told once only.
An event that tells the whole list overrides those before it. Where each one does, a document with fifty of them for a
thousand hosts is 9 MB; so what is overridden is forgotten while it is parsed, and is not read.
"""

from __future__ import annotations

import ipaddress
import json
import math
from dataclasses import dataclass
from typing import Any, TypeGuard

from sprucepost import interface as i
from sprucepost.node.framing import Malformed

Address = tuple[str, int]

STATES = {"SERVING": i.MachineState.READY, "DRAINING": i.MachineState.DRAINING, "DELETED": i.MachineState.GONE}


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """What a document has changed: the list for the module, hosts' addresses, and entries that could not be read."""

    list: i.MachineList
    addresses: dict[str, Address]
    faults: tuple[str, ...] = ()


def parse(data: bytes | str) -> Any:
    """A JSON document; of events in it that a later whole list overrides only the numbers are kept. ValueError or
    RecursionError where it is none."""
    earlier: list[dict[str, Any]] = []

    def forget_overridden(found: dict[str, Any]) -> dict[str, Any]:
        if _is_event(found):
            if _is_whole_list(found):
                for event in earlier:
                    if event["no"] < found["no"]:
                        event.pop("roster", None)
                earlier.clear()
            earlier.append(found)
        return found

    return json.loads(data, object_hook=forget_overridden)


def _is_event(item: Any) -> bool:
    return isinstance(item, dict) and _whole(item.get("no")) and isinstance(item.get("roster"), dict)


def _is_whole_list(event: dict[str, Any]) -> bool:
    return event["roster"].get("all") is True and isinstance(event["roster"].get("targets"), list)


class Bulletin:
    """The events taken so far."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[i.MachineKind, ...]) -> None:
        self._zones = {name: n for n, name in enumerate(zones)}
        self._kinds = {kind.name: n for n, kind in enumerate(kinds)}
        self.last_number = 0  # the number of the last event taken whole
        self.entries: dict[str, i.MachineEntry] = {}  # those not gone

    def apply_json(self, data: bytes | str) -> ListUpdate | None:
        """Take a document; None where it tells nothing new, Malformed where it cannot be read."""
        try:
            return self.apply(parse(data))
        except (ValueError, RecursionError):
            raise Malformed("not JSON") from None

    def apply(self, document: Any) -> ListUpdate | None:
        """Likewise, of a document that has been parsed."""
        items = document.get("items") if isinstance(document, dict) else None
        if not isinstance(items, list) or not _whole(document.get("no")):
            raise Malformed("no list of events")
        changed: dict[str, i.MachineEntry] = {}
        addresses: dict[str, Address] = {}
        faults: list[str] = []
        full = taken = False
        stopped = ""
        for item in items[self._start(items) :]:
            number, roster = (item.get("no"), item.get("roster")) if isinstance(item, dict) else (None, None)
            if not _whole(number):
                stopped = "an event without a number"
                break
            if number <= self.last_number:
                continue
            listed = roster.get("targets") if isinstance(roster, dict) else []
            if not isinstance(listed, list):
                stopped = f"event {number} has no list of hosts"
                break
            everything = isinstance(roster, dict) and roster.get("all") is True
            if number > self.last_number + 1 and not everything:
                stopped = f"event {number} after {self.last_number}: asking for all of them"
                self.last_number = 0  # what lies between was never told: the whole list comes first of all events
                break
            if everything:
                full, changed, addresses = True, {}, {}
                self.entries = {}
            for raw in listed:
                try:
                    entry, address = self._entry(raw)
                except ValueError as error:
                    faults.append(f"event {number}: {error}")
                    continue
                changed[entry.machine] = entry
                if address is not None:
                    addresses[entry.machine] = address
                if entry.state is i.MachineState.GONE:
                    self.entries.pop(entry.machine, None)
                else:
                    self.entries[entry.machine] = entry
            self.last_number = number
            taken = True
        if stopped and not taken:
            raise Malformed(stopped)
        if stopped:
            faults.append(stopped)
        if not changed and not full and not faults:
            return None
        kind = i.ListKind.FULL if full else i.ListKind.DELTA
        return ListUpdate(i.MachineList(kind, tuple(changed.values())), addresses, tuple(faults))

    def _start(self, items: list[Any]) -> int:
        """Where the last whole list that is new stands in the list of events; 0 where there is none."""
        whole = (
            n
            for n in range(len(items) - 1, -1, -1)
            if _is_event(items[n]) and _is_whole_list(items[n]) and items[n]["no"] > self.last_number
        )
        return next(whole, 0)

    def _entry(self, raw: Any) -> tuple[i.MachineEntry, Address | None]:
        if not isinstance(raw, dict) or not isinstance(raw.get("uid"), str) or not raw["uid"]:
            raise ValueError("a host without an id")
        uid = raw["uid"]
        state = STATES.get(str(raw.get("state")))
        if state is None:
            raise ValueError(f"{uid}: unknown state")
        if state is i.MachineState.GONE:
            known = self.entries.get(uid, i.MachineEntry(uid))
            return i.MachineEntry(uid, state, known.zone, known.cell, known.kind, known.started), None
        zone, kind, cell = (
            self._zones.get(str(raw.get("az"))),
            self._kinds.get(str(raw.get("model"))),
            raw.get("pod_group"),
        )
        if zone is None or kind is None or not _whole(cell):
            raise ValueError(f"{uid}: unknown place or kind")
        started, room = raw.get("boot_ms", 0), raw.get("open", [0.0, 0.0])
        if not _finite(started) or not (isinstance(room, list) and len(room) == 2 and all(map(_finite, room))):
            raise ValueError(f"{uid}: its start or its room is no number")
        entry = i.MachineEntry(uid, state, zone, cell, kind, float(started), float(room[0]), float(room[1]))
        return entry, address_of(raw.get("endpoint"), uid)


def address_of(text: Any, whose: str) -> Address:
    """``host:port``, the host an IPv4 address in numbers; ValueError naming whose it is."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536):
        raise ValueError(f"{whose}: {text!r} is no address")
    try:  # a name would be looked up, which holds the whole process up, and some names cannot even be asked for
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        raise ValueError(f"{whose}: {text!r} is no address") from None


def _whole(value: Any) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool) and abs(value) < 2**53


def _finite(value: Any) -> TypeGuard[float]:
    return (
        isinstance(value, (int, float)) and not isinstance(value, bool) and abs(value) < 2**53 and math.isfinite(value)
    )
