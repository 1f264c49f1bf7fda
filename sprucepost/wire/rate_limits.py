"""What a peer may cost: budgets for frames that move no data."""

from __future__ import annotations

BURST = 1000.0
PER_S = 200.0
PER_WORK = 4.0


class Budget:
    """A token bucket that also fills with useful work.

    Each control frame (RST_STREAM, PING, SETTINGS, PRIORITY, WINDOW_UPDATE, an empty DATA, a CONTINUATION) costs a
    token. Tokens come back with time and with frames that carry data, so that a busy honest peer,
    which sends window updates and pings along with its messages, never runs out, while a flood of control frames
    ends the connection after a bounded count. Free of any clock: ``now`` is in ms.
    """

    __slots__ = ("_at", "_left")

    def __init__(self, now: float) -> None:
        self._left, self._at = BURST, now

    def spend(self, now: float) -> bool:
        """Whether one more control frame is within the budget."""
        self._left = min(BURST, self._left + max(0.0, now - self._at) * PER_S / 1000.0)
        self._at = max(now, self._at)
        self._left -= 1.0
        return self._left >= 0.0

    def work(self) -> None:
        """A frame that carried something."""
        if self._left < BURST:
            self._left += PER_WORK


class PingPolicy:
    """The usual guard against keepalive pings that come too often ("too_many_pings").

    A ping sooner than ``least_ms`` after the one before is a strike, and so is one without any call open within
    ``idle_least_ms``; more than ``strikes`` and the connection ends. Sending data or headers forgives, as peers
    measure the path with pings while data flows.
    """

    def __init__(self, least_ms: float = 10_000.0, idle_least_ms: float = 60_000.0, strikes: int = 2) -> None:
        self._least, self._idle_least, self._most = least_ms, idle_least_ms, strikes
        self._last = float("-inf")
        self._strikes = 0

    def sent_data(self) -> None:
        self._strikes, self._last = 0, float("-inf")

    def ping(self, now: float, calls: int) -> bool:
        """Whether this ping is still borne."""
        least = self._least if calls else self._idle_least
        if now < self._last + least:
            self._strikes += 1
        self._last = now
        return self._strikes <= self._most
