"""Simulate months of new services, tasks, owners and machines, with and without a list, and measure growth.

``python -m benchmarks.soak --services 1000000``; writes ``docs/results/soak.json``. The decision module runs on
simulated time, with the ledger and admission control as the engine uses them. The results are the memory growth over the
last half, and the CPU per request in the first and the last tenth.
"""

from __future__ import annotations

import argparse
import gc
import json
import random
import time
from pathlib import Path
from typing import Any

from sprucepost import interface as i
from sprucepost.admission import Admission, AdmissionRequest
from sprucepost.placing.ledger import Ledger, Outcome
from sprucepost.scheduler import Scheduler
from tests.support import entry, full_list, settings


def resident_kib() -> int:
    gc.collect()
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def soak(services: int, with_list: bool, seed: int = 1) -> dict[str, Any]:
    """Place one task for each of ``services`` new services, twenty per second of simulated time."""
    rng, now = random.Random(seed), 1e9
    config = settings(accepts_cores=4.0, accepts_memory=4.0, n_instances=20, report_counts=i.LoadBasis.USED)
    scheduler, ledger = Scheduler(config, seed), Ledger()
    admission = Admission[int](0.0, 20_000, 400.0, 25.0, 1000.0)
    fleet = [f"m{n}" for n in range(40)]
    first = scheduler.handle(now, [full_list(*(entry(name) for name in fleet))])
    timers = [(now + action.delay, action.name) for action in first if isinstance(action, i.SetTimer)]
    running: list[tuple[float, int, int]] = []
    resident: dict[str, float] = {}
    cpu_seconds: list[float] = []
    tenth = max(1, services // 10)
    began = time.process_time()
    for n in range(services):
        now += 50.0
        events: list[i.Event] = [i.TimerFired(name) for at, name in timers if at <= now]
        timers = [(at, name) for at, name in timers if at > now]
        if with_list and n % 200 == 0:  # a machine is replaced, and the list reports it
            gone = fleet.pop(rng.randrange(len(fleet)))
            fleet.append(f"n{n}")
            entries = [entry(gone, state=i.MachineState.GONE)] + [entry(name) for name in fleet]
            events.append(i.MachineList(i.ListKind.DELTA, tuple(entries)))
        while running and running[0][0] <= now:
            _, request, attempt = running.pop(0)
            events.append(i.Outcome(request, attempt, i.Ending.OK, True))
            found = ledger.by_request(request)
            if found is not None:
                ledger.end(found)
        owner = f"owner-{n}"
        taken = None
        ask = AdmissionRequest(owner, 1.0, 8000.0, 400.0, n % 7 == 0)
        if not admission.decide(ask, now).why:
            admission.enqueue(n, ask, now)
            admission.dequeue(now)
            taken = ledger.take(f"task-{n}", 0, f"service-{n}", now)
            admission.open_tasks.opened(owner)
            events.append(i.TaskRequest(taken.request, 0, f"service-{n}", 0.5, 0.5, 8000.0, task=taken.name))
        actions = scheduler.handle(now, events)
        while actions:
            answers: list[i.Event] = []
            for action in actions:
                if isinstance(action, i.SetTimer):
                    timers.append((now + action.delay, action.name))
                elif isinstance(action, i.Offer):
                    answers.append(i.Accepted(action.request, 0, 5.0))
                    found = ledger.by_request(action.request)
                    assert found is not None
                    ledger.settle(found, Outcome.PLACED, now)
                    admission.open_tasks.closed(f"owner-{found.name.removeprefix('task-')}")
                    running.append((now + 4000.0, action.request, 0))
                elif isinstance(action, (i.Refuse, i.Fail)):
                    found = ledger.by_request(action.request)
                    if found is not None and found.outcome is Outcome.OPEN:
                        ledger.settle(found, Outcome.REFUSED, now)
                        admission.open_tasks.closed(f"owner-{found.name.removeprefix('task-')}")
            actions = scheduler.handle(now, answers) if answers else []
        if n % 1000 == 0:
            ledger.forget(now - 60_000.0)
        if (n + 1) % tenth == 0:
            cpu_seconds.append(time.process_time() - began)
            began = time.process_time()
        if n == services // 2:
            resident["half_kib"] = resident_kib()
    resident["end_kib"] = resident_kib()
    return {
        "services": services,
        "with_list": with_list,
        "growth_in_last_half_mib": round((resident["end_kib"] - resident["half_kib"]) / 1024, 2),
        "us_each_first_tenth": round(cpu_seconds[0] / tenth * 1e6, 1),
        "us_each_last_tenth": round(cpu_seconds[-1] / tenth * 1e6, 1),
        "longest_ledger": max(len(machine.pending_changes) for machine in scheduler.machines.values()),
        "machines_kept": len(scheduler.machines),
        "services_kept": len(scheduler.services),
        "orders_kept": len(scheduler.machine_orders),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--services", type=int, default=1_000_000)
    services = parser.parse_args().services
    result = [soak(services, with_list) for with_list in (True, False)]
    Path("docs/results/soak.json").write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
