"""Hollow placers: each a listener, a view with its streams and heartbeats, and a watch of the list; no scheduler behind."""

from __future__ import annotations

from typing import Any

from msgspec import to_builtins

from sprucepost.loop import Co, Loop, Scope, TimedOut, sleep
from sprucepost.membership import Generation
from sprucepost.peers import Peers
from sprucepost.placer.daemon import address_of, address_text
from sprucepost.placer.fleet import ALIVE, CONNECT_MS, WATCH
from sprucepost.scale.hollow.settings import MembersFile, MemberSpec, MembersStatus
from sprucepost.standin.orders import Orders
from sprucepost.v1 import fleet_pb2
from sprucepost.view import Record
from sprucepost.wire.client import ClientConnection, open_client
from sprucepost.wire.server import Server
from sprucepost.wire.status import RpcError

SEEDS = 3
LIST_RETRY_MS = 1000.0


class Member:
    """One member. It joins the view when :meth:`start` is called; its address is known before."""

    def __init__(self, loop: Loop, scope: Scope, file: MembersFile, spec: MemberSpec, seeds: list[str]) -> None:
        record = Record(
            name=f"p{spec.number}",
            incarnation=int(loop.wall()),
            life=loop.token(8).hex(),
            version=0,
            number=spec.number,
            host=spec.host,
            room=spec.room,
            address="",
            generation=Generation(0, file.instances),
            status="ready",
        )
        self.peers = Peers(
            loop,
            scope,
            record,
            file.fleet,
            file.cluster.digest(),
            tuple(seeds),
            None,
            changed=lambda step: None,
            looked=lambda: None,
            log=lambda event, **more: None,
        )
        self.address = address_text(Server(loop, scope, self.peers.methods()).listen(("127.0.0.1", 0)))
        self.peers.view.update(address=self.address)

    def start(self) -> None:
        """Join the fleet."""
        self.peers.start()


class Members:
    """All members of this process."""

    def __init__(self, loop: Loop, scope: Scope, file: MembersFile) -> None:
        self._loop, self._scope, self._file = loop, scope, file
        seeds = list(file.seeds)
        self.members: list[Member] = []
        for spec in file.members:
            member = Member(loop, scope, file, spec, seeds)
            self.members.append(member)
            if not file.seeds and len(seeds) < SEEDS:
                seeds.append(member.address)
        scope.spawn(self._start_all(), "starts")

    @property
    def addresses(self) -> list[str]:
        return [member.address for member in self.members]

    def _start_all(self) -> Co[None]:
        for member in self.members:
            member.start()
            if self._file.list_address:
                self._scope.spawn(self._watch_list(member), "list")
            yield from sleep(1000.0 / self._file.starts_per_s)

    def _watch_list(self, member: Member) -> Co[None]:
        """Take every update of the list as a placer does, and drop it."""
        number = member.peers.view.me.number
        while True:
            connection: ClientConnection | None = None
            try:
                connection = yield from open_client(
                    self._loop, address_of(self._file.list_address), CONNECT_MS, ALIVE, None
                )
                call = connection.call(WATCH)
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

    def orders(self) -> Orders:
        """``status``: whether all members of this process see the fleet."""
        return Orders({"status": self._status})

    def _status(self) -> dict[str, Any]:
        views = [member.peers.view for member in self.members]
        status = MembersStatus(
            members=len(views),
            here_least=min(len(view.here) for view in views),
            settled_ms=self._loop.now() - max(view.moved for view in views),
        )
        found: dict[str, Any] = to_builtins(status)
        return found
