"""Tests the membership view of placer processes under injected faults.

Durations are measured elsewhere, on an idle machine; these tests must also pass on a busy one.
"""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

from sprucepost.settings import GenerationOptions
from tests.peers.fleet import Fleet


def test_start_crash_restart_leave_and_stop(tmp_path: Path) -> None:
    with Fleet(tmp_path, 7) as fleet:
        fleet.start(*range(7))
        fleet.wait(fleet.settled)
        assert b"sprucepost_view_here 7.0" in fleet.page(4, "/metrics")

        fleet.end(3)  # a crash, followed by a restart under the same name
        fleet.wait(lambda: fleet.settled(away={"p3"}))
        first = next(m["incarnation"] for m in fleet.seen(0)["members"] if m["name"] == "p3")
        fleet.start(3)
        fleet.wait(fleet.settled)
        assert next(m["incarnation"] for m in fleet.seen(0)["members"] if m["name"] == "p3") > first

        for number in (0, 1, 2):  # all seeds at the same time
            fleet.end(number)
        fleet.wait(lambda: fleet.settled(away={"p0", "p1", "p2"}))
        fleet.start(1)
        fleet.wait(lambda: fleet.settled(away={"p0", "p2"}))

        fleet.end(5, signal.SIGTERM)
        fleet.wait(lambda: fleet.settled(away={"p0", "p2"}, left={"p5"}))

        fleet.signal(6, signal.SIGSTOP)
        fleet.wait(lambda: "p6" in fleet.by_condition(4, "away"))
        fleet.signal(6, signal.SIGCONT)
        fleet.wait(lambda: fleet.settled(away={"p0", "p2"}, left={"p5"}))


def test_two_fleets_with_the_same_seeds_stay_separate_and_a_duplicate_number_is_detected(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet, Fleet(tmp_path, 2, "other", fleet.ports[:3]) as other:
        fleet.start(0, 1, 2)
        other.start(0, 1)
        fleet.wait(fleet.settled)
        time.sleep(2.0)  # the other fleet keeps trying those seeds
        assert fleet.settled() and all("p2" not in other.by_condition(n, "here") for n in (0, 1))
        fleet.end(2)
        fleet.start(2, its_number=1)
        fleet.wait(lambda: all(fleet.seen(n)["conflicts"] == {"1": ["p1", "p2"]} for n in (0, 1, 2)))


def test_a_new_size_set_at_one_placer_is_shown_by_all(tmp_path: Path) -> None:
    with Fleet(tmp_path, 4) as fleet:
        fleet.start(0, 1, 2, 3)
        fleet.wait(fleet.settled)
        fleet.file(2, instances=9)
        fleet.signal(2, signal.SIGHUP)
        fleet.wait(lambda: all({m["name"]: m["size"] for m in fleet.seen(n)["members"]}["p2"] == 9 for n in range(4)))
        fleet.wait(fleet.settled)


def command(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sprucepost", "fleet", *words], capture_output=True, text=True, check=False, timeout=60
    )


def test_the_commands_show_the_view_or_one_line_why_there_is_none(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start(0, 1)
        fleet.start(2, peers=None)
        fleet.wait(lambda: fleet.by_condition(0, "here") == {"p0", "p1"} == fleet.by_condition(1, "here"))
        http = [f"127.0.0.1:{port}" for port in fleet.ports[3:]]
        done = command("members", http[0])
        assert done.returncode == 0 and "p1" in done.stdout and "2 here, 0 away, 0 left" in done.stdout
        assert b"sprucepost_view" not in fleet.page(2, "/metrics")
        for address in (http[2], "127.0.0.1:1"):
            done = command("members", address)
            assert done.returncode == 2 and done.stderr.count("\n") == 1 and done.stderr.startswith("sprucepost: ")
        fleet.end(1)
        fleet.start(1, its_number=0)
        fleet.wait(lambda: command("members", http[0]).returncode == 1)
        with subprocess.Popen(
            [sys.executable, "-u", "-m", "sprucepost", "fleet", "watch", http[0], "--every", "0.1"],
            stdout=subprocess.PIPE, text=True,
        ) as watching:  # fmt: skip
            try:
                assert watching.stdout is not None
                time.sleep(1.5)
                fleet.end(1)
                assert watching.stdout.readline() == "p1: here to away\n"
            finally:
                watching.kill()


def test_a_generation_set_at_one_placer_reaches_all_and_ends(tmp_path: Path) -> None:
    with Fleet(tmp_path, 5) as fleet:
        old = {"instances": 3, "generation": GenerationOptions(1)}
        fleet.start(0, 1, 2, **old)
        fleet.wait(fleet.settled)
        begins = time.time() * 1000 + 1500
        change = GenerationOptions(2, 3, begins, 3_600_000.0, announced=True)
        fleet.file(1, instances=5, generation=change)
        fleet.signal(1, signal.SIGHUP)
        fleet.wait(lambda: all(fleet.runs(n) == {(2, 5)} for n in range(3)))
        fleet.start(3, 4, instances=5, generation=change)
        fleet.wait(fleet.settled)
        # The overlap is an hour, but all numbers are here, so the members agree on one earlier end.
        fleet.wait(lambda: len(fleet.ends()) == 1 and None not in fleet.ends())
        assert begins < (fleet.ends().pop() or 0.0) < time.time() * 1000 + 20_000
        fleet.wait(lambda: all(fleet.logged(n, "seat")[-1]["phase"] == "done" for n in range(5)))
        assert sorted(fleet.logged(n, "seat")[-1]["seat"] for n in range(5)) == list(range(5))
        assert all(fleet.logged(n, "seat")[-1]["seats"] == 5 for n in range(5))

        fleet.end(2)  # restarted with its old file: the fleet's generation takes precedence
        fleet.start(2, **old)
        fleet.wait(lambda: fleet.runs(2) == {(2, 5)} and fleet.logged(2, "seat")[-1]["seats"] == 5)
        assert b"generation_kept" not in (tmp_path / "test-2.log").read_bytes()
        fleet.file(2, **old, stop_ms=50.0)
        fleet.signal(2, signal.SIGHUP)
        fleet.wait(lambda: fleet.logged(2, "reloaded") != [])
        assert fleet.runs(2) == {(2, 5)}


def test_the_later_of_two_with_the_same_number_is_unready_until_the_first_leaves(tmp_path: Path) -> None:
    with Fleet(tmp_path, 4) as fleet:
        fleet.start(0, 1, 2)
        fleet.wait(fleet.settled)
        fleet.start(3, its_number=1)
        fleet.wait(lambda: fleet.logged(3, "number_shared") != [] and "conflict" in fleet.status_of("p3", 0), 20.0)
        assert "has number 1" in fleet.text(3, "/readyz")
        assert not fleet.logged(1, "number_shared"), "the first holder of the number stays ready"
        fleet.wait(fleet.settled)  # before that, a placer may know of the conflict but not see the later one as here
        done = command("status", f"127.0.0.1:{fleet.ports[4]}")
        assert done.returncode == 1 and "number 1 is held by p1, p3" in done.stdout
        fleet.end(1, signal.SIGTERM)
        fleet.wait(lambda: "joining" in fleet.text(3, "/readyz") or "no list" in fleet.text(3, "/readyz"))
        assert "view: 3 here, 0 away" in fleet.text(3, "/readyz")


def test_a_member_restarted_with_its_clock_set_back_raises_its_incarnation(tmp_path: Path) -> None:
    with Fleet(tmp_path, 3) as fleet:
        fleet.start(0, 1, 2)
        fleet.wait(fleet.settled)
        before = next(m["incarnation"] for m in fleet.seen(0)["members"] if m["name"] == "p2")
        fleet.end(2)
        fleet.step_clock(2, -3_600_000.0)
        fleet.start(2, command="host")
        fleet.wait(lambda: fleet.logged(2, "incarnation_raised") != [])
        fleet.wait(fleet.settled)
        assert next(m["incarnation"] for m in fleet.seen(0)["members"] if m["name"] == "p2") > before
