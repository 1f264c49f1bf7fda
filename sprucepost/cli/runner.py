"""``sprucepost fleet``: a supervisor of placers on one machine, for tests and small sites.

It opens each placer's listening socket once and passes it on, so that a successor takes it with no connection refused;
limits starts at a time; restarts what crashes, with growing pauses; rolls and resizes with announced generations. It is no
service manager for a cluster: it knows this machine only, and when it dies its placers run on until they are told to stop.
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

PARALLEL_STARTS = 16
READY_S = 60.0
BACKOFF_FIRST_S = 0.5
BACKOFF_MOST_S = 30.0
STEADY_S = 10.0  # one that ran so long before it ended starts again at the first pause


@dataclass
class Instance:
    """One placer: its sockets live as long as the runner, its process does not."""

    number: int
    grpc: socket.socket
    http: socket.socket
    process: subprocess.Popen[str] | None = None
    wanted: bool = True
    started_at: float = 0.0
    restarts: int = 0
    pause_s: float = BACKOFF_FIRST_S
    exits: list[int] = field(default_factory=list)

    def address(self, which: socket.socket) -> str:
        host, port = which.getsockname()[:2]
        return f"{host}:{port}"


class Runner:
    """Placers ``0 .. size - 1`` from one settings file; ``source`` gives each its own local address where it is set."""

    def __init__(
        self, raw: dict[str, Any], folder: Path, say: Callable[[str], None], source: str | None = None
    ) -> None:
        self.raw, self.folder, self.say, self._source = raw, folder, say, source
        self.instances: dict[int, Instance] = {}
        self.generation: dict[str, Any] = {"number": 1}
        self.size = 0
        self._gate = threading.Semaphore(PARALLEL_STARTS)
        self._rng = random.Random(int(raw["placer"].get("seed") or 0))

    # One placer

    def _settings(self, number: int) -> Path:
        zones = self.raw["cluster"]["zones"]
        own = {key: value for key, value in self.raw["placer"].items() if key not in ("number_env", "slots")}
        placer = {
            **own, "number": number, "instances": self.size, "zone": zones[number % len(zones)],
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
        path = self._settings(number)
        with self._gate, (self.folder / f"placer-{number}.log").open("ab") as log:
            # A small go-between sets LISTEN_PID, which only the started process itself can know, and puts the sockets where
            # the protocol has them.
            bridge = (
                "import os,sys;a,b=int(sys.argv[1]),int(sys.argv[2]);"
                "x,y=os.dup(a),os.dup(b);os.dup2(x,3);os.dup2(y,4);"
                "os.set_inheritable(3,True);os.set_inheritable(4,True);"
                "os.environ['LISTEN_PID']=str(os.getpid());os.execv(sys.executable,[sys.executable,*sys.argv[3:]])"
            )
            fds = [instance.grpc.fileno(), instance.http.fileno()]
            environ = {**os.environ, "LISTEN_FDS": "2", "LISTEN_FDNAMES": "grpc:http"}
            instance.process = subprocess.Popen(
                [sys.executable, "-S", "-c", bridge, *map(str, fds), "-m", "sprucepost", "placer", str(path)],
                stdout=subprocess.PIPE, stderr=log, text=True, pass_fds=fds, env=environ, start_new_session=True,
            )  # fmt: skip
            instance.started_at, instance.wanted = time.monotonic(), True
            assert instance.process.stdout is not None
            instance.process.stdout.readline()
        return instance

    def state(self, instance: Instance) -> str:
        """``ready``, the reason it is not, or ``down``."""
        if instance.process is None or instance.process.poll() is not None:
            return "down"
        try:
            with urllib.request.urlopen(f"http://{instance.address(instance.http)}/readyz", timeout=5) as reply:
                return str(reply.read().decode().partition("\n")[0])
        except urllib.error.HTTPError as error:
            return error.read().decode().partition("\n")[0]
        except OSError as error:
            return f"no answer: {error}"

    def stop(self, number: int, limit_s: float = 60.0) -> int | None:
        """SIGTERM and its exit status; SIGKILL and None where it does not end in time."""
        instance = self.instances[number]
        instance.wanted = False
        process = instance.process
        if process is None:
            return 0
        process.send_signal(signal.SIGTERM)
        try:
            status: int | None = process.wait(limit_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            status = None
        if process.stdout is not None:
            process.stdout.close()
        instance.process = None
        instance.exits.append(-9 if status is None else status)
        return status

    # The fleet

    def _all(self, what: Callable[[int], object], numbers: list[int], at_once: int = PARALLEL_STARTS) -> None:
        with ThreadPoolExecutor(at_once) as pool:
            list(pool.map(what, numbers))

    def wait_ready(self, numbers: list[int], limit_s: float = READY_S) -> list[int]:
        """Those that are not ready in time."""
        until = time.monotonic() + limit_s
        waiting = list(numbers)
        while waiting and time.monotonic() < until:
            waiting = [number for number in waiting if self.state(self.instances[number]) != "ready"]
            if waiting:
                time.sleep(0.2)
        return waiting

    def up(self, size: int) -> float:
        """Start the fleet; seconds until all are ready. RuntimeError names who is not."""
        began = time.monotonic()
        self.size = size
        self._all(lambda number: self.start(number), list(range(size)))
        late = self.wait_ready(list(range(size)))
        if late:
            raise RuntimeError(f"not ready after {READY_S:g} s: {late[:10]} ({self.state(self.instances[late[0]])})")
        return time.monotonic() - began

    def roll(self, batch: int) -> float:
        """Replace every placer, ``batch`` at a time: each settles what it took, its successor takes its socket."""
        began = time.monotonic()
        numbers = sorted(number for number, instance in self.instances.items() if instance.wanted)

        def replace(number: int) -> None:
            self.stop(number)
            self.start(number)

        for at in range(0, len(numbers), batch):
            some = numbers[at : at + batch]
            self._all(replace, some, batch)
            late = self.wait_ready(some)
            if late:
                raise RuntimeError(f"the roll stops: not ready after {READY_S:g} s: {late}")
            self.say(f"rolled {min(at + batch, len(numbers))} of {len(numbers)}")
        return time.monotonic() - began

    def resize(self, size: int, lead_s: float, overlap_s: float) -> float:
        """Another size, by an announced generation: told to all, begun by all at one moment, over after the overlap."""
        began = time.monotonic()
        before, old = self.size, sorted(n for n, instance in self.instances.items() if instance.wanted)
        self.size = size
        self.generation = {
            "number": self.generation["number"] + 1, "previous_instances": before,
            "begins_ms": time.time() * 1000.0 + lead_s * 1000.0, "overlap_ms": overlap_s * 1000.0, "announced": True,
        }  # fmt: skip
        for number in old:
            self._settings(number)
            process = self.instances[number].process
            if process is not None:
                process.send_signal(signal.SIGHUP)
        time.sleep(lead_s)
        more = [number for number in range(size) if number not in old]
        self._all(lambda number: self.start(number), more)
        late = self.wait_ready(more)
        if late:
            raise RuntimeError(f"the resize stops half way: not ready: {late}")
        less = [number for number in old if number >= size]
        self._all(lambda number: self.stop(number), less)
        for number in less:
            instance = self.instances.pop(number)
            instance.grpc.close()
            instance.http.close()
        return time.monotonic() - began

    def down(self) -> dict[int, int | None]:
        """Stop all; exit statuses by number."""
        statuses: dict[int, int | None] = {}
        numbers = [number for number, instance in self.instances.items() if instance.process is not None]
        self._all(lambda number: statuses.__setitem__(number, self.stop(number)), numbers, 64)
        return dict(sorted(statuses.items()))

    def look(self) -> list[str]:
        """Restart what has crashed, each after its pause; a line for each."""
        said = []
        for instance in list(self.instances.values()):
            process = instance.process
            if not instance.wanted or process is None or process.poll() is None:
                continue
            if time.monotonic() - instance.started_at > STEADY_S:
                instance.pause_s = BACKOFF_FIRST_S
            if time.monotonic() < instance.started_at + instance.pause_s:
                continue
            instance.exits.append(process.returncode)
            said.append(f"placer {instance.number} ended with status {process.returncode}, started again")
            instance.restarts += 1
            instance.pause_s = min(BACKOFF_MOST_S, 2 * instance.pause_s) * self._rng.uniform(0.7, 1.3)
            self.start(instance.number)
        return said

    def summary(self) -> list[dict[str, Any]]:
        """A row for each placer."""
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
        """Whatever happened: none of ours is left."""
        for instance in self.instances.values():
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()


class Control:
    """Orders to a running runner, a JSON line each way on a unix socket in its folder."""

    def __init__(self, runner: Runner, folder: Path) -> None:
        self._runner = runner
        self.path = folder / "control"
        self.path.unlink(missing_ok=True)
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._socket.bind(str(self.path))
        self._socket.listen(4)
        self._socket.settimeout(0.5)
        self.over = False

    def serve(self) -> None:
        """Take orders, and restart what crashes, until ``down``."""
        while not self.over:
            for line in self._runner.look():
                self._runner.say(line)
            try:
                caller, _ = self._socket.accept()
            except TimeoutError:
                continue
            with caller, caller.makefile("rw") as stream:
                try:
                    reply = self._do(json.loads(stream.readline()))
                except (RuntimeError, OSError, ValueError, TypeError, KeyError) as error:
                    reply = {"error": f"{type(error).__name__}: {error}"}
                stream.write(json.dumps(reply) + "\n")
                stream.flush()

    def _do(self, order: dict[str, Any]) -> dict[str, Any]:
        runner, what = self._runner, order.get("what")
        if what == "status":
            return {"size": runner.size, "generation": runner.generation, "placers": runner.summary()}
        if what == "roll":
            return {"took_s": round(runner.roll(max(1, int(order["batch"]))), 2)}
        if what == "resize":
            size = int(order["size"])
            if size < 1:
                raise ValueError("size: must be at least 1")
            return {"took_s": round(runner.resize(size, float(order["lead_s"]), float(order["overlap_s"])), 2)}
        if what == "down":
            self.over = True
            return {"exits": runner.down()}
        raise ValueError(f"no order {what!r}")

    def close(self) -> None:
        self._socket.close()
        self.path.unlink(missing_ok=True)


def tell(folder: Path, **order: Any) -> dict[str, Any]:
    """Give an order to the runner of that folder; OSError where none is there."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as caller:
        caller.connect(str(folder / "control"))
        with caller.makefile("rw") as stream:
            stream.write(json.dumps(order) + "\n")
            stream.flush()
            return dict(json.loads(stream.readline()))
