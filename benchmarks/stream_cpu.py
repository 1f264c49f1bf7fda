"""Compare the server CPU per streamed message with grpc.aio, under the same client in one run.

``python -m benchmarks.stream_cpu`` prints a table and writes ``docs/results/stream-cpu.json``. The rounds of both servers
alternate, so that a change in the machine's speed affects both; the result is the ratio of the mean costs.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path

import grpc

ROUNDS = 5
MESSAGE_BYTES = 120


def cpu_s(pid: int) -> float:
    """Return the user and system CPU seconds of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def ping_pong(channel: grpc.aio.Channel, messages: int) -> None:
    """Send one message at a time, so that nothing can be batched within a stream."""
    call = channel.stream_stream("/b.B/Stream")()
    for _ in range(messages):
        await call.write(bytes(MESSAGE_BYTES))
        await call.read()
    await call.done_writing()
    await call.read()


async def pipelined(channel: grpc.aio.Channel, messages: int) -> None:
    """Write and read concurrently, as with offers and bindings."""
    call = channel.stream_stream("/b.B/Stream")()

    async def write() -> None:
        for _ in range(messages):
            await call.write(bytes(MESSAGE_BYTES))
        await call.done_writing()

    async def read() -> None:
        while await call.read() is not grpc.aio.EOF:
            pass

    await asyncio.gather(write(), read())


MODES = {"ping-pong, 32 streams": (ping_pong, 32, 250), "pipelined, 8 streams": (pipelined, 8, 2000)}


async def run_round(port: int, pid: int, mode: str) -> float:
    body, streams, messages = MODES[mode]
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        await ping_pong(channel, 10)
        before = cpu_s(pid)
        await asyncio.gather(*(body(channel, messages) for _ in range(streams)))
        return (cpu_s(pid) - before) / (streams * messages) * 1e6


def main() -> None:
    servers = {}
    try:
        for kind in ("ours", "aio"):
            process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.echo_servers", kind], stdout=subprocess.PIPE, text=True
            )
            assert process.stdout is not None
            servers[kind] = process, int(process.stdout.readline())
        result = {}
        for mode in MODES:
            cost: dict[str, list[float]] = {"ours": [], "aio": []}
            for _ in range(ROUNDS):
                for kind, (process, port) in servers.items():
                    cost[kind].append(asyncio.run(run_round(port, process.pid, mode)))
            mean = {kind: sum(values) / len(values) for kind, values in cost.items()}
            result[mode] = {
                "ours_us": round(mean["ours"], 1),
                "grpc_aio_us": round(mean["aio"], 1),
                "ratio": round(mean["ours"] / mean["aio"], 2),
            }
            print(
                f"{mode}: ours {mean['ours']:.1f} us, grpc.aio {mean['aio']:.1f} us a message, "
                f"ratio {result[mode]['ratio']}"
            )
        Path("docs/results/stream-cpu.json").write_text(json.dumps(result, indent=1) + "\n")
    finally:
        for process, _ in servers.values():
            process.kill()


if __name__ == "__main__":
    main()
