"""Tables from kept results, the page that contains them, and the commands that write and check both."""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from msgspec import structs

from sprucepost.cli.scale import scale
from sprucepost.scale import results
from sprucepost.scale.kept import CALIBRATION_FILES, RUN_PATTERN, Kept, compared, kept_run, read_kept
from sprucepost.scale.page import filled, markdown, problems
from sprucepost.scale.planned import control_zones, days_table, page_tables
from sprucepost.scale.predictions import Target
from sprucepost.scale.processes import Terminated
from sprucepost.scale.roles import ROLES
from sprucepost.scale.tables import COMMAND_COLUMN, NOT_MEASURED, Table, all_tables, number
from tests.scale.generated import BASE, Growth, generated
from tests.scale.support import size
from tests.scale.test_predictions import planted

ROOT = Path(__file__).parents[2]
PLAN = ROOT / "deploy" / "scale" / "small.json"
FIGURES: dict[str, tuple[float, dict[str, Growth]]] = {
    "cpu_percent": (0.8, {"placers": lambda n: 0.004 * n, "workers": lambda n: 0.001 * n}),
    "cpu_percent.peers": (0.5, {"placers": lambda n: 0.004 * n}),
    "cpu_percent.placements": (0.3, {"workers": lambda n: 0.001 * n}),
    "memory_mib": (40.0, {"workers": lambda n: 0.02 * n}),
    "bytes_out_per_s": (500.0, {"placers": lambda n: 2.0 * n}),
    "bytes_in_per_s": (300.0, {}),
    "bytes_out_per_s.peers": (200.0, {"placers": lambda n: 2.0 * n}),
}
TARGET = Target(
    "small",
    {"placers": 300.0, "workers": 800.0, "teams": 128.0, "running_tasks": 4500.0, "changes_per_day": 640.0},
    {"cpu_percent.control": 1.7, "memory_mib": 128.0, "bytes_per_s.control": 9000.0},
)


@pytest.fixture(scope="module")
def written(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Kept results of a run, of a calibration and of state, and a page with their tables."""
    folder = tmp_path_factory.mktemp("results")
    results.save(generated(FIGURES, 1), folder / "scale.json")
    for seed, name in enumerate(CALIBRATION_FILES):
        results.save(generated({"cpu_percent": (1.0 + seed, {})}, seed), folder / name)
    assert run("state", "--out", str(folder / "scale-state.json"))[0] == 0
    names = [table.name for table in page_tables(read_kept(folder), size("small"))]
    (folder / "page.md").write_text("".join(f"## {n}\n<!-- table: {n} -->\n<!-- end of {n} -->\n" for n in names))
    status, text = write(folder)
    assert status == 0, text
    return folder


@pytest.fixture
def folder(written: Path, tmp_path: Path) -> Path:
    """A copy of them that a test may change."""
    return Path(shutil.copytree(written, tmp_path / "results"))


def run(*arguments: str) -> tuple[int, str]:
    done = CliRunner().invoke(scale, [*arguments, *(("--plan", str(PLAN)) if arguments[0] != "state" else ())])
    return done.exit_code, done.output


def write(folder: Path) -> tuple[int, str]:
    return run("page", "--folder", str(folder), "--page", str(folder / "page.md"))


def check(folder: Path) -> tuple[int, str]:
    return run("check", "--folder", str(folder), "--page", str(folder / "page.md"))


def test_every_role_has_a_row_and_none_is_guessed(folder: Path) -> None:
    table = next(each for each in all_tables(read_kept(folder), TARGET) if each.name == "roles")
    assert [row[0] for row in table.rows] == [role.name for role in ROLES]
    assert all(
        NOT_MEASURED in row[1] for row in table.rows if row[0] not in ("placer, gRPC front", "member of the view")
    )
    placer = table.rows[0]
    assert placer[1].startswith("2.") and "cpu (control)" in placer[5] and placer[-1] == "`generated`"


def test_every_row_is_as_long_as_its_head(folder: Path) -> None:
    at_plan = structs.replace(generated(FIGURES, 9), base=dict(TARGET.sizes))
    results.save(at_plan, folder / "scale-at-plan.json")
    for table in page_tables(read_kept(folder), size("small")):
        assert table.rows or table.name == "starts", table.name
        assert {len(row) for row in table.rows} <= {len(table.head)}, table.name


def test_modules_that_carry_a_role_exist() -> None:
    for role in ROLES:
        for module in role.mechanism:
            path = ROOT / "sprucepost" / module.replace(".", "/")
            assert path.is_dir() or path.with_suffix(".py").is_file() or module == "cli.fleet", module


def test_page_and_results_agree_once_written(folder: Path) -> None:
    status, text = check(folder)
    assert status == 0, text


def test_a_page_edited_by_hand_is_reported(folder: Path) -> None:
    page = folder / "page.md"
    page.write_text(page.read_text().replace("`generated`", "`other`", 1))
    status, text = check(folder)
    assert status == 1 and "the table roles is not what the results say" in text


def test_a_page_without_a_table_is_reported(folder: Path) -> None:
    page = folder / "page.md"
    page.write_text(page.read_text().replace("<!-- table: growth -->", ""))
    status, text = check(folder)
    assert status == 1 and "no markers for the table growth" in text


def test_a_row_without_a_command_is_reported() -> None:
    table = Table("roles", ("role", COMMAND_COLUMN), (("placer", "-"), ("node", "`sprucepost scale run`")))
    page = filled("<!-- table: roles -->\n<!-- end of roles -->", [table])
    assert problems(page, [table]) == ["the row placer of roles names no command"]


def test_text_outside_the_markers_is_unchanged() -> None:
    table = Table("roles", ("role", COMMAND_COLUMN), (("a|b", "`x`"),))
    page = "before\n<!-- table: roles -->\nold\n<!-- end of roles -->\nafter\n"
    assert filled(page, [table]) == f"before\n<!-- table: roles -->\n{markdown(table)}<!-- end of roles -->\nafter\n"
    assert "a\\|b" in markdown(table)


def test_quadratic_growth_fails_the_check(folder: Path) -> None:
    results.save(planted(generated(FIGURES, 4), 1e-4), folder / "scale.json")
    assert write(folder)[0] == 0
    status, text = check(folder)
    assert status == 1 and "cpu_percent grows faster than n log n with placers" in text


def test_a_planted_slowdown_is_detected_by_new_measurements(folder: Path) -> None:
    kept = Kept((kept_run(folder / "scale.json"),), None, None)
    honest, slow = generated(FIGURES, 50, repeats=1), planted(generated(FIGURES, 50, repeats=1), 1e-4)
    assert all(each.holds for each in compared(kept, honest))
    assert {(each.figure, each.size) for each in compared(kept, slow) if not each.holds} >= {("cpu_percent", 96.0)}


def test_a_run_at_the_planned_size_is_compared_with_the_predictions(folder: Path) -> None:
    """The same figures as at the base, at a size at which they should have grown: most do not agree."""
    measured = structs.replace(generated(FIGURES, 9), base={**BASE, "placers": 300.0, "workers": 800.0})
    results.save(measured, folder / "scale-at-plan.json")
    table = next(each for each in all_tables(read_kept(folder), TARGET) if each.name == "at-plan")
    holds = {row[1]: row[5] for row in table.rows}
    assert holds["cpu (control)"] == holds["cpu"] == "no" and all(row[-1] == "`generated`" for row in table.rows)


def test_a_measurement_at_the_planned_size_takes_precedence(folder: Path) -> None:
    """Memory is predicted to be within its budget at the plan, but was measured there at twice the budget."""
    at_plan = generated({"memory_mib": (256.0, {})}, 9)
    results.save(structs.replace(at_plan, base=dict(TARGET.sizes)), folder / "scale-at-plan.json")
    budgets = next(each for each in all_tables(read_kept(folder), TARGET) if each.name == "budgets")
    memory = next(row for row in budgets.rows if row[1] == "memory")
    assert 250 < float(memory[4]) < 262 and float(memory[6]) == pytest.approx(0.5, abs=0.02)
    assert memory[7] == "below the plan, as measured there"
    roles = next(each for each in all_tables(read_kept(folder), TARGET) if each.name == "roles")
    assert roles.rows[0][2].endswith(" measured") and roles.rows[0][5].endswith("(memory)")
    elsewhere = structs.replace(at_plan, base={**TARGET.sizes, "workers": 7.0})
    results.save(elsewhere, folder / "scale-at-plan.json")
    other = next(each for each in all_tables(read_kept(folder), TARGET) if each.name == "budgets")
    assert {row[4] for row in other.rows} == {NOT_MEASURED}


def test_json_and_html(folder: Path) -> None:
    status, text = run("tables", str(folder / "scale.json"), "--json")
    document = json.loads(text)
    assert status == 0 and {each["figure"] for each in document["predictions"]} >= {
        "cpu_percent.control",
        "bytes_per_s",
    }
    pages = []
    for name in ("a.html", "b.html"):
        assert run("tables", str(folder / "scale.json"), "--html", str(folder / name))[0] == 0
        pages.append((folder / name).read_text())
    assert pages[0] == pages[1] and "<svg" in pages[0] and "<script" not in pages[0]


@pytest.mark.parametrize("broken", ["no file", "not JSON", "another format"])
def test_unreadable_results_are_reported_in_one_line(tmp_path: Path, broken: str) -> None:
    path = tmp_path / "scale.json"
    if broken == "not JSON":
        path.write_text("{")
    if broken == "another format":
        results.save(structs.replace(generated(FIGURES, 1), format=99), path)
    status, text = run("tables", str(path))
    assert status == 2 and text.startswith("sprucepost: ") and text.count("\n") == 1


def test_a_folder_without_results_is_reported_in_one_line(tmp_path: Path) -> None:
    status, text = run("check", "--folder", str(tmp_path), "--page", str(tmp_path / "page.md"))
    assert status == 2 and RUN_PATTERN in text and text.count("\n") == 1


def test_without_numpy_the_command_reports_it_in_one_line(folder: Path) -> None:
    program = "import sys; sys.modules['numpy'] = None; from sprucepost.cli.main import main; main()"
    command = [sys.executable, "-c", program, "scale", "tables", str(folder / "scale.json"), "--plan", str(PLAN)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "numpy" in done.stderr


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0.0, "0"),
        (0.01234, "0.0123"),
        (1.5, "1.5"),
        (12.345, "12.3"),
        (9000.0, "9,000"),
        (123456.0, "123,000"),
        (100.0, "100"),
    ],
)
def test_numbers_have_three_digits(value: float, text: str) -> None:
    assert number(value) == text


def test_times_of_the_fleet_name_the_run_that_was_worst(folder: Path) -> None:
    run = kept_run(folder / "scale.json")
    times = (30.0, 20.0, 90.0)
    points = [
        structs.replace(point, load_average=at, fleet={"start_p99_ms.urgent": at, "started.urgent": 5.0})
        for point, at in zip(run.results.points, times, strict=False)
    ]
    kept = Kept((structs.replace(run, results=structs.replace(run.results, points=tuple(points))),), None, None)
    table = next(each for each in all_tables(kept, TARGET) if each.name == "starts")
    worst = points[2]
    place = f"{number(worst.size)} {worst.variable}"
    assert table.rows == (("start p99 ms.urgent", "15", "30", "90", place, "90", "`generated`"),)


def test_control_machines_are_assigned_to_zones_round_robin() -> None:
    assert list(control_zones(size("two-years")).values()) == [2, 1, 1, 1, 1]


def test_a_zone_takes_its_share_of_everything() -> None:
    zone = next(row for row in days_table(size("two-years")).rows if row[0] == "a zone")
    assert zone[3:7] == ("200", "900", "60", "2")


def test_the_committed_page_matches_its_results() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "sprucepost", "scale", "check"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr


@pytest.mark.parametrize("how", [KeyboardInterrupt, Terminated])
def test_an_interrupted_run_says_so_in_one_line(how: type[BaseException], monkeypatch: pytest.MonkeyPatch) -> None:
    def interrupted(*arguments: object) -> None:
        raise how

    monkeypatch.setattr("sprucepost.scale.sweeps.sweep", interrupted)
    status, text = run("run")
    assert status == 130 and text == "sprucepost: interrupted; every process of the run has been ended\n"


@pytest.mark.parametrize(("per_square", "status"), [(0.0, 0), (1e-4, 1)])
def test_quick_reports_the_rows_that_do_not_hold(
    folder: Path, monkeypatch: pytest.MonkeyPatch, per_square: float, status: int
) -> None:
    """0 where every prediction holds; 1 with the rows of a planted cost that grows with the square of the fleet."""
    measured = planted(generated(FIGURES, 50, repeats=1), per_square)
    monkeypatch.setattr("sprucepost.scale.sweeps.sweep", lambda *arguments: measured)
    where = ("--folder", str(folder), "--page", str(folder / "page.md"), "--keep", str(folder / "quick.json"))
    found, text = run("--quick", *where)
    assert found == status, text
    assert ("placer cpu_percent at placers 96: measured" in text) == bool(per_square)
    assert len(results.load(folder / "quick.json").points) == len(measured.points)
