"""Run a fleet of placer daemons on one machine and check the recorded traffic against the rules.

``python -m benchmarks.fleet_day --size 350 --small 88``; ``--out`` names the file of results. Covers start, cold machines,
load, a roll, resizing up and down, and the cost of idle placers. Scaled to one machine: ``--machines`` simulated machines,
and all owners in one process. The cold allowance is far below the number of placers, so that groups take turns.
"""

from __future__ import annotations

import argparse
import json
import os
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from sprucepost.cli.fleet import Process
from sprucepost.cli.runner import Runner
from sprucepost.loop import Co, in_scope
from sprucepost.loop.epoll import EpollLoop
from sprucepost.rules import record
from sprucepost.rules.checker import RunHistory
from sprucepost.rules.cold_kept import ColdKept
from sprucepost.rules.trace import read_events
from sprucepost.settings.cluster import Kind
from sprucepost.standin.orders import send_order
from sprucepost.wire.capture import read_capture
from sprucepost.wire.client import ClientConnection, open_client
from tests.placer.support import cluster

CORES = 4.0  # of a machine; small, so that a few machines are nearly full and a cold one is needed


def cpu_ticks(pid: int) -> int:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


def resident_mib(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class Day:
    """One run of the fleet, with simulated machines, owners and list behind recording proxies."""

    def __init__(
        self,
        size: int,
        small: int,
        machines: int,
        cold_allowance: float,
        rate: float,
        folder: Path,
        short: bool = False,
    ) -> None:
        self.size, self.small, self.machines, self.rate, self.folder = size, small, machines, rate, folder
        self.short = short  # skip the idle figures and use the shortest overlaps
        self.cluster = cluster(
            kinds=[Kind("std", CORES, 64.0)],
            cold_bears=cold_allowance,
            accepts_cores=1.2,
            accepts_memory=8.0,
            warm_after_ms=120_000.0,
            list_ask_every_ms=20_000.0,
        )
        self.loop = EpollLoop()
        self.processes: dict[str, Process] = {}
        self.controls: dict[str, ClientConnection] = {}
        self.result: dict[str, Any] = {"size": size, "small": small, "machines": machines, "cold_bears": cold_allowance}

    def run_co(self, co: Any) -> Any:
        return self.loop.run(lambda: in_scope(lambda scope: co()))

    def spawn(self, name: str, command: str, settings: dict[str, Any]) -> dict[str, Any]:
        self.processes[name] = Process(self.folder, name, command, settings)
        return self.processes[name].announcement()

    def ask(self, name: str, what: str, /, **arguments: Any) -> Any:
        def co() -> Co[Any]:
            connection = self.controls.get(name)
            if connection is None or connection.closed:
                connection = yield from open_client(self.loop, ("127.0.0.1", self.ports[name]))
                self.controls[name] = connection
            return (yield from send_order(connection, what, **arguments))

        return self.run_co(co)

    def set_up(self) -> Runner:
        raw = msgspec.to_builtins(self.cluster)
        self.ports: dict[str, int] = {}
        announced = self.spawn("tap", "tap", {"capture": str(self.folder / record.CAPTURE)})
        self.ports["tap"] = announced["control"]
        announced = self.spawn("list", "list", {"late_ms": 200.0})
        self.ports["list"] = announced["control"]
        report_to = f"127.0.0.1:{announced['listen']}"
        front = self.ask("tap", "add", name="list", target=report_to)["port"]
        manners = {cls.name: {"work_ms": 3.0} for cls in self.cluster.classes}
        self.ports["machines"] = self.spawn(
            "machines", "machine", {"cluster": raw, "report_to": report_to, "manners": manners}
        )["control"]
        for n in range(self.machines):
            self.add_machine(n, False)
        for number in range(max(self.size, self.small)):
            ip = f"127.1.{number // 250}.{number % 250 + 1}"
            self.ask("tap", "name", ip=ip, name=f"placer-{number}")
        placer = {"number": 0, "instances": 1, "zone": "room-a", "list": f"127.0.0.1:{front}", "seed": 1}
        return Runner({"cluster": raw, "placer": placer}, self.folder, lambda text: print(text, flush=True), "127.1")

    def add_machine(self, number: int, cold: bool) -> None:
        zones = self.cluster.zones
        model = {
            "name": f"m{number}", "kind": "std", "zone": zones[number % len(zones)], "cell": f"c{number % 4}",
            "cores": CORES,
            "memory": 64.0, "accepts_cores": 1.2, "accepts_memory": 8.0, "admit_ms": 1.0, "admit_queue": 200, "starts": 8,
            "setup": 2.0, "cold_bears": self.cluster.cold_bears, "fall_ms": self.cluster.fall_ms,
            "warm_ms": self.cluster.warm_after_ms,
        }  # fmt: skip
        port = self.ask("machines", "add", model=model, cold=cold)["port"]
        front = self.ask("tap", "add", name=f"m{number}", target=f"127.0.0.1:{port}")["port"]
        self.ask("machines", "announce", machine=f"m{number}", address=f"127.0.0.1:{front}")

    def owners(self, runner: Runner) -> None:
        fronts = []
        for row in runner.summary():
            name = f"placer-{row['number']}"
            fronts.append(f"127.0.0.1:{self.ask('tap', 'add', name=name, target=row['grpc'])['port']}")
        services = [
            {
                "name": f"s{n}",
                "task_class": ("web", "bill", "once")[n % 3],
                "cores": 0.3,
                "memory": 0.5,
                "life_ms": 2000.0,
            }
            for n in range(60)
        ]
        self.ports["owners"] = self.spawn(
            "owners", "owner watch",
            {
                "cluster": msgspec.to_builtins(self.cluster), "placers": fronts, "services": services,
                "rate_per_s": self.rate, "source": "127.0.2.1", "seed": 5,
            },
        )["control"]  # fmt: skip

    def step(self, name: str, began: float, took: float) -> None:
        self.result[name] = round(took, 1)
        print(f"{name}: {took:.1f} s", flush=True)

    def idle(self, pids: list[int]) -> None:
        """Measure CPU and memory of placers without work."""
        before = {pid: cpu_ticks(pid) for pid in pids}
        time.sleep(10.0)
        idle = [(cpu_ticks(pid) - before[pid]) / os.sysconf("SC_CLK_TCK") / 10.0 for pid in pids]
        self.result["idle_cpu_share"] = round(sum(idle) / len(idle), 5)
        self.result["resident_mib"] = round(max(resident_mib(pid) for pid in pids), 1)
        print("idle", self.result["idle_cpu_share"], "of a core each,", self.result["resident_mib"], "MiB", flush=True)

    def storm(self) -> None:
        """Reset all connections of owners, machines and list at once, under load; repeat while the placers reconnect.

        The list is unavailable meanwhile, so that all placers call it together afterwards.
        """
        met = 0
        for _ in range(2):
            self.ask("list", "down", down=True)
            met += self.ask("tap", "blow", kind="reset")["met"]
            self.ask("list", "down", down=False)
            time.sleep(0.3)
        self.result["storm_connections_reset"] = met
        time.sleep(2.0)

    def play(self) -> bool:
        events: list[dict[str, Any]] = []
        runner = self.set_up()
        try:
            self.step("up_s", 0, runner.up(self.small))
            if not self.short:
                time.sleep(8.0)
                self.idle([i.process.pid for i in runner.instances.values() if i.process is not None])
            self.owners(runner)
            time.sleep(3.0)
            self.add_machine(self.machines, True)  # a cold machine that all placers see
            self.step("grow_s", 0, runner.resize(self.size, 4.0, 12.0 if self.short else 30.0))
            self.storm()
            self.add_machine(self.machines + 1, True)
            self.step("roll_s", 0, runner.roll(max(4, self.size // 16)))
            time.sleep(max(0.0, runner.generation["begins_ms"] / 1000.0 + (14.0 if self.short else 32.0) - time.time()))
            self.add_machine(self.machines + 2, True)
            self.step("shrink_s", 0, runner.resize(self.small, 4.0, 8.0))
            time.sleep(3.0)
            self.ask("owners", "asking", on=False)
            for _ in range(40):
                owners = self.ask("owners", "result")
                if not owners["open"]:
                    break
                time.sleep(0.25)
            machines = self.ask("machines", "state")
            events.append({"at": time.time() * 1000.0, "what": "ended"})
            exits: list[int | None] = [status for i in runner.instances.values() for status in i.exits]
            exits += list(runner.down().values())
        finally:
            runner.kill()
            for process in self.processes.values():
                process.stop()
            for process in self.processes.values():
                process.wait(10.0)
        (self.folder / record.CLUSTER).write_text(json.dumps(msgspec.to_builtins(self.cluster)))
        (self.folder / record.EVENTS).write_text("".join(json.dumps(event) + "\n" for event in events))
        return self.check(owners, machines, exits)

    def check(self, owners: dict[str, Any], machines: dict[str, Any], exits: list[int | None]) -> bool:
        results = record.check(self.folder)
        cold = ColdKept(self.cluster, RunHistory())
        records = read_capture((self.folder / record.CAPTURE).read_bytes())
        for event in read_events(records):
            cold.observe(event)
        outcomes: dict[str, int] = {}
        for cls in owners["classes"].values():
            for name, count in cls["outcomes"].items():
                outcomes[name] = outcomes.get(name, 0) + count
        self.result |= {
            "worst_cold_window": cold.max_offers,
            "cold_offers": cold.result.checked,
            "fallen": sorted(name for name, m in machines.items() if m["fallen"]),
            "outcomes": dict(sorted(outcomes.items())),
            "second_answers": owners["second_answers"],
            "open_at_the_end": owners["open"],
            "exits_not_0": sum(status != 0 for status in exits),
            "rules": {result.rule: [result.checked, len(result.broken)] for result in results},
            "broken": [line for result in results for line in result.broken][:10],
        }
        print(json.dumps(self.result, indent=1))
        return not (
            self.result["broken"] or self.result["fallen"] or outcomes.get("no answer") or owners["open"]
            or owners["second_answers"] or self.result["exits_not_0"]
        )  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--size", type=int, default=350)
    parser.add_argument("--small", type=int, default=88)
    parser.add_argument("--machines", type=int, default=10)
    parser.add_argument("--bears", type=float, default=30.0)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--out", type=Path)
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="sprucepost-fleet-"))
    try:
        day = Day(arguments.size, arguments.small, arguments.machines, arguments.bears, arguments.rate, folder)
        good = day.play()
        if arguments.out:
            arguments.out.write_text(json.dumps(day.result, indent=1) + "\n")
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
