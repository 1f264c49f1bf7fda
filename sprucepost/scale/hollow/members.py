"""Hollow placers: each a listener, a view with its streams and heartbeats, and a watch of the list; no scheduler behind.

Members that all start at once tell each other of every stream that they open, which takes half a minute of a hundred and
is no part of what is measured. So hollow members are given what they would have learned: the orders are ``join``, which
tells all records with the streams that the rings ask for and opens these streams, and ``begin``, once they are there. From
then on each view runs as in a real placer. Real placers have started before; their names, lives and addresses are known.
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
MEMBERS_AT_A_TIME = 10
"""That open their streams, before the loop has a turn for the others."""
STATUS = "ready"
HOLLOW_VERSION = 1
REAL_VERSION = 0
"""Older than any that a real placer tells of itself."""


class HollowPeers(Peers):
    """A view that can be given the records of a fleet before it runs."""

    def know(self, records: Sequence[Record]) -> None:
        """Hold these records, of which one is its own."""
        view = self.view
        view.records = {record.name: record for record in records}
        view.own_record = view.records[view.own_record.name]
        view.digest = 0
        for record in records:
            view.digest ^= fingerprint(record)

    def connect(self, others: Sequence[Record]) -> None:
        """Open streams to those."""
        self._perform([Dial(other.name, other.address) for other in others])


class Member:
    """One member. It listens from the start, and runs its view from :meth:`begin` on."""

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
        return self.peers.view.own_record.name

    def join(self, records: Sequence[Record]) -> None:
        """Know the fleet, and open the streams that the rings ask for."""
        self.peers.know(records)
        by_name = self.peers.view.records
        self.peers.connect([by_name[name] for name in ring_successors(by_name[self.name], records)])

    @property
    def unconnected(self) -> int:
        """Streams of its record that are not there yet."""
        view = self.peers.view
        return len({name for name, _ in view.own_record.sees} - {stream.name for stream in view.streams.values()})

    def begin(self) -> None:
        """Run the view."""
        self.peers.view.changed_at = self.peers.view._last_tick  # nothing has changed since the fleet was told
        self.peers.start()


class Members:
    """All members of this process."""

    def __init__(self, loop: Loop, scope: Scope, file: MembersFile) -> None:
        self._loop, self._scope, self._file = loop, scope, file
        self.members = [Member(loop, scope, file, spec) for spec in file.members]

    @property
    def addresses(self) -> list[str]:
        return []

    @property
    def known(self) -> list[KnownMember]:
        return [member.known for member in self.members]

    def _join_all(self, records: Sequence[Record]) -> Co[None]:
        for number, member in enumerate(self.members):
            member.join(records)
            if number % MEMBERS_AT_A_TIME == 0:
                yield from sleep(1.0)

    def _watch_list(self, member: Member) -> Co[None]:
        """Take every update of the list as a placer does, and drop it."""
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
        """``join`` and ``begin``, in that order; ``status``: whether all members of this process see the fleet."""
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
    """The record of a member that sees nobody yet."""
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
        status=STATUS,
    )


def member_name(number: int) -> str:
    """Of a hollow or real placer in a run."""
    return f"p{number}"


def fleet_records(fleet: Sequence[KnownMember], instances: int) -> list[Record]:
    """Records of a settled fleet: each hollow member sees whom it watches in a ring, and what hollow one watches it.

    Real members open streams of their own once they know the fleet, and tell of themselves whom they see.
    """
    alone = {record.name: record for record in (record_of(known, instances) for known in fleet)}
    hollow = {member_name(known.number) for known in fleet if not known.real}
    sees: dict[str, set[str]] = {name: set() for name in alone}
    for name in hollow:
        for other in ring_successors(alone[name], list(alone.values())):
            sees[name].add(other)
            sees[other].add(name)
    return [_with_sight(alone[name], sees[name], alone) if name in hollow else alone[name] for name in alone]


def _with_sight(record: Record, seen: set[str], fleet: dict[str, Record]) -> Record:
    return replace(record, sees=tuple(sorted((name, fleet[name].life) for name in seen)))
