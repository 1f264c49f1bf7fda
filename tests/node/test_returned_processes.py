"""A process is gone without a word, and another one has its address, empty: what stood at the first one is released in time.

Each trouble of a host is played with each state of the list, in virtual time. What lives is told over only where nothing
shows that it does.
"""

from __future__ import annotations

import itertools
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.node import health
from sprucepost.node.binary import Kind
from sprucepost.node.health import HealthChecks
from sprucepost.node.process_identity import RefusedDial
from tests.node.platform import Link, Platform, messages_for, run_on_platform, setup, wait_for_message
from tests.node.plays import END_DUE_MS, RELEASE_DUE_MS, Play, PlayFailure, Variant, failures, sids, start, tasks_of
from tests.node.program import connected, passes_test, running
from tests.node.virtual_platform import OwnerConnection, VirtualPlatform

PLAYED_MS = END_DUE_MS + 1500.0
TRAFFIC_MS = 250.0  # between set-ups of tasks that are short
NOTE_MS = 1500.0
LONE_AFTER_MS = 27_500.0  # one connection to a host is left by then, and a check is due in the next 3 s
PLACED = [f"e0655aa5c7e{n:05x}" for n in range(8)]
VARIANTS = (
    Variant(),
    Variant(placers=3),
    *(Variant(late_ms=late_ms) for late_ms in (20.0, 200.0, 500.0)),
    Variant(placers=3, late_ms=200.0, reverses_order=True, is_sliced=True),
)


@dataclass(frozen=True)
class Trouble:
    """How a process goes: its connections are reset, or stay open and silent; for how long its address is empty, and whether
    dials are refused meanwhile; whether the next machine resets the silent connections."""

    how: str
    empty_ms: float
    refuses_dials: bool = False
    resets_unknown: bool = True


@dataclass(frozen=True)
class ListState:
    """What the list tells of the next process: its id, when (None: nothing), and whether with its start."""

    same_id: bool
    told_after_ms: float | None
    has_start: bool = True


@dataclass(frozen=True)
class Work:
    """What stands at the process: tasks set up there or handed over, with notes or without, beside other traffic or none."""

    is_handed_over: bool = False
    has_traffic: bool = True
    has_notes: bool = False


TROUBLES = (
    *(Trouble("silence", empty_ms) for empty_ms in (100.0, 1000.0, 2000.0, 3000.0, 5000.0, 7000.0)),
    *(Trouble("silence", empty_ms, resets_unknown=False) for empty_ms in (100.0, 2000.0, 5000.0)),
    Trouble("silence", 9000.0),
    *(Trouble("reset", empty_ms) for empty_ms in (20.0, 2000.0, 5000.0)),
    Trouble("reset", 2000.0, refuses_dials=True),
    Trouble("close", 20.0),
)
LISTS = (
    *(ListState(same_id, after) for same_id in (True, False) for after in (1000.0, 4000.0, 9000.0)),
    ListState(same_id=True, told_after_ms=None),
    ListState(same_id=True, told_after_ms=1000.0, has_start=False),
    ListState(same_id=False, told_after_ms=4000.0, has_start=False),
)
WORK = (Work(), Work(is_handed_over=True), Work(has_traffic=False), Work(has_notes=True))


class Stage:
    """Owners with tasks at a process, and what goes on beside them."""

    def __init__(self, platform: VirtualPlatform, variant: Variant, work: Work) -> None:
        self.platform, self.variant, self.work = platform, variant, work
        self.process, self.owners = start(platform, variant)
        self.others = [platform.connect(placer) for placer in platform.placers] if work.has_traffic else []
        self.tasks = sids(0)
        self._short_tasks = 0
        self._next_at = {"traffic": platform.loop.time + TRAFFIC_MS, "notes": platform.loop.time + NOTE_MS}

    def place(self) -> Co[None]:
        """Have the owners' tasks stand at the process."""
        yield from self.run(100.0)
        for owner in self.owners:
            if self.work.is_handed_over:
                for sid in tasks_of(owner, self.tasks):
                    self.platform.run_task(self.process, sid)
            owner.submit(*tasks_of(owner, self.tasks), at=self.process.uid if self.work.is_handed_over else "")
        yield from self.run(1000.0)

    def run(self, duration_ms: float) -> Co[None]:
        """Let time pass, with short tasks of other owners and notes."""
        ends = self.platform.loop.time + duration_ms
        while self.platform.loop.time < ends:
            yield from self.platform.run(50.0)
            if self._is_due("traffic", TRAFFIC_MS):
                self._set_up_short_tasks()
            if self._is_due("notes", NOTE_MS) and self.work.has_notes:
                self._send_notes()

    def _is_due(self, what: str, interval_ms: float) -> bool:
        if self.platform.loop.time < self._next_at[what]:
            return False
        self._next_at[what] = self.platform.loop.time + interval_ms
        return True

    def _set_up_short_tasks(self) -> None:
        for process in self.platform.processes:
            for sid in [sid for sid in process.standing if sid[1] == "f"]:
                self.platform.end_task(process, sid)
        for owner in self.others:
            self._short_tasks += 1
            owner.submit(f"{self.platform.placers.index(owner.placer):x}f{self._short_tasks:014x}")

    def _send_notes(self) -> None:
        for process in self.platform.processes:
            if process.alive and not process.is_cut_off and process.connections:
                for sid in process.standing:
                    self.platform.note(process, sid)

    def releases(self) -> Iterator[tuple[OwnerConnection, str, list[float]]]:
        """Yield each owner's tasks with the times at which it was told that they are over."""
        for owner in self.owners:
            for sid in tasks_of(owner, self.tasks):
                yield owner, sid, [at for at, task, kind, _ in owner.told if task == sid and kind == Kind.RELEASE]


def return_play(trouble: Trouble, listed: ListState, work: Work) -> Play:
    """A process is gone, another one starts at its address, and the list tells of it, or not."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        platform.resets_unknown_connections = trouble.resets_unknown
        stage = Stage(platform, variant, work)
        yield from stage.place()
        died = platform.loop.time
        platform.kill(stage.process, trouble.how, trouble.refuses_dials)
        yield from stage.run(trouble.empty_ms)
        new = platform.start_process("s-0" if listed.same_id else "s-8")
        platform.be_late(variant.late_ms)
        if listed.told_after_ms is not None:
            yield from stage.run(listed.told_after_ms)
            entry = new.entry() if listed.has_start else new.entry(boot_ms=0)
            platform.tell(*([] if listed.same_id else [stage.process.entry(state="DELETED")]), entry)
        yield from stage.run(max(0.0, died + PLAYED_MS - platform.loop.time))
        for _, sid, times in stage.releases():
            if len(times) != 1 or times[0] > died + END_DUE_MS:
                told = [round(at - died) for at in times]
                raise PlayFailure(f"{sid} was released after {told} ms")

    return play


def pairs() -> dict[str, Play]:
    """Return the play of each trouble with each state of the list and all work."""
    plays: dict[str, Play] = {}
    for trouble, listed, each in itertools.product(TROUBLES, LISTS, WORK):
        plays[f"{len(plays)} {trouble} {listed} {each}"] = return_play(trouble, listed, each)
    return plays


def in_turn() -> dict[str, tuple[Play, Variant]]:
    """Return each trouble with each state of the list, once: the work and the variants take turns."""
    found = {}
    for number, (trouble, listed) in enumerate(itertools.product(TROUBLES, LISTS)):
        work, variant = WORK[number % len(WORK)], VARIANTS[number // len(WORK) % len(VARIANTS)]
        found[f"{number} {trouble} {listed} {work}"] = return_play(trouble, listed, work), variant
    return found


# Guards against owners that are told late or never, since what a process says that came back empty at an address counts as a
# word of the one before it.
def test_what_stood_at_a_process_is_released_in_time_when_another_returns_at_its_address(tmp_path: Path) -> None:
    found = []
    for name, (play, variant) in in_turn().items():
        found += failures(tmp_path, {name: play}, (variant,))
    assert found == []


def refused_play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
    """A process dies, its connections are reset and the next dial is refused; then another one has the address."""
    stage = Stage(platform, variant, Work())
    yield from stage.place()
    died = platform.loop.time
    platform.kill(stage.process)
    platform.be_late(variant.late_ms)
    yield from stage.run(RELEASE_DUE_MS)
    platform.start_process("s-0")
    for _, sid, times in stage.releases():
        if not times or times[0] > died + variant.late_ms + RELEASE_DUE_MS:
            raise PlayFailure(f"{sid} was released at {times}, {died:.0f} its process died")


# Guards against owners that wait for as long as a silence may last, although a refused dial has shown that nothing runs.
def test_a_refused_dial_ends_at_once_what_stood_there(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    assert failures(tmp_path / "kept", {"refused": refused_play}, VARIANTS) == []
    monkeypatch.setattr(RefusedDial, "ends_task", lambda self, task: False)
    assert len(failures(tmp_path / "planted", {"refused": refused_play}, VARIANTS)) == len(VARIANTS)


def living_play(how: str, work: Work) -> Play:
    """A process lives, and its connections break, or it is cut off for a while; its tasks stand."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        stage = Stage(platform, variant, work)
        yield from stage.place()
        yield from stage.run(LONE_AFTER_MS if how.startswith("lone") else 2000.0)
        what, _, length = how.removeprefix("lone ").partition(" ")
        if what == "cut":
            stage.process.is_cut_off = True
            yield from stage.run(float(length))
            stage.process.is_cut_off = False
        elif what == "all":
            platform.end_connections(stage.process, length)
        elif what == "one":
            for _ in range(3):
                if len(stage.process.connections) > len(platform.placers):
                    platform.end_connection(stage.process, length)
                yield from stage.run(3000.0)
        platform.be_late(variant.late_ms)
        yield from stage.run(40_000.0 if how == "idle" else PLAYED_MS)
        if any(times for _, _, times in stage.releases()):
            raise PlayFailure("tasks that stand are told to be over")
        if any(sid not in stage.process.standing for owner in stage.owners for sid in tasks_of(owner, stage.tasks)):
            raise PlayFailure("tasks that nobody wanted to end have been ended")

    return play


lone_cut = living_play("lone cut 3000", Work(has_traffic=False))


# Guards against a process that is cut off for a moment and cannot be told from its successor, since the last connection that
# may still bring its words has been ended.
def test_a_defect_that_ends_the_last_connection_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(health, "KEPT_CONNECTIONS", 1)  # as where descriptors are short
    assert failures(tmp_path / "kept", {"lone connection, cut": lone_cut}, VARIANTS) == []
    monkeypatch.setattr(HealthChecks, "is_needed", lambda self, link: False)
    assert len(failures(tmp_path / "planted", {"lone connection, cut": lone_cut}, VARIANTS)) == len(VARIANTS)


# Guards against tasks that are ended although their process lives, where notes, an answer on another connection or what was
# under way shows it.
def test_what_stands_at_a_living_process_stays(tmp_path: Path) -> None:
    plays = {f"cut {ms}": living_play(f"cut {ms}", Work()) for ms in (1000, 3000, 5000, 6000)}
    plays["lone connection, cut"] = lone_cut
    plays |= {f"{name}, no traffic": living_play(name, Work(has_traffic=False)) for name in ("idle", "cut 3000")}
    plays |= {f"all {how}": living_play(f"all {how}", Work(has_notes=True)) for how in ("reset", "close")}
    plays |= {f"one {how}": living_play(f"one {how}", Work()) for how in ("reset", "close", "forget")}
    plays |= {f"idle, one {how}": living_play(f"lone one {how}", Work(has_traffic=False)) for how in ("reset", "close")}
    plays["handed over, cut"] = living_play("cut 5000", Work(is_handed_over=True))
    assert failures(tmp_path, plays, VARIANTS) == []


# Guards against the same on a process over loopback: one host's connections are reset and the next process listens at once,
# another one's stay silent.
def test_a_placer_releases_what_stood_at_processes_that_have_returned_empty(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        hosts = [platform.host("s-1"), platform.host("s-2")]
        platform.bulletin.publish(*(host.entry() for host in hosts), everything=True)
        with running(platform) as program:
            yield from passes_test(platform, program, "e" * 16)
            client = yield from connected(platform, program)
            for sid in PLACED:
                client.transport.write(setup(sid))
            for sid in PLACED:
                yield from wait_for_message(client, sid, Kind.ANSWER)
            died = platform.loop.now()
            hosts[0].die()
            platform.host("s-1", hosts[0].port)
            for link in hosts[1].links:
                link.transport.pause()
            while platform.loop.now() < died + END_DUE_MS and not all(_is_released(client, sid) for sid in PLACED):
                yield from sleep(20)
            assert [sid for sid in PLACED if not _is_released(client, sid)] == []

    run_on_platform(tmp_path, body)


def _is_released(client: Link, sid: str) -> bool:
    return any(message.kind == Kind.RELEASE for message in messages_for(client, sid))


if __name__ == "__main__":
    every = pairs()
    with tempfile.TemporaryDirectory() as place:
        failed = failures(Path(place), every, VARIANTS)
    print("\n".join(failed))
    print(f"{len(failed)} of {len(every) * len(VARIANTS)} plays fail")
    sys.exit(bool(failed))
