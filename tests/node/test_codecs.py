"""Both codecs: any split of the bytes gives the same messages, invalid bytes give one error, and memory is bounded."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.node import binary, jsonl
from sprucepost.node.binary import Code, Kind
from sprucepost.node.framing import MAX_MESSAGE_BYTES
from sprucepost.node.jsonl import MessageType

SID = "9b1f03aa5c7e2d41"
texts = st.text(st.characters(exclude_categories=["Cs"]), max_size=60)
messages = st.lists(
    st.builds(
        lambda kind, sid, values: binary.encode(kind, f"{sid:016x}", values.items()),
        st.sampled_from(Kind),
        st.integers(0, 2**64 - 1),
        st.dictionaries(st.sampled_from(Code), st.binary(max_size=80), max_size=4),
    ),
    max_size=4,
)
lines = st.lists(
    st.builds(
        lambda word, sid, attrs, code, text: jsonl.encode(word, f"{sid:016x}", attrs, code, jsonl.quoted(text)),
        st.sampled_from(MessageType),
        st.integers(0, 2**64 - 1),
        st.dictionaries(texts, texts, max_size=3),
        st.none() | st.integers(0, 255),
        texts,
    ),
    max_size=4,
)


def decode_in_pieces(decoder: Any, data: bytes, cuts: list[int]) -> tuple[list[Any], bool]:
    found: list[Any] = []
    at = 0
    for cut in sorted({min(cut, len(data)) for cut in cuts} | {len(data)}):
        found += decoder.feed(data[at:cut])
        assert decoder.buffered_bytes <= MAX_MESSAGE_BYTES
        at = cut
    return found, decoder.error is not None


@pytest.mark.parametrize("codec", [binary, jsonl])
@given(data=st.data())
def test_any_split_gives_the_same_messages_or_error(codec: Any, data: st.DataObject) -> None:
    whole = data.draw(messages if codec is binary else lines)
    tail = data.draw(st.binary(max_size=40))
    cuts = data.draw(st.lists(st.integers(0, 600), max_size=8))
    raw = b"".join(whole) + tail
    unsplit = decode_in_pieces(codec.Decoder(), raw, [])
    assert decode_in_pieces(codec.Decoder(), raw, cuts) == unsplit
    assert len(unsplit[0]) >= len(whole)


@given(texts, st.dictionaries(st.sampled_from(["left", "key"]), texts))
def test_a_description_survives_both_codecs(text: str, attrs: dict[str, str]) -> None:
    [line] = jsonl.Decoder().feed(jsonl.encode(MessageType.OPEN, SID.upper(), attrs, text=jsonl.quoted(text)))
    assert (line.text, line.attrs, line.sid) == (text, attrs, SID)
    [message] = binary.Decoder().feed(binary.encode(Kind.ANSWER, SID, [(Code.DESCRIPTION, text.encode())]))
    assert message.parameters[Code.DESCRIPTION].decode() == text and message.task == SID


def test_encoded_bytes_match_the_protocol() -> None:
    assert binary.encode(Kind.RELEASE, SID, [(Code.CAUSE, b"\x22")]).hex() == "000d0c9b1f03aa5c7e2d41de000122"
    line = json.loads(jsonl.encode(MessageType.CLOSE, SID, code=34))
    assert line == {"msg": "close", "sid": SID, "attrs": {}, "code": 34}


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x08" + bytes(8),  # shorter than a type and an id
        b"\xff\xff" + bytes(9),  # longer than the size limit, known from its length field
        b"\x00\x0a" + bytes(9) + b"\xe1",  # a parameter without its length field
        b"\x00\x0c" + bytes(9) + b"\xe1\x00\x09",  # a parameter longer than its message
        b"\x00\x0f" + bytes(9) + b"\xe1\x00\x00\xe1\x00\x00",  # a duplicate parameter
    ],
)
def test_an_invalid_binary_message_is_an_error(data: bytes) -> None:
    decoder = binary.Decoder()
    assert decoder.feed(data) == [] and decoder.error is not None
    assert decoder.feed(binary.encode(Kind.TEST, SID)) == [] and decoder.buffered_bytes == 0


@pytest.mark.parametrize(
    "line",
    [
        "", "[]", "nonsense", '"open"', "[" * 9000, "\xff", '{"msg":"open"}', f'{{"msg":"dance","sid":"{SID}"}}',
        '{"msg":"close","sid":"0"}', '{"msg":"close","sid":12}', f'{{"msg":"close","sid":"{SID}x"}}',
        f'{{"msg":"close","sid":"{SID}","code":"34"}}', f'{{"msg":"close","sid":"{SID}","code":true}}',
        f'{{"msg":"close","sid":"{SID}","code":1e400}}', f'{{"msg":"event","sid":"{SID}","attrs":[]}}',
        f'{{"msg":"event","sid":"{SID}","attrs":{{"a":null}}}}',
        f'{{"msg":"event","sid":"{SID}","attrs":{{"a":{"9" * 5000}}}}}',
        f'{{"msg":"ready","sid":"{SID}","text":7}}', f'{{"msg":"ready","sid":"{SID}","text":"\\ud800"}}',
    ],
)  # fmt: skip
def test_an_invalid_line_is_an_error(line: str) -> None:
    decoder = jsonl.Decoder()
    assert decoder.feed(line.encode("latin-1") + b"\n") == [] and decoder.error is not None
    assert decoder.feed(jsonl.encode(MessageType.PROBE, SID)) == []


def test_a_line_without_an_end_is_an_error_at_the_size_limit() -> None:
    decoder = jsonl.Decoder()
    for _ in range(MAX_MESSAGE_BYTES // 64 - 1):
        decoder.feed(b"x" * 64)
    assert decoder.error is None
    decoder.feed(b"x" * 64)
    assert decoder.error is not None and decoder.buffered_bytes == 0
    with pytest.raises(ValueError):
        jsonl.encode(MessageType.READY, SID, text=jsonl.quoted("x" * MAX_MESSAGE_BYTES))
    with pytest.raises(ValueError):
        binary.encode(Kind.ANSWER, SID, [(Code.DESCRIPTION, b"x" * MAX_MESSAGE_BYTES)])
