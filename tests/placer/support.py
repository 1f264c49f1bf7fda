"""A placer, simulated machines, a list and owners on one loop over real sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sprucepost.loop import Address, Co, Scope, current, in_scope, within
from sprucepost.loop.epoll import EpollLoop
from sprucepost.placer.daemon import Placer
from sprucepost.placer.log import Logs
from sprucepost.rules.checker import RunHistory
from sprucepost.rules.checks import check_rules
from sprucepost.rules.trace import read_events
from sprucepost.settings import Cluster, PlacerFile, PlacerOptions
from sprucepost.settings.cluster import Kind, TaskClass
from sprucepost.standin.list_service import ListService
from sprucepost.standin.machine_types import MachineModel
from sprucepost.standin.machines import MachinePool, MachineServer, class_models
from sprucepost.standin.owner_link import OwnerLink
from sprucepost.standin.recording_proxy import RecordingProxy
from sprucepost.v1 import common_pb2
from sprucepost.v1 import placer_pb2 as pb
from sprucepost.wire.capture import CaptureWriter, read_capture
from sprucepost.wire.server import Server
from tests.wire.support import wait_for


def cluster(**changes: Any) -> Cluster:
    values: dict[str, Any] = {
        "zones": ["room-a", "room-b"],
        "kinds": [Kind("std", 32.0, 64.0)],
        "classes": [
            TaskClass("web", aim_ms=400.0, deadline_ms=3000.0, effect="safe", worth=3.0),
            TaskClass("bill", aim_ms=400.0, deadline_ms=3000.0, effect="keyed", worth=9.0, window_ms=2500.0),
            TaskClass("once", aim_ms=400.0, deadline_ms=2000.0, effect="unsafe", worth=5.0),
        ],
        "max_attempts": 3,
        "accepts_cores": 1.5,
        "accepts_memory": 1.5,
        "cold_bears": 12.0,
        "fall_ms": 2000.0,
        "warm_after_ms": 5000.0,
        "drain_grace_ms": 1000.0,
        "list_ask_every_ms": 2000.0,
        "owner_wait_ms": 1500.0,
        "max_retry_after_ms": 1000.0,
    }
    return Cluster(**{**values, **changes})


class ReceivedFrames:
    """The frames that an owner's session received, by task; ``sessions``: whether each stream resumed a session."""

    def __init__(self) -> None:
        self.frames: dict[str, list[pb.PlacerFrame]] = {}
        self.sessions: list[bool] = []

    def take(self, frame: pb.PlacerFrame) -> None:
        self.frames.setdefault(frame.task, []).append(frame)

    def kinds(self, task: str) -> list[str]:
        return [str(frame.WhichOneof("body")) for frame in self.frames.get(task, [])]

    def outcomes(self, task: str) -> list[str]:
        return [kind for kind in self.kinds(task) if kind in ("bound", "refused", "failed")]


class World:
    """The fleet under test. Machines and the list are reached through the recording proxy ``tap``."""

    def __init__(self, loop: EpollLoop, scope: Scope, settings: Cluster) -> None:
        self.loop, self.scope, self.cluster = loop, scope, settings
        self.captured: list[bytes] = []
        self.tap = RecordingProxy(loop, CaptureWriter(self.captured.append))
        self.tap.names = {f"127.0.1.{n + 1}": f"placer-{n}" for n in range(8)}
        self.listing = ListService(loop, late_ms=50.0)
        list_server = Server(loop, scope, self.listing.methods())
        self.list_address = list_server.listen(("127.0.0.1", 0))
        self.list_tap = self.tap.add("list", self.list_address)
        behaviour: dict[str, dict[str, Any]] = {cls.name: {"work_ms": 5.0} for cls in settings.classes}
        self.field = MachinePool(loop, scope, settings, class_models(settings, behaviour), self.list_address)
        scope.spawn(self.field.report(), "reports")
        self.placers: list[Placer] = []

    def machine(self, name: str, zone: str = "room-a", **changes: Any) -> MachineServer:
        values: dict[str, Any] = {
            "name": name, "kind": "std", "zone": zone, "cell": f"{zone}-1", "cores": 32.0, "memory": 64.0,
            "admit_ms": 2.0, "unclaimed_ms": 2000.0,
        }  # fmt: skip
        host = self.field.add(MachineModel(**{**values, **changes}))
        address = self.tap.add(name, host.address)
        host.listed_address = f"127.0.0.1:{address[1]}"
        self.field.mark_changed(host)
        return host

    def placer(
        self, number: int = 0, instances: int = 1, placer_cluster: Cluster | None = None, **changes: Any
    ) -> Placer:
        """Start a placer. ``placer_cluster``: other settings than the deployment's, for a rule-breaking placer."""
        assert isinstance(self.list_tap, tuple)
        options: dict[str, Any] = {
            "number": number, "instances": instances, "zone": "room-a", "list": f"127.0.0.1:{self.list_tap[1]}",
            "seed": 7, "source": f"127.0.1.{number + 1}", "resume_ms": 3000.0,
        }  # fmt: skip
        file = PlacerFile(placer_cluster or self.cluster, PlacerOptions(**{**options, **changes}))
        assert file.problems() == []
        placer = Placer(self.loop, self.scope, file, Logs(self.loop, "error", "json"))
        placer.start()
        self.placers.append(placer)
        return placer

    def check_rules(self, history: RunHistory | None = None) -> dict[str, list[str]]:
        """Return the violations so far, by rule."""
        records = read_capture(b"".join(self.captured))
        history = history or RunHistory(ended_at=self.loop.wall())
        return {result.rule[:1]: result.broken for result in check_rules(read_events(records), self.cluster, history)}

    def owner(self, address: Address, name: str = "owner") -> tuple[OwnerLink, ReceivedFrames]:
        received = ReceivedFrames()
        link = OwnerLink(
            self.loop, self.scope, address, name, received.take, received.sessions.append, source="127.0.2.1"
        )
        return link, received

    def ready(self, placer: Placer, machines: int) -> Co[None]:
        """Wait until the placer has a stream to that many machines."""
        yield from wait_for(lambda: sum(link.attached for link in placer.links.all()) >= machines)


def task(task_class: str = "web", service: str = "s", cores: float = 1.0, life_ms: float = 30_000.0) -> common_pb2.Task:
    return common_pb2.Task(task_class=task_class, service=service, cores=cores, memory=2.0, life_ms=life_ms)


def run_in_world(body: Callable[[World], Co[Any]], settings: Cluster | None = None, limit_ms: float = 20_000) -> Any:
    """Run ``body`` in a new world and return its result; it must end within ``limit_ms``."""
    loop = EpollLoop(1)

    def main(scope: Scope) -> Co[Any]:
        world = World(loop, scope, settings or cluster())
        try:
            return (yield from within((yield from current()), limit_ms, body(world)))
        finally:
            scope.cancel()

    try:
        return loop.run(lambda: in_scope(main))
    finally:
        loop.close()
