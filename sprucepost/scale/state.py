"""Measures the size of one entry of each kind of state: encoded, and in the memory of the process that holds it.

Memory is what ``tracemalloc`` counts while :data:`ENTRIES` different entries are added, divided by their number; it
does not include the allocator's overhead. Nothing is run or timed, so the figures depend on the version of the
interpreter but not on the machine.
"""

from __future__ import annotations

import gc
import itertools
import json
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from sprucepost import interface as i
from sprucepost.agreement import commands
from sprucepost.agreement.registry import Registry
from sprucepost.membership import Generation
from sprucepost.node.bulletin import Bulletin
from sprucepost.peers.codec import decode, encode
from sprucepost.placing.ledger import Ledger, Outcome
from sprucepost.scale.results import ResultsError
from sprucepost.scheduler import Scheduler
from sprucepost.v1 import common_pb2, fleet_pb2, placer_pb2
from sprucepost.view.messages import RecordUpdates, Summary
from sprucepost.view.record import Record
from sprucepost.view.rings import ring_count

ENTRIES = 1000
PLACERS = 300
"""Size of the fleet, which determines how many streams a record names."""


class StateEntry(Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes of one kind of entry."""

    role: str
    """Key of a role in :mod:`sprucepost.scale.roles`."""
    entry: str
    variable: str
    """Variable of the plan that gives the number of entries."""
    shared: bool
    """Whether each placer holds only its share of the entries."""
    encoded_bytes: float | None
    """Size on the wire or in a snapshot; None if the entry never leaves the process."""
    memory_bytes: float | None


class StateFile(Struct, frozen=True, forbid_unknown_fields=True):
    """File of entry sizes, kept beside the results."""

    command: str
    version: str
    python: str
    entries: tuple[StateEntry, ...]


def load_state(path: Path) -> StateFile:
    """Read a file of entry sizes. Raises ResultsError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=StateFile)
    except (OSError, msgspec.DecodeError) as error:
        raise ResultsError(f"{path}: {error}") from None


def measure_state() -> tuple[StateEntry, ...]:
    """Measure every kind of entry."""
    return (
        StateEntry("view", "record of a member", "placers", False, _record_encoded(), _memory(_hold_records)),
        StateEntry("view", "its line in a summary", "placers", False, _summary_encoded(), None),
        StateEntry("placer", "worker in the list", "workers", False, _listed_encoded(), _memory(_hold_workers)),
        StateEntry("placer", "task that it placed", "running_tasks", True, _submission_encoded(), _memory(_hold_tasks)),
        StateEntry("node", "worker in the list", "workers", False, _item_encoded(), _memory(_hold_items)),
        StateEntry("placer", "team in the settings", "teams", False, _team_encoded(), _memory(_hold_teams)),
        StateEntry("log", "value (100 bytes)", "changes_per_day", False, *_registry(_values)),
        StateEntry("log", "session of a client", "placers", False, *_registry(_sessions)),
        StateEntry("log", "lease", "placers", False, *_registry(_leases)),
    )


def _memory(hold: Callable[[], Any]) -> float:
    """Bytes of memory per entry of the state that ``hold`` returns."""
    hold()  # creates what is allocated only once, such as tables of a library
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        held = hold()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del held
    finally:
        tracemalloc.stop()
    return round((after - before) / ENTRIES, 0)


def _bytes_per_entry(data: bytes, entries: int) -> float:
    """Encoded bytes per entry, rounded to whole bytes."""
    return float(round(len(data) / entries))


# The view


def _member(number: int) -> Record:
    sees = tuple((f"placer-{(number + n) % PLACERS}", f"{n:016x}") for n in range(1, 2 * ring_count(PLACERS) + 1))
    return Record(
        name=f"placer-{number}", incarnation=1_796_000_000_000 + number, life=f"{number:016x}", version=40, number=number,
        host=f"10.0.{number // 250}.{number % 250}", room="north-a", address=f"10.0.{number // 250}.{number % 250}:7000",
        generation=Generation(1, PLACERS), status="ready", sees=sees,
    )  # fmt: skip


def _record_encoded() -> float:
    return _bytes_per_entry(encode(RecordUpdates(tuple(_member(n) for n in range(PLACERS)))), PLACERS)


def _summary_encoded() -> float:
    members = [_member(n) for n in range(PLACERS)]
    ages = tuple((each.name, each.incarnation, each.version) for each in members)
    return _bytes_per_entry(encode(Summary(ages)), PLACERS)


_first_numbers = itertools.count(0, ENTRIES)


def _hold_records() -> Any:
    """Records as received: decoded, with their own strings, and cached by the codec. New members on each call."""
    first = next(_first_numbers)
    return [decode(encode(RecordUpdates((_member(first + n),)))) for n in range(ENTRIES)]


# The list in the memory of placers


def _settings() -> i.Settings:
    return i.Settings(
        number=0, n_instances=PLACERS, zone=0, zones=("north-a", "north-b"), kinds=(i.MachineKind("standard", 32.0, 64.0),),
        classes=(i.TaskClass("service", aim=5000.0, deadline=10_000.0, effect=i.Effect.SAFE, worth=1.0),),
        list_mode=i.ListMode.PUSH, max_attempts=3, accepts_cores=1.5, accepts_memory=1.5, cold_bears=12.0, fall=2000.0,
        warm_after=15_000.0, ask_every=10_000.0, tick=2.0, room_in_list=True,
    )  # fmt: skip


def _entries() -> tuple[i.MachineEntry, ...]:
    return tuple(
        i.MachineEntry(f"worker-{n}", i.MachineState.READY, n % 2, n // 20, 0, 0.0, 30.0 + n / 1000.0, 60.0)
        for n in range(ENTRIES)
    )


def _hold_workers() -> Any:
    scheduler = Scheduler(_settings(), seed=1)
    scheduler.handle(0.0, [i.MachineList(i.ListKind.FULL, _entries())])
    return scheduler


def _listed(number: int) -> fleet_pb2.ListedMachine:
    return fleet_pb2.ListedMachine(
        name=f"worker-{number}", state=fleet_pb2.MACHINE_STATE_READY, zone="north-a", cell=f"north-a-rack{number // 20}",
        kind="standard", started_ms=1_796_000_000_000.0, free_cores=30.5, free_memory=60.25,
        address=f"10.1.{number // 250}.{number % 250}:7000",
    )  # fmt: skip


def _listed_encoded() -> float:
    return _bytes_per_entry(
        fleet_pb2.FleetUpdate(entries=[_listed(n) for n in range(ENTRIES)]).SerializeToString(), ENTRIES
    )


def _items() -> bytes:
    targets = [
        {
            "uid": f"worker-{n}", "state": "SERVING", "az": "north-a", "model": "standard", "pod_group": n // 20,
            "boot_ms": 0, "open": [30.5, 60.25], "endpoint": f"10.1.{n // 250}.{n % 250}:7000",
        }
        for n in range(ENTRIES)
    ]  # fmt: skip
    return json.dumps({"no": 1, "items": [{"no": 1, "roster": {"all": True, "targets": targets}}]}).encode()


def _item_encoded() -> float:
    return _bytes_per_entry(_items(), ENTRIES)


def _hold_items() -> Any:
    settings = _settings()
    watch = Bulletin(settings.zones, settings.kinds)
    update = watch.apply_json(_items())
    assert update is not None
    scheduler = Scheduler(settings, seed=1)
    scheduler.handle(0.0, [update.list])
    return watch, scheduler, update.addresses


# Tasks and teams


def _submission_encoded() -> float:
    task = common_pb2.Task(task_class="service", service="service-12", cores=1.0, memory=2.0, tenant="team-12")
    submission = placer_pb2.Submission(task=task, left_ms=5000.0)
    return float(
        len(placer_pb2.OwnerFrame(seq=1000, ack=1000, task="task-1000", submit=submission).SerializeToString())
    )


def _hold_tasks() -> Any:
    """The decision module and the ledger with running tasks, each of another service."""
    scheduler, ledger = Scheduler(_settings(), seed=1), Ledger()
    scheduler.handle(0.0, [i.MachineList(i.ListKind.FULL, _entries()[:1])])
    for number in range(ENTRIES):
        entry = ledger.take(f"task-{number}", 0, f"service-{number}", 0.0)
        ledger.settle(entry, Outcome.PLACED, 0.0)
        entry.sessions[b"0123456789abcdef"] = 0
        request = i.TaskRequest(entry.request, 0, entry.service, 0.01, 0.01, 5000.0, task=entry.name)
        scheduler.handle(1.0, [i.TaskFound(request, "worker-0")])
    return scheduler, ledger


def _teams() -> list[dict[str, Any]]:
    return [{"name": f"team-{n}", "share": 1.0 / (n + 1), "quota_cores": 10.0 + n} for n in range(ENTRIES)]


def _team_encoded() -> float:
    return _bytes_per_entry(msgspec.json.encode(_teams()), ENTRIES)


def _hold_teams() -> Any:
    return [i.Tenant(each["name"], each["share"], each["quota_cores"]) for each in _teams()]


# The replicated log


def _registry(sequence: Callable[[], list[commands.Command]]) -> tuple[float, float]:
    """Bytes of a snapshot and of memory per entry, after the commands have been applied."""

    def hold() -> Registry:
        held = Registry()
        for index, command in enumerate(sequence(), 1):
            result = held.apply(index, commands.encode(command))
            assert result.ok, result
        return held

    return _bytes_per_entry(hold().snapshot(), ENTRIES), _memory(hold)


def _sessions() -> list[commands.Command]:
    return [commands.OpenSession(f"placer-{n}") for n in range(ENTRIES)]


def _values() -> list[commands.Command]:
    return _in_session([commands.Put(f"setting-{n}", bytes(100)) for n in range(ENTRIES)])


def _leases() -> list[commands.Command]:
    return _in_session([commands.AcquireLease(f"number-{n}", 10_000.0) for n in range(ENTRIES)])


def _in_session(operations: Sequence[commands.Operation]) -> list[commands.Command]:
    session = commands.OpenSession("placer")
    return [session, *(commands.SessionCommand(1, number, each) for number, each in enumerate(operations, 1))]
