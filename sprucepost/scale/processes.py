"""Child processes of a run: started, told apart by name, and ended with the run whatever ends it."""

from __future__ import annotations

import ctypes
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import FrameType, TracebackType
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

PR_SET_PDEATHSIG = 1
MEMORY_LIMIT_MIB = 12 * 1024.0
PROCESS_LIMIT = 300
DESCRIPTORS_SPARE = 64
"""Of a process, beside its connections: files, the loop's own, connections that are being made."""
PORTS_SPARE = 2000
"""Of the range from which the system gives them, for everything else on this machine."""


class ScaleError(Exception):
    """What keeps a run from being made or ended well; the text is one plain line."""


class DoesNotFit(ScaleError):
    """The machine's limits do not suffice; told before anything is started."""


class NotStarted(ScaleError):
    """A process ended, or said nothing, at its start."""


class Terminated(BaseException):
    """SIGTERM has come: like KeyboardInterrupt, it passes through whatever handles errors."""


@dataclass(frozen=True)
class Needs:
    """What a run will take of the machine, reckoned beforehand."""

    processes: int
    descriptors: int
    """Of the process that has the most."""
    ports: int
    """Listening ones, and the most connections that one process makes."""
    memory_mib: float

    def __add__(self, other: Needs) -> Needs:
        """Two runs at one time."""
        return Needs(
            self.processes + other.processes,
            max(self.descriptors, other.descriptors),
            self.ports + other.ports,
            self.memory_mib + other.memory_mib,
        )


@dataclass(frozen=True)
class Limits:
    """What this machine and the rules of a run allow."""

    processes: int = PROCESS_LIMIT
    descriptors: int = 1024
    ports: int = 28_000
    memory_mib: float = MEMORY_LIMIT_MIB

    @staticmethod
    def of_this_machine() -> Limits:
        """Descriptors and ports as the system gives them, memory as it is free now."""
        first, last = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
        available = next(
            int(line.split()[1]) / 1024
            for line in Path("/proc/meminfo").read_text().splitlines()
            if line.startswith("MemAvailable:")
        )
        return Limits(
            descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
            ports=last - first + 1 - PORTS_SPARE,
            memory_mib=min(MEMORY_LIMIT_MIB, available),
        )

    def check(self, needs: Needs) -> None:
        """DoesNotFit with the first limit that is too low."""
        for what, needed, limit in (
            ("processes", needs.processes, self.processes),
            ("descriptors in one process", needs.descriptors, self.descriptors),
            ("ports", needs.ports, self.ports),
            ("MiB of memory", needs.memory_mib, self.memory_mib),
        ):
            if needed > limit:
                raise DoesNotFit(f"this run needs {needed:.0f} {what}, the limit is {limit:.0f}")


class Process:
    """One child. Its output goes to files, so that no full pipe ever stops it."""

    def __init__(self, name: str, child: subprocess.Popen[bytes], output: Path, log: Path) -> None:
        self.name, self.output, self.log = name, output, log
        self._child = child

    @property
    def pid(self) -> int:
        return self._child.pid

    @property
    def running(self) -> bool:
        return self._child.poll() is None

    def announcement(self, kind: type[T]) -> T | None:
        """Its first line of output, None where that has not come yet. NotStarted where it has ended without."""
        line, end, _ = self.output.read_bytes().partition(b"\n")
        if end:
            return msgspec.json.decode(line, type=kind)
        if not self.running:
            raise NotStarted(f"{self.name} did not start: {self.log_tail()}")
        return None

    def log_tail(self) -> str:
        """The end of its log, in one line."""
        return self.log.read_text(errors="replace").strip().rpartition("\n")[2][-300:] or "no word"

    def signal(self, number: int) -> None:
        """Nothing where it has ended."""
        if self.running:
            self._child.send_signal(number)

    def kill(self) -> None:
        """End it now; it is waited for."""
        if self.running:
            self._child.kill()
        self._child.wait()


class ProcessGroup:
    """All children of a run. Within the ``with`` block SIGTERM raises :class:`Terminated`; none outlives the block."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: list[Process] = []
        self._before: Any = None

    def __enter__(self) -> ProcessGroup:
        self._before = signal.signal(signal.SIGTERM, _terminated)
        return self

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None, at: TracebackType | None) -> None:
        interrupt = signal.signal(signal.SIGINT, signal.SIG_IGN)  # a second one does not keep the rest from being ended
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        try:
            self.end()
        finally:
            signal.signal(signal.SIGINT, interrupt)
            signal.signal(signal.SIGTERM, self._before)

    def end(self) -> None:
        """Kill what runs."""
        for process in self.processes:
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.kill()
        self.processes.clear()

    def start(self, name: str, arguments: list[str], environment: Mapping[str, str] | None = None) -> Process:
        """Run the interpreter with these arguments. It need not have come up yet when this returns."""
        output, log = self.folder / f"{name}.out", self.folder / f"{name}.log"
        with output.open("wb") as out, log.open("wb") as errors:
            child = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=errors,
                env={**os.environ, **(environment or {})},
                start_new_session=True,  # an interrupt at the terminal is for the runner alone
                preexec_fn=_end_with_parent,
            )
        process = Process(name, child, output, log)
        self.processes.append(process)
        return process

    def start_with_file(self, name: str, arguments: list[str], settings: object) -> Process:
        """The same; the last argument is a file with these settings as JSON."""
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        return self.start(name, [*arguments, str(path)])


def _terminated(number: int, frame: FrameType | None) -> None:
    raise Terminated


def _end_with_parent() -> None:
    """The system ends the child should the runner be killed, so that nothing outlives it (Linux)."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
