"""Exponential backoff: how long to wait after a failure that follows others. No I/O."""

from __future__ import annotations

MAX_DOUBLINGS = 64  # no delay in use is that far from its maximum; a float overflows after 1,023


def exponential_backoff(first_ms: float, earlier_failures: int, max_ms: float) -> float:
    """Return the delay in ms: ``first_ms``, doubled for each earlier failure in a row, up to ``max_ms``.

    The number of failures is not limited: an outage may last for any time.
    """
    return min(first_ms * 2.0 ** min(earlier_failures, MAX_DOUBLINGS), max_ms)
