"""Unplanned ends: a placer killed during its stop, two placers with one number under load, a blocked loop."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from sprucepost.loop import Co, sleep
from sprucepost.standin.owner_link import OwnerLink
from tests.placer.support import ReceivedFrames, World, run_in_world, task
from tests.wire.support import wait_for

ROOT = Path(__file__).parent.parent.parent
# From the request to stop, over refusing tasks, to waiting for the last attempts.
STAGES_MS = (0, 5, 30, 120, 400, 1500)


def test_kills_at_every_stage_of_a_stop_and_two_placers_with_one_number_for_20_s(tmp_path: Path) -> None:
    day = json.loads((ROOT / "sprucepost" / "standin" / "badday.json").read_text())
    stops = [
        {"kind": "placer_stop", "at_s": 2.0 + 4.0 * n, "len_s": 1.0, "size": size, "part": 0.2}
        for n, size in enumerate(STAGES_MS)
    ]
    load = [{"kind": "burst", "at_s": 2.0 + 8.0 * n, "len_s": 3.0, "size": 2.0} for n in range(3)]
    day |= {
        "name": "ends", "length_s": 28, "seed": 5,
        "faults": [{"kind": "same_number", "at_s": 3.0, "len_s": 20.0, "part": 0.0}, *load, *stops],
    }  # fmt: skip
    file = tmp_path / "ends.json"
    file.write_text(json.dumps(day))
    completed = subprocess.run(
        [sys.executable, "-m", "sprucepost", "badday", str(file), "--quiet", "--record", str(tmp_path / "record")],
        capture_output=True, text=True, timeout=180, check=False,
    )  # fmt: skip
    assert completed.returncode == 0, completed.stdout + completed.stderr
    result = json.loads((tmp_path / "record" / "result.json").read_text())
    checked = [rule["checked"] for rule in result["rules"]]
    assert checked[0] > 200 and checked[1] > 200 and checked[2] > 200 and checked[4] > 100
    assert result["owners"]["open"] == result["owners"]["second_answers"] == 0
    events = [json.loads(line)["what"] for line in (tmp_path / "record" / "events.jsonl").read_text().splitlines()]
    assert events.count("placer_killed") >= len(STAGES_MS)


class WatchdogManager:
    """A service manager's side of the watchdog: tells whether ``WATCHDOG=1`` has not been sent for too long."""

    def __init__(self, path: Path) -> None:
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.socket.bind(str(path))
        self.socket.setblocking(False)
        self.last_watchdog_s: float | None = None

    def has_expired(self) -> bool:
        """Whether a watchdog of 500 ms has expired."""
        while True:
            try:
                message = self.socket.recv(4096)
            except BlockingIOError:
                break
            if b"WATCHDOG=1" in message:
                self.last_watchdog_s = time.monotonic()
        return self.last_watchdog_s is not None and time.monotonic() - self.last_watchdog_s > 0.5


def test_the_manager_detects_a_blocked_loop_and_other_placers_work_on(tmp_path: Path) -> None:
    """One of two placers is stopped; its manager gets no more watchdog messages and kills it.

    Every request at the other placer is answered as usual. Tasks of the killed one run on until its successor or an
    owner claims them.
    """
    manager = WatchdogManager(tmp_path / "notify")

    def body(world: World) -> Co[Any]:
        for n in range(3):
            world.machine(f"m{n}", "room-a" if n % 2 else "room-b")
        assert isinstance(world.list_tap, tuple)
        processes, links = [], []
        for number in range(2):
            options = {
                "number": number, "instances": 2, "zone": "room-a", "seed": number, "source": f"127.0.1.{number + 1}",
                "list": f"127.0.0.1:{world.list_tap[1]}",
            }  # fmt: skip
            file = tmp_path / f"{number}.json"
            file.write_text(json.dumps({"cluster": msgspec.to_builtins(world.cluster), "placer": options}))
            watch = {"NOTIFY_SOCKET": str(tmp_path / "notify"), "WATCHDOG_USEC": "200000"} if number == 0 else {}
            process = subprocess.Popen(
                [sys.executable, "-m", "sprucepost", "placer", str(file)], stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL, text=True, env={**os.environ, **watch},
            )  # fmt: skip
            processes.append(process)
            assert process.stdout is not None
            while not (line := process.stdout.readline()):
                yield from sleep(10.0)
            host, _, port = json.loads(line)["listen"].rpartition(":")
            proxy_address, received = world.tap.add(f"placer-{number}", (host, int(port))), ReceivedFrames()
            link = OwnerLink(
                world.loop, world.scope, proxy_address, "o", received.take, lambda resumed: None, source="127.0.2.1"
            )
            links.append((link, received))
        try:
            yield from wait_for(lambda: all(link.up for link, _ in links), 10_000)
            yield from wait_for(lambda: manager.has_expired() or manager.last_watchdog_s is not None, 5000)
            yield from sleep(1500.0)  # the placers have the list and streams to the machines by now
            (blocked, at_blocked), (other, at_other) = links
            for n in range(6):
                blocked.submit(f"a{n}", task(life_ms=5000), 3000)
            yield from wait_for(lambda: all("bound" in at_blocked.outcomes(f"a{n}") for n in range(6)), 5000)
            processes[0].send_signal(signal.SIGSTOP)  # its loop does not run any more
            killed_after, n, began = 0.0, 0, world.loop.now()
            while world.loop.now() - began < 2500:
                other.submit(f"b{n}", task(life_ms=100), 2000)
                n += 1
                if not killed_after and manager.has_expired():
                    processes[0].kill()
                    killed_after = world.loop.now() - began
                yield from sleep(50.0)
            yield from wait_for(lambda: all(at_other.outcomes(f"b{k}") for k in range(n)), 4000)
            bound = sum(at_other.outcomes(f"b{k}") == ["bound"] for k in range(n))
            return killed_after, bound, n, processes[0].wait(10)
        finally:
            for process in processes:
                process.kill()
                process.wait()

    killed_after, bound, asked, status = run_in_world(body, limit_ms=40_000)
    assert status == -signal.SIGKILL and 400 < killed_after < 2400
    assert bound == asked > 15
