"""A placer's number, from where the settings say: themselves, the environment, or a directory of slots on this host.

A slot is a file ``slot-0007`` that its holder keeps locked (flock). The kernel lets go of the lock when the holder dies,
however it dies, so a file that a crash left behind is free again; what is written in it is for people only.

A lock is on the file, not on its name. Where the name goes while the number is held (a cleaner of old files, a directory
made anew), the next placer to start would make another file of that name, lock it, and have the number too. So the holder
looks at its name now and then:

=====================================  =================================================================================
the name leads to                      the holder
=====================================  =================================================================================
its file                               holds on
nothing, or a file that nobody holds   takes the name again, and holds both files until it has
a file that another process holds      keeps its number, says so, and tries again at each look; of two with one number
                                       machines tell the younger, which leaves ready (:mod:`sprucepost.placer.lifecycle`)
an error (read-only, full, not there)  holds on, and says so once: the lock needs no room
=====================================  =================================================================================
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
    """A number and, where a slot gave it, the locked file at ``path``; ``warning``: what is wrong with it, if anything."""

    number: int
    descriptor: int | None = None
    warning: str = ""
    path: Path | None = None

    def look(self, pid: int) -> bool:
        """See that the number's name still leads to our file, and take it again where it does not. Whether ``warning`` has
        changed since the last look."""
        before = self.warning
        if self.path is not None and self.descriptor is not None:
            try:
                if _is(self.descriptor, self.path):
                    self.warning = ""
                elif (descriptor := _lock(self.path)) is None:
                    self.warning = f"{self.path}: another process holds number {self.number} too"
                else:
                    os.close(self.descriptor)
                    self.descriptor = descriptor
                    self.warning = _sign(descriptor, self.path, self.number, pid)
            except OSError as error:
                self.warning = f"{self.path}: {error.strerror}; the number is held all the same"
        return self.warning != before

    def close(self) -> None:
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None


def _is(descriptor: int, path: Path) -> bool:
    """Whether the name leads to the open file."""
    try:
        return os.path.samestat(os.fstat(descriptor), os.stat(path))
    except FileNotFoundError:
        return False


def _lock(path: Path) -> int | None:
    """The file of that name, locked by us; None where another process holds it. OSError where it cannot be opened."""
    while True:
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as error:
            try:
                descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)  # a read-only directory still locks
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
        if _is(descriptor, path):
            return descriptor
        os.close(descriptor)  # the name went to another file between opening and locking


def _sign(descriptor: int, path: Path, number: int, pid: int) -> str:
    """Write who holds it, for people; why it could not be written, or nothing."""
    try:
        os.ftruncate(descriptor, 0)
        os.pwrite(descriptor, json.dumps({"pid": pid, "number": number}).encode() + b"\n", 0)
    except OSError as error:
        return f"{path}: {error.strerror}; the number is held all the same"
    return ""


def take_slot(folder: Path, size: int, pid: int) -> Lease:
    """The first free slot below ``size``; SettingsError where there is none. One that cannot be opened is passed over: in
    a directory that is full the files that are there still lock."""
    problem = ""
    for number in range(size):
        path = folder / f"slot-{number:04d}"
        try:
            descriptor = _lock(path)
        except OSError as error:
            problem = problem or f"placer.slots: {path}: {error.strerror}"
            continue
        if descriptor is not None:
            return Lease(number, descriptor, _sign(descriptor, path, number, pid), path)
    raise SettingsError([problem or f"placer.slots: all {size} numbers in {folder} are taken"])


def resolve(file: PlacerFile, environ: Mapping[str, str], pid: int) -> tuple[PlacerFile, Lease]:
    """The settings with their number; SettingsError where it cannot be had."""
    options = file.placer
    if options.number_env is not None:
        text = environ.get(options.number_env, "")
        digits = text.rpartition("-")[2]  # as in names such as placer-7
        if not digits.isdecimal():
            raise SettingsError([f"placer.number_env: {options.number_env} is {text!r}, not a number"])
        lease = Lease(int(digits))
        if lease.number >= max(options.instances, options.generation.previous_instances or 0):
            raise SettingsError([f"placer.number_env: {lease.number} is not below placer.instances"])
    elif options.slots is not None:
        lease = take_slot(Path(options.slots), options.instances, pid)
    else:
        lease = Lease(options.number)
    return structs.replace(file, placer=structs.replace(options, number=lease.number)), lease
