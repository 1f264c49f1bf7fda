"""Service discovery: a watch on the list of machines, started when the scheduler asks for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sprucepost import interface as i
from sprucepost.loop import Address, Cancelled, Co, Loop, Scope, Task, TimedOut, current, within
from sprucepost.v1 import fleet_pb2 as pb
from sprucepost.wire.client import ClientConnection, open_client
from sprucepost.wire.connection import Options
from sprucepost.wire.status import RpcError

WATCH_PATH = "/sprucepost.v1.Fleet/Watch"
CONNECT_TIMEOUT_MS = 2000.0
FIRST_UPDATE_TIMEOUT_MS = 5000.0  # for the first update of a watch
SLOW_LIST_TIMEOUT_FACTOR = 8  # applied to that after a watch got no first update in time
# A server treats more frequent pings than these as a flood.
CONNECTION_OPTIONS = Options(keepalive_ms=10_000.0, keepalive_timeout_ms=5000.0)
MISSED_HEARTBEATS = 3  # a silent watch is broken after these; one may be late, and two don't show the cause


@dataclass(frozen=True, slots=True)
class WatchOptions:
    """What a watch needs to know.

    ``address``: of the list. ``source``: the local address to connect from. ``number``: this placer's. ``zones`` and
    ``kinds``: their names in the order of the settings.
    """

    address: Address
    source: str | None
    number: int
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


class DiscoveryWatch:
    """Keeps at most one watch on the list.

    ``on_list`` gets each update as the scheduler's event, ``on_address`` each machine's address, ``on_time`` the list's
    own time in ms. A watch that breaks, or is silent for too long, is reported as a failed call; when to ask again is
    the scheduler's decision.

    A watch that got no first update in time waits much longer the next time. With the same timeout each time, 350
    placers that started together on a list that answers 15 calls a second kept giving up their places in its queue, and
    all but the first 75 never got the list. Pings tell a slow list from one that is gone.
    """

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        options: WatchOptions,
        on_list: Callable[[i.MachineList], None],
        on_address: Callable[[str, str], None],
        on_time: Callable[[float], None],
    ) -> None:
        self._loop, self._scope, self._options = loop, scope, options
        self._zone_indices = {name: index for index, name in enumerate(options.zones)}
        self._kind_indices = {name: index for index, name in enumerate(options.kinds)}
        self._cell_indices: dict[str, int] = {}
        self._on_list, self._on_address, self._on_time = on_list, on_address, on_time
        self._task: Task[None] | None = None
        self._first_update_timeout_ms = FIRST_UPDATE_TIMEOUT_MS
        self.last_update_ms: float | None = None  # the time of the latest update, on the loop's clock
        self.failures = 0

    def start_watch(self) -> None:
        """Start a watch, unless one is open."""
        if self._task is None or self._task.done:
            self._task = self._scope.spawn(self._watch(), "list")

    def _watch(self) -> Co[None]:
        connection: ClientConnection | None = None
        try:
            task = yield from current()
            connection = yield from open_client(
                self._loop, self._options.address, CONNECT_TIMEOUT_MS, CONNECTION_OPTIONS, self._options.source
            )
            call = connection.call(WATCH_PATH)
            call.send(pb.WatchRequest(number=self._options.number).SerializeToString())
            call.end()
            timeout_ms, got_update = self._first_update_timeout_ms, False
            while True:
                try:
                    data = yield from within(task, timeout_ms, call.receive())
                except TimedOut:
                    if not got_update:
                        self._first_update_timeout_ms = SLOW_LIST_TIMEOUT_FACTOR * FIRST_UPDATE_TIMEOUT_MS
                    raise
                if data is None:
                    break
                got_update, self._first_update_timeout_ms = True, FIRST_UPDATE_TIMEOUT_MS
                update = pb.FleetUpdate.FromString(data)
                timeout_ms = MISSED_HEARTBEATS * update.beat_ms if update.beat_ms > 0 else FIRST_UPDATE_TIMEOUT_MS
                self.last_update_ms = self._loop.now()
                self._on_time(update.now_ms)
                if update.whole or update.entries:
                    self._handle_entries(update)
        except Cancelled:
            raise
        except (OSError, RpcError, TimedOut, ValueError):
            pass
        except Exception as error:
            if type(error).__name__ != "DecodeError":  # protobuf's, which has no public base class
                raise
        finally:
            if connection is not None:
                connection.close()
        self.failures += 1
        self._task = None
        self._on_list(i.MachineList(i.ListKind.FAILED))

    def _handle_entries(self, update: pb.FleetUpdate) -> None:
        entries = []
        for entry in update.entries:
            if entry.kind not in self._kind_indices or not entry.name:
                continue  # a machine of a kind that the settings do not name cannot be used
            if entry.state != pb.MACHINE_STATE_GONE:
                self._on_address(entry.name, entry.address)
            entries.append(
                i.MachineEntry(
                    machine=entry.name,
                    state=i.MachineState(entry.state),
                    zone=self._zone_indices.get(entry.zone, -1),
                    cell=self._cell_indices.setdefault(entry.cell, len(self._cell_indices)) if entry.cell else -1,
                    kind=self._kind_indices[entry.kind],
                    started=entry.started_ms,
                    free_cores=entry.free_cores,
                    free_memory=entry.free_memory,
                )
            )
        self._on_list(i.MachineList(i.ListKind.FULL if update.whole else i.ListKind.DELTA, tuple(entries)))
