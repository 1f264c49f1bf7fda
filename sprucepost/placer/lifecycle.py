"""The daemon's lifecycle as a state machine without I/O or clock: conditions in, state and reason out.

========== ================================================== =============================================
state      entered when                                       left when
========== ================================================== =============================================
starting   the process starts                                 its ports are bound
joining    ports bound, or no longer ready                    a list has arrived and no other placer has its
                                                              number
ready      both hold                                          one of them no longer holds, or a stop is
                                                              requested
conflict   another placer has the same number                 no conflict has been reported for a while
draining   a stop is requested                                no task is open, or the time limit is over
stopped    drained                                            never
========== ================================================== =============================================

New tasks are accepted only in ``ready``. From draining and stopped there is no way back to an earlier state.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """The daemon's states; the table of this module describes them."""

    STARTING = "starting"
    JOINING = "joining"
    READY = "ready"
    CONFLICT = "conflict"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(frozen=True)
class Conditions:
    """What the state depends on. ``conflict``: who else has the placer's number; empty for no one."""

    listening: bool = False
    has_list: bool = False
    conflict: str = ""
    stop_requested: bool = False
    open_tasks: int = 0
    deadline_passed: bool = False


def next_state(state: State, conditions: Conditions) -> tuple[State, str]:
    """Return the next state and, unless it is ``READY``, the reason why no tasks are accepted."""
    if state is State.STOPPED:
        return State.STOPPED, "stopped"
    if conditions.stop_requested or state is State.DRAINING:
        if conditions.open_tasks and not conditions.deadline_passed:
            return State.DRAINING, f"stopping, {conditions.open_tasks} tasks open"
        return State.STOPPED, "stopped"
    if not conditions.listening:
        return State.STARTING, "starting"
    if conditions.conflict:
        return State.CONFLICT, conditions.conflict
    if not conditions.has_list:
        return State.JOINING, "no list of machines yet"
    return State.READY, ""
