"""Typed messages: the settings that a hollow process reads and the line that it announces."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from sprucepost.settings import Cluster


class MemberSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one hollow member of the view."""

    number: int
    host: str
    room: str


class MembersFile(Struct, frozen=True, forbid_unknown_fields=True, tag="members"):
    """Settings of one process of hollow placers."""

    cluster: Cluster
    fleet: str
    """Name of the fleet, as in ``placer.peers.cluster``."""
    instances: int
    members: list[MemberSpec]
    list_address: str = ""
    """Address of the server of the list; empty: the list is not watched."""


class WorkersFile(Struct, frozen=True, forbid_unknown_fields=True, tag="workers"):
    """Settings of one process of hollow workers."""

    cluster: Cluster
    list_address: str
    workers: list[dict[str, Any]]
    """Fields of :class:`~sprucepost.standin.machine_types.MachineModel`."""


class ClientsFile(Struct, frozen=True, forbid_unknown_fields=True, tag="clients"):
    """Settings of one process of hollow clients."""

    cluster: Cluster
    placers: list[str]
    """Addresses; each team has a session at each of them."""
    shares: dict[str, float]
    """Share of all submissions by team; they add up to 1."""
    asks_per_s: float
    """Submissions per second at all of these placers together, from the order ``ask`` on."""
    life_ms: float


class HostSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one host of the platform."""

    name: str
    zone: str
    rack: int


class PlatformFile(Struct, frozen=True, forbid_unknown_fields=True, tag="platform"):
    """Settings of the hosts, the bulletin and the owners for real nodes."""

    cluster: Cluster
    hosts: list[HostSpec]
    shares: dict[str, float]
    """Share of all set-ups by team; they add up to 1."""


HollowFile = MembersFile | WorkersFile | ClientsFile | PlatformFile


class Announcement(Struct, frozen=True):
    """The first line of output of a hollow process."""

    control: str
    """Address at which the process takes orders."""
    addresses: list[str] = []
    """Addresses of the workers, in their order; for a platform, of the bulletin and then of the hosts."""
    members: list[KnownMember] = []


class KnownMember(Struct, frozen=True):
    """What the order ``join`` passes to hollow members about a member, hollow or real."""

    number: int
    host: str
    room: str
    incarnation: int
    life: str
    address: str
    real: bool = False


class MembersStatus(Struct, frozen=True):
    """What the order ``status`` reports of hollow members."""

    members: int
    unconnected: int
    """Streams that are wanted but not connected yet."""
    here_least: int
    """Number of reachable members in the view that has the fewest."""
    settled_ms: float
    """Time since any of the views last changed, in ms."""


class PlacerAnnouncement(Struct, frozen=True):
    """The first line of output of a real placer; other fields are ignored."""

    listen: str
    http: str
