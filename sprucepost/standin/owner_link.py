"""An owner's session with one placer, kept up across broken streams."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from sprucepost.loop import Address, Cancelled, Co, Loop, Scope, Task, TimedOut, Timer, current, sleep, within
from sprucepost.v1 import common_pb2
from sprucepost.v1 import placer_pb2 as pb
from sprucepost.wire.client import ClientCall, ClientConnection, open_client
from sprucepost.wire.connection import Options
from sprucepost.wire.session import Session, SessionBroken
from sprucepost.wire.status import Code, RpcError

PATH = "/sprucepost.v1.Placer/Submit"
ACK_MS = 50.0
KEEPALIVE_MS = 2000.0


OUTCOMES = ("bound", "refused", "failed")
HELD_BACK_TOO_LONG = "held back until its time was over"


@dataclass(slots=True)
class _Held:
    """An ask beyond the credit. ``due``: when the owner gives up on it; ``until`` it may be held."""

    name: str
    task: common_pb2.Task
    due: float
    until: float
    repeat: bool


class OwnerLink:
    """``on_frame`` gets each placer frame once; ``on_session(resumed)`` each attach; ``on_down`` each broken stream.

    Asks beyond the placer's credit are held here, and the newest goes first: held back means overload, and there the
    oldest would use up its time in line while those behind it grow as old. What has waited out its time here is refused
    here, and never reaches the placer. An owner with other placers looks at ``room`` first.
    """

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
        keepalive_ms: float = KEEPALIVE_MS,
    ) -> None:
        """``keepalive_ms``: silence after which it pings; a placer ends idle sessions that ping sooner than each 10 s."""
        self._options = Options(keepalive_ms=keepalive_ms, keepalive_timeout_ms=KEEPALIVE_MS)
        self.loop, self.scope, self.address, self.owner, self._source = loop, scope, address, owner, source
        self._on_frame, self._on_session, self._on_down = on_frame, on_session, on_down
        self.session: Session[pb.OwnerFrame] = Session()
        self._token = b""
        self.call: ClientCall | None = None
        self.connection: ClientConnection | None = None
        self.number = -1
        self.incarnation = 0
        self.hold_acks = False
        self.accepts_batches = True  # refusals may come in one frame
        self.accepts_credit = True
        self.credit = 0  # asks that may be without an outcome; 0: any number
        self.open: Counter[str] = Counter()  # asks sent, or kept for the next stream, without an outcome, by task
        self._open = 0
        self._held: list[_Held] = []  # the newest last
        self._due: dict[int, float] = {}  # by frame number: when the ask in it is given up on
        self._sweep: Timer | None = None
        self._rng = loop.rng()
        self._ack_due = False
        self.task: Task[None] = scope.spawn(self._keep(), f"owner link {owner}")

    @property
    def up(self) -> bool:
        """Attached, and the placer takes calls."""
        return self.call is not None and self.connection is not None and not self.connection.draining

    @property
    def remaining_credit(self) -> int | None:
        """How many more asks the placer takes now; None: any number."""
        return max(0, self.credit - self._open - len(self._held)) if self.credit else None

    @property
    def held_count(self) -> int:
        """Asks held back here."""
        return len(self._held)

    def submit(
        self, name: str, task: common_pb2.Task, left_ms: float, repeat: bool = False, hold_ms: float = math.inf
    ) -> None:
        """``hold_ms``: refused here where it would be held back for longer; an answer by then is worth more to some owners
        than a late placement."""
        now = self.loop.now()
        due, until = now + left_ms, now + min(left_ms, hold_ms)
        if self.credit and self._open >= self.credit:
            self._held.append(_Held(name, task, due, until, repeat))
            self._sweep_at(until)
        else:
            self._ask(name, task, due, repeat)

    def _ask(self, name: str, task: common_pb2.Task, due: float, repeat: bool) -> None:
        self.open[name] += 1
        self._open += 1
        submission = pb.Submission(task=task, left_ms=due - self.loop.now(), repeat=repeat)
        self._due[self._send(pb.OwnerFrame(task=name, submit=submission))] = due

    def _settled(self, name: str, retry_ms: float = 0.0) -> None:
        """One ask for that task has its outcome. A refused one gives its part of a credit back when its retry time is over:
        else the next one held goes out at once, is refused at once, and credit bounds nothing."""
        if not self.open[name]:
            return
        self.open[name] -= 1
        if not self.open[name]:
            del self.open[name]
        if not (self.credit and retry_ms > 0):
            self._open -= 1
            return
        session = self.session

        def back() -> None:
            if self.session is session:
                self._open -= 1
                self._release()

        self.loop.call_later(retry_ms, back)

    def _release(self) -> None:
        """Send what the credit lets out of what is held."""
        now = self.loop.now()
        while self._held and (not self.credit or self._open < self.credit):
            held = self._held.pop()
            if held.until > now:
                self._ask(held.name, held.task, held.due, held.repeat)
            else:
                self._give_up(held)

    def _give_up(self, held: _Held) -> None:
        self._on_frame(pb.PlacerFrame(task=held.name, refused=pb.Refused(why=HELD_BACK_TOO_LONG)))

    def _sweep_at(self, due: float) -> None:
        if self._sweep is None:
            self._sweep = self.loop.call_later(max(20.0, due - self.loop.now()), self._swept)

    def _swept(self) -> None:
        self._sweep, now = None, self.loop.now()
        over = [held for held in self._held if held.until <= now]
        self._held = [held for held in self._held if held.until > now]
        if self._held:
            self._sweep_at(min(held.until for held in self._held))
        for held in over:
            self._give_up(held)

    def cancel(self, name: str) -> None:
        self._send(pb.OwnerFrame(task=name, cancel=pb.Cancel()))

    def hand_over(self, name: str, task: common_pb2.Task, machine: str) -> None:
        self._send(pb.OwnerFrame(task=name, hand_over=pb.HandOver(task=task, machine=machine)))

    def _send(self, frame: pb.OwnerFrame) -> int:
        frame.seq = self.session.assign_seq(frame)
        if self.call is not None:
            frame.ack = self.session.ack()
            self.call.send(frame.SerializeToString())
        return frame.seq

    def _send_again(self, call: ClientCall, seq: int, frame: pb.OwnerFrame) -> None:
        """A frame of an earlier stream, or of none. It has waited here, so that an ask has less time left than when it was
        made: without this the placer answers later than its owner waits. Where none is left it still goes, since frames
        are numbered without gaps, and is refused."""
        due = self._due.get(seq)
        if due is not None:
            frame.submit.left_ms = max(0.0, due - self.loop.now())
        frame.seq, frame.ack = seq, self.session.ack()
        call.send(frame.SerializeToString())

    def _frame(self, call: ClientCall, data: bytes) -> None:
        if call is not self.call:
            return
        frame = pb.PlacerFrame.FromString(data)
        if frame.WhichOneof("body") == "credit":
            self.credit = frame.credit.open
            self._release()
            return
        try:
            self.session.receive_ack(frame.ack)
            while self._due and (first := next(iter(self._due))) <= frame.ack:
                del self._due[first]
            if not frame.seq or not self.session.accept(frame.seq):
                return
        except SessionBroken as error:
            call.cancel(Code.INTERNAL, str(error))
            return
        if not self._ack_due and not self.hold_acks:
            self._ack_due = True
            self.loop.call_later(ACK_MS, self._ack)
        kind = frame.WhichOneof("body")
        if kind in OUTCOMES:
            self._settled(frame.task, frame.refused.retry_after_ms if kind == "refused" else 0.0)
        if kind != "refused_all":
            self._on_frame(frame)
            self._release()
            return
        batch = frame.refused_all
        for task in batch.tasks:  # each with a wait of its own
            wait = self._rng.uniform(batch.retry_from_ms, batch.retry_to_ms)
            self._settled(task, wait)
            self._on_frame(pb.PlacerFrame(task=task, refused=pb.Refused(why=batch.why, retry_after_ms=wait)))
        self._release()

    def _ack(self) -> None:
        self._ack_due = False
        if self.call is not None and self.session.ack_due and not self.hold_acks:
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
                    self._options,
                    self._source,
                )
                call = yield from self._attach(connection)
                wait = 30.0
                yield from call.wait_done()
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
        hello = pb.OwnerHello(
            session=self._token,
            last_seen=self.session.last_received,
            owner=self.owner,
            batches=self.accepts_batches,
            credit=self.accepts_credit,
        )
        call.send(pb.OwnerFrame(hello=hello).SerializeToString())
        data = yield from within((yield from current()), 2000.0, call.receive())
        if data is None:
            raise RpcError(Code.UNAVAILABLE, "no welcome")
        welcome = pb.PlacerFrame.FromString(data).welcome
        if welcome.resumed:
            again = self.session.resume(welcome.last_seen)
        else:
            again, self.session, self._token = [], Session(), welcome.session
            # No outcome of what was asked will come in the new session, and the owner settles what is held along with it.
            self._due.clear()
            self.open.clear()
            self._open, self._held = 0, []
        self.call, self.connection = call, connection
        self.number, self.incarnation = welcome.number, welcome.incarnation
        for seq, frame in again:
            self._send_again(call, seq, frame)
        self.credit = 0  # a bound holds for one stream; the next word on it comes with this one
        call.deliver_to(lambda data: self._frame(call, data))
        self._on_session(welcome.resumed)
        self._release()
        return call
