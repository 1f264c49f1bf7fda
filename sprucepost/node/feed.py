"""The long poll of the bulletin, over HTTP/1.1 on h11.

One question is always out: for what came after the last event held whole. Where the answer breaks off, stays away or
cannot be read, the question is asked again at once on a new connection, and less and less often while that fails.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import h11

from sprucepost.loop import Closed, Co, Loop, Queue, Scope, Task, TimedOut, Transport, connect, current, sleep, within
from sprucepost.node.bulletin import Address, Bulletin, ListUpdate
from sprucepost.node.framing import Malformed

LONG_POLL_MS = 1000.0  # the wait that is asked for: a bulletin that fell silent is noticed not much later
ANSWER_GRACE_MS = 400.0  # for the answer after that
RETRY_MS = 50.0  # before a question that follows one that failed, doubled for each before
RETRY_MAX_MS = 800.0  # twice within the 2 s after which what a broken answer would have told counts as told
BODY_MEMORY_DIVISOR = (
    16  # of the process's memory, that many'th part for one answer: all events since the start may come in one
)


class Feed:
    """``told`` gets what each answer has changed."""

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        bulletin: Bulletin,
        address: Address,
        connect_ms: float,
        body_most: int,
        told: Callable[[ListUpdate], None],
        log: Callable[..., None],
        counters: Counter[str],
    ) -> None:
        self._loop, self._scope, self.bulletin, self.address = loop, scope, bulletin, address
        self._connect_ms, self._body_most = connect_ms, body_most
        self._told, self._log, self.counters = told, log, counters
        self._rng = loop.rng()
        self._task: Task[None] | None = None
        self._failures = 0
        self.last_answer_at = (
            0.0  # when the latest answer was read whole, in ms of the loop's clock; 0 before the first
        )

    def start(self) -> None:
        """Ask from now on."""
        if self._task is None:
            self._task = self._scope.spawn(self._run(), "bulletin")

    def change_address(self, address: Address) -> None:
        """The bulletin is at another address from now on."""
        if address == self.address:
            return
        self.address = address
        self._failures = 0
        if self._task is not None:
            task, self._task = self._task, None
            task.cancel(None)
            self.start()

    def _run(self) -> Co[None]:
        task = yield from current()
        while True:
            try:
                yield from self._ask(task)
            except (OSError, TimedOut, Malformed, Closed, h11.RemoteProtocolError) as error:
                self._failures += 1
                self.counters["bulletin_failed"] += 1
                self._log("bulletin_failed", why=str(error) or type(error).__name__, held=self.bulletin.last_number)
            pause = min(RETRY_MS * 2.0 ** (self._failures - 1), RETRY_MAX_MS) * self._rng.uniform(0.5, 1.0)
            yield from sleep(pause if self._failures > 1 else 0.0)

    def _ask(self, task: Task[Any]) -> Co[None]:
        """Questions on one connection, until one fails."""
        transport = yield from connect(self._loop, task, self.address, self._connect_ms)
        chunks: Queue[bytes] = Queue(64)
        machine = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)

        def take(data: bytes) -> None:
            if len(chunks) < 64:
                chunks.put_now(data)
            else:
                transport.abort()
                chunks.close()

        transport.on_data, transport.on_end = take, chunks.close
        transport.on_lost = lambda error: chunks.close()
        transport.start()
        try:
            while True:
                body = yield from within(
                    task, LONG_POLL_MS + ANSWER_GRACE_MS, self._question(transport, machine, chunks)
                )
                told = self.bulletin.apply_json(body)
                self._failures = 0
                if told is not None:
                    self._told(told)
                self.last_answer_at = self._loop.now()
                if told is None:
                    yield from sleep(RETRY_MS)  # one that answers at once with nothing new must not keep us busy
                if machine.our_state is not h11.DONE or machine.their_state is not h11.DONE:
                    return
                machine.start_next_cycle()
        finally:
            transport.abort()

    def _question(self, transport: Transport, machine: h11.Connection, chunks: Queue[bytes]) -> Co[bytes]:
        target = f"/bulletins?after={self.bulletin.last_number}&patience={LONG_POLL_MS:.0f}"
        host = f"{self.address[0]}:{self.address[1]}"
        request = h11.Request(method="GET", target=target, headers=[("host", host), ("accept", "application/json")])
        transport.write((machine.send(request) or b"") + (machine.send(h11.EndOfMessage()) or b""))
        body: list[bytes] = []
        size = 0
        while True:
            event = machine.next_event()
            if event is h11.NEED_DATA:
                try:
                    machine.receive_data((yield from chunks.get()))
                except Closed:
                    machine.receive_data(b"")
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise Malformed(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._body_most:
                    raise Malformed(f"more than {self._body_most} bytes")
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(body)
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise Malformed("the answer broke off")
