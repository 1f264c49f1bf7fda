"""Faults of links: between zones, to machines, between placers."""

from __future__ import annotations

from typing import Any

from sprucepost.loop import Co, sleep
from sprucepost.standin.faults.context import FaultContext, FaultFunction, hold
from sprucepost.standin.scenario import Fault


def _pick_sides(context: FaultContext, fault: Fault, number: int) -> tuple[list[str], list[str]]:
    """The placers of a room, or so many as ``part`` says, and the others; neither side is empty."""
    placers = [f"placer-{n}" for n in range(context.scenario.placers)]
    zones = context.scenario.cluster.zones
    inside = [name for n, name in enumerate(placers) if zones[n % len(zones)] == fault.zone]
    if not inside or len(inside) == len(placers):
        most = min(len(placers) - 1, max(1, round(fault.part * len(placers))))
        inside = context.scenario.rng(f"fault {number}").sample(placers, most)
    return inside, [name for name in placers if name not in inside]


def _add_conditions(
    context: FaultContext, number: int, sides: tuple[list[str], list[str]], out: bool, back: bool, **what: Any
) -> Co[None]:
    """A condition on the messages from the first side to the other (``out``), and from there (``back``).

    A stream may have been opened by either end.
    """
    for a in sides[0]:
        for b in sides[1]:
            name = f"peers {number} {a} {b}"
            yield from context.control.order_proxy(
                "set", name=f"{name} up", client=a, target=b, up=out, down=back, **what
            )
            yield from context.control.order_proxy(
                "set", name=f"{name} down", client=b, target=a, up=back, down=out, **what
            )


def _lift_conditions(context: FaultContext, number: int, sides: tuple[list[str], list[str]]) -> Co[None]:
    for a in sides[0]:
        for b in sides[1]:
            for way in ("up", "down"):
                yield from context.control.order_proxy("lift", name=f"peers {number} {a} {b} {way}")


def zone_cut(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Nothing passes into or out of ``zone``."""
    yield from context.control.order_proxy("set", name=f"cut {number}", cut_zone=fault.zone, hold=True)
    yield from hold(fault)
    yield from context.control.order_proxy("lift", name=f"cut {number}")


def one_way_cut(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``extra`` 0: nothing passes out of ``zone``; else nothing passes into it."""
    out = not fault.extra
    inside = [name for name, model in context.machines.items() if model["zone"] == fault.zone]
    for name in inside:  # a machine is a target: what leaves it goes down
        yield from context.control.order_proxy(
            "set", name=f"one way {number} {name}", target=name, up=not out, down=out, hold=True
        )
    yield from hold(fault)
    for name in inside:
        yield from context.control.order_proxy("lift", name=f"one way {number} {name}")


def slow_link(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: ms more each way to some machines; ``extra``: bytes a second, 0 for no limit."""
    some = context.pick_machines(fault, number)
    for name in some:
        slow = {"delay_ms": fault.size, "rate": fault.extra}
        yield from context.control.order_proxy("set", name=f"slow {number} {name}", target=name, **slow)
    yield from hold(fault)
    for name in some:
        yield from context.control.order_proxy("lift", name=f"slow {number} {name}")


def reset(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Every connection to some machines, and to all placers, is reset once."""
    for name in context.pick_machines(fault, number):
        yield from context.control.order_proxy("blow", kind="reset", target=name)
    yield from context.control.order_proxy("blow", kind="reset", target="placer-*")


def peer_cut(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``extra`` 0: nothing passes between the sides; 1: nothing out of the first, 2: nothing into it."""
    sides = _pick_sides(context, fault, number)
    yield from _add_conditions(context, number, sides, fault.extra != 2, fault.extra != 1, hold=True)
    yield from hold(fault)
    yield from _lift_conditions(context, number, sides)


def peer_flap(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: ms for which the sides are cut off, and then joined, again and again."""
    sides, until = _pick_sides(context, fault, number), context.loop.now() + fault.len_s * 1000.0
    while context.loop.now() < until:
        yield from _add_conditions(context, number, sides, True, True, hold=True)
        yield from sleep(fault.size)
        yield from _lift_conditions(context, number, sides)
        yield from sleep(fault.size)


def peer_slow(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``size``: ms more each way between the sides."""
    sides = _pick_sides(context, fault, number)
    yield from _add_conditions(context, number, sides, True, True, delay_ms=fault.size)
    yield from hold(fault)
    yield from _lift_conditions(context, number, sides)


def peer_reset(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """``part`` of the placers have the streams that they opened reset; ``extra``: seconds between two times, 0: once."""
    until = context.loop.now() + fault.len_s * 1000.0
    while True:
        for name in _pick_sides(context, fault, number)[0]:
            yield from context.control.order_proxy("blow", kind="reset", client=name, target="placer-*")
        if not fault.extra or context.loop.now() + fault.extra * 1000.0 >= until:
            return
        yield from sleep(fault.extra * 1000.0)


LINK_FAULTS: dict[str, FaultFunction] = {
    "zone_cut": zone_cut,
    "one_way_cut": one_way_cut,
    "slow_link": slow_link,
    "reset": reset,
    "peer_cut": peer_cut,
    "peer_flap": peer_flap,
    "peer_slow": peer_slow,
    "peer_reset": peer_reset,
}
