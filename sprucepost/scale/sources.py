"""Sources of load on a placer, and what each of them costs it, by placers that lack one."""

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
"""Reference placers by name, and what loads them. ``list``: streams to the workers too, which are known by it."""


def attribution(cpu_percent: Mapping[str, float], loaded: Sequence[float]) -> dict[str, float]:
    """Processor time by kind of work, from that of the reference placers (by name) and of the loaded ones.

    Each kind is the difference between two placers of which one lacks its source: ``peers`` to a bare one, ``list`` (with
    the streams to workers) to a bare one, ``clients`` without asks to the list alone; ``placements`` is what is left of a
    loaded placer, with all that asks cause. So what only shows when two sources meet counts as placements.
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
