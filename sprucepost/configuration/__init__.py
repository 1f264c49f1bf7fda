"""The deployment's configuration, the same at every placer: changes made anywhere, in force everywhere.

=============== ====================================================================================================
``document``    settings documents as values by key path, and back
``change``      a change, its position in the one order, a version
``validation``  what the injected validator says of a whole configuration
``limits``      bounds and times
``messages``    what replicas send each other, and what a replica tells its carrier
``state``       the values that a fold has reached, and steps back
``judge``       whether a configuration may be
``timeline``    the changes in their order, folded over a base
``outcomes``    what a merge did to changes that were known before
``history``     what is kept for display and comparison, bounded
``ledger``      all that is known: base, live changes, history
``enforcement`` what of it is in force here
``door``        whether a proposal may become a change
``peer``        what is remembered of one connected peer
``replica``     the state machine; its text says how a carrier uses it
=============== ====================================================================================================

Nothing here knows a socket, a clock, randomness or the settings package. Promises: docs/configuration.md.
"""

from sprucepost.configuration.change import Change, Edit, Position, Version
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.proposal_checker import KeyEdit, Proposal, Receipt
from sprucepost.configuration.replica import ConfigurationReplica, SavedState, edits_between
from sprucepost.configuration.timeline import ChangeState, HistoryEntry
from sprucepost.configuration.validation import ChangeableKeys, Problem, ProblemKind, Validator

__all__ = [
    "Change",
    "ChangeState",
    "ChangeableKeys",
    "ConfigurationReplica",
    "Edit",
    "HistoryEntry",
    "KeyEdit",
    "Limits",
    "Position",
    "Problem",
    "ProblemKind",
    "Proposal",
    "Receipt",
    "SavedState",
    "Validator",
    "Version",
    "edits_between",
]
