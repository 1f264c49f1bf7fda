"""Results of scale runs as data: written by the run, read by the fits, the tables and the checks.

All figures are of one real process, except those in :attr:`Point.fleet`. Units are part of a figure's name.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

FORMAT = 1  # version of the file format; files of other versions are rejected

CPU_KINDS = ("placements", "list", "peers", "configuration", "restarts", "clients", "log", "other")
"""Kinds of work that processor time is attributed to; the figure ``cpu_percent.KIND`` is in per cent of one core."""

BYTES_KINDS = ("placements", "list", "peers", "clients", "other")
"""Kinds of work of a connection; ``placements``: a connection to a worker."""

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
"""Figures of a real process.

Processor time is user plus system time over the measured interval. Bytes are TCP payload, those of the view without its
framing. Messages are those to and from other placers.
"""


class Sample(Struct, frozen=True, forbid_unknown_fields=True):
    """Figures of one real process over one measured interval."""

    role: str
    """``placer`` (gRPC front with a view), ``node`` (the platform's front), ..."""
    process: str
    figures: dict[str, float]
    """By the names in :data:`FIGURES`; figures that were not measured are absent."""


class Point(Struct, frozen=True, forbid_unknown_fields=True):
    """Measurements of one run: all variables except one have their base size."""

    variable: str
    size: float
    repeat: int
    seed: int
    seconds: float
    load_average: float
    """Load average of the machine over the last minute."""
    samples: tuple[Sample, ...]
    fleet: dict[str, float] = {}
    """Figures of the whole fleet, such as ``start_p99_ms.CLASS`` or ``change_in_force_p99_ms``."""


class Results(Struct, frozen=True, forbid_unknown_fields=True):
    """All runs of one version of the program under one plan."""

    format: int
    version: str
    """Version of the program, from ``git describe``."""
    command: str
    """Command that wrote this file."""
    plan: str
    """Name of the plan's settings file."""
    seed: int
    processors: int
    points: tuple[Point, ...]
    hollow: bool = True
    """Whether the measured placers ran beside hollow processes; False in the runs that calibrate these."""
    base: dict[str, float] = {}
    """Size of each variable in the points that vary another one; needed to combine variables."""
    reference_ms: float = 0.0
    """No longer measured or used: a fixed piece of work took 17 or 27 ms within one minute on the same machine."""


class ResultsError(ValueError):
    """The file does not hold results of this format; the text is a single line."""


def save(results: Results, path: Path) -> None:
    """Write the results to ``path``, replacing its content."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")


def load(path: Path) -> Results:
    """Read results that :func:`save` wrote. Raises ResultsError."""
    try:
        results = msgspec.json.decode(path.read_bytes(), type=Results)
    except (OSError, msgspec.DecodeError) as error:
        raise ResultsError(f"{path}: {error}") from None
    if results.format != FORMAT:
        raise ResultsError(f"{path}: format {results.format}, this version reads {FORMAT}")
    return results
