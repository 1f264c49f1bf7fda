"""Simulated machines served over gRPC: any number in one process, each with its own port, model and sessions.

The machines of a process share only their key groups, by cell, by zone or for all machines as each class is configured.
Orders (``StandIn.Do``) add, announce, slow down, crash, restart and drain machines.
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
SESSION_RESUME_MS = 30_000.0
ACK_DELAY_MS = 50.0  # an acknowledgement that no frame has carried by then is sent alone

Frame = machine_pb2.FromMachine


class PlacerLink:
    """The session of one placer number with one machine: that of its newest incarnation, and its stream if attached."""

    def __init__(self, number: int, incarnation: int, token: bytes) -> None:
        self.number, self.incarnation, self.token = number, incarnation, token
        self.session: Session[Frame] = Session()
        self.call: ServerCall | None = None
        self.expiry_timer: Timer | None = None
        self.ack_due = False


class MachineServer:
    """One simulated machine with its gRPC server and its sessions with placers."""

    def __init__(self, pool: MachinePool, model: m.MachineModel, address: Address) -> None:
        self.pool, self.loop = pool, pool.loop
        self.model = SimulatedMachine(
            model, pool.loop.rng(), self._handle_event, lambda cls: pool.key_group(cls, model)
        )
        self.machine_incarnation = 0
        self.links: dict[int, PlacerLink] = {}
        self.answer_loss = 0.0
        self.lost_answers = 0
        self._unanswered_attempts: set[m.AttemptId] = set()  # attempts about which no message is sent
        self.counts: Counter[str] = Counter()
        self._rng = pool.loop.rng()
        self._listen_address = address
        self._timer: Timer | None = None
        self.server: Server | None = None
        self.address: Address = address
        self.listed_address = ""  # the address that the list gives; empty until announced
        self._open()

    # Start and crash

    def _open(self) -> None:
        self.machine_incarnation = int.from_bytes(self.loop.token(7), "big")
        self.server = Server(
            self.loop, self.pool.scope, {PATH: Method(attach=self._attach)}, Options(keepalive_ms=5000)
        )
        try:
            self.address = self._listen_address = self.server.listen(self._listen_address)
        except OSError:  # another process on this host took the port while the machine was down
            self.address = self._listen_address = self.server.listen(("127.0.0.1", 0))

    def start(self, cold: bool) -> None:
        """Start the machine again without tasks or sessions."""
        if self.server is None:
            self._open()
        self.model.up(self.pool.now(), cold)
        self.pool.mark_changed(self)

    def crash(self) -> None:
        """Crash: reset all connections and drop all tasks and sessions."""
        self.model.down()
        self._unanswered_attempts.clear()
        for link in self.links.values():
            if link.expiry_timer is not None:
                link.expiry_timer.cancel()
        self.links.clear()
        if self.server is not None:
            for connection in list(self.server.connections):
                connection.abort("crashed")
            self.server.close()
            self.server = None
        self.pool.mark_changed(self)

    def go_silent(self) -> None:
        """Drop all tasks and sessions without closing connections, which stay open and unanswered."""
        self.model.down()
        self.links.clear()
        if self.server is not None:
            for connection in list(self.server.connections):
                connection.transport.pause()
        self.pool.mark_changed(self)

    # Streams

    def _attach(self, call: ServerCall) -> None:
        call.on_message = lambda data: self._receive_hello(call, data)

    def _receive_hello(self, call: ServerCall, data: bytes) -> None:
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
            link = self.links[hello.number] = PlacerLink(hello.number, hello.incarnation, self.loop.token(8))
        if link.expiry_timer is not None:
            link.expiry_timer.cancel()
        try:
            unacknowledged = link.session.resume(hello.last_seen) if resumed else []
        except SessionBroken as error:
            call.finish(RpcError(Code.INVALID_ARGUMENT, str(error)))
            return
        link.call = call
        call.on_message = lambda data: self._receive_frame(link, call, data)
        call.on_end = call.finish
        call.on_done = lambda status: self._stream_ended(link, call)
        reply = Frame(load=self._load(), ack=link.session.ack())
        attached = reply.attached
        attached.machine, attached.life, attached.session = self.model.model.name, self.machine_incarnation, link.token
        attached.started_ms = self.model.started
        attached.resumed, attached.last_seen, attached.resume_ms = (
            resumed,
            link.session.last_received,
            SESSION_RESUME_MS,
        )
        for task in self.model.held(hello.number):
            attached.held.append(_held_task(task))
        call.send(reply.SerializeToString())
        for seq, kept in unacknowledged:
            kept.seq, kept.ack = seq, link.session.ack()
            call.send(kept.SerializeToString())

    def _stream_ended(self, link: PlacerLink, call: ServerCall) -> None:
        if link.call is call:
            link.call = None
            link.expiry_timer = self.loop.call_later(SESSION_RESUME_MS, lambda: self._expire_session(link))

    def _expire_session(self, link: PlacerLink) -> None:
        """End the session, as when it had no stream for too long; its tasks run on and are reported at the next
        attach."""
        link.token = self.loop.token(8)
        link.session = Session()

    def _receive_frame(self, link: PlacerLink, call: ServerCall, data: bytes) -> None:
        frame = _parse(data)
        try:
            link.session.receive_ack(frame.ack)
            if not frame.seq or not link.session.accept(frame.seq):
                return
        except SessionBroken as error:
            call.finish(RpcError(Code.INVALID_ARGUMENT, str(error)))
            return
        kind = frame.WhichOneof("body")
        now = self.pool.now()
        if kind == "offer":
            self.counts["offers"] += 1
            offer = frame.offer
            attempt_id = m.AttemptId(link.number, link.incarnation, offer.request, offer.attempt)
            cls = self.pool.classes.get(offer.task.task_class)
            if cls is None:
                self._handle_event(m.OfferAnswered(attempt_id, m.Reason.NOT_HERE))
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
        self._schedule_ack(link)

    def _schedule_ack(self, link: PlacerLink) -> None:
        if not link.ack_due:
            link.ack_due = True

            def send_ack() -> None:
                link.ack_due = False
                if link.call is not None and link.session.ack_due:
                    link.call.send(Frame(ack=link.session.ack()).SerializeToString())

            self.loop.call_later(ACK_DELAY_MS, send_ack)

    # Events of the model

    def schedule(self) -> None:
        """Set the timer for the model's next due step."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.model.next_due()
        if due is not None:
            self._timer = self.loop.call_later(due - self.pool.now(), self._advance)

    def _advance(self) -> None:
        self._timer = None
        self.model.advance(self.pool.now())
        self.schedule()

    def _handle_event(self, event: m.MachineEvent) -> None:
        number, incarnation = event.attempt_id.placer, event.attempt_id.incarnation
        link = self.links.get(number)
        if isinstance(event, m.OfferAnswered):
            self.counts["accepted" if event.reason is None else f"refused {event.reason.name.lower()}"] += 1
            if self.answer_loss and self._rng.random() < self.answer_loss:
                self._lose_answer(event)
                return
        elif isinstance(event, m.TaskEnded):
            self.counts[f"ended {event.kind.name.lower()}"] += 1
        self.pool.on_activity(self)
        if event.attempt_id in self._unanswered_attempts:
            return
        if link is None or link.incarnation != incarnation:
            return  # of an older incarnation; its successor learns of the task when it attaches
        if isinstance(event, m.OfferAnswered):
            if event.reason is None:
                self._send(link, event.attempt_id, accepted=machine_pb2.Accepted())
            else:
                reason = _reason(event.reason)
                self._send(link, event.attempt_id, refused=machine_pb2.OfferRefused(reason=reason))
        elif isinstance(event, m.TaskStarted):
            self._send(link, event.attempt_id, running=machine_pb2.TaskRunning())
        elif isinstance(event, m.TaskUse):
            use = machine_pb2.TaskUse(cores=event.cores, memory=event.memory)
            if event.served is not None:
                use.served_share = event.served
            if event.machine_memory is not None:
                use.machine_memory = event.machine_memory
            self._send(link, event.attempt_id, use=use)
        else:
            ended = machine_pb2.TaskEnded(how=_end_kind(event.kind), reason=_reason(event.reason))
            self._send(link, event.attempt_id, ended=ended)

    def _lose_answer(self, event: m.OfferAnswered) -> None:
        """Process the offer but send nothing about it, now or later; no placer claims the task over this stream."""
        self.lost_answers += 1
        self._unanswered_attempts.add(event.attempt_id)
        if event.reason is None:
            self.model.unclaim(event.attempt_id, self.pool.now())

    def _load(self) -> machine_pb2.Load:
        report = self.model.report(self.pool.now())
        return machine_pb2.Load(
            free_cores=report.free_cores, free_memory=report.free_memory, busy=report.busy, queue=report.queue
        )

    def _send(self, link: PlacerLink, attempt_id: m.AttemptId, **body: Any) -> None:
        frame = Frame(request=attempt_id.request, attempt=attempt_id.attempt, load=self._load(), **body)
        try:
            frame.seq = link.session.assign_seq(frame)
        except SessionBroken:
            self._expire_session(link)
            if link.call is not None:
                link.call.finish(RpcError(Code.RESOURCE_EXHAUSTED, "too many frames without an acknowledgement"))
            return
        frame.ack = link.session.ack()
        if link.call is not None:
            link.call.send(frame.SerializeToString())

    def list_entry(self) -> fleet_pb2.ListedMachine:
        """Return the entry that is reported to the list."""
        model = self.model
        cores, memory = model.requested()
        return fleet_pb2.ListedMachine(
            name=model.model.name,
            state=_LISTED_STATES[m.MachineState.DOWN if model.fallen else model.state],
            zone=model.model.zone,
            cell=model.model.cell,
            kind=model.model.kind,
            started_ms=model.started,
            free_cores=model.model.cores - cores,
            free_memory=model.model.memory - memory,
            address=self.listed_address,
        )


_LISTED_STATES = {
    m.MachineState.DOWN: fleet_pb2.MACHINE_STATE_GONE,
    m.MachineState.READY: fleet_pb2.MACHINE_STATE_READY,
    m.MachineState.DRAINING: fleet_pb2.MACHINE_STATE_DRAINING,
}


def _reason(why: m.Reason) -> common_pb2.Reason:
    return common_pb2.Reason.Name(why.value)  # type: ignore[return-value]


def _end_kind(how: m.EndKind) -> machine_pb2.TaskEnded.How:
    return machine_pb2.TaskEnded.How.Name(how.value)  # type: ignore[return-value]


def _parse(data: bytes) -> machine_pb2.ToMachine:
    try:
        return machine_pb2.ToMachine.FromString(data)
    except Exception:
        raise RpcError(Code.INVALID_ARGUMENT, "not a ToMachine message") from None


def _held_task(task: m.Task) -> machine_pb2.Held:
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
        self, loop: Loop, scope: Scope, cluster: Cluster, classes: dict[str, m.ClassModel], list_address: Address
    ) -> None:
        self.loop, self.scope, self.cluster, self.classes = loop, scope, cluster, classes
        self.machines: dict[str, MachineServer] = {}
        self._groups: dict[str, KeyGroup] = {}
        self._group_scopes = {cls.name: cls.group for cls in cluster.classes}
        self._list_address = list_address
        self._unreported: dict[str, MachineServer] = {}
        self._wall_offset_ms = loop.wall() - loop.now()

    def now(self) -> float:
        """Return the wall-clock time in ms, in which machines state their start."""
        return self.loop.now() + self._wall_offset_ms

    def key_group(self, cls: m.ClassModel, model: m.MachineModel) -> KeyGroup:
        """Return the key group of a class that a machine belongs to."""
        scope = self._group_scopes.get(cls.name, "all")
        place = {"all": "", "zone": model.zone, "cell": model.cell}[scope]
        return self._groups.setdefault(f"{cls.name} {scope} {place}", KeyGroup())

    def on_activity(self, server: MachineServer) -> None:
        """Report the machine's free resources to the list with the next report."""
        if server.listed_address:
            self._unreported[server.model.model.name] = server

    mark_changed = on_activity

    def report(self) -> Co[None]:
        """Report changed machines to the list until cancelled; all of them after each reconnect."""
        while True:
            try:
                connection = yield from open_client(self.loop, self._list_address, 2000.0)
                call: ClientCall = connection.call(REPORT_PATH)
                self._unreported = {name: server for name, server in self.machines.items() if server.listed_address}
                while call.end_status is None:
                    if self._unreported:
                        changed, self._unreported = self._unreported, {}
                        entries = [server.list_entry() for server in changed.values()]
                        call.send(fleet_pb2.MachineReport(entries=entries).SerializeToString())
                    for group in self._groups.values():
                        group.forget(self.now())
                    yield from sleep(200.0)
            except (OSError, RpcError, TimedOut):
                yield from sleep(200.0)

    # Orders

    def orders(self) -> OrderService:
        """Return the handlers of the orders that the machines take."""
        return OrderService(
            {
                "add": self._add, "announce": self._announce, "up": self._up, "crash": self._crash, "mute": self._mute,
                "drain": self._drain, "set": self._set, "use": self._use, "state": self._state,
            }
        )  # fmt: skip

    def add(self, model: m.MachineModel, address: Address = ("127.0.0.1", 0), cold: bool = False) -> MachineServer:
        """Add a machine and serve it; a cold one counts as started now."""
        server = self.machines[model.name] = MachineServer(self, model, address)
        server.model.started = self.now() if cold else 0.0
        return server

    def _add(self, model: dict[str, Any], cold: bool = False) -> dict[str, Any]:
        server = self.add(m.MachineModel(**model), cold=cold)
        assert isinstance(server.address, tuple)
        return {"port": server.address[1]}

    def _announce(self, machine: str, address: str) -> dict[str, Any]:
        server = self.machines[machine]
        server.listed_address = address
        self.mark_changed(server)
        return {}

    def _up(self, machine: str, cold: bool = True) -> dict[str, Any]:
        server = self.machines[machine]
        before = server.address
        server.start(cold)
        assert isinstance(server.address, tuple)
        return {} if server.address == before else {"moved": f"{server.address[0]}:{server.address[1]}"}

    def _crash(self, machine: str) -> dict[str, Any]:
        self.machines[machine].crash()
        return {}

    def _mute(self, machine: str) -> dict[str, Any]:
        self.machines[machine].go_silent()
        return {}

    def _drain(self, machine: str) -> dict[str, Any]:
        server = self.machines[machine]
        server.model.drain(self.now())
        server.schedule()
        self.mark_changed(server)
        return {}

    def _set(self, machine: str, slow: float | None = None, deaf_class: str | None = None,
             answer_loss: float | None = None) -> dict[str, Any]:  # fmt: skip
        server = self.machines[machine]
        if slow is not None:
            server.model.slow = slow
        if answer_loss is not None:
            server.answer_loss = answer_loss
        if deaf_class is not None:
            server.model.deaf_class = deaf_class or None  # "": it answers every class again
        return {}

    def _use(self, what: str, factor: float) -> dict[str, Any]:
        for server in self.machines.values():
            server.model.extra_use[what] = factor
            server.model.redraw(self.now())
            server.schedule()
        return {}

    def _state(self) -> dict[str, Any]:
        return {
            name: {
                "state": server.model.state.name.lower(),
                "fallen": server.model.fallen,
                "tasks": len(server.model.tasks),
                "offers_in_fall": server.model.offers_in_fall,
                "lost_answers": server.lost_answers,
                "counts": dict(sorted(server.counts.items())),
            }
            for name, server in sorted(self.machines.items())
        }


def class_models(cluster: Cluster, behaviours: dict[str, dict[str, Any]]) -> dict[str, m.ClassModel]:
    """Return the model of each class: its settings in the cluster, and ``behaviours`` by class name."""
    return {
        cls.name: m.ClassModel(
            name=cls.name,
            keyed=cls.effect == "keyed",
            window_ms=cls.window_ms,
            kind=cls.kind,
            priority=cls.priority,
            calm=cls.calm,
            fade=cls.fade,
            **behaviours.get(cls.name, {}),
        )
        for cls in cluster.classes
    }
