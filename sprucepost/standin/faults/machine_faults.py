"""Faults of machines: they fail, slow down, are replaced, or their tasks use more than they requested."""

from __future__ import annotations

import math
from typing import Any

from sprucepost.loop import Co, sleep
from sprucepost.standin.faults.context import FaultContext, FaultFunction, wait_duration
from sprucepost.standin.scenario import Fault


def _multiply_use(context: FaultContext, fault: Fault, subjects: list[str]) -> Co[None]:
    for name in subjects:
        yield from context.control.order_machines("use", what=name, factor=fault.size)
    yield from wait_duration(fault)
    for name in subjects:
        yield from context.control.order_machines("use", what=name, factor=1.0)


def _set_for_duration(
    context: FaultContext, fault: Fault, machines: list[str], during: dict[str, Any], after: dict[str, Any]
) -> Co[None]:
    """Set machines' behaviour to ``during`` while the fault lasts, and to ``after`` when it ends."""
    for name in machines:
        yield from context.control.order_machines("set", machine=name, **during)
    yield from wait_duration(fault)
    for name in machines:
        yield from context.control.order_machines("set", machine=name, **after)


def _drain_and_stop(context: FaultContext, names: list[str], drain_s: float) -> Co[None]:
    """Drain machines together, then stop them for good."""
    for name in names:
        context.machines.pop(name, None)
        yield from context.control.order_machines("drain", machine=name)
    yield from sleep(drain_s * 1000.0)
    for name in names:
        yield from context.control.order_machines("crash", machine=name)
        context.machines_taken.discard(name)


def crash(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Crash some machines, and restart them cold."""
    chosen = context.pick_machines_to_stop(fault, number)
    for name in chosen:
        yield from context.control.order_machines("crash", machine=name)
    yield from wait_duration(fault)
    for name in chosen:
        yield from context.restart_machine(name)


def vanish(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Make some machines unreachable without closing connections; crash and restart them at the end."""
    chosen = context.pick_machines_to_stop(fault, number)
    for name in chosen:
        yield from context.control.order_proxy("set", name=f"vanish {name}", target=name, hold=True)
        yield from context.control.order_machines("mute", machine=name)
    yield from wait_duration(fault)
    for name in chosen:
        yield from context.control.order_machines("crash", machine=name)
        yield from context.control.order_proxy("blow", kind="reset", target=name)
        yield from context.control.order_proxy("lift", name=f"vanish {name}")
        yield from context.restart_machine(name)


def slow(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Slow some machines down by the factor ``size``."""
    chosen = context.pick_machines(fault, number)
    yield from _set_for_duration(context, fault, chosen, {"slow": max(1.0, fault.size)}, {"slow": 1.0})


def ageing(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Slow some machines down gradually, up to the factor ``size``, then crash them; restart after ``extra``
    seconds."""
    chosen = context.pick_machines_to_stop(fault, number)
    steps = 10
    for step in range(1, steps + 1):
        slow = max(1.0, fault.size) ** (step / steps)
        for name in chosen:
            yield from context.control.order_machines("set", machine=name, slow=slow)
        yield from sleep(fault.len_s * 1000.0 / steps)
    for name in chosen:
        yield from context.control.order_machines("crash", machine=name)
    yield from sleep(max(1.0, fault.extra) * 1000.0)
    for name in chosen:
        yield from context.restart_machine(name)


def class_fail(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Leave offers of one class without an answer on some machines."""
    cls = fault.task_class or context.scenario.rng(f"class {number}").choice(sorted(context.scenario.traffic.shares))
    chosen = context.pick_machines(fault, number)
    yield from _set_for_duration(context, fault, chosen, {"deaf_class": cls}, {"deaf_class": ""})


def answer_lost(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Lose a share ``size`` of the answers of some machines."""
    chosen = context.pick_machines(fault, number)
    share = min(1.0, fault.size)
    yield from _set_for_duration(context, fault, chosen, {"answer_loss": share}, {"answer_loss": 0.0})


def deploy(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Replace machines in batches of a share ``size`` of all; each batch drains for ``extra`` seconds."""
    chosen = context.pick_machines_to_stop(fault, number)
    batch = max(1, round(fault.size * len(context.machines)))
    batches = math.ceil(len(chosen) / batch)
    for n in range(batches):
        names = chosen[n * batch : (n + 1) * batch]
        yield from _drain_and_stop(context, names, fault.extra)
        for _ in names:
            yield from context.add_machine(cold=True)
        yield from sleep(max(0.0, fault.len_s / batches - fault.extra) * 1000.0)


def shrink(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Divide machines and submissions by ``size``; surplus machines drain one after the other."""
    chosen = context.pick_machines_to_stop(fault, number, 1.0 - 1.0 / max(1.0, fault.size))
    yield from context.control.order_owners("rate", factor=1.0 / max(1.0, fault.size))
    for name in chosen:
        yield from _drain_and_stop(context, [name], fault.len_s / max(1, len(chosen)))


def grow(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Multiply the machines by ``size``, one after the other; submissions grow by a share ``extra`` of that."""
    added = round((max(1.0, fault.size) - 1.0) * len(context.machines))
    yield from context.control.order_owners("rate", factor=1.0 + (max(1.0, fault.size) - 1.0) * fault.extra)
    for _ in range(added):
        yield from context.add_machine(cold=True)
        yield from sleep(fault.len_s / max(1, added) * 1000.0)


def hot_key(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Multiply the use of some services' tasks by ``size``."""
    names = [service["name"] for service in context.scenario.services()]
    rng = context.scenario.rng(f"fault {number}")
    yield from _multiply_use(context, fault, rng.sample(names, max(1, round(fault.part * len(names)))))


def heavy_tail(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Multiply the use of one class's tasks by ``size``."""
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
