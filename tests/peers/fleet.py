"""Starts and observes several placer processes that maintain a membership view together."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from sprucepost.settings import ConfigurationOptions, PeerOptions, PlacerFile, PlacerOptions
from tests.placer.support import cluster

ROOT = Path(__file__).parent.parent.parent


def free_ports(number: int) -> list[int]:
    socks = [socket.socket() for _ in range(number)]
    try:
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [int(sock.getsockname()[1]) for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class Fleet:
    """Placers by number; ``processes`` are those that are running."""

    def __init__(
        self,
        folder: Path,
        size: int,
        name: str = "test",
        seeds: list[int] | None = None,
        configuration: ConfigurationOptions | None = None,
    ) -> None:
        self.folder, self.size, self.name, self.configuration = folder, size, name, configuration
        self.ports = free_ports(2 * size)
        self.seeds = seeds or self.ports[: min(3, size)]
        self.processes: dict[int, subprocess.Popen[str]] = {}

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()

    def file(self, number: int, **changes: Any) -> Path:
        """Writes the settings of one placer; returns the path.

        ``deployment`` replaces values of the deployment-wide part, other arguments replace options of the placer.
        """
        deployment = cluster(**changes.pop("deployment", {}))
        configuration = changes.pop("configuration", self.configuration)
        options = PlacerOptions(
            instances=changes.pop("instances", self.size), zone="room-a", list="127.0.0.1:1",
            number=changes.pop("its_number", number), listen=f"127.0.0.1:{self.ports[number]}",
            http=f"127.0.0.1:{self.ports[self.size + number]}",
            peers=changes.pop("peers", PeerOptions(
                cluster=self.name, seeds=[f"127.0.0.1:{port}" for port in self.seeds],
                name=f"p{number}", host=f"h{number // 2}", room=f"r{number % 3}", configuration=configuration,
            )),
            **changes,
        )  # fmt: skip
        path = self.folder / f"{self.name}-{number}.json"
        path.write_bytes(msgspec.json.encode(PlacerFile(deployment, options)))
        return path

    def start(self, *numbers: int, **changes: Any) -> None:
        """Starts placers without waiting until they listen."""
        command = changes.pop("command", "placer")
        for number in numbers:
            log = (self.folder / f"{self.name}-{number}.log").open("a")
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", "sprucepost", command, str(self.file(number, **changes))],
                stdout=log, stderr=log, text=True, cwd=ROOT,
            )  # fmt: skip
            log.close()

    def end(self, number: int, how: int = signal.SIGKILL) -> None:
        process = self.processes.pop(number)
        process.send_signal(how)
        process.wait(20)

    def signal(self, number: int, how: int) -> None:
        os.kill(self.processes[number].pid, how)

    def page(self, number: int, path: str) -> bytes:
        with urllib.request.urlopen(f"http://127.0.0.1:{self.ports[self.size + number]}{path}", timeout=5) as answer:
            return bytes(answer.read())

    def text(self, number: int, path: str) -> str:
        """Returns the text of a page, whatever its HTTP status."""
        try:
            return self.page(number, path).decode()
        except urllib.error.HTTPError as error:
            return error.read().decode()

    def logged(self, number: int, event: str) -> list[dict[str, Any]]:
        """Returns the log lines of that event that a placer has written in all its runs."""
        lines = (self.folder / f"{self.name}-{number}.log").read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{") and f'"event": "{event}"' in line]
        return [line for line in found if line["event"] == event]

    def runs(self, number: int) -> set[tuple[int, int]]:
        """Returns the generations and sizes of all members that a placer sees as here."""
        members = [member for member in self.seen(number)["members"] if member["condition"] == "here"]
        return {(member["generation"], member["size"]) for member in members}

    def ends(self) -> set[float | None]:
        """Returns the ends of the fleet change of all members, as the first running placer sees them."""
        return {member["over_ms"] for member in self.seen(min(self.processes))["members"]}

    def step_clock(self, number: int, by_ms: float) -> None:
        """Shifts the wall clock of a placer that is started by the command ``host``."""
        (self.folder / f"{self.name}-{number}.clock").write_text(f"{by_ms}")

    def configuration_of(self, number: int) -> dict[str, Any]:
        """Returns the configuration page of a placer."""
        document: dict[str, Any] = json.loads(self.page(number, "/config"))
        return document

    def seen(self, number: int) -> dict[str, Any]:
        """Returns the membership view of a placer."""
        document: dict[str, Any] = json.loads(self.page(number, "/members"))
        return document

    def status_of(self, name: str, number: int) -> str:
        """Returns the status of a member as a placer shows it; empty if the placer doesn't know the member."""
        return next((str(member["status"]) for member in self.seen(number)["members"] if member["name"] == name), "")

    def by_condition(self, number: int, condition: str) -> set[str]:
        return {member["name"] for member in self.seen(number)["members"] if member["condition"] == condition}

    def settled(self, away: set[str] = frozenset(), left: set[str] = frozenset()) -> bool:  # type: ignore[assignment]
        """Whether all running placers show the same view, with exactly the running members as here."""
        names = {f"p{number}" for number in self.processes}
        digests = set()
        for number in self.processes:
            shown = self.seen(number)
            digests.add(shown["digest"])
            for condition, wanted in (("here", names), ("away", away), ("left", left)):
                if {m["name"] for m in shown["members"] if m["condition"] == condition} != wanted:
                    return False
        return len(digests) == 1

    def wait(self, done: Callable[[], bool], limit_s: float = 40.0) -> float:
        """Waits until the condition holds; returns the seconds that took."""
        began = time.monotonic()
        while time.monotonic() - began < limit_s:
            try:
                if done():
                    return time.monotonic() - began
            except OSError:
                pass  # a placer does not listen yet
            time.sleep(0.1)
        shown = {number: self._summary(number) for number in self.processes}
        raise AssertionError(f"not within {limit_s} s: {json.dumps(shown, indent=1)[:3000]}")

    def _summary(self, number: int) -> Any:
        try:
            shown = self.seen(number)
        except OSError as error:
            return [str(error), (self.folder / f"{self.name}-{number}.log").read_text()[-600:]]
        return shown["digest"], {member["name"]: member["condition"] for member in shown["members"]}
