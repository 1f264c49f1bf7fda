"""The log: one JSON line on standard output for each event of interest to operators, and for each state change of a task.

The number of lines per second is limited by event; lines above the limit are counted, not written. Some lines of each state,
and of each reason for which connections of owners end, are written all the same: a flood of one kind hides no other.
Lines are written in batches, one system call each: events at the end of their turn, state changes within
``STATE_LINES_DELAY_MS``, since most turns have several of them.
"""

from __future__ import annotations

import json
import os
import stat
from collections.abc import Callable
from typing import Any

from sprucepost.loop import Loop

LINES_PER_SECOND = 20  # of one event: the thread that places tasks also writes the log
STATE_LINES_PER_SECOND = 2000  # of tasks, and as many of hosts; at about 10 us each this is 2 % of a core
RESERVED_LINES_PER_SECOND = 100  # of each state or reason, where the lines of the others have used up the limit
STATE_LINES_DELAY_MS = 100.0  # a kill of the process may lose the lines of that time
UNSENT_MAX_BYTES = 256 * 1024  # lines that wait for a slow reader
_LIMITS = {"task": STATE_LINES_PER_SECOND, "host": STATE_LINES_PER_SECOND}


class Output:
    """Writes lines to a descriptor in batches, and never waits for the reader.

    While a pipe is full or the descriptor fails, up to ``UNSENT_MAX_BYTES`` are buffered; later lines are dropped and
    counted in ``dropped`` until there is space again.
    """

    def __init__(self, fd: int) -> None:
        self._fd = _non_blocking(fd)
        self._lines: list[str] = []
        self._unsent = b""
        self.dropped = 0

    def write(self, line: str) -> None:
        """Buffer a line for the next :meth:`flush`."""
        self._lines.append(line)

    def flush(self) -> None:
        """Write the buffered lines, as much as the system takes without blocking."""
        lines, self._lines = self._lines, []
        if len(self._unsent) < UNSENT_MAX_BYTES:
            self._unsent += "".join(f"{line}\n" for line in lines).encode()
        else:
            self.dropped += len(lines)
        try:
            while self._unsent:
                self._unsent = self._unsent[os.write(self._fd, self._unsent) :]
        except OSError:  # no reader, a full pipe or a full disk: placing goes on
            return


def _non_blocking(fd: int) -> int:
    """A pipe opened again in non-blocking mode, since setting the mode of ``fd`` would change it for other processes that
    share it; ``fd`` itself where it is no pipe."""
    if not stat.S_ISFIFO(os.fstat(fd).st_mode):
        return fd
    try:
        return os.open(f"/proc/self/fd/{fd}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return fd


class Log:
    """Writes events of one placer: ``write`` takes one line at a time, ``flush`` sends the lines written so far.

    In a line, ``up_ms`` is the loop's monotonic clock and gives the order; ``at_ms`` is the wall clock, which may step.
    """

    def __init__(
        self, loop: Loop, name: str, write: Callable[[str], None], flush: Callable[[], None] = lambda: None
    ) -> None:
        self._loop, self._quoted, self._write, self._flush = loop, json.dumps(name), write, flush
        self._second = 0
        self._written: dict[str, int] = {}  # lines of this second, by event
        self._written_by_state: dict[tuple[str, str], int] = {}
        self._suppressed: dict[str, int] = {}
        self._flush_due = False
        self.dropped: Callable[[], int] = lambda: 0  # returns the number of lines that the output has dropped

    def __call__(self, event: str, **fields: Any) -> None:
        """Write an event; fields that are None are left out."""
        self._write_limited(event, fields)

    def task(self, sid: str, state: str, **fields: Any) -> None:
        """Write that the task has entered this state."""
        self._write_limited("task", {"task": sid, "state": state, **fields}, state)

    def host(self, uid: str, state: str, **fields: Any) -> None:
        """Write that the host, or a connection to it, has entered this state."""
        self._write_limited("host", {"host": uid, "state": state, **fields}, state)

    def owner_ended(self, why: str, **fields: Any) -> None:
        """Write that an owner's connection has ended, and why."""
        self._write_limited("owner_ended", {"why": why, **fields}, why)

    def _write_limited(self, event: str, fields: dict[str, Any], state: str = "") -> None:
        """Write the event unless the limit of this second has been reached, for all of its states and for this one."""
        now = self._loop.now()
        if int(now // 1000) != self._second:
            suppressed, self._suppressed = self._suppressed, {}
            self._second = int(now // 1000)
            self._written, self._written_by_state = {}, {}
            if suppressed:
                self._write_line(now, "log_held_back", suppressed)
        written, by_state = self._written.get(event, 0), self._written_by_state.get((event, state), 0)
        is_reserved = bool(state) and by_state < RESERVED_LINES_PER_SECOND
        if written >= _LIMITS.get(event, LINES_PER_SECOND) and not is_reserved:
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return
        self._written[event] = written + 1
        self._written_by_state[event, state] = by_state + 1
        self._write_line(now, event, fields)

    def _write_line(self, now: float, event: str, fields: dict[str, Any]) -> None:
        known = {key: value for key, value in fields.items() if value is not None}
        head = f'{{"at_ms": {self._loop.wall():.1f}, "up_ms": {now:.1f}, "placer": {self._quoted}, "event": "{event}"'
        self._write(f"{head}, {json.dumps(known)[1:]}" if known else f"{head}}}")
        if event not in _LIMITS:
            self._loop.at_turn_end(self._flush_lines)
        elif not self._flush_due:
            self._flush_due = True
            self._loop.call_later(STATE_LINES_DELAY_MS, self._flush_lines)

    def _flush_lines(self) -> None:
        self._flush_due = False
        self._flush()
