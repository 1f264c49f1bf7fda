"""What an owner's set-up asks for, checked, and in the module's terms."""

from __future__ import annotations

import math
from dataclasses import dataclass

from sprucepost import interface as i
from sprucepost.node import jsonl
from sprucepost.node.binary import Code, Message
from sprucepost.node.framing import MAX_MESSAGE_BYTES

NAME_MOST = 128  # characters of a name, a key or a service
ROOM_FOR_FIELDS = 1024  # bytes that a host's line needs beside the description
NO_ID = "0" * 16
MISSING, INVALID = 96, 100  # causes: a parameter that must be there is not; one that cannot be what it says


class InvalidSetUp(Exception):
    """The set-up cannot be taken, whoever asks and whenever."""

    def __init__(self, cause: int, why: str) -> None:
        super().__init__(why)
        self.cause = cause


@dataclass(frozen=True, slots=True)
class SetUp:
    """One set-up that may be taken."""

    sid: str
    name: str
    class_name: str
    task_class: int
    service: str
    cores: float
    memory: float
    time_left_ms: float
    key: str  # of keyed classes; "" where there is none
    description: str  # the description as JSON
    current_host: str  # the host that holds the task already; "" for none
    tenant: int = 0  # by its place in the settings; 0 where the deployment has none

    def request(self, number: int, left: float) -> i.TaskRequest:
        """The task for the module."""
        return i.TaskRequest(
            number, self.task_class, self.service, self.cores, self.memory, left, self.tenant, task=self.name
        )


class SetUpParser:
    """Reads set-ups for one deployment."""

    def __init__(self, settings: i.Settings) -> None:
        self._classes = {cls.name: n for n, cls in enumerate(settings.classes)}
        self._tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        self._settings = settings
        self._cores = max(kind.cores for kind in settings.kinds) * settings.accepts_cores
        self._memory = max(kind.memory for kind in settings.kinds) * settings.accepts_memory

    def parse(self, message: Message) -> SetUp:
        """What the message asks for; InvalidSetUp where that is no task of this deployment."""
        if message.task == NO_ID:  # hosts cannot read such a line, and end the connection with all that is open on it
            raise InvalidSetUp(MISSING, "no id")
        class_name = _text(message, Code.CLASS)
        if class_name not in self._classes:
            raise InvalidSetUp(INVALID, f"class {class_name!r} is not known")
        number = self._classes[class_name]
        cls = self._settings.classes[number]
        figures = _figures(_text(message, Code.FIGURES, 1024))
        cores, memory = _number(figures, "cores"), _number(figures, "memory")
        if not (0 <= cores <= self._cores and 0 <= memory <= self._memory) or cores + memory <= 0:
            raise InvalidSetUp(INVALID, "no host has that many cores or that much memory")
        service, at = figures.get("service", ""), figures.get("at", "")
        if not service or len(service) > NAME_MOST or len(at) > NAME_MOST:
            raise InvalidSetUp(INVALID, "a service's or host's name that is none")
        left = 0.0
        if not at or Code.LEFT in message.parameters:
            left = _finite(_text(message, Code.LEFT))
            if not (0 < left <= 2 * cls.deadline or at):
                raise InvalidSetUp(INVALID, f"an owner that waits {left:g} ms")
        tenant = 0
        if self._tenants:
            whose = _text(message, Code.TENANT)
            if whose not in self._tenants:
                raise InvalidSetUp(INVALID, f"tenant {whose!r} is not known")
            tenant = self._tenants[whose]
        name = _text(message, Code.NAME)
        key = _text(message, Code.KEY) if Code.KEY in message.parameters else ""
        if cls.effect is i.Effect.KEYED and not key:
            raise InvalidSetUp(MISSING, "a task of a keyed class without a key")
        try:
            text = jsonl.quoted(message.parameters.get(Code.DESCRIPTION, b"").decode("utf-8"))
        except UnicodeDecodeError:
            raise InvalidSetUp(INVALID, "a description that is no text") from None
        if Code.DESCRIPTION not in message.parameters and not at:
            raise InvalidSetUp(MISSING, "no description")
        if len(text.encode("utf-8")) > MAX_MESSAGE_BYTES - ROOM_FOR_FIELDS:
            raise InvalidSetUp(INVALID, "a description that no line to a host can hold")
        return SetUp(message.task, name, class_name, number, service, cores, memory, left, key, text, at, tenant)


def _text(message: Message, code: Code, most: int = NAME_MOST) -> str:
    value = message.parameters.get(code)
    if value is None:
        raise InvalidSetUp(MISSING, f"parameter {code.value} is missing")
    try:
        text = value.decode("utf-8")
    except UnicodeDecodeError:
        raise InvalidSetUp(INVALID, f"parameter {code.value} is no text") from None
    if not text or len(text) > most or not text.isprintable():
        raise InvalidSetUp(INVALID, f"parameter {code.value} is empty, too long or not printable")
    return text


def _figures(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        if not colon or name in found:
            raise InvalidSetUp(INVALID, "figures that are not name:value, each once")
        found[name] = value
    return found


def _number(figures: dict[str, str], name: str) -> float:
    if name not in figures:
        raise InvalidSetUp(MISSING, f"no figure {name}")
    return _finite(figures[name])


def _finite(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise InvalidSetUp(INVALID, f"{text!r} is no number") from None
    if not math.isfinite(value):
        raise InvalidSetUp(INVALID, f"{text!r} is no number")
    return value


def parse_number(text: str | None) -> float | None:
    """A number from a host's field, or None."""
    try:
        value = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return value if math.isfinite(value) else None


REASONS = {
    "no_cores": i.Reason.NO_CORES,
    "no_memory": i.Reason.NO_MEMORY,
    "queue_full": i.Reason.QUEUE_FULL,
    "not_here": i.Reason.NOT_HERE,
    "evicted": i.Reason.EVICTED,
    "pushed_out": i.Reason.PUSHED_OUT,
    "sent_away": i.Reason.SENT_AWAY,
}
NOTES = {
    "runs": i.StatusKind.RUNNING,
    "cores": i.StatusKind.CORES_USED,
    "memory": i.StatusKind.MEMORY_USED,
    "served": i.StatusKind.SERVED_SHARE,
    "pressure": i.StatusKind.MACHINE_MEMORY,
}


def parse_load_report(text: str | None, names: tuple[str, ...], fields: tuple[str, ...]) -> i.LoadReport | None:
    """A load report such as ``x0:12;queue:3``; names that the settings do not give are passed over."""
    if not text:
        return None
    meaning = dict(zip(names, fields, strict=True))
    values: dict[str, float] = {}
    for part in text.split(";"):
        name, _, number = part.partition(":")
        value = parse_number(number)
        if meaning.get(name) and value is not None:
            values[meaning[name]] = value
    return i.LoadReport(**values) if values else None
