"""``sprucepost fleet``: a supervisor of placers on one machine, for tests and small sites.

It opens each placer's listening sockets once and passes them to each successor, so that no connection is refused during
a restart. It limits the number of concurrent starts, restarts crashed placers with exponential backoff, and does
rolling restarts and resizes with announced generations. It is not a cluster's service manager: it supervises this
machine only, and if it dies its placers keep running until they receive a signal.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

MAX_PARALLEL_STARTS = 16
READY_TIMEOUT_S = 60.0
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
BACKOFF_RESET_S = 10.0  # a placer that ran longer than this before it ended restarts with the shortest backoff


@dataclass
class Instance:
    """One placer: its sockets stay open as long as the runner lives; its process may be replaced."""

    number: int
    grpc: socket.socket
    http: socket.socket
    process: subprocess.Popen[str] | None = None
    wanted: bool = True
    started_at: float = 0.0
    restarts: int = 0
    pause_s: float = MIN_BACKOFF_S
    exits: list[int] = field(default_factory=list)

    def address(self, listener: socket.socket) -> str:
        """Return ``host:port`` of one of its sockets."""
        host, port = listener.getsockname()[:2]
        return f"{host}:{port}"


class Runner:
    """Supervises placers ``0 .. size - 1``, started from one settings document.

    ``report`` takes each line for the operator. ``source``, where set, is the first two octets of the placers' local
    addresses, one for each.
    """

    def __init__(
        self, raw: dict[str, Any], folder: Path, report: Callable[[str], None], source: str | None = None
    ) -> None:
        self.raw, self.folder, self.report, self._source = raw, folder, report, source
        self.instances: dict[int, Instance] = {}
        self.generation: dict[str, Any] = {"number": 1}
        self.size = 0
        self._start_slots = threading.Semaphore(MAX_PARALLEL_STARTS)
        self._rng = random.Random(int(raw["placer"].get("seed") or 0))

    # Single placers

    def _write_settings(self, number: int) -> Path:
        """Write the placer's settings file by an atomic replace; its path."""
        zones = self.raw["cluster"]["zones"]
        common = {key: value for key, value in self.raw["placer"].items() if key not in ("number_env", "slots")}
        placer = {
            **common, "number": number, "instances": self.size, "zone": zones[number % len(zones)],
            "generation": self.generation,
        }  # fmt: skip
        if self._source:
            placer["source"] = f"{self._source}.{number // 250}.{number % 250 + 1}"
        path = self.folder / f"placer-{number}.json"
        path.with_suffix(".new").write_text(json.dumps({"cluster": self.raw["cluster"], "placer": placer}))
        path.with_suffix(".new").replace(path)
        return path

    def _instance(self, number: int) -> Instance:
        if number not in self.instances:
            grpc, http = (socket.create_server(("127.0.0.1", 0), backlog=1024) for _ in range(2))
            self.instances[number] = Instance(number, grpc, http)
        return self.instances[number]

    def start(self, number: int) -> Instance:
        """Start a placer and wait until it listens."""
        instance = self._instance(number)
        path = self._write_settings(number)
        with self._start_slots, (self.folder / f"placer-{number}.log").open("ab") as log:
            # The child first runs this short program: it sets LISTEN_PID, which only the child itself knows, moves the
            # sockets to the descriptors of the socket activation protocol, and then executes the placer.
            activate = (
                "import os,sys;a,b=int(sys.argv[1]),int(sys.argv[2]);"
                "x,y=os.dup(a),os.dup(b);os.dup2(x,3);os.dup2(y,4);"
                "os.set_inheritable(3,True);os.set_inheritable(4,True);"
                "os.environ['LISTEN_PID']=str(os.getpid());os.execv(sys.executable,[sys.executable,*sys.argv[3:]])"
            )
            fds = [instance.grpc.fileno(), instance.http.fileno()]
            environ = {**os.environ, "LISTEN_FDS": "2", "LISTEN_FDNAMES": "grpc:http"}
            instance.process = subprocess.Popen(
                [sys.executable, "-S", "-c", activate, *map(str, fds), "-m", "sprucepost", "placer", str(path)],
                stdout=subprocess.PIPE, stderr=log, text=True, pass_fds=fds, env=environ, start_new_session=True,
            )  # fmt: skip
            instance.started_at, instance.wanted = time.monotonic(), True
            assert instance.process.stdout is not None
            instance.process.stdout.readline()
        return instance

    def state(self, instance: Instance) -> str:
        """Return ``ready``, the reason why the placer is not ready, or ``down``."""
        if instance.process is None or instance.process.poll() is not None:
            return "down"
        try:
            with urllib.request.urlopen(f"http://{instance.address(instance.http)}/readyz", timeout=5) as reply:
                return str(reply.read().decode().partition("\n")[0])
        except urllib.error.HTTPError as error:
            return error.read().decode().partition("\n")[0]
        except OSError as error:
            return f"no answer: {error}"

    def stop(self, number: int, timeout_s: float = 60.0) -> int | None:
        """Send SIGTERM and return the exit status; kill the placer and return None where it does not end in time."""
        instance = self.instances[number]
        instance.wanted = False
        process = instance.process
        if process is None:
            return 0
        process.send_signal(signal.SIGTERM)
        try:
            status: int | None = process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            status = None
        if process.stdout is not None:
            process.stdout.close()
        instance.process = None
        instance.exits.append(-9 if status is None else status)
        return status

    # The whole fleet

    def _for_each(
        self, action: Callable[[int], object], numbers: list[int], concurrency: int = MAX_PARALLEL_STARTS
    ) -> None:
        with ThreadPoolExecutor(concurrency) as pool:
            list(pool.map(action, numbers))

    def wait_ready(self, numbers: list[int], timeout_s: float = READY_TIMEOUT_S) -> list[int]:
        """Wait until these placers are ready; return those that are not in time."""
        deadline = time.monotonic() + timeout_s
        waiting = list(numbers)
        while waiting and time.monotonic() < deadline:
            waiting = [number for number in waiting if self.state(self.instances[number]) != "ready"]
            if waiting:
                time.sleep(0.2)
        return waiting

    def up(self, size: int) -> float:
        """Start the fleet and return the seconds until all placers are ready; RuntimeError names those that are not."""
        began = time.monotonic()
        self.size = size
        self._for_each(lambda number: self.start(number), list(range(size)))
        late = self.wait_ready(list(range(size)))
        if late:
            raise RuntimeError(
                f"not ready after {READY_TIMEOUT_S:g} s: {late[:10]} ({self.state(self.instances[late[0]])})"
            )
        return time.monotonic() - began

    def roll(self, batch: int) -> float:
        """Restart every placer, ``batch`` at a time, and return the seconds that it took.

        Each placer settles its open tasks before it ends; its successor inherits its sockets.
        """
        began = time.monotonic()
        numbers = sorted(number for number, instance in self.instances.items() if instance.wanted)

        def replace(number: int) -> None:
            self.stop(number)
            self.start(number)

        for at in range(0, len(numbers), batch):
            chunk = numbers[at : at + batch]
            self._for_each(replace, chunk, batch)
            late = self.wait_ready(chunk)
            if late:
                raise RuntimeError(f"rolling restart stopped: not ready after {READY_TIMEOUT_S:g} s: {late}")
            self.report(f"rolled {min(at + batch, len(numbers))} of {len(numbers)}")
        return time.monotonic() - began

    def resize(self, size: int, lead_s: float, overlap_s: float) -> float:
        """Change the number of placers by an announced generation, and return the seconds that it took.

        All running placers learn of it ``lead_s`` before it begins, all begin it at the same time, and it is over
        ``overlap_s`` later.
        """
        began = time.monotonic()
        before, old = self.size, sorted(n for n, instance in self.instances.items() if instance.wanted)
        self.size = size
        self.generation = {
            "number": self.generation["number"] + 1, "previous_instances": before,
            "begins_ms": time.time() * 1000.0 + lead_s * 1000.0, "overlap_ms": overlap_s * 1000.0, "announced": True,
        }  # fmt: skip
        for number in old:
            self._write_settings(number)
            process = self.instances[number].process
            if process is not None:
                process.send_signal(signal.SIGHUP)
        time.sleep(lead_s)
        added = [number for number in range(size) if number not in old]
        self._for_each(lambda number: self.start(number), added)
        late = self.wait_ready(added)
        if late:
            raise RuntimeError(f"resize stopped before completion: not ready: {late}")
        removed = [number for number in old if number >= size]
        self._for_each(lambda number: self.stop(number), removed)
        for number in removed:
            instance = self.instances.pop(number)
            instance.grpc.close()
            instance.http.close()
        return time.monotonic() - began

    def down(self) -> dict[int, int | None]:
        """Stop all placers; return their exit statuses by number."""
        statuses: dict[int, int | None] = {}
        numbers = [number for number, instance in self.instances.items() if instance.process is not None]
        self._for_each(lambda number: statuses.__setitem__(number, self.stop(number)), numbers, 64)
        return dict(sorted(statuses.items()))

    def restart_crashed(self) -> list[str]:
        """Restart each crashed placer whose backoff has passed; return a line for each."""
        reports = []
        for instance in list(self.instances.values()):
            process = instance.process
            if not instance.wanted or process is None or process.poll() is None:
                continue
            if time.monotonic() - instance.started_at > BACKOFF_RESET_S:
                instance.pause_s = MIN_BACKOFF_S
            if time.monotonic() < instance.started_at + instance.pause_s:
                continue
            instance.exits.append(process.returncode)
            reports.append(f"placer {instance.number} ended with status {process.returncode}, started again")
            instance.restarts += 1
            instance.pause_s = min(MAX_BACKOFF_S, 2 * instance.pause_s) * self._rng.uniform(0.7, 1.3)
            self.start(instance.number)
        return reports

    def summary(self) -> list[dict[str, Any]]:
        """Return the state of each placer, ordered by number."""
        rows = []
        for number, instance in sorted(self.instances.items()):
            process = instance.process
            rows.append(
                {
                    "number": number,
                    "state": self.state(instance),
                    "pid": process.pid if process is not None else None,
                    "grpc": instance.address(instance.grpc),
                    "http": instance.address(instance.http),
                    "restarts": instance.restarts,
                    "exits": instance.exits,
                }
            )
        return rows

    def kill(self) -> None:
        """Kill every placer that still runs."""
        for instance in self.instances.values():
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()


class Control:
    """Serves commands to a runner on a Unix socket in its folder: one line of JSON for each request and reply."""

    def __init__(self, runner: Runner, folder: Path) -> None:
        self._runner = runner
        self.path = folder / "control"
        self.path.unlink(missing_ok=True)
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._socket.bind(str(self.path))
        self._socket.listen(4)
        self._socket.settimeout(0.5)
        self.stopped = False

    def serve(self) -> None:
        """Serve commands and restart crashed placers, until the command ``down``."""
        while not self.stopped:
            for line in self._runner.restart_crashed():
                self._runner.report(line)
            try:
                caller, _ = self._socket.accept()
            except TimeoutError:
                continue
            with caller, caller.makefile("rw") as stream:
                try:
                    reply = self._execute(json.loads(stream.readline()))
                except (RuntimeError, OSError, ValueError, TypeError, KeyError) as error:
                    reply = {"error": f"{type(error).__name__}: {error}"}
                stream.write(json.dumps(reply) + "\n")
                stream.flush()

    def _execute(self, command: dict[str, Any]) -> dict[str, Any]:
        runner, what = self._runner, command.get("what")
        if what == "status":
            return {"size": runner.size, "generation": runner.generation, "placers": runner.summary()}
        if what == "roll":
            return {"took_s": round(runner.roll(max(1, int(command["batch"]))), 2)}
        if what == "resize":
            size = int(command["size"])
            if size < 1:
                raise ValueError("size: must be at least 1")
            return {"took_s": round(runner.resize(size, float(command["lead_s"]), float(command["overlap_s"])), 2)}
        if what == "down":
            self.stopped = True
            return {"exits": runner.down()}
        raise ValueError(f"unknown command {what!r}")

    def close(self) -> None:
        self._socket.close()
        self.path.unlink(missing_ok=True)


def send_command(folder: Path, **command: Any) -> dict[str, Any]:
    """Send a command to the runner of this folder and return its reply; raise OSError where none runs."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as caller:
        caller.connect(str(folder / "control"))
        with caller.makefile("rw") as stream:
            stream.write(json.dumps(command) + "\n")
            stream.flush()
            return dict(json.loads(stream.readline()))
