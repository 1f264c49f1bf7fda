"""``sprucepost badday``: runs a fault scenario on loopback and checks the rules from the recorded traffic."""

from __future__ import annotations

import json
import shutil
import signal
import sys
import tempfile
import time
from importlib import resources
from pathlib import Path
from typing import Any

import click
import msgspec

from sprucepost.cli.fleet import Fleet, FleetError
from sprucepost.cli.probe import probe
from sprucepost.cli.tables import report
from sprucepost.loop import Co, Scope, Task, in_scope, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.rules import record
from sprucepost.rules.views import FINAL_WINDOW_MS, SETTLE_LIMIT_MS
from sprucepost.standin.faults import FaultInjector
from sprucepost.standin.scenario import Scenario
from sprucepost.view.view import MAX_REPORT_DELAY_MS


def default_scenario() -> bytes:
    """Return the scenario file that is played when none is given."""
    return resources.files("sprucepost.standin").joinpath("badday.json").read_bytes()


class Player:
    """Runs one scenario, from the start of its processes to the verdicts."""

    def __init__(self, scenario: Scenario, folder: Path, quiet: bool) -> None:
        self.scenario, self.folder, self.quiet = scenario, folder, quiet
        self.loop = EpollLoop()
        self._events = (folder / record.EVENTS).open("w", buffering=1)
        self._began = 0.0

    def note(self, what: str, more: dict[str, Any]) -> None:
        """Append an event to the record, and print it unless the run is quiet."""
        event = {"at": time.time() * 1000.0, "what": what, **more}
        self._events.write(json.dumps(event) + "\n")
        if not self.quiet and what != "placer_starved":
            details = " ".join(f"{key}={value}" for key, value in more.items())
            click.echo(f"{(self.loop.now() - self._began) / 1000.0:6.1f} s  {what} {details}", err=True)

    def run(self) -> dict[str, Any]:
        """Run the scenario and return the result, which is also written; raises FleetError where a process fails."""
        (self.folder / record.SCENARIO).write_bytes(msgspec.json.format(msgspec.json.encode(self.scenario), indent=1))
        (self.folder / record.CLUSTER).write_text(json.dumps(msgspec.to_builtins(self.scenario.cluster), indent=1))
        fleet = Fleet(self.loop, self.scenario, self.folder, self.note)
        try:
            figures = self.loop.run(lambda: in_scope(lambda scope: self._play(scope, fleet)))
        finally:
            fleet.kill_all()
            self._events.close()
            self.loop.close()
        results = record.check(self.folder)
        result = {
            "scenario": self.scenario.name,
            "seed": self.scenario.seed,
            "length_s": self.scenario.length_s,
            **figures,
            "exits": fleet.exits,
            "rules": [msgspec.to_builtins(result) for result in results],
        }
        (self.folder / record.RESULT).write_text(json.dumps(result, indent=1) + "\n")
        return result

    def _play(self, scope: Scope, fleet: Fleet) -> Co[dict[str, Any]]:
        self._began = self.loop.now()
        injector = FaultInjector(self.loop, self.scenario, fleet)
        yield from fleet.start()
        yield from injector.setup()
        yield from sleep(self.scenario.list_late_ms + 500.0)
        yield from fleet.start_owners()
        self._began = self.loop.now()
        self.note("started", {"placers": self.scenario.placers, "machines": len(injector.machines)})
        injector.play(scope)
        probes: dict[int, Task[None]] = {}
        end = self._began + self.scenario.length_s * 1000.0
        while self.loop.now() < end:
            for n in fleet.numbers():  # a resize may add placers during the run
                if n not in probes:
                    watch = probe(self.loop, fleet.placer_address(n), f"placer-{n}", self.note)
                    probes[n] = scope.spawn(watch, f"probe {n}")
            yield from sleep(min(500.0, max(1.0, end - self.loop.now())))
            fleet.check_alive()
            self._progress()
        yield from fleet.order_owners("asking", on=False)
        yield from injector.wait_until_lifted()  # faults that outlast the scenario are lifted
        if self.scenario.peers:
            self.note("peers_quiet", {})
            yield from self._wait_until_views_agree(fleet)
        deadline = max(cls.deadline_ms for cls in self.scenario.cluster.classes)
        until = self.loop.now() + deadline + 1000.0
        result = yield from fleet.order_owners("result")
        while result["open"] and self.loop.now() < until:
            yield from sleep(200.0)
            result = yield from fleet.order_owners("result")
        fleet.check_alive()
        self.note("ended", {})
        for task in probes.values():
            task.cancel()
        machines = yield from fleet.order_machines("state")
        fleet.stop("owners")
        fleet.stop("placer")
        fleet.stop("")
        return {"owners": result, "machines": machines}

    def _wait_until_views_agree(self, fleet: Fleet) -> Co[None]:
        """Wait until all views agree, at most for the guaranteed time; then record a few more heartbeats."""
        since = self.loop.now()
        while len(set(fleet.views())) > 1 and self.loop.now() - since < SETTLE_LIMIT_MS:
            yield from sleep(250.0)
        self.note("peers_settled", {"after_ms": round(self.loop.now() - since)})
        yield from sleep(MAX_REPORT_DELAY_MS + FINAL_WINDOW_MS)

    def _progress(self) -> None:
        if not self.quiet and sys.stderr.isatty():
            progress = min(1.0, (self.loop.now() - self._began) / self.scenario.length_s / 1000.0)
            bar = "#" * int(30 * progress)
            click.echo(f"\r[{bar:<30}] {progress:4.0%}\r", err=True, nl=False)


def play(scenario: Scenario, keep: Path | None, quiet: bool) -> int:
    """Run a scenario and print its report.

    Returns the exit status: 0 all checks passed, 1 a rule or another check failed, 3 the run itself failed.
    """
    # A search that is stopped sends SIGTERM. The children have sessions of their own, so this process must end them.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    folder = keep or Path(tempfile.mkdtemp(prefix="sprucepost-badday-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        result = Player(scenario, folder, quiet).run()
    except FleetError as error:
        click.echo(f"sprucepost: {error}", err=True)
        return 3
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
    text, good = report(result)
    click.echo(text)
    return 0 if good else 1
