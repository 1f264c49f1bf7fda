"""Which process of a host a connection leads to, and which one runs a task. No I/O.

An address changes hands: the process that had it is gone, and another one, of a new id or of the same, has it. The list
tells of that a second or more later, and bytes of the process that has gone may lie unread for longer. So what belongs to
which process is decided by connections, which never change hands, and not by when something was read.

============================== ===================================== ===================================================
evidence                       proves                                does not prove
============================== ===================================== ===================================================
a connection has come up       it leads to the process that has the  that this process still lives
                               address then
an answer, a note              the process to which its connection   when it was sent: it may have lain unread while the
                               leads has the task, whenever it is    process died
                               read
a connection ends              it brings nothing more                that its process is gone: peers and networks end
                                                                     connections for other reasons
a dial is refused              all connections that came up before   anything about a process that has started since
                               it began lead to processes that are
                               gone
the list has a later start at  connections that came up before the   the exact time: a message that arrived after it
an address                     start lead to a process that is gone  shows that its connection leads to the later process
the list has another id at an  the process before it is gone         since when, so all that was there counts as gone
address, without a start
an id leaves the list          it gets no new tasks                  that its tasks have ended, or that its process is
                                                                     gone
an owner hands a task over     the id that it names has the task: a  which process, where that id has had several: it is
                               process that the list has by then     taken for the one that the list has
the list has an id for the     what was handed over there before     anything about what was handed over later
first time, with a start       that start was at an earlier process
                               of the id, which is gone
no list has the id for 8 s     an owner was wrong, or the host is    that the task has ended
                               gone
an owner names an id that is   the connection on which the task was  that the id has this address: the list tells
not the one which the task     accepted leads to a process of that
was accepted under             id
two connections bring          both lead to one process: an address  anything where what one has brought may have been
something that was sent while  is not listened on by two at a time   sent before the other came up, or before its dial
both were up                                                         began: only an answer to what was written later tells
a note, an answer or a         the process that has the task is the  anything about tasks of another process
release of a task              one to which this connection leads
an orderly end                 its process lived at that moment      that it still does; a reset does not prove even that
a reset, a dial that fails or  nothing                               that the next connection leads to the host that the
a check without an answer                                            list has at the address: see ``Host.doubted_at``
an answered health check       the process to which its connection   that tasks of connections before it stand: the
                               leads lives                           process may have come back without them
an owner hands a task over     the task's process lived then; from   that the process heard next is the one that has the
                               then on it is the one that is heard   task: what the list tells of a start comes first
                               next at the address
an entry of a known id without which id has the address              whether its process is the one before: it comes alike
a start, or no entry                                                 after a return
silence                        nothing until it has lasted too       that the tasks have ended: see ``health``
                               long, counted by process
============================== ===================================== ===================================================
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class HostProcess:
    """One process of a host, as far as is known: what is shown to belong to one process shares one object.

    It was alive from ``alive_from`` to ``alive_until``, if these are in that order. Its latest connection leads to whatever
    listened at some moment between ``dialled_at`` and ``came_up_at``. Times are ms of the loop's clock.
    """

    heard_at: float  # when the latest sign of life arrived, at the earliest
    alive_from: float = math.inf
    alive_until: float = -math.inf
    dialled_at: float = math.inf
    came_up_at: float = math.inf
    connections: int = 0  # that are open
    is_resumed: bool = False  # whether the next connection counts as its own: this side has ended the last one
    is_listed_host: bool = False  # whether it is the process of the host that the list has at its address
    merged_into: HostProcess | None = None

    def current(self) -> HostProcess:
        """Return the process that this one has been shown to be."""
        process = self
        while process.merged_into is not None:
            process = process.merged_into
        return process

    @property
    def is_unheard(self) -> bool:
        """Whether only an owner has told of it: no connection is known to lead to it."""
        return self.alive_from == math.inf

    def lived_with(self, other: HostProcess) -> bool:
        """Return whether both were alive at one moment, so that they are one: an address has one process at a time."""
        both_from, both_until = max(self.alive_from, other.alive_from), min(self.alive_until, other.alive_until)
        return both_from <= both_until or self._saw_dial_of(other) or other._saw_dial_of(self)

    def _saw_dial_of(self, other: HostProcess) -> bool:
        return self.alive_from <= other.dialled_at and other.came_up_at <= self.alive_until

    def absorb(self, other: HostProcess) -> None:
        """Take in that the other one is this one."""
        self.heard_at = max(self.heard_at, other.heard_at)
        # It was alive at some time after each dial began, so from the one to the other.
        self.alive_until = max(self.alive_until, other.alive_until)
        if not (self.is_unheard or other.is_unheard):
            self.alive_until = max(self.alive_until, self.dialled_at, other.dialled_at)
        self.alive_from = min(self.alive_from, other.alive_from)
        if self.dialled_at == math.inf or self.dialled_at < other.dialled_at < math.inf:
            self.dialled_at, self.came_up_at = other.dialled_at, other.came_up_at
        self.connections += other.connections
        self.is_resumed = self.is_resumed or other.is_resumed
        self.is_listed_host = self.is_listed_host or other.is_listed_host
        other.merged_into = self


@dataclass(slots=True, eq=False)
class ProcessConnection:
    """What is known of the process to which one connection leads. Times are ms of the loop's clock."""

    came_up_at: float  # not before it really has
    dialled_at: float = -math.inf
    heard_at: float = -math.inf  # when the latest message arrived, at the earliest
    named_uid: str = ""  # the id of its process, where an owner has named it
    _process: HostProcess = field(init=False)

    def __post_init__(self) -> None:
        self._process = HostProcess(
            heard_at=self.came_up_at,
            alive_from=self.came_up_at,
            dialled_at=self.dialled_at,
            came_up_at=self.came_up_at,
        )

    @property
    def process(self) -> HostProcess:
        """The process to which the connection leads."""
        self._process = self._process.current()
        return self._process


@dataclass(slots=True)
class TaskProcess:
    """What is known of the process that runs a placed task."""

    placed_at: float  # when its answer or its hand-over was handled, in ms of the loop's clock like all times here
    arrived_at: float  # when that may have arrived, at the earliest
    connection: ProcessConnection | None  # on which it was accepted or noted last; None: handed over, and silent since
    identity: HostProcess
    named_uid: str = ""  # the id at which its owner has handed it over, if it is placed under another one


@dataclass(frozen=True, slots=True)
class RefusedDial:
    """A dial that was refused."""

    began_at: float  # in ms of the loop's clock

    def ends_connection(self, connection: ProcessConnection) -> bool:
        """Return whether the process to which that connection leads is gone."""
        return connection.came_up_at < self.began_at

    def ends_task(self, task: TaskProcess) -> bool:
        """Return whether the process that ran the task is gone."""
        if task.connection is None:
            return task.placed_at < self.began_at
        return self.ends_connection(task.connection)


@dataclass(frozen=True, slots=True)
class ListedStart:
    """The list tells that another process has the address."""

    started_at: float | None  # in ms of the loop's clock; None where the list does not tell
    uid: str = ""  # the id of that process, where the one before it had another

    def ends_connection(self, connection: ProcessConnection) -> bool:
        """Return whether that connection leads to a process before this one, which is gone."""
        if self.uid and connection.named_uid == self.uid:
            return False
        if self.started_at is None:
            return True
        return connection.came_up_at < self.started_at and connection.heard_at <= self.started_at

    def ends_task(self, task: TaskProcess) -> bool:
        """Return whether a process before this one ran the task; one that was handed over before the list told was there."""
        if self.uid and task.named_uid == self.uid:
            return False
        return task.connection is None or self.ends_connection(task.connection)


@dataclass(frozen=True, slots=True)
class FirstListing:
    """The list has an id for the first time, with the start of its process."""

    started_at: float  # in ms of the loop's clock

    def ends_task(self, task: TaskProcess) -> bool:
        """Return whether the task was handed over there before that start: an earlier process of the id had it."""
        return task.connection is None and task.placed_at < self.started_at


@dataclass(frozen=True, slots=True)
class NeverListed:
    """No list has had the id for as long as a list may be late."""

    since: float  # in ms of the loop's clock

    def ends_task(self, task: TaskProcess) -> bool:
        """Return whether the task may have been there for that long."""
        return task.arrived_at < self.since


ProcessEnd = RefusedDial | ListedStart
"""Evidence that a process at an address is gone."""

TaskEnd = ProcessEnd | FirstListing | NeverListed
"""Evidence that tasks have ended, or count as ended."""
