"""Tasks that run on after their placer has given them up, and whose owner hands them over with ``at``."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.node import adoption, binary, jsonl
from sprucepost.node.adoption import Adoption
from sprucepost.node.binary import Kind
from sprucepost.node.early_messages import EarlyMessage, EarlyMessageCache
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.owner_releases import RELEASE_RETENTION_MS
from sprucepost.node.process_identity import ProcessEnd
from sprucepost.node.tasks import Tasks
from tests.node.handover_schedules import HandoverSchedule
from tests.node.platform import setup
from tests.node.test_tasks import SID, harness_with_placed_task
from tests.node.virtual import LISTEN, Placer, VirtualSock, host_address, known_hosts, run_virtual

TASK, OTHER = "c0255aa5c7e00001", "c0255aa5c7e00002"
AT_HOST = "cores:1;memory:2;service:00000000b4d65521;at:s-0"
OWNER_WAIT_MS = 3000.0  # after the loss of its host the owner of a task waits that long before it looks for the task
STEP_MS = 10.0


class HostSide:
    """The one host of a virtual placer. While ``cut`` no dial to it comes up, and it neither reads nor sends."""

    def __init__(self, placer: Placer) -> None:
        self._placer = placer
        self.cut = False
        self.received: list[Line] = []

    def links(self) -> list[VirtualSock]:
        """The open connections to the host."""
        return [sock for sock in self._placer.dialled(host_address(0)) if sock.up and not sock.closed]

    def send(self, message_type: MessageType, sid: str, code: int | None = None, text: str | None = None) -> None:
        """Send a message on the latest connection."""
        quoted = jsonl.quoted(text) if text is not None else None
        self.links()[-1].inbox.append(jsonl.encode(message_type, sid, code=code, text=quoted))

    def end_process(self) -> None:
        """Reset all connections, as a process does that dies."""
        for sock in self.links():
            sock.inbox.append(ConnectionResetError(104, "Connection reset by peer"))

    def serve(self, duration_ms: float) -> Co[None]:
        """Accept tasks and answer health checks for that long."""
        ends = self._placer.loop.time + duration_ms
        while self._placer.loop.time < ends:
            if not self.cut:
                self._step()
            yield from sleep(STEP_MS)

    def _step(self) -> None:
        for sock in self._placer.dialled(host_address(0)):
            if sock.closed:
                continue
            sock.up = True
            lines, sock.sent = jsonl.Decoder().feed(bytes(sock.sent)), bytearray()
            for line in lines:
                self.received.append(line)
                if line.type is MessageType.OPEN:
                    sock.inbox.append(jsonl.encode(MessageType.READY, line.sid, text=jsonl.quoted("x")))
                elif line.type is MessageType.PROBE:
                    sock.inbox.append(jsonl.encode(MessageType.PROBED, line.sid, code=1))

    def asked_to_end(self) -> list[str]:
        """The tasks that the placer has asked this host to end."""
        return [line.sid for line in self.received if line.type is MessageType.CLOSE]


def told(client: VirtualSock) -> list[tuple[str, int, int | None]]:
    """What a client has been sent, as task, kind and cause."""
    return [(message.task, message.kind, message.cause) for message in binary.Decoder().feed(bytes(client.sent))]


def lose_by_silence(placer: Placer, host: HostSide, client: VirtualSock, *sids: str) -> Co[None]:
    """Have the client's tasks accepted, and cut the host off until the client has been told that they are lost."""
    client.inbox.append(b"".join(setup(sid) for sid in sids))
    yield from host.serve(1000.0)
    assert told(client) == [(sid, Kind.ANSWER, None) for sid in sids]
    host.cut = True
    yield from host.serve(RELEASE_RETENTION_MS)
    assert told(client)[len(sids) :] == [(sid, Kind.RELEASE, 41) for sid in sids]


# Guards against a placer that ends tasks which their owner has handed to another placer meanwhile.
def test_a_host_that_was_silent_is_not_asked_to_end_its_tasks(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        host, client = HostSide(placer), placer.loop.arrive(LISTEN, "127.0.2.1:1")
        yield from lose_by_silence(placer, host, client, TASK)
        yield from host.serve(OWNER_WAIT_MS)
        host.cut = False
        client.inbox.append(setup(OTHER))  # the next task brings a connection
        yield from host.serve(2000.0)
        assert (OTHER, Kind.ANSWER, None) in told(client) and host.asked_to_end() == []

    run_virtual(tmp_path, body)


# Guards against a hand-over that is dropped because the placer had told the task as lost: its end was never told.
def test_a_task_that_is_handed_over_after_a_silence_is_kept(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        host, client = HostSide(placer), placer.loop.arrive(LISTEN, "127.0.2.1:1")
        yield from lose_by_silence(placer, host, client, TASK)
        yield from host.serve(OWNER_WAIT_MS)
        host.cut = False
        client.inbox.append(setup(TASK, FIGURES=AT_HOST))
        yield from host.serve(2 * RELEASE_RETENTION_MS)
        assert len(told(client)) == 2 and host.asked_to_end() == [], (
            "it runs on, and the host answers its health checks"
        )
        host.send(MessageType.CLOSE, TASK, code=16)
        yield from host.serve(100.0)
        assert told(client)[2:] == [(TASK, Kind.RELEASE, 16)]

    run_virtual(tmp_path, body)


# Guards against the same after each other way in which a placer concludes that a task is over.
@pytest.mark.parametrize("why", ["silent", "refused", "replaced", "restarted", "unlisted"])
def test_a_presumed_loss_does_not_outlive_a_hand_over(why: str) -> None:
    harness = harness_with_placed_task()
    host = harness.offers()[0].machine
    harness.tasks.host_lost(host, why)
    harness.loop.pass_ms(OWNER_WAIT_MS)
    harness.submit(FIGURES=f"cores:1;memory:2;service:s;at:{host}")
    assert harness.count_placed_tasks() == 1
    harness.tasks.handle_message(host, Line(MessageType.CLOSE, SID, {}, 16))
    assert harness.events[-2:] == [("release", SID, 41), ("release", SID, 16)]


def test_a_set_up_that_crosses_the_release_of_a_presumed_loss_places_nothing() -> None:
    harness = harness_with_placed_task()
    host = harness.offers()[0].machine
    harness.tasks.host_lost(host, "silent")
    harness.loop.pass_ms(20.0)
    harness.submit(FIGURES=f"cores:1;memory:2;service:s;at:{host}")
    assert harness.count_placed_tasks() == 0 and harness.event_kinds().count("release") == 1


# Guards against a copy at one host that is forgotten because the task has ended at another.
def test_an_end_at_one_host_says_nothing_about_another() -> None:
    harness = harness_with_placed_task()
    host = harness.offers()[0].machine
    harness.tasks.handle_message(host, Line(MessageType.CLOSE, SID, {}, 41))
    harness.loop.pass_ms(OWNER_WAIT_MS)
    other = {"m0": "m1", "m1": "m0"}[host]
    harness.submit(FIGURES=f"cores:1;memory:2;service:s;at:{other}")
    assert list(harness.tasks.placed) == [other]


# Guards against a task that stays placed because its host's release came while it counted as lost.
def test_a_release_by_the_host_after_a_presumed_loss_ends_a_later_hand_over() -> None:
    harness = harness_with_placed_task()
    host = harness.offers()[0].machine
    harness.tasks.host_lost(host, "silent")
    harness.tasks.handle_message(host, Line(MessageType.CLOSE, SID, {}, 16))
    harness.loop.pass_ms(OWNER_WAIT_MS)
    harness.submit(FIGURES=f"cores:1;memory:2;service:s;at:{host}")
    assert harness.count_placed_tasks() == 0 and harness.events[-1] == ("release", SID, 16)


# Guards against a task that runs on although its owner has ended it: the owner's message crossed the release.
def test_an_owners_end_that_crosses_a_presumed_loss_is_told_to_the_host() -> None:
    harness = harness_with_placed_task()
    host = harness.offers()[0].machine
    harness.tasks.host_lost(host, "silent")
    harness.tasks.owner_cancelled(SID)
    assert harness.events[-1] == ("end task", host, SID)


# Guards against a copy at another host that is ended because the owner's end of the task had crossed its host's.
def test_an_owners_end_that_crosses_the_hosts_says_nothing_about_another_host() -> None:
    harness = harness_with_placed_task()
    host = harness.offers()[0].machine
    harness.tasks.handle_message(host, Line(MessageType.CLOSE, SID, {}, 41))
    harness.tasks.owner_cancelled(SID)
    harness.loop.pass_ms(OWNER_WAIT_MS)
    other = {"m0": "m1", "m1": "m0"}[host]
    harness.submit(FIGURES=f"cores:1;memory:2;service:s;at:{other}")
    assert list(harness.tasks.placed) == [other] and "end task" not in harness.event_kinds()


def test_the_records_of_tasks_expire_with_the_last_of_them() -> None:
    cache = EarlyMessageCache(retention_ms=100.0, max_tasks=2)
    cache.record(TASK, EarlyMessage.TASK_ENDED, 0.0, "m0")
    cache.record(OTHER, EarlyMessage.CANCELLED_BY_OWNER, 10.0)
    cache.record(TASK, EarlyMessage.RELEASED_BY_HOST, 50.0, "m1")
    assert cache.get(TASK, 120.0, "m0") is None and cache.hosts_with(TASK, [EarlyMessage.RELEASED_BY_HOST], 120.0) == [
        "m1"
    ]
    cache.expire(120.0)
    assert len(cache) == 1
    cache.record(SID, EarlyMessage.TASK_ENDED, 130.0, "m0")
    cache.record(OTHER, EarlyMessage.TASK_ENDED, 140.0, "m0")
    assert len(cache) == 2 and cache.get(TASK, 140.0, "m1") is None, "the oldest is displaced"
    cache.expire(240.0)
    assert len(cache) == 0


# Guards against a presumed loss that counts as an end because an end of long ago is still in the cache.
def test_an_expired_end_does_not_turn_a_later_loss_into_an_end() -> None:
    cache = EarlyMessageCache(retention_ms=100.0)
    cache.record(TASK, EarlyMessage.TASK_ENDED, 0.0, "m0")
    cache.record(TASK, EarlyMessage.TASK_ENDED, 90.0, "m1")  # keeps the task in the cache
    cache.record(TASK, EarlyMessage.PRESUMED_LOST, 150.0, "m0")
    assert cache.hosts_with(TASK, [EarlyMessage.PRESUMED_LOST], 150.0) == ["m0"]


# Guards against an owner that hears, right after its hand-over, of the loss that was presumed before.
def test_a_hand_over_drops_the_release_that_waits_for_a_connection(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        host, client = HostSide(placer), placer.loop.arrive(LISTEN, "127.0.2.1:1", setup(TASK))
        yield from host.serve(1000.0)
        host.cut = True
        client.inbox.append(b"")
        yield from host.serve(RELEASE_RETENTION_MS)
        assert placer.service.counters["releases_waiting"] == 1
        host.cut = False
        client = placer.loop.arrive(LISTEN, "127.0.2.1:2", setup(TASK, FIGURES=AT_HOST))
        yield from host.serve(1000.0)
        assert told(client) == [] and sum(map(len, placer.service.tasks.placed.values())) == 1

    run_virtual(tmp_path, body)


# Guards against running tasks that are told as lost because the list names their host late.
@pytest.mark.parametrize("start_is_listed", [True, False])
def test_what_a_replacement_has_accepted_before_it_is_listed_runs_on(tmp_path: Path, start_is_listed: bool) -> None:
    def body(placer: Placer) -> Co[None]:
        host, client = HostSide(placer), placer.loop.arrive(LISTEN, "127.0.2.1:1", setup(TASK))
        yield from host.serve(1000.0)
        host.end_process()
        started = placer.loop.wall()  # another one has taken its address
        yield from host.serve(1000.0)
        client.inbox.append(setup(OTHER))
        yield from host.serve(500.0)
        replace_host(placer, "s-0", "s-9", started if start_is_listed else 0.0)
        yield from host.serve(1000.0)
        released = [TASK] if start_is_listed else [TASK, OTHER]
        assert told(client)[2:] == [(sid, Kind.RELEASE, 41) for sid in released]
        if start_is_listed:
            assert list(placer.service.tasks.placed) == ["s-9"]
            host.send(MessageType.CLOSE, OTHER, code=16)
            yield from host.serve(100.0)
            assert told(client)[3:] == [(OTHER, Kind.RELEASE, 16)]
        scheduler = placer.service.driver.scheduler
        assert not scheduler.attempts and not placer.service.tasks.placed and host.asked_to_end() == []

    run_virtual(tmp_path, body)


def replace_host(placer: Placer, old: str, new: str, started: float) -> None:
    """Have the bulletin tell that ``new`` has taken the address of ``old``, since that Unix ms."""
    [entry] = known_hosts(1)["items"][0]["roster"]["targets"]
    targets = [{**entry, "uid": old, "state": "DELETED"}, {**entry, "uid": new, "boot_ms": started}]
    update = placer.service.feed.bulletin.apply({"no": 2, "items": [{"no": 2, "roster": {"targets": targets}}]})
    assert update is not None
    placer.service._on_bulletin(update)


SCHEDULES = 60


# Guards against tasks whose end is never told, or that a placer ends without being asked, in any order of losses,
# hand-overs and ends.
def test_in_every_random_schedule_the_ends_of_handed_over_tasks_are_told() -> None:
    assert [fault for seed in range(SCHEDULES) for fault in HandoverSchedule(seed).play()] == []


def _end_lost_tasks(patch: pytest.MonkeyPatch) -> None:
    real = Tasks.host_lost

    def host_lost(self: Tasks, machine: str, why: str, end: ProcessEnd | None = None) -> int:
        for sid in list(self.placed.get(machine, {})):
            self.hosts.end_task(machine, sid)
        return real(self, machine, why, end)

    patch.setattr(Tasks, "host_lost", host_lost)


DEFECTS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "a presumed loss counts as an end": lambda patch: patch.setattr(
        adoption, "RELEASE_CROSSING_MS", RELEASE_RETENTION_MS
    ),
    "a lost host is asked to end its tasks": _end_lost_tasks,
    "an end counts for all hosts": lambda patch: patch.setattr(
        Adoption, "_has_ended_at_host", lambda self, setup, now: setup.sid in self._early_messages._records
    ),
    "the owner's end of a lost task is not passed on": lambda patch: patch.setattr(
        EarlyMessageCache, "hosts_with", lambda self, sid, message, now: []
    ),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_planted_defects_of_hand_overs_are_found(monkeypatch: pytest.MonkeyPatch, defect: str) -> None:
    DEFECTS[defect](monkeypatch)
    assert any(HandoverSchedule(seed).play() for seed in range(SCHEDULES))


if __name__ == "__main__":  # more seeds: python -m tests.node.test_handed_over_tasks FROM TO
    found = [fault for seed in range(int(sys.argv[1]), int(sys.argv[2])) for fault in HandoverSchedule(seed).play()]
    print("\n".join(found) or "none")
