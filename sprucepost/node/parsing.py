"""Parsing and validation of owners' set-ups and of the text fields in hosts' messages, into the scheduler's types."""

from __future__ import annotations

import math
from dataclasses import dataclass

from sprucepost import interface as i
from sprucepost.node import jsonl
from sprucepost.node.binary import Code, Message
from sprucepost.node.framing import MessageTooLong

MAX_NAME_CHARS = 128  # of a name, a key or a service
EMPTY_ID = "0" * 16
CAUSE_MISSING, CAUSE_INVALID = 96, 100  # a required parameter is missing; a parameter has an invalid value


class InvalidSetUp(Exception):
    """The set-up is invalid and can never be admitted; ``cause`` is sent to the owner."""

    def __init__(self, cause: int, why: str) -> None:
        super().__init__(why)
        self.cause = cause


@dataclass(frozen=True, slots=True)
class SetUp:
    """A valid set-up."""

    sid: str
    name: str
    class_name: str
    task_class: int
    service: str
    cores: float
    memory: float
    time_left_ms: float
    key: str  # idempotency key of keyed classes; "" if there is none
    description: str  # the description as JSON
    current_host: str  # the host that runs the task already; "" if there is none
    tenant: int = 0  # index in the settings; 0 if the deployment has no tenants

    def request(self, number: int, time_left_ms: float) -> i.TaskRequest:
        """Return the task as a request to the scheduler."""
        return i.TaskRequest(
            number, self.task_class, self.service, self.cores, self.memory, time_left_ms, self.tenant, task=self.name
        )

    def offer(self, time_left_ms: float) -> bytes:
        """Return the message that offers the task to a host. One with no more time left than the set-up gives can be
        encoded: the parser has tried it."""
        attrs = {"class": self.class_name, "key": self.name}
        if self.key:
            attrs["idem"] = self.key
        attrs["left"] = str(int(time_left_ms))
        return jsonl.encode(jsonl.MessageType.OPEN, self.sid, attrs, text=self.description)


class SetUpParser:
    """Parses set-ups for one deployment's settings."""

    def __init__(self, settings: i.Settings) -> None:
        self._classes = {cls.name: n for n, cls in enumerate(settings.classes)}
        self._tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        self._settings = settings
        self._max_cores = max(kind.cores for kind in settings.kinds) * settings.accepts_cores
        self._max_memory = max(kind.memory for kind in settings.kinds) * settings.accepts_memory

    def parse(self, message: Message) -> SetUp:
        """Return the parsed set-up; raises InvalidSetUp if the message is not a valid task of this deployment."""
        if message.task == EMPTY_ID:  # hosts reject such a message and close the connection, with every set-up on it
            raise InvalidSetUp(CAUSE_MISSING, "the task id is all zeros")
        class_name = _text(message, Code.CLASS)
        if class_name not in self._classes:
            raise InvalidSetUp(CAUSE_INVALID, f"unknown task class {class_name!r}")
        class_index = self._classes[class_name]
        cls = self._settings.classes[class_index]
        figures = _figures(_text(message, Code.FIGURES, 1024))
        cores, memory = _number(figures, "cores"), _number(figures, "memory")
        if not (0 <= cores <= self._max_cores and 0 <= memory <= self._max_memory) or cores + memory <= 0:
            raise InvalidSetUp(CAUSE_INVALID, "cores or memory are negative, both zero, or more than any host accepts")
        service, current_host = figures.get("service", ""), figures.get("at", "")
        if not service or len(service) > MAX_NAME_CHARS or len(current_host) > MAX_NAME_CHARS:
            raise InvalidSetUp(CAUSE_INVALID, "the service name is empty, or the service or host name is too long")
        time_left_ms = 0.0
        if not current_host or Code.LEFT in message.parameters:
            time_left_ms = _finite(_text(message, Code.LEFT))
            if not (0 < time_left_ms <= 2 * cls.deadline or current_host):
                raise InvalidSetUp(CAUSE_INVALID, f"time left of {time_left_ms:g} ms is out of range")
        tenant = 0
        if self._tenants:
            tenant_name = _text(message, Code.TENANT)
            if tenant_name not in self._tenants:
                raise InvalidSetUp(CAUSE_INVALID, f"unknown tenant {tenant_name!r}")
            tenant = self._tenants[tenant_name]
        name = _text(message, Code.NAME)
        key = _text(message, Code.KEY) if Code.KEY in message.parameters else ""
        if cls.effect is i.Effect.KEYED and not key:
            raise InvalidSetUp(CAUSE_MISSING, "a task of a keyed class has no key")
        try:
            description = jsonl.quoted(message.parameters.get(Code.DESCRIPTION, b"").decode("utf-8"))
        except UnicodeDecodeError:
            raise InvalidSetUp(CAUSE_INVALID, "the description is not valid UTF-8") from None
        if Code.DESCRIPTION not in message.parameters and not current_host:
            raise InvalidSetUp(CAUSE_MISSING, "the description is missing")
        setup = SetUp(
            message.task,
            name,
            class_name,
            class_index,
            service,
            cores,
            memory,
            time_left_ms,
            key,
            description,
            current_host,
            tenant,
        )
        if not current_host:  # a task that runs already is offered to no host
            _check_offer(setup)
        return setup


def _check_offer(setup: SetUp) -> None:
    """Raise InvalidSetUp unless the task can be offered to a host in one message."""
    try:
        setup.offer(setup.time_left_ms)
    except MessageTooLong as error:
        raise InvalidSetUp(CAUSE_INVALID, f"the set-up cannot be offered to a host: {error}") from None


def _text(message: Message, code: Code, max_chars: int = MAX_NAME_CHARS) -> str:
    value = message.parameters.get(code)
    if value is None:
        raise InvalidSetUp(CAUSE_MISSING, f"parameter {code.value} is missing")
    try:
        text = value.decode("utf-8")
    except UnicodeDecodeError:
        raise InvalidSetUp(CAUSE_INVALID, f"parameter {code.value} is not valid UTF-8") from None
    if not text or len(text) > max_chars or not text.isprintable():
        raise InvalidSetUp(CAUSE_INVALID, f"parameter {code.value} is empty, too long or not printable")
    return text


def _figures(text: str) -> dict[str, str]:
    figures: dict[str, str] = {}
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        if not colon or name in figures:
            raise InvalidSetUp(CAUSE_INVALID, "figures are not name:value pairs with unique names")
        figures[name] = value
    return figures


def _number(figures: dict[str, str], name: str) -> float:
    if name not in figures:
        raise InvalidSetUp(CAUSE_MISSING, f"figure {name} is missing")
    return _finite(figures[name])


def _finite(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise InvalidSetUp(CAUSE_INVALID, f"{text!r} is not a finite number") from None
    if not math.isfinite(value):
        raise InvalidSetUp(CAUSE_INVALID, f"{text!r} is not a finite number")
    return value


def parse_number(text: str | None) -> float | None:
    """Return the finite number in a host's field, or None."""
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
    """Parse a load report such as ``x0:12;queue:3``; names that the settings do not map to a field are skipped."""
    if not text:
        return None
    field_of = dict(zip(names, fields, strict=True))
    values: dict[str, float] = {}
    for part in text.split(";"):
        name, _, number = part.partition(":")
        value = parse_number(number)
        if field_of.get(name) and value is not None:
            values[field_of[name]] = value
    return i.LoadReport(**values) if values else None
