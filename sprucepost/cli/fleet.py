"""A fleet of processes on loopback: placers, machines, the list, owners and the recording proxy between them."""

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

START_TIMEOUT_S = 30.0
SEED_PLACERS = 2  # placers in the seeds of all others
FOREIGN_PLACERS = 2  # placers of another fleet with the seeds of this one


class FleetError(Exception):
    """A process did not start, or ended unexpectedly."""


def _view_digest(address: str) -> str:
    """Return the digest of the placer's view, or why it cannot be read."""
    try:
        with urllib.request.urlopen(f"http://{address}/members", timeout=2) as answer:
            return str(json.loads(answer.read())["digest"])
    except (OSError, ValueError) as error:
        return str(error)


class Process:
    """A child process that prints its ports as its first line of output, once it listens."""

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
        """Wait for the first line and return its ports; raise FleetError with the end of its log where none comes."""
        out = self.child.stdout
        assert out is not None
        ready, _, _ = select.select([out], [], [], START_TIMEOUT_S)
        line = out.readline() if ready else ""
        if not line:
            tail = Path(self._log.name).read_text(errors="replace")[-500:].strip()
            raise FleetError(f"{self.name} did not start: {tail or 'no output'}")
        return dict(json.loads(line))

    def stop(self, signal_number: int = signal.SIGTERM) -> None:
        """Send a signal to the process if it still runs."""
        if self.child.poll() is None:
            self.child.send_signal(signal_number)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit status; kill the process and return None where it does not end in time."""
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None
        finally:
            self._log.close()
            if self.child.stdout is not None:
                self.child.stdout.close()


class Fleet:
    """All processes of a run; implements :class:`~sprucepost.standin.faults.FleetControl` for the fault injector."""

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
        self._descriptor_limits: dict[int, tuple[int, int]] = {}  # by placer: soft and hard limit before a fault
        self.exits: dict[str, int | None] = {}
        self._peer_addresses: dict[int, str] = {}  # proxy address of each placer that keeps a view
        self._starting: set[str] = set()  # placers that do not handle signals yet
        self._stopping: set[str] = set()  # processes that were asked to stop during the run

    # Start

    def start(self) -> Co[None]:
        """Start all processes but the owners; return when each has printed its ports."""
        scenario = self.scenario
        self._spawn("tap", "tap", {"capture": str(self.folder / "capture.bin")})
        self._spawn("list", "list", {"late_ms": scenario.list_late_ms, "lines_per_s": scenario.list_lines_per_s})
        ports = {name: process.announcement() for name, process in self.processes.items()}
        yield from self._connect("tap", ports["tap"]["control"])
        yield from self._connect("list", ports["list"]["control"])
        self._list_port = (
            yield from self.order_proxy("add", name="list", target=f"127.0.0.1:{ports['list']['listen']}")
        )["port"]
        machines = {
            "cluster": self._cluster, "report_to": f"127.0.0.1:{ports['list']['listen']}",
            "manners": scenario.class_manners, "seed": scenario.seed,
        }  # fmt: skip
        self._spawn("machines", "machine", machines)
        for number in range(scenario.placers):
            yield from self._register_placer(number)
        for number in range(scenario.placers):
            self._spawn_placer(number)
        if scenario.peers:
            for number in range(FOREIGN_PLACERS):
                yield from self.order_proxy("name", ip=f"127.0.4.{number + 1}", name=f"stranger-{number}")
                self._spawn_foreign_placer(number)
        yield from self._connect("machines", self.processes["machines"].announcement()["control"])
        addresses = []
        for number in range(scenario.placers):
            yield from self._record_ports(number)
            addresses.append((yield from self._add_proxy_port(number)))
        yield from self.order_proxy("name", ip="127.0.2.1", name="owners")
        self._proxy_addresses = addresses

    def _register_placer(self, number: int) -> Co[None]:
        """Register a placer at the proxy and, where it keeps a view, add a port that others know before it listens."""
        ip, name = f"127.0.1.{number + 1}", f"placer-{number}"
        yield from self.order_proxy("name", ip=ip, name=name, zone=self.zone_of(number))
        if self.scenario.peers:
            proxy = yield from self.order_proxy("add", name=name, target="127.0.0.1:1", zone=self.zone_of(number))
            self._peer_addresses[number] = f"127.0.0.1:{proxy['port']}"

    def _add_proxy_port(self, number: int) -> Co[str]:
        """Point the proxy at the placer's current port; return the proxy's address."""
        target = f"127.0.0.1:{self._placer_ports[number]}"
        proxy = yield from self.order_proxy("add", name=f"placer-{number}", target=target, zone=self.zone_of(number))
        return f"127.0.0.1:{proxy['port']}"

    def start_owners(self) -> Co[None]:
        """Start the process of all owners; they connect to the placers through the proxy."""
        scenario = self.scenario
        settings = {
            "cluster": self._cluster, "placers": self._proxy_addresses, "services": scenario.services(),
            "rate_per_s": scenario.traffic.rate_per_s, "again_ms": scenario.traffic.again_ms,
            "source": "127.0.2.1", "seed": scenario.seed,
        }  # fmt: skip
        self._spawn("owners", "owner watch", settings)
        yield from self._connect("owners", self.processes["owners"].announcement()["control"])

    def placer_address(self, number: int) -> Address:
        """Return the placer's own address, which bypasses the proxy."""
        return "127.0.0.1", self._placer_ports[number]

    def numbers(self) -> list[int]:
        """Return the numbers of all placers that have been started, running or not."""
        return sorted(self._placer_ports)

    def zone_of(self, number: int) -> str:
        """Return the zone of a placer; placers are spread over the zones in turn."""
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
            placer["peers"] = self._peer_settings(name or f"placer-{number}", number)
        # The `host` command allows for steps of the wall clock; otherwise it runs the same code as `sprucepost placer`.
        self._spawn(name or f"placer-{number}", "host", {"cluster": self._cluster, "placer": placer})

    def _peer_settings(self, name: str, number: int, cluster: str = "fleet") -> dict[str, Any]:
        seeds = [self._peer_addresses[n] for n in sorted(self._peer_addresses)[:SEED_PLACERS]]
        peers = {"cluster": cluster, "seeds": seeds, "name": name, "host": f"host-{number // 2}"}
        return {**peers, "advertise": self._peer_addresses[number]} if name == f"placer-{number}" else peers

    def _spawn_foreign_placer(self, number: int) -> None:
        """Start a placer of another fleet that is misconfigured with the seeds of this one."""
        placer = {
            "number": number, "instances": FOREIGN_PLACERS, "zone": self.zone_of(number), "list": "127.0.0.1:1",
            "listen": "127.0.0.1:0", "source": f"127.0.4.{number + 1}",
            "peers": self._peer_settings(f"stranger-{number}", number, "another"),
        }  # fmt: skip
        self._spawn(f"stranger-{number}", "host", {"cluster": self._cluster, "placer": placer})

    def _record_ports(self, number: int) -> Co[None]:
        """Read the ports that a started placer printed."""
        process = self.processes[f"placer-{number}"]
        ports = process.announcement()
        process.http = ports["http"]
        self._placer_ports[number] = int(ports["listen"].rpartition(":")[2])
        return
        yield

    def _connect(self, name: str, port: int) -> Co[None]:
        self._control[name] = yield from open_client(self.loop, ("127.0.0.1", port))

    # Control of the simulated peers, the proxy and the placers

    def order_machines(self, what: str, /, **arguments: Any) -> Co[Any]:
        return (yield from send_order(self._control["machines"], what, **arguments))

    def order_list(self, what: str, /, **arguments: Any) -> Co[Any]:
        return (yield from send_order(self._control["list"], what, **arguments))

    def order_proxy(self, what: str, /, **arguments: Any) -> Co[Any]:
        return (yield from send_order(self._control["tap"], what, **arguments))

    def order_owners(self, what: str, /, **arguments: Any) -> Co[Any]:
        return (yield from send_order(self._control["owners"], what, **arguments))

    def add_machine(self, model: dict[str, Any], cold: bool) -> Co[None]:
        """Add a machine behind the proxy and have it announced to the list."""
        name = model["name"]
        port = (yield from self.order_machines("add", model=model, cold=cold))["port"]
        proxy = yield from self.order_proxy("add", name=name, target=f"127.0.0.1:{port}", zone=model["zone"])
        yield from self.order_machines("announce", machine=name, address=f"127.0.0.1:{proxy['port']}")

    def kill_placer(self, number: int) -> None:
        """End a placer by SIGKILL."""
        name = f"placer-{number}"
        self.record_event("placer_killed", placer=name)
        process = self.processes.pop(name, None)  # None where it has already ended
        if process is not None:
            process.stop(signal.SIGKILL)
            process.wait(5.0)
        self._stopping.discard(name)
        self._descriptor_limits.pop(number, None)

    def start_placer(self, number: int) -> Co[None]:
        """Start a placer again, and wait until it listens."""
        self._spawn_placer(number)
        process = self.processes[f"placer-{number}"]
        self._starting.add(process.name)
        yield from self._wait_for_announcement(process)
        yield from self._record_ports(number)
        yield from self._add_proxy_port(number)  # its port differs from the one before
        self._starting.discard(process.name)
        self._signal(process, signal.SIGUSR2)  # signals that were held back while it had no handlers
        self._signal(process, signal.SIGHUP)
        self.record_event("placer_started", placer=f"placer-{number}")

    def _signal(self, process: Process | None, signal_number: int) -> None:
        """Send a signal to a placer, unless it has no handler for it yet."""
        if process is not None and process.name not in self._starting:
            process.stop(signal_number)

    def _wait_for_announcement(self, process: Process) -> Co[None]:
        """Wait until the process has printed something, without blocking the event loop."""
        out = process.child.stdout
        while out is not None and not select.select([out], [], [], 0)[0]:
            yield from sleep(20.0)

    def stall_placer(self, number: int, stalled: bool) -> None:
        """Stop a placer by SIGSTOP, or continue it."""
        name = f"placer-{number}"
        process = self.processes.get(name)
        if process is not None:
            self.record_event("placer_stopped" if stalled else "placer_continued", placer=name)
            process.stop(signal.SIGSTOP if stalled else signal.SIGCONT)

    def term_placer(self, number: int) -> None:
        """Send SIGTERM to a placer without waiting for its end."""
        name = f"placer-{number}"
        self.record_event("placer_asked_to_stop", placer=name)
        self.processes[name].stop(signal.SIGTERM)
        self._stopping.add(name)

    def limit_descriptors(self, number: int, limited: bool) -> None:
        """Limit a placer's file descriptors to those in use, or restore its limit."""
        process = self.processes.get(f"placer-{number}")
        if process is None or process.child.poll() is not None:
            return
        soft, hard = resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE)
        if limited:
            self._descriptor_limits.setdefault(number, (soft, hard))
            in_use = len(os.listdir(f"/proc/{process.child.pid}/fd"))
            resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, (in_use, hard))
        elif number in self._descriptor_limits:
            resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, self._descriptor_limits.pop(number))

    def step_clock(self, number: int, by_ms: float) -> None:
        """Set the offset of a placer's wall clock, in ms."""
        name = f"placer-{number}"
        (self.folder / f"{name}.clock").write_text(f"{by_ms}\n")
        self._signal(self.processes.get(name), signal.SIGUSR2)

    def start_duplicate(self, number: int) -> Co[None]:
        """Start a second process with the number of a placer."""
        name, ip = f"twin-{number}", f"127.0.3.{number + 1}"
        if name in self.processes:
            return
        yield from self.order_proxy("name", ip=ip, name=name, zone=self.zone_of(number))
        self._spawn_placer(number, name, ip)
        yield from self._wait_for_announcement(self.processes[name])

    def stop_duplicate(self, number: int) -> None:
        """Send SIGTERM to the second process with the number of a placer."""
        process = self.processes.get(f"twin-{number}")
        if process is not None:
            process.stop(signal.SIGTERM)
            self._stopping.add(process.name)

    def resize(self, size: int, lead_ms: float, overlap_ms: float, notified: int = 0) -> Co[None]:
        """Change the number of placers by an announced generation; ``told``: how many are notified of it, 0 for all."""
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
            self._signal(self.processes.get(f"placer-{number}"), signal.SIGHUP)
        yield from sleep(lead_ms)
        for number in range(before, size):
            yield from self._register_placer(number)
            self._spawn_placer(number)
            yield from self._wait_for_announcement(self.processes[f"placer-{number}"])
            yield from self._record_ports(number)
            self.record_event("placer_started", placer=f"placer-{number}")
            yield from self.order_owners("placer", address=(yield from self._add_proxy_port(number)))

    def views(self) -> list[str]:
        """Return the digest of each running placer's view, or why it cannot be read."""
        found = []
        for number in self.numbers():
            process = self.processes.get(f"placer-{number}")
            if process is not None and process.child.poll() is None:
                found.append(_view_digest(self.processes[f"placer-{number}"].http))
        return found

    def record_event(self, what: str, **more: Any) -> None:
        """Record an event of the run."""
        self._note(what, more)

    # Shutdown

    def check_alive(self) -> None:
        """Raise FleetError if a process ended without being asked to."""
        for name, process in list(self.processes.items()):
            if process.child.poll() is not None and name in self._stopping:
                self._stopping.discard(name)
                self.exits[name] = self.processes.pop(name).wait(1.0)
            elif process.child.poll() is not None:
                raise FleetError(f"{name} ended with status {process.child.returncode}; see {self.folder / name}.log")

    def stop(self, prefix: str, timeout_s: float = 20.0) -> None:
        """Stop the processes whose names begin with ``prefix``; their exit statuses are added to ``exits``."""
        chosen = {name: process for name, process in self.processes.items() if name.startswith(prefix)}
        for process in chosen.values():
            process.stop(signal.SIGCONT)
            process.stop(signal.SIGTERM)
        deadline = time.monotonic() + timeout_s
        for name, process in chosen.items():
            self.exits[name] = process.wait(max(0.1, deadline - time.monotonic()))
            del self.processes[name]

    def kill_all(self) -> None:
        """Kill every process that still runs."""
        for process in self.processes.values():
            process.stop(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(5.0)
        self.processes.clear()
