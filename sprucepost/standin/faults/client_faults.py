"""Faults of clients: they submit more, submit twice, or cancel and submit again."""

from __future__ import annotations

from sprucepost.loop import Co
from sprucepost.standin.faults.context import FaultContext, FaultFunction, wait_duration
from sprucepost.standin.scenario import Fault


def burst(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Multiply the rate of submissions by ``size``."""
    yield from context.control.order_owners("rate", factor=fault.size)
    yield from wait_duration(fault)
    yield from context.control.order_owners("rate", factor=1.0)


def ask_twice(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Submit a share ``part`` of the tasks a second time, in the same session."""
    yield from context.control.order_owners("twice", part=fault.part)
    yield from wait_duration(fault)
    yield from context.control.order_owners("twice", part=0.0)


def reconnect(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Cancel all tasks of a share ``part`` of the services, and submit new ones within the fault's length."""
    yield from context.control.order_owners("restart", share=fault.part, within_ms=fault.len_s * 1000.0)


CLIENT_FAULTS: dict[str, FaultFunction] = {
    "burst": burst,
    "ask_twice": ask_twice,
    "reconnect": reconnect,
}
