"""What a hollow process reads and what it announces, as typed messages."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from sprucepost.settings import Cluster


class MemberSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """One hollow member of the view."""

    number: int
    host: str
    room: str


class MembersFile(Struct, frozen=True, forbid_unknown_fields=True, tag="members"):
    """Hollow placers of one process."""

    cluster: Cluster
    fleet: str
    """Name of the fleet, as in ``placer.peers.cluster``."""
    instances: int
    members: list[MemberSpec]
    list_address: str = ""
    """Where the list of machines is watched; empty: not at all."""


class WorkersFile(Struct, frozen=True, forbid_unknown_fields=True, tag="workers"):
    """Hollow workers of one process."""

    cluster: Cluster
    list_address: str
    workers: list[dict[str, Any]]
    """Fields of :class:`~sprucepost.standin.machine_types.MachineModel`."""


class ClientsFile(Struct, frozen=True, forbid_unknown_fields=True, tag="clients"):
    """Hollow clients of one process."""

    cluster: Cluster
    placers: list[str]
    """Each team has a session at each of them."""
    shares: dict[str, float]
    """By team, of all that is asked for; they add up to 1."""
    asks_per_s: float
    """At all of these placers together, once asking is on."""
    life_ms: float


class HostSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """One host of the platform."""

    name: str
    zone: str
    rack: int


class PlatformFile(Struct, frozen=True, forbid_unknown_fields=True, tag="platform"):
    """Hosts, bulletin and owners around real nodes."""

    cluster: Cluster
    hosts: list[HostSpec]
    shares: dict[str, float]
    """By team, of all that is asked for; they add up to 1."""


HollowFile = MembersFile | WorkersFile | ClientsFile | PlatformFile


class Announcement(Struct, frozen=True):
    """The first line of a hollow process."""

    control: str
    """Where it takes orders."""
    addresses: list[str] = []
    """Of its workers, in their order; of a platform, its bulletin and its hosts."""
    members: list[KnownMember] = []


class KnownMember(Struct, frozen=True):
    """What hollow members are told of a member, hollow or real, by the order ``join``."""

    number: int
    host: str
    room: str
    incarnation: int
    life: str
    address: str
    real: bool = False


class MembersStatus(Struct, frozen=True):
    """What the order ``status`` tells of hollow members."""

    members: int
    unconnected: int
    """Streams that are wanted and not there yet."""
    here_least: int
    """Members that are reachable, in the view that shows the fewest."""
    settled_ms: float
    """Since any of the views last changed."""


class PlacerAnnouncement(Struct, frozen=True):
    """The first line of a real placer; more fields are passed over."""

    listen: str
    http: str
