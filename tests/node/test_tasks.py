"""The states of a task without sockets: each row of its table, on virtual time."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from sprucepost import interface as i
from sprucepost.adapter import settings_from
from sprucepost.node import binary, jsonl, parsing
from sprucepost.node.attempt import Attempt, SetUpResult
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.parsing import InvalidSetUp, SetUp, SetUpParser
from sprucepost.node.tasks import Tasks
from sprucepost.placing.scheduler_driver import SchedulerDriver
from tests.node.platform import settings, setup
from tests.placing.support import VirtualLoop

SID = "9b1f03aa5c7e2d41"
WORDS = SetUpParser(settings_from(settings()))


def read(sid: str = SID, **changes: Any) -> SetUp:
    [message] = binary.Decoder().feed(setup(sid, **changes))
    return WORDS.parse(message)


class TaskHarness:
    """Owners and hosts that only write down; a host's connection is always there unless ``down``."""

    def __init__(self, **changes: Any) -> None:
        self.loop = VirtualLoop()
        self.counters: Counter[str] = Counter()
        found = settings_from(settings(**changes))
        driver = SchedulerDriver(self.loop, found, 1, 0.05, lambda: None, lambda *a, **k: None, self.counters)
        self.tasks = Tasks(
            self.loop,
            driver,
            found,
            lambda text: parsing.parse_load_report(text, ("x0", "x1"), ("free_cores", "free_memory")),
            self.counters,
        )
        self.tasks.owners = self.tasks.hosts = self
        self.driver, self.events, self.down, self.closed = driver, [], False, False
        self.holds, self.written = 0, set[Attempt]()
        handle = driver.scheduler.handle
        self.told: list[Any] = []  # what the module got
        driver.scheduler.handle = lambda now, events: self.told.extend(events) or handle(now, events)  # type: ignore[method-assign, func-returns-value]
        machines = tuple(
            i.MachineEntry(name, i.MachineState.READY, zone, 0, 0, 0.0, 32.0, 64.0)
            for zone, name in enumerate(("m0", "m1"))
        )
        driver.push(i.MachineList(i.ListKind.FULL, machines))
        self.loop.pass_ms(1)

    # what the walk says
    events: list[Any]

    def answer(self, sid: str, text: str) -> None:
        self.events.append(("answer", sid, text))

    def input_read(self) -> bool:
        return True

    def discard_set_up(self, sid: str) -> None: ...
    def withdraw_unsent(self, services: set[str]) -> None: ...
    def was_sent(self, out: Attempt) -> bool:
        return out in self.written

    def connection_failed_locally(self, attempt: Attempt) -> bool:
        return False

    def add_placed_task(self) -> None:
        self.holds += 1

    def remove_placed_task(self) -> None:
        self.holds -= 1
        assert self.holds == self.tasks_standing() >= 0

    def tasks_standing(self) -> int:
        return sum(map(len, self.tasks.placed.values()))

    def refuse(self, sid: str, cause: int, stay_away_ms: float) -> None:
        self.events.append(("refuse", sid, cause, stay_away_ms))

    def release(self, link: Any, sid: str, cause: int) -> None:
        self.events.append(("release", sid, cause))

    def send_offer(self, out: Attempt) -> None:
        data = None if self.down else self.tasks.encode_offer(out)
        if data is not None:
            self.written.add(out)
            [line] = jsonl.Decoder().feed(data)
            self.events.append(("open", out, line))

    def withdraw(self, out: Attempt) -> None:
        self.events.append(("give up", out))

    def end_task(self, machine: str, sid: str) -> None:
        self.events.append(("let go", machine, sid))

    def adopt(self, machine: str, sid: str) -> bool:
        return True

    # what comes
    def ask(self, sid: str = SID, **changes: Any) -> None:
        assert self.tasks.admit(read(sid, **changes), self, 0.0) is SetUpResult.ADMITTED
        self.loop.pass_ms(1)

    def say(
        self, word: MessageType, attrs: dict[str, str] | None = None, code: int | None = None, text: str | None = None
    ) -> None:
        """The host that has the latest offer says something on its connection."""
        out = self.outs()[-1]
        self.tasks.handle_answer(out, Line(word, out.sid, attrs or {}, code, text))
        self.loop.pass_ms(1)

    def outs(self) -> list[Attempt]:
        return [event[1] for event in self.events if event[0] == "open"]

    def kinds(self) -> list[str]:
        return [event[0] for event in self.events]

    def last(self, kind: type[Any]) -> Any:
        return [event for event in self.told if isinstance(event, kind)][-1]


def standing(**changes: Any) -> TaskHarness:
    harness = TaskHarness()
    harness.ask(**changes)
    harness.say(MessageType.READY, text="made")
    return harness


def test_from_set_up_to_release() -> None:
    harness = TaskHarness()
    harness.ask(KEY="k" * 32, CLASS="bill")
    [(_, out, line)] = harness.events
    assert line.attrs["class"] == "bill" and line.attrs["idem"] == "k" * 32 and line.attrs["key"] == f"task-{SID[-4:]}"
    assert float(line.attrs["left"]) <= out.deadline - out.offered_at and line.text.startswith(SID)
    harness.say(MessageType.READY, text="made")
    assert harness.events[-1] == ("answer", SID, "made") and harness.last(i.Accepted).request == out.entry.request
    assert out.entry.ask.setup.description == "", "a standing task keeps no description"
    harness.tasks.handle_message(out.machine, Line(MessageType.EVENT, SID, {"note": "cores", "value": "0.5"}))
    harness.loop.pass_ms(1)
    assert harness.last(i.StatusNote) == i.StatusNote(out.entry.request, 0, i.StatusKind.CORES_USED, 0.5)
    harness.tasks.handle_message(out.machine, Line(MessageType.CLOSE, SID, {"load": "x0:3;x1:4;other:x"}, 16))
    harness.loop.pass_ms(1)
    assert harness.events[-1] == ("release", SID, 16) and harness.last(i.Outcome).report == i.LoadReport(3.0, 4.0)
    assert not harness.tasks.placed and len(harness.tasks.ledger) == 0


@pytest.mark.parametrize(
    "code, ending",
    [(34, "full"), (47, "error"), (102, "moot"), (41, "reset"), (16, "reset"), (99, "reset"), (None, "reset")],
)
def test_what_a_cause_before_the_answer_means(code: int | None, ending: str) -> None:
    harness = TaskHarness()
    harness.ask()
    harness.say(MessageType.CLOSE, {"note": "no_memory"}, code)
    outcome = next(event for event in harness.told if isinstance(event, i.Outcome))
    assert (outcome.ending.value, outcome.closed, outcome.reason) == (ending, False, i.Reason.NO_MEMORY)


def test_a_task_that_ends_before_it_could_be_called_running_was_done() -> None:
    """Its host says answer and end in one: offered again it ran three times, and was refused in the end."""
    harness = TaskHarness()
    harness.ask()
    [out] = harness.outs()
    harness.tasks.handle_answer(out, Line(MessageType.CLOSE, SID, {}, 16, "made by m0"))
    harness.loop.pass_ms(50)
    assert [event[0] for event in harness.events] == ["open", "answer", "release"]
    assert harness.events[1][1:] == (SID, "made by m0") and harness.events[2][1:] == (SID, 16)
    assert harness.last(i.Outcome).ending is i.Ending.OK and harness.last(i.Outcome).closed
    assert harness.last(i.Accepted).request == harness.last(i.Outcome).request
    assert not harness.tasks.placed and not harness.holds


@pytest.mark.parametrize("code, released", [(16, 16), (41, 41), (99, 41), (31, None)])
def test_what_a_cause_after_the_answer_means(code: int, released: int | None) -> None:
    harness = standing()
    harness.tasks.handle_message(harness.outs()[0].machine, Line(MessageType.CLOSE, SID, {}, code))
    harness.loop.pass_ms(1)
    found = [event for event in harness.events if event[0] == "release"]
    assert found == ([("release", SID, released)] if released else [])
    assert harness.last(i.Outcome).closed and not harness.tasks.placed


def test_what_the_module_gives_up_on_is_answered_at_once() -> None:
    """A task that has been tried as often as it may is refused in that turn, not near its owner's end."""
    harness = TaskHarness()
    harness.ask()
    for _ in range(3):
        harness.say(MessageType.CLOSE, {}, 47)
    assert harness.events[-1][:3] == ("refuse", SID, 34) and harness.loop.now() < 1_000_000.0 + 500.0
    harness.loop.pass_ms(4000)
    assert harness.kinds().count("refuse") == 1


def test_a_keyed_task_that_may_run_fails_where_it_is_not_answered_in_time() -> None:
    harness = TaskHarness()
    harness.ask(CLASS="bill", KEY="k", LEFT="900")
    harness.loop.pass_ms(1000)
    assert [event[1:] for event in harness.events if event[0] == "refuse"] == [(SID, 41, 0.0)]
    assert harness.counters["timeouts"] >= 1 and harness.kinds().count("give up") == len(harness.outs())


def test_one_attempt_is_given_up_before_the_next_goes_out() -> None:
    harness = TaskHarness()
    harness.ask()
    harness.loop.pass_ms(2500)
    kinds = [kind for kind in harness.kinds() if kind in ("open", "give up")]
    assert (
        len(kinds) >= 4 and kinds[::2] == ["open"] * len(kinds[::2]) and kinds[1::2] == ["give up"] * len(kinds[1::2])
    )


def test_an_offer_that_could_not_be_written_never_ran() -> None:
    harness = TaskHarness()
    harness.down = True
    harness.ask(CLASS="bill", KEY="k", LEFT="900")
    harness.loop.pass_ms(1000)
    assert harness.counters["unsent"] >= 1 and harness.events[-1][:3] == ("refuse", SID, 34)


def test_what_waited_goes_out_with_what_is_left_and_not_to_a_host_that_drains() -> None:
    harness = TaskHarness()
    harness.down = True
    harness.ask()
    [out] = [entry.ask.attempt for entry in harness.tasks.ledger.open_entries()]
    harness.loop.pass_ms(40)
    data = harness.tasks.encode_offer(out)
    assert data is not None and float(jsonl.Decoder().feed(data)[0].attrs["left"]) <= out.deadline - out.offered_at - 39
    harness.tasks.set_closed(out.machine, True)
    assert harness.tasks.encode_offer(out) is None
    harness.tasks.set_closed(out.machine, False)
    harness.loop.pass_ms(out.deadline - harness.loop.now() - 1.5)
    assert harness.tasks.encode_offer(out) is None


def test_an_owner_gives_up_at_every_stage() -> None:
    held = TaskHarness()
    held.driver.push(i.MachineList(i.ListKind.FULL, ()))
    held.loop.pass_ms(1)
    held.ask()
    held.tasks.owner_cancelled(SID)
    out = TaskHarness()
    out.ask()
    out.tasks.owner_disconnected([SID])
    for harness in (held, out):
        harness.loop.pass_ms(4000)
        assert harness.last(i.RequestAbandoned) and "refuse" not in harness.kinds() and harness.tasks.ledger.open == 0
    assert out.kinds() == ["open", "give up"] and out.last(i.Outcome).ending is i.Ending.CANCELLED
    placed = standing()
    placed.tasks.owner_cancelled(SID)
    placed.tasks.owner_cancelled(SID)
    assert placed.kinds()[-1] == "let go" and placed.kinds().count("let go") == 1 and not placed.tasks.placed


def test_what_a_host_holds_already_is_not_placed_and_not_answered() -> None:
    harness = TaskHarness()
    harness.ask(FIGURES="cores:1;memory:2;service:s;at:m1", LEFT="4294967")
    harness.ask(FIGURES="cores:1;memory:2;service:s;at:m1")  # named again, though it is held
    assert harness.events == [] and harness.last(i.TaskFound).machine == "m1" and harness.counters["found"] == 1
    harness.tasks.handle_message("m0", Line(MessageType.CLOSE, SID, {}, 16))  # another host's word on it
    assert harness.events == [] and harness.counters["late_words"] == 1
    harness.tasks.handle_message("m1", Line(MessageType.CLOSE, SID, {}, 16))
    assert harness.events == [("release", SID, 16)]


def test_an_id_in_use_is_not_taken_twice() -> None:
    harness = TaskHarness()
    harness.ask()
    assert harness.tasks.admit(read(DESCRIPTION="another"), harness, 0.0) is SetUpResult.DUPLICATE_ID
    harness.say(MessageType.READY, text="made")
    assert harness.tasks.admit(read(), harness, 0.0) is SetUpResult.DUPLICATE_ID
    assert len(harness.outs()) == 1


def test_words_that_nobody_waits_for_change_nothing() -> None:
    harness = standing()
    out = harness.outs()[0]
    for line in (
        Line(MessageType.READY, SID, text="again"),
        Line(MessageType.READY, "0" * 15 + "1", text="whose"),
        Line(MessageType.CLOSE, "f" * 16, {}, 16),
    ):
        harness.tasks.handle_message(out.machine, line)
    harness.tasks.end_attempt(out, i.Ending.RESET)
    assert harness.kinds() == ["open", "answer"] and harness.counters["late_words"] == 3
    harness.tasks.handle_message(out.machine, Line(MessageType.CLOSE, SID, {}, 16))
    harness.tasks.handle_message(out.machine, Line(MessageType.CLOSE, SID, {}, 16))
    assert harness.kinds().count("release") == 1


def test_a_lost_host_releases_its_tasks_those_of_its_next_life_stay() -> None:
    harness = standing()
    machine = harness.outs()[0].machine
    assert harness.tasks.host_lost(machine, "restarted", before=harness.loop.now() - 1000.0) == 0
    assert harness.tasks.host_lost(machine, "silent") == 1 and harness.events[-1] == ("release", SID, 41)
    assert harness.tasks.host_lost(machine, "silent") == 0


def test_nothing_is_kept_of_what_is_over() -> None:
    """Thousands of tasks, each of a service of its own, leave nothing behind: ids, services, attempts, orders."""
    harness = TaskHarness()
    for n in range(600):
        sid = f"{n + 1:016x}"
        harness.ask(sid, FIGURES=f"cores:1;memory:2;service:{n:x}")
        if n % 3:
            harness.say(MessageType.READY, text="made")
            harness.tasks.handle_message(harness.outs()[-1].machine, Line(MessageType.CLOSE, sid, {}, 16))
        else:
            harness.tasks.owner_cancelled(sid)
        harness.loop.pass_ms(20)
        harness.tasks.expire_records()
        harness.events.clear()
        harness.told.clear()
    scheduler = harness.driver.scheduler
    assert len(harness.tasks.ledger) <= 1
    harness.loop.pass_ms(13_000)
    harness.tasks.expire_records()
    assert len(harness.tasks.ledger) == 0 and not harness.tasks.placed
    assert not scheduler.tasks and not scheduler.attempts and not scheduler.to_place
    assert len(scheduler.services) == 0 and len(scheduler.machine_orders) == 0
    assert all(not m.attempts and len(m.answer_times) <= 600 for m in scheduler.machines.values())


@pytest.mark.parametrize(
    "changes",
    [
        {"CLASS": "nobody"}, {"CLASS": None}, {"CLASS": b"\xff"}, {"LEFT": "nan"}, {"LEFT": "-5"}, {"LEFT": "0"},
        {"LEFT": "1e300"}, {"LEFT": "soon"}, {"LEFT": None}, {"NAME": None}, {"NAME": "x" * 200}, {"NAME": "a\nb"},
        {"FIGURES": "cores:1;memory:2"}, {"FIGURES": "cores:-1;memory:2;service:s"},
        {"FIGURES": "cores:inf;memory:2;service:s"},
        {"FIGURES": "cores:1;memory:1e9;service:s"}, {"FIGURES": "cores:0;memory:0;service:s"}, {"FIGURES": "x"},
        {"FIGURES": "cores:1;cores:1;memory:2;service:s"}, {"FIGURES": None}, {"CLASS": "bill"},
        {"DESCRIPTION": None}, {"DESCRIPTION": b"\xff\xfe"}, {"DESCRIPTION": "\u0001" * 4000},
    ],
)  # fmt: skip
def test_a_set_up_that_cannot_be_taken(changes: dict[str, Any]) -> None:
    with pytest.raises(InvalidSetUp) as refused:
        read(**changes)
    assert refused.value.cause not in (34, 42, 102)


@pytest.mark.parametrize(("name", "cause"), [("ana", None), ("barbu", None), ("nobody", 100), (None, 96)])
def test_where_there_are_tenants_a_set_up_says_whose_it_is(name: str | None, cause: int | None) -> None:
    """All counted for the first, and its share alone was used up."""
    tenants = [{"name": "ana", "share": 0.6}, {"name": "barbu", "share": 0.4}]
    family = {**settings()["family_info"], "quota_cores": [20.0, 10.0]}
    found = SetUpParser(settings_from(settings(tenants=tenants, family_info=family)))
    [message] = binary.Decoder().feed(setup(SID, TENANT=name))
    if cause is None:
        assert found.parse(message).request(1, 100.0).tenant == ["ana", "barbu"].index(str(name))
    else:
        with pytest.raises(InvalidSetUp) as refused:
            found.parse(message)
        assert refused.value.cause == cause
    assert read(TENANT=name).request(1, 100.0).tenant == 0, "where there are none it means nothing"


def test_a_set_up_without_an_id_is_refused() -> None:
    """Hosts end the connection on such a line, with all that is open on it."""
    with pytest.raises(InvalidSetUp):
        read("0" * 16)
    assert read(LEFT="1500.5").time_left_ms == 1500.5
