"""The bulletin's client: a long poll over HTTP/1.1, with h11.

One request is always pending: for the events after the last one that was applied. Where the response breaks off, does not
come or cannot be parsed, the request is sent again at once on a new connection; while that keeps failing, the delay between
requests doubles up to ``RETRY_MAX_MS``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import h11

from sprucepost.backoff import exponential_backoff
from sprucepost.loop import Closed, Co, Loop, Queue, Scope, Task, TimedOut, Transport, connect, current, sleep, within
from sprucepost.node.address_holders import Address
from sprucepost.node.bulletin import Bulletin, ListUpdate
from sprucepost.node.framing import Malformed

LONG_POLL_MS = 1000.0  # how long the bulletin may hold a request; a silent bulletin is noticed soon after
ANSWER_GRACE_MS = 400.0  # for the response after that
RETRY_MS = 50.0  # before a request that follows a failed one, doubled for each earlier failure
RETRY_MAX_MS = 800.0  # two retries in 2 s: by then the platform takes the events of a broken response as delivered
BODY_MEMORY_DIVISOR = 16  # share of the process's memory for one response, which may hold all events since the start


class Feed:
    """Polls the bulletin; ``on_update`` gets what each response has changed. Timeouts are in ms, ``body_most`` in bytes."""

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        bulletin: Bulletin,
        address: Address,
        connect_ms: float,
        body_most: int,
        on_update: Callable[[ListUpdate], None],
        log: Callable[..., None],
        counters: Counter[str],
    ) -> None:
        self._loop, self._scope, self.bulletin, self.address = loop, scope, bulletin, address
        self._connect_ms, self._body_most = connect_ms, body_most
        self._on_update, self._log, self.counters = on_update, log, counters
        self._rng = loop.rng()
        self._task: Task[None] | None = None
        self._failures = 0
        self.last_answer_at = 0.0  # when the latest response was applied, in ms of the loop's clock; 0 before the first

    def start(self) -> None:
        """Start polling."""
        if self._task is None:
            self._task = self._scope.spawn(self._run(), "bulletin")

    def change_address(self, address: Address) -> None:
        """Poll the bulletin at another address from now on."""
        if address == self.address:
            return
        self.address = address
        self._failures = 0
        if self._task is not None:
            task, self._task = self._task, None
            task.cancel(None)
            self.start()

    def _run(self) -> Co[None]:
        """Poll forever, with a jittered exponential backoff after failures."""
        task = yield from current()
        while True:
            try:
                yield from self._poll(task)
            except (OSError, TimedOut, Malformed, Closed, h11.RemoteProtocolError) as error:
                self._failures += 1
                self.counters["bulletin_failed"] += 1
                self._log("bulletin_failed", why=str(error) or type(error).__name__, held=self.bulletin.last_number)
            earlier_failures = max(0, self._failures - 1)
            delay_ms = exponential_backoff(RETRY_MS, earlier_failures, RETRY_MAX_MS) * self._rng.uniform(0.5, 1.0)
            yield from sleep(delay_ms if earlier_failures else 0.0)

    def _poll(self, task: Task[Any]) -> Co[None]:
        """Send requests on one connection until one fails or the peer ends it."""
        transport = yield from connect(self._loop, task, self.address, self._connect_ms)
        chunks: Queue[bytes] = Queue(64)
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)

        def receive(data: bytes) -> None:
            if len(chunks) < 64:
                chunks.put_now(data)
            else:
                transport.abort()
                chunks.close()

        transport.on_data, transport.on_end = receive, chunks.close
        transport.on_lost = lambda error: chunks.close()
        transport.start()
        try:
            while True:
                body = yield from within(task, LONG_POLL_MS + ANSWER_GRACE_MS, self._request(transport, http, chunks))
                update = self.bulletin.apply_json(body)
                self._failures = 0
                if update is not None:
                    self._on_update(update)
                self.last_answer_at = self._loop.now()
                if update is None:
                    # A bulletin that answers at once with nothing new must not make this a busy loop.
                    yield from sleep(RETRY_MS)
                if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                    return
                http.start_next_cycle()
        finally:
            transport.abort()

    def _request(self, transport: Transport, http: h11.Connection, chunks: Queue[bytes]) -> Co[bytes]:
        """Send one request and return the body of its response."""
        target = f"/bulletins?after={self.bulletin.last_number}&patience={LONG_POLL_MS:.0f}"
        host = f"{self.address[0]}:{self.address[1]}"
        request = h11.Request(method="GET", target=target, headers=[("host", host), ("accept", "application/json")])
        transport.write((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
        body: list[bytes] = []
        size = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                try:
                    http.receive_data((yield from chunks.get()))
                except Closed:
                    http.receive_data(b"")
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
                raise Malformed("the response broke off")
