"""Types of the simulated machine: its parameters, its offers and tasks, and the events that it reports."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class MachineState(Enum):
    """Whether the machine runs and takes new tasks."""

    DOWN = 0
    READY = 1
    DRAINING = 2


class Reason(Enum):
    """Reasons of refusals and losses; values are those of the protocol's ``Reason``."""

    UNTOLD = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_HERE = 4
    EVICTED = 5
    PUSHED_OUT = 6
    SENT_AWAY = 7


class EndKind(Enum):
    """How a task on the machine ended."""

    DONE = 0
    LOST = 1
    STOPPED = 2
    UNCLAIMED = 3


@dataclass(frozen=True)
class ClassModel:
    """Behaviour of a class's tasks on a machine."""

    name: str
    work_ms: float = 40.0  # duration of a start on a machine that has the program cached
    keyed: bool = False
    window_ms: float = 0.0
    kind: str | None = None
    priority: int = 0
    calm: float = 0.8
    fade: float = 0.2
    cores_use: float = 0.55  # mean share of the request
    memory_use: float = 0.7
    use_sigma: float = 0.4
    burst: float = 2.0  # cap on use, as a multiple of the request
    memory_burst: float = 1.4


@dataclass(frozen=True)
class MachineModel:
    """Size and behaviour of one machine; times in ms."""

    name: str
    kind: str
    zone: str
    cell: str
    cores: float
    memory: float
    accepts_cores: float = 1.5
    accepts_memory: float = 1.5
    admit_ms: float = 15.0
    admit_queue: int = 16
    starts: int = 2
    setup: float = 8.0
    kept: int = 6
    cold_from: float = 0.2
    warm_ms: float = 15_000.0
    cold_bears: float = 12.0
    fall_ms: float = 2000.0
    fall_multiple: float = 4.0
    preempts: bool = False
    sends_away: bool = True
    report_ms: float = 400.0
    report_counts: str = "used"
    unclaimed_ms: float = 4000.0
    change_ms: float = 8000.0


class AttemptId(NamedTuple):
    """Identity of an attempt: the placer number, its incarnation, the request and the attempt's number."""

    placer: int
    incarnation: int
    request: int
    attempt: int


@dataclass
class Offer:
    """An offer as received."""

    attempt_id: AttemptId
    name: str
    cls: ClassModel
    service: str
    cores: float
    memory: float
    tenant: str
    life_ms: float
    wait_ms: float
    arrived: float = 0.0


@dataclass
class Task:
    """An accepted offer."""

    offer: Offer
    accepted: float
    running: bool = False
    claimed: bool = True  # False: no placer claims the task any more
    use: tuple[float, float] = (0.0, 0.0)
    factor: tuple[float, float] = (1.0, 1.0)
    until: float = math.inf
    has_ended: bool = False


@dataclass(frozen=True)
class OfferAnswered:
    """An offer was accepted (``reason`` is None) or refused."""

    attempt_id: AttemptId
    reason: Reason | None


@dataclass(frozen=True)
class TaskStarted:
    """A task has started to run."""

    attempt_id: AttemptId


@dataclass(frozen=True)
class TaskUse:
    """A task's use, its share of full service (None: full) and the machine's share of memory in use (None: not
    short)."""

    attempt_id: AttemptId
    cores: float
    memory: float
    served: float | None
    machine_memory: float | None


@dataclass(frozen=True)
class TaskEnded:
    """A task has left the machine."""

    attempt_id: AttemptId
    kind: EndKind
    reason: Reason = Reason.UNTOLD


MachineEvent = OfferAnswered | TaskStarted | TaskUse | TaskEnded


@dataclass(frozen=True)
class LoadReport:
    """A load report, at most ``report_ms`` old."""

    free_cores: float
    free_memory: float
    busy: float
    queue: float
