"""A placer as a process: its number, its signals, its settings file and its announcements."""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from msgspec import structs

from sprucepost.loop import Co, Loop, Scope
from sprucepost.placer.daemon import Placer, format_address
from sprucepost.placer.lease import Lease, resolve_number
from sprucepost.placer.log import Logs
from sprucepost.placer.notify import Notifier, adopt_listeners
from sprucepost.settings import PlacerFile, SettingsError, read

SLOT_CHECK_INTERVAL_MS = 2000.0


def serve(
    loop: Loop, scope: Scope, file: PlacerFile, announce: Callable[[str], None], path: Path | None = None
) -> Co[int]:
    """Run a placer until it has stopped, as ``sprucepost placer`` does, and return the exit status.

    ``announce`` gets one JSON line when the placer listens, and one with the last report when it has stopped. ``path``:
    the settings file that SIGHUP reads again.
    """
    logs = Logs(loop, file.placer.log.level, file.placer.log.format)
    file, lease = resolve_number(file, os.environ, os.getpid())
    if lease.warning:
        logs.log.warning("slot", text=lease.warning)
    placer = Placer(loop, scope, file, logs, Notifier(loop, os.environ, os.getpid()))
    placer.slot_warning = lease.warning
    placer.start(adopt_listeners(loop, os.environ, os.getpid()))
    process = PlacerProcess(loop, placer, lease, path)
    process.watch_slot()
    process.handle_signals()  # before the announcement, whose reader may send a signal at once
    announce(process.announcement())
    status = yield from placer.run()
    announce(json.dumps({"stopped": placer.report}))
    lease.close()
    scope.cancel()
    sys.stderr.flush()
    return status


class PlacerProcess:
    """The signals, the slot and the settings file of a running placer. ``path``: the file, if it can be read again."""

    def __init__(self, loop: Loop, placer: Placer, lease: Lease, path: Path | None) -> None:
        self._loop, self._placer, self._lease, self._path = loop, placer, lease, path

    def announcement(self) -> str:
        """Return the placer's addresses and incarnation as one JSON line."""
        placer = self._placer
        assert placer.http is not None
        addresses = {"listen": format_address(placer.grpc_address), "http": format_address(placer.http.address)}
        return json.dumps({**addresses, "incarnation": placer.incarnation})

    def handle_signals(self) -> None:
        """Set a handler for each signal that would otherwise end the process."""
        placer = self._placer
        self._loop.on_signal(signal.SIGTERM, placer.stop)
        self._loop.on_signal(signal.SIGINT, placer.stop)
        self._loop.on_signal(signal.SIGHUP, self.reload)
        self._loop.on_signal(signal.SIGUSR1, lambda: placer.log.warning("log_level", now=placer.logs.toggle_debug()))

    def reload(self) -> None:
        """Read the settings file again, and apply it as a whole or not at all."""
        if self._path is None:
            return
        placer = self._placer
        placer.notifier.notify(RELOADING="1")
        lines = self._apply(self._path)
        for line in lines:
            placer.log.error("reload_refused", line=line)
        if not lines:
            placer.log.info("reloaded", generation=placer.generation.number)
        placer.notifier.notify(READY="1")

    def _apply(self, path: Path) -> list[str]:
        """Apply the file. Returns the reasons why it cannot be applied, one line each."""
        try:
            new = read(path, PlacerFile)
        except SettingsError as error:
            return error.lines
        if new.placer.number < 0:  # the number that was acquired at the start is kept
            new = structs.replace(new, placer=structs.replace(new.placer, number=self._lease.number))
        return self._placer.reload(new)

    def watch_slot(self) -> None:
        """Check the slot file periodically, if the number comes from one."""
        if self._lease.path is not None:
            self._loop.call_later(SLOT_CHECK_INTERVAL_MS, self._check_slot)

    def _check_slot(self) -> None:
        if self._lease.check_path(os.getpid()):
            self._placer.slot_warning = self._lease.warning
            self._placer.log.warning("slot", text=self._lease.warning or "the slot file has no problem any more")
        self._loop.call_later(SLOT_CHECK_INTERVAL_MS, self._check_slot)
