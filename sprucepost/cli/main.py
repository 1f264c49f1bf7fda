"""``sprucepost``: the command group and its subcommands."""

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
    """Read the settings in a file; on errors, print one line for each on standard error and exit with status 2."""
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
    """Run a daemon's coroutine on the epoll loop and exit with the status that it returns."""
    from sprucepost.loop import in_scope
    from sprucepost.loop.epoll import EpollLoop
    from sprucepost.settings import SettingsError

    loop = loop or EpollLoop(seed)

    def announce(line: str) -> None:
        print(line, flush=True)

    # Objects created at start-up live as long as the process, so they are excluded from garbage collection. High
    # thresholds make collections rare: tasks are freed by reference counting and cycles are few, while a collection
    # stops the process (5 to 11 ms for the middle generation, 79 ms for the oldest one under load).
    gc.collect()
    gc.freeze()
    gc.set_threshold(100_000, 20, 20)
    try:
        status = loop.run(lambda: in_scope(lambda scope: body(loop, scope, file, announce)))
    except SettingsError as error:  # found only at start-up, such as a placer number that cannot be leased
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
    """Place long-running tasks on a cluster's machines."""


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
    """Run one placer on the platform's protocol, configured by BALANCER_CONFIG (as a module it uses less memory)."""
    from sprucepost.node.service import main as run

    sys.exit(run())


@main.command(hidden=True)
@_FILE
def host(file: Path) -> None:
    """Run one placer with a wall clock that a test can step."""
    from sprucepost.cli.host import SteppedLoop
    from sprucepost.placer.process import serve
    from sprucepost.settings import PlacerFile

    settings = read_or_exit(file, PlacerFile)
    clock = SteppedLoop(settings.placer.seed, file.with_suffix(".clock"))

    def body(loop: Any, scope: Any, settings: Any, announce: Any) -> Any:
        clock.watch_offset()
        return serve(loop, scope, settings, announce, file)

    run_daemon(body, settings, settings.placer.seed, clock)


@main.command()
@_FILE
def machine(file: Path) -> None:
    """Run simulated machines."""
    from sprucepost.standin import daemons

    settings = read_or_exit(file, daemons.MachineFile)
    run_daemon(daemons.run_machines, settings, settings.seed)


@main.command("list")
@_FILE
def list_(file: Path) -> None:
    """Run a simulated list of machines."""
    from sprucepost.standin import daemons

    run_daemon(daemons.run_list, read_or_exit(file, daemons.ListFile), None)


@main.command()
@_FILE
def tap(file: Path) -> None:
    """Run the recording proxy."""
    from sprucepost.standin import daemons

    run_daemon(daemons.run_proxy, read_or_exit(file, daemons.ProxyFile), None)


@main.group()
def owner() -> None:
    """Request tasks as an owner."""


@owner.command()
@_FILE
def watch(file: Path) -> None:
    """Request tasks of services at a constant rate, until stopped by a signal."""
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
@click.option("--life-ms", type=float, default=0.0, help="Expected run time; 0: unknown.")
@click.option("--left-ms", type=float, default=5000.0, show_default=True, help="Time until the owner gives up.")
@click.option("--follow", is_flag=True, help="Wait until the task has ended.")
def submit(
    address: str, name: str, task_class: str, service: str, cores: float, memory: float, tenant: str,
    life_ms: float, left_ms: float, follow: bool,
) -> None:  # fmt: skip
    """Submit one task to the placer at ADDRESS and print each answer as a JSON line."""
    from sprucepost.cli.submit import run
    from sprucepost.v1 import common_pb2

    task = common_pb2.Task(
        task_class=task_class, service=service, cores=cores, memory=memory, tenant=tenant, life_ms=life_ms
    )
    sys.exit(run(address, name, task, left_ms, follow))


@main.group()
def config() -> None:
    """Check and print settings files."""


@config.command()
@_FILE
def check(file: Path) -> None:
    """Check a placer's settings; exit status 2 if they are invalid."""
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
    """Print a placer's settings with all defaults."""
    import msgspec

    from sprucepost.settings import PlacerFile

    click.echo(json.dumps(msgspec.to_builtins(read_or_exit(file, PlacerFile)), indent=1))


class _PlayByDefault(click.Group):
    """A group whose default subcommand is ``play``: ``badday FILE`` is ``badday play FILE``."""

    def resolve_command(self, ctx: click.Context, args: list[str]) -> Any:
        if args and args[0] not in self.commands:
            args = ["play", *args]
        return super().resolve_command(ctx, args)

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if not args or (args[0] not in self.commands and args[0] != "--help"):
            args = ["play", *args]
        return super().parse_args(ctx, args)


@main.group(cls=_PlayByDefault)
def badday() -> None:
    """Fault scenarios on loopback, checked by the five rules from the recorded traffic. Default command: play."""


@badday.command("play")
@click.argument("scenario", type=click.Path(path_type=Path), required=False)
@click.option("--seed", type=int, help="Seed of the scenario's random choices.")
@click.option("--seeds", help="A..B, or seeds with commas: play them all and report those that fail.")
@click.option("--random", "random_day", is_flag=True, help="Generate the whole scenario from the seed.")
@click.option(
    "--peers", is_flag=True, help="Placers keep a view of their fleet; with --random, also faults between placers."
)
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Runs in parallel, with --seeds.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("found"),
    show_default=True,
    help="With --seeds: folder for the results and the records of failed runs; seeds with a result are not run again.",
)
@click.option("--length", "length_s", type=float, help="Length in seconds; fault times are scaled with it.")
@click.option(
    "--record",
    "keep",
    type=click.Path(path_type=Path),
    help="Keep traffic, logs and result in this folder.",
)
@click.option("--quiet", is_flag=True, help="Print no progress.")
def badday_play(
    scenario: Path | None, seed: int | None, seeds: str | None, random_day: bool, peers: bool, jobs: int, out: Path,
    length_s: float | None, keep: Path | None, quiet: bool,
) -> None:  # fmt: skip
    """Play a fault scenario; exit status 1 if a rule is broken, 3 if the run itself failed."""
    from msgspec import structs

    from sprucepost.cli.badday import default_scenario, play
    from sprucepost.cli.search import parse_seeds, random_scenarios, search
    from sprucepost.settings.reading import decode
    from sprucepost.standin.scenario import Scenario

    if random_day and scenario is not None:
        raise click.UsageError("--random generates the scenario: no scenario file may be given with it")
    if seeds is not None and seed is not None:
        raise click.UsageError("--seed and --seeds cannot be used together")
    if random_day:
        scenario_of = random_scenarios(length_s or 24.0, peers)
    else:
        base = read_or_exit(scenario, Scenario) if scenario else decode(default_scenario(), Scenario)
        base = base.scaled(length_s) if length_s is not None else base

        def scenario_of(seed: int) -> Scenario:
            return structs.replace(base, seed=seed, peers=peers or base.peers)

    if seeds is not None:
        try:
            chosen = parse_seeds(seeds)
        except ValueError as error:
            click.echo(f"sprucepost: --seeds: {error}", err=True)
            sys.exit(2)
        sys.exit(search(chosen, jobs, out, scenario_of, quiet))
    if seed is None:
        seed = 1 if random_day else base.seed
    sys.exit(play(scenario_of(seed), keep, quiet))


@badday.command("shrink")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--jobs", type=click.IntRange(1), default=3, show_default=True, help="Runs in parallel.")
@click.option("--tries", type=click.IntRange(1), default=3, show_default=True, help="Runs of each candidate.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
def badday_shrink(scenario: Path, jobs: int, tries: int, out: Path) -> None:
    """Reduce SCENARIO (a file, or the record of a failed run) to the fewest faults that still fail, and print it."""
    import msgspec

    from sprucepost.cli.search import shrink
    from sprucepost.standin.scenario import Scenario

    full = read_or_exit(scenario / "scenario.json" if scenario.is_dir() else scenario, Scenario)
    small = shrink(full, out, jobs, tries, lambda text: click.echo(text, err=True))
    if small is None:
        click.echo(f"sprucepost: {scenario}: no check failed in {tries} runs", err=True)
        sys.exit(1)
    click.echo(msgspec.json.format(msgspec.json.encode(small), indent=1).decode())


@main.group()
def rules() -> None:
    """Check recorded runs against the five rules."""


@rules.command("check")
@click.argument("folder", type=click.Path(path_type=Path))
def rules_check(folder: Path) -> None:
    """Check a recorded run again; exit status 1 if a rule is broken, 2 if the record is unusable."""
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
    """Check, print and generate the scenario files of badday."""


@scenario.command("check")
@_FILE
def scenario_check(file: Path) -> None:
    """Check a scenario; exit status 2 if it is invalid."""
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
    """Print the scenario that ``badday`` plays when none is given."""
    from sprucepost.cli.badday import default_scenario

    click.echo(default_scenario().decode(), nl=False)


@scenario.command("draw")
@click.option("--seed", type=int, required=True)
@click.option("--length", "length_s", type=click.FloatRange(0, min_open=True), default=24.0, show_default=True)
@click.option("--peers", is_flag=True, help="As for badday --peers.")
def scenario_draw(seed: int, length_s: float, peers: bool) -> None:
    """Print the scenario that `badday --random --seed` plays."""
    import msgspec

    from sprucepost.standin.scenario_generator import generate_scenario

    click.echo(msgspec.json.format(msgspec.json.encode(generate_scenario(seed, length_s, peers)), indent=1).decode())


@scenario.command("import")
@click.argument("day", type=click.Path(path_type=Path))
@click.option("--scale", type=click.FloatRange(0, 1, min_open=True), default=1.0, show_default=True,
              help="Share of the original's machines, placers and traffic.")  # fmt: skip
def scenario_import(day: Path, scale: float) -> None:
    """Convert a scenario generated by the bench, and print it in the format of badday."""
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
    """Run placers on this machine, for tests and small sites, and show the view of a running fleet."""


fleet.add_command(configuration)

_DIR = click.option("--dir", "folder", type=click.Path(path_type=Path), required=True, help="The fleet's folder.")


def _send_command(folder: Path, **command: Any) -> dict[str, Any]:
    from sprucepost.cli.runner import send_command

    try:
        reply = send_command(folder, **command)
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
    """Start SIZE placers and supervise them until `fleet down`. The number and instances in FILE are ignored."""
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
@click.option("--json", "as_json", is_flag=True, help="Print the whole summary as JSON.")
def status(address: str | None, folder: Path | None, as_json: bool) -> None:
    """Print a row for each placer, of the runner in --dir or as seen by the placer whose HTTP port is at ADDRESS. With
    ADDRESS, exit status 1 if a member that is here is not ready, or if two members hold the same number."""
    from sprucepost.cli.tables import table

    if (address is None) == (folder is None):
        raise click.UsageError("exactly one of ADDRESS and --dir is required")
    if address is not None:
        from sprucepost.cli.members import STATUS_COLUMNS, view_table

        view = _view(address)
        click.echo(json.dumps(view, indent=1) if as_json else view_table(view, STATUS_COLUMNS))
        here = [member for member in view["members"] if member["condition"] == "here"]
        sys.exit(1 if view["conflicts"] or any(member["status"] != "ready" for member in here) else 0)
    assert folder is not None
    reply = _send_command(folder, what="status")
    if as_json:
        click.echo(json.dumps(reply, indent=1))
        return
    head = ["number", "state", "pid", "grpc", "http", "restarts"]
    click.echo(table(head, [[row[key] for key in head] for row in reply["placers"]]))


@fleet.command()
@_DIR
@click.option("--batch", type=click.IntRange(1), default=4, show_default=True)
def roll(folder: Path, batch: int) -> None:
    """Restart every placer, a batch at a time."""
    click.echo(json.dumps(_send_command(folder, what="roll", batch=batch)))


@fleet.command()
@_DIR
@click.option("--size", type=click.IntRange(1), required=True)
@click.option(
    "--lead-s",
    type=float,
    default=5.0,
    show_default=True,
    help="Time between the announcement and the begin of the change.",
)
@click.option(
    "--overlap-s", type=float, default=60.0, show_default=True, help="Time from the change's begin to its end."
)
def resize(folder: Path, size: int, lead_s: float, overlap_s: float) -> None:
    """Change the number of placers by an announced generation."""
    click.echo(json.dumps(_send_command(folder, what="resize", size=size, lead_s=lead_s, overlap_s=overlap_s)))


def _view(address: str) -> dict[str, Any]:
    from sprucepost.cli.members import ViewUnavailable, fetch_view

    try:
        return fetch_view(address)
    except ViewUnavailable as error:
        click.echo(f"sprucepost: {address}: {error}", err=True)
        sys.exit(2)


@fleet.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="The placer's JSON, unchanged.")
def members(address: str, as_json: bool) -> None:
    """Show the fleet as seen by the placer whose HTTP port is at ADDRESS; exit status 1 if two hold the same number."""
    from sprucepost.cli.members import view_table

    view = _view(address)
    click.echo(json.dumps(view, indent=1) if as_json else view_table(view))
    sys.exit(1 if view["conflicts"] else 0)


@fleet.command("watch")
@click.argument("address")
@click.option("--every", "every_s", type=click.FloatRange(0.1, 60), default=1.0, show_default=True, help="Seconds.")
def fleet_watch(address: str, every_s: float) -> None:
    """Print a line for each change seen by the placer whose HTTP port is at ADDRESS, until it stops answering."""
    from sprucepost.cli.members import ViewUnavailable, condition_changes

    try:
        for line in condition_changes(address, every_s):
            click.echo(line)
    except ViewUnavailable as error:
        click.echo(f"sprucepost: {address}: {error}", err=True)
        sys.exit(2)


@fleet.command()
@_DIR
def down(folder: Path) -> None:
    """Stop all placers; exit status 1 if one did not end with status 0."""
    exits = _send_command(folder, what="down")["exits"]
    click.echo(json.dumps({"exits": exits}))
    sys.exit(1 if any(status != 0 for status in exits.values()) else 0)


main.add_command(scale)


@main.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option(
    "--plan",
    type=click.Path(path_type=Path),
    help="Plan file (docs/load.md); the options up to --seed do not apply to it.",
)
@click.option("--class", "task_class")
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="Requests a second, over all placers.")
@click.option("--length", "length_s", type=click.FloatRange(0, 3600, min_open=True), default=10.0, show_default=True)
@click.option(
    "--burst",
    nargs=3,
    type=float,
    multiple=True,
    help="FROM TO TIMES: seconds, and a factor on the rate.",
)
@click.option("--cores", type=float, default=0.1, show_default=True)
@click.option("--memory", type=float, default=0.1, show_default=True)
@click.option("--left-ms", type=float, default=3000.0, show_default=True)
@click.option("--aim-ms", type=float, default=500.0, show_default=True)
@click.option(
    "--owners",
    type=click.IntRange(1),
    default=8,
    show_default=True,
    help="Each has a session at each placer.",
)
@click.option("--services", type=click.IntRange(1), default=50, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--versus", multiple=True, help="Another placer, which gets the same load at the same time; may be repeated."
)
@click.option(
    "--versus-plan",
    type=click.Path(path_type=Path),
    help="A second plan, for --versus or for the same placers.",
)
@click.option("--save", type=click.Path(path_type=Path), help="Save the figures to this file.")
@click.option("--against", type=click.Path(path_type=Path), help="Compare with the figures saved in this file.")
@click.option("--html", "chart", type=click.Path(path_type=Path), help="Write a page with tables and charts.")
def load(
    addresses: tuple[str, ...], plan: Path | None, task_class: str | None, rate: float | None, length_s: float,
    burst: tuple[tuple[float, float, float], ...], cores: float, memory: float, left_ms: float, aim_ms: float,
    owners: int, services: int, seed: int, versus: tuple[str, ...], versus_plan: Path | None, save: Path | None,
    against: Path | None, chart: Path | None,
) -> None:  # fmt: skip
    """Generate open-loop load on the placers at ADDRESSES; latencies count from the time at which a request was due."""
    from sprucepost.cli.load import command
    from sprucepost.load.plan import Class, Plan, Poisson, Surge
    from sprucepost.settings import SettingsError, read

    try:
        if plan is not None:
            first = read(plan, Plan)
        elif task_class is None or rate is None:
            raise SettingsError(["load: --plan, or --class and --rate, are required"])
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
