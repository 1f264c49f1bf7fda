"""Measures real processes from outside: two readings, and the figures of the interval between them.

Processor time is user plus system time as the scheduler accounts it (``/proc/PID/schedstat``, in ns; ``utime`` and
``stime`` in ``/proc/PID/stat`` are the same time, rounded to 10 ms). Bytes are payload of TCP, of connections that
exist at the end of the interval. Messages are those to and from other placers, from the placer's own metrics.
"""

from __future__ import annotations

import os
import time
import urllib.request
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from sprucepost.scale.sockets import Ports, Traffic, inodes

PAGE_TIMEOUT_S = 10.0
VIEW_COUNTERS = {
    "messages_out": "sprucepost_view_messages_sent",
    "messages_in": "sprucepost_view_messages_received",
    "view_bytes_out": "sprucepost_view_bytes_sent",
    "view_bytes_in": "sprucepost_view_bytes_received",
}
"""Name of the metric behind each figure."""


@dataclass(frozen=True)
class Reading:
    """Measurements of one process at one moment."""

    at_s: float
    cpu_s: float
    memory_mib: float
    descriptors: int
    traffic: dict[Ports, Traffic] = field(default_factory=dict)


@dataclass(frozen=True)
class Counters:
    """A placer's own counters at one moment."""

    at_s: float
    values: dict[str, float]


def cpu_s(pid: int) -> float:
    """Processor time in s that a single-threaded process has used so far."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
    except FileNotFoundError:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mib(pid: int) -> float:
    """Resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def read_process(pid: int, connections: Mapping[Ports, Traffic] | None = None) -> Reading:
    """Measure a process; its processor time is read last.

    ``connections``: all connections of the machine; without them no bytes are counted.
    """
    own: dict[Ports, Traffic] = {}
    if connections is not None:
        sockets = inodes(pid)
        own = {ports: traffic for ports, traffic in connections.items() if traffic.inode in sockets}
    memory, descriptors = memory_mib(pid), len(os.listdir(f"/proc/{pid}/fd"))
    return Reading(time.monotonic(), cpu_s(pid), memory, descriptors, own)


def total_cpu_s(pids: Iterable[int]) -> float:
    """Total processor time in s of several processes."""
    return sum(map(cpu_s, pids))


def read_page(http: str, path: str) -> bytes:
    """Fetch a page of a placer. Raises OSError if it does not answer."""
    with urllib.request.urlopen(f"http://{http}{path}", timeout=PAGE_TIMEOUT_S) as answer:
        return bytes(answer.read())


def read_members(http: str) -> list[dict[str, Any]]:
    """Fetch the members of a placer's view."""
    found: list[dict[str, Any]] = msgspec.json.decode(read_page(http, "/members"))["members"]
    return found


def read_metrics(http: str) -> dict[str, float]:
    """Fetch the gauges and counters without labels, by name."""
    found = {}
    for line in read_page(http, "/metrics").decode().splitlines():
        name, _, value = line.rpartition(" ")
        if name and not line.startswith("#") and "{" not in name:
            found[name] = float(value)
    return found


def read_counters(http: str) -> Counters:
    """Fetch the counters behind the figures of messages."""
    metrics = read_metrics(http)
    values = {figure: metrics[name] for figure, name in VIEW_COUNTERS.items() if name in metrics}
    return Counters(time.monotonic(), values)


def process_figures(before: Reading, after: Reading, kind: Callable[[Ports], str]) -> dict[str, float]:
    """Figures of the interval. ``kind`` gives the kind of work of a connection."""
    seconds = after.at_s - before.at_s
    figures = {
        "cpu_percent": 100.0 * (after.cpu_s - before.cpu_s) / seconds,
        "memory_mib": after.memory_mib,
        "descriptors": float(after.descriptors),
    }
    if not after.traffic:
        return figures
    for ports, traffic in after.traffic.items():
        old = before.traffic.get(ports)
        known = old is not None and old.inode == traffic.inode
        sent = traffic.sent - (old.sent if old and known else 0)
        received = traffic.received - (old.received if old and known else 0)
        for name, number in (("bytes_out_per_s", sent), ("bytes_in_per_s", received)):
            for key in (name, f"{name}.{kind(ports)}"):
                figures[key] = figures.get(key, 0.0) + number / seconds
    return figures


def counter_figures(before: Counters, after: Counters) -> dict[str, float]:
    """Rates over the interval, as ``NAME_per_s``."""
    seconds = after.at_s - before.at_s
    return {f"{name}_per_s": (value - before.values.get(name, 0.0)) / seconds for name, value in after.values.items()}


def rounded(figures: Mapping[str, float]) -> dict[str, float]:
    """The figures sorted by name and rounded to four decimals, as they are stored."""
    return {name: round(value, 4) for name, value in sorted(figures.items())}
