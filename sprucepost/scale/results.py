"""What scale runs measured, as data: written by the run, read by the fits, the tables and the checks.

All figures are of one real process unless they stand in :attr:`Point.fleet`. Units are part of a figure's name.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

FORMAT = 1  # of the file; another one is refused

CPU_KINDS = ("placements", "list", "peers", "configuration", "restarts", "clients", "log", "other")
"""Kinds of work that processor time is attributed to; figure ``cpu_percent.KIND`` is per cent of one core."""

BYTES_KINDS = ("placements", "list", "peers", "clients", "other")
"""What a connection is for; ``placements``: one to a worker."""

FIGURES = (
    "cpu_percent",
    *(f"cpu_percent.{kind}" for kind in CPU_KINDS),
    "memory_mib",
    "bytes_out_per_s",
    "bytes_in_per_s",
    *(f"{name}.{kind}" for name in ("bytes_out_per_s", "bytes_in_per_s") for kind in BYTES_KINDS),
    "view_bytes_out_per_s",
    "view_bytes_in_per_s",
    "messages_out_per_s",
    "messages_in_per_s",
    "descriptors",
)
"""Figures of a real process. Processor time is user plus system time over the measured interval. Bytes are payload of TCP,
those of the view without its framing; messages are those to and from other placers."""


class Sample(Struct, frozen=True, forbid_unknown_fields=True):
    """One real process over one measured interval."""

    role: str
    """``placer`` (gRPC front with a view), ``node`` (the platform's front), ..."""
    process: str
    figures: dict[str, float]
    """By the names in :data:`FIGURES`; one that was not measured is absent."""


class Point(Struct, frozen=True, forbid_unknown_fields=True):
    """One run: all variables at their base size but one."""

    variable: str
    size: float
    repeat: int
    seed: int
    seconds: float
    load_average: float
    """Of the machine, over the minute before."""
    samples: tuple[Sample, ...]
    fleet: dict[str, float] = {}
    """Figures of the whole fleet, such as ``start_p99_ms.CLASS`` or ``change_in_force_p99_ms``."""


class Results(Struct, frozen=True, forbid_unknown_fields=True):
    """All runs of one version under one plan."""

    format: int
    version: str
    """Of the program: ``git describe``."""
    command: str
    """What made this file."""
    plan: str
    """Name of the plan's settings file."""
    seed: int
    processors: int
    points: tuple[Point, ...]
    hollow: bool = True
    """Whether the companions were hollow processes; False in the runs that calibrate them."""
    base: dict[str, float] = {}
    """Size of each variable in the points that move another one; without it no variables can be combined."""
    reference_ms: float = 0.0
    """Processor time of :mod:`sprucepost.scale.reference` on that machine; 0: not measured."""


class ResultsError(ValueError):
    """A file that is not results of this format; the text is one plain line."""


def save(results: Results, path: Path) -> None:
    """Write ``path`` whole."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")


def load(path: Path) -> Results:
    """Read what :func:`save` wrote. Raises ResultsError."""
    try:
        results = msgspec.json.decode(path.read_bytes(), type=Results)
    except (OSError, msgspec.DecodeError) as error:
        raise ResultsError(f"{path}: {error}") from None
    if results.format != FORMAT:
        raise ResultsError(f"{path}: format {results.format}, this version reads {FORMAT}")
    return results
