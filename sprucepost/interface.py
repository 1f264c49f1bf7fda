"""The interface of the decision module: its settings, the events it takes and the actions it returns.

All times and durations are in milliseconds on the caller's monotonic clock; cores and memory are in the units of the
machine kinds. Machines and services are identified by opaque strings; zones, classes, tenants and machine kinds by
their index in the settings. Requests are identified by an integer that the caller chooses; attempts are numbered from
0 within their request.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """Whether a task may run a second time."""

    SAFE = "safe"  # a second run does no harm
    KEYED = "keyed"  # machines of a group discard repeats of the task's key for a time
    UNSAFE = "unsafe"  # a second run does harm


class Scope(Enum):
    """A set of machines: the group that discards repeats of a key, or the domain of a spread limit."""

    NONE = "none"
    MACHINE = "machine"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class ListMode(Enum):
    """Whether changes of the machine list arrive by themselves or only after Subscribe."""

    PUSH = "push"
    ASK = "ask"


class LoadBasis(Enum):
    """What counts as occupied in the free cores and memory of a load report."""

    ASKED = "asked"  # what the machine's tasks requested
    USED = "used"  # what they use at the moment


class MachineState(IntEnum):
    """State of a machine in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a MachineList event contains."""

    DELTA = 0  # changed entries only
    FULL = 1
    CACHED = 2  # a full list that may be out of date
    FAILED = 3  # nothing: the call for the list failed


class Ending(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # refused by the machine
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # the offer never reached the machine
    RESET = "reset"  # the connection broke, or the placed task was lost
    CANCELLED = "cancelled"
    VOID = "moot"  # the offer had no effect, and this says nothing about the machine


class Reason(IntEnum):
    """Why an attempt was refused or a placed task was lost."""

    UNTOLD = 0  # no reason was given
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_HERE = 4  # the machine does not take such tasks
    EVICTED = 5
    PUSHED_OUT = 6  # preempted by a task of higher priority
    SENT_AWAY = 7  # the machine drains and stops its tasks


class StatusKind(IntEnum):
    """What a status note reports, and the meaning of its value."""

    RUNNING = 1  # the task has started
    CORES_USED = 2  # by the task
    MEMORY_USED = 3  # by the task
    SERVED_SHARE = 4  # share of full service that the task gets, from 0 to 1
    MACHINE_MEMORY = 5  # share of the machine's memory in use


def _check(key: str, ok: bool, wanted: str) -> None:
    if not ok:
        raise ValueError(f"{key}: {wanted}")


@dataclass(frozen=True)
class MachineKind:
    """One kind of machine and its size."""

    name: str
    cores: float
    memory: float

    def __post_init__(self) -> None:
        _check("kinds.cores", self.cores > 0, "must be above 0")
        _check("kinds.memory", self.memory > 0, "must be above 0")


@dataclass(frozen=True)
class TaskClass:
    """One class of tasks: its time limits, its worth and the rules for placing and repeating it."""

    name: str
    aim: float  # ms within which a start earns its full worth
    deadline: float  # ms that an owner waits for a placement
    effect: Effect
    worth: float  # of one second of full service
    late_worth: float = 0.0
    start_worth: float = 0.0
    group: Scope = Scope.ALL  # keyed: the machines that discard repeats of a key
    window: float = 0.0  # keyed: ms for which they discard repeats, from the first attempt on
    kind: int = -1  # index of the only machine kind that takes the class; -1: any
    spread: Scope = Scope.NONE  # the domain that ``most`` applies to
    most: int = 0  # tasks of one service that a scheduler may have in one such domain
    priority: int = 0
    calm: float = 1.0  # share of busy cores up to which a task is served in full
    fade: float = 1.0  # further share over which service drops to nothing

    def __post_init__(self) -> None:
        _check("classes.aim", self.aim > 0, "must be above 0")
        _check("classes.deadline", self.deadline > 0, "must be above 0")
        _check("classes.worth", self.worth >= 0, "must not be negative")
        groups = (Scope.ALL, Scope.ZONE, Scope.CELL)
        _check("classes.group", self.group in groups, "must be all, zone or cell")
        _check("classes.spread", self.spread is not Scope.ALL, "must be none, machine, cell or zone")
        _check("classes.window", self.effect is not Effect.KEYED or self.window > 0, "must be above 0")
        _check("classes.most", self.spread is Scope.NONE or self.most >= 1, "must be at least 1")
        _check("classes.fade", self.fade > 0, "must be above 0")


@dataclass(frozen=True)
class Tenant:
    """One tenant; ``quota_cores`` limits the cores that its tasks may request at all placers together."""

    name: str
    share: float
    quota_cores: float = float("inf")

    def __post_init__(self) -> None:
        _check("tenants.quota_cores", self.quota_cores > 0, "must be above 0")


@dataclass(frozen=True)
class Settings:
    """Settings of one scheduler; ValueError names a key whose value is out of range."""

    number: int  # of this scheduler, from 0
    n_instances: int  # number of schedulers
    zone: int
    zones: tuple[str, ...]
    kinds: tuple[MachineKind, ...]
    classes: tuple[TaskClass, ...]
    list_mode: ListMode
    max_attempts: int  # per request
    accepts_cores: float  # machines accept tasks up to this many times their cores
    accepts_memory: float  # and up to this many times their memory
    cold_bears: float  # offers per ``fall`` that a cold machine can take from all schedulers together
    fall: float  # ms, length of the sliding window of the cold limit
    warm_after: float  # ms after its start for which a machine is cold
    ask_every: float  # ms between two calls for the machine list
    tick: float  # ms, granularity of the caller's timers
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # factor on the worth of tasks of a tenant over its quota
    max_retry_after: float = 0.0  # ms, upper limit of the delay in a refusal
    room_in_list: bool = False  # whether list entries give free cores and memory
    report_counts: LoadBasis = LoadBasis.USED
    runs_when_accepted: bool = False  # whether an accepted task has started already
    preempts: bool = False  # whether machines preempt tasks for one of higher priority

    def __post_init__(self) -> None:
        _check("n_instances", self.n_instances >= 1, "must be at least 1")
        _check("number", self.number >= 0, "must not be negative")
        _check("zones", len(self.zones) >= 1, "must name at least one zone")
        _check("zone", 0 <= self.zone < len(self.zones), "must be an index into zones")
        _check("kinds", len(self.kinds) >= 1, "must name at least one machine kind")
        _check("classes", len(self.classes) >= 1, "must name at least one class")
        kinds = range(-1, len(self.kinds))
        _check("classes.kind", all(cls.kind in kinds for cls in self.classes), "must be -1 or a kind")
        _check("max_attempts", self.max_attempts >= 1, "must be at least 1")
        _check("accepts_cores", self.accepts_cores > 0, "must be above 0")
        _check("accepts_memory", self.accepts_memory > 0, "must be above 0")
        _check("cold_bears", 0 <= self.cold_bears < float("inf"), "must be finite and not negative")
        _check("fall", self.fall > 0, "must be above 0")
        _check("warm_after", self.warm_after >= 0, "must not be negative")
        _check("ask_every", self.ask_every > 0, "must be above 0")
        _check("tick", self.tick > 0, "must be above 0")


@dataclass(frozen=True)
class MachineEntry:
    """One machine in the list. ``started`` is 0 if that was long ago; zone and cell are -1 while they are unknown."""

    machine: str
    state: MachineState = MachineState.GONE
    zone: int = -1
    cell: int = -1
    kind: int = 0
    started: float = 0.0
    free_cores: float = 0.0
    free_memory: float = 0.0

    def shares_scope(self, scope: Scope, other: MachineEntry) -> bool:
        """Whether both machines may be in the same domain of this scope; an unknown location matches any."""
        if scope is Scope.MACHINE:
            return self.machine == other.machine
        own, others = self._domain(scope), other._domain(scope)
        return scope is Scope.ALL or own == others or -1 in (own, others)

    def shares_group(self, scope: Scope, other: MachineEntry) -> bool:
        """Whether both machines are known to be in the same group of this scope; an unknown location matches none."""
        return scope is Scope.ALL or self._domain(scope) == other._domain(scope) != -1

    def _domain(self, scope: Scope) -> int:
        return self.cell if scope is Scope.CELL else self.zone


@dataclass(frozen=True)
class MachineList:
    """A change to the machine list, a full list, or the failure of a call for it."""

    kind: ListKind
    entries: tuple[MachineEntry, ...] = ()


@dataclass(frozen=True)
class TaskRequest:
    """A task to place.

    ``left`` is the time in ms until its owner gives up on this request, ``lifetime`` the expected remaining run time in
    ms, if known. ``repeat`` marks a request that its owner has sent before.
    """

    request: int
    task_class: int
    service: str
    cores: float
    memory: float
    left: float
    tenant: int = 0
    task: str = ""
    lifetime: float | None = None
    repeat: bool = False


@dataclass(frozen=True)
class TaskFound:
    """A task that already runs on a machine and that this scheduler has to account for from now on."""

    request: TaskRequest
    machine: str


@dataclass(frozen=True)
class LoadReport:
    """A machine's load; fields that the site's reports do not include are None."""

    free_cores: float | None = None
    free_memory: float | None = None
    busy: float | None = None
    queue: float | None = None
    start_time: float | None = None


@dataclass(frozen=True)
class Accepted:
    """A machine accepted the task in this attempt, ``elapsed`` ms after the offer."""

    request: int
    attempt: int
    elapsed: float


@dataclass(frozen=True)
class StatusNote:
    """A status report on an attempt that has not ended."""

    request: int
    attempt: int
    kind: StatusKind
    value: float


@dataclass(frozen=True)
class Outcome:
    """The end of an attempt; ``closed`` if the request is finished as well.

    Without ``is_located`` another machine than the one of the offer may have had the attempt: where it may have run is not
    known.
    """

    request: int
    attempt: int
    ending: Ending
    closed: bool
    reason: Reason = Reason.UNTOLD
    report: LoadReport | None = None
    is_located: bool = True


@dataclass(frozen=True)
class RequestAbandoned:
    """The owner no longer waits for an answer to the request."""

    request: int


@dataclass(frozen=True)
class TimerFired:
    """A timer that was set by SetTimer has fired."""

    name: str


@dataclass(frozen=True)
class Membership:
    """The number of schedulers, and this scheduler's slot for the limit on offers to cold machines.

    The limit is divided among ``slots``. While the fleet's size changes, ``slot`` and ``slots`` differ from the
    scheduler's number and the size. With no slots, nothing is offered to cold machines.
    """

    n_instances: int
    slot: int
    slots: int

    def __post_init__(self) -> None:
        _check("n_instances", self.n_instances >= 1, "must be at least 1")
        _check("slots", self.slots >= 0, "must not be negative")
        _check("slot", 0 <= self.slot < max(1, self.slots), "must be below slots")


Event = (
    MachineList | TaskRequest | TaskFound | Accepted | StatusNote | Outcome | RequestAbandoned | TimerFired | Membership
)


@dataclass(frozen=True)
class Offer:
    """Offer the task to a machine and wait at most ``timeout`` ms."""

    request: int
    machine: str
    timeout: float


@dataclass(frozen=True)
class Refuse:
    """Final answer: refused; a retry does no harm, after ``retry_after`` ms."""

    request: int
    retry_after: float = 0.0


@dataclass(frozen=True)
class Fail:
    """Final answer: failed; the task may have run."""

    request: int


@dataclass(frozen=True)
class SetTimer:
    """Request a TimerFired event in ``delay`` ms."""

    delay: float
    name: str


@dataclass(frozen=True)
class Subscribe:
    """Request changes of the machine list from now on."""


@dataclass(frozen=True)
class Log:
    """A line for the operators' log."""

    text: str


Action = Offer | Refuse | Fail | SetTimer | Subscribe | Log
