"""``fleet config``: the deployment's configuration, read and changed at one placer (docs/configuration.md)."""

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

from sprucepost.cli.members import NoView, ask
from sprucepost.cli.tables import table

ASK_MS = 5000.0  # for one placer's answer
MESSAGE_MOST = 4_194_304  # bytes of one answer
OFF = "off"
REFUSED, UNLIKE = 2, 1  # exit statuses


class Unanswered(Exception):
    """A placer gave no answer; why, in one line."""


class ConfigurationOff(Unanswered):
    """The placer carries no configuration."""


@dataclass(frozen=True, slots=True)
class MemberConfiguration:
    """What one member has in force; ``trouble``: why it isn't known, or is held."""

    name: str
    address: str
    version: str
    digest: str
    trouble: str


@click.group("config")
def config() -> None:
    """The configuration of a fleet whose placers carry one, by the HTTP port of any of them."""


_AUTHOR = click.option(
    "--author", default=lambda: os.environ.get("USER", "unknown"), help="Who asks for it; the user by default."
)
_COMMENT = click.option("--comment", default="", help="Why.")


@config.command()
@click.argument("address")
@click.argument("pairs", metavar="[KEY=VALUE]...", nargs=-1)
@click.option("--file", "path", type=click.Path(path_type=Path), help="JSON: a document, or an object of key paths.")
@click.option("--remove", "removed", multiple=True, metavar="KEY", help="Back to the default; may be repeated.")
@click.option("--against", default="", help="Refuse it where one of the keys has changed since that version.")
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
    """Change keys at the placer whose HTTP port is at ADDRESS: all of them or none. Exit status 2 where it is refused.
    VALUE is JSON, or else text."""
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
    """A new change that restores all values as they were right after CHANGE (a position that the history shows)."""
    _propose(address, rollback_to=change, author=author, comment=comment)


@config.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def status(address: str, as_json: bool) -> None:
    """What each member has in force, of those that the placer sees whose HTTP port is at ADDRESS. Exit status 1 where one
    has another version than the others, holds the agreed one back, carries none, or doesn't answer."""
    members = [_member_configuration(member) for member in _members(address) if member["condition"] == "here"]
    if as_json:
        click.echo(json.dumps([{name: getattr(member, name) for name in member.__slots__} for member in members]))
    else:
        rows = [[member.name, member.version, member.digest, member.address, member.trouble] for member in members]
        click.echo(table(["name", "version", "in force", "address", "trouble"], rows))
    unlike = len({(member.version, member.digest) for member in members}) > 1
    sys.exit(UNLIKE if unlike or any(member.trouble for member in members) else 0)


@config.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As the placer tells it.")
def history(address: str, as_json: bool) -> None:
    """The latest changes as the placer knows them whose HTTP port is at ADDRESS, oldest first."""
    entries = _page(address)["history"]
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
    sys.exit(REFUSED)


def _from_file(path: Path | None) -> dict[str, Any]:
    """The keys that a file sets; the order of a list isn't among them: a file may name some of its elements alone."""
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


# Asking placers


def _members(address: str) -> list[dict[str, Any]]:
    return list(_view(address)["members"])


def _view(address: str) -> dict[str, Any]:
    try:
        return ask(address)
    except NoView as error:
        _fail(f"{address}: {error}")


def _page(address: str) -> dict[str, Any]:
    """The placer's ``/config``."""
    try:
        with urllib.request.urlopen(f"http://{address}/config", timeout=ASK_MS / 1000.0) as answer:
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
        return MemberConfiguration(name, address, OFF, OFF, str(error))
    except Unanswered as error:
        return MemberConfiguration(name, address, "?", "?", str(error))
    held = shown["held"]
    return MemberConfiguration(name, address, shown["version"], shown["digest"], "" if held is None else held["line"])


def _propose(address: str, **fields: Any) -> None:
    """Ask the placer for the change of these fields of a proposal, and say what has become of it; exits 2 where it is
    refused."""
    from sprucepost.placer.configuration_service import PROPOSE_PATH
    from sprucepost.v1 import configuration_pb2 as pb

    try:
        proposal = pb.ConfigurationProposal(**fields)
    except ValueError:  # UnicodeEncodeError: an argument with bytes that are no text
        _fail("a key, author, comment or version isn't UTF-8")
    view = _view(address)
    target = next(member["address"] for member in view["members"] if member["name"] == view["name"])
    try:
        receipt = pb.ConfigurationReceipt.FromString(call_placer(target, PROPOSE_PATH, proposal.SerializeToString()))
    except Unanswered as error:
        _fail(f"{target}: {error}")
    if receipt.refusal:
        _fail(receipt.refusal)
    click.echo(f"change {receipt.position} is in force at {view['name']}; version {receipt.version}")


def call_placer(address: str, path: str, request: bytes) -> bytes:
    """One call at a placer's gRPC port. Unanswered where there is no answer."""
    from sprucepost.loop import TimedOut
    from sprucepost.loop.epoll import EpollLoop
    from sprucepost.wire.client import open_client
    from sprucepost.wire.connection import Options
    from sprucepost.wire.status import Code, RpcError

    loop = EpollLoop()
    host, _, port = address.rpartition(":")

    def body() -> Generator[Any, Any, bytes]:
        connection = yield from open_client(loop, (host, int(port)), ASK_MS, Options(max_message_bytes=MESSAGE_MOST))
        try:
            return (yield from connection.unary(path, request, timeout_ms=ASK_MS))
        finally:
            connection.close()

    try:
        return loop.run(body)
    except RpcError as error:
        if error.code is Code.UNIMPLEMENTED:
            raise ConfigurationOff("carries no configuration") from None
        raise Unanswered(str(error)) from None
    except (OSError, TimedOut, ValueError) as error:
        raise Unanswered(str(error) or type(error).__name__) from None
    finally:
        loop.close()
