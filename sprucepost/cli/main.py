"""``sprucepost``: the commands."""

from __future__ import annotations

import gc
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from sprucepost.cli.configuration import config as configuration
from sprucepost.cli.scale import scale

C = TypeVar("C")

_FILE = click.argument("file", type=click.Path(path_type=Path))


def read_or_exit(path: Path, kind: type[Any]) -> Any:
    """The settings in a file; else one plain line for each fault on standard error and exit status 2."""
    from sprucepost.settings import SettingsError, read

    try:
        return read(path, kind)
    except SettingsError as error:
        for line in error.lines:
            click.echo(f"sprucepost: {line}", err=True)
        sys.exit(2)


def run_daemon(
    body: Callable[[Any, Any, Any, Callable[[str], None]], Any], file: Any, seed: int | None, loop: Any = None
) -> None:
    """Run a daemon's coroutine on a real loop; exit with the status that it returns."""
    from sprucepost.loop import in_scope
    from sprucepost.loop.epoll import EpollLoop
    from sprucepost.settings import SettingsError

    loop = loop or EpollLoop(seed)

    def announce(line: str) -> None:
        print(line, flush=True)

    # What start-up made stays for the process's life: the collector need not look at it again. And it comes seldom: tasks
    # are freed by their counts, cycles are few, while a collection stops everything (measured: 5 to 11 ms for the middle
    # generation, 79 ms for the oldest under load).
    gc.collect()
    gc.freeze()
    gc.set_threshold(100_000, 20, 20)
    try:
        status = loop.run(lambda: in_scope(lambda scope: body(loop, scope, file, announce)))
    except SettingsError as error:  # what only the start could tell, such as a number that cannot be had
        for line in error.lines:
            click.echo(f"sprucepost: {line}", err=True)
        sys.exit(2)
    except OSError as error:
        click.echo(f"sprucepost: {error}", err=True)
        sys.exit(1)
    finally:
        loop.close()
    sys.exit(status)


@click.group()
def main() -> None:
    """Places long-running tasks on a cluster's machines."""


@main.command()
@_FILE
def placer(file: Path) -> None:
    """Run one placer from a settings file."""
    from sprucepost.placer.process import serve
    from sprucepost.settings import PlacerFile

    settings = read_or_exit(file, PlacerFile)

    def body(loop: Any, scope: Any, settings: Any, announce: Any) -> Any:
        return serve(loop, scope, settings, announce, file)

    run_daemon(body, settings, settings.placer.seed)


@main.command()
def node() -> None:
    """Run one placer on the platform's protocol, told by BALANCER_CONFIG (as a module, less memory is used)."""
    from sprucepost.node.service import main as run

    sys.exit(run())


@main.command(hidden=True)
@_FILE
def host(file: Path) -> None:
    """Run one placer on a host whose wall clock a test can step."""
    from sprucepost.cli.host import SteppedLoop
    from sprucepost.placer.process import serve
    from sprucepost.settings import PlacerFile

    settings = read_or_exit(file, PlacerFile)
    clock = SteppedLoop(settings.placer.seed, file.with_suffix(".clock"))

    def body(loop: Any, scope: Any, settings: Any, announce: Any) -> Any:
        clock.obey()
        return serve(loop, scope, settings, announce, file)

    run_daemon(body, settings, settings.placer.seed, clock)


@main.command()
@_FILE
def machine(file: Path) -> None:
    """Run stand-in machines."""
    from sprucepost.standin import daemons

    settings = read_or_exit(file, daemons.MachineFile)
    run_daemon(daemons.run_machines, settings, settings.seed)


@main.command("list")
@_FILE
def list_(file: Path) -> None:
    """Run a stand-in list of machines."""
    from sprucepost.standin import daemons

    run_daemon(daemons.run_list, read_or_exit(file, daemons.ListFile), None)


@main.command()
@_FILE
def tap(file: Path) -> None:
    """Run the recording relay."""
    from sprucepost.standin import daemons

    run_daemon(daemons.run_proxy, read_or_exit(file, daemons.ProxyFile), None)


@main.group()
def owner() -> None:
    """Ask for tasks."""


@owner.command()
@_FILE
def watch(file: Path) -> None:
    """Ask for tasks of services at a rate, until told to stop."""
    from sprucepost.standin import daemons

    settings = read_or_exit(file, daemons.OwnerFile)
    run_daemon(daemons.run_owners, settings, settings.seed)


@owner.command()
@click.argument("address")
@click.option("--name", required=True, help="The task's name, which is also its key.")
@click.option("--class", "task_class", required=True)
@click.option("--service", required=True)
@click.option("--cores", type=float, default=1.0, show_default=True)
@click.option("--memory", type=float, default=1.0, show_default=True)
@click.option("--tenant", default="")
@click.option("--life-ms", type=float, default=0.0, help="Expected run time; 0: not known.")
@click.option("--left-ms", type=float, default=5000.0, show_default=True, help="Time until you give up.")
@click.option("--follow", is_flag=True, help="Stay until the task is over.")
def submit(
    address: str, name: str, task_class: str, service: str, cores: float, memory: float, tenant: str,
    life_ms: float, left_ms: float, follow: bool,
) -> None:  # fmt: skip
    """Submit one task to the placer at ADDRESS and print what comes back, a JSON line each."""
    from sprucepost.cli.submit import run
    from sprucepost.v1 import common_pb2

    task = common_pb2.Task(
        task_class=task_class, service=service, cores=cores, memory=memory, tenant=tenant, life_ms=life_ms
    )
    sys.exit(run(address, name, task, left_ms, follow))


@main.group()
def config() -> None:
    """Settings files."""


@config.command()
@_FILE
def check(file: Path) -> None:
    """Check a placer's settings; exit status 2 where they cannot be used."""
    from sprucepost.settings import PlacerFile

    read_or_exit(file, PlacerFile)
    click.echo(f"{file}: good")


@config.command()
def schema() -> None:
    """Print the JSON schema of a placer's settings."""
    from sprucepost.settings import PlacerFile
    from sprucepost.settings import schema as text

    click.echo(text(PlacerFile), nl=False)


@config.command()
@_FILE
def show(file: Path) -> None:
    """Print a placer's settings with every default filled in."""
    import msgspec

    from sprucepost.settings import PlacerFile

    click.echo(json.dumps(msgspec.to_builtins(read_or_exit(file, PlacerFile)), indent=1))


class _ByDefault(click.Group):
    """A group whose own name plays a day: ``badday FILE`` is ``badday play FILE``."""

    def resolve_command(self, ctx: click.Context, args: list[str]) -> Any:
        if args and args[0] not in self.commands:
            args = ["play", *args]
        return super().resolve_command(ctx, args)

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if not args or (args[0] not in self.commands and args[0] != "--help"):
            args = ["play", *args]
        return super().parse_args(ctx, args)


@main.group(cls=_ByDefault)
def badday() -> None:
    """Bad days on loopback, judged by the five rules from the traffic. Without a command: play."""


@badday.command("play")
@click.argument("scenario", type=click.Path(path_type=Path), required=False)
@click.option("--seed", type=int, help="Another draw of the same day.")
@click.option("--seeds", help="A..B, or seeds with commas: play them all, and say which are bad.")
@click.option("--random", "random_day", is_flag=True, help="Draw the whole day from the seed.")
@click.option(
    "--peers", is_flag=True, help="Placers keep a view of their fleet; with --random, faults between them too."
)
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Days at a time, with --seeds.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("found"),
    show_default=True,
    help="With --seeds: where results and the records of bad days are kept; what is there is not played again.",
)
@click.option("--length", "length_s", type=float, help="Seconds; the faults' times scale with it.")
@click.option("--record", "keep", type=click.Path(path_type=Path), help="Keep bytes, logs and result in this folder.")
@click.option("--quiet", is_flag=True, help="No progress.")
def badday_play(
    scenario: Path | None, seed: int | None, seeds: str | None, random_day: bool, peers: bool, jobs: int, out: Path,
    length_s: float | None, keep: Path | None, quiet: bool,
) -> None:  # fmt: skip
    """Play a bad day; exit status 1 if a rule broke, 3 if the run itself failed."""
    from msgspec import structs

    from sprucepost.cli.badday import default_scenario, play
    from sprucepost.cli.search import parse_seeds, random_scenarios, search
    from sprucepost.settings.reading import decode
    from sprucepost.standin.scenario import Scenario

    if random_day and scenario is not None:
        raise click.UsageError("--random draws the day: give no scenario with it")
    if seeds is not None and seed is not None:
        raise click.UsageError("--seed and --seeds: give one of them")
    if random_day:
        day_of = random_scenarios(length_s or 24.0, peers)
    else:
        base = read_or_exit(scenario, Scenario) if scenario else decode(default_scenario(), Scenario)
        base = base.scaled(length_s) if length_s is not None else base

        def day_of(seed: int) -> Scenario:
            return structs.replace(base, seed=seed, peers=peers or base.peers)

    if seeds is not None:
        try:
            chosen = parse_seeds(seeds)
        except ValueError as error:
            click.echo(f"sprucepost: --seeds: {error}", err=True)
            sys.exit(2)
        sys.exit(search(chosen, jobs, out, day_of, quiet))
    if seed is None:
        seed = 1 if random_day else base.seed
    sys.exit(play(day_of(seed), keep, quiet))


@badday.command("shrink")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--jobs", type=click.IntRange(1), default=3, show_default=True, help="Plays at a time.")
@click.option("--tries", type=click.IntRange(1), default=3, show_default=True, help="Plays of each candidate.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
def badday_shrink(scenario: Path, jobs: int, tries: int, out: Path) -> None:
    """Cut the day in SCENARIO (a file, or a bad day's record) to the fewest faults that still break it, and print it."""
    import msgspec

    from sprucepost.cli.search import shrink
    from sprucepost.standin.scenario import Scenario

    day = read_or_exit(scenario / "scenario.json" if scenario.is_dir() else scenario, Scenario)
    small = shrink(day, out, jobs, tries, lambda text: click.echo(text, err=True))
    if small is None:
        click.echo(f"sprucepost: {scenario}: {tries} plays broke nothing", err=True)
        sys.exit(1)
    click.echo(msgspec.json.format(msgspec.json.encode(small), indent=1).decode())


@main.group()
def rules() -> None:
    """The five rules."""


@rules.command("check")
@click.argument("folder", type=click.Path(path_type=Path))
def rules_check(folder: Path) -> None:
    """Judge a recorded run again; exit status 1 if a rule broke, 2 if the record cannot be judged."""
    import msgspec

    from sprucepost.cli.tables import rules_table
    from sprucepost.rules import record
    from sprucepost.settings import SettingsError

    try:
        verdicts = record.check(folder)
    except (record.RecordError, SettingsError) as error:
        click.echo(f"sprucepost: {error}", err=True)
        sys.exit(2)
    click.echo(rules_table([msgspec.to_builtins(verdict) for verdict in verdicts]))
    sys.exit(1 if any(verdict.broken for verdict in verdicts) else 0)


@main.group()
def scenario() -> None:
    """Scenario files: days that badday plays."""


@scenario.command("check")
@_FILE
def scenario_check(file: Path) -> None:
    """Check a scenario; exit status 2 where it cannot be played."""
    from sprucepost.standin.scenario import Scenario

    read_or_exit(file, Scenario)
    click.echo(f"{file}: good")


@scenario.command("schema")
def scenario_schema() -> None:
    """Print the JSON schema of scenarios."""
    from sprucepost.settings import schema as text
    from sprucepost.standin.scenario import Scenario

    click.echo(text(Scenario), nl=False)


@scenario.command("show")
def scenario_show() -> None:
    """Print the bad day that ``badday`` plays when it is given none."""
    from sprucepost.cli.badday import default_scenario

    click.echo(default_scenario().decode(), nl=False)


@scenario.command("draw")
@click.option("--seed", type=int, required=True)
@click.option("--length", "length_s", type=click.FloatRange(0, min_open=True), default=24.0, show_default=True)
@click.option("--peers", is_flag=True, help="As with --peers.")
def scenario_draw(seed: int, length_s: float, peers: bool) -> None:
    """Print the day that `badday --random --seed` plays."""
    import msgspec

    from sprucepost.standin.scenario_generator import generate_scenario

    click.echo(msgspec.json.format(msgspec.json.encode(generate_scenario(seed, length_s, peers)), indent=1).decode())


@scenario.command("import")
@click.argument("day", type=click.Path(path_type=Path))
@click.option("--scale", type=click.FloatRange(0, 1, min_open=True), default=1.0, show_default=True,
              help="Share of the day's machines, placers and traffic.")  # fmt: skip
def scenario_import(day: Path, scale: float) -> None:
    """Turn a day drawn by the bench into a scenario on standard output."""
    from sprucepost.settings import SettingsError
    from sprucepost.settings.reading import decode
    from sprucepost.standin.bench_day import convert
    from sprucepost.standin.scenario import Scenario

    try:
        raw = json.loads(day.read_bytes())
        text = json.dumps(convert(raw, scale), indent=1)
        decode(text.encode(), Scenario, str(day))
    except OSError as error:
        click.echo(f"sprucepost: {day}: {error.strerror}", err=True)
        sys.exit(2)
    except ValueError as error:
        click.echo(f"sprucepost: {day}: not JSON: {error}", err=True)
        sys.exit(2)
    except SettingsError as error:
        for line in error.lines:
            click.echo(f"sprucepost: {line}", err=True)
        sys.exit(2)
    click.echo(text)


@main.group()
def fleet() -> None:
    """Placers on this machine, for tests and small sites."""


fleet.add_command(configuration)

_DIR = click.option("--dir", "folder", type=click.Path(path_type=Path), required=True, help="The fleet's folder.")


def _tell(folder: Path, **order: Any) -> dict[str, Any]:
    from sprucepost.cli.runner import tell

    try:
        reply = tell(folder, **order)
    except (OSError, ValueError) as error:
        click.echo(f"sprucepost: {folder}: no fleet runs here ({error})", err=True)
        sys.exit(2)
    if "error" in reply:
        click.echo(f"sprucepost: {reply['error']}", err=True)
        sys.exit(1)
    return reply


@fleet.command()
@_FILE
@_DIR
@click.option("--size", type=click.IntRange(1), required=True)
def up(file: Path, folder: Path, size: int) -> None:
    """Start SIZE placers and supervise them until `fleet down`. The number and instances in FILE are not used."""
    from sprucepost.cli.runner import Control, Runner
    from sprucepost.settings import PlacerFile

    read_or_exit(file, PlacerFile)
    folder.mkdir(parents=True, exist_ok=True)
    runner = Runner(json.loads(file.read_bytes()), folder, lambda line: click.echo(line, err=True))
    control = Control(runner, folder)
    try:
        took = runner.up(size)
        click.echo(json.dumps({"ready": size, "took_s": round(took, 2)}))
        control.serve()
    except RuntimeError as error:
        click.echo(f"sprucepost: {error}", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        runner.down()
    finally:
        control.close()
        runner.kill()


@fleet.command()
@click.argument("address", required=False)
@click.option("--dir", "folder", type=click.Path(path_type=Path), help="The fleet's folder.")
@click.option("--json", "as_json", is_flag=True, help="The whole summary.")
def status(address: str | None, folder: Path | None, as_json: bool) -> None:
    """A row for each placer: of the runner in --dir, or as the placer tells it whose HTTP port is at ADDRESS (exit status 1
    where one that is here is not ready, or two hold one number)."""
    from sprucepost.cli.tables import table

    if (address is None) == (folder is None):
        raise click.UsageError("give an ADDRESS or --dir")
    if address is not None:
        from sprucepost.cli.members import STATUS, shown

        view = _view(address)
        click.echo(json.dumps(view, indent=1) if as_json else shown(view, STATUS))
        here = [member for member in view["members"] if member["condition"] == "here"]
        sys.exit(1 if view["conflicts"] or any(member["status"] != "ready" for member in here) else 0)
    assert folder is not None
    reply = _tell(folder, what="status")
    if as_json:
        click.echo(json.dumps(reply, indent=1))
        return
    head = ["number", "state", "pid", "grpc", "http", "restarts"]
    click.echo(table(head, [[row[key] for key in head] for row in reply["placers"]]))


@fleet.command()
@_DIR
@click.option("--batch", type=click.IntRange(1), default=4, show_default=True)
def roll(folder: Path, batch: int) -> None:
    """Replace every placer, a batch at a time."""
    click.echo(json.dumps(_tell(folder, what="roll", batch=batch)))


@fleet.command()
@_DIR
@click.option("--size", type=click.IntRange(1), required=True)
@click.option(
    "--lead-s", type=float, default=5.0, show_default=True, help="Between telling all and the change's begin."
)
@click.option("--overlap-s", type=float, default=60.0, show_default=True, help="The change is over so long after that.")
def resize(folder: Path, size: int, lead_s: float, overlap_s: float) -> None:
    """Another number of placers, by an announced generation."""
    click.echo(json.dumps(_tell(folder, what="resize", size=size, lead_s=lead_s, overlap_s=overlap_s)))


def _view(address: str) -> dict[str, Any]:
    from sprucepost.cli.members import NoView, ask

    try:
        return ask(address)
    except NoView as error:
        click.echo(f"sprucepost: {address}: {error}", err=True)
        sys.exit(2)


@fleet.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As the placer tells it.")
def members(address: str, as_json: bool) -> None:
    """The fleet as the placer sees it whose HTTP port is at ADDRESS; exit status 1 where two hold one number."""
    from sprucepost.cli.members import shown

    view = _view(address)
    click.echo(json.dumps(view, indent=1) if as_json else shown(view))
    sys.exit(1 if view["conflicts"] else 0)


@fleet.command("watch")
@click.argument("address")
@click.option("--every", "every_s", type=click.FloatRange(0.1, 60), default=1.0, show_default=True, help="Seconds.")
def fleet_watch(address: str, every_s: float) -> None:
    """A line for each change that the placer sees whose HTTP port is at ADDRESS, until it cannot be asked any more."""
    from sprucepost.cli.members import NoView, changes

    try:
        for line in changes(address, every_s):
            click.echo(line)
    except NoView as error:
        click.echo(f"sprucepost: {address}: {error}", err=True)
        sys.exit(2)


@fleet.command()
@_DIR
def down(folder: Path) -> None:
    """Stop all placers; exit status 1 where one did not settle by itself."""
    exits = _tell(folder, what="down")["exits"]
    click.echo(json.dumps({"exits": exits}))
    sys.exit(1 if any(status != 0 for status in exits.values()) else 0)


main.add_command(scale)


@main.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option(
    "--plan", type=click.Path(path_type=Path), help="A plan (docs/load.md); the options up to --seed are not for it."
)
@click.option("--class", "task_class")
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="Asks a second, over all placers.")
@click.option("--length", "length_s", type=click.FloatRange(0, 3600, min_open=True), default=10.0, show_default=True)
@click.option("--burst", nargs=3, type=float, multiple=True, help="FROM TO TIMES: seconds, and times the rate.")
@click.option("--cores", type=float, default=0.1, show_default=True)
@click.option("--memory", type=float, default=0.1, show_default=True)
@click.option("--left-ms", type=float, default=3000.0, show_default=True)
@click.option("--aim-ms", type=float, default=500.0, show_default=True)
@click.option(
    "--owners", type=click.IntRange(1), default=8, show_default=True, help="Each with a session at each placer."
)
@click.option("--services", type=click.IntRange(1), default=50, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--versus", multiple=True, help="Another placer, which gets the same at the same time; may be repeated.")
@click.option(
    "--versus-plan", type=click.Path(path_type=Path), help="Another plan, on --versus or on the same placers."
)
@click.option("--save", type=click.Path(path_type=Path), help="Keep the figures in this file.")
@click.option("--against", type=click.Path(path_type=Path), help="Compare with the figures kept in this file.")
@click.option("--html", "chart", type=click.Path(path_type=Path), help="Write a page with tables and charts.")
def load(
    addresses: tuple[str, ...], plan: Path | None, task_class: str | None, rate: float | None, length_s: float,
    burst: tuple[tuple[float, float, float], ...], cores: float, memory: float, left_ms: float, aim_ms: float,
    owners: int, services: int, seed: int, versus: tuple[str, ...], versus_plan: Path | None, save: Path | None,
    against: Path | None, chart: Path | None,
) -> None:  # fmt: skip
    """Open-loop load on the placers at ADDRESSES; percentiles count from when an ask was due."""
    from sprucepost.cli.load import command
    from sprucepost.load.plan import Class, Plan, Poisson, Surge
    from sprucepost.settings import SettingsError, read

    try:
        if plan is not None:
            first = read(plan, Plan)
        elif task_class is None or rate is None:
            raise SettingsError(["load: --plan, or --class and --rate, are needed"])
        else:
            first = Plan(
                Poisson(rate, [Surge(*one) for one in burst]), [Class(task_class, 1.0, cores, memory, left_ms, aim_ms)],
                length_s, seed, owners, services=services,
            )  # fmt: skip
            lines = first.problems()
            if lines:
                raise SettingsError([f"load: {line}" for line in lines])
        sides = [("first", list(addresses), first)]
        if versus or versus_plan is not None:
            second = first if versus_plan is None else read(versus_plan, Plan)
            sides.append(("second", list(versus or addresses), second))
    except SettingsError as error:
        for line in error.lines:
            click.echo(f"sprucepost: {line}", err=True)
        sys.exit(2)
    sys.exit(command(sides, save, against, chart))
