"""``sprucepost scale``: measures fleets of many sizes, prints the fits and checks the capacity page against them."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any, ParamSpec

import click
import msgspec

P = ParamSpec("P")

FOLDER = Path("docs/results")
PAGE = Path("docs/CAPACITY.md")
PLAN = Path("deploy/scale/two-years.json")
RESULTS = FOLDER / "scale.json"
AT_PLAN = FOLDER / "scale-at-plan.json"
STATE = FOLDER / "scale-state.json"
HOLDS, BROKEN, UNUSABLE, INTERRUPTED = 0, 1, 2, 130
"""Exit statuses: the check passed, the check failed, it could not be carried out, it was interrupted by a signal."""

_PLAN_OPTION = click.option(
    "--plan",
    "plan_file",
    type=click.Path(path_type=Path),
    default=PLAN,
    show_default=True,
    help="Settings file of the planned size.",
)
_FOLDER_OPTION = click.option(
    "--folder",
    type=click.Path(path_type=Path),
    default=FOLDER,
    show_default=True,
    help="Stored results, scale*.json.",
)
_PAGE_OPTION = click.option("--page", type=click.Path(path_type=Path), default=PAGE, show_default=True)


def _with_exit_status(command: Callable[P, int]) -> Callable[P, None]:
    """Exit with the status that a command returns; an expected error is printed as plain lines, with status 2."""

    @wraps(command)
    def run(*arguments: P.args, **options: P.kwargs) -> None:
        from sprucepost.plotting import ChartsUnavailable
        from sprucepost.scale.fits import FitsError
        from sprucepost.scale.processes import ScaleError, Terminated
        from sprucepost.scale.results import ResultsError
        from sprucepost.settings import SettingsError

        try:
            status = command(*arguments, **options)
        except (ResultsError, FitsError, ChartsUnavailable, ScaleError, SettingsError, OSError) as error:
            for line in str(error).splitlines():
                click.echo(f"sprucepost: {line}", err=True)
            status = UNUSABLE
        except (KeyboardInterrupt, Terminated):
            click.echo("sprucepost: interrupted; every process of the run has been ended", err=True)
            status = INTERRUPTED
        sys.exit(status)

    return run


def _size(path: Path) -> Any:
    from sprucepost.scale.settings import FleetSize
    from sprucepost.settings import read

    return read(path, FleetSize)


@click.group("scale", invoke_without_command=True)
@click.option("--quick", is_flag=True, help="Check the page's predictions by a small sweep, within two minutes.")
@click.option("--keep", type=click.Path(path_type=Path), help="With --quick: write the measurements to this file.")
@_PLAN_OPTION
@_FOLDER_OPTION
@_PAGE_OPTION
@click.pass_context
def scale(context: click.Context, quick: bool, keep: Path | None, plan_file: Path, folder: Path, page: Path) -> None:
    """Measure how costs grow with the size of a fleet. Exit status 1 if the page's predictions do not hold."""
    if context.invoked_subcommand is not None:
        return
    if not quick:
        click.echo(context.get_help())
        return
    _quick(keep, plan_file, folder, page)


@_with_exit_status
def _quick(keep: Path | None, plan_file: Path, folder: Path, page: Path) -> int:
    """Measure a few sizes and check both them and the page against the stored results."""
    from sprucepost.cli.tables import table
    from sprucepost.scale.kept import compared, read_kept
    from sprucepost.scale.predictions import with_sums
    from sprucepost.scale.results import save
    from sprucepost.scale.sweeps import measure_quick

    kept, size = read_kept(folder), _size(plan_file)
    wrong = _page_problems(kept, size, page)
    measured = measure_quick(size.name, "sprucepost scale --quick")
    if keep is not None:
        save(measured, keep)
    found = compared(kept, with_sums(measured))
    head = ["role", "figure", "variable", "size", "predicted", "within", "measured", "holds"]
    click.echo(table(head, [_comparison_row(each) for each in found]))
    wrong += [each.text for each in found if not each.holds]
    if not found:
        wrong.append("the stored results predict none of the measured figures")
    return _report(wrong, f"{len(found)} predictions hold")


def _comparison_row(each: Any) -> list[str]:
    numbers = (each.size, each.predicted, each.allowed, each.measured)
    return [
        each.role,
        each.figure,
        each.variable,
        *(f"{value:.4g}" for value in numbers),
        "yes" if each.holds else "NO",
    ]


@scale.command()
@click.option("--out", type=click.Path(path_type=Path), default=RESULTS, show_default=True)
@click.option("--variable", "variables", multiple=True, help="Vary only this variable; may be repeated.")
@click.option("--repeats", type=click.IntRange(1), default=3, show_default=True)
@click.option(
    "--add", "add", is_flag=True, help="Add the points to those in the file, which must be of the same version."
)
@_PLAN_OPTION
@_with_exit_status
def run(out: Path, variables: tuple[str, ...], repeats: int, add: bool, plan_file: Path) -> int:
    """Run the full sweep: each variable alone over its sizes, several runs of each. Stores the results."""
    from sprucepost.scale.kept import kept_run
    from sprucepost.scale.results import load, save
    from sprucepost.scale.sweeps import measure_full, merged_results
    from sprucepost.scale.target import target_of

    size = _size(plan_file)
    found = measure_full(variables, repeats, size.name, "sprucepost scale run")
    save(merged_results(load(out), found) if add else found, out)
    _show(kept_run(out), target_of(size))
    return HOLDS


@scale.command("at-plan")
@click.option("--out", type=click.Path(path_type=Path), default=AT_PLAN, show_default=True)
@click.option("--repeats", type=click.IntRange(1), default=3, show_default=True)
@_PLAN_OPTION
@_with_exit_status
def run_at_plan(out: Path, repeats: int, plan_file: Path) -> int:
    """Measure real placers in a fleet of the planned size, to check the predictions. Stores the results."""
    from sprucepost.scale.results import save
    from sprucepost.scale.sweeps import measure_at_plan

    save(measure_at_plan(_size(plan_file), repeats, "sprucepost scale at-plan"), out)
    click.echo(f"{out}: written")
    return HOLDS


@scale.command()
@click.argument("results", type=click.Path(path_type=Path), default=RESULTS)
@_PLAN_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print slopes and predictions as JSON.")
@click.option("--html", "chart", type=click.Path(path_type=Path), help="Write a page with tables and charts.")
@_with_exit_status
def tables(results: Path, plan_file: Path, as_json: bool, chart: Path | None) -> int:
    """Print slopes, predictions and headroom from the stored RESULTS."""
    from sprucepost.scale.charts import report
    from sprucepost.scale.kept import Kept, kept_run
    from sprucepost.scale.tables import all_tables, slopes_table
    from sprucepost.scale.target import target_of

    found, target = kept_run(results), target_of(_size(plan_file))
    if as_json:
        document = {"slopes": found.slopes, "predictions": found.predictions(target)}
        click.echo(json.dumps(msgspec.to_builtins(document), indent=1))
    else:
        _show(found, target)
    if chart is not None:
        shown = [*all_tables(Kept((found,), None, None), target), slopes_table(found)]
        chart.write_text(report(found, target, shown), encoding="utf-8")
    return HOLDS


@scale.command("page")
@_FOLDER_OPTION
@_PAGE_OPTION
@_PLAN_OPTION
@_with_exit_status
def write_page(folder: Path, page: Path, plan_file: Path) -> int:
    """Write the tables of the stored results into the capacity page."""
    from sprucepost.scale.kept import read_kept
    from sprucepost.scale.page import filled
    from sprucepost.scale.planned import page_tables

    text = filled(page.read_text(encoding="utf-8"), page_tables(read_kept(folder), _size(plan_file)))
    page.write_text(text, encoding="utf-8")
    return HOLDS


@scale.command()
@_FOLDER_OPTION
@_PAGE_OPTION
@_PLAN_OPTION
@_with_exit_status
def check(folder: Path, page: Path, plan_file: Path) -> int:
    """Check that the page agrees with the stored results and no figure grows faster than n log n. Measures nothing."""
    from sprucepost.scale.kept import read_kept
    from sprucepost.scale.predictions import too_fast

    kept = read_kept(folder)
    wrong = _page_problems(kept, _size(plan_file), page)
    for each in kept.runs:
        wrong += [f"{each.file}: {line}" for line in too_fast(each.slopes.fitted)]
    return _report(wrong, f"{page} agrees with {folder}")


@scale.command()
@click.option("--out", type=click.Path(path_type=Path), default=STATE, show_default=True)
@_with_exit_status
def state(out: Path) -> int:
    """Measure the size of an entry of each kind of state. Stores the results."""
    from sprucepost.cli.tables import table
    from sprucepost.scale.state import StateFile, measure_state

    python = f"{sys.version_info[0]}.{sys.version_info[1]}"
    found = StateFile("sprucepost scale state", _version(), python, measure_state())
    out.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
    rows = [[each.role, each.entry, each.variable, each.encoded_bytes, each.memory_bytes] for each in found.entries]
    click.echo(table(["role", "entry", "for each of", "encoded, B", "in memory, B"], rows))
    return HOLDS


def _page_problems(kept: Any, size: Any, page: Path) -> list[str]:
    from sprucepost.scale.page import problems
    from sprucepost.scale.planned import page_tables

    return [f"{page}: {line}" for line in problems(page.read_text(encoding="utf-8"), page_tables(kept, size))]


def _show(found: Any, target: Any) -> None:
    from sprucepost.cli.tables import table
    from sprucepost.scale.kept import Kept
    from sprucepost.scale.tables import budgets_table, slopes_table

    for each in (slopes_table(found), budgets_table(Kept((found,), None, None), target)):
        click.echo(f"\n{each.name}\n" + table(list(each.head), [list(row) for row in each.rows]))
    for skipped in found.slopes.skipped:
        click.echo(f"{skipped.role} {skipped.figure} over {skipped.variable}: not fitted, {skipped.why}")


def _report(wrong: list[str], good: str) -> int:
    """Print what is wrong, or else the line ``good``; return the exit status."""
    for line in wrong:
        click.echo(f"sprucepost: {line}", err=True)
    if not wrong:
        click.echo(good)
    return BROKEN if wrong else HOLDS


def _version() -> str:
    completed = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent,
        check=False,
    )
    return completed.stdout.strip() or "unknown"
