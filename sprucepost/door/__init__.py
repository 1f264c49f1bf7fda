"""The placer's own door: which asks are let in, before any work is done on them. Free of I/O and clock.

``limit`` follows the event loop's own lag instead of a fixed number; ``share`` keeps one owner from taking the others' room;
``retries`` bounds what repeats may add; ``door`` puts them together. ``sessions`` bounds what hellos may leave behind.
"""

from sprucepost.door.door import Ask, Door, Verdict
from sprucepost.door.limit import LagLimit
from sprucepost.door.retries import RetryBudget
from sprucepost.door.sessions import SessionBook

__all__ = ["Ask", "Door", "LagLimit", "RetryBudget", "SessionBook", "Verdict"]
