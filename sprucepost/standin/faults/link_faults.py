"""Faults of links: between zones, to machines, between placers."""

from __future__ import annotations

from typing import Any

from sprucepost.loop import Co, sleep
from sprucepost.standin.faults.context import FaultContext, FaultFunction, wait_duration
from sprucepost.standin.scenario import Fault


def _pick_sides(context: FaultContext, fault: Fault, number: int) -> tuple[list[str], list[str]]:
    """Return the placers of the fault's zone, or a share ``part`` of all, and the others; neither side is empty."""
    placers = [f"placer-{n}" for n in range(context.scenario.placers)]
    zones = context.scenario.cluster.zones
    inside = [name for n, name in enumerate(placers) if zones[n % len(zones)] == fault.zone]
    if not inside or len(inside) == len(placers):
        most = min(len(placers) - 1, max(1, round(fault.part * len(placers))))
        inside = context.scenario.rng(f"fault {number}").sample(placers, most)
    return inside, [name for name in placers if name not in inside]


def _add_conditions(
    context: FaultContext, number: int, sides: tuple[list[str], list[str]], out: bool, back: bool, **condition: Any
) -> Co[None]:
    """Set a condition on data from the first side to the second (``out``), and back (``back``).

    Each pair needs two conditions, since either end may have opened the stream.
    """
    for a in sides[0]:
        for b in sides[1]:
            name = f"peers {number} {a} {b}"
            yield from context.control.order_proxy(
                "set", name=f"{name} up", client=a, target=b, up=out, down=back, **condition
            )
            yield from context.control.order_proxy(
                "set", name=f"{name} down", client=b, target=a, up=back, down=out, **condition
            )


def _lift_conditions(context: FaultContext, number: int, sides: tuple[list[str], list[str]]) -> Co[None]:
    for a in sides[0]:
        for b in sides[1]:
            for way in ("up", "down"):
                yield from context.control.order_proxy("lift", name=f"peers {number} {a} {b} {way}")


def zone_cut(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Hold all data into and out of ``zone``."""
    yield from context.control.order_proxy("set", name=f"cut {number}", cut_zone=fault.zone, hold=True)
    yield from wait_duration(fault)
    yield from context.control.order_proxy("lift", name=f"cut {number}")


def one_way_cut(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Hold data of the machines in ``zone``: what they send if ``extra`` is 0, else what is sent to them."""
    out = not fault.extra
    inside = [name for name, model in context.machines.items() if model["zone"] == fault.zone]
    for name in inside:  # machines are targets: data that they send goes down
        yield from context.control.order_proxy(
            "set", name=f"one way {number} {name}", target=name, up=not out, down=out, hold=True
        )
    yield from wait_duration(fault)
    for name in inside:
        yield from context.control.order_proxy("lift", name=f"one way {number} {name}")


def slow_link(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Add ``size`` ms of delay each way to some machines, and limit the rate to ``extra`` bytes per second (0: no
    limit)."""
    chosen = context.pick_machines(fault, number)
    for name in chosen:
        slow = {"delay_ms": fault.size, "rate": fault.extra}
        yield from context.control.order_proxy("set", name=f"slow {number} {name}", target=name, **slow)
    yield from wait_duration(fault)
    for name in chosen:
        yield from context.control.order_proxy("lift", name=f"slow {number} {name}")


def reset(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Reset all connections to some machines and to all placers once."""
    for name in context.pick_machines(fault, number):
        yield from context.control.order_proxy("blow", kind="reset", target=name)
    yield from context.control.order_proxy("blow", kind="reset", target="placer-*")


def peer_cut(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Hold data between two sides of the fleet: all if ``extra`` is 0, from the first side if 1, to it if 2."""
    sides = _pick_sides(context, fault, number)
    yield from _add_conditions(context, number, sides, fault.extra != 2, fault.extra != 1, hold=True)
    yield from wait_duration(fault)
    yield from _lift_conditions(context, number, sides)


def peer_flap(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Separate and rejoin two sides of the fleet repeatedly, each for ``size`` ms."""
    sides, until = _pick_sides(context, fault, number), context.loop.now() + fault.len_s * 1000.0
    while context.loop.now() < until:
        yield from _add_conditions(context, number, sides, True, True, hold=True)
        yield from sleep(fault.size)
        yield from _lift_conditions(context, number, sides)
        yield from sleep(fault.size)


def peer_slow(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Add ``size`` ms of delay each way between two sides of the fleet."""
    sides = _pick_sides(context, fault, number)
    yield from _add_conditions(context, number, sides, True, True, delay_ms=fault.size)
    yield from wait_duration(fault)
    yield from _lift_conditions(context, number, sides)


def peer_reset(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Reset the streams that a share ``part`` of the placers opened, every ``extra`` seconds, or once if ``extra`` is
    0."""
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
