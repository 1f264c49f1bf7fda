"""Bounds the load that repeated submissions may add."""

from __future__ import annotations


class RetryBudget:
    """A token bucket: repeats may amount to a share of first submissions, plus a small rate.

    Each first submission earns ``share`` of a token, and time ``per_s`` tokens a second, up to ``burst``; a repeat spends
    one. So a thousand owners that retry at once add at most ``burst`` and then ``share`` of the first submissions, while the
    occasional repeat of a quiet owner always passes.
    """

    __slots__ = ("_burst", "_per_s", "_refilled_at", "_share", "_tokens")

    def __init__(self, now_ms: float, share: float = 0.2, per_s: float = 1.0, burst: float = 20.0) -> None:
        self._share, self._per_s, self._burst = share, per_s, burst
        self._tokens, self._refilled_at = burst, now_ms

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._refilled_at)
        self._tokens = min(self._burst, self._tokens + elapsed_ms * self._per_s / 1000.0)
        self._refilled_at = max(now_ms, self._refilled_at)

    def record_first(self) -> None:
        """Count a first submission. Tokens earned by time are added only on a repeat, as every submission passes here."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_repeat(self, now_ms: float) -> bool:
        """Spend a token on a repeat. Returns whether there was one."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_ms(self) -> float:
        """The time until a repeat would pass if nothing else came, in ms."""
        return max(0.0, (1.0 - self._tokens) / self._per_s * 1000.0)
