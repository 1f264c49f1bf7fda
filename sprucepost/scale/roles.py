"""Roles of processes in a fleet: the modules that implement each, and the samples that measure it."""

from __future__ import annotations

from msgspec import Struct


class Role(Struct, frozen=True):
    """A role, shown as a row of the capacity page."""

    key: str
    name: str
    samples: str
    """Role of the samples in the results that measure it; empty if it is not measured."""
    figures: tuple[str, str, str, str]
    """Its figures of processor time, memory, bytes and messages per second; empty if not measured separately."""
    mechanism: tuple[str, ...]
    """Modules that implement it."""
    judged: bool = False
    """Whether the plan's budgets for a placer apply to it."""
    note: str = ""
    """Reason for a missing figure."""


_WHOLE = ("cpu_percent", "memory_mib", "bytes_per_s", "")

ROLES = (
    Role(
        "placer", "placer, gRPC front", "placer", _WHOLE,
        ("placer.engine", "placing", "admission", "scheduler", "placer.links", "placer.discovery"), True,
    ),
    Role(
        "node", "placer, platform's front", "node", _WHOLE,
        ("node", "placing.scheduler_driver", "placing.ledger", "scheduler"), True,
    ),
    Role(
        "view", "member of the view", "placer", ("cpu_percent.peers", "", "bytes_per_s.peers", "messages_per_s"),
        ("view", "peers", "placer.fleet_membership"), note="part of the gRPC placer",
    ),
    Role(
        "log", "server of the replicated log", "", ("", "", "", ""),
        ("agreement.server", "agreement.registry"), note="in no process yet",
    ),
    Role(
        "list", "server of the list", "list", _WHOLE, ("placer.discovery", "node.feed"),
        note="a stand-in, as placers load it",
    ),
    Role("worker", "worker's agent", "worker", _WHOLE, ("placer.links", "node.hosts"), note="users' own program"),
    Role("client", "client", "client", _WHOLE, ("placer.owners", "node.owners"), note="users' own program"),
    Role("operator", "operator's command", "operator", _WHOLE, ("cli.fleet", "cli.members", "placer.pages")),
    Role(
        "sender", "sender of configuration", "sender", _WHOLE, ("settings.reload", "placer.daemon"),
        note="a file and a SIGHUP for each process",
    ),
)  # fmt: skip
"""All roles, in the order of the page."""
