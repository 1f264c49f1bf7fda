"""SIGHUP throughout a placer's run, from its start to its exit."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from sprucepost.loop import Co, connect, current, sleep
from sprucepost.node.config import read_config
from tests.node.platform import Platform, run_on_platform

ROOT = Path(__file__).parent.parent.parent
POLL_INTERVAL_S = 0.001
READY_TIMEOUT_S, EXIT_TIMEOUT_S = 20.0, 10.0


def deploy_command() -> str:
    """Return the command that the deploy file runs, with the Python interpreter of this test."""
    document = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    commands = [
        line for part in (document, *document.values()) if isinstance(part, dict) for line in [part.get("run")] if line
    ]
    return str(commands[0]).replace(".venv/bin/python", sys.executable)


def ignores_hangup(pid: int) -> bool:
    """Return whether the process ignores, blocks or handles SIGHUP by now, so that the signal does not end it."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = {
        line.split(":")[0]: int(line.split()[1], 16)
        for line in status.splitlines()
        if line[:3] == "Sig" and line[3] in "IBC"
    }
    return any(masks[name] >> (signal.SIGHUP - 1) & 1 for name in ("SigIgn", "SigBlk", "SigCgt"))


# Guards against a placer that exits, or exits with an error, because of a reload during its start or shutdown.
def test_sighup_at_any_time_does_not_end_the_process(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.bulletin.publish(platform.hosts["s-1"].entry(), everything=True)
        environment = platform.environment()
        log = (tmp_path / "log").open("w")
        process = subprocess.Popen(
            deploy_command(), shell=True, cwd=ROOT, stdout=log, stderr=log, env={**os.environ, **environment}
        )
        try:
            deadline = time.monotonic() + READY_TIMEOUT_S
            while not ignores_hangup(process.pid) and time.monotonic() < deadline:
                time.sleep(POLL_INTERVAL_S)
            task = yield from current()
            connected = False
            while not connected and process.poll() is None and time.monotonic() < deadline:
                process.send_signal(signal.SIGHUP)
                try:
                    yield from connect(platform.loop, task, read_config(environment).listen, 100.0)
                    connected = True
                except OSError:
                    yield from sleep(1)
            assert connected and process.poll() is None, (tmp_path / "log").read_text()
            process.send_signal(signal.SIGTERM)
            deadline = time.monotonic() + EXIT_TIMEOUT_S
            while process.poll() is None and time.monotonic() < deadline:
                process.send_signal(signal.SIGHUP)
                time.sleep(POLL_INTERVAL_S)
            assert process.poll() == 0
        finally:
            process.kill()
            process.wait(10)
            log.close()

    run_on_platform(tmp_path, body)
