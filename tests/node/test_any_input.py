"""Whatever hosts and the bulletin send is rejected or can be used: no value that passes the checks ends the placer."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from sprucepost import interface as i
from sprucepost.adapter import settings_from
from sprucepost.node import jsonl, parsing
from sprucepost.node.bulletin import Bulletin
from sprucepost.node.framing import Malformed
from sprucepost.node.jsonl import Line, MessageType
from tests.node.platform import settings
from tests.node.test_tasks import SID, TaskHarness, harness_with_placed_task

NUMBERS = st.sampled_from(
    ["0", "-0", "-99.5", "-1e308", "1e308", "1e-320", "5e-324", "nan", "inf", "-inf", "1e400", "", "x"]
)
FIGURES = NUMBERS | st.floats().map(str) | st.integers(-(10**17), 10**17).map(str)
ODD_TEXTS = st.sampled_from(["", "\ud800", "\x00", "a" * 300, "s-1", "room-a", "std", "SERVING", "DRAINING", "DELETED"])
ODD_VALUES = (
    ODD_TEXTS
    | st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.lists(st.floats(), max_size=3)
)


def place_another(harness: TaskHarness) -> None:
    """Submit a further task and have the scheduler hold its turns, so that what it has learnt is used."""
    harness.submit("d" * 16)
    harness.loop.pass_ms(9000.0)


@given(st.lists(st.tuples(st.sampled_from(sorted(parsing.NOTES)), FIGURES), min_size=1, max_size=4))
@example([("cores", "-99.5")])
@example([("memory", "-199")])
def test_any_note_on_a_task_can_be_used(notes: list[tuple[str, str]]) -> None:
    harness = harness_with_placed_task()
    host = harness.offers()[0].machine
    for note, value in notes:
        harness.tasks.handle_message(host, Line(MessageType.EVENT, SID, {"note": note, "value": value}))
        harness.loop.pass_ms(1)
    place_another(harness)


@given(st.lists(st.tuples(st.sampled_from(["x0", "x1", "queue"]), FIGURES), max_size=3), st.sampled_from((16, 34, 41)))
def test_any_load_report_can_be_used(values: list[tuple[str, str]], code: int) -> None:
    harness = TaskHarness()
    harness.submit()
    load = ";".join(f"{name}:{value}" for name, value in values)
    line = jsonl.encode(MessageType.CLOSE, SID, {"load": load, "note": "no_cores"}, code=code)
    [parsed] = jsonl.Decoder().feed(line)
    harness.tasks.handle_answer(harness.offers()[0], parsed)
    place_another(harness)


@given(
    st.dictionaries(
        st.sampled_from(["uid", "endpoint", "az", "model", "pod_group", "state", "boot_ms", "open"]),
        ODD_VALUES,
        max_size=4,
    )
)
@example({"uid": "\ud800"})
@example({"open": [-1e15, 1e15]})
@example({"pod_group": 2**60})
def test_any_host_in_the_list_can_be_used(changes: dict[str, Any]) -> None:
    harness = TaskHarness()
    entry = {
        "uid": "s-1", "endpoint": "127.0.0.1:9", "az": "room-a", "model": "std", "pod_group": 0, "state": "SERVING",
        "boot_ms": 0, "open": [32.0, 64.0], **changes,
    }  # fmt: skip
    document = {"no": 1, "items": [{"no": 1, "roster": {"rev": 1, "all": True, "targets": [entry]}}]}
    parsed_settings = settings_from(settings())
    bulletin = Bulletin(parsed_settings.zones, parsed_settings.kinds)
    try:
        update = bulletin.apply_json(json.dumps(document))
    except Malformed:
        return
    if update is not None:
        harness.driver.push(update.list)
    place_another(harness)


# Guards against an average use that is no number any more: no note that follows could mend it.
@pytest.mark.parametrize("cores", ["1e-320", "1e-300", "1e-9"])
def test_a_request_for_next_to_nothing_does_not_distort_the_average_use_for_good(cores: str) -> None:
    harness = harness_with_placed_task(FIGURES=f"cores:{cores};memory:2;service:s")
    host = harness.offers()[0].machine
    for value in ("32", "0.5", *["0"] * 2000):
        harness.tasks.handle_message(host, Line(MessageType.EVENT, SID, {"note": "cores", "value": value}))
    harness.loop.pass_ms(1)
    assert 0.0 < harness.driver.scheduler.usage[0] < 1.0


@pytest.mark.parametrize("kind", list(i.StatusKind))
@pytest.mark.parametrize("value", [-1.0, float("nan"), float("inf"), -0.0])
def test_the_scheduler_uses_only_notes_with_a_meaning(kind: i.StatusKind, value: float) -> None:
    harness = harness_with_placed_task()
    entry = harness.offers()[0].entry
    scheduler = harness.driver.scheduler
    harness.driver.push(i.StatusNote(entry.request, entry.attempt, kind, value))
    harness.loop.pass_ms(1)
    assert all(0.0 < usage <= 0.5 for usage in scheduler.usage)
    assert all(machine.strain[0] == 0.0 or value == 0.0 for machine in scheduler.machines.values())
