"""Settings of a single placer, in addition to those of its deployment.

Docstrings and descriptions of the Structs are part of the published JSON schema.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from sprucepost.membership import Generation
from sprucepost.settings.cluster import Cluster, Count, NotNegative, Positive

Endpoint = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$", description="IPv4 address and port")]


class Limits(Struct, forbid_unknown_fields=True, frozen=True):
    """What peers may cost."""

    open_tasks: Annotated[Count, Meta(description="tasks without an outcome at most")] = 20_000
    lag_ms: Annotated[Positive, Meta(description="what one turn of the event loop may give to asks")] = 50.0
    connections: Count = 4096
    message_bytes: Annotated[int, Meta(ge=1024)] = 1_048_576
    unacknowledged: Annotated[Count, Meta(description="frames kept for an owner that acknowledges nothing")] = 50_000
    sessions: Annotated[Count, Meta(description="owners' sessions kept, with or without a stream")] = 10_000
    sessions_per_peer: Annotated[Count, Meta(description="of those, of one remote host; a proxy is one")] = 5_000
    dials: Annotated[Count, Meta(description="connection attempts to machines at a time")] = 32


class GenerationOptions(Struct, forbid_unknown_fields=True, frozen=True):
    """A change of ``instances``, as docs/fleet.md describes it. Without it the size has always been what it is."""

    number: Annotated[int, Meta(ge=0)] = 0
    previous_instances: Annotated[int | None, Meta(description="the size before; the change is on while both run")] = (
        None
    )
    begins_ms: Annotated[float, Meta(ge=0, description="wall clock, when all that were announced it change seats")] = (
        0.0
    )
    overlap_ms: Annotated[float, Meta(ge=0, description="the change is over so long after begins_ms")] = 0.0
    announced: Annotated[bool, Meta(description="every placer of the old size knows of it before begins_ms")] = False
    rollback: Annotated[bool, Meta(description="takes back a change from instances that was not over")] = False


class Log(Struct, forbid_unknown_fields=True, frozen=True):
    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["json", "console"] = "json"


class ConfigurationOptions(Struct, forbid_unknown_fields=True, frozen=True):
    """The deployment's configuration, changed at any placer and in force at all (docs/configuration.md)."""

    horizon_ms: Annotated[
        Positive, Meta(description="placers cut off from each other for less lose no change; the same at all")
    ] = 7_200_000.0
    takes_changes: Annotated[bool, Meta(description="operators may propose changes at this placer's gRPC port")] = True


class PeerOptions(Struct, forbid_unknown_fields=True, frozen=True):
    """Whom to ask for the fleet's own view (docs/view.md)."""

    cluster: Annotated[str, Meta(min_length=1, max_length=64, description="fleets of other names are never joined")]
    seeds: Annotated[list[Endpoint], Meta(description="gRPC ports of some placers; any one that lives serves")]
    advertise: Annotated[
        str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$", description="where others dial; empty: listen")
    ] = ""
    name: Annotated[str, Meta(max_length=64, description="the same after a restart; empty: from the number")] = ""
    host: Annotated[str, Meta(max_length=64, description="what fails together; empty: the listening address")] = ""
    room: Annotated[str, Meta(max_length=64, description="empty: the zone")] = ""
    configuration: Annotated[
        ConfigurationOptions | None, Meta(description="carry changes of the deployment's configuration; null: off")
    ] = None


class PlacerOptions(Struct, forbid_unknown_fields=True, frozen=True):
    instances: Annotated[Count, Meta(description="how many placers there are")]
    zone: str
    list: Annotated[Endpoint, Meta(description="where the list of machines is served")]
    number: Annotated[int, Meta(ge=-1, description="among the placers, from 0; -1: number_env or slots tells")] = -1
    number_env: Annotated[str | None, Meta(description="environment variable that holds or ends in the number")] = None
    slots: Annotated[str | None, Meta(description="directory in which placers of this host take numbers")] = None
    listen: Endpoint = "127.0.0.1:0"
    http: Annotated[Endpoint, Meta(description="health, readiness and metrics")] = "127.0.0.1:0"
    source: Annotated[str | None, Meta(description="local address of outgoing connections")] = None
    generation: GenerationOptions = GenerationOptions()
    answer_margin_ms: Annotated[
        Positive, Meta(description="an answer goes out this long before its owner gives up")
    ] = 50.0
    resume_ms: Annotated[Positive, Meta(description="how long a session is kept once its stream has broken")] = 30_000.0
    stop_ms: Annotated[
        NotNegative | None,
        Meta(description="time to settle open tasks at SIGTERM; null: until their owners' deadlines"),
    ] = None
    clock_slew: Annotated[float, Meta(ge=0, lt=1, description="most that a stepped clock is followed by")] = 0.05
    peers: Annotated[PeerOptions | None, Meta(description="keep a view of the fleet; null: off")] = None
    limits: Limits = Limits()
    log: Log = Log()
    seed: int | None = None


class PlacerFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The file that ``sprucepost placer`` reads."""

    cluster: Cluster
    placer: PlacerOptions

    def generation(self) -> Generation:
        """Return the generation settings as the membership package takes them."""
        options = self.placer.generation
        return Generation(
            options.number,
            self.placer.instances,
            options.previous_instances,
            options.begins_ms,
            options.overlap_ms,
            options.announced,
            options.rollback,
        )

    def problems(self) -> list[str]:
        """Return one line for each invalid value or combination, beginning with the path of its key."""
        found = [f"cluster.{line}" for line in self.cluster.problems()]
        if self.placer.zone not in self.cluster.zones:
            found.append(f"placer.zone: {self.placer.zone!r} is none of cluster.zones")
        number, generation = self.placer.number, self.placer.generation
        largest_size = max(self.placer.instances, generation.previous_instances or 0)
        if number >= largest_size:
            found.append("placer.number: must be below placer.instances")
        number_sources = (number >= 0) + (self.placer.number_env is not None) + (self.placer.slots is not None)
        if number_sources != 1:
            found.append("placer.number: one of number, number_env and slots must be given")
        found += [f"placer.generation.{line}" for line in self.generation().problems()]
        for n, cls in enumerate(self.cluster.classes):
            if self.placer.answer_margin_ms * 2 > cls.deadline_ms:
                found.append(f"placer.answer_margin_ms: more than half of cluster.classes[{n}].deadline_ms")
        for key in ("list", "listen", "http"):
            host, _, port = getattr(self.placer, key).rpartition(":")
            if int(port) > 65_535 or any(int(part) > 255 for part in host.split(".")):
                found.append(f"placer.{key}: not an address")
        return found
