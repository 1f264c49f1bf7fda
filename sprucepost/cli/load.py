"""``sprucepost load``: generate load on placers from a plan; print, save and compare the figures."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import msgspec

from sprucepost.cli.tables import table
from sprucepost.load.arrivals import TaskArrival, task_arrivals
from sprucepost.load.plan import Plan, Replay
from sprucepost.load.recorded import read_recorded_arrivals
from sprucepost.load.report import comparison_rows, flat_figures, render_page
from sprucepost.load.run import LoadResult, LoadRun
from sprucepost.loop import Address, Co, Scope, in_scope, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.plotting import ChartsUnavailable
from sprucepost.rules.record import RecordError
from sprucepost.settings import SettingsError
from sprucepost.standin.daemons import parse_address


class LoadError(Exception):
    """A load run failed; the message is one line and ``status`` the exit status."""

    def __init__(self, text: str, status: int) -> None:
        super().__init__(text)
        self.status = status


def _arrivals_of(plan: Plan) -> list[TaskArrival]:
    if not isinstance(plan.arrivals, Replay):
        return list(task_arrivals(plan))
    try:
        return list(task_arrivals(plan, read_recorded_arrivals(Path(plan.arrivals.record))))
    except (RecordError, SettingsError) as error:
        raise LoadError(f"arrivals.record: {error}", 2) from None


def play(sides: list[tuple[str, list[Address], Plan]]) -> dict[str, dict[str, Any]]:
    """Run each side's plan and return the figures by side name.

    Sides without a common placer run at the same time, so that both see the same host load; sides that share a placer
    run one after the other.
    """
    prepared = [(name, addresses, plan, _arrivals_of(plan)) for name, addresses, plan in sides]
    disjoint = len({address for _, addresses, _ in sides for address in addresses}) == sum(len(a) for _, a, _ in sides)
    groups = [prepared] if disjoint else [[side] for side in prepared]
    figures: dict[str, dict[str, Any]] = {}
    for group in groups:
        loop = EpollLoop(group[0][2].seed)

        def main(scope: Scope, group: Any = group, loop: EpollLoop = loop) -> Co[list[LoadResult]]:
            runs = [LoadRun(loop, scope, addresses, plan, name) for name, addresses, plan, _ in group]
            jobs = [
                scope.spawn(run.execute(arrivals), name)
                for run, (name, _, _, arrivals) in zip(runs, group, strict=True)
            ]
            while not all(job.done for job in jobs):
                yield from sleep(20.0)
            found = [job.take() for job in jobs]
            scope.cancel()
            return found

        try:
            results = loop.run(lambda main=main: in_scope(main))  # type: ignore[misc]
        except (OSError, ValueError) as error:
            raise LoadError(str(error), 3) from None
        finally:
            loop.close()
        for (name, _, plan, _), result in zip(group, results, strict=True):
            figures[name] = result.figures(plan.length_s)
    return figures


def command(
    sides: list[tuple[str, list[str], Plan]], save: Path | None, against: Path | None, chart: Path | None
) -> int:
    """Run the command; returns 0 done, 2 a file cannot be read or written, 3 no placer answers."""
    try:
        earlier: dict[str, Any] | None = None
        if against is not None:
            try:
                earlier = json.loads(against.read_bytes())
            except (OSError, ValueError) as error:
                raise LoadError(f"{against}: {error}", 2) from None
        figures = play([(name, [parse_address(a) for a in addresses], plan) for name, addresses, plan in sides])
        first, *rest = figures
        if save is not None:
            _write(save, json.dumps(figures[first] if not rest else figures, indent=1) + "\n")
        if rest:
            print(table(["figure", first, rest[0], "ratio"], comparison_rows(figures[first], figures[rest[0]])))
        elif earlier is not None:
            print(table(["figure", "before", "now", "ratio"], comparison_rows(earlier, figures[first])))
        else:
            print(
                table(
                    ["figure", "value"], [[name, f"{value:g}"] for name, value in flat_figures(figures[first]).items()]
                )
            )
        if chart is not None:
            plans = {name: msgspec.to_builtins(plan) for name, _, plan in sides}
            try:
                _write(chart, render_page("sprucepost load", figures, plans))
            except ChartsUnavailable as error:
                raise LoadError(f"--html: {error}", 2) from None
    except LoadError as error:
        print(f"sprucepost: {error}", file=sys.stderr)
        return error.status
    return 0


def _write(path: Path, text: str) -> None:
    try:
        path.write_text(text)
    except OSError as error:
        raise LoadError(f"{path}: {error.strerror}", 2) from None
