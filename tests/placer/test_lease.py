"""Numbers: from the settings, the environment, or slots that survive a crash."""

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
from tests.test_settings import good


def file(**changes: Any) -> PlacerFile:
    raw = good()
    raw["placer"] = {**raw["placer"], "number": -1, **changes}
    return msgspec.convert(raw, PlacerFile)


def test_slots_are_given_once_and_come_back_when_their_holder_ends(tmp_path: Path) -> None:
    first, second = acquire_slot(tmp_path, 2, 1), acquire_slot(tmp_path, 2, 2)
    assert (first.number, second.number) == (0, 1)
    with pytest.raises(SettingsError, match=r"all 2 numbers in .* are taken"):
        acquire_slot(tmp_path, 2, 3)
    first.close()
    again = acquire_slot(tmp_path, 2, 3)
    assert again.number == 0
    again.close()
    second.close()


def test_a_slot_that_a_crash_left_is_free(tmp_path: Path) -> None:
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
    def full(*_: Any) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pwrite", full)
    lease = acquire_slot(tmp_path, 1, 1)
    assert lease.number == 0 and "No space left" in lease.warning
    with pytest.raises(SettingsError, match="are taken"):
        acquire_slot(tmp_path, 1, 2)
    lease.close()


def test_a_name_that_went_is_taken_again_before_another_placer_has_it(tmp_path: Path) -> None:
    """A cleaner of old files took it: the next placer to start made another file of that name and had the number too."""
    lease = acquire_slot(tmp_path, 1, 1)
    (tmp_path / "slot-0000").unlink()
    assert not lease.check_path(1) and lease.warning == ""  # nothing to tell: it is ours again
    with pytest.raises(SettingsError, match="are taken"):
        acquire_slot(tmp_path, 1, 2)
    lease.close()
    acquire_slot(tmp_path, 1, 2).close()


def test_a_number_that_another_took_meanwhile_is_told_and_comes_back_when_it_ends(tmp_path: Path) -> None:
    first = acquire_slot(tmp_path, 1, 1)
    shutil.rmtree(tmp_path)
    tmp_path.mkdir()
    second = acquire_slot(tmp_path, 1, 2)
    assert first.check_path(1) and "another process holds number 0 too" in first.warning
    assert not first.check_path(1)  # told once
    second.close()
    assert first.check_path(1) and not first.warning
    with pytest.raises(SettingsError, match="are taken"):
        acquire_slot(tmp_path, 1, 3)
    first.close()


def test_a_directory_that_fails_while_a_number_is_held_takes_nothing_away(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    lease = acquire_slot(tmp_path, 1, 1)
    (tmp_path / "slot-0000").unlink()
    with monkeypatch.context() as broken:
        broken.setattr(os, "open", failing(errno.EROFS))
        assert lease.check_path(1) and "Read-only file system; the number is held" in lease.warning
        assert lease.descriptor is not None and not lease.check_path(1)
    assert lease.check_path(1) and not lease.warning
    lease.close()


def test_in_a_full_directory_the_files_that_are_there_still_lock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first file that could not be made ended the start, though a number further on was free."""
    (tmp_path / "slot-0002").touch()
    monkeypatch.setattr(os, "open", failing(errno.ENOSPC, os.O_CREAT))
    lease = acquire_slot(tmp_path, 3, 1)
    assert lease.number == 2
    with pytest.raises(SettingsError, match=r"slot-0000: No space left"):
        acquire_slot(tmp_path, 3, 2)
    lease.close()


def failing(error: int, flag: int = 0) -> Any:
    """``os.open`` that fails, with a flag only where that would make a file or is given for one that is there."""
    real = os.open

    def fail(path: Any, flags: int, *rest: Any) -> int:
        if flag and (not flags & flag or Path(path).exists()):
            return real(path, flags & ~flag, *rest)
        raise OSError(error, os.strerror(error))

    return fail


def test_a_name_that_moves_between_opening_and_locking_is_locked_where_it_leads(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Else two hold one number: one the file that went, the other the one that came."""
    real, moves = fcntl.flock, [1]

    def flock(descriptor: int, how: int) -> None:
        if moves:
            moves.pop()
            (tmp_path / "slot-0000").unlink()
        real(descriptor, how)

    monkeypatch.setattr(fcntl, "flock", flock)
    lease = acquire_slot(tmp_path, 1, 1)
    with pytest.raises(SettingsError, match="are taken"):
        acquire_slot(tmp_path, 1, 2)
    lease.close()


def test_a_running_placer_takes_its_name_again(tmp_path: Path) -> None:
    folder, settings = tmp_path / "slots", tmp_path / "placer.json"
    folder.mkdir()
    raw = good()
    raw["placer"] = {**raw["placer"], "number": -1, "slots": str(folder), "list": "127.0.0.1:9"}
    settings.write_text(json.dumps(raw))
    command = [sys.executable, "-m", "sprucepost", "placer", str(settings)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    try:
        assert process.stdout is not None and "listen" in process.stdout.readline()
        shutil.rmtree(folder)
        folder.mkdir()
        until = time.monotonic() + 30.0
        while not (text := (folder / "slot-0000").read_text() if (folder / "slot-0000").exists() else ""):
            assert time.monotonic() < until, "the name was not taken again"
            time.sleep(0.05)
        assert json.loads(text) == {"pid": process.pid, "number": 0}
    finally:
        process.terminate()
        process.communicate(timeout=30)


def test_a_directory_that_is_not_there_is_named(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match=r"placer\.slots: .*none.*No such file"):
        acquire_slot(tmp_path / "none", 1, 1)


@pytest.mark.parametrize("text, number", [("1", 1), ("placer-1", 1)])
def test_the_environment_may_hold_or_end_in_the_number(text: str, number: int) -> None:
    assert resolve_number(file(number_env="POD"), {"POD": text}, 1)[0].placer.number == number


@pytest.mark.parametrize("text, why", [("", "not a number"), ("placer-x", "not a number"), ("9", "not below")])
def test_an_environment_without_sense_is_named(text: str, why: str) -> None:
    with pytest.raises(SettingsError, match=f"placer.number_env: .*{why}"):
        resolve_number(file(number_env="POD"), {"POD": text}, 1)


def test_exactly_one_source_must_be_given() -> None:
    line = "placer.number: one of number, number_env and slots must be given"
    assert line in file().problems() and line in file(number=0, slots="/x").problems()
    assert file(slots="/x").problems() == [] == file(number=1).problems()
