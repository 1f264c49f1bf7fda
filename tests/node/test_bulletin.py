"""The bulletin's events and the configuration: what is applied, what is skipped, what is rejected."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import pytest

from sprucepost import interface as i
from sprucepost.node.bulletin import Bulletin, ListUpdate, parse
from sprucepost.node.config import ConfigError, read_config
from sprucepost.node.framing import Malformed
from tests.node.platform import settings


def new_bulletin() -> Bulletin:
    return Bulletin(("room-a", "room-b"), (i.MachineKind("std", 32.0, 64.0),))


def entry(uid: str = "s-1", **changes: Any) -> dict[str, Any]:
    return {
        "uid": uid, "endpoint": f"127.0.0.{uid.rpartition('-')[2]}:29", "az": "room-b", "model": "std", "pod_group": 2,
        "state": "SERVING", "boot_ms": 0, "open": [4, 5.5], **changes,
    }  # fmt: skip


def document(*events: tuple[int, bool, list[Any]], last: int | None = None) -> dict[str, Any]:
    items = [{"no": no, "roster": {"rev": no, "all": whole, "targets": listed}} for no, whole, listed in events]
    return {"no": last or max((no for no, _, _ in events), default=0), "items": items}


def apply(bulletin: Bulletin, *events: tuple[int, bool, list[Any]]) -> ListUpdate:
    update = bulletin.apply(document(*events))
    assert update is not None
    return update


def test_a_full_list_and_the_changes_after_it() -> None:
    bulletin = new_bulletin()
    update = apply(bulletin, (1, True, [entry("s-1"), entry("s-2")]))
    assert update.list.kind is i.ListKind.FULL and update.addresses["s-1"] == ("127.0.0.1", 29)
    first = update.list.entries[0]
    assert (first.zone, first.cell, first.kind, first.free_cores, first.free_memory) == (1, 2, 0, 4.0, 5.5)
    update = apply(bulletin, (2, False, [entry("s-1", state="DRAINING")]), (3, False, [entry("s-2", state="DELETED")]))
    assert update.list.kind is i.ListKind.DELTA
    assert {e.machine: e.state.name for e in update.list.entries} == {"s-1": "DRAINING", "s-2": "GONE"}
    assert bulletin.last_number == 3 and list(bulletin.entries) == ["s-1"]


def test_repeated_or_older_numbers_change_nothing() -> None:
    bulletin = new_bulletin()
    apply(bulletin, (1, True, [entry("s-1", state="DRAINING")]))
    assert bulletin.apply(document((1, True, [entry("s-1")]))) is None
    assert bulletin.apply(document(last=0)) is None
    assert bulletin.last_number == 1 and bulletin.entries["s-1"].state is i.MachineState.DRAINING


def test_a_gap_in_the_numbers_requests_the_full_list() -> None:
    bulletin = new_bulletin()
    apply(bulletin, (1, True, [entry("s-1")]))
    with pytest.raises(Malformed):
        bulletin.apply(document((3, False, [entry("s-2")])))
    assert bulletin.last_number == 0
    update = apply(
        bulletin, (1, True, [entry("s-1")]), (2, False, [entry("s-1", state="DELETED")]), (3, False, [entry("s-2")])
    )
    assert update.list.kind is i.ListKind.FULL and list(bulletin.entries) == ["s-2"] and bulletin.last_number == 3


def drawn_events(rng: random.Random) -> list[tuple[int, bool, list[Any]]]:
    """Random events; the first is a full list, and so are some of the others."""
    return [
        (
            number,
            number == 1 or rng.random() < 0.3,
            [
                entry(f"s-{n}", state=rng.choice(["SERVING", "DRAINING", "DELETED"]), pod_group=number)
                for n in rng.sample(range(6), rng.randrange(5))
            ],
        )
        for number in range(1, rng.randrange(2, 12))
    ]


def test_the_last_full_list_is_applied_whatever_number_the_first_event_has() -> None:
    bulletin = new_bulletin()
    bulletin.apply_json(
        json.dumps(document((5, True, [entry("s-1")]), (6, True, [entry("s-2")]), (7, False, [entry("s-3")])))
    )
    assert bulletin.last_number == 7 and list(bulletin.entries) == ["s-2", "s-3"]


def test_a_full_list_applied_before_hides_no_new_event() -> None:
    bulletin = new_bulletin()
    apply(bulletin, (1, True, [entry("s-1")]))
    bulletin.apply_json(json.dumps(document((2, False, [entry("s-2")]), (1, True, [entry("s-1")]))))
    assert bulletin.last_number == 2 and list(bulletin.entries) == ["s-1", "s-2"]


@pytest.mark.parametrize("seed", range(50))
def test_a_document_with_many_full_lists_has_the_effect_of_its_events_one_by_one(seed: int) -> None:
    rng = random.Random(seed)
    events = drawn_events(rng)
    one_by_one, at_once = new_bulletin(), new_bulletin()
    applied = rng.randrange(len(events))
    for event in events[:applied]:
        one_by_one.apply(document(event))
        at_once.apply(document(event))
    for event in events[applied:]:
        one_by_one.apply(document(event))
    at_once.apply_json(json.dumps(document(*events)))
    assert at_once.entries == one_by_one.entries and at_once.last_number == one_by_one.last_number


def test_events_that_a_later_full_list_overrides_are_dropped_while_parsing() -> None:
    events = [(n, n in (1, 3, 5), [entry(f"s-{n}")]) for n in range(1, 7)]
    found = parse(json.dumps(document(*events)))
    assert [item["no"] for item in found["items"] if "roster" in item] == [5, 6]
    assert found["items"][0] == {"no": 1}
    backwards = parse(json.dumps(document(events[5], events[4])))
    assert all("roster" in item for item in backwards["items"]), "an event with a higher number is not overridden"
    broken = document((1, True, [entry("s-1")]), (2, True, [entry("s-2")]))
    broken["items"][1]["roster"]["targets"] = None
    assert "roster" in parse(json.dumps(broken))["items"][0], "an invalid list overrides nothing"


@pytest.mark.parametrize(
    "invalid",
    [
        {"uid": ""}, {"uid": 7}, {"state": "RESTING"}, {"az": "attic"}, {"model": "huge"}, {"pod_group": "x"},
        {"endpoint": "nowhere"}, {"endpoint": "127.0.0.1:0"}, {"endpoint": 5}, {"open": [1]}, {"open": [1, float("nan")]},
        {"open": ["1", "2"]}, {"boot_ms": float("inf")}, {"boot_ms": 10**400},
    ],
)  # fmt: skip
def test_an_invalid_entry_does_not_affect_the_others(invalid: dict[str, Any]) -> None:
    bulletin = new_bulletin()
    apply(bulletin, (1, True, [entry("s-1")]))
    update = apply(bulletin, (2, False, [entry("s-2"), {**entry("s-1", state="DRAINING"), **invalid}]))
    assert [e.machine for e in update.list.entries] == ["s-2"] and len(update.faults) == 1
    assert bulletin.entries["s-1"].state is i.MachineState.READY and bulletin.last_number == 2


@pytest.mark.parametrize(
    "data", [b"", b"[]", b'{"no":1}', b'{"no":1,"items":[{"ro', b'{"no":1,"items":[7]}', b"\xff", b"[" * 9000]
)
def test_a_document_that_cannot_be_read_changes_nothing(data: bytes) -> None:
    bulletin = new_bulletin()
    apply(bulletin, (1, True, [entry("s-1")]))
    with pytest.raises(Malformed):
        bulletin.apply_json(data)
    assert bulletin.last_number == 1


@pytest.mark.parametrize(
    "invalid", [7, {"no": None}, {"no": 3, "roster": {"targets": 7}}, {"no": 4, "roster": {"targets": []}}]
)
def test_events_before_an_invalid_one_are_passed_on(invalid: Any) -> None:
    """Guards against an event that counts as applied although the decision module never gets it, here a drain."""
    bulletin = new_bulletin()
    apply(bulletin, (1, True, [entry("s-1")]))
    data = document((2, False, [entry("s-1", state="DRAINING")]))
    update = bulletin.apply({**data, "items": [*data["items"], invalid]})
    assert update is not None and update.list.entries[0].state is i.MachineState.DRAINING and len(update.faults) == 1
    with pytest.raises(Malformed):  # alone, the event is requested again after a delay
        bulletin.apply({"no": 4, "items": [invalid]})


def valid_config(**changes: Any) -> dict[str, Any]:
    return {
        "name": "n3", "listen": "127.0.0.1:2905", "seed": "8c1f30d27a5be964", "bulletin": "127.0.0.1:2379",
        "limits": {"memory_mb": 64, "sockets": 256}, "known": None, "settings": settings(), **changes,
    }  # fmt: skip


def test_a_valid_configuration_is_read(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(valid_config()))
    config = read_config({"BALANCER_CONFIG": str(path)})
    assert config.listen == ("127.0.0.1", 2905) and config.limits.sockets == 256 and config.seed == 0x8C1F30D27A5BE964
    assert config.report_fields == ("free_cores", "free_memory", "queue")
    data = valid_config()
    del data["listen"]
    path.write_text(json.dumps(data))
    assert read_config({"BALANCER_CONFIG": str(path), "BALANCER_LISTEN": "127.0.0.2:1"}).listen == ("127.0.0.2", 1)


@pytest.mark.parametrize(
    "data",
    [
        "", "[]", "{", json.dumps(valid_config(listen="here")), json.dumps(valid_config(bulletin=None)),
        json.dumps(valid_config(settings=7)), json.dumps(valid_config(settings=settings(rules={}))),
        json.dumps(valid_config(limits={"sockets": -1})), json.dumps(valid_config(seed="xyz")),
        json.dumps(valid_config(settings=settings(classes=[]))),
    ],
)  # fmt: skip
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path: Path, data: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(data)
    with pytest.raises(ConfigError) as found:
        read_config({"BALANCER_CONFIG": str(path)})
    assert str(path) in str(found.value) and "\n" not in str(found.value)
    for environment in ({}, {"BALANCER_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(ConfigError):
            read_config(environment)
