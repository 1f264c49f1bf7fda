"""Releases that another client at the owner's address confirms, though it doesn't know the task."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost.loop import Co
from sprucepost.node import binary
from sprucepost.node.binary import Kind
from sprucepost.node.owner_releases import OwnerConnection, OwnerReleases
from tests.node.plays import DELIVERY_VARIANTS, Play, PlayFailure, Variant, failures, start, tasks_of
from tests.node.virtual_platform import OwnerConnection as Client
from tests.node.virtual_platform import VirtualPlatform

TASKS = ["c0955aa5c7e00001", "c0955aa5c7e00002"]
AWAY_MS = (500.0, 2000.0, 7000.0)  # from the end of its tasks until their client comes again


def confirm_all(client: Client, confirmed: set[str]) -> None:
    """Have a client say "release heard" to each release that it has been sent."""
    for _, sid, kind, _ in client.told:
        if kind == Kind.RELEASE and sid not in confirmed:
            confirmed.add(sid)
            client.sock.inbox.append(binary.encode(Kind.RELEASED, sid))


def confirmed_play(away_ms: float, comes_again: str) -> Play:
    """A client leaves, its tasks end, and another one at its address confirms the releases before it comes again."""

    def play(platform: VirtualPlatform, variant: Variant) -> Co[None]:
        process, owners = start(platform, variant)
        others = [platform.connect(owner.placer) for owner in owners]
        for other in others:
            other.sock.inbox.append(binary.encode(Kind.TEST, "0" * 16, []))
        yield from platform.run(100.0)
        for owner in owners:
            owner.submit(*tasks_of(owner, TASKS))
        yield from platform.run(500.0)
        for owner in owners:
            owner.close()
        yield from platform.run(100.0)
        for owner in owners:
            for sid in tasks_of(owner, TASKS):
                platform.end_task(process, sid)
        platform.be_late(variant.late_ms)
        confirmed = [set[str]() for _ in others]
        ends = platform.loop.time + away_ms
        while platform.loop.time < ends:
            yield from platform.run(10.0)
            for other, heard in zip(others, confirmed, strict=True):
                confirm_all(other, heard)
        if any(len(heard) != len(TASKS) for heard in confirmed):
            raise PlayFailure("the other client was not sent the releases")
        again = [platform.connect(owner.placer) for owner in owners]
        for owner, new in zip(owners, again, strict=True):
            if comes_again == "hand-over":
                new.submit(*tasks_of(owner, TASKS), at=process.uid)
            else:
                new.sock.inbox.append(binary.encode(Kind.TEST, "0" * 16, []))
        yield from platform.run(900.0)
        for owner, new in zip(owners, again, strict=True):
            if any(Kind.RELEASE not in new.kinds(sid) for sid in tasks_of(owner, TASKS)):
                raise PlayFailure("a client was not told of the end of its task")

    return play


# Guards against review case 8: a release is dropped on the word of a client that is not owed it.
@pytest.mark.parametrize("comes_again", ["test", "hand-over"])
@pytest.mark.parametrize("away_ms", AWAY_MS)
def test_the_confirmation_of_another_client_ends_no_search(tmp_path: Path, away_ms: float, comes_again: str) -> None:
    assert failures(tmp_path, {"confirmed": confirmed_play(away_ms, comes_again)}, DELIVERY_VARIANTS) == []


def test_a_planted_defect_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def confirm(self: OwnerReleases, link: OwnerConnection, sid: str) -> None:
        self.cancel(sid)

    monkeypatch.setattr(OwnerReleases, "confirm", confirm)
    found = failures(tmp_path, {"planted": confirmed_play(AWAY_MS[0], "test")}, DELIVERY_VARIANTS)
    assert len(found) == len(DELIVERY_VARIANTS)
