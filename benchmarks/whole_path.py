"""Measure CPU and latency of a placer per task, from submission to binding.

``python -m benchmarks.whole_path [--profile] [--peers]``; writes ``docs/results/whole-path.json``. The figure is tasks
settled per second of the placer's own CPU time; the minimal peers (``benchmarks.light``) run on other cores. The added
latency is compared with a unary echo on grpc.aio, under its own client, in the same run. ``--peers``: the placer has five
others in its view.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import grpc
import msgspec

from benchmarks.stream_cpu import cpu_s
from tests.peers.fleet import free_ports
from tests.placer.support import cluster

DRIVERS = 2


def start(arguments: list[str]) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
        text=True,
    )  # fmt: skip


def read_json_line(process: subprocess.Popen[str]) -> dict[str, object]:
    """Read one line of JSON from the output of a process."""
    assert process.stdout is not None
    return dict(json.loads(process.stdout.readline()))


async def unary_us(port: int) -> dict[str, float]:
    """Return the latency of a unary echo in microseconds."""
    took = []
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = channel.unary_unary("/b.B/Unary")
        for _ in range(3000):
            began = time.perf_counter()
            await call(b"x" * 100)
            took.append((time.perf_counter() - began) * 1e6)
    took.sort()
    return {"p50": took[len(took) // 2], "p99": took[int(len(took) * 0.99)]}


def main() -> None:
    processes = []
    try:
        drivers = [start(["benchmarks.light", str(n), "6"]) for n in range(DRIVERS)]
        processes += drivers
        lists = [read_json_line(driver)["list"] for driver in drivers]
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "placer.json"
            raw = msgspec.to_builtins(cluster(accepts_cores=100.0, accepts_memory=100.0, report_counts="asked"))
            placer = {"number": 0, "instances": 6, "zone": "room-a", "list": f"127.0.0.1:{lists[0]}", "seed": 1}
            if "--peers" in sys.argv:  # add five other placers to its view
                ports = free_ports(6)
                seeds = [f"127.0.0.1:{port}" for port in ports[:2]]
                for number in range(1, 6):
                    other = {"number": number, "list": "127.0.0.1:1", "listen": f"127.0.0.1:{ports[number]}"}
                    other = {**placer, **other, "peers": {"cluster": "path", "seeds": seeds}}
                    path = Path(folder) / f"other-{number}.json"
                    path.write_text(json.dumps({"cluster": raw, "placer": other}))
                    processes.append(start(["sprucepost", "placer", str(path)]))
                placer |= {"listen": f"127.0.0.1:{ports[0]}", "peers": {"cluster": "path", "seeds": seeds}}
            file.write_text(json.dumps({"cluster": raw, "placer": placer}))
            command = ["sprucepost", "placer", str(file)]
            if "--profile" in sys.argv:
                command = ["cProfile", "-o", "/tmp/placer.prof", "-m", *command]
            process = start(command)
            processes.append(process)
            address = read_json_line(process)["listen"]
            time.sleep(5.0 if "--peers" in sys.argv else 1.0)  # until all placers see each other
            result: dict[str, object] = {}
            for name, active, opened in (("one at a time", 1, 1), ("64 open", 1, 64), ("2 x 100 open", 2, 100)):
                before, began = cpu_s(process.pid), time.monotonic()
                for driver in drivers[:active]:
                    assert driver.stdin is not None
                    driver.stdin.write(f"go {address} {opened} 4\n")
                    driver.stdin.flush()
                done = [read_json_line(driver) for driver in drivers[:active]]
                settled = sum(int(str(d["bound"])) for d in done)
                cpu, wall = cpu_s(process.pid) - before, time.monotonic() - began
                result[name] = {
                    "settled": settled,
                    "other_outcomes": sum(int(str(d["refused"])) + int(str(d["failed"])) for d in done),
                    "cpu_us_each": round(cpu / max(1, settled) * 1e6, 1),
                    "per_cpu_second": round(settled / cpu),
                    "per_wall_second": round(settled / wall),
                    "us": done[0]["us"],
                }
                print(name, result[name])
        echo = start(["benchmarks.echo_servers", "aio"])
        processes.append(echo)
        assert echo.stdout is not None
        unary = asyncio.run(unary_us(int(echo.stdout.readline())))
        path = result["one at a time"]["us"]  # type: ignore[index]
        result["grpc_aio_unary_us"] = {key: round(value) for key, value in unary.items()}
        result["ratio_to_unary"] = {key: round(path[key] / unary[key], 2) for key in ("p50", "p99")}
        print(result["grpc_aio_unary_us"], result["ratio_to_unary"])
        if "--profile" not in sys.argv:
            Path("docs/results/whole-path.json").write_text(json.dumps(result, indent=1) + "\n")
        else:
            process.terminate()
            process.wait(20)
    finally:
        for process in processes:
            process.kill()


if __name__ == "__main__":
    main()
