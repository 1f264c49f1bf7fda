"""Read a settings file; every fault is one plain line with the key's path."""

from __future__ import annotations

import json
import re
from functools import lru_cache
from pathlib import Path
from typing import Any, Protocol, TypeVar

import msgspec


class SettingsError(Exception):
    """The file cannot be used. ``lines`` says why, one fault each."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


class _Checked(Protocol):
    def problems(self) -> list[str]: ...


C = TypeVar("C", bound=_Checked)


def read(path: str | Path, kind: type[C]) -> C:
    """The settings in a file; SettingsError where it is missing, malformed or makes no sense."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    return decode(text, kind, str(path))


def decode(text: bytes, kind: type[C], where: str = "settings") -> C:
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError([f"{where}: not JSON: {error}"]) from None
    try:
        return convert(raw, kind)
    except SettingsError as error:
        raise SettingsError([f"{where}: {line}" for line in error.lines]) from None


def convert(raw: Any, kind: type[C]) -> C:
    """The settings in a parsed document; SettingsError with a line for each fault, its key's path in front."""
    lines = _unknown(raw, kind, "")
    if not lines:
        try:
            found = msgspec.convert(raw, kind)
        except (msgspec.ValidationError, OverflowError) as error:
            lines = [_plain(str(error))]
        else:
            lines = found.problems()
            if not lines:
                return found
    raise SettingsError(lines)


def schema(kind: type[Any]) -> str:
    """The JSON schema of a kind of file, as text."""
    return json.dumps(msgspec.json.schema(kind), indent=1, sort_keys=True) + "\n"


def _plain(message: str) -> str:
    """msgspec's message with the path in front."""
    text, _, path = message.partition(" - at `")
    path = path.rstrip("`").removeprefix("$").removeprefix(".")
    text = text.replace("`", "")
    return f"{path or 'file'}: {text[:1].lower()}{text[1:]}"


def _unknown(raw: Any, kind: Any, path: str) -> list[str]:
    return _unknown_in(raw, _type_info(kind), path)


@lru_cache(maxsize=16)  # a running placer judges one kind again and again
def _type_info(kind: Any) -> Any:
    return msgspec.inspect.type_info(kind)


def _unknown_in(raw: Any, info: Any, path: str) -> list[str]:
    """All keys that no setting has, each with the nearest that one does have: a unit left out is the usual slip."""
    if isinstance(info, msgspec.inspect.Metadata):
        return _unknown_in(raw, info.type, path)
    found: list[str] = []
    if isinstance(info, msgspec.inspect.StructType) and isinstance(raw, dict):
        fields = {field.encode_name: field.type for field in info.fields}
        for key, value in raw.items():
            here = f"{path}.{key}" if path else key
            if key in fields:
                found += _unknown_in(value, fields[key], here)
            else:
                stem = re.sub(r"_(ms|s|us|sec|seconds|bytes|kb|mb)$", "", key)
                near = [name for name in fields if re.sub(r"_(ms|bytes)$", "", name) == stem]
                found.append(f"{here}: unknown key" + (f"; did you mean {near[0]}?" if near else ""))
    elif isinstance(info, msgspec.inspect.ListType) and isinstance(raw, list):
        for n, value in enumerate(raw):
            found += _unknown_in(value, info.item_type, f"{path}[{n}]")
    return found
