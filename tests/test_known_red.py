"""The plugin for known failures, run on small test suites of its own."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SUITE = """
import pathlib
def test_good(): pass
def test_bad(): assert 1 == 2
def test_other(): raise ValueError
def test_third(): assert False
def test_fourth(): assert False
def test_flaky(tmp_path):
    count = pathlib.Path(__file__).with_name("count")
    count.write_text(count.read_text() + "x" if count.exists() else "x")
    assert len(count.read_text()) % 3
"""


def run(folder: Path, listed: str, *names: str) -> tuple[int, str]:
    """Run those tests of the suite with that list; return the exit code and the output."""
    (folder / "test_it.py").write_text(SUITE)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text(listed)
    tests = [f"test_it.py::{name}" for name in names] or ["test_it.py"]
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider", *tests]
    result = subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True)
    return result.returncode, result.stdout + result.stderr


def test_a_listed_failure_is_printed_and_does_not_fail_the_run(tmp_path: Path) -> None:
    code, text = run(tmp_path, "test_it.py::test_bad, the host, slow, answers twice, 36\n", "test_good", "test_bad")
    assert code == 0 and "1 passed, 1 xfailed" in text
    assert "test_it.py::test_bad failed, as known: the host, slow, answers twice (issue 36)" in text


def test_an_unlisted_failure_fails_the_run(tmp_path: Path) -> None:
    code, text = run(tmp_path, "test_it.py::test_bad, cause, 36\n", "test_bad", "test_other")
    assert code == 1 and "1 failed, 1 xfailed" in text


def test_a_listed_test_that_passes_every_time_fails_the_run(tmp_path: Path) -> None:
    code, text = run(tmp_path, "test_it.py::test_good, cause, 36\n", "test_good")
    assert code == 1 and "remove its line from KNOWN-RED.txt" in text


def test_a_listed_flaky_failure_does_not_fail_the_run(tmp_path: Path) -> None:
    code, text = run(tmp_path, "test_it.py::test_flaky, cause, 36\n", "test_flaky")
    assert code == 0 and "1 xfailed" in text and (tmp_path / "count").read_text() == "xxx"


@pytest.mark.parametrize(
    "listed",
    [
        "test_it.py::test_gone, cause, 36", "test_that.py::test_bad, cause, 36", "test_it.py::test_bad, 36",
        "test_it.py::test_bad", "test_it.py::test_bad, a, 1\ntest_it.py::test_bad, b, 2",
        "\n".join(f"test_it.py::test_{name}, cause, 36" for name in ("bad", "other", "third", "fourth")),
    ],
)  # fmt: skip
def test_a_malformed_list_fails_the_run(tmp_path: Path, listed: str) -> None:
    code, text = run(tmp_path, listed)
    assert code not in (0, 1) and "KNOWN-RED.txt" in text and "passed" not in text


def test_three_lines_are_allowed(tmp_path: Path) -> None:
    listed = "\n".join(f"test_it.py::test_{name}, cause, 36" for name in ("bad", "other", "third"))
    code, text = run(tmp_path, listed, "test_good", "test_bad", "test_other", "test_third")
    assert code == 0 and "3 xfailed" in text


def test_this_suite_loads_the_plugin(pytestconfig: pytest.Config) -> None:
    assert pytestconfig.pluginmanager.hasplugin("tests.known_red")
