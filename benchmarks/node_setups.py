"""Measure the CPU time of a set-up in `sprucepost node`, by file: ``python -m benchmarks.node_setups``.

Ninety set-ups a second for half a minute, tasks of 5 s, twelve hosts, one owner. Runs twice: plainly, for the process's
own CPU time, and under the interpreter's profiler, for the share of each file. Writes ``docs/results/node-setups.json``.
"""

from __future__ import annotations

import json
import os
import pstats
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from sprucepost.loop import Co, connect, current, sleep
from sprucepost.node import binary
from sprucepost.node.jsonl import Line, MessageType
from tests.node.platform import Link, Platform, run_on_platform, setup
from tests.node.program import cpu_s

RATE, SECONDS, LIFE_MS, HOSTS, SERVICES = 90, 30, 5000.0, 12, 60


def measure(command: list[str], folder: Path) -> dict[str, float]:
    """Serve the load with one placer; return its CPU ms per set-up, its resident KiB and counts."""
    found: dict[str, float] = {}

    def body(platform: Platform) -> Co[None]:
        for n in range(HOSTS):
            host = platform.host(f"s-{n}")

            def runs(link: Link, line: Line) -> None:
                link.send(MessageType.READY, line.sid, text="x")
                platform.loop.call_later(
                    30.0, lambda: link.send(MessageType.EVENT, line.sid, {"note": "runs", "value": "1"})
                )
                platform.loop.call_later(
                    LIFE_MS, lambda: link.send(MessageType.CLOSE, line.sid, {"load": "x0:9;x1:9;backlog:0"}, code=16)
                )

            host.on_open = runs
        platform.bulletin.publish(*(host.entry() for host in platform.hosts.values()), everything=True)
        environment = dict(platform.environment())
        listen = json.loads((folder / "config.json").read_text())["listen"].split(":")
        with subprocess.Popen(command, env={**os.environ, **environment}, stdout=subprocess.PIPE) as process:
            assert process.stdout is not None
            process.stdout.readline()
            os.set_blocking(process.stdout.fileno(), False)
            task = yield from current()
            link = Link(
                (yield from connect(platform.loop, task, (listen[0], int(listen[1])), 3000.0)),
                binary.Decoder(),
                _ignore,
            )
            began, before = platform.loop.now(), cpu_s(process.pid)
            for n in range(RATE * SECONDS):
                yield from sleep(max(0.0, began + n * 1000.0 / RATE - platform.loop.now()))
                figures = f"cores:0.1;memory:0.1;service:{n % SERVICES:016x}"
                link.transport.write(setup(f"9b1f03aa{n:08x}", FIGURES=figures))
                if n % RATE == 0:
                    process.stdout.read()
            yield from sleep(LIFE_MS + 500)
            found["set_ups"], found["answered"] = (
                RATE * SECONDS,
                sum(m.kind == binary.Kind.ANSWER for m in link.received),
            )
            found["cpu_ms_a_set_up"] = round(1000 * (cpu_s(process.pid) - before) / (RATE * SECONDS), 3)
            status = Path(f"/proc/{process.pid}/status").read_text()
            found["resident_kib"] = next(
                int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")
            )
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                process.stdout.read()
                yield from sleep(50)

    run_on_platform(folder, body)
    return found


def _ignore(link: Link, message: object) -> None:
    """Ignore a message: the load does not wait for answers."""


def shares(profile: Path) -> dict[str, float]:
    """Return the share of the profiled time spent in each file itself, without waiting and imports."""
    total: dict[str, float] = {}
    for (file, _, name), (_, _, own, _, _) in pstats.Stats(str(profile)).stats.items():  # type: ignore[attr-defined]
        if "poll" in name or "import" in file:
            continue
        place = (
            file.rpartition("sprucepost/")[2]
            if "sprucepost/" in file
            else f"library: {Path(file).name if file != '~' else name}"
        )
        total[place] = total.get(place, 0.0) + own
    whole = sum(total.values())
    return {place: round(own / whole, 3) for place, own in sorted(total.items(), key=lambda item: -item[1])[:12]}


def main() -> None:
    with tempfile.TemporaryDirectory() as plain, tempfile.TemporaryDirectory() as profiled:
        report: dict[str, object] = dict(measure([sys.executable, "-m", "sprucepost", "node"], Path(plain)))
        file = Path(profiled) / "profile"
        measure([sys.executable, "-m", "cProfile", "-o", str(file), "-m", "sprucepost", "node"], Path(profiled))
        report["shares"] = shares(file)
    print(json.dumps(report, indent=1))
    Path("docs/results/node-setups.json").write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main()
