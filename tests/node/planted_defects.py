"""Defects planted into a placer's process: the checks of the soak test must find them."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

from sprucepost.interface import MachineState
from sprucepost.node.bulletin import STATES
from sprucepost.node.owner_link import OwnerLink
from sprucepost.node.owners import Owners
from sprucepost.node.service import Service
from sprucepost.node.tasks import Tasks

EVERY_NTH_CALL = 15  # a defect that is not permanent shows on every n-th call


def _replace_some_calls(cls: type, name: str, replacement: Callable[..., Any]) -> None:
    """Replace every ``EVERY_NTH_CALL``-th call of that method by ``replacement(real, self, ...)``."""
    real, count = getattr(cls, name), itertools.count(1)

    def method(self: Any, *args: Any) -> Any:
        return real(self, *args) if next(count) % EVERY_NTH_CALL else replacement(real, self, *args)

    setattr(cls, name, method)


def _replace_method(cls: type, name: str, replacement: Callable[..., Any]) -> None:
    setattr(cls, name, replacement)


def _call_twice(real: Callable[..., Any], *args: Any) -> None:
    real(*args)
    real(*args)


def _do_nothing(*_: Any) -> None: ...


def _return_zero(*_: Any, **__: Any) -> int:
    return 0


def _finish_at_once(self: Service) -> None:
    self.owners.stop_listening()
    for link in list(self.owners.links):
        self.owners.disconnect(link, "stopped")
    self._finish()


def _end_no_task_with_its_host() -> None:
    _replace_method(Tasks, "host_lost", _return_zero)
    _replace_method(Tasks, "process_lost", _return_nothing)


def _return_nothing(*arguments: Any) -> list[str]:
    return []


def _disconnect_any_link(self: Owners) -> None:
    for link in list(self.links)[:1]:
        self.disconnect(link, "idle")


DEFECTS: dict[str, Callable[[], None]] = {
    "a release is not sent": lambda: _replace_some_calls(Owners, "release", _do_nothing),
    "an answer is sent twice": lambda: _replace_some_calls(OwnerLink, "answer", _call_twice),
    "an answer is not sent": lambda: _replace_some_calls(OwnerLink, "answer", _do_nothing),
    "a refusal is not sent": lambda: _replace_some_calls(OwnerLink, "refuse", _do_nothing),
    "a cancelled task runs on": lambda: _replace_method(Tasks, "owner_cancelled", _do_nothing),
    "an owner's disconnect is ignored": lambda: _replace_method(Tasks, "owner_disconnected", _do_nothing),
    "a draining host gets new tasks": lambda: STATES.update(DRAINING=MachineState.READY),
    "a host's restart ends no task": _end_no_task_with_its_host,
    "a host's message is ignored": lambda: _replace_some_calls(Tasks, "handle_message", _do_nothing),
    "shutdown does not wait": lambda: _replace_method(Service, "begin_shutdown", _finish_at_once),
    "shutdown does not happen": lambda: _replace_method(Service, "begin_shutdown", _do_nothing),
    "a connection in use is closed": lambda: _replace_method(Owners, "tick", _disconnect_any_link),
}
"""Functions that plant a defect, by name; each is called once, before the placer starts."""
