"""The roles of processes in a fleet: what each holds, which modules carry that, and which samples measure it."""

from __future__ import annotations

from msgspec import Struct


class Role(Struct, frozen=True):
    """A row of the capacity page."""

    key: str
    name: str
    samples: str
    """Role of the samples in results that measure it; empty: none does."""
    figures: tuple[str, str, str, str]
    """What counts as its processor time, memory, bytes and messages a second; empty: not told apart."""
    mechanism: tuple[str, ...]
    """Modules that carry it."""
    judged: bool = False
    """Whether the plan's budgets of a placer are for it."""
    note: str = ""
    """Why something is missing."""


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
"""Every role of the page, in its order."""
