"""One hollow process: ``python -m sprucepost.scale.hollow FILE``."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec

from sprucepost.loop import Co, Loop, Scope, in_scope
from sprucepost.loop.epoll import EpollLoop
from sprucepost.scale.hollow.clients import Clients
from sprucepost.scale.hollow.members import Members
from sprucepost.scale.hollow.platform import Platform
from sprucepost.scale.hollow.settings import Announcement, ClientsFile, HollowFile, MembersFile, PlatformFile
from sprucepost.scale.hollow.workers import Workers
from sprucepost.standin.daemons import serve_orders, wait_for_stop_signal
from sprucepost.standin.orders import OrderService


class Company(Protocol):
    """What each kind of hollow process offers."""

    @property
    def addresses(self) -> list[str]: ...
    def orders(self) -> OrderService: ...


def build(loop: Loop, scope: Scope, file: HollowFile) -> Company:
    """The members, workers, clients or platform that a file asks for."""
    if isinstance(file, MembersFile):
        return Members(loop, scope, file)
    if isinstance(file, ClientsFile):
        return Clients(loop, scope, file)
    if isinstance(file, PlatformFile):
        return Platform(loop, scope, file)
    return Workers(loop, scope, file)


def serve(loop: Loop, scope: Scope, file: HollowFile, announce: Callable[[str], None]) -> Co[int]:
    """Build, announce, and take orders until SIGTERM."""
    company = build(loop, scope, file)
    control = f"127.0.0.1:{serve_orders(loop, scope, company.orders(), '127.0.0.1:0')}"
    known = company.known if isinstance(company, Members) else []
    announce(msgspec.json.encode(Announcement(control, company.addresses, known)).decode())
    return (yield from wait_for_stop_signal(loop, scope))


def main(path: Path) -> int:
    """Run one process from its file; the exit status."""
    file = msgspec.json.decode(path.read_bytes(), type=HollowFile)
    loop = EpollLoop(None)
    gc.freeze()
    gc.set_threshold(100_000, 20, 20)  # as the daemons have it
    try:
        return loop.run(lambda: in_scope(lambda scope: serve(loop, scope, file, lambda line: print(line, flush=True))))
    finally:
        loop.close()


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
