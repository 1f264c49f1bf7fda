"""Hollow placers: each has a listener, a view with streams and heartbeats, and a watch of the list, but no scheduler.

Members that all start at once report every stream that they open to each other, which takes half a minute with a
hundred of them and is not part of what is measured. Hollow members are therefore given what they would have learned:
the order ``join`` passes all records, with the streams that the rings call for, and opens these streams; ``begin``
follows once the streams are up. From then on each view runs as in a real placer. Real placers have started before;
their names, incarnations and addresses are known.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec

from sprucepost.loop import Co, Loop, Scope, TimedOut, sleep
from sprucepost.membership import Generation
from sprucepost.peers import Peers
from sprucepost.placer.daemon import format_address, parse_address
from sprucepost.placer.discovery import CONNECT_TIMEOUT_MS, CONNECTION_OPTIONS, WATCH_PATH
from sprucepost.scale.hollow.settings import KnownMember, MembersFile, MemberSpec, MembersStatus
from sprucepost.settings.running import settings_fingerprint
from sprucepost.standin.orders import OrderService
from sprucepost.v1 import fleet_pb2
from sprucepost.view import Record
from sprucepost.view.messages import Dial
from sprucepost.view.record import fingerprint
from sprucepost.view.rings import ring_successors
from sprucepost.wire.client import ClientConnection, open_client
from sprucepost.wire.server import Server
from sprucepost.wire.status import RpcError

LIST_RETRY_MS = 1000.0
JOIN_BATCH_MEMBERS = 10
"""Members that open their streams before the event loop runs other tasks."""
MEMBER_STATUS = "ready"
HOLLOW_VERSION = 1
REAL_VERSION = 0
"""Older than any version that a real placer publishes of its own record."""


class HollowPeers(Peers):
    """A view that can be loaded with the records of a fleet before it runs."""

    def load_records(self, records: Sequence[Record]) -> None:
        """Replace the view's records by these, one of which is its own."""
        view = self.view
        view.records = {record.name: record for record in records}
        view.own_record = view.records[view.own_record.name]
        view.digest = 0
        for record in records:
            view.digest ^= fingerprint(record)

    def open_streams(self, others: Sequence[Record]) -> None:
        """Open streams to these members."""
        self._perform([Dial(other.name, other.address) for other in others])


class Member:
    """One member. It listens as soon as it is created and runs its view from :meth:`begin` on."""

    def __init__(self, loop: Loop, scope: Scope, file: MembersFile, spec: MemberSpec) -> None:
        known = KnownMember(spec.number, spec.host, spec.room, int(loop.wall()), loop.token(8).hex(), "")
        self.peers = HollowPeers(
            loop,
            scope,
            record_of(known, file.instances),
            file.fleet,
            settings_fingerprint(file.cluster),
            (),
            None,
            on_change=lambda step: None,
            on_tick=lambda: None,
            log=lambda event, **more: None,
        )
        address = format_address(Server(loop, scope, self.peers.methods()).listen(("127.0.0.1", 0)))
        self.known = msgspec.structs.replace(known, address=address)

    @property
    def name(self) -> str:
        """Name of the member in the view."""
        return self.peers.view.own_record.name

    def join(self, records: Sequence[Record]) -> None:
        """Load the records of the fleet and open the streams that the rings call for."""
        self.peers.load_records(records)
        by_name = self.peers.view.records
        self.peers.open_streams([by_name[name] for name in ring_successors(by_name[self.name], records)])

    @property
    def unconnected(self) -> int:
        """Number of streams in its record that are not connected yet."""
        view = self.peers.view
        return len({name for name, _ in view.own_record.sees} - {stream.name for stream in view.streams.values()})

    def begin(self) -> None:
        """Start the view."""
        self.peers.view.changed_at = self.peers.view._last_tick  # no change since the records were loaded
        self.peers.start()


class Members:
    """All hollow members of this process."""

    def __init__(self, loop: Loop, scope: Scope, file: MembersFile) -> None:
        self._loop, self._scope, self._file = loop, scope, file
        self.members = [Member(loop, scope, file, spec) for spec in file.members]

    @property
    def addresses(self) -> list[str]:
        """Empty: members announce their addresses in :attr:`known`."""
        return []

    @property
    def known(self) -> list[KnownMember]:
        """Records of the members for the order ``join``."""
        return [member.known for member in self.members]

    def _join_all(self, records: Sequence[Record]) -> Co[None]:
        for number, member in enumerate(self.members):
            member.join(records)
            if number % JOIN_BATCH_MEMBERS == 0:
                yield from sleep(1.0)

    def _watch_list(self, member: Member) -> Co[None]:
        """Receive every update of the list as a placer does, and discard it."""
        number = member.known.number
        while True:
            connection: ClientConnection | None = None
            try:
                address = parse_address(self._file.list_address)
                connection = yield from open_client(self._loop, address, CONNECT_TIMEOUT_MS, CONNECTION_OPTIONS, None)
                call = connection.call(WATCH_PATH)
                call.send(fleet_pb2.WatchRequest(number=number).SerializeToString())
                call.end()
                while (yield from call.receive()) is not None:
                    pass
            except (OSError, RpcError, TimedOut):
                pass
            finally:
                if connection is not None:
                    connection.close()
            yield from sleep(LIST_RETRY_MS)

    # Orders

    def orders(self) -> OrderService:
        """The orders ``join``, then ``begin``; ``status``: whether all members of this process see the fleet."""
        return OrderService({"join": self._join, "begin": self._begin, "status": self._status})

    def _join(self, fleet: list[dict[str, Any]]) -> dict[str, Any]:
        known = msgspec.convert(fleet, list[KnownMember])
        self._scope.spawn(self._join_all(fleet_records(known, self._file.instances)), "join")
        return {}

    def _begin(self) -> dict[str, Any]:
        for member in self.members:
            member.begin()
            if self._file.list_address:
                self._scope.spawn(self._watch_list(member), "list")
        return {}

    def _status(self) -> dict[str, Any]:
        views = [member.peers.view for member in self.members]
        status = MembersStatus(
            members=len(views),
            unconnected=sum(member.unconnected for member in self.members),
            here_least=min(len(view.here) for view in views),
            settled_ms=self._loop.now() - max(view.changed_at for view in views),
        )
        found: dict[str, Any] = msgspec.to_builtins(status)
        return found


def record_of(known: KnownMember, instances: int) -> Record:
    """The record of a member that is not connected to any other yet."""
    return Record(
        name=member_name(known.number),
        incarnation=known.incarnation,
        life=known.life,
        version=REAL_VERSION if known.real else HOLLOW_VERSION,
        number=known.number,
        host=known.host,
        room=known.room,
        address=known.address,
        generation=Generation(0, instances),
        status=MEMBER_STATUS,
    )


def member_name(number: int) -> str:
    """The name of a hollow or real placer in a run."""
    return f"p{number}"


def fleet_records(fleet: Sequence[KnownMember], instances: int) -> list[Record]:
    """Records of a settled fleet: each hollow member sees its ring successors and the hollow members that it succeeds.

    Real members open their own streams once they know the fleet, and publish themselves whom they see.
    """
    unconnected_records = {record.name: record for record in (record_of(known, instances) for known in fleet)}
    hollow = {member_name(known.number) for known in fleet if not known.real}
    sees: dict[str, set[str]] = {name: set() for name in unconnected_records}
    for name in hollow:
        for other in ring_successors(unconnected_records[name], list(unconnected_records.values())):
            sees[name].add(other)
            sees[other].add(name)
    return [
        _with_sees(unconnected_records[name], sees[name], unconnected_records)
        if name in hollow
        else unconnected_records[name]
        for name in unconnected_records
    ]


def _with_sees(record: Record, peer_names: set[str], fleet: dict[str, Record]) -> Record:
    return replace(record, sees=tuple(sorted((name, fleet[name].life) for name in peer_names)))
