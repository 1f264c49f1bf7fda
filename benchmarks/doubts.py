"""Count what it costs that silence is judged by process: ``python -m benchmarks.doubts [SEEDS]``.

One placer and six hosts in virtual time; tasks of 20 to 120 s, without notes, and two set-ups a second. All processes live
through the whole run: each task that is told over before its end was ended in doubt, or for a cut that was too long. On each
kind of day something else happens to one host's connections every ten seconds or so. Prints, for each kind, the tasks that
were set up, those that were ended wrongly, and the health checks and dials for each set-up.
"""

from __future__ import annotations

import random
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from sprucepost.loop import Co
from tests.node.virtual import DISCOVERY, host_address
from tests.node.virtual_platform import Process, VirtualPlatform, run_on_virtual_platform

HOSTS = 6
LENGTH_MS = 180_000.0
SET_UP_MS = 500.0
EVENT_MS = 10_000.0  # on average between two events at any host
TASK_MS = (20_000.0, 120_000.0)
STEP_MS = 50.0

Event = Callable[[VirtualPlatform, Process], None]


def break_one(how: str) -> Event:
    """Return an event that resets, closes or forgets one connection."""

    def event(platform: VirtualPlatform, process: Process) -> None:
        if process.connections:
            platform.end_connection(process, how)

    return event


def break_all(how: str) -> Event:
    """Return an event that resets or closes all connections at once."""
    return lambda platform, process: platform.end_connections(process, how)


DAYS: dict[str, Event | float | None] = {
    "calm": None,
    "one connection is reset": break_one("reset"),
    "one connection is closed": break_one("close"),
    "one connection is forgotten": break_one("forget"),
    "all connections are reset": break_all("reset"),
    "all connections are closed": break_all("close"),
    **{f"cut for {seconds} s": 1000.0 * seconds for seconds in (1, 3, 5, 6, 7)},
}


def play(seed: int, day: Event | float | None, counts: Counter[str]) -> Callable[[VirtualPlatform], Co[None]]:
    """Return the body of one run."""
    rng = random.Random(seed)

    def body(platform: VirtualPlatform) -> Co[None]:
        hosts = [platform.start_process(f"s-{n}", host_address(n)) for n in range(HOSTS)]
        platform.publish(*(host.entry(boot_ms=0) for host in hosts), everything=True)
        placer = platform.start_placer()
        owner = platform.connect(placer)
        ends: dict[str, float] = {}
        heals: dict[Process, float] = {}
        platform.on_started = lambda process, sid: ends.__setitem__(sid, platform.loop.time + rng.uniform(*TASK_MS))
        next_set_up, next_event, ends_at = 0.0, platform.loop.time + EVENT_MS, platform.loop.time + LENGTH_MS
        while platform.loop.time < ends_at:
            now = platform.loop.time
            if now >= next_set_up:
                next_set_up = now + SET_UP_MS
                counts["set-ups"] += 1
                owner.submit(f"d0b7{counts['set-ups']:012x}")
            if now >= next_event:
                next_event = now + rng.expovariate(1.0 / EVENT_MS)
                host = rng.choice([host for host in hosts if not host.is_cut_off] or hosts)
                if isinstance(day, float):
                    host.is_cut_off, heals[host] = True, now + day
                elif day is not None:
                    day(platform, host)
            for host in hosts:
                host.is_cut_off = host.is_cut_off and now < heals[host]
                for sid in [sid for sid in host.standing if ends[sid] <= now and not host.is_cut_off]:
                    platform.end_task(host, sid)
            yield from platform.run(STEP_MS)
        service = placer.service
        counts["ended wrongly"] += service.counters["lost_in_doubt"] + service.counters["lost_silent"]
        counts["checks"] += service.counters["tests"]
        counts["dials"] += sum(address != DISCOVERY for address, _ in platform.loop.dialled)

    return body


def main() -> None:
    """Play each kind of day with some seeds and print a line for each."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    for name, day in DAYS.items():
        counts = Counter[str]()
        for seed in range(seeds):
            with tempfile.TemporaryDirectory() as folder:
                run_on_virtual_platform(Path(folder), play(seed, day, counts))
        set_ups = counts["set-ups"]
        rates = ", ".join(f"{what} {counts[what] / set_ups:.2f}" for what in ("checks", "dials"))
        print(
            f"{name}: {set_ups} set-ups, {counts['ended wrongly']} ended wrongly; for each set-up {rates}", flush=True
        )


if __name__ == "__main__":
    main()
