"""One JSON line on standard output for each thing that operators may want to know, and for each step of a task.

A flood of one kind is counted, not written. Lines leave together, in one system call: an event with its turn, steps within
``STEPS_WAIT_MS``, since several of them come in most turns.
"""

from __future__ import annotations

import json
import os
import stat
from collections.abc import Callable
from typing import Any

from sprucepost.loop import Loop

LINES_PER_SECOND = 20  # lines of one kind: the log is written by the thread that places
STATE_LINES_PER_SECOND = 2000  # of tasks, and as many of hosts: at about 10 us each 2 % of a core
STATE_LINES_DELAY_MS = 100.0  # what a kill may take away
UNSENT_MAX_BYTES = 256 * 1024  # bytes of lines that wait for a reader
_MOST = {"task": STATE_LINES_PER_SECOND, "host": STATE_LINES_PER_SECOND}


class Output:
    """Lines for a descriptor, sent together and without ever waiting for a reader.

    A pipe that is full, or a descriptor that fails, keeps up to ``KEPT_MOST`` bytes here; later lines are dropped and
    counted in ``dropped`` until there is room again.
    """

    def __init__(self, fd: int) -> None:
        self._fd = _non_blocking(fd)
        self._lines: list[str] = []
        self._rest = b""
        self.dropped = 0

    def write(self, line: str) -> None:
        """Keep a line for the next :meth:`flush`."""
        self._lines.append(line)

    def flush(self) -> None:
        """Send what was written since the last time, as much as the system takes."""
        lines, self._lines = self._lines, []
        if len(self._rest) < UNSENT_MAX_BYTES:
            self._rest += "".join(f"{line}\n" for line in lines).encode()
        else:
            self.dropped += len(lines)
        try:
            while self._rest:
                self._rest = self._rest[os.write(self._fd, self._rest) :]
        except OSError:  # nobody reads, or there is no room on the disk: placing goes on
            return


def _non_blocking(fd: int) -> int:
    """A pipe opened anew, since the mode of one that is shared would change for others as well; else ``fd`` itself."""
    if not stat.S_ISFIFO(os.fstat(fd).st_mode):
        return fd
    try:
        return os.open(f"/proc/self/fd/{fd}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return fd


class Log:
    """``write`` takes one line at a time, ``flush`` sends what was written.

    ``up_ms`` in a line is the loop's monotonic clock and gives the order; ``at_ms`` is the wall clock, which may step.
    """

    def __init__(
        self, loop: Loop, name: str, write: Callable[[str], None], flush: Callable[[], None] = lambda: None
    ) -> None:
        self._loop, self._quoted, self._write, self._flush = loop, json.dumps(name), write, flush
        self._second = 0
        self._counts: dict[str, int] = {}
        self._flush_due = False
        self.dropped: Callable[[], int] = lambda: 0  # lines that the output could not take

    def __call__(self, event: str, **fields: Any) -> None:
        """Write a line of that kind; a field that is None is left out."""
        self._limited(event, fields)

    def task(self, sid: str, state: str, **fields: Any) -> None:
        """Write that the task of that id has come to that state, and why."""
        self._limited("task", {"task": sid, "state": state, **fields})

    def host(self, uid: str, state: str, **fields: Any) -> None:
        """Write that the host, or one of the connections to it, has come to that state, and why."""
        self._limited("host", {"host": uid, "state": state, **fields})

    def _limited(self, event: str, fields: dict[str, Any]) -> None:
        now = self._loop.now()
        if int(now // 1000) != self._second:
            held, self._counts = self._counts, {}
            self._second = int(now // 1000)
            self._report_held(now, held)
        self._counts[event] = self._counts.get(event, 0) + 1
        if self._counts[event] <= _MOST.get(event, LINES_PER_SECOND):
            self._line(now, event, fields)

    def _report_held(self, now: float, counts: dict[str, int]) -> None:
        held = {
            kind: count - most for kind, count in counts.items() if count > (most := _MOST.get(kind, LINES_PER_SECOND))
        }
        if held:
            self._line(now, "log_held_back", held)

    def _line(self, now: float, event: str, fields: dict[str, Any]) -> None:
        known = {key: value for key, value in fields.items() if value is not None}
        head = f'{{"at_ms": {self._loop.wall():.1f}, "up_ms": {now:.1f}, "placer": {self._quoted}, "event": "{event}"'
        self._write(f"{head}, {json.dumps(known)[1:]}" if known else f"{head}}}")
        if event not in _MOST:
            self._loop.at_turn_end(self._send)
        elif not self._flush_due:
            self._flush_due = True
            self._loop.call_later(STATE_LINES_DELAY_MS, self._send)

    def _send(self) -> None:
        self._flush_due = False
        self._flush()
