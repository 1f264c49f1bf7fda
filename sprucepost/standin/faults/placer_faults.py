"""Faults of placers: kills, stops, stalls, lack of descriptors, clock steps, duplicate numbers and resizes of the
fleet."""

from __future__ import annotations

from sprucepost.loop import Co, sleep
from sprucepost.standin.faults.context import FaultContext, FaultFunction, wait_duration
from sprucepost.standin.scenario import Fault


def stall(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Suspend some placers for ``size`` ms, every ``extra`` seconds, or once if ``extra`` is 0."""
    chosen = context.pick_placers(fault, number)
    until = context.loop.now() + fault.len_s * 1000.0
    while True:
        stalled = [placer for placer in chosen if placer not in context.placers_down]
        for placer in stalled:
            context.control.stall_placer(placer, True)
        yield from sleep(fault.size)
        for placer in stalled:
            context.control.stall_placer(placer, False)
        if not fault.extra or context.loop.now() + fault.extra * 1000.0 >= until:
            return
        yield from sleep(fault.extra * 1000.0)


def placer_kill(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Kill some placers with SIGKILL, and start them again at the end."""
    chosen = context.pick_placers(fault, number)
    context.placers_down.update(chosen)
    for placer in chosen:
        context.control.kill_placer(placer)
    yield from wait_duration(fault)
    yield from context.start_placers(chosen)


def placer_stop(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Send SIGTERM to some placers and, ``size`` ms later, during their shutdown, SIGKILL; start them again at the
    end."""
    chosen = context.pick_placers(fault, number)
    context.placers_down.update(chosen)
    for placer in chosen:
        context.control.term_placer(placer)
    yield from sleep(fault.size)
    for placer in chosen:
        context.control.kill_placer(placer)
    yield from wait_duration(fault)
    yield from context.start_placers(chosen)


def placer_crowd(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Kill and restart a share ``part`` of the placers ``size`` times in a row, ``len_s`` seconds apart."""
    chosen = context.pick_placers(fault, number)
    context.placers_down.update(chosen)
    for _ in range(max(1, round(fault.size))):
        for placer in chosen:
            context.control.kill_placer(placer)
        for placer in chosen:
            yield from context.control.start_placer(placer)
        yield from wait_duration(fault)
    context.placers_down.difference_update(chosen)


def descriptors(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Deny new file descriptors to some placers."""
    chosen = context.pick_placers(fault, number)
    for placer in chosen:
        context.control.limit_descriptors(placer, True)
    yield from wait_duration(fault)
    for placer in chosen:
        context.control.limit_descriptors(placer, False)


def clock_step(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Step the wall clock of some placers' hosts by ``size`` ms while the fault lasts."""
    chosen = context.pick_placers(fault, number)
    for placer in chosen:
        context.control.step_clock(placer, fault.size)
    yield from wait_duration(fault)
    for placer in chosen:
        context.control.step_clock(placer, 0.0)


def same_number(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Run a second process with the number of one placer."""
    chosen = context.pick_placers(fault, number)[:1]
    for placer in chosen:
        yield from context.control.start_duplicate(placer)
    yield from wait_duration(fault)
    for placer in chosen:
        context.control.stop_duplicate(placer)


def resize(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Multiply the number of placers by ``size``; ``extra`` of the old ones are notified, 0 for all."""
    new_size = max(context.scenario.placers + 1, round(context.scenario.placers * fault.size))
    yield from context.control.resize(new_size, 1500.0, fault.len_s * 1000.0, int(fault.extra))


PLACER_FAULTS: dict[str, FaultFunction] = {
    "balancer_stall": stall,
    "placer_kill": placer_kill,
    "placer_stop": placer_stop,
    "placer_crowd": placer_crowd,
    "descriptors": descriptors,
    "clock_step": clock_step,
    "same_number": same_number,
    "resize": resize,
}
