"""Faults of placers: they are killed, stopped, stalled or starved; their clock, their number or the fleet's size changes."""

from __future__ import annotations

from sprucepost.loop import Co, sleep
from sprucepost.standin.faults.context import FaultContext, FaultFunction, hold
from sprucepost.standin.scenario import Fault


def stall(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: ms that each stall lasts; ``extra``: seconds between two, 0 for a single one."""
    some = context.pick_placers(fault, number)
    until = context.loop.now() + fault.len_s * 1000.0
    while True:
        met = [placer for placer in some if placer not in context.placers_down]
        for placer in met:
            context.control.stall_placer(placer, True)
        yield from sleep(fault.size)
        for placer in met:
            context.control.stall_placer(placer, False)
        if not fault.extra or context.loop.now() + fault.extra * 1000.0 >= until:
            return
        yield from sleep(fault.extra * 1000.0)


def placer_kill(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """SIGKILL; they are back at the end."""
    some = context.pick_placers(fault, number)
    context.placers_down.update(some)
    for placer in some:
        context.control.kill_placer(placer)
    yield from hold(fault)
    yield from context.start_placers(some)


def placer_stop(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """SIGTERM, and ``size`` ms later, in the midst of the stop, SIGKILL."""
    some = context.pick_placers(fault, number)
    context.placers_down.update(some)
    for placer in some:
        context.control.term_placer(placer)
    yield from sleep(fault.size)
    for placer in some:
        context.control.kill_placer(placer)
    yield from hold(fault)
    yield from context.start_placers(some)


def placer_crowd(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``part`` of the placers are killed ``size`` times in a row, ``len_s`` between two, and are back each time."""
    some = context.pick_placers(fault, number)
    context.placers_down.update(some)
    for _ in range(max(1, round(fault.size))):
        for placer in some:
            context.control.kill_placer(placer)
        for placer in some:
            yield from context.control.start_placer(placer)
        yield from hold(fault)
    context.placers_down.difference_update(some)


def descriptors(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Some placers get no new file descriptor."""
    some = context.pick_placers(fault, number)
    for placer in some:
        context.control.limit_descriptors(placer, True)
    yield from hold(fault)
    for placer in some:
        context.control.limit_descriptors(placer, False)


def clock_step(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: ms by which the host's clock is off while it lasts."""
    some = context.pick_placers(fault, number)
    for placer in some:
        context.control.step_clock(placer, fault.size)
    yield from hold(fault)
    for placer in some:
        context.control.step_clock(placer, 0.0)


def same_number(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """A second process has one placer's number."""
    some = context.pick_placers(fault, number)[:1]
    for placer in some:
        yield from context.control.start_duplicate(placer)
    yield from hold(fault)
    for placer in some:
        context.control.stop_duplicate(placer)


def resize(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: times as many placers; ``extra``: so many of the old ones are told, 0 for all."""
    more = max(context.scenario.placers + 1, round(context.scenario.placers * fault.size))
    yield from context.control.resize(more, 1500.0, fault.len_s * 1000.0, int(fault.extra))


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
