"""The streams that carry a view: dialled and taken on the placer's own gRPC port, ticked by the loop."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.loop import Address, Co, Loop, Scope, TimedOut, Timer
from sprucepost.peers.codec import Malformed, encode, parse, word_of
from sprucepost.peers.configuration import ConfigurationCarrier
from sprucepost.peers.configuration_codec import message_of
from sprucepost.v1 import peer_pb2 as pb
from sprucepost.view import Record, View
from sprucepost.view.messages import Action, Close, Dial, Heartbeat, Send, ViewChanged
from sprucepost.view.view import IDLE_TICK_MS, TICK_MS
from sprucepost.wire.call import Call
from sprucepost.wire.client import ClientConnection, open_client
from sprucepost.wire.connection import Options
from sprucepost.wire.server import Method, ServerCall
from sprucepost.wire.status import Code, RpcError

PATH = "/sprucepost.v1.Peer/Watch"
CONNECT_MS = 1000.0
MESSAGE_MOST = 262_144  # bytes of one frame: 64 records of a member with twenty streams are a tenth of it
BEHIND_MOST = 1_048_576  # bytes that a peer may leave unread
STREAMS_MOST = 512  # streams at a time, those of others included: 350 that join by one seed at once fit


class _Link:
    """One stream: a call, and the connection where it was dialled."""

    def __init__(self, call: Call, connection: ClientConnection | None) -> None:
        self.call, self.connection = call, connection

    def close(self) -> None:
        if self.connection is not None:
            self.connection.abort("not wanted")
        elif isinstance(self.call, ServerCall):
            self.call.finish(RpcError(Code.UNAVAILABLE, "not wanted"))


class Peers:
    """Carries one member's view, and where ``configuration`` is given its messages too. ``changed`` hears of each step,
    ``looked`` is called after each tick."""

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        record: Record,
        cluster: str,
        settings: str,
        seeds: tuple[str, ...],
        source: str | None,
        changed: Callable[[ViewChanged], None],
        looked: Callable[[], None],
        log: Callable[..., None],
        configuration: ConfigurationCarrier | None = None,
        fixed_settings: str = "",
    ) -> None:
        self._loop, self._scope, self._source = loop, scope, source
        self._changed, self._looked, self._log = changed, looked, log
        self.view = View(record, cluster, settings, seeds, loop.rng(), loop.now(), fixed_settings)
        self._configuration = configuration
        if configuration is not None:
            configuration.transmit = self._transmit
        self.counters: Counter[str] = Counter()
        self._links: dict[int, _Link] = {}
        self._number = 0
        self._stopped = False
        self._next: Timer | None = None  # the next tick
        self._soon = False  # whether that is as early as can be

    def methods(self) -> dict[str, Method]:
        """What the gRPC port serves."""
        return {PATH: Method(attach=self._taken)}

    def start(self) -> None:
        """Tick from now on."""
        self._tick()

    def stop(self) -> None:
        """Tell the others, and end the streams once that is out."""
        if not self._stopped:
            self._carry(self.view.leave())
            self._stopped = True
            self._loop.call_later(TICK_MS, self._end)

    def _end(self) -> None:
        for link in list(self._links.values()):
            link.close()

    def _tick(self) -> None:
        if not self._stopped:
            self._soon = True
            self._carry(self.view.tick(self._loop.now()))
            self._looked()
            if self._configuration is not None:
                self._configuration.tick()
            self._soon = self.view.is_changing
            self._next = self._loop.call_later(TICK_MS if self._soon else IDLE_TICK_MS, self._tick)

    # Streams

    def _taken(self, call: ServerCall) -> None:
        if len(self._links) >= STREAMS_MOST or self._stopped:
            self.counters["turned_away"] += 1
            call.finish(RpcError(Code.RESOURCE_EXHAUSTED, "too many peers"))
            return
        call.send_initial_metadata()
        self._add(_Link(call, None), None)

    def _dial(self, dial: Dial) -> Co[None]:
        dialled = dial.name or dial.address
        try:
            host, _, port = dial.address.rpartition(":")
            address: Address = (host, int(port))
            options = Options(max_message_bytes=MESSAGE_MOST)
            connection = yield from open_client(self._loop, address, CONNECT_MS, options, self._source)
            try:
                call = connection.call(PATH)
            except RpcError:
                connection.abort("takes no call")
                raise
        except (OSError, TimedOut, RpcError, ValueError) as error:
            self.counters["dial_failed"] += 1
            self._log("peer_not_connected", peer=dialled, why=str(error) or type(error).__name__)
            self._carry(self.view.dial_failed(self._loop.now(), dialled))
            return
        self._add(_Link(call, connection), dialled)

    def _add(self, link: _Link, dialled: str | None) -> None:
        self._number += 1
        number = self._number
        self._links[number] = link
        link.call.on_message = lambda data: self._heard(number, data)
        link.call.on_end = lambda: self._over(number)
        link.call.on_done = lambda status: self._over(number)
        self._carry(self.view.stream_opened(self._loop.now(), number, dialled))

    def _heard(self, number: int, data: bytes) -> None:
        self.counters["messages_in"] += 1
        self.counters["bytes_in"] += len(data)
        try:
            frame = parse(data)
            word = word_of(frame)
            if word is not None:
                self._carry(self.view.message_received(self._loop.now(), number, word))
            if self._configuration is not None:
                self._heard_configuration(self._configuration, number, frame)
        except Malformed as error:
            self.counters["malformed"] += 1
            self._log("peer_malformed", why=str(error))
            self._over(number)

    def _heard_configuration(self, configuration: ConfigurationCarrier, number: int, frame: pb.PeerFrame) -> None:
        stream = self.view.streams.get(number)
        if number not in self._links or stream is None or not stream.name:
            return  # ended, or not past its greeting
        message = message_of(frame)
        if message is not None:
            configuration.heard(number, message)

    def _over(self, number: int) -> None:
        if number in self._links:
            self._drop(number)
            self._carry(self.view.stream_ended(self._loop.now(), number))

    def _drop(self, number: int) -> None:
        link = self._links.pop(number, None)
        if self._configuration is not None:
            self._configuration.ended(number)
        if link is not None:
            link.close()

    def _carry(self, actions: list[Action]) -> None:
        if self.view.is_changing and not self._soon and self._next is not None:
            self._next.cancel()
            self._soon = True
            self._next = self._loop.call_later(TICK_MS, self._tick)
        for action in actions:
            if isinstance(action, Send):
                digest = None
                if self._configuration is not None and isinstance(action.word, Heartbeat):
                    digest = self._configuration.digest()
                self._transmit(action.stream, encode(action.word, digest))
            elif isinstance(action, Dial):
                self._scope.spawn(self._dial(action), f"peer {action.name or action.address}")
            elif isinstance(action, Close):
                self._log("peer_closed", why=action.why)
                self._drop(action.stream)
            else:
                self._changed(action)

    def _transmit(self, number: int, data: bytes) -> None:
        """Send a frame; a peer that leaves too much unread loses the stream."""
        link = self._links.get(number)
        if link is None or link.call.end_status is not None:
            return
        if link.call.unsent_bytes > BEHIND_MOST:
            self.counters["behind"] += 1
            self._loop.call_soon(lambda: self._over(number))
            return
        self.counters["messages_out"] += 1
        self.counters["bytes_out"] += len(data)
        link.call.send(data)
