"""A placer's number, from its settings, the environment, or a directory of slots on this host.

A slot is a file ``slot-0007`` that its holder keeps locked (flock). The kernel releases the lock when the holder ends
in any way, so a file that a crash left behind is free again; its contents are for people only.

A lock belongs to the file, not to its path. If the path is removed while the number is held (by a cleaner of old files,
or because the directory is made anew), the next placer to start would create another file at that path, lock it, and
have the same number. The holder therefore checks its path periodically:

==========================================  ============================================================================
the path leads to                           the holder
==========================================  ============================================================================
its own file                                keeps the number
nothing, or a file that nobody holds        locks the file at the path, and then releases its old file
a file that another process holds           keeps the number, warns, and retries at each check; of two placers with one
                                            number, machines inform the younger, which stops being ready
                                            (:mod:`sprucepost.placer.lifecycle`)
an error (read-only, full, no such folder)  keeps the number and warns once: the lock needs no disk space
==========================================  ============================================================================
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from msgspec import structs

from sprucepost.settings import PlacerFile, SettingsError


@dataclass
class Lease:
    """A number and, if it comes from a slot, the locked file at ``path``; ``warning``: the slot's problem, if any."""

    number: int
    descriptor: int | None = None
    warning: str = ""
    path: Path | None = None

    def check_path(self, pid: int) -> bool:
        """Check that the path still leads to the locked file, and lock the file at the path if it does not.

        ``pid`` is written to the file. Returns whether ``warning`` has changed since the last check.
        """
        previous_warning = self.warning
        if self.path is not None and self.descriptor is not None:
            try:
                if _leads_to(self.descriptor, self.path):
                    self.warning = ""
                elif (descriptor := _open_locked(self.path)) is None:
                    self.warning = f"{self.path}: another process holds number {self.number} too"
                else:
                    os.close(self.descriptor)
                    self.descriptor = descriptor
                    self.warning = _write_holder(descriptor, self.path, self.number, pid)
            except OSError as error:
                self.warning = f"{self.path}: {error.strerror}; the number is held regardless"
        return self.warning != previous_warning

    def close(self) -> None:
        """Release the slot, if there is one."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None


def _leads_to(descriptor: int, path: Path) -> bool:
    """Whether the path leads to the open file."""
    try:
        return os.path.samestat(os.fstat(descriptor), os.stat(path))
    except FileNotFoundError:
        return False


def _open_locked(path: Path) -> int | None:
    """Open and lock the file at ``path``; None if another process holds it, OSError if it cannot be opened."""
    while True:
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as error:
            try:
                descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)  # locks work in a read-only directory, too
            except OSError:
                raise error from None
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        except OSError:
            os.close(descriptor)
            raise
        if _leads_to(descriptor, path):
            return descriptor
        os.close(descriptor)  # the path came to lead to another file between opening and locking


def _write_holder(descriptor: int, path: Path, number: int, pid: int) -> str:
    """Write the holder to the file, for people. Returns a warning if it could not be written, else an empty string."""
    try:
        os.ftruncate(descriptor, 0)
        os.pwrite(descriptor, json.dumps({"pid": pid, "number": number}).encode() + b"\n", 0)
    except OSError as error:
        return f"{path}: {error.strerror}; the number is held regardless"
    return ""


def acquire_slot(folder: Path, size: int, pid: int) -> Lease:
    """Acquire the first free slot below ``size``; SettingsError if there is none.

    Slots that cannot be opened are skipped: in a full directory the existing files can still be locked.
    """
    first_error = ""
    for number in range(size):
        path = folder / f"slot-{number:04d}"
        try:
            descriptor = _open_locked(path)
        except OSError as error:
            first_error = first_error or f"placer.slots: {path}: {error.strerror}"
            continue
        if descriptor is not None:
            return Lease(number, descriptor, _write_holder(descriptor, path, number, pid), path)
    raise SettingsError([first_error or f"placer.slots: all {size} numbers in {folder} are taken"])


def resolve_number(file: PlacerFile, environ: Mapping[str, str], pid: int) -> tuple[PlacerFile, Lease]:
    """Return the settings with their number, and its lease. SettingsError if the number cannot be determined."""
    options = file.placer
    if options.number_env is not None:
        text = environ.get(options.number_env, "")
        digits = text.rpartition("-")[2]  # host names such as placer-7 end in the number
        if not digits.isdecimal():
            raise SettingsError([f"placer.number_env: {options.number_env} is {text!r}, not a number"])
        lease = Lease(int(digits))
        if lease.number >= max(options.instances, options.generation.previous_instances or 0):
            raise SettingsError([f"placer.number_env: {lease.number} is not below placer.instances"])
    elif options.slots is not None:
        lease = acquire_slot(Path(options.slots), options.instances, pid)
    else:
        lease = Lease(options.number)
    return structs.replace(file, placer=structs.replace(options, number=lease.number)), lease
