"""States of a task without sockets: each row of the state table, in virtual time."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from sprucepost import interface as i
from sprucepost.adapter import settings_from
from sprucepost.node import binary, jsonl, parsing
from sprucepost.node.attempt import Attempt, HostConnection, SetUpResult
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.parsing import InvalidSetUp, SetUp, SetUpParser
from sprucepost.node.process_identity import ListedStart, ProcessConnection
from sprucepost.node.releases import CAUSE_REFUSED
from sprucepost.node.tasks import SETTLED_RETENTION_MS, Tasks
from sprucepost.placing.scheduler_driver import SchedulerDriver
from tests.node.platform import settings, setup
from tests.placing.support import VirtualLoop

SID = "9b1f03aa5c7e2d41"
PARSER = SetUpParser(settings_from(settings()))


def parse_set_up(sid: str = SID, **changes: Any) -> SetUp:
    [message] = binary.Decoder().feed(setup(sid, **changes))
    return PARSER.parse(message)


class TaskHarness:
    """The task states with owners and hosts that only record calls; offers are not written while ``disconnected``."""

    def __init__(self, **changes: Any) -> None:
        self.loop = VirtualLoop()
        self.counters: Counter[str] = Counter()
        parsed_settings = settings_from(settings(**changes))
        driver = SchedulerDriver(self.loop, parsed_settings, 1, 0.05, lambda: None, lambda *a, **k: None, self.counters)
        self.tasks = Tasks(
            self.loop,
            driver,
            parsed_settings,
            lambda text: parsing.parse_load_report(text, ("x0", "x1"), ("free_cores", "free_memory")),
            self.counters,
        )
        self.tasks.owners = self.tasks.hosts = self
        self.driver, self.events, self.disconnected, self.closed = driver, [], False, False
        self.placed_count, self.written = 0, set[Attempt]()
        self.leads_to_listed_host = True
        self.listed = {"m0", "m1"}
        handle = driver.scheduler.handle
        self.scheduler_events: list[Any] = []  # events passed to the scheduler
        driver.scheduler.handle = lambda now, events: self.scheduler_events.extend(events) or handle(now, events)  # type: ignore[method-assign, func-returns-value]
        machines = tuple(
            i.MachineEntry(name, i.MachineState.READY, zone, 0, 0, 0.0, 32.0, 64.0)
            for zone, name in enumerate(("m0", "m1"))
        )
        driver.push(i.MachineList(i.ListKind.FULL, machines))
        self.loop.pass_ms(1)

    # Calls made by the task states
    events: list[Any]

    def answer(self, sid: str, text: str) -> None:
        self.events.append(("answer", sid, text))

    @property
    def is_flooding(self) -> bool:
        return False

    def input_read(self, ready_at: float) -> bool:
        return True

    def discard_set_up(self, sid: str) -> None: ...
    def withdraw_unsent(self, services: set[str]) -> None: ...
    def was_sent(self, attempt: Attempt) -> bool:
        return attempt in self.written

    def unwritten_by_fault_of_host(self, attempt: Attempt) -> bool:
        return True

    def add_placed_task(self) -> None:
        self.placed_count += 1

    def remove_placed_task(self) -> None:
        self.placed_count -= 1
        assert self.placed_count == self.count_placed_tasks() >= 0

    def count_placed_tasks(self) -> int:
        return sum(map(len, self.tasks.placed.values()))

    def refuse(self, sid: str, cause: int, stay_away_ms: float) -> None:
        self.events.append(("refuse", sid, cause, stay_away_ms))

    def release(self, link: Any, sid: str, cause: int) -> None:
        self.events.append(("release", sid, cause))

    def cancel_release(self, sid: str) -> None: ...
    def release_again(self, link: Any, sid: str) -> None: ...

    def send_offer(self, attempt: Attempt) -> None:
        data = None if self.disconnected else self.tasks.encode_offer(attempt)
        if data is not None:
            self.written.add(attempt)
            attempt.link = self.connection(attempt.machine)
            [line] = jsonl.Decoder().feed(data)
            self.events.append(("open", attempt, line))

    def connection(self, machine: str) -> HostConnection:
        """A connection that comes up now."""
        process = ProcessConnection(self.loop.now())
        return SimpleNamespace(
            process=process,
            host=SimpleNamespace(uid=machine),
            leads_to_listed_host=lambda now: self.leads_to_listed_host,
        )

    def withdraw(self, attempt: Attempt, tell_host: bool = True) -> None:
        self.events.append(("withdraw" if tell_host else "forget", attempt))

    def end_task(self, machine: str, sid: str) -> None:
        self.events.append(("end task", machine, sid))

    def adopt(self, machine: str, sid: str) -> bool:
        return self.is_listed(machine)

    def is_being_ended(self, machine: str, sid: str) -> bool:
        return False

    def is_listed(self, machine: str) -> bool:
        return machine in self.listed

    # Input
    def submit(self, sid: str = SID, **changes: Any) -> None:
        assert self.tasks.admit(parse_set_up(sid, **changes), self, 0.0) is SetUpResult.ADMITTED
        self.loop.pass_ms(1)

    def send_from_host(
        self,
        message_type: MessageType,
        attrs: dict[str, str] | None = None,
        code: int | None = None,
        text: str | None = None,
    ) -> None:
        """Have the host with the latest offer send a message on its connection."""
        attempt = self.offers()[-1]
        self.tasks.handle_answer(attempt, Line(message_type, attempt.sid, attrs or {}, code, text))
        self.loop.pass_ms(1)

    def offers(self) -> list[Attempt]:
        return [event[1] for event in self.events if event[0] == "open"]

    def event_kinds(self) -> list[str]:
        return [event[0] for event in self.events]

    def last(self, kind: type[Any]) -> Any:
        return [event for event in self.scheduler_events if isinstance(event, kind)][-1]


def harness_with_placed_task(**changes: Any) -> TaskHarness:
    harness = TaskHarness()
    harness.submit(**changes)
    harness.send_from_host(MessageType.READY, text="made")
    return harness


def test_from_set_up_to_release() -> None:
    harness = TaskHarness()
    harness.submit(KEY="k" * 32, CLASS="bill")
    [(_, attempt, line)] = harness.events
    assert line.attrs["class"] == "bill" and line.attrs["idem"] == "k" * 32 and line.attrs["key"] == f"task-{SID[-4:]}"
    assert float(line.attrs["left"]) <= attempt.deadline - attempt.offered_at and line.text.startswith(SID)
    harness.send_from_host(MessageType.READY, text="made")
    assert harness.events[-1] == ("answer", SID, "made") and harness.last(i.Accepted).request == attempt.entry.request
    assert attempt.entry.ask.setup.description == "", "a placed task keeps no description"
    harness.tasks.handle_message(attempt.machine, Line(MessageType.EVENT, SID, {"note": "cores", "value": "0.5"}))
    harness.loop.pass_ms(1)
    assert harness.last(i.StatusNote) == i.StatusNote(attempt.entry.request, 0, i.StatusKind.CORES_USED, 0.5)
    harness.tasks.handle_message(attempt.machine, Line(MessageType.CLOSE, SID, {"load": "x0:3;x1:4;other:x"}, 16))
    harness.loop.pass_ms(1)
    assert harness.events[-1] == ("release", SID, 16) and harness.last(i.Outcome).report == i.LoadReport(3.0, 4.0)
    assert not harness.tasks.placed and len(harness.tasks.ledger) == 0


@pytest.mark.parametrize(
    "code, ending",
    [(34, "full"), (47, "error"), (102, "moot"), (41, "reset"), (16, "reset"), (99, "reset"), (None, "reset")],
)
def test_meaning_of_a_cause_before_the_answer(code: int | None, ending: str) -> None:
    harness = TaskHarness()
    harness.submit()
    harness.send_from_host(MessageType.CLOSE, {"note": "no_memory"}, code)
    outcome = next(event for event in harness.scheduler_events if isinstance(event, i.Outcome))
    assert (outcome.ending.value, outcome.closed, outcome.reason) == (ending, False, i.Reason.NO_MEMORY)


def test_a_task_that_ends_before_its_answer_counts_as_done() -> None:
    """The host reports answer and end in one message; treated as a refusal, the task ran three times and was refused."""
    harness = TaskHarness()
    harness.submit()
    [attempt] = harness.offers()
    harness.tasks.handle_answer(attempt, Line(MessageType.CLOSE, SID, {}, 16, "made by m0"))
    harness.loop.pass_ms(50)
    assert [event[0] for event in harness.events] == ["open", "answer", "release"]
    assert harness.events[1][1:] == (SID, "made by m0") and harness.events[2][1:] == (SID, 16)
    assert harness.last(i.Outcome).ending is i.Ending.OK and harness.last(i.Outcome).closed
    assert harness.last(i.Accepted).request == harness.last(i.Outcome).request
    assert not harness.tasks.placed and not harness.placed_count


@pytest.mark.parametrize("code, released", [(16, 16), (41, 41), (99, 41), (31, None)])
def test_meaning_of_a_cause_after_the_answer(code: int, released: int | None) -> None:
    harness = harness_with_placed_task()
    harness.tasks.handle_message(harness.offers()[0].machine, Line(MessageType.CLOSE, SID, {}, code))
    harness.loop.pass_ms(1)
    found = [event for event in harness.events if event[0] == "release"]
    assert found == ([("release", SID, released)] if released else [])
    assert harness.last(i.Outcome).closed and not harness.tasks.placed


def test_a_task_that_the_scheduler_refuses_is_answered_at_once() -> None:
    """A task whose attempts are used up is refused in that turn of the loop, not shortly before its deadline."""
    harness = TaskHarness()
    harness.submit()
    for _ in range(3):
        harness.send_from_host(MessageType.CLOSE, {}, 47)
    assert harness.events[-1][:3] == ("refuse", SID, 34) and harness.loop.now() < 1_000_000.0 + 500.0
    harness.loop.pass_ms(4000)
    assert harness.event_kinds().count("refuse") == 1


def test_a_keyed_task_that_may_run_fails_if_it_is_not_answered_in_time() -> None:
    harness = TaskHarness()
    harness.submit(CLASS="bill", KEY="k", LEFT="900")
    harness.loop.pass_ms(1000)
    assert [event[1:] for event in harness.events if event[0] == "refuse"] == [(SID, 41, 0.0)]
    assert harness.counters["timeouts"] >= 1 and harness.event_kinds().count("withdraw") == len(harness.offers())


def test_an_attempt_is_withdrawn_before_the_next_offer_is_sent() -> None:
    harness = TaskHarness()
    harness.submit()
    harness.loop.pass_ms(2500)
    kinds = [kind for kind in harness.event_kinds() if kind in ("open", "withdraw")]
    assert (
        len(kinds) >= 4 and kinds[::2] == ["open"] * len(kinds[::2]) and kinds[1::2] == ["withdraw"] * len(kinds[1::2])
    )


def test_an_offer_that_could_not_be_written_never_ran() -> None:
    harness = TaskHarness()
    harness.disconnected = True
    harness.submit(CLASS="bill", KEY="k", LEFT="900")
    harness.loop.pass_ms(1000)
    assert harness.counters["unsent"] >= 1 and harness.events[-1][:3] == ("refuse", SID, 34)


def test_a_delayed_offer_carries_its_remaining_time_and_is_not_sent_to_a_draining_host() -> None:
    harness = TaskHarness()
    harness.disconnected = True
    harness.submit()
    [attempt] = [entry.ask.attempt for entry in harness.tasks.ledger.open_entries()]
    harness.loop.pass_ms(40)
    data = harness.tasks.encode_offer(attempt)
    assert (
        data is not None
        and float(jsonl.Decoder().feed(data)[0].attrs["left"]) <= attempt.deadline - attempt.offered_at - 39
    )
    harness.tasks.set_closed(attempt.machine, True)
    assert harness.tasks.encode_offer(attempt) is None
    harness.tasks.set_closed(attempt.machine, False)
    harness.loop.pass_ms(attempt.deadline - harness.loop.now() - 1.5)
    assert harness.tasks.encode_offer(attempt) is None


def test_an_owner_cancels_at_every_stage() -> None:
    waiting = TaskHarness()
    waiting.driver.push(i.MachineList(i.ListKind.FULL, ()))
    waiting.loop.pass_ms(1)
    waiting.submit()
    waiting.tasks.owner_cancelled(SID)
    offered = TaskHarness()
    offered.submit()
    offered.tasks.owner_disconnected([SID])
    for harness in (waiting, offered):
        harness.loop.pass_ms(4000)
        assert (
            harness.last(i.RequestAbandoned)
            and "refuse" not in harness.event_kinds()
            and harness.tasks.ledger.open == 0
        )
    assert offered.event_kinds() == ["open", "withdraw"] and offered.last(i.Outcome).ending is i.Ending.CANCELLED
    placed = harness_with_placed_task()
    placed.tasks.owner_cancelled(SID)
    placed.tasks.owner_cancelled(SID)
    assert (
        placed.event_kinds()[-1] == "end task"
        and placed.event_kinds().count("end task") == 1
        and not placed.tasks.placed
    )


def test_a_task_that_a_host_runs_already_is_not_placed_and_not_answered() -> None:
    harness = TaskHarness()
    harness.submit(FIGURES="cores:1;memory:2;service:s;at:m1", LEFT="4294967")
    harness.submit(FIGURES="cores:1;memory:2;service:s;at:m1")  # reported again
    assert harness.events == [] and harness.last(i.TaskFound).machine == "m1" and harness.counters["found"] == 1
    harness.tasks.handle_message("m0", Line(MessageType.CLOSE, SID, {}, 16))  # a message of another host about it
    assert harness.events == [] and harness.counters["late_words"] == 1
    harness.tasks.handle_message("m1", Line(MessageType.CLOSE, SID, {}, 16))
    assert harness.events == [("release", SID, 16)]


# Guards against an owner that is told nothing, or whose set-up is made twice, since it has handed over a task that is open.
@pytest.mark.parametrize("at", ["the host of the attempt", "another host"])
@pytest.mark.parametrize("then", ["answer", "refusal", "owner leaves", "timeout"])
def test_a_hand_over_of_an_open_set_up_is_kept_until_it_has_its_outcome(at: str, then: str) -> None:
    harness = TaskHarness()
    harness.submit()
    [attempt] = harness.offers()
    host = attempt.machine if at == "the host of the attempt" else {"m0": "m1", "m1": "m0"}[attempt.machine]
    harness.submit(FIGURES=f"cores:1;memory:2;service:s;at:{host}")
    assert harness.event_kinds() == ["open"] and harness.counters["handovers_kept"] == 1
    if then == "answer":
        harness.send_from_host(MessageType.READY, text="made")
    elif then == "refusal":
        harness.tasks.fail_open([SID], "refused")
    elif then == "owner leaves":
        harness.tasks.owner_disconnected([SID])
    else:
        harness.loop.pass_ms(attempt.deadline - attempt.offered_at + 1.0)
        if at == "another host":  # it is offered once more
            harness.tasks.owner_disconnected([SID])
    harness.loop.pass_ms(5.0)
    assert list(harness.tasks.placed) == [host] and harness.placed_count == 1
    withdrawn = [event[1].machine for event in harness.events if event[0] == "withdraw"]
    assert host not in withdrawn, "the host is not told to end what it runs for its owner"
    harness.tasks.handle_message(host, Line(MessageType.CLOSE, SID, {}, 16))
    assert harness.events[-1] == ("release", SID, 16) and not harness.tasks.placed


# Guards against a process that ends with an error: the task has ended in the turn in which it was placed.
@pytest.mark.parametrize("at", ["the host of the attempt", "another host"])
def test_a_kept_hand_over_of_a_task_that_has_ended_at_once_changes_nothing(at: str) -> None:
    harness = TaskHarness()
    harness.submit()
    [attempt] = harness.offers()
    host = attempt.machine if at == "the host of the attempt" else {"m0": "m1", "m1": "m0"}[attempt.machine]
    harness.submit(FIGURES=f"cores:1;memory:2;service:s;at:{host}")
    harness.closed = True  # the connection of the set-up: its task counts for it no more
    harness.tasks.handle_answer(attempt, Line(MessageType.CLOSE, SID, {}, 16, "made"))
    harness.loop.pass_ms(5.0)
    assert harness.event_kinds() == ["open", "answer", "release"]
    assert not harness.tasks.placed and not harness.placed_count and len(harness.tasks.ledger) == 0


# Guards against a task that stands for ever, or runs on, since its owner has ended it while its hand-over was kept.
@pytest.mark.parametrize("at", ["the host of the attempt", "another host"])
def test_an_owners_end_of_a_task_whose_hand_over_is_kept_ends_it_at_its_host(at: str) -> None:
    harness = TaskHarness()
    harness.submit()
    [attempt] = harness.offers()
    host = attempt.machine if at == "the host of the attempt" else {"m0": "m1", "m1": "m0"}[attempt.machine]
    harness.submit(FIGURES=f"cores:1;memory:2;service:s;at:{host}")
    harness.tasks.owner_cancelled(SID)
    harness.loop.pass_ms(5.0)
    assert not harness.tasks.placed and not harness.placed_count
    told = [event[1].machine for event in harness.events if event[0] == "withdraw"]
    told += [event[1] for event in harness.events if event[0] == "end task"]
    assert sorted(told) == sorted({attempt.machine, host})


# Guards against a task that nobody looks after: its hand-over is beyond its client's share, and the client is not told.
def test_a_kept_hand_over_beyond_its_clients_share_is_refused() -> None:
    harness = TaskHarness()
    harness.submit()
    harness.submit(FIGURES="cores:1;memory:2;service:s;at:m1")
    harness.tasks._handed_over._limit = 0
    harness.tasks.owner_disconnected([SID])
    harness.loop.pass_ms(5.0)
    assert harness.events[-1] == ("refuse", SID, CAUSE_REFUSED, 0.0) and not harness.tasks.placed


# Guards against the end of a task that its host reports under another id than that at which its owner has handed it over.
@pytest.mark.parametrize("order", ["release first", "hand-over first"])
def test_the_end_of_a_task_at_a_host_that_is_not_listed_yet_is_told(order: str) -> None:
    harness = TaskHarness()
    line, connection = Line(MessageType.CLOSE, SID, {}, 16), harness.connection("m0").process
    if order == "release first":
        harness.tasks.handle_message("m0", line, connection)
    harness.tasks.admit(parse_set_up(FIGURES="cores:1;memory:2;service:s;at:m9"), harness, 0.0)
    if order == "hand-over first":
        harness.tasks.handle_message("m0", line, connection)
    assert harness.events == [("release", SID, 16)] and not harness.tasks.placed


# Guards against a hand-over that crosses the release of its task and names the new id of the host.
def test_a_hand_over_at_a_new_id_that_crosses_the_release_places_nothing() -> None:
    harness = harness_with_placed_task()
    harness.tasks.handle_message(harness.offers()[0].machine, Line(MessageType.CLOSE, SID, {}, 16))
    harness.submit(FIGURES="cores:1;memory:2;service:s;at:m9")
    assert not harness.tasks.placed and harness.event_kinds().count("release") == 1


def test_an_id_in_use_is_not_admitted_twice() -> None:
    harness = TaskHarness()
    harness.submit()
    assert harness.tasks.admit(parse_set_up(DESCRIPTION="another"), harness, 0.0) is SetUpResult.DUPLICATE_ID
    harness.send_from_host(MessageType.READY, text="made")
    assert harness.tasks.admit(parse_set_up(), harness, 0.0) is SetUpResult.DUPLICATE_ID
    assert len(harness.offers()) == 1


def test_unexpected_messages_change_nothing() -> None:
    harness = harness_with_placed_task()
    attempt = harness.offers()[0]
    for line in (
        Line(MessageType.READY, SID, text="again"),
        Line(MessageType.READY, "0" * 15 + "1", text="whose"),
        Line(MessageType.CLOSE, "f" * 16, {}, 16),
    ):
        harness.tasks.handle_message(attempt.machine, line)
    harness.tasks.end_attempt(attempt, i.Ending.RESET)
    assert harness.event_kinds() == ["open", "answer"] and harness.counters["late_words"] == 3
    harness.tasks.handle_message(attempt.machine, Line(MessageType.CLOSE, SID, {}, 16))
    harness.tasks.handle_message(attempt.machine, Line(MessageType.CLOSE, SID, {}, 16))
    assert harness.event_kinds().count("release") == 1


def test_a_lost_host_releases_its_tasks_and_keeps_those_of_its_next_incarnation() -> None:
    harness = harness_with_placed_task()
    machine = harness.offers()[0].machine
    assert harness.tasks.host_lost(machine, "restarted", ListedStart(harness.loop.now() - 1000.0)) == 0
    assert harness.tasks.host_lost(machine, "silent") == 1 and harness.events[-1] == ("release", SID, 41)
    assert harness.tasks.host_lost(machine, "silent") == 0


def test_no_state_is_kept_of_ended_tasks() -> None:
    """Hundreds of tasks, each of its own service, must leave no ids, services, attempts or orders in memory."""
    harness = TaskHarness()
    cancelled_at: list[float] = []
    for n in range(600):
        sid = f"{n + 1:016x}"
        harness.submit(sid, FIGURES=f"cores:1;memory:2;service:{n:x}")
        if n % 3:
            harness.send_from_host(MessageType.READY, text="made")
            harness.tasks.handle_message(harness.offers()[-1].machine, Line(MessageType.CLOSE, sid, {}, 16))
        else:
            harness.tasks.owner_cancelled(sid)
            cancelled_at.append(harness.loop.now())
        harness.loop.pass_ms(20)
        harness.tasks.expire_records()
        harness.events.clear()
        harness.scheduler_events.clear()
    scheduler = harness.driver.scheduler
    retained = [at for at in cancelled_at if at >= harness.loop.now() - SETTLED_RETENTION_MS]
    assert len(harness.tasks.ledger) == len(retained) < 20
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
def test_an_invalid_set_up_is_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(InvalidSetUp) as error:
        parse_set_up(**changes)
    assert error.value.cause not in (34, 42, 102)


@pytest.mark.parametrize(("name", "cause"), [("ana", None), ("barbu", None), ("nobody", 100), (None, 96)])
def test_with_tenants_a_set_up_must_name_its_tenant(name: str | None, cause: int | None) -> None:
    """Guards against all tasks being counted for the first tenant, so that only its share was used up."""
    tenants = [{"name": "ana", "share": 0.6}, {"name": "barbu", "share": 0.4}]
    family = {**settings()["family_info"], "quota_cores": [20.0, 10.0]}
    parser = SetUpParser(settings_from(settings(tenants=tenants, family_info=family)))
    [message] = binary.Decoder().feed(setup(SID, TENANT=name))
    if cause is None:
        assert parser.parse(message).request(1, 100.0).tenant == ["ana", "barbu"].index(str(name))
    else:
        with pytest.raises(InvalidSetUp) as error:
            parser.parse(message)
        assert error.value.cause == cause
    assert parse_set_up(TENANT=name).request(1, 100.0).tenant == 0, "without tenants the name is ignored"


def test_a_set_up_without_an_id_is_refused() -> None:
    """Hosts close the connection on such a message, with all set-ups that are open on it."""
    with pytest.raises(InvalidSetUp):
        parse_set_up("0" * 16)
    assert parse_set_up(LEFT="1500.5").time_left_ms == 1500.5


# Guards against a crash: an owner's connection ends, and the request is forgotten, in the turn in which it is due.
def test_a_decision_on_a_request_that_was_cancelled_and_expired_in_the_same_turn_is_dropped() -> None:
    harness = TaskHarness()
    harness.submit()
    request = harness.offers()[0].entry.request
    harness.driver.push(i.TimerFired(f"answer:{request}"))
    harness.tasks.owner_disconnected([SID])
    harness.loop.time += 0.01  # the same turn goes on
    harness.tasks.expire_records()
    harness.loop.pass_ms(1)
    assert harness.event_kinds() == ["open", "withdraw"] and harness.tasks.ledger.open == 0


# Guards against a running task that is ended at its hand-over: its owner's give-up had crossed the placer's failure.
def test_a_give_up_that_crosses_a_failure_does_not_end_the_task_when_it_is_handed_over() -> None:
    harness = TaskHarness()
    harness.submit()
    host = harness.offers()[0].machine
    harness.tasks.handle_message(host, Line(MessageType.EVENT, SID, {"note": "cores", "value": "0.5"}))
    harness.send_from_host(MessageType.CLOSE, code=41)
    assert harness.events[-1][:3] == ("refuse", SID, 41)
    harness.loop.pass_ms(250.0)
    harness.tasks.expire_records()
    harness.tasks.owner_cancelled(SID)
    harness.loop.pass_ms(3000.0)
    other = {"m0": "m1", "m1": "m0"}[host]  # a copy of an earlier attempt
    harness.submit(FIGURES=f"cores:1;memory:2;service:s;at:{other}")
    assert list(harness.tasks.placed) == [other] and "end task" not in harness.event_kinds()


def test_a_settled_task_is_kept_for_a_limited_time_and_without_its_description() -> None:
    harness = TaskHarness()
    harness.submit()
    entry = harness.offers()[0].entry
    harness.tasks.owner_cancelled(SID)
    assert entry.ask.setup.description == ""
    harness.loop.pass_ms(SETTLED_RETENTION_MS + 1.0)
    harness.tasks.expire_records()
    assert len(harness.tasks.ledger) == 0
