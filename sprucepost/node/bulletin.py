"""The bulletin's events: from JSON to the decision module's list of machines. No I/O.

Events are numbered, and a document holds the events after the number that was asked for. This side keeps the number of the
last event applied and the entry of each host. An event with a number at or below that one is skipped. A gap in the numbers
shows that an event is missing, and the whole list is requested again. Events before one that cannot be applied count,
since they are sent only once.

A host whose address another one holds (:mod:`sprucepost.node.address_holders`) counts as gone, whatever its entry says.

An event with a whole list overrides the events before it. A document with fifty whole lists of a thousand hosts is 9 MB,
so overridden lists are dropped while the document is parsed.
"""

from __future__ import annotations

import ipaddress
import json
import math
from dataclasses import dataclass, replace
from typing import Any, TypeGuard

from sprucepost import interface as i
from sprucepost.node.address_holders import Address, AddressHolders, Age
from sprucepost.node.framing import Malformed, is_encodable

STATES = {"SERVING": i.MachineState.READY, "DRAINING": i.MachineState.DRAINING, "DELETED": i.MachineState.GONE}


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """What a document has changed: the list for the decision module, the hosts' addresses and ages, and one text for each
    event or entry that could not be read."""

    list: i.MachineList
    addresses: dict[str, Address]
    ages: dict[str, Age]  # of the hosts that have an address
    faults: tuple[str, ...] = ()


def parse(data: bytes | str) -> Any:
    """Parse a JSON document. Events that a later whole list overrides keep only their numbers.

    Raises ValueError or RecursionError where it is not JSON.
    """
    earlier: list[dict[str, Any]] = []

    def drop_overridden(found: dict[str, Any]) -> dict[str, Any]:
        if _is_event(found):
            if _is_full_list(found):
                for event in earlier:
                    if event["no"] < found["no"]:
                        event.pop("roster", None)
                earlier.clear()
            earlier.append(found)
        return found

    return json.loads(data, object_hook=drop_overridden)


def _is_event(item: Any) -> bool:
    return isinstance(item, dict) and _is_integer(item.get("no")) and isinstance(item.get("roster"), dict)


def _is_full_list(event: dict[str, Any]) -> bool:
    return event["roster"].get("all") is True and isinstance(event["roster"].get("targets"), list)


class Bulletin:
    """The state after the events applied so far. ``zones`` and ``kinds`` give the indexes of their names."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[i.MachineKind, ...]) -> None:
        self._zones = {name: n for n, name in enumerate(zones)}
        self._kinds = {kind.name: n for n, kind in enumerate(kinds)}
        self.last_number = 0  # the number of the last event applied
        self.entries: dict[str, i.MachineEntry] = {}  # by host; without those that have gone or lost their address
        self._holders = AddressHolders()
        self._displaced: dict[str, tuple[i.MachineEntry, Address]] = {}  # listed at an address that another host holds

    def apply_json(self, data: bytes | str) -> ListUpdate | None:
        """Apply a document; None where it holds nothing new. Raises Malformed where it cannot be read."""
        try:
            return self.apply(parse(data))
        except (ValueError, RecursionError):
            raise Malformed("not JSON") from None

    def apply(self, document: Any) -> ListUpdate | None:
        """Apply a document that has been parsed; see :meth:`apply_json`."""
        items = document.get("items") if isinstance(document, dict) else None
        if not isinstance(items, list) or not _is_integer(document.get("no")):
            raise Malformed("no list of events")
        changed: dict[str, i.MachineEntry] = {}
        addresses: dict[str, Address] = {}
        added: set[str] = set()
        faults: list[str] = []
        full = applied = False
        stop_reason = ""
        for item in items[self._start(items) :]:
            number, roster = (item.get("no"), item.get("roster")) if isinstance(item, dict) else (None, None)
            if not _is_integer(number):
                stop_reason = "an event has no number"
                break
            if number <= self.last_number:
                continue
            listed = roster.get("targets") if isinstance(roster, dict) else []
            if not isinstance(listed, list):
                stop_reason = f"event {number} has no list of hosts"
                break
            is_full = isinstance(roster, dict) and roster.get("all") is True
            if number > self.last_number + 1 and not is_full:
                stop_reason = f"event {number} after {self.last_number}: requesting the whole list"
                self.last_number = 0  # the events between are missing; event 1 is a whole list
                break
            if is_full:
                full, changed, addresses, added = True, {}, {}, set()
                self.entries = {}
                self._holders.begin_whole_list()
            for raw in listed:
                try:
                    entry, address = self._entry(raw)
                except ValueError as error:
                    faults.append(f"event {number}: {error}")
                    continue
                if address is not None and self._holders.is_outdated(entry.machine, entry.started):
                    continue
                if entry.machine not in self.entries and entry.machine not in changed:
                    added.add(entry.machine)
                changed[entry.machine] = entry
                if address is None:
                    self.entries.pop(entry.machine, None)
                    addresses.pop(entry.machine, None)
                    self._holders.remove(entry.machine)
                else:
                    addresses[entry.machine] = address
                    self.entries[entry.machine] = entry
                    self._holders.add(entry.machine, address, entry.started)
            self.last_number = number
            applied = True
        if stop_reason and not applied:
            raise Malformed(stop_reason)
        if stop_reason:
            faults.append(stop_reason)
        self._drop_displaced(changed, addresses, added)
        if not changed and not full and not faults:
            return None
        kind = i.ListKind.FULL if full else i.ListKind.DELTA
        # A host that takes an address comes before the one that has left it: its connections may be handed on.
        entries = sorted(changed.values(), key=lambda entry: entry.state is i.MachineState.GONE)
        ages = {uid: self._holders.age_of(uid) for uid in addresses}
        return ListUpdate(i.MachineList(kind, tuple(entries)), addresses, ages, tuple(faults))

    def _drop_displaced(
        self, changed: dict[str, i.MachineEntry], addresses: dict[str, Address], added: set[str]
    ) -> None:
        """Have the hosts whose address another one holds leave the list, and bring back those that hold theirs again.

        ``added`` were not on the list before.
        """
        for uid, (entry, address) in list(self._displaced.items()):
            if uid in changed or not self._holders.is_listed(uid):
                del self._displaced[uid]
            elif uid not in self._holders.displaced(address):
                del self._displaced[uid]
                self.entries[uid] = changed[uid] = entry
                addresses[uid] = address
        displaced = [uid for address in set(addresses.values()) for uid in self._holders.displaced(address)]
        for uid in displaced:
            known = self.entries.pop(uid, None)
            if known is None:
                continue
            self._displaced[uid] = known, self._holders.address_of(uid)
            addresses.pop(uid, None)
            if uid in added:
                del changed[uid]
            else:
                changed[uid] = replace(known, state=i.MachineState.GONE)

    def _start(self, items: list[Any]) -> int:
        """The index of the last new whole list among the events; 0 where there is none."""
        full_list_indexes = (
            n
            for n in range(len(items) - 1, -1, -1)
            if _is_event(items[n]) and _is_full_list(items[n]) and items[n]["no"] > self.last_number
        )
        return next(full_list_indexes, 0)

    def _entry(self, raw: Any) -> tuple[i.MachineEntry, Address | None]:
        """A host's entry, and its address unless it has gone; ValueError says what is wrong with it."""
        if not isinstance(raw, dict) or not isinstance(raw.get("uid"), str) or not raw["uid"]:
            raise ValueError("a host has no id")
        uid = raw["uid"]
        if not is_encodable(uid):
            raise ValueError(f"{uid!r}: the id is not valid Unicode")
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
        if zone is None or kind is None or not _is_integer(cell):
            raise ValueError(f"{uid}: unknown zone, cell or machine kind")
        started, free = raw.get("boot_ms", 0), raw.get("open", [0.0, 0.0])
        if not _is_finite_number(started) or not (
            isinstance(free, list) and len(free) == 2 and all(map(_is_finite_number, free))
        ):
            raise ValueError(f"{uid}: start time or free resources are not numbers")
        entry = i.MachineEntry(uid, state, zone, cell, kind, float(started), float(free[0]), float(free[1]))
        return entry, address_of(raw.get("endpoint"), uid)


def address_of(text: Any, whose: str) -> Address:
    """Parse ``host:port``, where the host is a numeric IPv4 address; the ValueError names ``whose`` address it is."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536):
        raise ValueError(f"{whose}: {text!r} is not an address")
    try:  # resolving a name would block the whole process, and some names cannot be resolved at all
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        raise ValueError(f"{whose}: {text!r} is not an address") from None


def _is_integer(value: Any) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool) and abs(value) < 2**53


def _is_finite_number(value: Any) -> TypeGuard[float]:
    return (
        isinstance(value, (int, float)) and not isinstance(value, bool) and abs(value) < 2**53 and math.isfinite(value)
    )
