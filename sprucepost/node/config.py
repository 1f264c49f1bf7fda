"""A placer's configuration: a JSON file named by the environment, read at the start and again at SIGHUP."""

from __future__ import annotations

import errno
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sprucepost import interface as i
from sprucepost.adapter import report_fields, settings_from
from sprucepost.loop import is_local_shortage
from sprucepost.node.address_holders import Address
from sprucepost.node.bulletin import address_of, parse

MAX_FILE_BYTES = 16 * 1024 * 1024


class ConfigError(Exception):
    """The configuration cannot be used; the message is one line that says what is wrong, and where."""


class ConfigUnavailable(ConfigError):
    """The system could not open or read the file this time; a retry may succeed."""


@dataclass(frozen=True, slots=True)
class Limits:
    """The resources that the platform gives the process."""

    memory_mb: float  # MiB
    sockets: int  # open descriptors


@dataclass(frozen=True, slots=True)
class Config:
    """The content of the file, checked; times are in ms."""

    name: str
    listen: Address
    seed: int
    limits: Limits
    bulletin: Address
    known: Any  # a bulletin document with the hosts known at the start; None without one
    settings: i.Settings
    report_fields: tuple[str, ...]  # of the decision module, one for each of report_names; "" for unknown names
    report_names: tuple[str, ...]  # the fields of a host's load report
    connect_ms: float  # timeout for opening a connection
    idle_ms: float  # after which an unused connection is closed


def path_from(environment: Mapping[str, str]) -> Path:
    """The path of the configuration file; ConfigError where the environment names none."""
    if not environment.get("BALANCER_CONFIG"):
        raise ConfigError("BALANCER_CONFIG: not set")
    return Path(environment["BALANCER_CONFIG"])


def read_config(environment: Mapping[str, str]) -> Config:
    """Read the file. Raises ConfigError where it cannot be used, ConfigUnavailable where a retry may succeed."""
    path = path_from(environment)
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        transient = is_local_shortage(error) or error.errno in (errno.EIO, errno.EINTR)
        kind = ConfigUnavailable if transient else ConfigError
        raise kind(f"{path}: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise ConfigError(f"{path}: longer than {MAX_FILE_BYTES} bytes")
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
    """Check the parsed file, with defaults for what it leaves out."""
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
