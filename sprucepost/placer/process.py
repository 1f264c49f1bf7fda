"""A placer as a process: its number, its signals, and what it announces."""

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
from sprucepost.placer.lease import Lease, resolve
from sprucepost.placer.log import Logs
from sprucepost.placer.notify import Notifier, adopt_listeners
from sprucepost.settings import PlacerFile, SettingsError, read

SLOT_MS = 2000.0  # between two looks at the file that holds the number


def serve(
    loop: Loop, scope: Scope, file: PlacerFile, announce: Callable[[str], None], path: Path | None = None
) -> Co[int]:
    """What ``sprucepost placer`` runs: the placer with its signals. ``announce`` gets one JSON line when it listens and one,
    the last report, when it has stopped. ``path``: where SIGHUP reads the settings again."""
    logs = Logs(loop, file.placer.log.level, file.placer.log.format)
    file, lease = resolve(file, os.environ, os.getpid())
    if lease.warning:
        logs.log.warning("slot", text=lease.warning)
    placer = Placer(loop, scope, file, logs, Notifier(loop, os.environ, os.getpid()))
    placer.slot_trouble = lease.warning
    placer.start(adopt_listeners(loop, os.environ, os.getpid()))
    process = PlacerProcess(loop, placer, lease, path)
    process.watch_slot()
    process.handle_signals()  # before the announcement: whoever has read it may signal at once
    announce(process.announcement())
    status = yield from placer.run()
    announce(json.dumps({"stopped": placer.report}))
    lease.close()
    scope.cancel()
    sys.stderr.flush()
    return status


class PlacerProcess:
    """What a running placer has as a process of its host. ``path``: its settings file, where it can be read again."""

    def __init__(self, loop: Loop, placer: Placer, lease: Lease, path: Path | None) -> None:
        self._loop, self._placer, self._lease, self._path = loop, placer, lease, path

    def announcement(self) -> str:
        """Its addresses and incarnation as one JSON line."""
        placer = self._placer
        assert placer.http is not None
        addresses = {"listen": format_address(placer.grpc_address), "http": format_address(placer.http.address)}
        return json.dumps({**addresses, "incarnation": placer.incarnation})

    def handle_signals(self) -> None:
        """A signal without a handler ends the process."""
        placer = self._placer
        self._loop.on_signal(signal.SIGTERM, placer.stop)
        self._loop.on_signal(signal.SIGINT, placer.stop)
        self._loop.on_signal(signal.SIGHUP, self.reload)
        self._loop.on_signal(signal.SIGUSR1, lambda: placer.log.warning("log_level", now=placer.logs.toggle_debug()))

    def reload(self) -> None:
        """Read the settings again, and apply them whole or not at all."""
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
        """The lines that say why the file can't be applied."""
        try:
            new = read(path, PlacerFile)
        except SettingsError as error:
            return error.lines
        if new.placer.number < 0:  # the number that was taken at the start stays ours
            new = structs.replace(new, placer=structs.replace(new.placer, number=self._lease.number))
        return self._placer.reload(new)

    def watch_slot(self) -> None:
        """Look at the file that holds the number, where one does, now and then."""
        if self._lease.path is not None:
            self._loop.call_later(SLOT_MS, self._look_at_slot)

    def _look_at_slot(self) -> None:
        if self._lease.look(os.getpid()):
            self._placer.slot_trouble = self._lease.warning
            self._placer.log.warning("slot", text=self._lease.warning or "number held as it should be")
        self._loop.call_later(SLOT_MS, self._look_at_slot)
