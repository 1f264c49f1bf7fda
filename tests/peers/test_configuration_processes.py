"""Tests the replicated configuration of placer processes under injected faults.

Durations are measured elsewhere, on an idle machine; these tests must also pass on a busy one.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from sprucepost.settings import ConfigurationOptions
from tests.peers.fleet import ROOT, Fleet

PLACERS = 5
ALL = range(PLACERS)
TIMEOUT_S = 120.0  # these steps take a second or two on an idle machine
ATTEMPTS, RETRY, SHARE = "cluster.max_attempts", "cluster.max_retry_after_ms", "cluster.over_share_worth"
NOT_CAUGHT_UP = "not caught up with the connected placers yet: try again"


class Operators:
    """Runs the commands that change the configuration of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def begin(self, number: int, command: str, *arguments: str) -> subprocess.Popen[str]:
        """Starts a ``fleet config`` command at a placer."""
        address = f"127.0.0.1:{self.fleet.ports[self.fleet.size + number]}"
        return subprocess.Popen(
            [sys.executable, "-m", "sprucepost", "fleet", "config", command, address, *arguments],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, cwd=ROOT,
        )  # fmt: skip

    def run(self, number: int, command: str, *arguments: str) -> tuple[int, str]:
        """Runs a command; returns its exit status and output."""
        return ended(self.begin(number, command, *arguments))

    def apply(self, number: int, *arguments: str) -> str:
        """Makes a change; returns its position.

        A placer refuses changes until it has caught up with its peers, so the command is retried.
        """
        for _ in range(60):
            status, text = self.run(number, "apply", *arguments)
            if status == 0:
                return text.split()[1]
            assert NOT_CAUGHT_UP in text, text
        raise AssertionError("not caught up after 60 attempts")

    def wait_in_force(self, values: dict[str, Any], numbers: Any = ALL) -> None:
        """Waits until the values are in force at all of these placers and all have the same version."""

        def reached() -> bool:
            shown = [self.fleet.configuration_of(number) for number in numbers]
            alike = len({(page["version"], page["digest"]) for page in shown}) == 1
            return alike and all(page["in_force"][key] == values[key] for page in shown for key in values)

        self.fleet.wait(reached, TIMEOUT_S)

    def states(self, number: int) -> dict[str, str]:
        """Returns the state of each change, as shown by one placer."""
        return {entry["position"]: entry["state"] for entry in self.fleet.configuration_of(number)["history"]}


def ended(process: subprocess.Popen[str]) -> tuple[int, str]:
    out, err = process.communicate(timeout=TIMEOUT_S)
    return process.returncode, out + err


def started(folder: Path) -> Fleet:
    return Fleet(folder, PLACERS, configuration=ConfigurationOptions())


def test_a_change_reaches_all_placers_and_one_that_restarts_with_an_old_file(tmp_path: Path) -> None:
    with started(tmp_path) as fleet:
        operators = Operators(fleet)
        fleet.start(*ALL)
        fleet.wait(fleet.settled, TIMEOUT_S)
        operators.apply(2, f"{ATTEMPTS}=7", "--author", "ann", "--comment", "more room")
        operators.wait_in_force({ATTEMPTS: 7})
        for number in ALL:
            fleet.wait(lambda number=number: fleet.logged(number, "configuration") != [], TIMEOUT_S)  # type: ignore[misc]
            assert fleet.logged(number, "configuration")[-1]["keys"] == [ATTEMPTS]
        assert b"sprucepost_configuration_number 2.0" in fleet.page(4, "/metrics")

        fleet.end(2)  # the placer that accepted the change crashes
        operators.apply(3, f"{RETRY}=1500")
        others = [number for number in ALL if number != 2]
        operators.wait_in_force({ATTEMPTS: 7, RETRY: 1500}, others)
        fleet.start(2, deployment={"max_attempts": 5})  # and restarts with an outdated file
        operators.wait_in_force({ATTEMPTS: 7, RETRY: 1500})
        fleet.wait(fleet.settled, TIMEOUT_S)
        assert operators.run(2, "status")[0] == 0

        fleet.file(2, deployment={"max_attempts": 9})
        fleet.signal(2, signal.SIGHUP)
        fleet.wait(lambda: fleet.logged(2, "file_keys_without_effect") != [], TIMEOUT_S)
        assert fleet.logged(2, "file_keys_without_effect")[-1]["keys"] == [ATTEMPTS]
        operators.wait_in_force({ATTEMPTS: 7, RETRY: 1500})


def test_concurrent_changes_at_two_placers_and_a_rollback(tmp_path: Path) -> None:
    with started(tmp_path) as fleet:
        operators = Operators(fleet)
        fleet.start(*ALL)
        fleet.wait(fleet.settled, TIMEOUT_S)
        first = operators.apply(0, f"{SHARE}=0.5")
        operators.wait_in_force({SHARE: 0.5})

        both = [operators.begin(1, "apply", f"{ATTEMPTS}=6"), operators.begin(4, "apply", f"{RETRY}=1700")]
        assert [ended(process)[0] for process in both] == [0, 0]
        operators.wait_in_force({ATTEMPTS: 6, RETRY: 1700, SHARE: 0.5})

        both = [operators.begin(1, "apply", f"{SHARE}=0.25"), operators.begin(4, "apply", f"{SHARE}=0.75")]
        made = [ended(process) for process in both]
        assert [status for status, _ in made] == [0, 0]
        positions = [text.split()[1] for _, text in made]
        fleet.wait(lambda: all(set(positions) <= set(operators.states(number)) for number in ALL), TIMEOUT_S)
        held = fleet.configuration_of(0)["in_force"][SHARE]
        assert held in (0.25, 0.75)
        operators.wait_in_force({SHARE: held})
        for number in ALL:
            assert sorted(operators.states(number)[position] for position in positions) == ["in force", "superseded"]

        status, text = operators.run(3, "rollback", first, "--author", "bob")
        assert status == 0, text
        operators.wait_in_force({ATTEMPTS: 3, RETRY: 1000.0, SHARE: 0.5})
        status, text = operators.run(0, "history")
        assert status == 0 and "bob" in text and first in text


def test_concurrent_changes_while_each_half_is_stopped_in_turn(tmp_path: Path) -> None:
    with started(tmp_path) as fleet:
        operators = Operators(fleet)
        fleet.start(*ALL)
        fleet.wait(fleet.settled, TIMEOUT_S)
        operators.apply(0, f"{SHARE}=0.5")
        operators.wait_in_force({SHARE: 0.5})

        few, most = (3, 4), (0, 1, 2)
        for number in few:
            fleet.signal(number, signal.SIGSTOP)
        fleet.wait(lambda: {"p3", "p4"} <= fleet.by_condition(0, "away"), TIMEOUT_S)
        there = [operators.apply(0, f"{ATTEMPTS}=8"), operators.apply(1, f"{SHARE}=0.25")]
        operators.wait_in_force({ATTEMPTS: 8, SHARE: 0.25}, most)

        for number in most:
            fleet.signal(number, signal.SIGSTOP)
        for number in few:
            fleet.signal(number, signal.SIGCONT)
        here = [operators.apply(3, f"{RETRY}=1900"), operators.apply(4, f"{SHARE}=0.75")]
        for number in most:
            fleet.signal(number, signal.SIGCONT)

        fleet.wait(lambda: all({*there, *here} <= set(operators.states(number)) for number in ALL), TIMEOUT_S)
        operators.wait_in_force({ATTEMPTS: 8, RETRY: 1900})
        held = {fleet.configuration_of(number)["in_force"][SHARE] for number in ALL}
        assert len(held) == 1 and held < {0.25, 0.75}
        for number in ALL:
            states = operators.states(number)
            assert sorted((states[there[1]], states[here[1]])) == ["in force", "superseded"]


@pytest.mark.parametrize(
    ("arguments", "key"),
    [
        ((f"{SHARE}=0.1", f"{ATTEMPTS}=0"), ATTEMPTS),
        ((f"{SHARE}=0.1", "cluster.fall_ms=900"), "cluster.fall_ms"),
        ((f"{SHARE}=0.1", "cluster.classes[none].worth=1"), "cluster.classes[none].worth"),
        ((f"{SHARE}=0.1", "placer.instances=9"), "placer.instances"),
    ],
)
def test_an_invalid_change_is_refused_as_a_whole_in_one_line_that_names_the_key(
    tmp_path: Path, arguments: tuple[str, ...], key: str
) -> None:
    with Fleet(tmp_path, 2, configuration=ConfigurationOptions()) as fleet:
        operators = Operators(fleet)
        fleet.start(0, 1)
        fleet.wait(fleet.settled, TIMEOUT_S)
        operators.apply(0, f"{RETRY}=1200")
        operators.wait_in_force({RETRY: 1200, SHARE: 1.0}, (0, 1))
        version = fleet.configuration_of(0)["version"]
        status, text = operators.run(1, "apply", *arguments)
        assert status == 2 and text.startswith(f"sprucepost: {key}") and text.count("\n") == 1
        operators.wait_in_force({RETRY: 1200, SHARE: 1.0}, (0, 1))
        assert fleet.configuration_of(1)["version"] == version


def test_a_proposal_against_an_outdated_version_is_refused(tmp_path: Path) -> None:
    with Fleet(tmp_path, 2, configuration=ConfigurationOptions()) as fleet:
        operators = Operators(fleet)
        fleet.start(0, 1)
        fleet.wait(fleet.settled, TIMEOUT_S)
        operators.apply(0, f"{RETRY}=1200")
        operators.wait_in_force({RETRY: 1200}, (0, 1))
        read = fleet.configuration_of(1)["version"]
        operators.apply(1, f"{SHARE}=0.5", "--against", read)
        status, text = operators.run(1, "apply", f"{SHARE}=0.7", "--against", read)
        assert status == 2 and text.startswith(f"sprucepost: {SHARE}: ") and text.count("\n") == 1


def test_a_placer_without_a_configuration_remains_a_member(tmp_path: Path) -> None:
    with started(tmp_path) as fleet:
        operators = Operators(fleet)
        fleet.start(0, 1, 2, 3)
        fleet.start(4, configuration=None)
        fleet.wait(fleet.settled, TIMEOUT_S)
        operators.apply(1, f"{ATTEMPTS}=7")
        operators.wait_in_force({ATTEMPTS: 7}, (0, 1, 2, 3))
        assert fleet.settled()
        assert fleet.text(4, "/config").startswith("off: ")
        assert b"sprucepost_configuration" not in fleet.page(4, "/metrics")
        assert not fleet.logged(4, "peer_malformed")
        status, text = operators.run(0, "status")
        assert status == 1 and "carries no configuration" in text
        status, text = operators.run(4, "apply", f"{ATTEMPTS}=5")
        assert status == 2 and text.count("\n") == 1


def test_a_late_placer_receives_the_base_in_place_of_compacted_changes(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3, configuration=ConfigurationOptions(horizon_ms=1000.0)) as fleet:
        operators = Operators(fleet)
        fleet.start(0, 1)
        fleet.wait(lambda: fleet.by_condition(0, "here") == {"p0", "p1"}, TIMEOUT_S)
        operators.apply(0, f"{RETRY}=1200")
        last = operators.apply(1, f"{ATTEMPTS}=7")
        fleet.wait(lambda: {fleet.configuration_of(number)["cut"] for number in (0, 1)} == {last}, TIMEOUT_S)
        fleet.start(2, deployment={"max_attempts": 5})
        operators.wait_in_force({RETRY: 1200, ATTEMPTS: 7}, (0, 1, 2))
        assert fleet.configuration_of(2)["cut"] == last
        operators.apply(2, f"{SHARE}=0.5")
        operators.wait_in_force({RETRY: 1200, ATTEMPTS: 7, SHARE: 0.5}, (0, 1, 2))


def test_keys_from_a_file_and_a_removed_key_that_reverts_to_its_default(tmp_path: Path) -> None:
    path = tmp_path / "keys.json"
    path.write_text(json.dumps({"cluster": {"classes": [{"name": "web", "worth": 4}], "max_attempts": 6}}))
    with Fleet(tmp_path, 2, configuration=ConfigurationOptions()) as fleet:
        operators = Operators(fleet)
        fleet.start(0, 1)
        fleet.wait(fleet.settled, TIMEOUT_S)
        operators.apply(0, "--file", str(path), "--remove", RETRY)
        operators.wait_in_force({"cluster.classes[web].worth": 4, ATTEMPTS: 6, SHARE: 1.0}, (0, 1))
        assert all(RETRY not in fleet.configuration_of(number)["in_force"] for number in (0, 1))
        status, text = operators.run(1, "history")
        assert status == 0 and f"{RETRY} removed" in text
