"""A placer without sockets: a loop on virtual time, and machines and owners that record what they are sent."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from sprucepost import interface as i
from sprucepost.loop import Address, Listener, Loop, Sock
from sprucepost.placer.engine import Engine
from sprucepost.placing.ports import Key
from sprucepost.settings import Cluster, PlacerFile, PlacerOptions
from sprucepost.v1 import common_pb2, machine_pb2
from sprucepost.v1 import placer_pb2 as pb
from tests.placer.support import cluster


class VirtualLoop(Loop):
    """A loop whose time advances only where it would wait; there are no sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 1_000_000.0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time

    def rng(self) -> random.Random:
        return random.Random(1)

    def token(self, size: int) -> bytes:
        return bytes(size)

    def listen(self, address: Address, backlog: int = 512) -> Listener:
        raise NotImplementedError

    def dial(self, address: Address, source: str | None = None) -> Sock:
        raise NotImplementedError

    def adopt(self, fd: int) -> Listener:
        raise NotImplementedError

    def send_datagram(self, path: str, data: bytes) -> None: ...
    def watch(self, sock: Sock | Listener, readable: Any, writable: Any) -> None: ...
    def on_signal(self, number: int, call: Any) -> None: ...
    def _poll(self, wait_ms: float | None) -> None:
        began = self.time
        self.time += wait_ms or 0.0
        self._after_poll(began, wait_ms)

    def pass_ms(self, ms: float) -> None:
        """Run turns until ``ms`` have passed."""
        done: list[bool] = []
        self.call_later(ms, lambda: done.append(True))
        while not done:
            self.turn()

    def stall(self, ms: float) -> None:
        """Stall as on SIGSTOP: time passes without a turn, and the poll returns late."""
        self._after_poll(self.time, 0.0)
        self.time += ms
        self._after_poll(self.time - ms, 0.0)


class Link:
    """A machine's stream; while ``behind`` is set, it writes only on :meth:`flush`."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.machine_incarnation, self.attached, self.behind = 0, True, False
        self.queue: list[Key] = []
        self.offers: list[machine_pb2.Offer] = []
        self.sent: list[machine_pb2.ToMachine] = []
        self.discarded_buffers = 0

    def offer(self, key: Key) -> None:
        self.queue.append(key)
        if not self.behind:
            self.flush()

    def flush(self) -> None:
        while self.queue:
            offer = self._engine.build_offer(self.queue.pop(0), self.machine_incarnation)
            if offer is not None:
                self.offers.append(offer)

    def drop(self, key: Key) -> None:
        if key in self.queue:
            self.queue.remove(key)

    def close_to_offers(self, closed: bool) -> None:
        if closed:
            self.queue.clear()

    def give_up_buffered(self) -> None:
        self.discarded_buffers += 1

    def send(self, frame: machine_pb2.ToMachine) -> None:
        self.sent.append(frame)


class Streams:
    """The streams of all machines and of one owner."""

    incarnation = 9

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}
        self.owner_frames: list[pb.PlacerFrame] = []

    def get(self, machine: str) -> Link | None:
        return self.links.get(machine)

    def gone(self, machine: str) -> None:
        self.links.pop(machine, None)

    def tell(self, token: bytes, frame: pb.PlacerFrame) -> None:
        self.owner_frames.append(frame)


class Session:
    """The session of the one owner."""

    token, owner = b"o", "owner"

    def __init__(self, streams: Streams) -> None:
        self._streams = streams

    def send(self, frame: pb.PlacerFrame) -> None:
        self._streams.owner_frames.append(frame)

    def released(self, task: str, asks: int) -> None: ...

    def refuse(self, task: str, why: str, retry_after_ms: float, is_invalid: bool = False) -> None:
        self.send(pb.PlacerFrame(task=task, refused=pb.Refused(why=why, retry_after_ms=retry_after_ms)))

    def waited_ms(self) -> float:
        return 0.0


class PlacerHarness:
    """One placer's engine on a virtual loop."""

    def __init__(self, settings: Cluster | None = None, **options: Any) -> None:
        self.loop = VirtualLoop()
        self.cluster = settings or cluster()
        values: dict[str, Any] = {"number": 0, "instances": 1, "zone": "room-a", "list": "127.0.0.1:1", "seed": 7}
        file = PlacerFile(self.cluster, PlacerOptions(**{**values, **options}))
        self.logs: Counter[str] = Counter()
        self.list_calls = 0
        self.engine = Engine(self.loop, self.cluster, file.placer, self._ask_list, self._log, file.generation())
        self.streams = Streams()
        self.engine.connect(self.streams, self.streams)
        self.engine.start()

    def _ask_list(self) -> None:
        self.list_calls += 1

    def _log(self, event: str, **more: Any) -> None:
        self.logs[event] += 1

    def machine(self, name: str = "m1", life: int = 1, state: int = 1, started: float = 0.0) -> Link:
        """Add a machine that is listed and, if ``life`` is not 0, attached."""
        link = self.streams.links[name] = Link(self.engine)
        self.tell_list(name, state=state, started=started)
        if life:
            self.attach(name, life)
        return link

    def tell_list(self, *names: str, state: int = 1, started: float = 0.0, whole: bool = False) -> None:
        entries = tuple(i.MachineEntry(name, i.MachineState(state), 0, 0, 0, started, 32.0, 64.0) for name in names)
        self.engine.on_list_update(self.loop.wall())
        self.engine.roster.on_list(i.MachineList(i.ListKind.FULL if whole else i.ListKind.DELTA, entries))

    def attach(self, name: str, life: int, started_ms: float = 0.0, held: Any = ()) -> None:
        link = self.streams.links[name]
        new, link.machine_incarnation = link.machine_incarnation not in (0, life), life
        self.engine.on_machine_attached(
            name, machine_pb2.Attached(machine=name, life=life, started_ms=started_ms, held=held), new
        )
        link.flush()

    def submit(self, name: str = "t", task_class: str = "web", left_ms: float = 3000.0) -> None:
        task = common_pb2.Task(task_class=task_class, service="s", cores=1.0, memory=1.0)
        frame = pb.OwnerFrame(task=name, submit=pb.Submission(task=task, left_ms=left_ms))
        self.engine.on_owner_frame(Session(self.streams), frame)
        self.loop.pass_ms(0.0)

    def cancel(self, name: str = "t") -> None:
        self.engine.on_owner_frame(Session(self.streams), pb.OwnerFrame(task=name, cancel=pb.Cancel()))
        self.loop.pass_ms(0.0)

    def answer(self, name: str, offer: machine_pb2.Offer, **body: Any) -> None:
        self.engine.on_machine_frame(
            name, machine_pb2.FromMachine(request=offer.request, attempt=offer.attempt, **body)
        )
        self.loop.pass_ms(0.0)

    def outcomes(self, name: str = "t") -> list[str]:
        kinds = [str(frame.WhichOneof("body")) for frame in self.streams.owner_frames if frame.task == name]
        return [kind for kind in kinds if kind in ("bound", "refused", "failed")]
