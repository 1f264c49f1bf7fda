"""Simulated peers as processes: each binds, announces its ports in one JSON line and takes orders until it is
stopped."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable
from typing import Annotated, Any

from msgspec import Meta, Struct

from sprucepost.loop import Address, Co, Loop, Scope, sleep
from sprucepost.settings import Cluster
from sprucepost.standin.list_service import ListService
from sprucepost.standin.machine_types import MachineModel
from sprucepost.standin.machines import MachinePool, class_models
from sprucepost.standin.orders import OrderService
from sprucepost.standin.owners import Owners, Service
from sprucepost.standin.recording_proxy import RecordingProxy
from sprucepost.wire.capture import CaptureWriter
from sprucepost.wire.server import Method, Server

AnnounceFunction = Callable[[str], None]


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class MachineFile(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of ``sprucepost machine``: the machines of one process, which share key groups."""

    cluster: Cluster
    report_to: Annotated[str, Meta(description="the list's address")]
    machines: list[dict[str, Any]] = []
    manners: dict[str, dict[str, Any]] = {}
    control: str = "127.0.0.1:0"
    seed: int | None = None

    def problems(self) -> list[str]:
        """Return what is wrong with the settings, one line each."""
        found = [f"cluster.{line}" for line in self.cluster.problems()]
        for n, model in enumerate(self.machines):
            try:
                MachineModel(**model)
            except TypeError as error:
                found.append(f"machines[{n}]: {str(error).removeprefix('MachineModel.__init__() ')}")
        return found


class ListFile(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of ``sprucepost list``."""

    listen: str = "127.0.0.1:0"
    late_ms: float = 800.0
    lines_per_s: float = 20_000.0
    call_wait_ms: float = 2000.0

    def problems(self) -> list[str]:
        """Return what is wrong with the settings, one line each."""
        return []


class OwnerFile(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of ``sprucepost owner watch``: services whose tasks are submitted at a rate."""

    cluster: Cluster
    placers: Annotated[list[str], Meta(min_length=1)]
    services: Annotated[list[dict[str, Any]], Meta(min_length=1)]
    rate_per_s: Annotated[float, Meta(ge=0)]
    wanted_ms: float = 60_000.0
    again_ms: float = 1200.0
    source: str | None = None
    control: str = "127.0.0.1:0"
    seed: int | None = None

    def problems(self) -> list[str]:
        """Return what is wrong with the settings, one line each."""
        found = [f"cluster.{line}" for line in self.cluster.problems()]
        names = {cls.name for cls in self.cluster.classes}
        for n, raw in enumerate(self.services):
            try:
                service = Service(**raw)
            except TypeError as error:
                found.append(f"services[{n}]: {str(error).removeprefix('Service.__init__() ')}")
                continue
            if service.task_class not in names:
                found.append(f"services[{n}].task_class: no class is named {service.task_class!r}")
        return found


class ProxyFile(Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of ``sprucepost tap``, the recording proxy."""

    capture: str | None = None
    control: str = "127.0.0.1:0"

    def problems(self) -> list[str]:
        """Return what is wrong with the settings, one line each."""
        return []


def wait_for_stop_signal(loop: Loop, scope: Scope) -> Co[int]:
    """Wait for SIGTERM or SIGINT, cancel the scope and return the exit status."""
    stopped: list[bool] = []
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.on_signal(number, lambda: stopped.append(True))
    while not stopped:
        yield from sleep(50.0)
    scope.cancel()
    return 0


def serve_orders(
    loop: Loop, scope: Scope, orders: OrderService, address_text: str, extra_methods: dict[str, Method] | None = None
) -> int:
    """Serve orders and ``extra_methods`` at an address, and return the port that was bound."""
    address = Server(loop, scope, {**orders.methods(), **(extra_methods or {})}).listen(parse_address(address_text))
    assert isinstance(address, tuple)
    return address[1]


def run_machines(loop: Loop, scope: Scope, file: MachineFile, announce: AnnounceFunction) -> Co[int]:
    """Run simulated machines until stopped."""
    pool = MachinePool(
        loop, scope, file.cluster, class_models(file.cluster, file.manners), parse_address(file.report_to)
    )
    scope.spawn(pool.report(), "reports")
    ports = {}
    for raw in file.machines:
        host = pool.add(MachineModel(**raw))
        assert isinstance(host.address, tuple)
        ports[raw["name"]] = host.address[1]
        host.listed_address = f"{host.address[0]}:{host.address[1]}"
        pool.mark_changed(host)
    announce(json.dumps({"control": serve_orders(loop, scope, pool.orders(), file.control), "machines": ports}))
    return (yield from wait_for_stop_signal(loop, scope))


def run_list(loop: Loop, scope: Scope, file: ListFile, announce: AnnounceFunction) -> Co[int]:
    """Run the list service until stopped."""
    service = ListService(loop, file.late_ms, file.lines_per_s, file.call_wait_ms)
    port = serve_orders(loop, scope, service.orders(), file.listen, service.methods())
    announce(json.dumps({"listen": port, "control": port}))
    return (yield from wait_for_stop_signal(loop, scope))


def run_owners(loop: Loop, scope: Scope, file: OwnerFile, announce: AnnounceFunction) -> Co[int]:
    """Run simulated owners until stopped."""
    service = Owners(
        loop,
        scope,
        file.cluster,
        [Service(**raw) for raw in file.services],
        [parse_address(text) for text in file.placers],
        file.rate_per_s,
        file.wanted_ms,
        file.again_ms,
        file.source,
    )
    scope.spawn(service.run(), "asking")
    announce(json.dumps({"control": serve_orders(loop, scope, service.orders(), file.control)}))
    return (yield from wait_for_stop_signal(loop, scope))


def run_proxy(loop: Loop, scope: Scope, file: ProxyFile, announce: AnnounceFunction) -> Co[int]:
    """Run the recording proxy until stopped."""
    if file.capture is None:
        proxy = RecordingProxy(loop)
        announce(json.dumps({"control": serve_orders(loop, scope, proxy.orders(), file.control)}))
        return (yield from wait_for_stop_signal(loop, scope))
    with open(file.capture, "wb", buffering=1 << 20) as out:
        proxy = RecordingProxy(loop, CaptureWriter(out.write))
        announce(json.dumps({"control": serve_orders(loop, scope, proxy.orders(), file.control)}))
        try:
            return (yield from wait_for_stop_signal(loop, scope))
        finally:
            proxy.stop()
