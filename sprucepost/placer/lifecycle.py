"""A daemon's life, free of I/O and clock: facts in, state and reason out.

========== ================================================== =============================================
state      entered when                                       left when
========== ================================================== =============================================
starting   the process begins                                 its ports are bound
joining    ports bound, or no longer ready                    a list has arrived and its number is its own
ready      both are so                                        one of them is not, or it is told to stop
conflict   a machine has a live stream of the same number     no machine has reported one for a while
draining   told to stop                                       nothing is open, or the time is over
stopped    drained                                            never
========== ================================================== =============================================

Only ``ready`` takes new tasks. Draining and stopped are never left backwards.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    STARTING = "starting"
    JOINING = "joining"
    READY = "ready"
    CONFLICT = "conflict"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(frozen=True)
class Facts:
    """What the daemon knows of itself. ``conflict``: who else has its number, empty where nobody does."""

    listening: bool = False
    listed: bool = False
    conflict: str = ""
    told_to_stop: bool = False
    open_tasks: int = 0
    time_over: bool = False


def judge(state: State, facts: Facts) -> tuple[State, str]:
    """The next state and, where no task is taken, why."""
    if state is State.STOPPED:
        return State.STOPPED, "stopped"
    if facts.told_to_stop or state is State.DRAINING:
        if facts.open_tasks and not facts.time_over:
            return State.DRAINING, f"stopping, {facts.open_tasks} tasks open"
        return State.STOPPED, "stopped"
    if not facts.listening:
        return State.STARTING, "starting"
    if facts.conflict:
        return State.CONFLICT, facts.conflict
    if not facts.listed:
        return State.JOINING, "no list of machines yet"
    return State.READY, ""
