"""Errors of the command line: one line on standard error and a nonzero exit status."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.test_settings import valid_document


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sprucepost", *arguments], capture_output=True, text=True, timeout=60, check=False
    )


def test_check_show_and_schema(tmp_path: Path) -> None:
    file = tmp_path / "placer.json"
    file.write_text(json.dumps(valid_document()))
    assert run("config", "check", str(file)).stdout == f"{file}: good\n"
    assert json.loads(run("config", "show", str(file)).stdout)["placer"]["answer_margin_ms"] == 50.0
    assert json.loads(run("config", "schema").stdout)["$ref"] == "#/$defs/PlacerFile"


@pytest.mark.parametrize("command", ["placer", "config check"])
def test_invalid_file_is_reported_in_one_line_with_status_2(tmp_path: Path, command: str) -> None:
    file = tmp_path / "placer.json"
    raw = valid_document()
    raw["placer"]["zone"] = "nowhere"
    file.write_text(json.dumps(raw))
    completed = run(*command.split(), str(file))
    assert completed.returncode == 2 and completed.stdout == ""
    assert completed.stderr == f"sprucepost: {file}: placer.zone: 'nowhere' is none of cluster.zones\n"


def test_port_in_use_is_reported(tmp_path: Path) -> None:
    import socket

    with socket.create_server(("127.0.0.1", 0)) as server:
        raw = valid_document()
        raw["placer"]["listen"] = f"127.0.0.1:{server.getsockname()[1]}"
        file = tmp_path / "placer.json"
        file.write_text(json.dumps(raw))
        completed = run("placer", str(file))
    assert (
        completed.returncode == 1
        and "Address already in use" in completed.stderr
        and "Traceback" not in completed.stderr
    )


def test_submission_without_a_placer_is_reported() -> None:
    completed = run("owner", "submit", "127.0.0.1:9", "--name", "t", "--class", "web", "--service", "s")
    assert completed.returncode == 3 and completed.stderr == "sprucepost: no placer answers at 127.0.0.1:9\n"
