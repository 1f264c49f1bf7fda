"""A placer's number: from the settings, the environment, or slots that are free again after a crash."""

from __future__ import annotations

import errno
import fcntl
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from sprucepost.placer.lease import acquire_slot, resolve_number
from sprucepost.settings import PlacerFile, SettingsError
from tests.test_settings import valid_document


def file(**changes: Any) -> PlacerFile:
    raw = valid_document()
    raw["placer"] = {**raw["placer"], "number": -1, **changes}
    return msgspec.convert(raw, PlacerFile)


def test_slots_are_given_once_and_are_free_when_their_holder_ends(tmp_path: Path) -> None:
    first, second = acquire_slot(tmp_path, 2, 1), acquire_slot(tmp_path, 2, 2)
    assert (first.number, second.number) == (0, 1)
    with pytest.raises(SettingsError, match=r"all 2 numbers in .* are taken"):
        acquire_slot(tmp_path, 2, 3)
    first.close()
    again = acquire_slot(tmp_path, 2, 3)
    assert again.number == 0
    again.close()
    second.close()


def test_a_slot_is_free_after_a_crash_of_its_holder(tmp_path: Path) -> None:
    code = "from sprucepost.placer.lease import acquire_slot; from pathlib import Path;"
    code += f"lease = acquire_slot(Path({str(tmp_path)!r}), 1, 1);"
    child = subprocess.Popen(
        [sys.executable, "-c", code + "print('held', flush=True); import time; time.sleep(60)"],
        stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    assert child.stdout is not None and child.stdout.readline() == "held\n"
    with pytest.raises(SettingsError):
        acquire_slot(tmp_path, 1, 2)
    child.send_signal(signal.SIGKILL)
    child.communicate()
    lease = acquire_slot(tmp_path, 1, 2)
    assert lease.number == 0 and (tmp_path / "slot-0000").exists()
    lease.close()


def test_a_slot_that_cannot_be_written_is_held_with_a_warning(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fail_write(*_: Any) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pwrite", fail_write)
    lease = acquire_slot(tmp_path, 1, 1)
    assert lease.number == 0 and "No space left" in lease.warning
    with pytest.raises(SettingsError, match="are taken"):
        acquire_slot(tmp_path, 1, 2)
    lease.close()


def test_a_removed_file_is_replaced_before_another_placer_takes_the_number(tmp_path: Path) -> None:
    """After a cleaner removed the file, the next placer to start created another one and had the same number."""
    lease = acquire_slot(tmp_path, 1, 1)
    (tmp_path / "slot-0000").unlink()
    assert not lease.check_path(1) and lease.warning == ""  # no warning: the lease has the slot again
    with pytest.raises(SettingsError, match="are taken"):
        acquire_slot(tmp_path, 1, 2)
    lease.close()
    acquire_slot(tmp_path, 1, 2).close()


def test_a_number_that_another_process_took_is_reported_and_regained_when_that_process_ends(tmp_path: Path) -> None:
    first = acquire_slot(tmp_path, 1, 1)
    shutil.rmtree(tmp_path)
    tmp_path.mkdir()
    second = acquire_slot(tmp_path, 1, 2)
    assert first.check_path(1) and "another process holds number 0 too" in first.warning
    assert not first.check_path(1)  # reported once
    second.close()
    assert first.check_path(1) and not first.warning
    with pytest.raises(SettingsError, match="are taken"):
        acquire_slot(tmp_path, 1, 3)
    first.close()


def test_a_failing_directory_does_not_take_the_number_away(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    lease = acquire_slot(tmp_path, 1, 1)
    (tmp_path / "slot-0000").unlink()
    with monkeypatch.context() as broken:
        broken.setattr(os, "open", failing_open(errno.EROFS))
        assert lease.check_path(1) and "Read-only file system; the number is held" in lease.warning
        assert lease.descriptor is not None and not lease.check_path(1)
    assert lease.check_path(1) and not lease.warning
    lease.close()


def test_in_a_full_directory_existing_files_can_be_locked(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The first file that could not be created ended the start, though a later number was free."""
    (tmp_path / "slot-0002").touch()
    monkeypatch.setattr(os, "open", failing_open(errno.ENOSPC, os.O_CREAT))
    lease = acquire_slot(tmp_path, 3, 1)
    assert lease.number == 2
    with pytest.raises(SettingsError, match=r"slot-0000: No space left"):
        acquire_slot(tmp_path, 3, 2)
    lease.close()


def failing_open(error: int, flag: int = 0) -> Any:
    """Return an ``os.open`` that fails; with ``flag``, only where that flag is given and the file does not exist."""
    real = os.open

    def fail(path: Any, flags: int, *rest: Any) -> int:
        if flag and (not flags & flag or Path(path).exists()):
            return real(path, flags & ~flag, *rest)
        raise OSError(error, os.strerror(error))

    return fail


def test_a_path_that_changes_between_opening_and_locking_is_locked_at_its_new_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise two processes hold one number: one locks the removed file, the other the new one."""
    real, pending_moves = fcntl.flock, [1]

    def flock(descriptor: int, operation: int) -> None:
        if pending_moves:
            pending_moves.pop()
            (tmp_path / "slot-0000").unlink()
        real(descriptor, operation)

    monkeypatch.setattr(fcntl, "flock", flock)
    lease = acquire_slot(tmp_path, 1, 1)
    with pytest.raises(SettingsError, match="are taken"):
        acquire_slot(tmp_path, 1, 2)
    lease.close()


def test_a_running_placer_replaces_its_removed_slot_file(tmp_path: Path) -> None:
    folder, settings = tmp_path / "slots", tmp_path / "placer.json"
    folder.mkdir()
    raw = valid_document()
    raw["placer"] = {**raw["placer"], "number": -1, "slots": str(folder), "list": "127.0.0.1:9"}
    settings.write_text(json.dumps(raw))
    command = [sys.executable, "-m", "sprucepost", "placer", str(settings)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    try:
        assert process.stdout is not None and "listen" in process.stdout.readline()
        shutil.rmtree(folder)
        folder.mkdir()
        deadline = time.monotonic() + 30.0
        while not (text := (folder / "slot-0000").read_text() if (folder / "slot-0000").exists() else ""):
            assert time.monotonic() < deadline, "the slot file was not replaced"
            time.sleep(0.05)
        assert json.loads(text) == {"pid": process.pid, "number": 0}
    finally:
        process.terminate()
        process.communicate(timeout=30)


def test_a_missing_directory_is_named(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match=r"placer\.slots: .*none.*No such file"):
        acquire_slot(tmp_path / "none", 1, 1)


@pytest.mark.parametrize("text, number", [("1", 1), ("placer-1", 1)])
def test_the_environment_variable_may_be_or_end_in_the_number(text: str, number: int) -> None:
    assert resolve_number(file(number_env="POD"), {"POD": text}, 1)[0].placer.number == number


@pytest.mark.parametrize("text, why", [("", "not a number"), ("placer-x", "not a number"), ("9", "not below")])
def test_an_invalid_environment_variable_is_named(text: str, why: str) -> None:
    with pytest.raises(SettingsError, match=f"placer.number_env: .*{why}"):
        resolve_number(file(number_env="POD"), {"POD": text}, 1)


def test_exactly_one_source_must_be_given() -> None:
    line = "placer.number: one of number, number_env and slots must be given"
    assert line in file().problems() and line in file(number=0, slots="/x").problems()
    assert file(slots="/x").problems() == [] == file(number=1).problems()
