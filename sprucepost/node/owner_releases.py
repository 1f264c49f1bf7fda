"""Releases that are owed to owners whose tasks have ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sprucepost.node.owner_link import OwnerLink


@dataclass(slots=True, eq=False)
class OwedRelease:
    """The release of a task that has ended, owed to the owner whose connection brought it."""

    sid: str
    cause: int
    owner: OwnerLink
    expires_at: float  # in ms of the loop's clock
