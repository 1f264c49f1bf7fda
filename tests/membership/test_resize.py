"""Which generation counts, who knows of it, when a change is over; cold machines' limits hold throughout."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost import interface as i
from sprucepost.membership import Generation, KnownPlacer, Phase, Resize, Side, assign_slot, newer_generation
from sprucepost.membership.resize import END_NOTICE_MS
from tests.cold_fleet import START, Member, worst_window

RESIZE = Generation(2, 6, previous=4, begins_ms=1000.0, overlap_ms=60_000.0, announced=True)
BEFORE = Generation(1, 4)
GENERATIONS = st.builds(
    Generation, st.integers(0, 2), st.integers(1, 3), st.integers(1, 3), st.just(0.0), st.floats(1, 3), st.booleans(),
    st.booleans(), st.none() | st.integers(0, 3),
)  # fmt: skip


@given(GENERATIONS, GENERATIONS, GENERATIONS)
def test_which_generation_counts_does_not_depend_on_the_order(a: Generation, b: Generation, c: Generation) -> None:
    assert newer_generation(a, b) == newer_generation(b, a) and newer_generation(a, a) == a
    assert newer_generation(newer_generation(a, b), c) == newer_generation(a, newer_generation(b, c))
    assert newer_generation(a, b).number == max(a.number, b.number)


def others(*more: KnownPlacer, size: int = 6, generation: Generation = RESIZE) -> list[KnownPlacer]:
    return [*(KnownPlacer(n, generation) for n in range(1, size)), *more]


@pytest.mark.parametrize(
    "seen, known, complete, disputed",
    [
        (others(), True, True, False),
        (others(size=5), True, False, False),  # one of the new size is missing
        (others(KnownPlacer(6, RESIZE)), True, False, False),  # one above the new size is there
        (others(KnownPlacer(5, RESIZE)), True, False, False),  # a number twice
        (others(KnownPlacer(3, BEFORE, is_reachable=False)), False, False, False),  # unreachable, and not informed
        (others(KnownPlacer(3, BEFORE)), False, False, False),
        (others(KnownPlacer(3, RESIZE, is_reachable=False)), True, False, False),
        (others(KnownPlacer(3, replace(RESIZE, size=9))), True, False, True),
        (others(KnownPlacer(3, replace(RESIZE, over_ms=5.0))), True, False, False),  # only the end differs
        (others(generation=replace(RESIZE, over_ms=9e9)), True, True, False),
    ],
)
def test_properties_derived_from_the_other_placers(
    seen: list[KnownPlacer], known: bool, complete: bool, disputed: bool
) -> None:
    resize = Resize(0, RESIZE, seen)
    assert (resize.is_known_to_all, resize.is_complete, resize.is_disputed) == (known, complete, disputed)


def test_an_end_is_proposed_in_advance_once_and_only_if_it_ends_the_change_earlier() -> None:
    resize = Resize(0, RESIZE, others())
    assert resize.propose_end(999.0) is None, "the change has not begun"
    assert resize.propose_end(2000.0) == replace(RESIZE, over_ms=2000.0 + END_NOTICE_MS)
    assert resize.propose_end(61_000.0 - END_NOTICE_MS) is None, "the overlap ends as soon"
    assert Resize(0, replace(RESIZE, over_ms=9000.0), others()).propose_end(2000.0) is None
    assert Resize(0, RESIZE, others(size=5)).propose_end(2000.0) is None
    assert Resize(0, Generation(2, 6), others(generation=Generation(2, 6))).propose_end(2000.0) is None, "no change"


def test_only_the_new_side_waits_until_all_placers_are_informed() -> None:
    assert assign_slot(RESIZE, 5, Side.NEW, 2000.0, all_informed=False).phase is Phase.HELD
    assert assign_slot(RESIZE, 5, Side.NEW, 2000.0).slot == 9
    assert assign_slot(RESIZE, 3, Side.OLD, 2000.0, all_informed=False).slot == 3
    back = replace(RESIZE, rollback=True)
    assert assign_slot(back, 5, Side.NEW, 2000.0, all_informed=False) == assign_slot(back, 5, Side.NEW, 2000.0), (
        "all placers keep their slots"
    )


def membership_event(
    generation: Generation, number: int, side: Side, now: float, all_informed: bool = True
) -> i.Membership:
    found = assign_slot(generation, number, side, now, all_informed)
    return i.Membership(found.fleet_size, found.slot if found.slots else 0, found.slots)


def resized_fleet(uninformed: int, over_ms: float, late_ms: float) -> list[Member]:
    """Return a fleet of 88 placers that grows to 350.

    ``uninformed`` of the 88 are unreachable and learn of the change at 15 s. The end reaches the placers up to
    ``late_ms`` apart, and one that learns of it late moves late.
    """
    generation = Generation(2, 350, 88, START + 3000.0, 60_000.0, True, over_ms=START + over_ms)
    members = []
    for number in range(88):
        informed_ms = 15_000.0 if number < uninformed else 1000.0
        timed_events: list[tuple[float, i.Event]] = [
            (informed_ms, membership_event(generation, number, Side.OLD, START + max(informed_ms, 3000.0)))
        ]
        if informed_ms < 3000.0:
            timed_events = [(3000.0, membership_event(generation, number, Side.OLD, START + 3000.0))]
        timed_events.append(
            (over_ms + number % 7 * late_ms / 7, membership_event(generation, number, Side.OLD, START + over_ms))
        )
        members.append(Member(number, 88, timed_events=timed_events))
    for number in range(350):
        if number < 88:
            continue
        without_slot = membership_event(generation, number, Side.NEW, START + 5000.0, all_informed=False)
        taken = membership_event(generation, number, Side.NEW, START + 16_000.0)
        end = membership_event(generation, number, Side.NEW, START + over_ms)
        timed_events = [
            (0.0, without_slot),
            (16_000.0 if uninformed else 5000.0, taken),
            (over_ms + number % 7 * late_ms / 7, end),
        ]
        members.append(Member(number, 350, timed_events=timed_events, begins=5000.0))
    return members


@pytest.mark.parametrize("uninformed, over_ms, late_ms", [(0, 20_000.0, 1000.0), (30, 28_000.0, 500.0)])
def test_a_change_that_ends_early_or_is_learned_late_keeps_the_limit_of_cold_machines(
    uninformed: int, over_ms: float, late_ms: float
) -> None:
    worst, offers = worst_window(resized_fleet(uninformed, over_ms, late_ms), length=36_000.0)
    assert worst <= 30 and offers > 100


def test_without_waiting_for_uninformed_placers_the_limit_is_exceeded() -> None:
    members = resized_fleet(88, 28_000.0, 0.0)
    impatient = [
        replace(member, timed_events=[(0.0, member.timed_events[1][1]), *member.timed_events[1:]])
        if member.number >= 88
        else member
        for member in members
    ]
    assert worst_window(impatient, length=12_000.0)[0] > 30
