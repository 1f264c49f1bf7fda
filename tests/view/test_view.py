"""The membership view: merging of records, rings, random fault schedules, and defects that they must detect."""

from __future__ import annotations

import itertools
import os
import random
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucepost.simulation import Process, World
from sprucepost.view import Record, View, merge
from sprucepost.view import view as module
from sprucepost.view.messages import Close, Dial, Hello, RecordUpdates, Send, Summary, ViewChanged, ViewMessage
from sprucepost.view.record import MAX_VERSION, digest
from sprucepost.view.rings import ring_count, ring_successors
from tests.view.defects import DEFECTS, defect_applied
from tests.view.schedules import Fleet, _view, problems


def record(of: int = 0, **changes: object) -> Record:
    values: dict[str, object] = {
        "name": f"p{of}", "incarnation": 1, "life": f"l{of}", "version": 0, "number": of,
        "host": f"h{of // 2}", "room": f"r{of % 3}", "address": f"a{of}", **changes,
    }  # fmt: skip
    return Record(**values)  # type: ignore[arg-type]


RECORDS = st.builds(
    record, st.integers(0, 2), incarnation=st.integers(1, 3), version=st.integers(0, 3), left=st.booleans(),
    life=st.sampled_from("xyz"), sees=st.sampled_from([(), (("p1", "x"),), (("p1", "y"), ("p2", "x"))]),
)  # fmt: skip


@given(st.lists(RECORDS, min_size=2, max_size=6), st.randoms())
def test_records_merge_to_one_in_any_order_with_any_repeats(held: list[Record], rng: random.Random) -> None:
    def all_of(order: list[Record]) -> Record:
        best = order[0]
        for one in order[1:]:
            best = merge(best, one)
        return best

    same = [one for one in held if one.name == held[0].name]
    mixed = same + rng.choices(same, k=3)
    rng.shuffle(mixed)
    assert all_of(mixed) == all_of(same)
    assert digest(held) == digest(reversed(held)) or len(set(held)) < len(held)


@pytest.mark.parametrize("members", [1, 2, 3, 7, 30, 350])
@pytest.mark.parametrize("rooms", [1, 3])
def test_rings_connect_all_members_and_reach_other_rooms_and_hosts(members: int, rooms: int) -> None:
    fleet = [record(n, room=f"r{n % rooms}") for n in range(members)]
    sees = {me.name: ring_successors(me, fleet) for me in fleet}
    by_name = {one.name: one for one in fleet}
    assert all(len(names) <= ring_count(members) <= 10 and me not in names for me, names in sees.items())
    if members > 1:
        assert all(names for names in sees.values())
        reached, to_visit = {"p0"}, ["p0"]
        while to_visit:
            me = to_visit.pop()
            both = set(sees[me]) | {name for name, names in sees.items() if me in names}
            to_visit += both - reached
            reached |= both
        assert len(reached) == members
    if members > 2 * rooms and rooms > 1:
        for one in fleet:
            assert any(by_name[name].room != one.room for name in sees[one.name])
            assert any(by_name[name].host != one.host for name in sees[one.name])


@pytest.mark.parametrize("seed", range(24))
def test_random_fault_schedules_settle(seed: int) -> None:
    assert problems(seed, 3 + seed % 9) == []


# The first n for which `problems(n, 3 + n % 16)` detects a defect; the defects not listed show for one of the first
# three.
FIRST_SEED = {
    "unseen_members_are_away_at_once": 16,
    "one_ring_only": 6,
    "updates_are_not_forwarded": 29,
    "changes_are_reported_one_by_one": 10,
}


@pytest.mark.parametrize("name", sorted(DEFECTS))
def test_each_seeded_defect_is_detected(name: str) -> None:
    seeds = [FIRST_SEED[name]] if name in FIRST_SEED else range(3)
    with defect_applied(name):
        assert any(problems(seed, 3 + seed % 16) for seed in seeds)


def fleet_of(members: int, seed: int = 1) -> tuple[World, Fleet]:
    world = World(seed, module.TICK_MS)
    fleet = Fleet(world, members)
    for number in fleet.numbers:
        fleet.start(number)
    return world, fleet


def settle(world: World, fleet: Fleet, limit_ms: float) -> float:
    """Run until the fleet is settled; returns how many ms that took."""
    began = world.now
    while world.now < began + limit_ms:
        world.run(world.now + 100)
        if not fleet.unsettled():
            return world.now - began
    raise AssertionError(fleet.unsettled()[:3])


def test_the_view_settles_after_a_simultaneous_start_a_partition_and_the_death_of_a_tenth() -> None:
    world, fleet = fleet_of(40)
    assert settle(world, fleet, 5000) <= 5000
    world.partitions.append(lambda one, other: int(one.address[1:]) % 2 != int(other.address[1:]) % 2)
    world.run(world.now + 15_000)
    assert {len(_view(process).here) for process in fleet.living} == {20}
    world.partitions.clear()
    settle(world, fleet, 10_000)
    for number in range(4):
        world.kill(fleet.processes[number * 7])
    settle(world, fleet, 5000)


def test_joining_with_dead_seeds_and_within_a_minority_partition() -> None:
    world, fleet = fleet_of(9)
    settle(world, fleet, 5000)
    for number in range(3):  # all the seeds
        world.kill(fleet.processes[number])
    settle(world, fleet, 5000)
    late = fleet.start(9)
    world.run(world.now + 5000)
    assert _view(late).here == {"p9"}, "no seed is alive"
    fleet.start(1)  # a seed is back; the members that keep its record dial it
    settle(world, fleet, 15_000)

    world.partitions.append(lambda one, other: (one.address in "a1 a9 a10") != (other.address in "a1 a9 a10"))
    world.run(world.now + 12_000)
    fleet.start(10)  # its only live seed is in the minority
    world.run(world.now + 5000)
    assert _view(fleet.processes[10]).here == {"p1", "p9", "p10"}
    world.partitions.clear()
    settle(world, fleet, 15_000)


@pytest.mark.parametrize("clock_back_ms", [0, 60_000])
def test_ten_restarts_in_a_row_also_with_a_clock_set_back(clock_back_ms: int) -> None:
    world, fleet = fleet_of(7)
    settle(world, fleet, 5000)
    for _ in range(10):
        world.kill(fleet.processes[4])
        world.run(world.now + 100)
        fleet.start(4, clock_back_ms)
        world.run(world.now + 400)
    settle(world, fleet, 15_000)
    lives = {_view(process).records["p4"].life for process in fleet.living}
    assert lives == {_view(fleet.processes[4]).own_record.life}
    assert not any(_view(process).is_replaced for process in fleet.living)


def test_the_older_of_two_processes_of_one_name_is_replaced_and_shared_numbers_are_reported() -> None:
    world, fleet = fleet_of(6)
    settle(world, fleet, 5000)
    older = fleet.processes[3]
    world.run(world.now + 1000)
    newer_record = record(3, incarnation=int(world.now) + 2_000_000, life="twin", address="a33")
    view = View(newer_record, "fleet", "settings", fleet.seeds, random.Random(2), world.now)
    newer = world.start("a33", view)
    world.run(world.now + 15_000)
    assert _view(older).is_replaced and not view.is_replaced
    world.kill(older)
    fleet.processes[3] = newer
    settle(world, fleet, 15_000)

    view.update(number=5)
    world.run(world.now + 2000)
    assert all(_view(process).conflicts() == {5: ["p3", "p5"]} for process in fleet.living)


def test_one_way_links_of_one_member_change_no_view() -> None:
    world, fleet = fleet_of(12)
    settle(world, fleet, 5000)
    began = world.now
    others = {name for name, _ in _view(fleet.processes[0]).own_record.sees[:1]}
    world.partitions.append(lambda one, other: one.address == "a0" and _view(other).own_record.name in others)
    world.run(began + 30_000)
    reported = [what for process in fleet.living for moment, what in process.notifications if moment > began + 1000]
    assert not [what for what in reported if isinstance(what, ViewChanged) and what.away]


def test_a_member_that_left_is_kept_then_forgotten_and_not_revived_by_an_old_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "FORGET_MS", 20_000.0)
    world, fleet = fleet_of(5)
    settle(world, fleet, 5000)
    one = fleet.processes[4]
    old = _view(one).own_record
    world.do(one, _view(one).leave)
    world.run(world.now + 500)
    world.kill(one)
    world.run(world.now + 1000)
    assert all(_view(process).left == {"p4"} and not _view(process).away for process in fleet.living)
    world.run(world.now + 22_000)
    assert all("p4" not in _view(process).records for process in fleet.living)
    asked = _view(fleet.processes[0])
    asked._merge_record(world.now, old, -1)  # an outdated record that was in transit all that time
    assert "p4" not in asked.records
    settle(world, fleet, 5000)
    fleet.start(4)
    settle(world, fleet, 15_000)


def single_member() -> View:
    return View(record(0), "fleet", "settings", (), random.Random(1), 0.0)


@pytest.mark.parametrize(
    ("message", "why"),
    [
        (Hello("another", "settings", record(1)), "another fleet"),
        (Hello("fleet", "other settings", record(1)), "another fleet"),
        (Hello("fleet", "settings", record(0)), "myself"),
        (RecordUpdates((record(1),)), "a word before its hello"),
        (Summary((("p1", 1, 1),)), "a word before its hello"),
    ],
)
def test_streams_of_strangers_are_closed_and_leave_no_state(message: ViewMessage, why: str) -> None:
    view = single_member()
    view.stream_opened(0.0, 1, None)
    actions = view.message_received(1.0, 1, message)
    assert [action.why for action in actions if isinstance(action, Close)] == [why]
    assert list(view.records) == ["p0"] and not view.streams


def test_false_records_are_bounded_and_refuted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_MEMBERS", 50)
    view = single_member()
    view.stream_opened(0.0, 1, None)
    view.message_received(1.0, 1, Hello("fleet", "settings", record(1)))
    view.message_received(2.0, 1, RecordUpdates(tuple(record(n) for n in range(2, 10_000))))
    assert len(view.records) == 50 and view.counters["too_many"] == 9950
    view.message_received(
        3.0, 1, RecordUpdates((record(1, version=MAX_VERSION + 1), record(0, version=40, number=7, left=True)))
    )
    assert view.counters["implausible"] == 1 and view.records["p1"].version == 0
    assert view.own_record.version > 40 and view.own_record.number == 0 and not view.own_record.left
    sent = [a.word for a in view.tick(100.0) if isinstance(a, Send) and isinstance(a.word, RecordUpdates)]
    assert any(held.name == "p0" and held.version > 40 for message in sent for held in message.records)


REPLAY_PROGRAM = """
from tests.view.test_view import fleet_of
world, fleet = fleet_of(9, 3)
world.run(3000)
world.kill(fleet.processes[2])
world.run(9000)
print(world.messages_sent, [process.state_machine.digest for process in fleet.living])
"""


def test_a_seed_gives_the_same_run_in_any_process() -> None:
    outputs = {
        subprocess.run(
            [sys.executable, "-c", REPLAY_PROGRAM], env={**os.environ, "PYTHONHASHSEED": str(seed)}, capture_output=True,
            check=True, text=True,
        ).stdout
        for seed in (1, 2)
    }  # fmt: skip
    assert len(outputs) == 1
    world, _ = fleet_of(9, 4)
    world.run(9000)
    assert str(world.messages_sent) not in next(iter(outputs)), "another seed gives another run"


def test_dials_to_dead_members_are_limited_in_rate() -> None:
    world, fleet = fleet_of(30)
    dials: dict[str, int] = {}
    real = world._dial

    def counting_dial(process: Process, action: Dial) -> None:
        dials[action.address] = dials.get(action.address, 0) + 1
        real(process, action)

    world._dial = counting_dial  # type: ignore[method-assign]
    settle(world, fleet, 5000)
    for number in range(15):
        world.kill(fleet.processes[number])
    world.run(world.now + 30_000)
    dead = sum(dials.get(f"a{number}", 0) for number in range(15))
    assert 15 * 10 < dead < 15 * 60, "each running member dials one dead member every 0.5 to 1.5 s"
    for one, other in itertools.combinations(fleet.living, 2):
        assert _view(one).digest == _view(other).digest


settings.register_profile("ci", deadline=None)
settings.load_profile("ci")


@pytest.mark.parametrize(
    ("mine", "settings", "theirs", "joined"),
    [
        ("", "settings", "fixed", True),  # no changeable configuration here, or an earlier version there
        ("", "other", "fixed", False),
        ("fixed", "settings", "", True),
        ("fixed", "other", "", False),
        ("fixed", "other", "fixed", True),
        ("fixed", "other", "unlike", False),
        ("fixed", "settings", "unlike", True),
    ],
)
def test_settings_may_differ_in_what_both_members_can_change(
    mine: str, settings: str, theirs: str, joined: bool
) -> None:
    view = View(record(0), "fleet", "settings", (), random.Random(1), 0.0, mine)
    view.stream_opened(0.0, 1, None)
    actions = view.message_received(1.0, 1, Hello("fleet", settings, record(1), theirs))
    closed = [action.why for action in actions if isinstance(action, Close)]
    assert closed == ([] if joined else ["another fleet"])
