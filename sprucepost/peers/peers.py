"""The streams between placers: opened by this placer or accepted on its gRPC port, and driven by the event loop."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.loop import Address, Co, Loop, Scope, TimedOut, Timer
from sprucepost.peers.codec import MalformedMessageError, encode, parse, view_message_of
from sprucepost.peers.configuration_codec import configuration_message_of
from sprucepost.peers.configuration_transport import ConfigurationTransport
from sprucepost.v1 import peer_pb2 as pb
from sprucepost.view import Record, View
from sprucepost.view.messages import Action, Close, Dial, Heartbeat, Send, ViewChanged
from sprucepost.view.view import IDLE_TICK_MS, TICK_MS
from sprucepost.wire.call import Call
from sprucepost.wire.client import ClientConnection, open_client
from sprucepost.wire.connection import Options
from sprucepost.wire.server import Method, ServerCall
from sprucepost.wire.status import Code, RpcError

WATCH_PATH = "/sprucepost.v1.Peer/Watch"
CONNECT_TIMEOUT_MS = 1000.0
MAX_FRAME_BYTES = 262_144  # 64 records of members with twenty streams each take a tenth of it
MAX_UNSENT_BYTES = 1_048_576  # to one peer; a peer that reads too slowly loses the stream
MAX_STREAMS = 512  # incoming ones included; allows 350 members to join through one seed at once


class _Stream:
    """One stream: its call and, if this placer opened it, its connection."""

    def __init__(self, call: Call, connection: ClientConnection | None) -> None:
        self.call, self.connection = call, connection

    def close(self) -> None:
        if self.connection is not None:
            self.connection.abort("not wanted")
        elif isinstance(self.call, ServerCall):
            self.call.finish(RpcError(Code.UNAVAILABLE, "not wanted"))


class Peers:
    """Runs the streams of one member: performs the view's actions and delivers the messages of its peers.

    With ``configuration``, the streams also carry the messages of the configuration replica. ``on_change`` is called
    with each change of the view, ``on_tick`` after each tick, ``log`` with the events of the streams.
    """

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        record: Record,
        cluster: str,
        settings: str,
        seeds: tuple[str, ...],
        source: str | None,
        on_change: Callable[[ViewChanged], None],
        on_tick: Callable[[], None],
        log: Callable[..., None],
        configuration: ConfigurationTransport | None = None,
        fixed_settings: str = "",
    ) -> None:
        self._loop, self._scope, self._source = loop, scope, source
        self._on_change, self._on_tick, self._log = on_change, on_tick, log
        self.view = View(record, cluster, settings, seeds, loop.rng(), loop.now(), fixed_settings)
        self._configuration = configuration
        if configuration is not None:
            configuration.transmit = self._transmit
        self.counters: Counter[str] = Counter()
        self._streams: dict[int, _Stream] = {}
        self._last_stream_id = 0
        self._stopped = False
        self._next_tick: Timer | None = None  # timer of the next tick
        self._next_tick_is_soon = False  # whether it is due after TICK_MS, not IDLE_TICK_MS

    def methods(self) -> dict[str, Method]:
        """Returns the methods for the placer's gRPC server."""
        return {WATCH_PATH: Method(attach=self._accept)}

    def start(self) -> None:
        """Starts the periodic ticks."""
        self._tick()

    def stop(self) -> None:
        """Announces that this member leaves, and closes the streams a tick later, once that is sent."""
        if not self._stopped:
            self._perform(self.view.leave())
            self._stopped = True
            self._loop.call_later(TICK_MS, self._close_all)

    def _close_all(self) -> None:
        for stream in list(self._streams.values()):
            stream.close()

    def _tick(self) -> None:
        if not self._stopped:
            self._next_tick_is_soon = True
            self._perform(self.view.tick(self._loop.now()))
            self._on_tick()
            if self._configuration is not None:
                self._configuration.tick()
            self._next_tick_is_soon = self.view.is_changing
            self._next_tick = self._loop.call_later(TICK_MS if self._next_tick_is_soon else IDLE_TICK_MS, self._tick)

    # Streams

    def _accept(self, call: ServerCall) -> None:
        if len(self._streams) >= MAX_STREAMS or self._stopped:
            self.counters["turned_away"] += 1
            call.finish(RpcError(Code.RESOURCE_EXHAUSTED, "too many peers"))
            return
        call.send_initial_metadata()
        self._add(_Stream(call, None), None)

    def _dial(self, dial: Dial) -> Co[None]:
        target = dial.name or dial.address
        try:
            host, _, port = dial.address.rpartition(":")
            address: Address = (host, int(port))
            options = Options(max_message_bytes=MAX_FRAME_BYTES)
            connection = yield from open_client(self._loop, address, CONNECT_TIMEOUT_MS, options, self._source)
            try:
                call = connection.call(WATCH_PATH)
            except RpcError:
                connection.abort("takes no call")
                raise
        except (OSError, TimedOut, RpcError, ValueError) as error:
            self.counters["dial_failed"] += 1
            self._log("peer_not_connected", peer=target, why=str(error) or type(error).__name__)
            self._perform(self.view.dial_failed(self._loop.now(), target))
            return
        self._add(_Stream(call, connection), target)

    def _add(self, stream: _Stream, dialled: str | None) -> None:
        self._last_stream_id += 1
        stream_id = self._last_stream_id
        self._streams[stream_id] = stream
        stream.call.on_message = lambda data: self._on_frame(stream_id, data)
        stream.call.on_end = lambda: self._stream_ended(stream_id)
        stream.call.on_done = lambda status: self._stream_ended(stream_id)
        self._perform(self.view.stream_opened(self._loop.now(), stream_id, dialled))

    def _on_frame(self, stream_id: int, data: bytes) -> None:
        self.counters["messages_in"] += 1
        self.counters["bytes_in"] += len(data)
        try:
            frame = parse(data)
            message = view_message_of(frame)
            if message is not None:
                self._perform(self.view.message_received(self._loop.now(), stream_id, message))
            if self._configuration is not None:
                self._on_configuration_frame(self._configuration, stream_id, frame)
        except MalformedMessageError as error:
            self.counters["malformed"] += 1
            self._log("peer_malformed", why=str(error))
            self._stream_ended(stream_id)

    def _on_configuration_frame(
        self, configuration: ConfigurationTransport, stream_id: int, frame: pb.PeerFrame
    ) -> None:
        member = self.view.streams.get(stream_id)
        if stream_id not in self._streams or member is None or not member.name:
            return  # closed, or its handshake is not complete
        message = configuration_message_of(frame)
        if message is not None:
            configuration.handle_message(stream_id, message)

    def _stream_ended(self, stream_id: int) -> None:
        if stream_id in self._streams:
            self._remove_stream(stream_id)
            self._perform(self.view.stream_ended(self._loop.now(), stream_id))

    def _remove_stream(self, stream_id: int) -> None:
        stream = self._streams.pop(stream_id, None)
        if self._configuration is not None:
            self._configuration.stream_closed(stream_id)
        if stream is not None:
            stream.close()

    def _perform(self, actions: list[Action]) -> None:
        if self.view.is_changing and not self._next_tick_is_soon and self._next_tick is not None:
            self._next_tick.cancel()
            self._next_tick_is_soon = True
            self._next_tick = self._loop.call_later(TICK_MS, self._tick)
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
                self._remove_stream(action.stream)
            else:
                self._on_change(action)

    def _transmit(self, stream_id: int, data: bytes) -> None:
        """Sends a frame; closes the stream if too much is unsent."""
        stream = self._streams.get(stream_id)
        if stream is None or stream.call.end_status is not None:
            return
        if stream.call.unsent_bytes > MAX_UNSENT_BYTES:
            self.counters["behind"] += 1
            self._loop.call_soon(lambda: self._stream_ended(stream_id))
            return
        self.counters["messages_out"] += 1
        self.counters["bytes_out"] += len(data)
        stream.call.send(data)
