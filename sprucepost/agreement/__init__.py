"""A replicated log among a few placers (Raft), and the registry of values and leases that it replicates.

No placer uses it yet.

=============== ============================================================================================
``entries``     log entries, members, snapshots
``messages``    messages between servers
``actions``     what a server asks of the program that runs it, and its durable state
``log``         the log in memory
``state``       term, role and durability, shared by all modules; the table of roles
``election``    leader election
``replication`` the leader's side of replication, and commits
``follower``    the follower's side
``snapshots``   snapshots of the applied state, which replace old entries
``reads``       linearizable reads without a log entry
``membership``  membership changes, and leadership transfer
``server``      one Raft server
``commands``    commands of the registry and their results
``registry``    the replicated state: values, sessions, leases
=============== ============================================================================================

Nothing here uses a socket, a clock or a disk, and no placement decision depends on it.
"""

from sprucepost.agreement.actions import PersistentState
from sprucepost.agreement.entries import Members
from sprucepost.agreement.registry import Registry
from sprucepost.agreement.server import Change, RaftServer
from sprucepost.agreement.state import Bounds, Role, Timing

__all__ = ["Bounds", "Change", "Members", "PersistentState", "RaftServer", "Registry", "Role", "Timing"]
