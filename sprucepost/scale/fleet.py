"""The processes of one run: a few real placers among hollow members, workers and clients, on loopback.

Reference placers run beside the loaded ones and separate the kinds of work (:mod:`sprucepost.scale.sources`).
"""

from __future__ import annotations

import signal
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgspec

from sprucepost.loop import TimedOut, in_scope
from sprucepost.loop.epoll import EpollLoop
from sprucepost.placer.daemon import format_address, parse_address
from sprucepost.scale import deployment
from sprucepost.scale.hollow.members import member_name
from sprucepost.scale.hollow.platform import node_settings
from sprucepost.scale.hollow.settings import (
    Announcement,
    ClientsFile,
    HollowFile,
    HostSpec,
    KnownMember,
    MembersFile,
    MemberSpec,
    MembersStatus,
    PlacerAnnouncement,
    PlatformFile,
    WorkersFile,
)
from sprucepost.scale.listening import free_address
from sprucepost.scale.measure import read_members, read_metrics
from sprucepost.scale.processes import Needs, Process, ProcessGroup, ScaleError
from sprucepost.scale.size import RunSize
from sprucepost.scale.sources import ALL_SOURCES, REFERENCES, Source
from sprucepost.settings import PeerOptions, PlacerFile, PlacerOptions
from sprucepost.settings.placer import Limits as PlacerLimits
from sprucepost.standin.orders import send_order
from sprucepost.view.rings import ring_count
from sprucepost.wire.client import open_client
from sprucepost.wire.status import RpcError

T = TypeVar("T")
Steps = Generator[str, None, T]
"""Yields a description of what it waits for until that is done."""

HOLLOW_COMMAND = ["-m", "sprucepost.scale.hollow"]
LIST_LINES_PER_S = 1e9  # the capacity of the simulated list server is not part of what is measured
LIST_LATE_MS = 200.0
VIEW_QUIET_MS = 11_000.0
"""Unchanged for so long, a view sends heartbeats at its idle rate (``view.FREQUENT_HEARTBEATS_MS`` and a tick)."""
REAL_PROCESS_MIB, HOLLOW_PROCESS_MIB = 70.0, 45.0
MEMBER_MIB, WORKER_MIB, SESSION_MIB = 0.8, 0.05, 0.1
PLACERS_PER_HOST = 2
"""Number of placers on a host."""


class NoAnswer(ScaleError):
    """A hollow process did not answer an order."""


@dataclass(frozen=True)
class FleetOptions:
    """Options of a run, the same for all of its sizes."""

    real_placers: int = 3
    hollow: bool = True
    """Whether most placers are hollow; if not, all are real ones, for calibration."""
    references: bool = True
    nodes: int = 2
    """Number of real placers on the platform's front, with their own hosts, bulletin and owners; 0: none."""
    lists_watched: bool = True
    """Whether hollow placers watch the list, which loads the list's server but not the other placers."""
    members_per_process: int = 60
    workers_per_process: int = 250


@dataclass
class RealPlacer:
    """A real placer, which is measured; it is a reference if it lacks a source of load."""

    name: str
    number: int
    sources: frozenset[Source]
    file: PlacerFile
    process: Process
    address: str = ""
    http: str = ""

    @property
    def is_reference(self) -> bool:
        """Whether the placer lacks a source of load."""
        return self.sources != ALL_SOURCES


@dataclass
class RealNode:
    """A real placer on the platform's front."""

    name: str
    process: Process
    address: str


@dataclass
class HollowProcess:
    """A hollow process and its announcement, with the address at which it takes orders."""

    process: Process
    announcement: Announcement = field(default_factory=lambda: Announcement(""))


class Fleet:
    """All processes of one run. The caller steps :meth:`bring_up` until it ends; then the fleet is settled."""

    def __init__(self, group: ProcessGroup, loop: EpollLoop, name: str, size: RunSize, options: FleetOptions) -> None:
        self.size, self.options, self.name = size, options, name
        self.cluster = deployment.cluster(size)
        self._group, self._loop, self._rng = group, loop, loop.rng()
        self._zones = deployment.zone_names(size)
        self.list: Process
        self.list_address = ""
        self.workers: list[HollowProcess] = []
        self.members: list[HollowProcess] = []
        self.clients: list[HollowProcess] = []
        self.placers: list[RealPlacer] = []
        self.platform: HollowProcess | None = None
        self.nodes: list[RealNode] = []

    # Sizes

    @property
    def real_count(self) -> int:
        """Number of real placers with every source of load."""
        if not self.options.hollow:
            return self.size.placers - self._member_references
        return min(self.options.real_placers, self.size.placers - self._member_references)

    @property
    def _member_references(self) -> int:
        if not self.options.references:
            return 0
        return sum(Source.PEERS in sources for sources in REFERENCES.values())

    @property
    def _real_share(self) -> float:
        """Share of the fleet's tasks that belongs to real placers with every source of load."""
        return self.real_count / self.size.placers

    def needs(self) -> Needs:
        """Estimate of the resources that this fleet takes, rather too high than too low."""
        size, options = self.size, self.options
        references = len(REFERENCES) if options.references else 0
        real = self.real_count + references
        hollow = size.placers - self.real_count - self._member_references
        streams = 2 * ring_count(size.placers) + 2
        sessions = size.teams * (self.real_count + 1)
        member_processes = _processes_for(hollow, options.members_per_process)
        worker_processes = _processes_for(size.workers, options.workers_per_process)
        per_members, per_workers = (
            min(hollow, options.members_per_process),
            min(size.workers, options.workers_per_process),
        )
        return Needs(
            processes=1 + real + member_processes + worker_processes + 2 + options.nodes + bool(options.nodes),
            descriptors=max(
                streams + size.workers + size.teams,
                per_members * (streams + 2),
                per_workers * (real + 1),
                sessions,
                size.placers + references if options.lists_watched else real,
                2 * size.workers + 4 * size.teams if options.nodes else 0,
                options.nodes * (size.workers + size.teams) + size.workers if options.nodes else 0,
            )
            + 64,
            ports=2 * real + hollow + size.workers + 16 + max(sessions, hollow * streams, size.workers * real),
            memory_mib=REAL_PROCESS_MIB * (real + options.nodes)
            + HOLLOW_PROCESS_MIB * (member_processes + worker_processes + 3)
            + MEMBER_MIB * hollow
            + WORKER_MIB * size.workers * real
            + SESSION_MIB * sessions,
        )

    @property
    def processes(self) -> list[Process]:
        """All processes of this fleet."""
        return [process for process in self._group.processes if process.name.startswith(f"{self.name}-")]

    def check_running(self) -> None:
        """Raise ScaleError if one of the processes has ended by itself."""
        for process in self.processes:
            if not process.running:
                raise ScaleError(f"{process.name} has ended: {process.log_tail()}")

    # Start

    def bring_up(self) -> Steps[None]:
        """Start all processes and load; yields what it waits for until the fleet is settled.

        Raises ScaleError if a process ends.
        """
        yield from self._start_list()
        yield from self._start_workers()
        yield from self._start_placers()
        yield from self._start_members()
        yield from self._start_clients()
        yield from self._start_nodes()
        yield from self._until_attached()
        self._start_tasks()
        yield from self._until_settled()

    def _announced(self, process: Process, kind: type[T]) -> Steps[T]:
        while (announced := process.announcement(kind)) is None:
            yield f"start of {process.name}"
        return announced

    def _start_hollow(self, name: str, file: HollowFile) -> HollowProcess:
        return HollowProcess(self._group.start_with_file(f"{self.name}-{name}", HOLLOW_COMMAND, file))

    def _all_announced(self, hollow: Sequence[HollowProcess]) -> Steps[None]:
        for each in hollow:
            each.announcement = yield from self._announced(each.process, Announcement)

    def _start_list(self) -> Steps[None]:
        file = {"late_ms": LIST_LATE_MS, "lines_per_s": LIST_LINES_PER_S}
        self.list = self._group.start_with_file(f"{self.name}-list", ["-m", "sprucepost", "list"], file)
        announced = yield from self._announced(self.list, dict[str, int])
        self.list_address = f"127.0.0.1:{announced['listen']}"

    def _start_workers(self) -> Steps[None]:
        models = deployment.worker_models(self.size)
        for number, part in enumerate(_chunks(models, self.options.workers_per_process)):
            file = WorkersFile(self.cluster, self.list_address, part)
            self.workers.append(self._start_hollow(f"workers{number}", file))
        yield from self._all_announced(self.workers)

    def _location(self, number: int) -> tuple[str, str]:
        """Host and room (failure domain) of a placer."""
        return f"host{number // PLACERS_PER_HOST}", self._zones[number % len(self._zones)]

    def _start_members(self) -> Steps[None]:
        """Start hollow members, which know each other and the real members."""
        first = self.real_count + self._member_references
        specs = [MemberSpec(number, *self._location(number)) for number in range(first, self.size.placers)]
        if not specs:
            return
        lists = self.list_address if self.options.lists_watched else ""
        for number, part in enumerate(_chunks(specs, self.options.members_per_process)):
            file = MembersFile(self.cluster, self.name, self.size.placers, part, lists)
            self.members.append(self._start_hollow(f"members{number}", file))
        yield from self._all_announced(self.members)
        fleet = [known_member(placer) for placer in self.placers if Source.PEERS in placer.sources]
        fleet += [member for hollow in self.members for member in hollow.announcement.members]
        for hollow in self.members:
            self.send_order(hollow, "join", fleet=msgspec.to_builtins(fleet))
        yield from self._until_members(lambda status: status.unconnected == 0, "streams are missing")
        for hollow in self.members:
            self.send_order(hollow, "begin")

    def _until_members(self, done: Callable[[MembersStatus], bool], text: str) -> Steps[None]:
        for hollow in self.members:
            while True:
                try:
                    status = msgspec.convert(self.send_order(hollow, "status"), MembersStatus)
                except NoAnswer as error:
                    yield str(error)
                    continue
                if done(status):
                    break
                yield f"{hollow.process.name}: {text}, {status.unconnected} unconnected, {status.here_least} members seen"

    def _start_placers(self) -> Steps[None]:
        wanted = [(f"placer{number}", ALL_SOURCES) for number in range(self.real_count)]
        if self.options.references:
            # Members of the view have numbers below its size, the other references numbers from its size on.
            found = sorted(REFERENCES.items(), key=lambda item: Source.PEERS not in item[1])
            wanted += [(f"reference-{name}", sources) for name, sources in found]
        seeds: list[str] = []
        for position, (name, sources) in enumerate(wanted):
            outside = self.size.placers - self.real_count - self._member_references
            number = position if Source.PEERS in sources else position + outside
            self._start_placer(name, number, sources, seeds)
            if not seeds:
                yield from self._placer_announced(self.placers[-1])
                seeds = [self.placers[-1].address]
        for placer in self.placers:
            yield from self._placer_announced(placer)

    def _start_placer(self, name: str, number: int, sources: frozenset[Source], seeds: list[str]) -> None:
        host, room = self._location(number)
        peers = PeerOptions(cluster=self.name, seeds=seeds, name=member_name(number), host=host, room=room)
        options = PlacerOptions(
            instances=self.size.placers if Source.PEERS in sources else self.size.placers + len(REFERENCES),
            zone=room,
            list=self.list_address if Source.LIST in sources else "127.0.0.1:1",
            number=number,
            peers=peers if Source.PEERS in sources else None,
        )
        file = PlacerFile(self.cluster, options)
        process = self._group.start_with_file(f"{self.name}-{name}", ["-m", "sprucepost", "placer"], file)
        self.placers.append(RealPlacer(name, number, sources, file, process))

    def _placer_announced(self, placer: RealPlacer) -> Steps[None]:
        announced = yield from self._announced(placer.process, PlacerAnnouncement)
        placer.address, placer.http = announced.listen, announced.http

    def _start_clients(self) -> Steps[None]:
        with_requests = [placer.address for placer in self.placers if Source.ASKS in placer.sources]
        without_requests = [
            p.address for p in self.placers if Source.CLIENTS in p.sources and Source.ASKS not in p.sources
        ]
        shares = deployment.team_shares(self.size.teams)
        for name, addresses in (("clients", with_requests), ("silent-clients", without_requests)):
            if addresses:
                requests_per_s = self.size.starts_per_s * self._real_share if addresses is with_requests else 0.0
                file = ClientsFile(self.cluster, addresses, shares, requests_per_s, 1000.0 * self.size.life_s)
                self.clients.append(self._start_hollow(name, file))
        yield from self._all_announced(self.clients)

    def _start_nodes(self) -> Steps[None]:
        if not self.options.nodes:
            return
        models = deployment.worker_models(self.size)
        hosts = [HostSpec(model["name"], model["zone"], n // deployment.RACK_WORKERS) for n, model in enumerate(models)]
        file = PlatformFile(self.cluster, hosts, deployment.team_shares(self.size.teams))
        self.platform = self._start_hollow("platform", file)
        yield from self._all_announced([self.platform])
        bulletin = self.platform.announcement.addresses[0]
        for number in range(self.options.nodes):
            self._start_node(number, file, bulletin)
        for node in self.nodes:
            yield from self._announced(node.process, dict[str, Any])

    def _start_node(self, number: int, file: PlatformFile, bulletin: str) -> None:
        address = format_address(free_address(self._loop))
        name, path = f"node{number}", self._group.folder / f"{self.name}-node{number}.json"
        configuration = {
            "name": name,
            "listen": address,
            "seed": f"{number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64 + 2 * self.size.workers + 4 * self.size.teams},
            "bulletin": bulletin,
            "known": {"no": 0, "items": []},
            "settings": node_settings(file, number, max(self.size.placers, self.options.nodes)),
        }
        path.write_bytes(msgspec.json.encode(configuration))
        environment = {"BALANCER_CONFIG": str(path)}
        process = self._group.start(f"{self.name}-{name}", ["-m", "sprucepost", "node"], environment)
        self.nodes.append(RealNode(name, process, address))

    # Waiting until the fleet is settled

    def _until_attached(self) -> Steps[None]:
        """Wait until each real placer has a stream to each worker, and each client has its sessions."""
        for placer in self.placers:
            while Source.LIST in placer.sources and self._gauge(placer, "machines_attached") < self.size.workers:
                yield f"{placer.name}: streams to {self.size.workers} workers"
        for hollow in self.clients:
            while True:
                status = self.send_order(hollow, "status")
                if status["up"] == status["sessions"]:
                    break
                yield f"{hollow.process.name}: {status['up']} of {status['sessions']} sessions"

    def _until_settled(self) -> Steps[None]:
        """Wait until all views show the whole fleet and have not changed for :data:`VIEW_QUIET_MS`."""
        yield from self._until_members(
            lambda status: status.here_least == self.size.placers, "views do not show all members"
        )
        for placer in self.placers:
            if Source.PEERS not in placer.sources:
                continue
            while True:
                metrics = read_metrics(placer.http)
                here, quiet = metrics["sprucepost_view_here"], metrics["sprucepost_view_settled_ms"]
                if here == self.size.placers and quiet >= VIEW_QUIET_MS:
                    break
                yield f"{placer.name}: sees {here:.0f} of {self.size.placers} placers, quiet for {quiet / 1000:.0f} s"

    def _gauge(self, placer: RealPlacer, name: str) -> float:
        return read_metrics(placer.http)[f"sprucepost_{name}"]

    # Load

    def _start_tasks(self) -> None:
        """Start tasks: those of real placers through their clients, those of hollow placers within the workers."""
        size = self.size
        if not size.starts_per_s:
            return
        hollow_share = 1.0 - self._real_share
        workers_total = sum(len(hollow.announcement.addresses) for hollow in self.workers)
        for hollow in self.workers:
            share = hollow_share * len(hollow.announcement.addresses) / workers_total
            self.send_order(
                hollow,
                "tasks",
                starts_per_s=size.starts_per_s * share,
                running=round(size.running_tasks * share),
                life_ms=1000.0 * size.life_s,
            )
        self.send_order(self.clients[0], "ask", running=round(size.running_tasks * self._real_share))
        if self.platform is not None:
            share = len(self.nodes) / max(size.placers, len(self.nodes))
            self.send_order(
                self.platform,
                "begin",
                nodes=[node.address for node in self.nodes],
                asks_per_s=size.starts_per_s * share,
                running=round(size.running_tasks * share),
                hollow_per_s=size.starts_per_s * (1.0 - share),
                hollow_running=round(size.running_tasks * (1.0 - share)),
                life_ms=1000.0 * size.life_s,
            )

    def restart_worker(self) -> None:
        """Restart a worker drawn from the whole fleet: it is down for a while and comes back without tasks."""
        sizes = [len(hollow.announcement.addresses) for hollow in self.workers]
        self.send_order(self._rng.choices(self.workers, sizes)[0], "restart")

    def change_configuration(self, version: int) -> None:
        """Give every loaded placer another value of a changeable setting, by a file and a SIGHUP."""
        for placer in self.placers:
            if placer.is_reference:
                continue
            limits = PlacerLimits(open_tasks=PlacerLimits().open_tasks + version)
            options = msgspec.structs.replace(placer.file.placer, limits=limits)
            path = self._group.folder / f"{placer.process.name}.json"
            new_path = path.with_suffix(".new")
            new_path.write_bytes(msgspec.json.encode(PlacerFile(placer.file.cluster, options)))
            new_path.replace(path)
            placer.process.signal(signal.SIGHUP)

    def send_order(self, hollow: HollowProcess, order_name: str, **arguments: Any) -> Any:
        """Send an order to a hollow process. Returns its result, raises NoAnswer."""

        def send() -> Any:
            connection = yield from open_client(self._loop, parse_address(hollow.announcement.control))
            try:
                return (yield from send_order(connection, order_name, **arguments))
            finally:
                connection.close()

        try:
            return self._loop.run(lambda: in_scope(lambda scope: send()))
        except (OSError, RpcError, TimedOut) as error:
            raise NoAnswer(
                f"{hollow.process.name}: no answer to {order_name!r}: {error or type(error).__name__}"
            ) from None


def known_member(placer: RealPlacer) -> KnownMember:
    """What the view of a real placer publishes about the placer itself."""
    own = next(member for member in read_members(placer.http) if member["number"] == placer.number)
    return KnownMember(
        own["number"], own["host"], own["room"], own["incarnation"], own["life"], own["address"], real=True
    )


def _chunks(items: Sequence[Any], most: int) -> list[list[Any]]:
    return [list(items[at : at + most]) for at in range(0, len(items), most)]


def _processes_for(items: int, most: int) -> int:
    return -(-items // most)
