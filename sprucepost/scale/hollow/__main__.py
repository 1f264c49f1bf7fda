"""Entry point of a hollow process: ``python -m sprucepost.scale.hollow FILE``."""

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


class HollowGroup(Protocol):
    """Interface that each kind of hollow process implements."""

    @property
    def addresses(self) -> list[str]: ...
    def orders(self) -> OrderService: ...


def build(loop: Loop, scope: Scope, file: HollowFile) -> HollowGroup:
    """Create the members, workers, clients or platform that the file describes."""
    if isinstance(file, MembersFile):
        return Members(loop, scope, file)
    if isinstance(file, ClientsFile):
        return Clients(loop, scope, file)
    if isinstance(file, PlatformFile):
        return Platform(loop, scope, file)
    return Workers(loop, scope, file)


def serve(loop: Loop, scope: Scope, file: HollowFile, announce: Callable[[str], None]) -> Co[int]:
    """Create the group, announce its addresses and serve orders until SIGTERM."""
    group = build(loop, scope, file)
    control = f"127.0.0.1:{serve_orders(loop, scope, group.orders(), '127.0.0.1:0')}"
    known = group.known if isinstance(group, Members) else []
    announce(msgspec.json.encode(Announcement(control, group.addresses, known)).decode())
    return (yield from wait_for_stop_signal(loop, scope))


def main(path: Path) -> int:
    """Run one process from its settings file. Returns the exit status."""
    file = msgspec.json.decode(path.read_bytes(), type=HollowFile)
    loop = EpollLoop(None)
    gc.freeze()
    gc.set_threshold(100_000, 20, 20)  # the same thresholds as in the daemons
    try:
        return loop.run(lambda: in_scope(lambda scope: serve(loop, scope, file, lambda line: print(line, flush=True))))
    finally:
        loop.close()


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
