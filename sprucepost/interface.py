"""The interface of the decision module: its settings, the events it takes and the actions it returns.

All times and durations are milliseconds on the caller's monotonic clock. Machines and services are named by
opaque strings; zones, classes, tenants and machine kinds by their index in the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """What a second run of a task does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """A set of machines: the group that discards repeats of a key, or the place a spread limit counts in."""

    NONE = "none"
    MACHINE = "machine"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class ListMode(Enum):
    """Whether list changes arrive unasked or only after Subscribe."""

    PUSH = "push"
    ASK = "ask"


class LoadBasis(Enum):
    """What the free cores and memory of a load report leave out."""

    ASKED = "asked"
    USED = "used"


class MachineState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Ending(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    VOID = "moot"


class Reason(IntEnum):
    """Why an attempt was refused or a placed task was lost."""

    UNTOLD = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_HERE = 4
    EVICTED = 5
    PUSHED_OUT = 6
    SENT_AWAY = 7


class StatusKind(IntEnum):
    """What a note on an unfinished attempt tells."""

    RUNNING = 1
    CORES_USED = 2
    MEMORY_USED = 3
    SERVED_SHARE = 4
    MACHINE_MEMORY = 5


def _check(key: str, ok: bool, wanted: str) -> None:
    if not ok:
        raise ValueError(f"{key}: {wanted}")


@dataclass(frozen=True)
class MachineKind:
    """The size of one kind of machine."""

    name: str
    cores: float
    memory: float

    def __post_init__(self) -> None:
        _check("kinds.cores", self.cores > 0, "must be above 0")
        _check("kinds.memory", self.memory > 0, "must be above 0")


@dataclass(frozen=True)
class TaskClass:
    """One class of tasks: its aims, its worth and what may be done with it."""

    name: str
    aim: float
    deadline: float
    effect: Effect
    worth: float
    late_worth: float = 0.0
    start_worth: float = 0.0
    group: Scope = Scope.ALL
    window: float = 0.0
    kind: int = -1
    spread: Scope = Scope.NONE
    most: int = 0
    priority: int = 0
    calm: float = 1.0
    fade: float = 1.0

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
    """One tenant and the cores that its tasks may ask for, at all placers together, within its share."""

    name: str
    share: float
    quota_cores: float = float("inf")

    def __post_init__(self) -> None:
        _check("tenants.quota_cores", self.quota_cores > 0, "must be above 0")


@dataclass(frozen=True)
class Settings:
    """What one scheduler knows when it starts."""

    number: int
    n_instances: int
    zone: int
    zones: tuple[str, ...]
    kinds: tuple[MachineKind, ...]
    classes: tuple[TaskClass, ...]
    list_mode: ListMode
    max_attempts: int
    accepts_cores: float
    accepts_memory: float
    cold_bears: float
    fall: float
    warm_after: float
    ask_every: float
    tick: float
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    max_retry_after: float = 0.0
    room_in_list: bool = False
    report_counts: LoadBasis = LoadBasis.USED
    runs_when_accepted: bool = False
    preempts: bool = False

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
    """One machine in the list: ``started`` is 0 if that was long ago, a place -1 if no list has told it."""

    machine: str
    state: MachineState = MachineState.GONE
    zone: int = -1
    cell: int = -1
    kind: int = 0
    started: float = 0.0
    free_cores: float = 0.0
    free_memory: float = 0.0

    def shares_scope(self, place: Scope, other: MachineEntry) -> bool:
        """Whether the two machines are in one such place; one of unknown place may be anywhere."""
        if place is Scope.MACHINE:
            return self.machine == other.machine
        here, there = (self.cell, other.cell) if place is Scope.CELL else (self.zone, other.zone)
        return place is Scope.ALL or here == there or -1 in (here, there)


@dataclass(frozen=True)
class MachineList:
    """A change to the list of machines, the whole list, or word that a call for it failed."""

    kind: ListKind
    entries: tuple[MachineEntry, ...] = ()


@dataclass(frozen=True)
class TaskRequest:
    """A task to place; ``left`` is the time until its owner gives up on this ask."""

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
    """A task that already runs on a machine and is now this scheduler's to look after."""

    request: TaskRequest
    machine: str


@dataclass(frozen=True)
class LoadReport:
    """A machine's load as far as the site's reports tell it."""

    free_cores: float | None = None
    free_memory: float | None = None
    busy: float | None = None
    queue: float | None = None
    start_time: float | None = None


@dataclass(frozen=True)
class Accepted:
    """The task is placed by this attempt."""

    request: int
    attempt: int
    elapsed: float


@dataclass(frozen=True)
class StatusNote:
    """Word on an attempt that has not ended."""

    request: int
    attempt: int
    kind: StatusKind
    value: float


@dataclass(frozen=True)
class Outcome:
    """How an attempt ended; ``closed`` where the request is over as well."""

    request: int
    attempt: int
    ending: Ending
    closed: bool
    reason: Reason = Reason.UNTOLD
    report: LoadReport | None = None


@dataclass(frozen=True)
class RequestAbandoned:
    """Nobody waits for the request any more."""

    request: int


@dataclass(frozen=True)
class TimerFired:
    """A timer set earlier has come due."""

    name: str


@dataclass(frozen=True)
class Membership:
    """The schedulers to reckon with from now on. ``seat`` of ``seats`` share out what cold machines bear: while the
    size changes they differ from the number and size; with no seats nothing is offered to a cold machine."""

    n_instances: int
    slot: int
    slots: int

    def __post_init__(self) -> None:
        _check("n_instances", self.n_instances >= 1, "must be at least 1")
        _check("seats", self.slots >= 0, "must not be negative")
        _check("seat", 0 <= self.slot < max(1, self.slots), "must be below seats")


Event = (
    MachineList | TaskRequest | TaskFound | Accepted | StatusNote | Outcome | RequestAbandoned | TimerFired | Membership
)


@dataclass(frozen=True)
class Offer:
    """Offer the task to a machine, waiting at most ``timeout``."""

    request: int
    machine: str
    timeout: float


@dataclass(frozen=True)
class Refuse:
    """Final answer: refused, and a retry does no harm."""

    request: int
    retry_after: float = 0.0


@dataclass(frozen=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    request: int


@dataclass(frozen=True)
class SetTimer:
    """Ask for TimerFired ``delay`` from now."""

    delay: float
    name: str


@dataclass(frozen=True)
class Subscribe:
    """Ask for list changes from now on."""


@dataclass(frozen=True)
class Log:
    """A line for the operators' log."""

    text: str


Action = Offer | Refuse | Fail | SetTimer | Subscribe | Log
