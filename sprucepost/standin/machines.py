"""Machines on the wire: any number in one process, each with its own port, model and sessions.

The machines of a process share key groups by cell, zone or all, as the deployment's classes say; nothing else. Orders
(``StandIn.Do``) add, announce, slow, crash, restart and drain them.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from sprucepost.loop import Address, Co, Loop, Scope, TimedOut, Timer, sleep
from sprucepost.settings import Cluster
from sprucepost.standin import machine_types as m
from sprucepost.standin.key_group import KeyGroup
from sprucepost.standin.orders import OrderService
from sprucepost.standin.simulated_machine import SimulatedMachine
from sprucepost.v1 import common_pb2, fleet_pb2, machine_pb2
from sprucepost.wire.client import ClientCall, open_client
from sprucepost.wire.connection import Options
from sprucepost.wire.server import Method, Server, ServerCall
from sprucepost.wire.session import Session, SessionBroken
from sprucepost.wire.status import Code, RpcError

PATH = "/sprucepost.v1.Machine/Offers"
REPORT_PATH = "/sprucepost.v1.Fleet/Report"
RESUME_MS = 30_000.0
ACK_MS = 50.0  # an acknowledgement that no frame carries goes out by itself after this

Frame = machine_pb2.FromMachine


class Link:
    """What one placer number has with one machine: the newest incarnation's session, and its stream while there is one."""

    def __init__(self, number: int, incarnation: int, token: bytes) -> None:
        self.number, self.incarnation, self.token = number, incarnation, token
        self.session: Session[Frame] = Session()
        self.call: ServerCall | None = None
        self.forget: Timer | None = None
        self.ack_due = False


class MachineServer:
    """One machine: its model, its port, its links."""

    def __init__(self, field: MachinePool, model: m.MachineModel, address: Address) -> None:
        self.field, self.loop = field, field.loop
        self.model = SimulatedMachine(model, field.loop.rng(), self._happen, lambda cls: field.group(cls, model))
        self.incarnation = 0
        self.links: dict[int, Link] = {}
        self.answer_loss = 0.0
        self.lost_answers = 0
        self._muted: set[m.AttemptId] = set()  # attempts of which no word goes out
        self.counts: Counter[str] = Counter()
        self._rng = field.loop.rng()
        self._wanted = address
        self._timer: Timer | None = None
        self.server: Server | None = None
        self.address: Address = address
        self.listed_address = ""  # what the list tells
        self._open()

    # Life

    def _open(self) -> None:
        self.incarnation = int.from_bytes(self.loop.token(7), "big")
        self.server = Server(
            self.loop, self.field.scope, {PATH: Method(attach=self._attach)}, Options(keepalive_ms=5000)
        )
        try:
            self.address = self._wanted = self.server.listen(self._wanted)
        except OSError:  # while it was down another process of this host has got its port
            self.address = self._wanted = self.server.listen(("127.0.0.1", 0))

    def start(self, cold: bool) -> None:
        """Start the process again, empty."""
        if self.server is None:
            self._open()
        self.model.up(self.field.now(), cold)
        self.field.mark_changed(self)

    def crash(self) -> None:
        """The process dies: connections are reset, all that it held is gone."""
        self.model.down()
        self._muted.clear()
        for link in self.links.values():
            if link.forget is not None:
                link.forget.cancel()
        self.links.clear()
        if self.server is not None:
            for connection in list(self.server.connections):
                connection.abort("crashed")
            self.server.close()
            self.server = None
        self.field.mark_changed(self)

    def go_silent(self) -> None:
        """The machine goes silent: its process is gone, but nobody is told. Connections stay open unanswered."""
        self.model.down()
        self.links.clear()
        if self.server is not None:
            for connection in list(self.server.connections):
                connection.transport.pause()
        self.field.mark_changed(self)

    # Streams

    def _attach(self, call: ServerCall) -> None:
        call.on_message = lambda data: self._hello(call, data)

    def _hello(self, call: ServerCall, data: bytes) -> None:
        frame = _parse(data)
        if frame.WhichOneof("body") != "hello":
            call.finish(RpcError(Code.INVALID_ARGUMENT, "hello must come first"))
            return
        hello, link = frame.hello, self.links.get(frame.hello.number)
        if self.model.state is m.MachineState.DOWN or self.model.fallen:
            call.finish(RpcError(Code.UNAVAILABLE, "down"))
            return
        if link is not None and hello.incarnation < link.incarnation:
            call.finish(RpcError(Code.FAILED_PRECONDITION, f"a newer incarnation is known: {link.incarnation}"))
            return
        if link is not None and hello.incarnation > link.incarnation and link.call is not None:
            text = f"number {hello.number} has a live stream of incarnation {link.incarnation}"
            call.finish(RpcError(Code.ALREADY_EXISTS, text))
            return
        resumed = link is not None and hello.incarnation == link.incarnation and hello.session == link.token
        if link is not None and link.call is not None:
            old, link.call = link.call, None
            old.finish(RpcError(Code.ABORTED, "another stream has taken its place"))
        if link is None or not resumed:
            link = self.links[hello.number] = Link(hello.number, hello.incarnation, self.loop.token(8))
        if link.forget is not None:
            link.forget.cancel()
        try:
            again = link.session.resume(hello.last_seen) if resumed else []
        except SessionBroken as error:
            call.finish(RpcError(Code.INVALID_ARGUMENT, str(error)))
            return
        link.call = call
        call.on_message = lambda data: self._frame(link, call, data)
        call.on_end = call.finish
        call.on_done = lambda status: self._left(link, call)
        reply = Frame(load=self._load(), ack=link.session.ack())
        attached = reply.attached
        attached.machine, attached.life, attached.session = self.model.model.name, self.incarnation, link.token
        attached.started_ms = self.model.started
        attached.resumed, attached.last_seen, attached.resume_ms = resumed, link.session.last_received, RESUME_MS
        for task in self.model.held(hello.number):
            attached.held.append(_held(task))
        call.send(reply.SerializeToString())
        for seq, kept in again:
            kept.seq, kept.ack = seq, link.session.ack()
            call.send(kept.SerializeToString())

    def _left(self, link: Link, call: ServerCall) -> None:
        if link.call is call:
            link.call = None
            link.forget = self.loop.call_later(RESUME_MS, lambda: self._forget(link))

    def _forget(self, link: Link) -> None:
        """Too long without a stream: the session ends; the tasks run on and are named at the next attach."""
        link.token = self.loop.token(8)
        link.session = Session()

    def _frame(self, link: Link, call: ServerCall, data: bytes) -> None:
        frame = _parse(data)
        try:
            link.session.receive_ack(frame.ack)
            if not frame.seq or not link.session.accept(frame.seq):
                return
        except SessionBroken as error:
            call.finish(RpcError(Code.INVALID_ARGUMENT, str(error)))
            return
        kind = frame.WhichOneof("body")
        now = self.field.now()
        if kind == "offer":
            self.counts["offers"] += 1
            offer = frame.offer
            attempt_id = m.AttemptId(link.number, link.incarnation, offer.request, offer.attempt)
            cls = self.field.classes.get(offer.task.task_class)
            if cls is None:
                self._happen(m.OfferAnswered(attempt_id, m.Reason.NOT_HERE))
            else:
                task = offer.task
                self.model.offer(
                    m.Offer(
                        attempt_id,
                        offer.name,
                        cls,
                        task.service,
                        task.cores,
                        task.memory,
                        task.tenant,
                        task.life_ms,
                        offer.wait_ms,
                    ),
                    now,
                )
        elif kind == "withdraw":
            withdraw = frame.withdraw
            attempt_id = m.AttemptId(link.number, withdraw.incarnation, withdraw.request, withdraw.attempt)
            self.model.withdraw(attempt_id, now)
        elif kind == "release":
            release = frame.release
            attempt_id = m.AttemptId(link.number, release.incarnation, release.request, release.attempt)
            self.model.unclaim(attempt_id, now)
        elif kind == "renounce":
            self.links.pop(link.number, None)
            call.finish()
            return
        elif kind == "adopt":
            adopt = frame.adopt
            old = m.AttemptId(link.number, adopt.old_incarnation, adopt.old_request, adopt.old_attempt)
            new = m.AttemptId(link.number, link.incarnation, adopt.request, 0)
            if not self.model.adopt(old, new):
                self._send(link, new, ended=machine_pb2.TaskEnded(how=machine_pb2.TaskEnded.LOST))
        self.schedule()
        self._ack_soon(link)

    def _ack_soon(self, link: Link) -> None:
        if not link.ack_due:
            link.ack_due = True

            def tell() -> None:
                link.ack_due = False
                if link.call is not None and link.session.ack_due:
                    link.call.send(Frame(ack=link.session.ack()).SerializeToString())

            self.loop.call_later(ACK_MS, tell)

    # What the model does

    def schedule(self) -> None:
        """Look again when the model has something due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.model.next_due()
        if due is not None:
            self._timer = self.loop.call_later(due - self.field.now(), self._advance)

    def _advance(self) -> None:
        self._timer = None
        self.model.advance(self.field.now())
        self.schedule()

    def _happen(self, what: m.MachineEvent) -> None:
        number, incarnation = what.attempt_id.placer, what.attempt_id.incarnation
        link = self.links.get(number)
        if isinstance(what, m.OfferAnswered):
            self.counts["accepted" if what.reason is None else f"refused {what.reason.name.lower()}"] += 1
            if self.answer_loss and self._rng.random() < self.answer_loss:
                self._mute_task(what)
                return
        elif isinstance(what, m.TaskEnded):
            self.counts[f"ended {what.kind.name.lower()}"] += 1
        self.field.on_activity(self)
        if what.attempt_id in self._muted:
            return
        if link is None or link.incarnation != incarnation:
            return  # an older incarnation's: its successor learns of the task when it attaches
        if isinstance(what, m.OfferAnswered):
            if what.reason is None:
                self._send(link, what.attempt_id, accepted=machine_pb2.Accepted())
            else:
                reason = _reason(what.reason)
                self._send(link, what.attempt_id, refused=machine_pb2.OfferRefused(reason=reason))
        elif isinstance(what, m.TaskStarted):
            self._send(link, what.attempt_id, running=machine_pb2.TaskRunning())
        elif isinstance(what, m.TaskUse):
            use = machine_pb2.TaskUse(cores=what.cores, memory=what.memory)
            if what.served is not None:
                use.served_share = what.served
            if what.machine_memory is not None:
                use.machine_memory = what.machine_memory
            self._send(link, what.attempt_id, use=use)
        else:
            ended = machine_pb2.TaskEnded(how=_how(what.kind), reason=_reason(what.reason))
            self._send(link, what.attempt_id, ended=ended)

    def _mute_task(self, what: m.OfferAnswered) -> None:
        """The work is done, but nothing of it ever comes back. Nobody will claim the copy by this stream."""
        self.lost_answers += 1
        self._muted.add(what.attempt_id)
        if what.reason is None:
            self.model.unclaim(what.attempt_id, self.field.now())

    def _load(self) -> machine_pb2.Load:
        report = self.model.report(self.field.now())
        return machine_pb2.Load(
            free_cores=report.free_cores, free_memory=report.free_memory, busy=report.busy, queue=report.queue
        )

    def _send(self, link: Link, attempt_id: m.AttemptId, **body: Any) -> None:
        frame = Frame(request=attempt_id.request, attempt=attempt_id.attempt, load=self._load(), **body)
        try:
            frame.seq = link.session.assign_seq(frame)
        except SessionBroken:
            self._forget(link)
            if link.call is not None:
                link.call.finish(RpcError(Code.RESOURCE_EXHAUSTED, "too many frames without an acknowledgement"))
            return
        frame.ack = link.session.ack()
        if link.call is not None:
            link.call.send(frame.SerializeToString())

    def entry(self) -> fleet_pb2.ListedMachine:
        """What the list is told of this machine."""
        model = self.model
        cores, memory = model.requested()
        return fleet_pb2.ListedMachine(
            name=model.model.name,
            state=_STATES[m.MachineState.DOWN if model.fallen else model.state],
            zone=model.model.zone,
            cell=model.model.cell,
            kind=model.model.kind,
            started_ms=model.started,
            free_cores=model.model.cores - cores,
            free_memory=model.model.memory - memory,
            address=self.listed_address,
        )


_STATES = {
    m.MachineState.DOWN: fleet_pb2.MACHINE_STATE_GONE,
    m.MachineState.READY: fleet_pb2.MACHINE_STATE_READY,
    m.MachineState.DRAINING: fleet_pb2.MACHINE_STATE_DRAINING,
}


def _reason(why: m.Reason) -> common_pb2.Reason:
    return common_pb2.Reason.Name(why.value)  # type: ignore[return-value]


def _how(how: m.EndKind) -> machine_pb2.TaskEnded.How:
    return machine_pb2.TaskEnded.How.Name(how.value)  # type: ignore[return-value]


def _parse(data: bytes) -> machine_pb2.ToMachine:
    try:
        return machine_pb2.ToMachine.FromString(data)
    except Exception:
        raise RpcError(Code.INVALID_ARGUMENT, "not a ToMachine message") from None


def _held(task: m.Task) -> machine_pb2.Held:
    offer = task.offer
    return machine_pb2.Held(
        name=offer.name,
        task=common_pb2.Task(
            task_class=offer.cls.name,
            service=offer.service,
            cores=offer.cores,
            memory=offer.memory,
            tenant=offer.tenant,
        ),
        request=offer.attempt_id.request,
        attempt=offer.attempt_id.attempt,
        incarnation=offer.attempt_id.incarnation,
        running=task.running,
    )


class MachinePool:
    """All machines of this process, and their reports to the list."""

    def __init__(
        self, loop: Loop, scope: Scope, cluster: Cluster, classes: dict[str, m.ClassModel], list_at: Address
    ) -> None:
        self.loop, self.scope, self.cluster, self.classes = loop, scope, cluster, classes
        self.machines: dict[str, MachineServer] = {}
        self._groups: dict[str, KeyGroup] = {}
        self._scopes = {cls.name: cls.group for cls in cluster.classes}
        self._list_at = list_at
        self._changed: dict[str, MachineServer] = {}
        self._offset = loop.wall() - loop.now()

    def now(self) -> float:
        """Wall-clock ms, as machines name their start by it."""
        return self.loop.now() + self._offset

    def group(self, cls: m.ClassModel, model: m.MachineModel) -> KeyGroup:
        scope = self._scopes.get(cls.name, "all")
        place = {"all": "", "zone": model.zone, "cell": model.cell}[scope]
        return self._groups.setdefault(f"{cls.name} {scope} {place}", KeyGroup())

    def on_activity(self, host: MachineServer) -> None:
        """Its room has changed: the list hears of it with the next report."""
        if host.listed_address:
            self._changed[host.model.model.name] = host

    mark_changed = on_activity

    def report(self) -> Co[None]:
        """Keep the list informed, for ever."""
        while True:
            try:
                connection = yield from open_client(self.loop, self._list_at, 2000.0)
                call: ClientCall = connection.call(REPORT_PATH)
                self._changed = {name: host for name, host in self.machines.items() if host.listed_address}
                while call.end_status is None:
                    if self._changed:
                        changed, self._changed = self._changed, {}
                        entries = [host.entry() for host in changed.values()]
                        call.send(fleet_pb2.MachineReport(entries=entries).SerializeToString())
                    for group in self._groups.values():
                        group.forget(self.now())
                    yield from sleep(200.0)
            except (OSError, RpcError, TimedOut):
                yield from sleep(200.0)

    # Orders

    def orders(self) -> OrderService:
        return OrderService(
            {
                "add": self._add, "announce": self._announce, "up": self._up, "crash": self._crash, "mute": self._mute,
                "drain": self._drain, "set": self._set, "use": self._use, "state": self._state,
            }
        )  # fmt: skip

    def add(self, model: m.MachineModel, address: Address = ("127.0.0.1", 0), cold: bool = False) -> MachineServer:
        host = self.machines[model.name] = MachineServer(self, model, address)
        host.model.started = self.now() if cold else 0.0
        return host

    def _add(self, model: dict[str, Any], cold: bool = False) -> dict[str, Any]:
        host = self.add(m.MachineModel(**model), cold=cold)
        assert isinstance(host.address, tuple)
        return {"port": host.address[1]}

    def _announce(self, machine: str, address: str) -> dict[str, Any]:
        host = self.machines[machine]
        host.listed_address = address
        self.mark_changed(host)
        return {}

    def _up(self, machine: str, cold: bool = True) -> dict[str, Any]:
        host = self.machines[machine]
        before = host.address
        host.start(cold)
        assert isinstance(host.address, tuple)
        return {} if host.address == before else {"moved": f"{host.address[0]}:{host.address[1]}"}

    def _crash(self, machine: str) -> dict[str, Any]:
        self.machines[machine].crash()
        return {}

    def _mute(self, machine: str) -> dict[str, Any]:
        self.machines[machine].go_silent()
        return {}

    def _drain(self, machine: str) -> dict[str, Any]:
        host = self.machines[machine]
        host.model.drain(self.now())
        host.schedule()
        self.mark_changed(host)
        return {}

    def _set(self, machine: str, slow: float | None = None, deaf_class: str | None = None,
             answer_loss: float | None = None) -> dict[str, Any]:  # fmt: skip
        host = self.machines[machine]
        if slow is not None:
            host.model.slow = slow
        if answer_loss is not None:
            host.answer_loss = answer_loss
        if deaf_class is not None:
            host.model.deaf_class = deaf_class or None  # "": it hears every class again
        return {}

    def _use(self, what: str, factor: float) -> dict[str, Any]:
        for host in self.machines.values():
            host.model.extra_use[what] = factor
            host.model.redraw(self.now())
            host.schedule()
        return {}

    def _state(self) -> dict[str, Any]:
        return {
            name: {
                "state": host.model.state.name.lower(),
                "fallen": host.model.fallen,
                "tasks": len(host.model.tasks),
                "offers_in_fall": host.model.offers_in_fall,
                "lost_answers": host.lost_answers,
                "counts": dict(sorted(host.counts.items())),
            }
            for name, host in sorted(self.machines.items())
        }


def class_models(cluster: Cluster, manners: dict[str, dict[str, Any]]) -> dict[str, m.ClassModel]:
    """How each class behaves on a machine: its figures in the deployment, and ``manners`` by class name."""
    return {
        cls.name: m.ClassModel(
            name=cls.name,
            keyed=cls.effect == "keyed",
            window_ms=cls.window_ms,
            kind=cls.kind,
            priority=cls.priority,
            calm=cls.calm,
            fade=cls.fade,
            **manners.get(cls.name, {}),
        )
        for cls in cluster.classes
    }
