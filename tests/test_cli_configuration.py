"""``fleet config`` without a fleet: what can't be asked is one line and exit status 2."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from sprucepost.cli.main import main

NOBODY = "127.0.0.1:1"


def refused(*words: str) -> str:
    """The one line that the command ends with."""
    done = CliRunner().invoke(main, ["fleet", "config", *words])
    assert done.exit_code == 2, done.output
    assert done.stderr.startswith("sprucepost: ") and done.stderr.count("\n") == 1
    return done.stderr


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (("apply", NOBODY, "cluster.max_attempts"), "not KEY=VALUE"),
        (("apply", NOBODY, "=3"), "not KEY=VALUE"),
        (("apply", NOBODY, "a=1", "a=2"), "a: appears twice"),
        (("apply", NOBODY, "a=1", "--author", "\udcff"), "UTF-8"),
        (("apply", NOBODY, "a=1", "--file", "/nowhere/at/all"), "No such file"),
        (("apply", NOBODY, "a=1"), NOBODY),
        (("status", NOBODY), NOBODY),
        (("history", NOBODY), NOBODY),
        (("rollback", NOBODY, "1@p0/x"), NOBODY),
    ],
)
def test_what_cannot_be_asked_is_one_line(words: tuple[str, ...], said: str) -> None:
    assert said in refused(*words)


@pytest.mark.parametrize("text", ["", "[1]", "{", "[" * 100_000, '{"a":' * 900 + "1" + "}" * 900])
def test_a_file_that_is_no_object_is_one_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "keys.json"
    path.write_text(text)
    refused("apply", NOBODY, "--file", str(path))
