"""``fleet config`` without a fleet: each error is one line on standard error and exit status 2."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from sprucepost.cli.main import main

CLOSED_PORT = "127.0.0.1:1"


def error_line(*arguments: str) -> str:
    """Run a command that must fail; return its one line of error output."""
    completed = CliRunner().invoke(main, ["fleet", "config", *arguments])
    assert completed.exit_code == 2, completed.output
    assert completed.stderr.startswith("sprucepost: ") and completed.stderr.count("\n") == 1
    return completed.stderr


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (("apply", CLOSED_PORT, "cluster.max_attempts"), "not KEY=VALUE"),
        (("apply", CLOSED_PORT, "=3"), "not KEY=VALUE"),
        (("apply", CLOSED_PORT, "a=1", "a=2"), "a: appears twice"),
        (("apply", CLOSED_PORT, "a=1", "--author", "\udcff"), "UTF-8"),
        (("apply", CLOSED_PORT, "a=1", "--file", "/nowhere/at/all"), "No such file"),
        (("apply", CLOSED_PORT, "a=1"), CLOSED_PORT),
        (("status", CLOSED_PORT), CLOSED_PORT),
        (("history", CLOSED_PORT), CLOSED_PORT),
        (("rollback", CLOSED_PORT, "1@p0/x"), CLOSED_PORT),
    ],
)
def test_invalid_argument_or_unreachable_placer_is_one_line(arguments: tuple[str, ...], expected: str) -> None:
    assert expected in error_line(*arguments)


@pytest.mark.parametrize("text", ["", "[1]", "{", "[" * 100_000, '{"a":' * 900 + "1" + "}" * 900])
def test_file_without_a_json_object_is_one_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "keys.json"
    path.write_text(text)
    error_line("apply", CLOSED_PORT, "--file", str(path))
