"""The deployment's configuration, replicated to every placer; a change can be proposed at any of them.

========================= ==========================================================================================
``document``              converts settings documents to flat maps of key paths and back
``change``                a change, its position in the total order, and versions
``validation``            the interface of the injected validator
``limits``                bounds on sizes and times
``messages``              messages between replicas, and a replica's outputs to its caller
``state``                 the settings that a fold has reached, with undo
``configuration_checker`` checks whole configurations
``timeline``              the ordered changes, folded over a base snapshot
``merge_events``          the effects of a merge on changes that were known before
``history``               bounded histories for display and comparison
``change_store``          everything that a replica knows: base snapshot, live changes, history
``active_configuration``  the configuration that is in force at this placer
``proposal_checker``      checks proposals before they become changes
``peer``                  the synchronization state of one connected peer
``replica``               the state machine; its docstring shows how to drive it
========================= ==========================================================================================

The package does no I/O: it uses no socket, clock or random numbers, and doesn't import the settings package. The
guarantees are described in docs/configuration.md.
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
