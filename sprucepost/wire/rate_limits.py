"""Limits on the frames that a peer may send without moving data."""

from __future__ import annotations

BURST_FRAMES = 1000.0
FRAMES_PER_S = 200.0
FRAMES_PER_DATA_FRAME = 4.0


class FrameBudget:
    """A token bucket for control frames that also refills with useful work.

    Each control frame (RST_STREAM, PING, SETTINGS, PRIORITY, WINDOW_UPDATE, an empty DATA, a CONTINUATION) costs a
    token. Tokens come back with time and with frames that carry data. A busy well-behaved peer, which sends window
    updates and pings along with its messages, therefore never runs out, while a flood of control frames ends the
    connection after a bounded count. Reads no clock: ``now`` is in ms.
    """

    __slots__ = ("_frames_left", "_updated_ms")

    def __init__(self, now: float) -> None:
        self._frames_left, self._updated_ms = BURST_FRAMES, now

    def spend(self, now: float) -> bool:
        """Take a token for a control frame; False if none was left."""
        self._frames_left = min(
            BURST_FRAMES, self._frames_left + max(0.0, now - self._updated_ms) * FRAMES_PER_S / 1000.0
        )
        self._updated_ms = max(now, self._updated_ms)
        self._frames_left -= 1.0
        return self._frames_left >= 0.0

    def earn(self) -> None:
        """Return tokens for a frame that carried data."""
        if self._frames_left < BURST_FRAMES:
            self._frames_left += FRAMES_PER_DATA_FRAME


class PingPolicy:
    """The gRPC limit on keepalive pings that come too often ("too_many_pings").

    A ping sooner than ``min_interval_ms`` after the one before is a strike, and so is one within
    ``idle_min_interval_ms`` while no call is open; the connection ends with more than ``max_strikes``. Sending data or
    headers clears the strikes, as peers measure the path with pings while data flows.
    """

    def __init__(
        self, min_interval_ms: float = 10_000.0, idle_min_interval_ms: float = 60_000.0, max_strikes: int = 2
    ) -> None:
        self._min_interval_ms, self._idle_min_interval_ms, self._max_strikes = (
            min_interval_ms,
            idle_min_interval_ms,
            max_strikes,
        )
        self._last_ping_ms = float("-inf")
        self._strikes = 0

    def on_data_sent(self) -> None:
        """Clear the strikes; called when data or headers are sent."""
        self._strikes, self._last_ping_ms = 0, float("-inf")

    def allow_ping(self, now: float, calls: int) -> bool:
        """Count a ping from the peer; False if it exceeds the strikes."""
        interval_ms = self._min_interval_ms if calls else self._idle_min_interval_ms
        if now < self._last_ping_ms + interval_ms:
            self._strikes += 1
        self._last_ping_ms = now
        return self._strikes <= self._max_strikes
