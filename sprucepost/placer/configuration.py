"""The deployment's configuration in a running placer: its replica, how it takes effect, and the page that shows it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from sprucepost.configuration import ConfigurationReplica, HistoryEntry, Limits, Proposal, Receipt
from sprucepost.configuration.change import Position
from sprucepost.configuration.document import Value, settings_digest
from sprucepost.configuration.messages import Diverged, Event, Held, InForce, Overwritten, Refused, SetAside
from sprucepost.loop import Loop
from sprucepost.peers.configuration_transport import ConfigurationTransport
from sprucepost.settings import Cluster, ConfigurationOptions
from sprucepost.settings.running import ClusterValidator, changeable_keys, flat_cluster, key_refusal

MAX_SHOWN_KEYS = 64  # per change, in a log line and on the page
MAX_SHOWN_CHANGES = 100  # the latest changes on the page


@dataclass(frozen=True, slots=True)
class ConfigurationCallbacks:
    """The placer's callbacks: ``apply`` puts settings into effect, ``info`` and ``warn`` log an event."""

    apply: Callable[[Cluster], None]
    info: Callable[..., None]
    warn: Callable[..., None]


class PlacerConfiguration:
    """One placer's part in the configuration that the fleet agrees on.

    ``origin`` is unique to this process; it identifies the changes proposed here.
    """

    def __init__(
        self,
        loop: Loop,
        file_cluster: Cluster,
        options: ConfigurationOptions,
        origin: str,
        callbacks: ConfigurationCallbacks,
    ) -> None:
        self._loop, self._file_cluster, self.options, self._callbacks = loop, file_cluster, options, callbacks
        self.validator = ClusterValidator(file_cluster)
        self.replica = ConfigurationReplica(
            origin,
            flat_cluster(file_cluster),
            self.validator,
            changeable_keys(file_cluster),
            loop.now(),
            Limits(horizon_ms=options.horizon_ms),
        )
        self.transport = ConfigurationTransport(self.replica, loop.now, self._on_event)
        self._in_force: Mapping[str, Value] = dict(self.replica.configuration)

    @property
    def agreed(self) -> bool:
        """Whether the fleet has a configuration; until its first change each placer uses its own file."""
        return self.replica.agreed is not None

    def propose(self, proposal: Proposal) -> Receipt:
        """Propose an operator's change. The refusal in the receipt, if any, is one line that names the key."""
        for edit in proposal.edits:
            refusal = key_refusal(edit.key, self._file_cluster)
            if refusal:
                return Receipt(self.replica.version, refusal=refusal)
        return self.transport.propose(proposal)

    def rollback(self, position: Position, author: str, comment: str) -> Receipt:
        """Propose a change that restores the values as they were right after the change at ``position``."""
        return self.transport.rollback(position, author, comment, self._loop.wall())

    def ineffective_keys(self, new: Cluster) -> list[str] | None:
        """Return the keys in which a file's deployment differs from this placer's, if the fleet's configuration sets
        them all.

        None if a differing key is not part of that configuration, or the fleet has none.
        """
        before, after = flat_cluster(self._file_cluster), flat_cluster(new)
        differing = sorted(key for key in before.keys() | after.keys() if before.get(key) != after.get(key))
        changeable = changeable_keys(self._file_cluster)
        return differing if self.agreed and all(key in changeable for key in differing) else None

    # Events of the replica.

    def _on_event(self, event: Event) -> None:
        if isinstance(event, InForce):
            self._apply()
        elif isinstance(event, Held):
            self._callbacks.warn("configuration_held", key=event.key, line=event.reason)
        elif isinstance(event, Overwritten):
            self._callbacks.warn(
                "configuration_overwritten", change=str(event.position), key=event.key, by=str(event.by)
            )
        elif isinstance(event, Refused):
            self._callbacks.warn("configuration_refused", change=str(event.position), line=event.reason)
        elif isinstance(event, SetAside):
            self._callbacks.warn("configuration_set_aside", change=str(event.position))
        elif isinstance(event, Diverged):
            self._callbacks.warn("configuration_diverged", version=str(event.version))

    def _apply(self) -> None:
        before, self._in_force = self._in_force, dict(self.replica.configuration)
        self._callbacks.apply(self.validator.cluster(self._in_force))
        keys = sorted(before.keys() | self._in_force.keys())
        changed = [key for key in keys if before.get(key) != self._in_force.get(key)]
        version = self.replica.version
        self._callbacks.info(
            "configuration",
            number=version.number,
            digest=f"{version.digest:016x}",
            keys=changed[:MAX_SHOWN_KEYS],
            at_ms=round(self._loop.wall(), 3),
        )

    # Status page.

    def status(self) -> dict[str, Any]:
        """Return the contents of the configuration page."""
        replica, held = self.replica, self.replica.held
        return {
            "version": str(replica.version),
            "agreed": self.agreed,
            "cut": str(replica.cut),
            "digest": f"{settings_digest(replica.configuration):016x}",
            "in_force": dict(replica.configuration),
            "held": None if held is None else {"key": held.key, "line": held.reason},
            "peers": self.transport.connected_streams,
            "history": [_entry_status(entry) for entry in replica.history[-MAX_SHOWN_CHANGES:]],
        }


def _entry_status(entry: HistoryEntry) -> dict[str, Any]:
    change = entry.change
    return {
        "position": str(change.position),
        "author": change.author,
        "comment": change.comment,
        "made_ms": change.made_ms,
        "baseline": change.baseline,
        "state": entry.state.value,
        "line": entry.reason,
        "edits": {edit.key: None if edit.removed else edit.value for edit in change.edits[:MAX_SHOWN_KEYS]},
        "removed": [edit.key for edit in change.edits[:MAX_SHOWN_KEYS] if edit.removed],
        "superseded_by": {key: str(by) for key, by in sorted(entry.superseded_by.items())[:MAX_SHOWN_KEYS]},
    }
