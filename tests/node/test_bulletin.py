"""The bulletin's events and the configuration: what is taken, what is passed over, what is refused."""

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


def bulletin() -> Bulletin:
    return Bulletin(("room-a", "room-b"), (i.MachineKind("std", 32.0, 64.0),))


def entry(uid: str = "s-1", **changes: Any) -> dict[str, Any]:
    return {
        "uid": uid, "endpoint": "127.0.0.1:29", "az": "room-b", "model": "std", "pod_group": 2, "state": "SERVING",
        "boot_ms": 0, "open": [4, 5.5], **changes,
    }  # fmt: skip


def document(*events: tuple[int, bool, list[Any]], last: int | None = None) -> dict[str, Any]:
    items = [{"no": no, "roster": {"rev": no, "all": whole, "targets": listed}} for no, whole, listed in events]
    return {"no": last or max((no for no, _, _ in events), default=0), "items": items}


def take(board: Bulletin, *events: tuple[int, bool, list[Any]]) -> ListUpdate:
    told = board.apply(document(*events))
    assert told is not None
    return told


def test_the_whole_list_then_what_has_changed() -> None:
    board = bulletin()
    told = take(board, (1, True, [entry("s-1"), entry("s-2")]))
    assert told.list.kind is i.ListKind.FULL and told.addresses["s-1"] == ("127.0.0.1", 29)
    first = told.list.entries[0]
    assert (first.zone, first.cell, first.kind, first.free_cores, first.free_memory) == (1, 2, 0, 4.0, 5.5)
    told = take(board, (2, False, [entry("s-1", state="DRAINING")]), (3, False, [entry("s-2", state="DELETED")]))
    assert told.list.kind is i.ListKind.DELTA
    assert {e.machine: e.state.name for e in told.list.entries} == {"s-1": "DRAINING", "s-2": "GONE"}
    assert board.last_number == 3 and list(board.entries) == ["s-1"]


def test_numbers_given_again_or_gone_back_change_nothing() -> None:
    board = bulletin()
    take(board, (1, True, [entry("s-1", state="DRAINING")]))
    assert board.apply(document((1, True, [entry("s-1")]))) is None
    assert board.apply(document(last=0)) is None
    assert board.last_number == 1 and board.entries["s-1"].state is i.MachineState.DRAINING


def test_a_number_left_out_asks_for_the_whole_list() -> None:
    board = bulletin()
    take(board, (1, True, [entry("s-1")]))
    with pytest.raises(Malformed):
        board.apply(document((3, False, [entry("s-2")])))
    assert board.last_number == 0
    told = take(
        board, (1, True, [entry("s-1")]), (2, False, [entry("s-1", state="DELETED")]), (3, False, [entry("s-2")])
    )
    assert told.list.kind is i.ListKind.FULL and list(board.entries) == ["s-2"] and board.last_number == 3


def drawn_events(rng: random.Random) -> list[tuple[int, bool, list[Any]]]:
    """The first tells the whole list, and so do some of the others."""
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


def test_the_last_whole_list_is_taken_whatever_number_the_first_has() -> None:
    board = bulletin()
    board.apply_json(
        json.dumps(document((5, True, [entry("s-1")]), (6, True, [entry("s-2")]), (7, False, [entry("s-3")])))
    )
    assert board.last_number == 7 and list(board.entries) == ["s-2", "s-3"]


def test_a_whole_list_that_is_held_already_hides_nothing_new() -> None:
    board = bulletin()
    take(board, (1, True, [entry("s-1")]))
    board.apply_json(json.dumps(document((2, False, [entry("s-2")]), (1, True, [entry("s-1")]))))
    assert board.last_number == 2 and list(board.entries) == ["s-1", "s-2"]


@pytest.mark.parametrize("seed", range(50))
def test_a_document_with_many_whole_lists_leaves_what_its_events_leave_one_by_one(seed: int) -> None:
    rng = random.Random(seed)
    events = drawn_events(rng)
    one_by_one, at_once = bulletin(), bulletin()
    held = rng.randrange(len(events))
    for event in events[:held]:
        one_by_one.apply(document(event))
        at_once.apply(document(event))
    for event in events[held:]:
        one_by_one.apply(document(event))
    at_once.apply_json(json.dumps(document(*events)))
    assert at_once.entries == one_by_one.entries and at_once.last_number == one_by_one.last_number


def test_what_a_later_whole_list_overrides_is_forgotten_while_it_is_parsed() -> None:
    events = [(n, n in (1, 3, 5), [entry(f"s-{n}")]) for n in range(1, 7)]
    found = parse(json.dumps(document(*events)))
    assert [item["no"] for item in found["items"] if "roster" in item] == [5, 6]
    assert found["items"][0] == {"no": 1}
    backwards = parse(json.dumps(document(events[5], events[4])))
    assert all("roster" in item for item in backwards["items"]), "an event that came later in number is not overridden"
    broken = document((1, True, [entry("s-1")]), (2, True, [entry("s-2")]))
    broken["items"][1]["roster"]["targets"] = None
    assert "roster" in parse(json.dumps(broken))["items"][0], "a list that cannot be read overrides nothing"


@pytest.mark.parametrize(
    "bad",
    [
        {"uid": ""}, {"uid": 7}, {"state": "RESTING"}, {"az": "attic"}, {"model": "huge"}, {"pod_group": "x"},
        {"endpoint": "nowhere"}, {"endpoint": "127.0.0.1:0"}, {"endpoint": 5}, {"open": [1]}, {"open": [1, float("nan")]},
        {"open": ["1", "2"]}, {"boot_ms": float("inf")}, {"boot_ms": 10**400},
    ],
)  # fmt: skip
def test_one_bad_entry_hurts_no_other(bad: dict[str, Any]) -> None:
    board = bulletin()
    take(board, (1, True, [entry("s-1")]))
    told = take(board, (2, False, [entry("s-2"), {**entry("s-1", state="DRAINING"), **bad}]))
    assert [e.machine for e in told.list.entries] == ["s-2"] and len(told.faults) == 1
    assert board.entries["s-1"].state is i.MachineState.READY and board.last_number == 2


@pytest.mark.parametrize(
    "data", [b"", b"[]", b'{"no":1}', b'{"no":1,"items":[{"ro', b'{"no":1,"items":[7]}', b"\xff", b"[" * 9000]
)
def test_a_document_that_cannot_be_read_changes_nothing(data: bytes) -> None:
    board = bulletin()
    take(board, (1, True, [entry("s-1")]))
    with pytest.raises(Malformed):
        board.apply_json(data)
    assert board.last_number == 1


@pytest.mark.parametrize(
    "bad", [7, {"no": None}, {"no": 3, "roster": {"targets": 7}}, {"no": 4, "roster": {"targets": []}}]
)
def test_what_comes_before_an_event_that_cannot_be_taken_is_told(bad: Any) -> None:
    """It counted as held, and the module never heard of the drain."""
    board = bulletin()
    take(board, (1, True, [entry("s-1")]))
    data = document((2, False, [entry("s-1", state="DRAINING")]))
    told = board.apply({**data, "items": [*data["items"], bad]})
    assert told is not None and told.list.entries[0].state is i.MachineState.DRAINING and len(told.faults) == 1
    with pytest.raises(Malformed):  # alone, it is asked for again after a pause
        board.apply({"no": 4, "items": [bad]})


def good(**changes: Any) -> dict[str, Any]:
    return {
        "name": "n3", "listen": "127.0.0.1:2905", "seed": "8c1f30d27a5be964", "bulletin": "127.0.0.1:2379",
        "limits": {"memory_mb": 64, "sockets": 256}, "known": None, "settings": settings(), **changes,
    }  # fmt: skip


def test_the_configuration(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(good()))
    config = read_config({"BALANCER_CONFIG": str(path)})
    assert config.listen == ("127.0.0.1", 2905) and config.limits.sockets == 256 and config.seed == 0x8C1F30D27A5BE964
    assert config.report_fields == ("free_cores", "free_memory", "queue")
    data = good()
    del data["listen"]
    path.write_text(json.dumps(data))
    assert read_config({"BALANCER_CONFIG": str(path), "BALANCER_LISTEN": "127.0.0.2:1"}).listen == ("127.0.0.2", 1)


@pytest.mark.parametrize(
    "data",
    [
        "", "[]", "{", json.dumps(good(listen="here")), json.dumps(good(bulletin=None)), json.dumps(good(settings=7)),
        json.dumps(good(settings=settings(rules={}))), json.dumps(good(limits={"sockets": -1})),
        json.dumps(good(seed="xyz")), json.dumps(good(settings=settings(classes=[]))),
    ],
)  # fmt: skip
def test_a_configuration_that_cannot_be_used_is_one_line(tmp_path: Path, data: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(data)
    with pytest.raises(ConfigError) as found:
        read_config({"BALANCER_CONFIG": str(path)})
    assert str(path) in str(found.value) and "\n" not in str(found.value)
    for environment in ({}, {"BALANCER_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(ConfigError):
            read_config(environment)
