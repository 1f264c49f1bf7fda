"""Child processes of a run: started by name, and ended with the run, however it ends."""

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
RESERVED_DESCRIPTORS = 64
"""Descriptors of a process besides its connections: files, the event loop's own, connections that are being opened."""
RESERVED_PORTS = 2000
"""Ports of the ephemeral range that are left to everything else on this machine."""


class ScaleError(Exception):
    """A run cannot be started or has failed; the text is a single line."""


class DoesNotFit(ScaleError):
    """The run exceeds the machine's limits; raised before anything is started, or when its memory has grown too far."""


class NotStarted(ScaleError):
    """A process ended before it announced itself."""


class Terminated(BaseException):
    """SIGTERM was received. Like KeyboardInterrupt, it is not caught by handlers of Exception."""


@dataclass(frozen=True)
class Needs:
    """Resources that a run will take, estimated beforehand."""

    processes: int
    descriptors: int
    """Open descriptors of the process that has the most."""
    ports: int
    """Listening ports, plus the most connections that one process opens."""
    memory_mib: float

    def __add__(self, other: Needs) -> Needs:
        """The needs of two runs at the same time."""
        return Needs(
            self.processes + other.processes,
            max(self.descriptors, other.descriptors),
            self.ports + other.ports,
            self.memory_mib + other.memory_mib,
        )


@dataclass(frozen=True)
class Limits:
    """Resources that this machine and the rules for runs allow."""

    processes: int = PROCESS_LIMIT
    descriptors: int = 1024
    ports: int = 28_000
    memory_mib: float = MEMORY_LIMIT_MIB

    @staticmethod
    def of_this_machine() -> Limits:
        """The system's limits of descriptors and ports, and the memory that is available now."""
        first, last = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
        available = next(
            int(line.split()[1]) / 1024
            for line in Path("/proc/meminfo").read_text().splitlines()
            if line.startswith("MemAvailable:")
        )
        return Limits(
            descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
            ports=last - first + 1 - RESERVED_PORTS,
            memory_mib=min(MEMORY_LIMIT_MIB, available),
        )

    def check(self, needs: Needs) -> None:
        """Raise DoesNotFit for the first limit that is too low."""
        for what, needed, limit in (
            ("processes", needs.processes, self.processes),
            ("descriptors in one process", needs.descriptors, self.descriptors),
            ("ports", needs.ports, self.ports),
            ("MiB of memory", needs.memory_mib, self.memory_mib),
        ):
            if needed > limit:
                raise DoesNotFit(f"this run needs {needed:.0f} {what}, the limit is {limit:.0f}")


class Process:
    """One child process. Its output goes to files, so that a full pipe never blocks it."""

    def __init__(self, name: str, child: subprocess.Popen[bytes], output: Path, log: Path) -> None:
        self.name, self.output, self.log = name, output, log
        self._child = child

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._child.poll() is None

    def announcement(self, kind: type[T]) -> T | None:
        """The first line of output; None if not written yet. Raises NotStarted if the process ended without it."""
        line, end, _ = self.output.read_bytes().partition(b"\n")
        if end:
            return msgspec.json.decode(line, type=kind)
        if not self.running:
            raise NotStarted(f"{self.name} did not start: {self.log_tail()}")
        return None

    def log_tail(self) -> str:
        """The last line of its log, at most 300 characters."""
        return self.log.read_text(errors="replace").strip().rpartition("\n")[2][-300:] or "no log output"

    def signal(self, number: int) -> None:
        """Send a signal; does nothing if the process has ended."""
        if self.running:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for it."""
        if self.running:
            self._child.kill()
        self._child.wait()


class ProcessGroup:
    """All child processes of a run. Within the ``with`` block SIGTERM raises :class:`Terminated`; none outlives it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: list[Process] = []
        self._previous_handler: Any = None

    def __enter__(self) -> ProcessGroup:
        self._previous_handler = signal.signal(signal.SIGTERM, _raise_terminated)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        interrupt = signal.signal(signal.SIGINT, signal.SIG_IGN)  # a second SIGINT does not interrupt the cleanup
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        try:
            self.end()
        finally:
            signal.signal(signal.SIGINT, interrupt)
            signal.signal(signal.SIGTERM, self._previous_handler)

    def end(self) -> None:
        """Kill all processes that still run."""
        for process in self.processes:
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.kill()
        self.processes.clear()

    def start(self, name: str, arguments: list[str], environment: Mapping[str, str] | None = None) -> Process:
        """Start the interpreter with these arguments. The process may not be ready yet when this returns."""
        output, log = self.folder / f"{name}.out", self.folder / f"{name}.log"
        with output.open("wb") as out, log.open("wb") as errors:
            child = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=errors,
                env={**os.environ, **(environment or {})},
                start_new_session=True,  # an interrupt at the terminal goes to the runner only
                preexec_fn=_end_with_parent,
            )
        process = Process(name, child, output, log)
        self.processes.append(process)
        return process

    def start_with_file(self, name: str, arguments: list[str], settings: object) -> Process:
        """Like :meth:`start`, with one more argument: the path of a file with these settings as JSON."""
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        return self.start(name, [*arguments, str(path)])


def _raise_terminated(number: int, frame: FrameType | None) -> None:
    raise Terminated


def _end_with_parent() -> None:
    """Have the kernel kill the child if the runner dies, so that no child outlives a killed runner (Linux)."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
