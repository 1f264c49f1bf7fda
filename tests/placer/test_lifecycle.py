"""Lifecycle, service manager, clean stop, reload, slots."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.loop import Co, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.placer.lifecycle import Conditions, State, next_state
from sprucepost.placer.notify import Notifier, adopt_listeners
from sprucepost.settings import PlacerFile
from sprucepost.settings.reload import changed_keys, restart_required
from sprucepost.standin.recording_proxy import LinkCondition
from tests.placer.support import World, cluster, run_in_world, task
from tests.test_settings import valid_document
from tests.wire.support import wait_for

CONDITIONS = st.builds(
    Conditions,
    listening=st.booleans(),
    has_list=st.booleans(),
    conflict=st.sampled_from(["", "number 3 is taken"]),
    stop_requested=st.booleans(),
    open_tasks=st.integers(0, 3),
    deadline_passed=st.booleans(),
)


@given(st.lists(CONDITIONS, max_size=20))
def test_draining_and_stopped_never_return_to_an_earlier_state(steps: list[Conditions]) -> None:
    state, stop_was_requested = State.STARTING, False
    for conditions in steps:
        before = state
        state, why = next_state(state, conditions)
        assert bool(why) == (state is not State.READY)
        if before in (State.DRAINING, State.STOPPED):
            assert state in (State.DRAINING, State.STOPPED)
        if before is State.STOPPED:
            assert state is State.STOPPED
        stop_was_requested = stop_was_requested or conditions.stop_requested
        if state is State.READY:
            assert conditions.listening and conditions.has_list and not conditions.conflict and not stop_was_requested
        if state is State.STOPPED and before is not State.STOPPED:
            assert conditions.open_tasks == 0 or conditions.deadline_passed


def test_the_notify_protocol_and_its_watchdog(tmp_path: Path) -> None:
    path = str(tmp_path / "notify")
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        manager.bind(path)
        manager.settimeout(2.0)
        loop = EpollLoop(1)

        def main() -> Co[None]:
            environ = {"NOTIFY_SOCKET": path, "WATCHDOG_USEC": "40000", "WATCHDOG_PID": str(os.getpid())}
            notifier = Notifier(loop, environ, os.getpid())
            notifier.notify(READY="1", STATUS="two\nlines")
            yield from sleep(90)
            notifier.close()

        loop.run(main)
        loop.close()
        datagrams = [manager.recv(200) for _ in range(4)]
    assert b"READY=1\nSTATUS=two lines\n" in datagrams and datagrams.count(b"WATCHDOG=1\n") >= 3


def test_without_a_manager_nothing_is_sent_or_adopted() -> None:
    loop = EpollLoop(1)
    Notifier(loop, {}, 1).notify(READY="1")
    Notifier(loop, {"NOTIFY_SOCKET": "/none/there"}, 1).notify(READY="1")
    assert adopt_listeners(loop, {}, 1) == {} == adopt_listeners(loop, {"LISTEN_FDS": "1", "LISTEN_PID": "2"}, 1)
    loop.close()


def start(file: Path, **more: Any) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "sprucepost", "placer", str(file)],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, **more,
    )  # fmt: skip


def lines_of(process: subprocess.Popen[str]) -> list[dict[str, Any]]:
    _, err = process.communicate(timeout=20)
    return [json.loads(line) for line in err.splitlines()]


def read_until(process: subprocess.Popen[str], wanted: tuple[str, ...]) -> list[dict[str, Any]]:
    """Return the log events up to the first of those."""
    assert process.stderr is not None
    events: list[dict[str, Any]] = []
    while not events or events[-1]["event"] not in wanted:
        events.append(json.loads(process.stderr.readline()))
    return events


def test_a_signal_right_after_the_announcement_is_handled(tmp_path: Path) -> None:
    """On a busy machine a signal between the announcement and the handlers ended the process."""
    file = tmp_path / "placer.json"
    file.write_text(json.dumps(valid_document()))
    for number in (signal.SIGHUP, signal.SIGTERM):
        process = start(file)
        assert process.stdout is not None
        assert process.stdout.readline()
        process.send_signal(number)
        if number is signal.SIGHUP:
            read_until(process, ("reloaded",))
            process.terminate()
        lines_of(process)
        assert process.returncode == 0


def test_a_successor_adopts_the_listening_socket_and_no_connection_is_refused(tmp_path: Path) -> None:
    file = tmp_path / "placer.json"
    file.write_text(json.dumps(valid_document()))
    # The backlog holds the connections while no process accepts.
    with socket.create_server(("127.0.0.1", 0), backlog=1024) as server:
        address = server.getsockname()

        def pass_socket() -> None:
            os.dup2(server.fileno(), 3)
            os.environ["LISTEN_PID"] = str(os.getpid())

        environ = {**os.environ, "LISTEN_FDS": "1", "LISTEN_FDNAMES": "grpc"}
        environ.pop("LISTEN_PID", None)
        first = start(file, preexec_fn=pass_socket, pass_fds=[3, server.fileno()], env=environ)
        assert first.stdout is not None
        assert json.loads(first.stdout.readline())["listen"] == f"127.0.0.1:{address[1]}"
        second: subprocess.Popen[str] | None = None
        refused_count = attempts = 0
        first.send_signal(signal.SIGTERM)
        until = time.monotonic() + 3.0
        while time.monotonic() < until:
            attempts += 1
            try:
                socket.create_connection(address, timeout=1.0).close()
            except OSError:
                refused_count += 1
            if second is None and first.poll() is not None:
                second = start(file, preexec_fn=pass_socket, pass_fds=[3, server.fileno()], env=environ)
            time.sleep(0.01)
        assert second is not None and second.stdout is not None and second.stdout.readline()
        second.send_signal(signal.SIGTERM)
        assert second.wait(10) == 0 == first.returncode
        second.communicate()
        first.communicate()
    assert refused_count == 0 and attempts > 50


def test_sighup_applies_a_valid_file_and_refuses_an_invalid_one_as_a_whole(tmp_path: Path) -> None:
    file = tmp_path / "placer.json"
    raw = valid_document()
    file.write_text(json.dumps(raw))
    process = start(file)
    assert process.stdout is not None
    process.stdout.readline()
    events: list[dict[str, Any]] = []
    for change in (
        {"instances": 5, "generation": {"number": 2, "previous_instances": 2, "overlap_ms": 60_000}},
        {"instances": 7, "zone": "room-b"},
        {"instances": 7, "limits": {"open_task": 3}},
        {"instances": 7, "number": 1},
    ):
        file.write_text(json.dumps({**raw, "placer": {**raw["placer"], **change}}))
        process.send_signal(signal.SIGHUP)
        events += read_until(process, ("reloaded", "reload_refused"))
    process.terminate()
    events += lines_of(process)
    assert process.returncode == 0
    assert [e["key"] for e in events if e["event"] == "setting_changed"] == [
        "placer.generation.number", "placer.generation.overlap_ms", "placer.generation.previous_instances",
        "placer.instances",
    ]  # fmt: skip
    assert [e["line"] for e in events if e["event"] == "reload_refused"] == [
        "placer.zone: cannot change while running (from 'room-a' to 'room-b')",
        f"{file}: placer.limits.open_task: unknown key",
        "placer.number: cannot change while running (from 0 to 1)",
    ]
    slots = [(e["phase"], e["seats"]) for e in events if e["event"] == "seat"]
    assert slots[0] == ("steady", 2) and ("done", 5) in slots  # the change began in 1970 and is over


def test_only_reloadable_settings_may_change() -> None:
    old = msgspec.convert(valid_document(), PlacerFile)
    new = msgspec.structs.replace(old, placer=msgspec.structs.replace(old.placer, stop_ms=3.0, zone="room-b"))
    assert changed_keys(old, new) == [("placer.stop_ms", None, 3.0), ("placer.zone", "room-a", "room-b")]
    assert [line.split(":")[0] for line in restart_required(changed_keys(old, new))] == ["placer.zone"]
    assert restart_required(changed_keys(old, old)) == []


def test_a_reload_of_open_tasks_changes_the_limit() -> None:
    """A reload accepted and logged the new limit, but admission kept the old one."""

    def body(world: World) -> Co[Any]:
        placer = world.placer()
        yield from sleep(1)
        found = []
        for limit in (1, 500):
            limits = msgspec.structs.replace(placer.file.placer.limits, open_tasks=limit)
            new = msgspec.structs.replace(placer.file.placer, limits=limits)
            assert placer.reload(msgspec.structs.replace(placer.file, placer=new)) == []
            found.append(placer.engine.admission.open_tasks.max_open)
        return found

    assert run_in_world(body) == [1, 500]


def test_a_stop_refuses_unattempted_tasks_and_waits_for_attempts() -> None:
    """Whether its offer is unanswered or not sent, each task gets its one outcome within its owner's time."""

    def body(world: World) -> Co[Any]:
        world.machine("m1")
        placer = world.placer()
        owner, received = world.owner(placer.grpc_address)
        yield from world.ready(placer, 1)
        statuses: list[int] = []

        def run() -> Co[None]:
            statuses.append((yield from placer.run()))

        world.scope.spawn(run(), "placer")
        world.tap.set_condition("slow", LinkCondition(target="m1", up=False, delay_ms=150))
        owner.submit("bound", task("once", service="a"), 1500)
        yield from wait_for(lambda: "offered" in received.kinds("bound"))
        placer.engine.driver.scheduler._choose_machine = lambda task: None  # type: ignore[method-assign]
        owner.submit("held", task("once", service="b"), 1500)
        yield from wait_for(lambda: placer.engine.ledger.open == 2)
        started = world.loop.now()
        placer.stop()
        yield from wait_for(lambda: statuses)
        return (
            statuses,
            received.outcomes("bound"),
            received.outcomes("held"),
            placer.report,
            world.loop.now() - started,
        )

    statuses, bound, held, report, took = run_in_world(body)
    assert (statuses, bound, held) == ([0], ["bound"], ["refused"]) and took < 1500
    assert (report["open_at_stop"], report["handed_back"], report["settled"]) == (2, 1, 1)


def test_a_second_signal_settles_at_once() -> None:
    def body(world: World) -> Co[Any]:
        world.machine("m1")
        placer = world.placer()
        owner, received = world.owner(placer.grpc_address)
        yield from world.ready(placer, 1)
        statuses: list[int] = []

        def run() -> Co[None]:
            statuses.append((yield from placer.run()))

        world.scope.spawn(run(), "placer")
        world.tap.set_condition("mute", LinkCondition(target="m1", up=False, hold=True))
        owner.submit("t", task("once"), 2000)
        yield from wait_for(lambda: "offered" in received.kinds("t"))
        placer.stop()
        yield from sleep(150)
        assert not statuses
        placer.stop()
        started = world.loop.now()
        yield from wait_for(lambda: received.outcomes("t"))
        answered = world.loop.now() - started
        yield from wait_for(lambda: statuses)
        return statuses, received.outcomes("t"), answered < 300

    assert run_in_world(body) == ([1], ["failed"], True)


@pytest.mark.parametrize("lead, slots", [(0.0, 1), (30_000.0, 0)])
def test_a_placer_with_a_skewed_clock_takes_no_slot(lead: float, slots: int) -> None:
    def body(world: World) -> Co[Any]:
        real = world.loop.wall
        world.loop.wall = lambda: real() + lead  # type: ignore[method-assign]
        placer = world.placer()
        world.loop.wall = real  # type: ignore[method-assign]
        yield from wait_for(lambda: placer.engine.roster.listed)
        yield from sleep(50)
        return placer.engine.driver.scheduler.membership.slots

    assert run_in_world(body, cluster()) == slots
