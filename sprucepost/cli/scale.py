"""``sprucepost scale``: runs at many sizes, the tables that follow from them, and whether the capacity page still holds."""

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
"""Exit statuses: what was checked holds; it doesn't; it could not be looked at; by a signal."""

_PLAN_OPTION = click.option(
    "--plan",
    "plan_file",
    type=click.Path(path_type=Path),
    default=PLAN,
    show_default=True,
    help="The size that is planned.",
)
_FOLDER_OPTION = click.option(
    "--folder", type=click.Path(path_type=Path), default=FOLDER, show_default=True, help="Kept results, scale*.json."
)
_PAGE_OPTION = click.option("--page", type=click.Path(path_type=Path), default=PAGE, show_default=True)


def _one_line(command: Callable[P, int]) -> Callable[P, None]:
    """Exit with the status that a command returns; what could not be read, fitted, drawn or run is one line and status 2."""

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
@click.option("--quick", is_flag=True, help="A small sweep against the page's predictions, within two minutes.")
@click.option("--keep", type=click.Path(path_type=Path), help="With --quick: write what was measured into this file.")
@_PLAN_OPTION
@_FOLDER_OPTION
@_PAGE_OPTION
@click.pass_context
def scale(context: click.Context, quick: bool, keep: Path | None, plan_file: Path, folder: Path, page: Path) -> None:
    """How costs grow with the size of a fleet. Exit status 1 where the page's predictions do not hold."""
    if context.invoked_subcommand is not None:
        return
    if not quick:
        click.echo(context.get_help())
        return
    _quick(keep, plan_file, folder, page)


@_one_line
def _quick(keep: Path | None, plan_file: Path, folder: Path, page: Path) -> int:
    """Measure a few sizes; judge them by the kept results, and the page by the same."""
    from sprucepost.cli.tables import table
    from sprucepost.scale.kept import compared, read_kept
    from sprucepost.scale.predictions import with_sums
    from sprucepost.scale.results import save
    from sprucepost.scale.sweeps import quick

    kept, size = read_kept(folder), _size(plan_file)
    wrong = _page_problems(kept, size, page)
    measured = quick(size.name, "sprucepost scale --quick")
    if keep is not None:
        save(measured, keep)
    found = compared(kept, with_sums(measured))
    head = ["role", "figure", "variable", "size", "predicted", "within", "measured", "holds"]
    click.echo(table(head, [_comparison_row(each) for each in found]))
    wrong += [each.text for each in found if not each.holds]
    if not found:
        wrong.append("nothing that was measured is predicted by the kept results")
    return _told(wrong, f"{len(found)} predictions hold")


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
@click.option("--variable", "variables", multiple=True, help="Move only this one; may be repeated.")
@click.option("--repeats", type=click.IntRange(1), default=3, show_default=True)
@click.option("--add", "add", is_flag=True, help="Add the points to those that the file has, of the same version.")
@_PLAN_OPTION
@_one_line
def run(out: Path, variables: tuple[str, ...], repeats: int, add: bool, plan_file: Path) -> int:
    """The full sweep: every variable alone over its sizes, three runs of each. Keeps the results."""
    from sprucepost.scale.kept import kept_run
    from sprucepost.scale.results import load, save
    from sprucepost.scale.sweeps import added, full
    from sprucepost.scale.target import target_of

    size = _size(plan_file)
    found = full(variables, repeats, size.name, "sprucepost scale run")
    save(added(load(out), found) if add else found, out)
    _show(kept_run(out), target_of(size))
    return HOLDS


@scale.command("at-plan")
@click.option("--out", type=click.Path(path_type=Path), default=AT_PLAN, show_default=True)
@click.option("--repeats", type=click.IntRange(1), default=3, show_default=True)
@_PLAN_OPTION
@_one_line
def run_at_plan(out: Path, repeats: int, plan_file: Path) -> int:
    """Measure real placers in a fleet of the planned size: what the predictions are held against. Keeps the results."""
    from sprucepost.scale.results import save
    from sprucepost.scale.sweeps import at_plan

    save(at_plan(_size(plan_file), repeats, "sprucepost scale at-plan"), out)
    click.echo(f"{out}: written")
    return HOLDS


@scale.command()
@click.argument("results", type=click.Path(path_type=Path), default=RESULTS)
@_PLAN_OPTION
@click.option("--json", "as_json", is_flag=True, help="Slopes and predictions as JSON.")
@click.option("--html", "chart", type=click.Path(path_type=Path), help="Write a page with tables and charts.")
@_one_line
def tables(results: Path, plan_file: Path, as_json: bool, chart: Path | None) -> int:
    """Slopes, predictions and headroom from the kept RESULTS."""
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
@_one_line
def write_page(folder: Path, page: Path, plan_file: Path) -> int:
    """Write the tables of the kept results into the capacity page."""
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
@_one_line
def check(folder: Path, page: Path, plan_file: Path) -> int:
    """Whether the page says what the kept results say, and nothing in them grows faster than n log n. Runs nothing."""
    from sprucepost.scale.kept import read_kept
    from sprucepost.scale.predictions import too_fast

    kept = read_kept(folder)
    wrong = _page_problems(kept, _size(plan_file), page)
    for each in kept.runs:
        wrong += [f"{each.file}: {line}" for line in too_fast(each.slopes.fitted)]
    return _told(wrong, f"{page} says what {folder} says")


@scale.command()
@click.option("--out", type=click.Path(path_type=Path), default=STATE, show_default=True)
@_one_line
def state(out: Path) -> int:
    """Measure what an entry of each kind of state takes. Keeps the results."""
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


def _told(wrong: list[str], good: str) -> int:
    for line in wrong:
        click.echo(f"sprucepost: {line}", err=True)
    if not wrong:
        click.echo(good)
    return BROKEN if wrong else HOLDS


def _version() -> str:
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent,
        check=False,
    )
    return done.stdout.strip() or "unknown"
