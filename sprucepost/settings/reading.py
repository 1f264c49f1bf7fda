"""Reading of settings files; each error is one line that begins with the path of its key."""

from __future__ import annotations

import json
import re
from functools import lru_cache
from pathlib import Path
from typing import Any, Protocol, TypeVar

import msgspec


class SettingsError(Exception):
    """A settings file cannot be used; ``lines`` holds one line for each error."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


class _Validated(Protocol):
    """A settings type that checks its own values."""

    def problems(self) -> list[str]: ...


SettingsType = TypeVar("SettingsType", bound=_Validated)


def read(path: str | Path, kind: type[SettingsType]) -> SettingsType:
    """Read the settings in a file; raise SettingsError where it is missing, malformed or invalid."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    return decode(text, kind, str(path))


def decode(text: bytes, kind: type[SettingsType], where: str = "settings") -> SettingsType:
    """Parse the JSON ``text`` into settings; ``where`` is the prefix of each line of a SettingsError."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError([f"{where}: not JSON: {error}"]) from None
    try:
        return convert(raw, kind)
    except SettingsError as error:
        raise SettingsError([f"{where}: {line}" for line in error.lines]) from None


def convert(raw: Any, kind: type[SettingsType]) -> SettingsType:
    """Convert a parsed document into settings; raise SettingsError with one line for each error."""
    lines = _unknown_keys(raw, kind, "")
    if not lines:
        try:
            found = msgspec.convert(raw, kind)
        except (msgspec.ValidationError, OverflowError) as error:
            lines = [_with_path_first(str(error))]
        else:
            lines = found.problems()
            if not lines:
                return found
    raise SettingsError(lines)


def schema(kind: type[Any]) -> str:
    """Return the JSON schema of a settings type, as text."""
    return json.dumps(msgspec.json.schema(kind), indent=1, sort_keys=True) + "\n"


def _with_path_first(message: str) -> str:
    """Move the key's path from the end of a msgspec message to its front."""
    text, _, path = message.partition(" - at `")
    path = path.rstrip("`").removeprefix("$").removeprefix(".")
    text = text.replace("`", "")
    return f"{path or 'file'}: {text[:1].lower()}{text[1:]}"


def _unknown_keys(raw: Any, kind: Any, path: str) -> list[str]:
    return _unknown_keys_of_type(raw, _type_info(kind), path)


@lru_cache(maxsize=16)  # a running placer validates the same type repeatedly
def _type_info(kind: Any) -> Any:
    return msgspec.inspect.type_info(kind)


def _unknown_keys_of_type(raw: Any, info: Any, path: str) -> list[str]:
    """Return a line for each unknown key, with a suggestion where the key differs from a setting in its unit alone.

    A missing or wrong unit suffix is the usual mistake.
    """
    if isinstance(info, msgspec.inspect.Metadata):
        return _unknown_keys_of_type(raw, info.type, path)
    found: list[str] = []
    if isinstance(info, msgspec.inspect.StructType) and isinstance(raw, dict):
        fields = {field.encode_name: field.type for field in info.fields}
        for key, value in raw.items():
            here = f"{path}.{key}" if path else key
            if key in fields:
                found += _unknown_keys_of_type(value, fields[key], here)
            else:
                name_without_unit = re.sub(r"_(ms|s|us|sec|seconds|bytes|kb|mb)$", "", key)
                similar = [name for name in fields if re.sub(r"_(ms|bytes)$", "", name) == name_without_unit]
                found.append(f"{here}: unknown key" + (f"; did you mean {similar[0]}?" if similar else ""))
    elif isinstance(info, msgspec.inspect.ListType) and isinstance(raw, list):
        for n, value in enumerate(raw):
            found += _unknown_keys_of_type(value, info.item_type, f"{path}[{n}]")
    return found
