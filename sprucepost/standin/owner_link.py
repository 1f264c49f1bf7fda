"""An owner's session with one placer, which is resumed after broken streams."""

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
ACK_DELAY_MS = 50.0
KEEPALIVE_MS = 2000.0


OUTCOMES = ("bound", "refused", "failed")
HELD_BACK_TOO_LONG = "held back until its time was over"


@dataclass(slots=True)
class _HeldSubmission:
    """A submission beyond the credit. ``due``: when the owner stops waiting; ``until``: how long it may be held."""

    name: str
    task: common_pb2.Task
    due: float
    until: float
    repeat: bool


class OwnerLink:
    """``on_frame`` gets each placer frame once; ``on_session(resumed)`` each attach; ``on_down`` each broken stream.

    Submissions beyond the placer's credit are held here and sent newest first: they are held because of overload, in
    which the oldest would use up its time in the queue while those behind it become as old. A submission whose time
    expires here is refused here and never reaches the placer. An owner with other placers checks ``remaining_credit``
    first.
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
        """``keepalive_ms``: idle time before a ping; a placer ends idle sessions that ping more often than every 10
        s."""
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
        self.accepts_batches = True  # whether several refusals may come in one frame
        self.accepts_credit = True
        self.credit = 0  # submissions that may be without an outcome; 0: any number
        self.open: Counter[str] = Counter()  # by task: submissions without an outcome, sent or kept for the next stream
        self._open_count = 0
        self._held_submissions: list[_HeldSubmission] = []  # newest last
        self._due_by_seq: dict[int, float] = {}  # by sequence number: when the submission in the frame expires
        self._sweep_timer: Timer | None = None
        self._rng = loop.rng()
        self._ack_scheduled = False
        self.task: Task[None] = scope.spawn(self._keep_connected(), f"owner link {owner}")

    @property
    def up(self) -> bool:
        """Whether the session is attached and the placer takes calls."""
        return self.call is not None and self.connection is not None and not self.connection.draining

    @property
    def remaining_credit(self) -> int | None:
        """How many more submissions the placer takes now; None: any number."""
        return max(0, self.credit - self._open_count - len(self._held_submissions)) if self.credit else None

    @property
    def held_count(self) -> int:
        """How many submissions are held here."""
        return len(self._held_submissions)

    def submit(
        self, name: str, task: common_pb2.Task, left_ms: float, repeat: bool = False, hold_ms: float = math.inf
    ) -> None:
        """Submit a task that has ``left_ms`` to be placed.

        Held for longer than ``hold_ms`` it is refused here: to some owners an early answer is worth more than a late
        placement.
        """
        now = self.loop.now()
        due, until = now + left_ms, now + min(left_ms, hold_ms)
        if self.credit and self._open_count >= self.credit:
            self._held_submissions.append(_HeldSubmission(name, task, due, until, repeat))
            self._schedule_sweep(until)
        else:
            self._submit_now(name, task, due, repeat)

    def _submit_now(self, name: str, task: common_pb2.Task, due: float, repeat: bool) -> None:
        self.open[name] += 1
        self._open_count += 1
        submission = pb.Submission(task=task, left_ms=due - self.loop.now(), repeat=repeat)
        self._due_by_seq[self._send(pb.OwnerFrame(task=name, submit=submission))] = due

    def _record_outcome(self, name: str, retry_ms: float = 0.0) -> None:
        """Record the outcome of one submission.

        A refused one returns its credit only after its retry time: else the next held one would be sent and refused at
        once, and credit would limit nothing.
        """
        if not self.open[name]:
            return
        self.open[name] -= 1
        if not self.open[name]:
            del self.open[name]
        if not (self.credit and retry_ms > 0):
            self._open_count -= 1
            return
        session = self.session

        def return_credit() -> None:
            if self.session is session:
                self._open_count -= 1
                self._send_held()

        self.loop.call_later(retry_ms, return_credit)

    def _send_held(self) -> None:
        """Send held submissions as far as the credit allows."""
        now = self.loop.now()
        while self._held_submissions and (not self.credit or self._open_count < self.credit):
            held = self._held_submissions.pop()
            if held.until > now:
                self._submit_now(held.name, held.task, held.due, held.repeat)
            else:
                self._refuse_held(held)

    def _refuse_held(self, held: _HeldSubmission) -> None:
        self._on_frame(pb.PlacerFrame(task=held.name, refused=pb.Refused(why=HELD_BACK_TOO_LONG)))

    def _schedule_sweep(self, due: float) -> None:
        if self._sweep_timer is None:
            self._sweep_timer = self.loop.call_later(max(20.0, due - self.loop.now()), self._sweep_expired)

    def _sweep_expired(self) -> None:
        self._sweep_timer, now = None, self.loop.now()
        expired = [held for held in self._held_submissions if held.until <= now]
        self._held_submissions = [held for held in self._held_submissions if held.until > now]
        if self._held_submissions:
            self._schedule_sweep(min(held.until for held in self._held_submissions))
        for held in expired:
            self._refuse_held(held)

    def cancel(self, name: str) -> None:
        """Ask the placer to stop the task."""
        self._send(pb.OwnerFrame(task=name, cancel=pb.Cancel()))

    def hand_over(self, name: str, task: common_pb2.Task, machine: str) -> None:
        """Hand a running task on ``machine`` over to the placer."""
        self._send(pb.OwnerFrame(task=name, hand_over=pb.HandOver(task=task, machine=machine)))

    def _send(self, frame: pb.OwnerFrame) -> int:
        frame.seq = self.session.assign_seq(frame)
        if self.call is not None:
            frame.ack = self.session.ack()
            self.call.send(frame.SerializeToString())
        return frame.seq

    def _resend(self, call: ClientCall, seq: int, frame: pb.OwnerFrame) -> None:
        """Send a frame of an earlier stream, or of none, with the time that is left now: with the original ``left_ms``
        the placer would answer later than the owner waits. With no time left it is sent all the same, since frames are
        numbered without gaps, and is refused."""
        due = self._due_by_seq.get(seq)
        if due is not None:
            frame.submit.left_ms = max(0.0, due - self.loop.now())
        frame.seq, frame.ack = seq, self.session.ack()
        call.send(frame.SerializeToString())

    def _receive_frame(self, call: ClientCall, data: bytes) -> None:
        if call is not self.call:
            return
        frame = pb.PlacerFrame.FromString(data)
        if frame.WhichOneof("body") == "credit":
            self.credit = frame.credit.open
            self._send_held()
            return
        try:
            self.session.receive_ack(frame.ack)
            while self._due_by_seq and (first := next(iter(self._due_by_seq))) <= frame.ack:
                del self._due_by_seq[first]
            if not frame.seq or not self.session.accept(frame.seq):
                return
        except SessionBroken as error:
            call.cancel(Code.INTERNAL, str(error))
            return
        if not self._ack_scheduled and not self.hold_acks:
            self._ack_scheduled = True
            self.loop.call_later(ACK_DELAY_MS, self._send_ack)
        kind = frame.WhichOneof("body")
        if kind in OUTCOMES:
            self._record_outcome(frame.task, frame.refused.retry_after_ms if kind == "refused" else 0.0)
        if kind != "refused_all":
            self._on_frame(frame)
            self._send_held()
            return
        batch = frame.refused_all
        for task in batch.tasks:  # each with its own retry time
            wait = self._rng.uniform(batch.retry_from_ms, batch.retry_to_ms)
            self._record_outcome(task, wait)
            self._on_frame(pb.PlacerFrame(task=task, refused=pb.Refused(why=batch.why, retry_after_ms=wait)))
        self._send_held()

    def _send_ack(self) -> None:
        self._ack_scheduled = False
        if self.call is not None and self.session.ack_due and not self.hold_acks:
            self.call.send(pb.OwnerFrame(ack=self.session.ack()).SerializeToString())

    def _keep_connected(self) -> Co[None]:
        backoff_ms = 30.0
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
                backoff_ms = 30.0
                yield from call.wait_done()
            except Cancelled:
                if connection is not None:
                    connection.close()
                raise
            except (OSError, RpcError, TimedOut):
                pass
            finally:
                ended_call, self.call, self.connection = self.call, None, None
                if ended_call is not None:
                    self._on_down()
            if connection is not None:
                connection.close()
            yield from sleep(backoff_ms * self._rng.uniform(0.5, 1.0))
            backoff_ms = min(2 * backoff_ms, 500.0)

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
            raise RpcError(Code.UNAVAILABLE, "stream ended before the welcome")
        welcome = pb.PlacerFrame.FromString(data).welcome
        if welcome.resumed:
            unacknowledged = self.session.resume(welcome.last_seen)
        else:
            unacknowledged, self.session, self._token = [], Session(), welcome.session
            # The new session brings no outcomes of earlier submissions; the owner handles held ones along with them.
            self._due_by_seq.clear()
            self.open.clear()
            self._open_count, self._held_submissions = 0, []
        self.call, self.connection = call, connection
        self.number, self.incarnation = welcome.number, welcome.incarnation
        for seq, frame in unacknowledged:
            self._resend(call, seq, frame)
        self.credit = 0  # a credit applies to one stream; this stream sends its own
        call.deliver_to(lambda data: self._receive_frame(call, data))
        self._on_session(welcome.resumed)
        self._send_held()
        return call
