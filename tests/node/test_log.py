"""The log: it has all states of a task in order, the number of lines is bounded, and a slow reader delays nothing."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from sprucepost.loop import Co
from sprucepost.node import log
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import MessageType
from sprucepost.node.log import Log, Output
from tests.node.platform import Platform, run_on_platform, setup, wait_for_message
from tests.node.virtual_platform import VirtualPlatform, run_on_virtual_platform
from tests.placing.support import VirtualLoop

TASK, OTHER = "c0255aa5c7e00002", "c0255aa5c7e00003"


def states(platform: Platform, sid: str) -> list[tuple[str, Any]]:
    """The states of a task in the log, each with its host."""
    lines = [json.loads(line) for line in platform.lines]
    assert [line["up_ms"] for line in lines] == sorted(line["up_ms"] for line in lines)
    return [(line["state"], line.get("host")) for line in lines if line.get("task") == sid]


def test_each_state_of_a_task_is_logged_with_its_id(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        yield from wait_for_message(owner, TASK, Kind.ANSWER)
        host.links[0].send(MessageType.CLOSE, TASK, code=16)
        yield from wait_for_message(owner, TASK, Kind.RELEASE)
        assert states(platform, TASK) == [
            ("taken", None), ("offered", "s-1"), ("sent", "s-1"), ("stands", "s-1"), ("over", "s-1"), ("released", None),
        ]  # fmt: skip

    run_on_platform(tmp_path, body)


def test_lines_above_the_limit_are_counted_and_reported_in_the_next_second() -> None:
    loop, lines = VirtualLoop(), list[dict[str, Any]]()
    writer = Log(loop, "n0", lambda line: lines.append(json.loads(line)))
    for _ in range(log.STATE_LINES_PER_SECOND + 5):
        writer.task(TASK, "taken")
    loop.pass_ms(1000.0)
    writer("ready")
    assert len(lines) == log.STATE_LINES_PER_SECOND + 2
    assert lines[-2]["event"] == "log_held_back" and lines[-2]["task"] == 5


# Guards against lines that an operator needs and does not get, since a flood of another kind has used up the limit.
def test_a_flood_of_one_state_hides_no_other() -> None:
    loop, lines = VirtualLoop(), list[dict[str, Any]]()
    writer = Log(loop, "n0", lambda line: lines.append(json.loads(line)))
    for _ in range(log.STATE_LINES_PER_SECOND + 5):
        writer.task(TASK, "found")
    for _ in range(log.RESERVED_LINES_PER_SECOND + 7):
        writer.task(TASK, "released")
    assert len(lines) == log.STATE_LINES_PER_SECOND + log.RESERVED_LINES_PER_SECOND
    loop.pass_ms(1000.0)
    writer("ready")
    assert lines[-2]["event"] == "log_held_back" and lines[-2]["task"] == 5 + 7


# Guards against an owner's connection whose end leaves no line, since rude clients' connections end by the hundreds.
def test_a_flood_of_ends_of_connections_for_one_reason_hides_no_other() -> None:
    loop, lines = VirtualLoop(), list[dict[str, Any]]()
    writer = Log(loop, "n0", lambda line: lines.append(json.loads(line)))
    for _ in range(log.RESERVED_LINES_PER_SECOND + 5):
        writer.owner_ended("silent")
    writer.owner_ended("lost", peer="127.0.0.1:1")
    assert len(lines) == log.RESERVED_LINES_PER_SECOND + 1 and lines[-1]["peer"] == "127.0.0.1:1"


# Guards against a replacement that leaves no line: what was counted to which process, and since when tasks stand.
def test_a_replacement_and_the_tasks_that_stand_are_logged(tmp_path: Path) -> None:
    def body(platform: VirtualPlatform) -> Co[None]:
        old = platform.start_process("s-0")
        platform.publish(old.entry(boot_ms=0), everything=True)
        placer = platform.start_placer()
        owner = platform.connect(placer)
        owner.submit(TASK)
        yield from platform.run(300.0)
        platform.kill(old)
        new = platform.start_process("s-9")
        yield from platform.run(20.0)
        platform.tell(old.entry(state="DELETED"), new.entry())
        owner.submit(OTHER, at="s-none")
        yield from platform.run(20.0)
        [line] = [each for each in placer.lines if each["event"] == "host" and each["state"] == "replaces"]
        assert (line["host"], line["id_before"], line["tasks_ended"], line["started"]) == (
            "s-9",
            "s-0",
            1,
            new.started_at,
        )
        assert [each["peer"] for each in placer.lines if each["event"] == "owner_accepted"] == ["127.0.2.1:1"]
        placer.service.log_counters()
        counts = placer.lines[-1]
        assert (counts["standing"], counts["standing_unlisted"]) == (1, 1) and counts["standing_oldest_ms"] == 20

    run_on_virtual_platform(tmp_path, body)


def test_state_lines_are_written_whole_in_one_call() -> None:
    loop = VirtualLoop()
    reading, writing = os.pipe()
    output = Output(writing)
    writer = Log(loop, "n0", output.write, output.flush)
    for number in range(10):
        writer.task(f"{number:016x}", "taken")
    loop.pass_ms(log.STATE_LINES_DELAY_MS)
    os.set_blocking(reading, False)
    lines = os.read(reading, 65536).decode().splitlines()
    assert [json.loads(line)["task"] for line in lines] == [f"{number:016x}" for number in range(10)]
    os.close(reading)
    os.close(writing)


def test_a_slow_reader_delays_nothing_and_gets_whole_lines_later() -> None:
    """Guards against a placer that waits for the process that reads its log."""
    loop = VirtualLoop()
    reading, writing = os.pipe()
    output = Output(writing)
    writer = Log(loop, "n0", output.write, output.flush)
    for number in range(5000):
        writer.host(f"s-{number}", "connected")
        loop.pass_ms(2.0)
    assert output.dropped > 0
    found, reader = b"", os.fdopen(reading, "rb", buffering=0)
    os.set_blocking(reading, False)
    while data := reader.read(65536):
        found += data
        output.flush()
    numbers = [int(json.loads(line)["host"][2:]) for line in found.decode().splitlines()]
    assert numbers == list(range(len(numbers))) and len(numbers) + output.dropped == 5000
    os.close(writing)


def test_a_failing_output_stops_nothing() -> None:
    """Guards against a loop that ends when the file system of its log is full (ENOSPC)."""
    output = Output(os.open("/dev/full", os.O_WRONLY))
    output.write("a line")
    output.flush()
    output.flush()
