"""Sources of load on a placer, and the cost of each, measured by reference placers that lack a source."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from statistics import fmean


class Source(Enum):
    """A source of load on a placer."""

    PEERS = "peers"
    LIST = "list"
    CLIENTS = "clients"
    ASKS = "asks"


ALL_SOURCES = frozenset(Source)
REFERENCES: Mapping[str, frozenset[Source]] = {
    "bare": frozenset(),
    "peers": frozenset({Source.PEERS}),
    "list": frozenset({Source.LIST}),
    "clients": frozenset({Source.LIST, Source.CLIENTS}),
}
"""Sources of load of each reference placer, by name. ``list`` includes the streams to workers, which it makes known."""


def attribution(cpu_percent: Mapping[str, float], loaded: Sequence[float]) -> dict[str, float]:
    """Processor time by kind of work, computed from the reference placers (by name) and the loaded ones.

    Each kind is the difference between two placers of which one lacks the source: ``peers`` against a bare placer,
    ``list`` (with the streams to workers) against a bare one, ``clients`` without submissions against the list alone.
    ``placements`` is the remainder of a loaded placer, with everything that submissions cause. A cost that arises only
    from two sources together therefore counts as placements. Empty if a reference is missing.
    """
    if set(cpu_percent) != set(REFERENCES) or not loaded:
        return {}
    bare = cpu_percent["bare"]
    kinds = {
        "other": bare,
        "peers": cpu_percent["peers"] - bare,
        "list": cpu_percent["list"] - bare,
        "clients": cpu_percent["clients"] - cpu_percent["list"],
    }
    kinds["placements"] = fmean(loaded) - sum(kinds.values())
    return kinds
