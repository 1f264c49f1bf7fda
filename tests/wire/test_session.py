"""Sessions: every frame arrives once and in order, however often the stream breaks."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.wire.session import Session, SessionBroken


@given(st.lists(st.sampled_from(["send", "deliver", "ack", "break", "lose"]), max_size=120))
def test_every_frame_arrives_once_and_in_order(steps: list[str]) -> None:
    sender: Session[int] = Session()
    receiver: Session[int] = Session()
    wire: list[tuple[int, int]] = []
    got: list[int] = []
    sent = 0

    def resume() -> None:
        wire[:] = sender.resume(receiver.last_received)

    for step in [*steps, "break", *["deliver"] * 200]:
        if step == "send":
            sent += 1
            wire.append((sender.assign_seq(sent), sent))
        elif step == "deliver" and wire:
            seq, frame = wire.pop(0)
            if receiver.accept(seq):
                got.append(frame)
        elif step == "ack":
            sender.receive_ack(receiver.ack())
        elif step == "lose":  # the stream breaks, its frames are lost, and one arrives a second time
            kept = wire[:1]
            resume()
            wire[:0] = [pair for pair in kept if pair[0] <= receiver.last_received]
        elif step == "break":
            resume()
    assert got == list(range(1, sent + 1))
    sender.receive_ack(receiver.ack())
    assert sender.unacknowledged == 0 and not receiver.ack_due


def test_invalid_numbering_is_reported() -> None:
    session: Session[str] = Session(max_unacknowledged=2)
    with pytest.raises(SessionBroken, match="frame 2 after 0"):
        session.accept(2)
    with pytest.raises(SessionBroken, match="acknowledges frame 1"):
        session.receive_ack(1)
    session.assign_seq("a")
    session.assign_seq("b")
    with pytest.raises(SessionBroken, match="2 frames without"):
        session.assign_seq("c")
    session.receive_ack(2)
    with pytest.raises(SessionBroken, match="saw 1, but has acknowledged 2"):
        session.resume(1)
