"""Measure the views of hundreds of placer processes on one machine: ``python -m benchmarks.view_fleet [SIZE ...]``.

For each size: the time until all placers show the same view after a simultaneous start, after one was killed, and after a
tenth was killed; the CPU time of an idle placer and its bytes sent to others. Times are those of the placers' own log
lines. Writes ``docs/results/view-fleet.json`` and a chart beside it. ``resize BEFORE AFTER`` measures a change of size
instead.
"""

from __future__ import annotations

import json
import random
import signal
import sys
import tempfile
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from sprucepost.scale.measure import cpu_s, read_metrics
from sprucepost.settings import GenerationOptions
from tests.peers.fleet import Fleet

IDLE_MEASURE_S = 20.0
CONCURRENT_QUERIES = 12  # placers queried concurrently


def bytes_sent(fleet: Fleet, number: int) -> float:
    """Return the bytes sent to other placers so far."""
    return read_metrics(f"127.0.0.1:{fleet.ports[fleet.size + number]}")["sprucepost_view_bytes_sent"]


def wait_for_views(fleet: Fleet, done: Any, limit_s: float) -> None:
    """Wait until ``done`` holds for each placer's view; RuntimeError after ``limit_s``."""
    began, left = time.monotonic(), list(fleet.processes)

    def look(number: int) -> bool:
        try:
            return bool(done(fleet.seen(number)))
        except OSError:
            return False

    with ThreadPoolExecutor(CONCURRENT_QUERIES) as pool:
        while left and time.monotonic() - began < limit_s:
            left = [number for number, good in zip(left, pool.map(look, left), strict=True) if not good]
    if left:
        raise RuntimeError(f"{len(left)} placers do not show the expected view after {limit_s} s")


def settled_ms(fleet: Fleet, numbers: Iterable[int]) -> float | None:
    """Return when the last of the placers logged that all of them are here; None while one has not.

    A placer shows a change on its pages at once, but logs it only when nothing else has changed for a while
    (``view.REPORT_DELAY_MS``). So one that shows the whole fleet may have logged nothing yet, or only a part of it.
    """
    names = {f"p{number}" for number in numbers}
    times = []
    for number in numbers:
        whole = [line["at_ms"] for line in fleet.logged(number, "view") if names <= set(line["here"])]
        if not whole:
            return None
        times.append(float(whole[0]))
    return max(times)


def wait_settled_ms(fleet: Fleet, numbers: Iterable[int], limit_s: float) -> float:
    """Wait for the time of :func:`settled_ms` and return it; RuntimeError after ``limit_s``."""
    until = time.monotonic() + limit_s
    while (found := settled_ms(fleet, numbers)) is None:
        if time.monotonic() > until:
            raise RuntimeError(f"not every placer has logged the whole fleet after {limit_s} s")
        time.sleep(0.1)
    return found


def detection_times_s(fleet: Fleet, numbers: list[int], since_ms: float, gone: set[str]) -> list[float]:
    """Return the seconds from ``since_ms`` until each placer logged that all of ``gone`` are away."""
    found = []
    for number in numbers:
        for line in fleet.logged(number, "view"):
            if line["at_ms"] > since_ms and gone <= set(line["away"]):
                found.append((line["at_ms"] - since_ms) / 1000.0)
                break
    return found


def play(size: int, folder: Path) -> dict[str, Any]:
    rng = random.Random(size)
    with Fleet(folder, size, f"fleet{size}") as fleet:
        began = time.time() * 1000.0
        fleet.start(*range(size))
        wait_for_views(fleet, lambda shown: sum(m["condition"] == "here" for m in shown["members"]) == size, 120.0)
        settled = wait_settled_ms(fleet, range(size), 120.0) - began
        time.sleep(5.0)
        row: dict[str, Any] = {"size": size, "settled_after_start_s": round(settled / 1000.0, 2)}
        some = rng.sample(range(size), min(20, size))
        before = {n: (cpu_s(fleet.processes[n].pid), bytes_sent(fleet, n)) for n in some}
        at = time.monotonic()
        time.sleep(IDLE_MEASURE_S)
        passed = time.monotonic() - at
        after = {n: (cpu_s(fleet.processes[n].pid), bytes_sent(fleet, n)) for n in some}
        row["idle_cpu_percent"] = round(100 * sum(after[n][0] - before[n][0] for n in some) / passed / len(some), 3)
        row["bytes_per_s"] = round(sum(after[n][1] - before[n][1] for n in some) / passed / len(some))
        streams = [fleet.text(n, "/metrics").partition("\nsprucepost_view_streams ")[2].split()[0] for n in some]
        row["streams"] = round(sum(map(float, streams)) / len(some), 1)
        for what, count in (("one killed", 1), ("a tenth killed", max(2, size // 10))):
            those = rng.sample(sorted(fleet.processes), count)
            names, since = {f"p{n}" for n in those}, time.time() * 1000.0
            for n in those:
                fleet.processes[n].send_signal(signal.SIGKILL)
            for n in those:
                fleet.processes.pop(n).wait()
            time.sleep(12.0)
            times = sorted(detection_times_s(fleet, sorted(fleet.processes), since, names))
            row[what] = {
                "told": len(times), "of": len(fleet.processes), "p50_s": round(times[len(times) // 2], 2),
                "p99_s": round(times[int(0.99 * (len(times) - 1))], 2), "most_s": round(times[-1], 2),
            }  # fmt: skip
    return row


def resize(before: int, after: int, folder: Path) -> dict[str, Any]:
    """Give one old placer a new fleet size and start the new placers; measure until only the new size is in force."""
    with Fleet(folder, after, "resize") as fleet:
        fleet.start(*range(before), instances=before, generation=GenerationOptions(1))
        wait_for_views(fleet, lambda shown: sum(m["condition"] == "here" for m in shown["members"]) == before, 120.0)
        begins = time.time() * 1000.0 + 2000.0
        change = GenerationOptions(2, before, begins, 600_000.0, announced=True)
        fleet.file(0, instances=after, generation=change)
        fleet.signal(0, signal.SIGHUP)
        time.sleep(2.0)
        heard = [fleet.logged(n, "generation")[:1] for n in range(1, before)]
        fleet.start(*range(before, after), instances=after, generation=change)
        while not all(line["phase"] == "done" for n in range(after) for line in fleet.logged(n, "seat")[-1:]):
            if time.time() * 1000.0 > begins + 300_000.0:
                raise RuntimeError("the resize has not ended after five minutes")
            time.sleep(1.0)
        seats = {(line["seat"], line["seats"]) for n in range(after) for line in fleet.logged(n, "seat")[-1:]}
        ends = [line["at_ms"] for n in range(after) for line in fleet.logged(n, "seat")[-1:]]
        return {
            "from": before, "to": after, "told_to_one_heard_by_all_s": round(
                (max(line["at_ms"] for found in heard for line in found) - begins + 2000.0) / 1000.0, 2),
            "heard": sum(map(bool, heard)) + 1, "over_after_begin_s": round((max(ends) - begins) / 1000.0, 1),
            "ends_apart_ms": round(max(ends) - min(ends)), "seats": len(seats), "overlap_s": 600,
        }  # fmt: skip


def chart(rows: list[dict[str, Any]], path: Path) -> None:
    """Draw the cost of an idle placer and the detection time of a lost one, over the size of the fleet."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "sprucepost"
    sizes = [row["size"] for row in rows]
    figure, axes = pyplot.subplots(1, 4, figsize=(16, 4))
    shown = (
        ("idle CPU, % of a core", [row["idle_cpu_percent"] for row in rows]),
        ("bytes a second sent to others", [row["bytes_per_s"] for row in rows]),
        ("streams", [row["streams"] for row in rows]),
        ("one killed, p99 until the others report it, s", [row["one killed"]["p99_s"] for row in rows]),
    )
    for each, (title, values) in zip(axes, shown, strict=True):
        each.semilogx(sizes, values, marker="o", base=2)
        each.set_xticks(sizes, [str(size) for size in sizes])
        each.set_ylim(bottom=0)
        each.set_title(title, fontsize="small")
        each.set_xlabel("placers")
    figure.savefig(path, metadata={"Date": None})


def main() -> int:
    if sys.argv[1:2] == ["resize"]:
        with tempfile.TemporaryDirectory(prefix="sprucepost-view-") as folder:
            print(json.dumps(resize(int(sys.argv[2]), int(sys.argv[3]), Path(folder))))
        return 0
    sizes = [int(word) for word in sys.argv[1:]] or [50, 100, 200, 350]
    out = Path("docs/results/view-fleet.json")
    rows = []
    for size in sizes:
        with tempfile.TemporaryDirectory(prefix="sprucepost-view-") as folder:
            row = play(size, Path(folder))
        print(json.dumps(row), flush=True)
        rows.append(row)
    out.write_text(json.dumps(rows, indent=1) + "\n")
    chart(rows, out.with_suffix(".svg"))
    return 0


if __name__ == "__main__":
    sys.exit(main())
