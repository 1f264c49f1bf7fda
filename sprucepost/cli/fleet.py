"""A fleet of processes on loopback: placers, machines, the list, owners and the tap between them all."""

from __future__ import annotations

import json
import os
import resource
import select
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from sprucepost.loop import Address, Co, Loop, sleep
from sprucepost.standin.orders import send_order
from sprucepost.standin.scenario import Scenario
from sprucepost.wire.client import ClientConnection, open_client

START_S = 30.0
SEEDS = 2  # placers that all others know from the start
STRANGERS = 2


class FleetError(Exception):
    """A process did not start, or died when nobody killed it."""


def _digest(address: str) -> str:
    try:
        with urllib.request.urlopen(f"http://{address}/members", timeout=2) as answer:
            return str(json.loads(answer.read())["digest"])
    except (OSError, ValueError) as error:
        return str(error)


class Process:
    """One child; its first line of output is its announcement."""

    def __init__(self, folder: Path, name: str, command: str, settings: dict[str, Any]) -> None:
        self.name, self.http = name, ""
        file = folder / f"{name}.json"
        file.write_text(json.dumps(settings, indent=1))
        self._log = (folder / f"{name}.log").open("ab")
        self.child = subprocess.Popen(
            [sys.executable, "-m", "sprucepost", *command.split(), str(file)],
            stdout=subprocess.PIPE, stderr=self._log, text=True, start_new_session=True,
        )  # fmt: skip

    def announcement(self) -> dict[str, Any]:
        """Its ports. FleetError with the end of its log where it does not come up."""
        out = self.child.stdout
        assert out is not None
        ready, _, _ = select.select([out], [], [], START_S)
        line = out.readline() if ready else ""
        if not line:
            tail = Path(self._log.name).read_text(errors="replace")[-500:].strip()
            raise FleetError(f"{self.name} did not start: {tail or 'no word'}")
        return dict(json.loads(line))

    def stop(self, number: int = signal.SIGTERM) -> None:
        if self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self, limit_s: float) -> int | None:
        """The exit status; None, and killed, where it does not end in time."""
        try:
            return self.child.wait(limit_s)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None
        finally:
            self._log.close()
            if self.child.stdout is not None:
                self.child.stdout.close()


class Fleet:
    """All processes of a run; the :class:`~sprucepost.standin.faults.FleetControl` of the fault injector."""

    def __init__(
        self, loop: Loop, scenario: Scenario, folder: Path, note: Callable[[str, dict[str, Any]], None]
    ) -> None:
        self.loop, self.scenario, self.folder, self._note = loop, scenario, folder, note
        self._cluster = msgspec.to_builtins(scenario.cluster)
        self.processes: dict[str, Process] = {}
        self._control: dict[str, ClientConnection] = {}
        self._placer_ports: dict[int, int] = {}
        self._list_port = 0
        self._size = scenario.placers
        self._generation: dict[str, Any] = {}
        self._limits: dict[int, tuple[int, int]] = {}
        self.exits: dict[str, int | None] = {}
        self._peer_fronts: dict[int, str] = {}  # where others dial a placer that keeps a view
        self._starting: set[str] = set()  # placers that cannot hear a signal yet
        self._leaving: set[str] = set()  # processes that were told to stop while the day goes on

    # Start

    def start(self) -> Co[None]:
        """Start everything; returns when each process has announced itself."""
        scenario = self.scenario
        self._spawn("tap", "tap", {"capture": str(self.folder / "capture.bin")})
        self._spawn("list", "list", {"late_ms": scenario.list_late_ms, "lines_per_s": scenario.list_lines_per_s})
        told = {name: process.announcement() for name, process in self.processes.items()}
        yield from self._connect("tap", told["tap"]["control"])
        yield from self._connect("list", told["list"]["control"])
        self._list_port = (
            yield from self.order_proxy("add", name="list", target=f"127.0.0.1:{told['list']['listen']}")
        )["port"]
        machines = {
            "cluster": self._cluster, "report_to": f"127.0.0.1:{told['list']['listen']}",
            "manners": scenario.class_manners, "seed": scenario.seed,
        }  # fmt: skip
        self._spawn("machines", "machine", machines)
        for number in range(scenario.placers):
            yield from self._place(number)
        for number in range(scenario.placers):
            self._spawn_placer(number)
        if scenario.peers:
            for number in range(STRANGERS):
                yield from self.order_proxy("name", ip=f"127.0.4.{number + 1}", name=f"stranger-{number}")
                self._spawn_stranger(number)
        yield from self._connect("machines", self.processes["machines"].announcement()["control"])
        fronts = []
        for number in range(scenario.placers):
            yield from self._placer_up(number)
            fronts.append((yield from self._front(number)))
        yield from self.order_proxy("name", ip="127.0.2.1", name="owners")
        self._fronts = fronts

    def _place(self, number: int) -> Co[None]:
        """Its name at the tap and, where it keeps a view, a port there: known to others before it listens."""
        ip, name = f"127.0.1.{number + 1}", f"placer-{number}"
        yield from self.order_proxy("name", ip=ip, name=name, zone=self.zone_of(number))
        if self.scenario.peers:
            front = yield from self.order_proxy("add", name=name, target="127.0.0.1:1", zone=self.zone_of(number))
            self._peer_fronts[number] = f"127.0.0.1:{front['port']}"

    def _front(self, number: int) -> Co[str]:
        """The tap's port before that placer."""
        target = f"127.0.0.1:{self._placer_ports[number]}"
        front = yield from self.order_proxy("add", name=f"placer-{number}", target=target, zone=self.zone_of(number))
        return f"127.0.0.1:{front['port']}"

    def start_owners(self) -> Co[None]:
        scenario = self.scenario
        settings = {
            "cluster": self._cluster, "placers": self._fronts, "services": scenario.services(),
            "rate_per_s": scenario.traffic.rate_per_s, "again_ms": scenario.traffic.again_ms,
            "source": "127.0.2.1", "seed": scenario.seed,
        }  # fmt: skip
        self._spawn("owners", "owner watch", settings)
        yield from self._connect("owners", self.processes["owners"].announcement()["control"])

    def placer_address(self, number: int) -> Address:
        """Where the placer itself listens, beside the tap."""
        return "127.0.0.1", self._placer_ports[number]

    def numbers(self) -> list[int]:
        """The placers that have been started, whether they run or not."""
        return sorted(self._placer_ports)

    def zone_of(self, number: int) -> str:
        zones = self.scenario.cluster.zones
        return zones[number % len(zones)]

    def _spawn(self, name: str, command: str, settings: dict[str, Any]) -> None:
        self.processes[name] = Process(self.folder, name, command, settings)

    def _spawn_placer(self, number: int, name: str = "", source: str = "") -> None:
        placer = {
            "number": number, "instances": self._size, "zone": self.zone_of(number), "generation": self._generation,
            "list": f"127.0.0.1:{self._list_port}", "listen": "127.0.0.1:0",
            "source": source or f"127.0.1.{number + 1}", "seed": self.scenario.seed * 1000 + number,
        }  # fmt: skip
        if self.scenario.peers:
            placer["peers"] = self._view(name or f"placer-{number}", number)
        # Through `host`, whose wall clock can be stepped: the placer's own code is what `sprucepost placer` runs.
        self._spawn(name or f"placer-{number}", "host", {"cluster": self._cluster, "placer": placer})

    def _view(self, name: str, number: int, cluster: str = "fleet") -> dict[str, Any]:
        seeds = [self._peer_fronts[n] for n in sorted(self._peer_fronts)[:SEEDS]]
        view = {"cluster": cluster, "seeds": seeds, "name": name, "host": f"host-{number // 2}"}
        return {**view, "advertise": self._peer_fronts[number]} if name == f"placer-{number}" else view

    def _spawn_stranger(self, number: int) -> None:
        """A placer of another fleet in whose settings somebody has put this one's seeds."""
        placer = {
            "number": number, "instances": STRANGERS, "zone": self.zone_of(number), "list": "127.0.0.1:1",
            "listen": "127.0.0.1:0", "source": f"127.0.4.{number + 1}",
            "peers": self._view(f"stranger-{number}", number, "another"),
        }  # fmt: skip
        self._spawn(f"stranger-{number}", "host", {"cluster": self._cluster, "placer": placer})

    def _placer_up(self, number: int) -> Co[None]:
        process = self.processes[f"placer-{number}"]
        told = process.announcement()
        process.http = told["http"]
        self._placer_ports[number] = int(told["listen"].rpartition(":")[2])
        return
        yield

    def _connect(self, name: str, port: int) -> Co[None]:
        self._control[name] = yield from open_client(self.loop, ("127.0.0.1", port))

    # The stage

    def order_machines(self, what: str, /, **arguments: Any) -> Co[Any]:
        return (yield from send_order(self._control["machines"], what, **arguments))

    def order_list(self, what: str, /, **arguments: Any) -> Co[Any]:
        return (yield from send_order(self._control["list"], what, **arguments))

    def order_proxy(self, what: str, /, **arguments: Any) -> Co[Any]:
        return (yield from send_order(self._control["tap"], what, **arguments))

    def order_owners(self, what: str, /, **arguments: Any) -> Co[Any]:
        return (yield from send_order(self._control["owners"], what, **arguments))

    def add_machine(self, model: dict[str, Any], cold: bool) -> Co[None]:
        name = model["name"]
        port = (yield from self.order_machines("add", model=model, cold=cold))["port"]
        front = yield from self.order_proxy("add", name=name, target=f"127.0.0.1:{port}", zone=model["zone"])
        yield from self.order_machines("announce", machine=name, address=f"127.0.0.1:{front['port']}")

    def kill_placer(self, number: int) -> None:
        name = f"placer-{number}"
        self.record_event("placer_killed", placer=name)
        process = self.processes.pop(name, None)  # none where it has stopped by itself by now
        if process is not None:
            process.stop(signal.SIGKILL)
            process.wait(5.0)
        self._leaving.discard(name)
        self._limits.pop(number, None)

    def start_placer(self, number: int) -> Co[None]:
        self._spawn_placer(number)
        process = self.processes[f"placer-{number}"]
        self._starting.add(process.name)
        yield from self._announced(process)
        yield from self._placer_up(number)
        yield from self._front(number)  # it has another port than before
        self._starting.discard(process.name)
        self._tell(process, signal.SIGUSR2)  # what was told while it could not hear
        self._tell(process, signal.SIGHUP)
        self.record_event("placer_started", placer=f"placer-{number}")

    def _tell(self, process: Process | None, number: int) -> None:
        """A signal to a placer, unless it has no handler for it yet."""
        if process is not None and process.name not in self._starting:
            process.stop(number)

    def _announced(self, process: Process) -> Co[None]:
        """Until the process has a word to say; the day goes on meanwhile."""
        out = process.child.stdout
        while out is not None and not select.select([out], [], [], 0)[0]:
            yield from sleep(20.0)

    def stall_placer(self, number: int, stalled: bool) -> None:
        name = f"placer-{number}"
        process = self.processes.get(name)
        if process is not None:
            self.record_event("placer_stopped" if stalled else "placer_continued", placer=name)
            process.stop(signal.SIGSTOP if stalled else signal.SIGCONT)

    def term_placer(self, number: int) -> None:
        name = f"placer-{number}"
        self.record_event("placer_asked_to_stop", placer=name)
        self.processes[name].stop(signal.SIGTERM)
        self._leaving.add(name)

    def limit_descriptors(self, number: int, limited: bool) -> None:
        process = self.processes.get(f"placer-{number}")
        if process is None or process.child.poll() is not None:
            return
        soft, hard = resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE)
        if limited:
            self._limits.setdefault(number, (soft, hard))
            in_use = len(os.listdir(f"/proc/{process.child.pid}/fd"))
            resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, (in_use, hard))
        elif number in self._limits:
            resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, self._limits.pop(number))

    def step_clock(self, number: int, by_ms: float) -> None:
        name = f"placer-{number}"
        (self.folder / f"{name}.clock").write_text(f"{by_ms}\n")
        self._tell(self.processes.get(name), signal.SIGUSR2)

    def start_duplicate(self, number: int) -> Co[None]:
        name, ip = f"twin-{number}", f"127.0.3.{number + 1}"
        if name in self.processes:
            return
        yield from self.order_proxy("name", ip=ip, name=name, zone=self.zone_of(number))
        self._spawn_placer(number, name, ip)
        yield from self._announced(self.processes[name])

    def stop_duplicate(self, number: int) -> None:
        process = self.processes.get(f"twin-{number}")
        if process is not None:
            process.stop(signal.SIGTERM)
            self._leaving.add(process.name)

    def resize(self, size: int, lead_ms: float, overlap_ms: float, notified: int = 0) -> Co[None]:
        before, self._size = self._size, size
        self._generation = {
            "number": 1, "previous_instances": before, "begins_ms": time.time() * 1000.0 + lead_ms,
            "overlap_ms": overlap_ms, "announced": True,
        }  # fmt: skip
        for number in range(before):
            path = self.folder / f"placer-{number}.json"
            raw = json.loads(path.read_text())
            raw["placer"].update(instances=size, generation=self._generation)
            path.with_suffix(".new").write_text(json.dumps(raw, indent=1))
            path.with_suffix(".new").replace(path)
        running = [number for number in range(before) if f"placer-{number}" in self.processes]
        for number in running[: notified or None]:
            self._tell(self.processes.get(f"placer-{number}"), signal.SIGHUP)
        yield from sleep(lead_ms)
        for number in range(before, size):
            yield from self._place(number)
            self._spawn_placer(number)
            yield from self._announced(self.processes[f"placer-{number}"])
            yield from self._placer_up(number)
            self.record_event("placer_started", placer=f"placer-{number}")
            yield from self.order_owners("placer", address=(yield from self._front(number)))

    def views(self) -> list[str]:
        """The digest that each placer which runs shows of its fleet; what keeps it from showing one."""
        found = []
        for number in self.numbers():
            process = self.processes.get(f"placer-{number}")
            if process is not None and process.child.poll() is None:
                found.append(_digest(self.processes[f"placer-{number}"].http))
        return found

    def record_event(self, what: str, **more: Any) -> None:
        self._note(what, more)

    # The end

    def check_alive(self) -> None:
        """FleetError where a process ended by itself."""
        for name, process in list(self.processes.items()):
            if process.child.poll() is not None and name in self._leaving:
                self._leaving.discard(name)
                self.exits[name] = self.processes.pop(name).wait(1.0)
            elif process.child.poll() is not None:
                raise FleetError(f"{name} ended with status {process.child.returncode}; see {self.folder / name}.log")

    def stop(self, first: str, limit_s: float = 20.0) -> None:
        """Ask the processes whose names begin so to stop; their exit statuses are in ``exits``."""
        chosen = {name: process for name, process in self.processes.items() if name.startswith(first)}
        for process in chosen.values():
            process.stop(signal.SIGCONT)
            process.stop(signal.SIGTERM)
        until = time.monotonic() + limit_s
        for name, process in chosen.items():
            self.exits[name] = process.wait(max(0.1, until - time.monotonic()))
            del self.processes[name]

    def kill_all(self) -> None:
        """Whatever happened: no child is left."""
        for process in self.processes.values():
            process.stop(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(5.0)
        self.processes.clear()
