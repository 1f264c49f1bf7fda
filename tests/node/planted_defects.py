"""Defects planted into a placer's process: what watches over it must find each of them."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

from sprucepost.interface import MachineState
from sprucepost.node.bulletin import STATES
from sprucepost.node.owners import OwnerLink, Owners
from sprucepost.node.service import Service
from sprucepost.node.tasks import Tasks

EVERY = 15  # each so many'th time the defect shows, where it is not meant to show always


def _now_and_then(kind: type, name: str, instead: Callable[..., Any]) -> None:
    """Each ``EVERY``'th call of that method is replaced by ``instead(real, self, ...)``."""
    real, count = getattr(kind, name), itertools.count(1)

    def method(self: Any, *args: Any) -> Any:
        return real(self, *args) if next(count) % EVERY else instead(real, self, *args)

    setattr(kind, name, method)


def _always(kind: type, name: str, instead: Callable[..., Any]) -> None:
    setattr(kind, name, instead)


def _twice(real: Callable[..., Any], *args: Any) -> None:
    real(*args)
    real(*args)


def _nothing(*_: Any) -> None: ...


def _none(*_: Any, **__: Any) -> int:
    return 0


def _end_at_once(self: Service) -> None:
    self.owners.stop_listening()
    for link in list(self.owners.links):
        self.owners.disconnect(link, "stopped")
    self._finish()


def _close_idle_or_not(self: Owners) -> None:
    for link in list(self.links)[:1]:
        self.disconnect(link, "idle")


DEFECTS: dict[str, Callable[[], None]] = {
    "a release is not sent": lambda: _now_and_then(Owners, "release", _nothing),
    "an answer is sent twice": lambda: _now_and_then(OwnerLink, "answer", _twice),
    "an answer is not sent": lambda: _now_and_then(OwnerLink, "answer", _nothing),
    "a refusal is not sent": lambda: _now_and_then(OwnerLink, "refuse", _nothing),
    "a cancelled task runs on": lambda: _always(Tasks, "owner_cancelled", _nothing),
    "an owner's disconnect is ignored": lambda: _always(Tasks, "owner_disconnected", _nothing),
    "a draining host gets new tasks": lambda: STATES.update(DRAINING=MachineState.READY),
    "a host's restart ends no task": lambda: _always(Tasks, "host_lost", _none),
    "a host's message is ignored": lambda: _now_and_then(Tasks, "handle_message", _nothing),
    "shutdown does not wait": lambda: _always(Service, "begin_shutdown", _end_at_once),
    "shutdown does not happen": lambda: _always(Service, "begin_shutdown", _nothing),
    "a connection in use is closed": lambda: _always(Owners, "tick", _close_idle_or_not),
}
"""By name; each is to be called once, before the placer starts."""
