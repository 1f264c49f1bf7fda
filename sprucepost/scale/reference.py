"""How fast a machine is, so that processor times of one can be compared with those of another.

A fixed piece of work, much like a placer's own: records encoded, digested, held in dictionaries. Its user time is taken
from ``getrusage``, so other processes on the machine count only where they slow the processor itself.
"""

from __future__ import annotations

import resource
import statistics
from hashlib import blake2b

from msgspec import json

ROUNDS = 7
RECORDS = 20_000


def reference_ms() -> float:
    """Processor time of the work in ms: the median of :data:`ROUNDS`."""
    return statistics.median(_round() for _ in range(ROUNDS))


def _round() -> float:
    before = _processor_s()
    held: dict[str, bytes] = {}
    for number in range(RECORDS):
        record = json.encode({"name": f"p{number}", "version": number, "sees": ["a", "b", "c"], "left": False})
        held[f"p{number}"] = blake2b(record, digest_size=8).digest()
    return (_processor_s() - before) * 1000.0


def _processor_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
