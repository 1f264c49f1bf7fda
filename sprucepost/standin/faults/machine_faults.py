"""Faults of machines: they fail, slow down, are replaced, or their tasks use more than they asked."""

from __future__ import annotations

import math
from typing import Any

from sprucepost.loop import Co, sleep
from sprucepost.standin.faults.context import FaultContext, FaultFunction, hold
from sprucepost.standin.scenario import Fault


def _multiply_use(context: FaultContext, fault: Fault, what: list[str]) -> Co[None]:
    for name in what:
        yield from context.control.order_machines("use", what=name, factor=fault.size)
    yield from hold(fault)
    for name in what:
        yield from context.control.order_machines("use", what=name, factor=1.0)


def _set_for_a_while(
    context: FaultContext, fault: Fault, machines: list[str], during: dict[str, Any], after: dict[str, Any]
) -> Co[None]:
    """Have machines behave in one way while the fault lasts, and in another after it."""
    for name in machines:
        yield from context.control.order_machines("set", machine=name, **during)
    yield from hold(fault)
    for name in machines:
        yield from context.control.order_machines("set", machine=name, **after)


def _retire(context: FaultContext, names: list[str], drain_s: float) -> Co[None]:
    """Machines drain together, then stop for good."""
    for name in names:
        context.machines.pop(name, None)
        yield from context.control.order_machines("drain", machine=name)
    yield from sleep(drain_s * 1000.0)
    for name in names:
        yield from context.control.order_machines("crash", machine=name)
        context.machines_in_hand.discard(name)


def crash(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Some machines die, and come back cold."""
    some = context.pick_machines_to_stop(fault, number)
    for name in some:
        yield from context.control.order_machines("crash", machine=name)
    yield from hold(fault)
    for name in some:
        yield from context.restart_machine(name)


def vanish(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Some machines fall silent; they die at the end, and come back."""
    some = context.pick_machines_to_stop(fault, number)
    for name in some:
        yield from context.control.order_proxy("set", name=f"vanish {name}", target=name, hold=True)
        yield from context.control.order_machines("mute", machine=name)
    yield from hold(fault)
    for name in some:
        yield from context.control.order_machines("crash", machine=name)
        yield from context.control.order_proxy("blow", kind="reset", target=name)
        yield from context.control.order_proxy("lift", name=f"vanish {name}")
        yield from context.restart_machine(name)


def slow(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: times slower."""
    some = context.pick_machines(fault, number)
    yield from _set_for_a_while(context, fault, some, {"slow": max(1.0, fault.size)}, {"slow": 1.0})


def ageing(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Some machines become slower, up to ``size`` times, and then die; ``extra``: seconds until they are back."""
    some = context.pick_machines_to_stop(fault, number)
    steps = 10
    for step in range(1, steps + 1):
        slow = max(1.0, fault.size) ** (step / steps)
        for name in some:
            yield from context.control.order_machines("set", machine=name, slow=slow)
        yield from sleep(fault.len_s * 1000.0 / steps)
    for name in some:
        yield from context.control.order_machines("crash", machine=name)
    yield from sleep(max(1.0, fault.extra) * 1000.0)
    for name in some:
        yield from context.restart_machine(name)


def class_fail(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Offers of one class get no answer."""
    cls = fault.task_class or context.scenario.rng(f"class {number}").choice(sorted(context.scenario.traffic.shares))
    some = context.pick_machines(fault, number)
    yield from _set_for_a_while(context, fault, some, {"deaf_class": cls}, {"deaf_class": ""})


def answer_lost(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: share of the answers that get lost."""
    some = context.pick_machines(fault, number)
    share = min(1.0, fault.size)
    yield from _set_for_a_while(context, fault, some, {"answer_loss": share}, {"answer_loss": 0.0})


def deploy(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: share of the fleet replaced at a time; ``extra``: seconds of drain."""
    some = context.pick_machines_to_stop(fault, number)
    batch = max(1, round(fault.size * len(context.machines)))
    batches = math.ceil(len(some) / batch)
    for n in range(batches):
        names = some[n * batch : (n + 1) * batch]
        yield from _retire(context, names, fault.extra)
        for _ in names:
            yield from context.add_machine(cold=True)
        yield from sleep(max(0.0, fault.len_s / batches - fault.extra) * 1000.0)


def shrink(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: times fewer machines and submissions; the others drain one after the other."""
    some = context.pick_machines_to_stop(fault, number, 1.0 - 1.0 / max(1.0, fault.size))
    yield from context.control.order_owners("rate", factor=1.0 / max(1.0, fault.size))
    for name in some:
        yield from _retire(context, [name], fault.len_s / max(1, len(some)))


def grow(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: times as many machines, one after the other; ``extra``: by how much of that submissions grow too."""
    more = round((max(1.0, fault.size) - 1.0) * len(context.machines))
    yield from context.control.order_owners("rate", factor=1.0 + (max(1.0, fault.size) - 1.0) * fault.extra)
    for _ in range(more):
        yield from context.add_machine(cold=True)
        yield from sleep(fault.len_s / max(1, more) * 1000.0)


def hot_key(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Tasks of some services use more than they asked."""
    names = [service["name"] for service in context.scenario.services()]
    rng = context.scenario.rng(f"fault {number}")
    yield from _multiply_use(context, fault, rng.sample(names, max(1, round(fault.part * len(names)))))


def heavy_tail(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Tasks of one class use more than they asked."""
    cls = fault.task_class or context.scenario.rng(f"class {number}").choice(sorted(context.scenario.traffic.shares))
    yield from _multiply_use(context, fault, [f"class:{cls}"])


MACHINE_FAULTS: dict[str, FaultFunction] = {
    "crash": crash,
    "vanish": vanish,
    "slow": slow,
    "ageing": ageing,
    "class_fail": class_fail,
    "answer_lost": answer_lost,
    "deploy": deploy,
    "shrink": shrink,
    "grow": grow,
    "hot_key": hot_key,
    "heavy_tail": heavy_tail,
}
