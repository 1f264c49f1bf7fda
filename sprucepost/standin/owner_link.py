"""An owner's session with one placer, kept up across broken streams."""

from __future__ import annotations

from collections.abc import Callable

from sprucepost.loop import Address, Cancelled, Co, Loop, Scope, Task, TimedOut, current, sleep, within
from sprucepost.v1 import common_pb2
from sprucepost.v1 import placer_pb2 as pb
from sprucepost.wire.client import ClientCall, ClientConnection, open_client
from sprucepost.wire.connection import Options
from sprucepost.wire.session import Session, SessionBroken
from sprucepost.wire.status import Code, RpcError

PATH = "/sprucepost.v1.Placer/Submit"
ACK_MS = 50.0


class OwnerLink:
    """``on_frame`` gets each placer frame once; ``on_session(resumed)`` each attach; ``on_down`` each broken stream."""

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        address: Address,
        owner: str,
        on_frame: Callable[[pb.PlacerFrame], None],
        on_session: Callable[[bool], None],
        on_down: Callable[[], None] = lambda: None,
        source: str | None = None,
    ) -> None:
        self.loop, self.scope, self.address, self.owner, self._source = loop, scope, address, owner, source
        self._on_frame, self._on_session, self._on_down = on_frame, on_session, on_down
        self.session: Session[pb.OwnerFrame] = Session()
        self._token = b""
        self.call: ClientCall | None = None
        self.connection: ClientConnection | None = None
        self.number = -1
        self.incarnation = 0
        self.hold_acks = False
        self.batches = True  # refusals may come in one frame
        self._rng = loop.rng()
        self._ack_due = False
        self.task: Task[None] = scope.spawn(self._keep(), f"owner link {owner}")

    @property
    def up(self) -> bool:
        """Attached, and the placer takes calls."""
        return self.call is not None and self.connection is not None and not self.connection.draining

    def submit(self, name: str, task: common_pb2.Task, left_ms: float, repeat: bool = False) -> None:
        self._send(pb.OwnerFrame(task=name, submit=pb.Submission(task=task, left_ms=left_ms, repeat=repeat)))

    def cancel(self, name: str) -> None:
        self._send(pb.OwnerFrame(task=name, cancel=pb.Cancel()))

    def hand_over(self, name: str, task: common_pb2.Task, machine: str) -> None:
        self._send(pb.OwnerFrame(task=name, hand_over=pb.HandOver(task=task, machine=machine)))

    def _send(self, frame: pb.OwnerFrame) -> None:
        frame.seq = self.session.number(frame)
        if self.call is not None:
            frame.ack = self.session.ack()
            self.call.send(frame.SerializeToString())

    def _frame(self, call: ClientCall, data: bytes) -> None:
        if call is not self.call:
            return
        frame = pb.PlacerFrame.FromString(data)
        try:
            self.session.take_ack(frame.ack)
            if not frame.seq or not self.session.take(frame.seq):
                return
        except SessionBroken as error:
            call.cancel(Code.INTERNAL, str(error))
            return
        if not self._ack_due and not self.hold_acks:
            self._ack_due = True
            self.loop.call_later(ACK_MS, self._ack)
        if frame.WhichOneof("body") != "refused_all":
            self._on_frame(frame)
            return
        batch = frame.refused_all
        for task in batch.tasks:  # each with a wait of its own
            wait = self._rng.uniform(batch.retry_from_ms, batch.retry_to_ms)
            self._on_frame(pb.PlacerFrame(task=task, refused=pb.Refused(why=batch.why, retry_after_ms=wait)))

    def _ack(self) -> None:
        self._ack_due = False
        if self.call is not None and self.session.owes_ack and not self.hold_acks:
            self.call.send(pb.OwnerFrame(ack=self.session.ack()).SerializeToString())

    def _keep(self) -> Co[None]:
        wait = 30.0
        while True:
            connection: ClientConnection | None = None
            try:
                connection = yield from open_client(
                    self.loop,
                    self.address,
                    1000.0,
                    Options(keepalive_ms=2000.0, keepalive_wait_ms=2000.0),
                    self._source,
                )
                call = yield from self._attach(connection)
                wait = 30.0
                while call.over is None:
                    yield from sleep(5.0)
            except Cancelled:
                if connection is not None:
                    connection.close()
                raise
            except (OSError, RpcError, TimedOut):
                pass
            finally:
                was, self.call, self.connection = self.call, None, None
                if was is not None:
                    self._on_down()
            if connection is not None:
                connection.close()
            yield from sleep(wait * self._rng.uniform(0.5, 1.0))
            wait = min(2 * wait, 500.0)

    def _attach(self, connection: ClientConnection) -> Co[ClientCall]:
        call = connection.call(PATH)
        hello = pb.OwnerHello(session=self._token, last_seen=self.session.seen, owner=self.owner, batches=self.batches)
        call.send(pb.OwnerFrame(hello=hello).SerializeToString())
        data = yield from within((yield from current()), 2000.0, call.receive())
        if data is None:
            raise RpcError(Code.UNAVAILABLE, "no welcome")
        welcome = pb.PlacerFrame.FromString(data).welcome
        if welcome.resumed:
            again = self.session.again(welcome.last_seen)
        else:
            again, self.session, self._token = [], Session(), welcome.session
        self.call, self.connection = call, connection
        self.number, self.incarnation = welcome.number, welcome.incarnation
        for seq, frame in again:
            frame.seq, frame.ack = seq, self.session.ack()
            call.send(frame.SerializeToString())
        call.deliver(lambda data: self._frame(call, data))
        self._on_session(welcome.resumed)
        return call
