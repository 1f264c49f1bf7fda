"""Faults of the discovery service: it is down, late or wrong.

Of several wrong lists at a time the latest is served; when any of them ends, the true list is served again.
"""

from __future__ import annotations

from typing import Any

from sprucepost.loop import Co
from sprucepost.standin.faults.context import FaultContext, FaultFunction, wait_duration
from sprucepost.standin.scenario import Fault


def _send_wrong_list(context: FaultContext, fault: Fault, **what: Any) -> Co[None]:
    yield from context.control.order_list("lie", **what)
    yield from wait_duration(fault)
    yield from context.control.order_list("truth")


def list_down(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """End the list's streams and reject new ones."""
    yield from context.control.order_list("down", down=True)
    yield from wait_duration(fault)
    yield from context.control.order_list("down", down=False)


def list_stale(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Add ``size`` seconds to the list's delay."""
    yield from context.control.order_list("late", late_ms=context.scenario.list_late_ms + fault.size * 1000.0)
    yield from wait_duration(fault)
    yield from context.control.order_list("late", late_ms=context.scenario.list_late_ms)


def list_empty(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Serve an empty list."""
    yield from _send_wrong_list(context, fault, kind="empty")


def list_back(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Serve the list of ``size`` seconds ago."""
    yield from _send_wrong_list(context, fault, kind="back", back_ms=fault.size * 1000.0)


def list_gone(context: FaultContext, fault: Fault, number: int) -> Co[None]:
    """Leave a share ``part`` of the machines out of the list."""
    yield from _send_wrong_list(context, fault, kind="gone", machines=context.pick_machines(fault, number))


DISCOVERY_FAULTS: dict[str, FaultFunction] = {
    "discovery_down": list_down,
    "discovery_stale": list_stale,
    "list_empty": list_empty,
    "list_back": list_back,
    "list_gone": list_gone,
}
