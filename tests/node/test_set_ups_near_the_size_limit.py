"""Set-ups whose offer to a host would be near or beyond the limit of one message."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.adapter import settings_from
from sprucepost.loop import Co
from sprucepost.node import binary, jsonl
from sprucepost.node.binary import Code, Kind
from sprucepost.node.framing import MAX_MESSAGE_BYTES
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.parsing import CAUSE_INVALID, InvalidSetUp, SetUpParser
from tests.node.platform import Link, Platform, run_on_platform, settings, setup, wait_for_message
from tests.wire.support import wait_for

USUAL, LONG = "c0255aa5c7e00001", "c0255aa5c7e00002"
GREEK = "".join(map(chr, range(0x3B1, 0x3C9))) * 5  # 120 letters of two bytes
BEYOND_BMP = "\U0001f4e6" * 128  # four bytes each, twelve as JSON escapes
PARSER = SetUpParser(settings_from(settings()))


def place_beside_an_open_request(tmp_path: Path, long_set_up: bytes, expected: Kind) -> tuple[binary.Message, Line]:
    """Send the long set-up while another client's request is open; return what its owner is told, and its offer if any.

    The other client's request has to be answered, whatever becomes of the long one.
    """
    found: list[tuple[binary.Message, Line]] = []

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        held: list[tuple[Link, Line]] = []
        host.on_open = lambda link, line: held.append((link, line))
        platform.start()
        usual, other = (yield from platform.owner()), (yield from platform.owner())
        usual.transport.write(setup(USUAL))
        yield from wait_for(lambda: held)
        host.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="x")
        other.transport.write(long_set_up)
        message = yield from wait_for_message(other, LONG, expected)
        [(link, line)] = held
        link.send(MessageType.READY, line.sid, text="x")
        yield from wait_for_message(usual, USUAL, Kind.ANSWER)
        found.append((message, host.lines(MessageType.OPEN)[-1]))

    run_on_platform(tmp_path, body)
    return found[0]


# Guards against a crash of the placer: the limit on names was in letters, that on the line to the host in bytes.
@pytest.mark.parametrize("name", [GREEK, BEYOND_BMP])
def test_a_long_set_up_with_letters_beyond_ascii_is_offered_unchanged(tmp_path: Path, name: str) -> None:
    description = "m=audio " * 1880
    long_set_up = setup(LONG, CLASS="bill", NAME=name, KEY=name[::-1], DESCRIPTION=description)
    assert len(long_set_up) <= MAX_MESSAGE_BYTES
    _, offer = place_beside_an_open_request(tmp_path, long_set_up, Kind.ANSWER)
    assert (offer.attrs["key"], offer.attrs["idem"], offer.text) == (name, name[::-1], description)


# Guards against the same crash where the line to the host would be longer than the set-up, through escapes of JSON.
def test_a_set_up_that_fits_no_message_to_a_host_is_refused(tmp_path: Path) -> None:
    message, _ = place_beside_an_open_request(tmp_path, setup(LONG, DESCRIPTION="\x01" * 3000), Kind.RELEASE)
    assert message.cause == CAUSE_INVALID


@given(
    st.text(st.sampled_from("a\u03bb\u0436\U0001f4e6\\'\""), min_size=1, max_size=128),
    st.text(st.sampled_from('a\u03bb\U0001f4e6\x01"\\\n'), max_size=40),
    st.integers(-40, 40),
)
def test_a_set_up_is_admitted_exactly_if_its_offer_fits_in_a_message(name: str, text: str, beyond: int) -> None:
    def offer_bytes(description: str) -> int:
        attrs = {"class": "bill", "key": name, "idem": name, "left": "3000"}
        return len(jsonl.encode(MessageType.OPEN, LONG, attrs, text=jsonl.quoted(description)))

    description = text + "x" * (MAX_MESSAGE_BYTES - offer_bytes(text) + min(0, beyond))
    description += "x" * max(0, beyond)
    # The set-up itself may be beyond the limit, too, so only the rest of it is decoded.
    [message] = binary.Decoder().feed(setup(LONG, CLASS="bill", NAME=name, KEY=name))
    message.parameters[Code.DESCRIPTION] = description.encode()
    if beyond > 0:
        with pytest.raises(InvalidSetUp):
            PARSER.parse(message)
        return
    parsed = PARSER.parse(message)
    offer = parsed.offer(parsed.time_left_ms)
    assert len(offer) == MAX_MESSAGE_BYTES + beyond
    [line] = jsonl.Decoder().feed(offer)
    assert (line.text, line.attrs["key"], line.attrs["idem"]) == (description, name, name)


def test_a_task_that_runs_already_is_not_refused_for_its_length() -> None:
    """It is offered to no host, and refused its end would never be told."""
    figures = "cores:1;memory:2;service:s;at:s-1"
    [message] = binary.Decoder().feed(setup(LONG, FIGURES=figures, DESCRIPTION="\x01" * 3000))
    assert message.parameters[Code.FIGURES] == figures.encode()
    assert PARSER.parse(message).current_host == "s-1"
