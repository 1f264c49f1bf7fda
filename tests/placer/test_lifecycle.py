"""Life cycle, service manager, clean stop, reload, seats."""

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
from sprucepost.placer.lifecycle import Facts, State, judge
from sprucepost.placer.notify import Notifier, activated
from sprucepost.settings import PlacerFile
from sprucepost.settings.reload import changed_keys, restart_required
from sprucepost.standin.recording_proxy import LinkCondition
from tests.placer.support import World, cluster, play, task
from tests.test_settings import good
from tests.wire.support import wait_for

FACTS = st.builds(
    Facts,
    listening=st.booleans(),
    listed=st.booleans(),
    conflict=st.sampled_from(["", "number 3 is taken"]),
    told_to_stop=st.booleans(),
    open_tasks=st.integers(0, 3),
    time_over=st.booleans(),
)


@given(st.lists(FACTS, max_size=20))
def test_draining_and_stopped_are_never_left_backwards(steps: list[Facts]) -> None:
    state, leaving = State.STARTING, False
    for facts in steps:
        before = state
        state, why = judge(state, facts)
        assert bool(why) == (state is not State.READY)
        if before in (State.DRAINING, State.STOPPED):
            assert state in (State.DRAINING, State.STOPPED)
        if before is State.STOPPED:
            assert state is State.STOPPED
        leaving = leaving or facts.told_to_stop
        if state is State.READY:
            assert facts.listening and facts.listed and not facts.conflict and not leaving
        if state is State.STOPPED and before is not State.STOPPED:
            assert facts.open_tasks == 0 or facts.time_over


def test_the_notify_protocol_and_its_watchdog(tmp_path: Path) -> None:
    path = str(tmp_path / "notify")
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        manager.bind(path)
        manager.settimeout(2.0)
        loop = EpollLoop(1)

        def main() -> Co[None]:
            environ = {"NOTIFY_SOCKET": path, "WATCHDOG_USEC": "40000", "WATCHDOG_PID": str(os.getpid())}
            notifier = Notifier(loop, environ, os.getpid())
            notifier.tell(READY="1", STATUS="two\nlines")
            yield from sleep(90)
            notifier.close()

        loop.run(main)
        loop.close()
        got = [manager.recv(200) for _ in range(4)]
    assert b"READY=1\nSTATUS=two lines\n" in got and got.count(b"WATCHDOG=1\n") >= 3


def test_without_a_manager_nothing_is_sent_or_taken() -> None:
    loop = EpollLoop(1)
    Notifier(loop, {}, 1).tell(READY="1")
    Notifier(loop, {"NOTIFY_SOCKET": "/none/there"}, 1).tell(READY="1")
    assert activated(loop, {}, 1) == {} == activated(loop, {"LISTEN_FDS": "1", "LISTEN_PID": "2"}, 1)
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
    """Log lines up to the first of those events."""
    assert process.stderr is not None
    events: list[dict[str, Any]] = []
    while not events or events[-1]["event"] not in wanted:
        events.append(json.loads(process.stderr.readline()))
    return events


def test_a_signal_right_after_the_announcement_finds_its_handler(tmp_path: Path) -> None:
    """On a busy machine the process was ended by a signal that came between its announcement and its handlers."""
    file = tmp_path / "placer.json"
    file.write_text(json.dumps(good()))
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


def test_a_successor_takes_the_listening_socket_and_no_connection_is_refused(tmp_path: Path) -> None:
    file = tmp_path / "placer.json"
    file.write_text(json.dumps(good()))
    with socket.create_server(("127.0.0.1", 0), backlog=1024) as server:  # what waits while none accepts
        address = server.getsockname()

        def pass_on() -> None:
            os.dup2(server.fileno(), 3)
            os.environ["LISTEN_PID"] = str(os.getpid())

        environ = {**os.environ, "LISTEN_FDS": "1", "LISTEN_FDNAMES": "grpc"}
        environ.pop("LISTEN_PID", None)
        first = start(file, preexec_fn=pass_on, pass_fds=[3, server.fileno()], env=environ)
        assert first.stdout is not None
        assert json.loads(first.stdout.readline())["listen"] == f"127.0.0.1:{address[1]}"
        second: subprocess.Popen[str] | None = None
        refused_ = tried = 0
        first.send_signal(signal.SIGTERM)
        until = time.monotonic() + 3.0
        while time.monotonic() < until:
            tried += 1
            try:
                socket.create_connection(address, timeout=1.0).close()
            except OSError:
                refused_ += 1
            if second is None and first.poll() is not None:
                second = start(file, preexec_fn=pass_on, pass_fds=[3, server.fileno()], env=environ)
            time.sleep(0.01)
        assert second is not None and second.stdout is not None and second.stdout.readline()
        second.send_signal(signal.SIGTERM)
        assert second.wait(10) == 0 == first.returncode
        second.communicate()
        first.communicate()
    assert refused_ == 0 and tried > 50


def test_sighup_applies_a_good_file_whole_and_refuses_a_bad_one_whole(tmp_path: Path) -> None:
    file = tmp_path / "placer.json"
    raw = good()
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
    seats = [(e["phase"], e["seats"]) for e in events if e["event"] == "seat"]
    assert seats[0] == ("steady", 2) and ("done", 5) in seats  # begun in 1970 and long over


def test_what_a_reload_may_change_is_listed() -> None:
    old = msgspec.convert(good(), PlacerFile)
    new = msgspec.structs.replace(old, placer=msgspec.structs.replace(old.placer, stop_ms=3.0, zone="room-b"))
    assert changed_keys(old, new) == [("placer.stop_ms", None, 3.0), ("placer.zone", "room-a", "room-b")]
    assert [line.split(":")[0] for line in restart_required(changed_keys(old, new))] == ["placer.zone"]
    assert restart_required(changed_keys(old, old)) == []


def test_a_reload_of_the_open_tasks_moves_the_bound() -> None:
    """The new limit was accepted and logged, and admission went on with the old one."""

    def body(world: World) -> Co[Any]:
        placer = world.placer()
        yield from sleep(1)
        found = []
        for most in (1, 500):
            limits = msgspec.structs.replace(placer.file.placer.limits, open_tasks=most)
            new = msgspec.structs.replace(placer.file.placer, limits=limits)
            assert placer.reload(msgspec.structs.replace(placer.file, placer=new)) == []
            found.append(placer.engine.admission.open_tasks.max_open)
        return found

    assert play(body) == [1, 500]


def test_a_stop_hands_back_what_it_can_and_lets_attempts_end() -> None:
    """Offers out, unanswered, half bound: each task still gets its one outcome, in its owner's time."""

    def body(world: World) -> Co[Any]:
        world.machine("m1")
        placer = world.placer()
        owner, followed = world.owner(placer.grpc_address)
        yield from world.ready(placer, 1)
        statuses: list[int] = []

        def run() -> Co[None]:
            statuses.append((yield from placer.run()))

        world.scope.spawn(run(), "placer")
        world.tap.set_condition("slow", LinkCondition(target="m1", up=False, delay_ms=150))
        owner.submit("bound", task("once", service="a"), 1500)
        yield from wait_for(lambda: "offered" in followed.kinds("bound"))
        placer.engine.driver.scheduler._choose_machine = lambda task: None  # type: ignore[method-assign]
        owner.submit("held", task("once", service="b"), 1500)
        yield from wait_for(lambda: placer.engine.ledger.open == 2)
        began = world.loop.now()
        placer.stop()
        yield from wait_for(lambda: statuses)
        return statuses, followed.outcomes("bound"), followed.outcomes("held"), placer.report, world.loop.now() - began

    statuses, bound, held, report, took = play(body)
    assert (statuses, bound, held) == ([0], ["bound"], ["refused"]) and took < 1500
    assert (report["open_at_stop"], report["handed_back"], report["settled"]) == (2, 1, 1)


def test_a_second_signal_settles_at_once() -> None:
    def body(world: World) -> Co[Any]:
        world.machine("m1")
        placer = world.placer()
        owner, followed = world.owner(placer.grpc_address)
        yield from world.ready(placer, 1)
        statuses: list[int] = []

        def run() -> Co[None]:
            statuses.append((yield from placer.run()))

        world.scope.spawn(run(), "placer")
        world.tap.set_condition("mute", LinkCondition(target="m1", up=False, hold=True))
        owner.submit("t", task("once"), 2000)
        yield from wait_for(lambda: "offered" in followed.kinds("t"))
        placer.stop()
        yield from sleep(150)
        assert not statuses
        placer.stop()
        began = world.loop.now()
        yield from wait_for(lambda: followed.outcomes("t"))
        answered = world.loop.now() - began
        yield from wait_for(lambda: statuses)
        return statuses, followed.outcomes("t"), answered < 300

    assert play(body) == ([1], ["failed"], True)


@pytest.mark.parametrize("lead, seats", [(0.0, 1), (30_000.0, 0)])
def test_a_placer_whose_clock_is_far_off_takes_no_seat(lead: float, seats: int) -> None:
    def body(world: World) -> Co[Any]:
        real = world.loop.wall
        world.loop.wall = lambda: real() + lead  # type: ignore[method-assign]
        placer = world.placer()
        world.loop.wall = real  # type: ignore[method-assign]
        yield from wait_for(lambda: placer.engine.roster.listed)
        yield from sleep(50)
        return placer.engine.driver.scheduler.membership.slots

    assert play(body, cluster()) == seats
