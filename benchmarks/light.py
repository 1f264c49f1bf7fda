"""Minimal peers of a placer: machines that accept at once, a fixed list, an owner that keeps a number of tasks open.

Run as ``python -m benchmarks.light NUMBER MACHINES``; prints the list's port, then reads ``go ADDRESS OPEN SECONDS`` from
standard input and prints a JSON line with the outcomes.
"""

from __future__ import annotations

import json
import sys
from typing import Any

from hdrh.histogram import HdrHistogram

from sprucepost.loop import Co, Loop, Scope, in_scope, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.standin.owner_link import OwnerLink
from sprucepost.v1 import common_pb2, fleet_pb2, machine_pb2
from sprucepost.v1 import placer_pb2 as pb
from sprucepost.wire.connection import Options
from sprucepost.wire.server import Method, Server, ServerCall

TASK_LIFE_MS = 100.0


class LightMachine:
    """Accepts each offer in the loop turn in which it arrives and ends the task after ``TASK_LIFE_MS``."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.name = loop, name

    def attach(self, call: ServerCall) -> None:
        seq = 0
        seen = 0

        def send(frame: machine_pb2.FromMachine) -> None:
            nonlocal seq
            seq += 1
            frame.seq, frame.ack = seq, seen
            call.send(frame.SerializeToString())

        def take(data: bytes) -> None:
            nonlocal seen
            frame = machine_pb2.ToMachine.FromString(data)
            kind = frame.WhichOneof("body")
            if kind == "hello":
                attached = machine_pb2.Attached(machine=self.name, life=1, session=b"s", resume_ms=1000)
                call.send(machine_pb2.FromMachine(attached=attached).SerializeToString())
                return
            seen = max(seen, frame.seq)
            if kind == "offer":
                offer = frame.offer
                key = {"request": offer.request, "attempt": offer.attempt}
                load = machine_pb2.Load(free_cores=1000.0, free_memory=1000.0)
                send(machine_pb2.FromMachine(**key, load=load, accepted=machine_pb2.Accepted()))
                ended = machine_pb2.FromMachine(**key, load=load, ended=machine_pb2.TaskEnded())
                self.loop.call_later(TASK_LIFE_MS, lambda: send(ended))

        call.on_message = take


def main(scope: Scope) -> Co[None]:
    loop = scope.loop
    first, count = int(sys.argv[1]), int(sys.argv[2])
    entries = []
    for n in range(count):
        name = f"m{first}-{n}"
        machine = LightMachine(loop, name)
        server = Server(loop, scope, {"/sprucepost.v1.Machine/Offers": Method(attach=machine.attach)})
        address = server.listen(("127.0.0.1", 0))
        entries.append(
            fleet_pb2.ListedMachine(
                name=name, state=fleet_pb2.MACHINE_STATE_READY, zone="room-a", cell="c", kind="std", free_cores=1000.0,
                free_memory=1000.0, address=f"127.0.0.1:{address[1]}",
            )
        )  # fmt: skip

    def watch(call: ServerCall) -> None:
        update = fleet_pb2.FleetUpdate(whole=True, entries=entries, beat_ms=600_000).SerializeToString()
        call.on_message = lambda data: call.send(update)

    listing = Server(loop, scope, {"/sprucepost.v1.Fleet/Watch": Method(attach=watch)}, Options()).listen(
        ("127.0.0.1", 0)
    )
    print(json.dumps({"list": listing[1]}), flush=True)
    if sys.argv[3:] == ["serve"]:  # only machines and list; other processes make the load
        yield from sleep(7_200_000)
    line = sys.stdin.readline()  # may block, since nothing is open yet
    while line:
        _, address, opened, seconds = line.split()
        print(json.dumps((yield from drive(loop, scope, address, int(opened), float(seconds)))), flush=True)
        line = sys.stdin.readline()
    scope.cancel()


def drive(loop: Loop, scope: Scope, address: str, opened: int, seconds: float) -> Co[dict[str, Any]]:
    """Keep ``opened`` tasks without an outcome for ``seconds``; return outcomes and latencies."""
    took: HdrHistogram = HdrHistogram(1, 60_000_000, 3)
    asked: dict[str, float] = {}
    counts = {"bound": 0, "refused": 0, "failed": 0}
    state = {"on": True, "n": 0}
    task = common_pb2.Task(task_class="web", service="", cores=0.01, memory=0.01)

    def ask() -> None:
        state["n"] += 1
        name = f"{sys.argv[1]}-{state['n']}"
        task.service = f"s{state['n'] % 40}"
        asked[name] = loop.now()
        link.submit(name, task, 3000.0)

    def frame(frame: pb.PlacerFrame) -> None:
        kind = frame.WhichOneof("body")
        if kind in counts:
            began = asked.pop(frame.task, None)
            if began is not None:
                counts[kind] += 1
                took.record_value(max(1, int((loop.now() - began) * 1000)))
                if state["on"]:
                    ask()

    host, _, port = address.rpartition(":")
    link = OwnerLink(loop, scope, (host, int(port)), "bench", frame, lambda resumed: None)
    while not link.up:
        yield from sleep(5.0)
    for _ in range(opened):
        ask()
    yield from sleep(seconds * 1000.0)
    state["on"] = False
    result = {**counts, "us": {f"p{q}": took.get_value_at_percentile(q) for q in (50, 99)}}
    yield from sleep(300.0)
    link.task.cancel()
    return result


if __name__ == "__main__":
    EpollLoop().run(lambda: in_scope(main))
