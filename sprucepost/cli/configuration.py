"""``fleet config``: reads and changes the deployment's configuration through one placer (docs/configuration.md)."""

from __future__ import annotations

import json
import os
import sys
import urllib.error
import urllib.request
from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn

import click

from sprucepost.cli.members import ViewUnavailable, fetch_view
from sprucepost.cli.tables import table

ANSWER_TIMEOUT_MS = 5000.0
MAX_ANSWER_BYTES = 4_194_304
CONFIGURATION_OFF = "off"
EXIT_REFUSED, EXIT_INCONSISTENT = 2, 1


class NoAnswer(Exception):
    """A placer did not answer; the message says why, in one line."""


class ConfigurationOff(NoAnswer):
    """The placer does not carry a configuration."""


@dataclass(frozen=True, slots=True)
class MemberConfiguration:
    """A member's configuration in force; ``trouble`` says why it is unknown, or why a newer one is held back."""

    name: str
    address: str
    version: str
    digest: str
    trouble: str


@click.group("config")
def config() -> None:
    """Read and change the configuration that a fleet's placers share, through the HTTP port of any of them."""


_AUTHOR = click.option(
    "--author", default=lambda: os.environ.get("USER", "unknown"), help="Author of the change; by default the user."
)
_COMMENT = click.option("--comment", default="", help="Reason for the change.")


@config.command()
@click.argument("address")
@click.argument("pairs", metavar="[KEY=VALUE]...", nargs=-1)
@click.option(
    "--file", "path", type=click.Path(path_type=Path), help="JSON file: a nested document, or an object of key paths."
)
@click.option("--remove", "removed", multiple=True, metavar="KEY", help="Reset a key to its default; may be repeated.")
@click.option("--against", default="", help="Refuse the change if one of its keys has changed since this version.")
@_AUTHOR
@_COMMENT
def apply(
    address: str,
    pairs: tuple[str, ...],
    path: Path | None,
    removed: tuple[str, ...],
    against: str,
    author: str,
    comment: str,
) -> None:
    """Change all given keys or none, through the placer whose HTTP port is at ADDRESS. Exit status 2 if it is refused.
    VALUE is JSON; anything else is taken as text."""
    values = {**_from_file(path), **_from_pairs(pairs)}
    edits: list[dict[str, Any]] = [{"key": key, "value": json.dumps(value)} for key, value in values.items()]
    edits += [{"key": key, "removed": True} for key in removed]
    _propose(address, edits=edits, author=author, comment=comment, against=against)


@config.command()
@click.argument("address")
@click.argument("change")
@_AUTHOR
@_COMMENT
def rollback(address: str, change: str, author: str, comment: str) -> None:
    """Restore all values as of CHANGE, a position shown by the history, by a new change."""
    _propose(address, rollback_to=change, author=author, comment=comment)


@config.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def status(address: str, as_json: bool) -> None:
    """Show the configuration in force at each member seen by the placer whose HTTP port is at ADDRESS. Exit status 1
    if versions differ, or a member holds the agreed version back, carries no configuration or doesn't answer."""
    members = [_member_configuration(member) for member in _members(address) if member["condition"] == "here"]
    if as_json:
        click.echo(json.dumps([{name: getattr(member, name) for name in member.__slots__} for member in members]))
    else:
        rows = [[member.name, member.version, member.digest, member.address, member.trouble] for member in members]
        click.echo(table(["name", "version", "in force", "address", "trouble"], rows))
    inconsistent = len({(member.version, member.digest) for member in members}) > 1
    sys.exit(EXIT_INCONSISTENT if inconsistent or any(member.trouble for member in members) else 0)


@config.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="The placer's JSON, unchanged.")
def history(address: str, as_json: bool) -> None:
    """Show the latest changes that the placer whose HTTP port is at ADDRESS knows, oldest first."""
    entries = _fetch_configuration(address)["history"]
    if as_json:
        click.echo(json.dumps(entries, indent=1))
        return
    rows = [
        [entry["position"], entry["state"], entry["author"], _edits_text(entry), entry["line"] or entry["comment"]]
        for entry in entries
    ]
    click.echo(table(["change", "state", "author", "keys", "why"], rows))


def _fail(line: str) -> NoReturn:
    click.echo(f"sprucepost: {line}", err=True)
    sys.exit(EXIT_REFUSED)


def _from_file(path: Path | None) -> dict[str, Any]:
    """Return the keys that a file sets, without the order of lists: a file may name only some of a list's elements."""
    from sprucepost.configuration.document import ORDER_SUFFIX, flatten

    if path is None:
        return {}
    try:
        document = json.loads(path.read_bytes())
        keys = flatten(document) if isinstance(document, dict) else None
    except OSError as error:
        _fail(f"{path}: {error.strerror}")
    except (ValueError, RecursionError) as error:
        _fail(f"{path}: not JSON: {error}")
    if keys is None:
        _fail(f"{path}: not an object")
    return {key: value for key, value in keys.items() if not key.endswith(ORDER_SUFFIX)}


def _from_pairs(pairs: tuple[str, ...]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for pair in pairs:
        key, equals, text = pair.partition("=")
        if not key or not equals:
            _fail(f"{pair}: not KEY=VALUE")
        if key in found:
            _fail(f"{key}: appears twice")
        try:
            found[key] = json.loads(text)
        except ValueError:
            found[key] = text
    return found


def _edits_text(entry: dict[str, Any]) -> str:
    if entry["baseline"]:
        return "(the first placer's file)"
    return " ".join(
        f"{key} removed" if key in entry["removed"] else f"{key}={json.dumps(value)}"
        for key, value in entry["edits"].items()
    )


# Requests to placers


def _members(address: str) -> list[dict[str, Any]]:
    return list(_view(address)["members"])


def _view(address: str) -> dict[str, Any]:
    try:
        return fetch_view(address)
    except ViewUnavailable as error:
        _fail(f"{address}: {error}")


def _fetch_configuration(address: str) -> dict[str, Any]:
    """Return the placer's ``/config`` document."""
    try:
        with urllib.request.urlopen(f"http://{address}/config", timeout=ANSWER_TIMEOUT_MS / 1000.0) as answer:
            document: dict[str, Any] = json.loads(answer.read())
    except urllib.error.HTTPError as error:
        _fail(f"{address}: {error.read().decode(errors='replace').strip() or error}")
    except (OSError, ValueError) as error:
        _fail(f"{address}: {error}")
    return document


def _member_configuration(member: dict[str, Any]) -> MemberConfiguration:
    from sprucepost.placer.configuration_service import SHOW_PATH
    from sprucepost.v1 import configuration_pb2 as pb

    name, address = member["name"], member["address"]
    try:
        reply = call_placer(address, SHOW_PATH, pb.ConfigurationShowRequest().SerializeToString())
        shown = json.loads(pb.ConfigurationShown.FromString(reply).json)
    except ConfigurationOff as error:
        return MemberConfiguration(name, address, CONFIGURATION_OFF, CONFIGURATION_OFF, str(error))
    except NoAnswer as error:
        return MemberConfiguration(name, address, "?", "?", str(error))
    held = shown["held"]
    return MemberConfiguration(name, address, shown["version"], shown["digest"], "" if held is None else held["line"])


def _propose(address: str, **fields: Any) -> None:
    """Send a proposal with these fields and print its result; exit with status 2 if it is refused."""
    from sprucepost.placer.configuration_service import PROPOSE_PATH
    from sprucepost.v1 import configuration_pb2 as pb

    try:
        proposal = pb.ConfigurationProposal(**fields)
    except ValueError:  # UnicodeEncodeError: an argument contains bytes that are not UTF-8
        _fail("a key, author, comment or version isn't UTF-8")
    view = _view(address)
    target = next(member["address"] for member in view["members"] if member["name"] == view["name"])
    try:
        receipt = pb.ConfigurationReceipt.FromString(call_placer(target, PROPOSE_PATH, proposal.SerializeToString()))
    except NoAnswer as error:
        _fail(f"{target}: {error}")
    if receipt.refusal:
        _fail(receipt.refusal)
    click.echo(f"change {receipt.position} is in force at {view['name']}; version {receipt.version}")


def call_placer(address: str, path: str, request: bytes) -> bytes:
    """Make one unary call to a placer's gRPC port; raise NoAnswer where it fails."""
    from sprucepost.loop import TimedOut
    from sprucepost.loop.epoll import EpollLoop
    from sprucepost.wire.client import open_client
    from sprucepost.wire.connection import Options
    from sprucepost.wire.status import Code, RpcError

    loop = EpollLoop()
    host, _, port = address.rpartition(":")

    def body() -> Generator[Any, Any, bytes]:
        connection = yield from open_client(
            loop, (host, int(port)), ANSWER_TIMEOUT_MS, Options(max_message_bytes=MAX_ANSWER_BYTES)
        )
        try:
            return (yield from connection.unary(path, request, timeout_ms=ANSWER_TIMEOUT_MS))
        finally:
            connection.close()

    try:
        return loop.run(body)
    except RpcError as error:
        if error.code is Code.UNIMPLEMENTED:
            raise ConfigurationOff("carries no configuration") from None
        raise NoAnswer(str(error)) from None
    except (OSError, TimedOut, ValueError) as error:
        raise NoAnswer(str(error) or type(error).__name__) from None
    finally:
        loop.close()
