"""One end of an HTTP/2 connection without I/O: it takes bytes and produces callbacks and bytes.

h2 is the state machine. DATA frames, which are nearly all frames of a long stream, bypass it: h2 spends several times
the cost of the rest of the path on each (parsing, state, events, windows that must be acknowledged through it). This
module parses them, checks them against its own receive windows and passes them on; for a DATA frame that ends its stream,
h2 gets an empty one. WINDOW_UPDATE frames, of which gRPC clients send two per message, bypass h2 too. Outgoing DATA uses
h2's outbound windows: h2 changes them at SETTINGS, this module at WINDOW_UPDATE and DATA.
"""

from __future__ import annotations

import struct
from typing import Protocol

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from h2.settings import SettingCodes
from h2.stream import StreamState

from sprucepost.wire import fields, frames
from sprucepost.wire.frames import (
    ACK,
    CONTINUATION,
    DATA,
    END_HEADERS,
    END_STREAM,
    GOAWAY,
    HEADERS,
    MAX_FRAME_BYTES,
    MAX_UINT31,
    NAMES,
    PADDED,
    PING,
    PREFACE,
    PRIORITY,
    SETTINGS,
    WINDOW_UPDATE,
    WITH_PRIORITY,
)
from sprucepost.wire.metadata import Headers
from sprucepost.wire.rate_limits import FrameBudget, PingPolicy

_GOAWAY_PREFIX = struct.Struct(">II")
Code = h2.errors.ErrorCodes
_SECTION_KINDS = {
    h2.events.RequestReceived: fields.SectionKind.REQUEST,
    h2.events.ResponseReceived: fields.SectionKind.RESPONSE,
    h2.events.TrailersReceived: fields.SectionKind.TRAILERS,
}


class Http2Error(Exception):
    """The peer violated the protocol or a limit: the connection ends. ``name`` is the name of the counter."""

    def __init__(self, name: str, text: str, code: int = Code.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.name, self.code = name, code


class EventHandler(Protocol):
    """Receives the events of a connection in their order.

    ``on_error`` reports a stream that this end reset, with the counter's name. ``on_window`` is called when a send window
    may have grown, also at the peer's SETTINGS.
    """

    def on_headers(self, stream: int, headers: Headers, end: bool) -> None: ...
    def on_data(self, stream: int, data: bytes, end: bool) -> None: ...
    def on_reset(self, stream: int, code: int) -> None: ...
    def on_error(self, stream: int, name: str, code: int) -> None: ...
    def on_window(self) -> None: ...
    def on_goaway(self, code: int, last_stream: int, text: bytes) -> None: ...
    def on_ping_ack(self, payload: bytes) -> None: ...


class Http2Endpoint:
    """One end of a connection.

    Call :meth:`receive` with bytes and the time (ms), then send what :meth:`outgoing` returns. Http2Error from
    ``receive`` ends the connection; ``outgoing`` then holds a GOAWAY with the reason. ``stream_window`` and
    ``connection_window`` are the receive windows in bytes. A stream's window is returned by :meth:`consumed`, the
    connection's as bytes arrive.
    """

    def __init__(
        self,
        handler: EventHandler,
        client: bool,
        now: float,
        max_streams: int = 100,
        stream_window: int = 262_144,
        connection_window: int = 1_048_576,
        max_header_bytes: int = 16_384,
        ping_policy: PingPolicy | None = None,
    ) -> None:
        config = h2.config.H2Configuration(client_side=client, header_encoding=False, validate_inbound_headers=False)
        self._h2 = h2.connection.H2Connection(config)
        self._client, self._handler = client, handler
        self._h2.local_settings = h2.settings.Settings(
            client=client,
            initial_values={
                SettingCodes.ENABLE_PUSH: 0,
                SettingCodes.MAX_CONCURRENT_STREAMS: max_streams,
                SettingCodes.INITIAL_WINDOW_SIZE: stream_window,
                SettingCodes.MAX_HEADER_LIST_SIZE: max_header_bytes,
                SettingCodes.MAX_FRAME_SIZE: MAX_FRAME_BYTES,
            },
        )
        self._fields = self._h2.decoder = fields.FieldDecoder(client, max_header_bytes)
        self._stream_window, self._connection_window = stream_window, connection_window
        self._max_header_bytes = max_header_bytes
        self._input = bytearray()
        self._output: list[bytes] = []
        self._preface = b"" if client else PREFACE
        self._settings_received = False  # whether the peer's SETTINGS, its first frame, has arrived
        self._remaining_body: dict[int, int] = {}  # missing bytes of the declared content-length, by stream
        self._unended_trailers: set[int] = set()  # streams with a second field section that lacks END_STREAM
        self._header_block_bytes = 0  # size so far of an incomplete header block; 0 outside one
        self._consumed_bytes: dict[int, int] = {}  # consumed and not yet returned by WINDOW_UPDATE, by stream
        self._receive_windows: dict[int, int] = {}  # bytes that the peer may still send, by open stream
        self._receive_window = connection_window
        self._last_peer_stream = 0  # highest stream that the peer opened
        self._budget, self._ping_policy = FrameBudget(now), ping_policy
        self._goaway_sent = False
        self._send_window_opened = False  # whether a send window grew since the handler was notified
        self._h2.initiate_connection()
        self._collect_output()
        if connection_window > 65_535:
            self._output.append(frames.window_update(0, connection_window - 65_535))

    # Receiving

    def receive(self, data: bytes, now: float) -> None:
        """Process bytes from the peer. Http2Error if they end the connection."""
        buffer = self._input
        buffer += data
        if self._preface:
            head = bytes(buffer[: len(PREFACE)])
            if head != PREFACE[: len(head)]:
                method = head.split(b" ", 1)[0]
                http1_methods = (b"GET", b"POST", b"HEAD", b"PUT", b"OPTIONS", b"DELETE", b"PATCH", b"CONNECT")
                raise Http2Error("http1" if method in http1_methods else "preface", "not an HTTP/2 preface")
            if len(head) < len(PREFACE):
                return
            self._h2.receive_data(PREFACE)
            del buffer[: len(PREFACE)]
            self._preface = b""
        at = 0
        try:
            while len(buffer) - at >= 9:
                size = (buffer[at] << 16) | (buffer[at + 1] << 8) | buffer[at + 2]
                if size > MAX_FRAME_BYTES:
                    raise Http2Error("frame_size", f"frame of {size} bytes", Code.FRAME_SIZE_ERROR)
                end = at + 9 + size
                if len(buffer) < end:
                    break
                kind, flags = buffer[at + 3], buffer[at + 4]
                stream = int.from_bytes(buffer[at + 5 : at + 9], "big") & MAX_UINT31
                # Nearly all frames are DATA on a stream, and their header cannot be invalid.
                header_error = None if kind == DATA and stream else frames.find_header_error(kind, flags, stream, size)
                if header_error is not None:
                    raise Http2Error("protocol", header_error[1], header_error[0])
                if not self._settings_received:
                    if kind != SETTINGS or flags & ACK:
                        raise Http2Error("preface", "SETTINGS must come first")
                    self._settings_received = True
                if kind == DATA and not self._header_block_bytes:
                    payload, at = bytes(buffer[at + 9 : end]), end
                    self._handle_data_frame(stream, flags, payload, now)
                elif kind == WINDOW_UPDATE and not self._header_block_bytes:
                    increment = int.from_bytes(buffer[at + 9 : end], "big")
                    at = end
                    if not self._budget.spend(now):
                        raise Http2Error("flood_window_update", "too many WINDOW_UPDATE frames", Code.ENHANCE_YOUR_CALM)
                    self._increase_send_window(stream, increment & MAX_UINT31, now)
                else:
                    frame, at = bytes(buffer[at:end]), end
                    self._handle_control_frame(kind, flags, frame, now)
            if self._send_window_opened:
                self._send_window_opened = False
                self._handler.on_window()
        except Http2Error as error:
            self.close(error.code, str(error).encode())
            raise
        finally:
            del buffer[:at]

    def _increase_send_window(self, stream: int, increment: int, now: float) -> None:
        """Allow ``increment`` more bytes of DATA on the stream, or on the connection if ``stream`` is 0."""
        self._send_window_opened = True
        if not stream:
            if not increment:
                raise Http2Error("protocol", "WINDOW_UPDATE by 0")
            self._h2.outbound_flow_control_window += increment
            if self._h2.outbound_flow_control_window > MAX_UINT31:
                raise Http2Error("window", "the connection's window overflows", Code.FLOW_CONTROL_ERROR)
            return
        state = self._h2.streams.get(stream)
        if state is None:
            if (stream % 2 == 1) != self._client and stream > self._last_peer_stream:
                raise Http2Error("protocol", "WINDOW_UPDATE on a stream that is not open")
            return  # already closed
        if not increment:
            self._stream_error(stream, "window_by_0", Code.PROTOCOL_ERROR, now)
            return
        if state.outbound_flow_control_window + increment > MAX_UINT31:
            # Not added: h2 keeps a stream that is reset, so the next SETTINGS would overflow and end the connection.
            self._stream_error(stream, "window", Code.FLOW_CONTROL_ERROR, now)
            return
        state.outbound_flow_control_window += increment

    def _stream_error(self, stream: int, name: str, code: int, now: float) -> None:
        """Reset one stream on which the peer violated the protocol; the connection continues.

        This costs the peer's budget as much as its own RST_STREAM. Otherwise a peer that makes this end reset its
        streams could open any number of them despite the limit on concurrent streams.
        """
        if not self._budget.spend(now):
            raise Http2Error("flood_stream_errors", "too many broken streams", Code.ENHANCE_YOUR_CALM)
        self.reset(stream, code)
        self._handler.on_error(stream, name, code)

    def _handle_data_frame(self, stream: int, flags: int, payload: bytes, now: float) -> None:
        size, data = len(payload), payload
        if flags & PADDED:
            if not size or payload[0] >= size:
                raise Http2Error("padding", "DATA with more padding than data")
            data = payload[1 : size - payload[0]]
        if data:
            self._budget.earn()
        elif not flags & END_STREAM and not self._budget.spend(now):
            raise Http2Error("flood_data", "too many empty DATA frames", Code.ENHANCE_YOUR_CALM)
        self._receive_window -= size
        if self._receive_window < 0:
            raise Http2Error("window", "DATA beyond the connection's window", Code.FLOW_CONTROL_ERROR)
        left = self._receive_windows.get(stream)
        if left is None:
            if (not self._client and stream > self._last_peer_stream) or (self._client and stream % 2 == 0):
                raise Http2Error("protocol", "DATA on a stream that is not open")
            state = self._h2.streams.get(stream)
            if state is not None and state.state_machine.state is StreamState.HALF_CLOSED_REMOTE:
                self._stream_error(stream, "stream_closed", Code.STREAM_CLOSED, now)
            # DATA on a stream that this end closed still uses the connection's window.
            self._replenish_connection_window()
            return
        if size > left:
            raise Http2Error("window", "DATA beyond the stream's window", Code.FLOW_CONTROL_ERROR)
        self._receive_windows[stream] = left - size
        self._replenish_connection_window()
        if padding := size - len(data):
            self.consumed(stream, padding)
        if stream in self._remaining_body:
            self._remaining_body[stream] -= len(data)
            if self._remaining_body[stream] < 0 or (flags & END_STREAM and self._remaining_body[stream]):
                self._stream_error(stream, "content_length", Code.PROTOCOL_ERROR, now)
                return
        if flags & END_STREAM:
            self._receive_windows.pop(stream, None)
            self._remaining_body.pop(stream, None)
            self._feed_h2(struct.pack(">IBI", DATA, END_STREAM, stream))
            self._collect_output()
            self._handler.on_data(stream, data, True)
        else:
            self._handler.on_data(stream, data, False)

    def _replenish_connection_window(self) -> None:
        """Return the connection's window as bytes arrive, so that unread bytes of one stream do not stop the others."""
        used = self._connection_window - self._receive_window
        if used * 2 >= self._connection_window:
            self._receive_window += used
            self._output.append(frames.window_update(0, used))

    def consumed(self, stream: int, size: int) -> None:
        """Return ``size`` bytes of the stream's window to the peer, as its DATA was processed."""
        left = self._receive_windows.get(stream)
        if left is None or size <= 0:
            return
        consumed = self._consumed_bytes.get(stream, 0) + size
        if consumed * 2 >= self._stream_window:
            self._consumed_bytes.pop(stream, None)
            self._receive_windows[stream] = left + consumed
            self._output.append(frames.window_update(stream, consumed))
        else:
            self._consumed_bytes[stream] = consumed

    def _handle_control_frame(self, kind: int, flags: int, frame: bytes, now: float) -> None:
        if self._header_block_bytes:
            self._header_block_bytes += len(frame)
            if self._header_block_bytes > 2 * self._max_header_bytes:
                raise Http2Error("headers", "header block too large", Code.ENHANCE_YOUR_CALM)
            if kind == CONTINUATION and flags & END_HEADERS:
                self._header_block_bytes = 0
        elif kind == HEADERS and not flags & END_HEADERS:
            self._header_block_bytes = len(frame)
        # HEADERS cost nothing, as the limit on open streams bounds them, but they earn nothing either: otherwise
        # opening and resetting streams in turn would pay for itself (rapid reset).
        if kind != HEADERS and not self._budget.spend(now):
            name = NAMES[kind] if kind < len(NAMES) else "UNKNOWN"
            raise Http2Error(f"flood_{name.lower()}", f"too many {name} frames", Code.ENHANCE_YOUR_CALM)
        if (
            kind == PING
            and not flags & ACK
            and self._ping_policy is not None
            and not self._ping_policy.allow_ping(now, len(self._receive_windows))
        ):
            raise Http2Error("too_many_pings", "too_many_pings", Code.ENHANCE_YOUR_CALM)
        if kind == GOAWAY and not self._header_block_bytes:
            # Kept from h2, which treats a GOAWAY as the end of the connection; open calls continue after it.
            last_stream, code = _GOAWAY_PREFIX.unpack_from(frame, 9)
            self._handler.on_goaway(code, last_stream & MAX_UINT31, frame[17:])
            return
        if kind == PRIORITY:  # deprecated (RFC 9113 5.3.2) and ignored on any stream
            if len(frame) != 14:
                self._stream_error(
                    int.from_bytes(frame[5:9], "big") & MAX_UINT31, "priority", Code.FRAME_SIZE_ERROR, now
                )
            return
        if kind == HEADERS:
            frame = self._prepare_headers_frame(frame)
        events = self._feed_h2(frame)
        self._collect_output()
        for event in events:
            self._handle_event(event, now)

    def _prepare_headers_frame(self, frame: bytes) -> bytes:
        """Return a HEADERS frame without the parts for which h2 would end the connection."""
        if frame[4] & WITH_PRIORITY:
            stripped = frames.without_priority(frame)
            if stripped is None:
                raise Http2Error("protocol", "HEADERS cut short", Code.FRAME_SIZE_ERROR)
            frame = stripped
        stream = int.from_bytes(frame[5:9], "big") & MAX_UINT31
        if self._client and stream % 2 == 0:
            raise Http2Error("protocol", "a server opens no streams")
        # h2 ends the connection for trailers without END_STREAM; they are a stream error (RFC 9113 8.1).
        if not self._client and stream in self._receive_windows and not frame[4] & END_STREAM:
            self._unended_trailers.add(stream)
            frame = frame[:4] + bytes((frame[4] | END_STREAM,)) + frame[5:]
        return frame

    def _feed_h2(self, frame: bytes) -> list[h2.events.Event]:
        try:
            return self._h2.receive_data(frame)
        except h2.exceptions.DenialOfServiceError as error:
            raise Http2Error("headers", str(error), Code.ENHANCE_YOUR_CALM) from None
        except h2.exceptions.ProtocolError as error:
            if isinstance(error, h2.exceptions.TooManyStreamsError):
                raise Http2Error("streams", "more streams than allowed") from None
            raise Http2Error("protocol", str(error) or type(error).__name__, int(error.error_code)) from None
        except Exception as error:  # hpack and hyperframe raise their own errors on some malformed input
            raise Http2Error("protocol", f"{type(error).__name__}: {error}") from None

    def _handle_event(self, event: h2.events.Event, now: float) -> None:
        handler = self._handler
        if isinstance(event, (h2.events.RequestReceived, h2.events.ResponseReceived, h2.events.TrailersReceived)):
            stream, end = int(event.stream_id or 0), event.stream_ended is not None
            kind = _SECTION_KINDS[type(event)]
            if kind is fields.SectionKind.REQUEST:
                self._last_peer_stream = max(self._last_peer_stream, stream)
            if not self._well_formed(stream, kind, end):
                self._stream_error(stream, "malformed", Code.PROTOCOL_ERROR, now)
                return
            if end:
                self._receive_windows.pop(stream, None)
                self._remaining_body.pop(stream, None)
            elif kind is fields.SectionKind.REQUEST:
                self._receive_windows[stream] = self._stream_window
            handler.on_headers(stream, self._fields.latest, end)
        elif isinstance(event, h2.events.StreamReset):
            stream = int(event.stream_id or 0)
            self._forget_stream(stream)
            handler.on_reset(stream, int(event.error_code or 0))
        elif isinstance(event, (h2.events.WindowUpdated, h2.events.RemoteSettingsChanged)):
            handler.on_window()
        elif isinstance(event, h2.events.PingAckReceived):
            handler.on_ping_ack(bytes(event.ping_data or b""))

    def _well_formed(self, stream: int, kind: fields.SectionKind, end: bool) -> bool:
        """Whether the field section just decoded is valid. Records the content-length that it declares."""
        latest = self._fields.latest
        if stream in self._unended_trailers or fields.find_error(latest, kind):
            return False
        if kind is not fields.SectionKind.TRAILERS:
            try:
                declared = fields.content_length(latest)
            except ValueError:
                return False
            if declared is not None:
                self._remaining_body[stream] = declared
        return not (end and self._remaining_body.get(stream))

    def _forget_stream(self, stream: int) -> None:
        self._remaining_body.pop(stream, None)
        self._unended_trailers.discard(stream)
        self._receive_windows.pop(stream, None)
        self._consumed_bytes.pop(stream, None)

    # Sending

    def _collect_output(self) -> None:
        data = self._h2.data_to_send()
        if data:
            self._output.append(data)

    def outgoing(self) -> bytes:
        """Return the bytes to send now. A server sends nothing before the peer's HTTP/2 preface."""
        if not self._output or self._preface:
            return b""
        data = b"".join(self._output)
        self._output.clear()
        return data

    def open_stream(self, headers: Headers, end: bool = False) -> int:
        """Open a stream as client and return its id. Http2Error with name ``exhausted`` if no ids are left."""
        try:
            stream = self._h2.get_next_available_stream_id()
        except h2.exceptions.NoAvailableStreamIDError:
            raise Http2Error("exhausted", "no stream ids left", Code.NO_ERROR) from None
        self._receive_windows[stream] = self._stream_window
        self._h2.send_headers(stream, headers, end_stream=end)
        self._collect_output()
        return stream

    def can_open_stream(self) -> bool:
        """Whether the peer's limit on concurrent streams allows one more."""
        return self._h2.open_outbound_streams < self._h2.remote_settings.max_concurrent_streams

    def send_headers(self, stream: int, headers: Headers, end: bool = False) -> None:
        """Send a field section: a response's headers or trailers."""
        self._h2.send_headers(stream, headers, end_stream=end)
        self._collect_output()
        if self._ping_policy is not None:
            self._ping_policy.on_data_sent()

    def send_window(self, stream: int) -> int:
        """Bytes of DATA that the send windows of the stream and the connection allow."""
        state = self._h2.streams.get(stream)
        if state is None:
            return 0
        return max(0, min(self._h2.outbound_flow_control_window, state.outbound_flow_control_window))

    def send_data(self, stream: int, data: bytes | memoryview) -> None:
        """Send DATA frames; ``data`` must fit in :meth:`send_window`."""
        state = self._h2.streams[stream]
        size = len(data)
        assert size <= self.send_window(stream), "DATA exceeds the peer's window"
        self._h2.outbound_flow_control_window -= size
        state.outbound_flow_control_window -= size
        max_frame_bytes = self._h2.max_outbound_frame_size
        out = self._output
        for at in range(0, size, max_frame_bytes):
            part = data[at : at + max_frame_bytes]
            out.append(struct.pack(">IBI", len(part) << 8 | DATA, 0, stream))
            out.append(bytes(part))
        if self._ping_policy is not None:
            self._ping_policy.on_data_sent()

    def end_stream(self, stream: int) -> None:
        """Send END_STREAM after the DATA sent so far."""
        self._h2.end_stream(stream)
        self._collect_output()

    def reset(self, stream: int, code: int = Code.CANCEL) -> None:
        """Send RST_STREAM unless both ends have closed the stream."""
        self._forget_stream(stream)
        try:
            self._h2.reset_stream(stream, code)
        except h2.exceptions.ProtocolError:
            return  # both ends have closed the stream
        self._collect_output()

    def ping(self, payload: bytes) -> None:
        """Send a PING of 8 bytes."""
        self._h2.ping(payload)
        self._collect_output()

    def goaway(self, last: int | None = None, code: int = Code.NO_ERROR, text: bytes = b"") -> None:
        """Announce the end of the connection; open calls continue. ``last`` is the last stream that this end serves;
        None means the highest one that the peer opened.

        Written without h2, which accepts no frame from the peer after its own GOAWAY.
        """
        last_stream = self._last_peer_stream if last is None else last
        payload = struct.pack(">II", last_stream, code) + text
        self._collect_output()
        self._output.append(struct.pack(">IBI", len(payload) << 8 | GOAWAY, 0, 0) + payload)

    def close(self, code: int = Code.NO_ERROR, text: bytes = b"") -> None:
        """Send GOAWAY as the last frame of a connection that ends now; later calls do nothing."""
        if not self._goaway_sent:
            self._goaway_sent = True
            self._h2.clear_outbound_data_buffer()
            self.goaway(code=code, text=text[:200])
