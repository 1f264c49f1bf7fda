"""What a placer is told when it starts, and again at SIGHUP: the environment names a file, and the file says the rest."""

from __future__ import annotations

import errno
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sprucepost import interface as i
from sprucepost.adapter import report_fields, settings_from
from sprucepost.loop import is_local_shortage
from sprucepost.node.bulletin import Address, address_of, parse

FILE_MAX_BYTES = 16 * 1024 * 1024


class ConfigError(Exception):
    """One plain line: what is wrong, and where."""


class ConfigUnavailable(ConfigError):
    """The system could not open or read the file just now: another try may succeed."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the platform gives the process."""

    memory_mb: float
    sockets: int


@dataclass(frozen=True, slots=True)
class Config:
    """One reading of the file."""

    name: str
    listen: Address
    seed: int
    limits: Limits
    bulletin: Address
    known: Any
    settings: i.Settings
    report_fields: tuple[str, ...]  # what a load report's names mean, in the module's words; "" for nothing
    report_names: tuple[str, ...]
    connect_ms: float
    idle_ms: float


def path_from(environment: Mapping[str, str]) -> Path:
    """Where the file is."""
    if not environment.get("BALANCER_CONFIG"):
        raise ConfigError("BALANCER_CONFIG: not set")
    return Path(environment["BALANCER_CONFIG"])


def read_config(environment: Mapping[str, str]) -> Config:
    """The configuration as the file has it now; ConfigError where it cannot be used."""
    path = path_from(environment)
    try:
        with path.open("rb") as file:
            data = file.read(FILE_MAX_BYTES + 1)
    except OSError as error:
        passing = is_local_shortage(error) or error.errno in (errno.EIO, errno.EINTR)
        kind = ConfigUnavailable if passing else ConfigError
        raise kind(f"{path}: {error.strerror}") from None
    if len(data) > FILE_MAX_BYTES:
        raise ConfigError(f"{path}: longer than {FILE_MAX_BYTES} bytes")
    try:
        raw = parse(data)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return _config({"name": environment.get("BALANCER_NAME"), "listen": environment.get("BALANCER_LISTEN"), **raw})
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _config(raw: dict[str, Any]) -> Config:
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        raise ValueError("settings: missing")
    limits = raw.get("limits") or {}
    names = tuple(str(name) for name in (settings.get("report") or {}).get("fields", []))
    return Config(
        name=str(raw.get("name") or "placer"),
        listen=address_of(raw.get("listen"), "listen"),
        seed=_seed(raw.get("seed", "0")),
        limits=Limits(
            _above_zero("limits.memory_mb", limits.get("memory_mb", 64)),
            int(_above_zero("limits.sockets", limits.get("sockets", 256))),
        ),
        bulletin=address_of(raw.get("bulletin"), "bulletin"),
        known=raw.get("known"),
        settings=settings_from(settings),
        report_fields=tuple(report_fields(names)),
        report_names=names,
        connect_ms=_above_zero("policy_limits.connect_timeout", settings["policy_limits"].get("connect_timeout", 250)),
        idle_ms=_above_zero("policy_limits.keepalive", settings["policy_limits"].get("keepalive", 30_000)),
    )


def _seed(value: Any) -> int:
    return value if isinstance(value, int) else int(str(value), 16)


def _above_zero(key: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < 2**53:
        raise ValueError(f"{key}: must be a number above 0")
    return float(value)
