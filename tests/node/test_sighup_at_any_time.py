"""SIGHUP at every moment of a placer's life, from its first one to its last."""

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
BETWEEN_S = 0.001
READY_S, END_S = 20.0, 10.0


def command() -> str:
    """What the deploy file runs, with the Python of this test."""
    document = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    found = [
        line for part in (document, *document.values()) if isinstance(part, dict) for line in [part.get("run")] if line
    ]
    return str(found[0]).replace(".venv/bin/python", sys.executable)


def ignores_hangup(pid: int) -> bool:
    """Whether the process has come so far that SIGHUP does not end it."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = {
        line.split(":")[0]: int(line.split()[1], 16)
        for line in status.splitlines()
        if line[:3] == "Sig" and line[3] in "IBC"
    }
    return any(masks[name] >> (signal.SIGHUP - 1) & 1 for name in ("SigIgn", "SigBlk", "SigCgt"))


# Guards against a placer that ends, or says that it has failed, since a reload met its start or its end.
def test_a_reload_at_any_moment_ends_nothing(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.bulletin.publish(platform.hosts["s-1"].entry(), everything=True)
        environment = platform.environment()
        log = (tmp_path / "log").open("w")
        process = subprocess.Popen(
            command(), shell=True, cwd=ROOT, stdout=log, stderr=log, env={**os.environ, **environment}
        )
        try:
            until = time.monotonic() + READY_S
            while not ignores_hangup(process.pid) and time.monotonic() < until:
                time.sleep(BETWEEN_S)
            task = yield from current()
            up = False
            while not up and process.poll() is None and time.monotonic() < until:
                process.send_signal(signal.SIGHUP)
                try:
                    yield from connect(platform.loop, task, read_config(environment).listen, 100.0)
                    up = True
                except OSError:
                    yield from sleep(1)
            assert up and process.poll() is None, (tmp_path / "log").read_text()
            process.send_signal(signal.SIGTERM)
            until = time.monotonic() + END_S
            while process.poll() is None and time.monotonic() < until:
                process.send_signal(signal.SIGHUP)
                time.sleep(BETWEEN_S)
            assert process.poll() == 0
        finally:
            process.kill()
            process.wait(10)
            log.close()

    run_on_platform(tmp_path, body)
