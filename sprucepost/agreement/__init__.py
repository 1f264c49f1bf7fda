"""Agreement among placers: a replicated log that a few of them keep, so that what must be one is one.

=============== ==================================================================================================
``words``       what keepers say to each other, what they hold, what is asked of whoever carries them
``log``         the log in memory
``core``        term, role, what is durable; the table of roles
``election``    who leads
``replication`` entries, and what is settled
``snapshots``   the state in place of old entries
``reads``       reads without a write
``changes``     members, and handing over
``keeper``      one keeper
``registry``    what is agreed on: values, sessions, leases
=============== ==================================================================================================

Nothing here knows a socket, a clock or a disk, and no placement reads it.
"""

from sprucepost.agreement.core import Bounds, Role, Timing
from sprucepost.agreement.keeper import Keeper
from sprucepost.agreement.registry import Registry
from sprucepost.agreement.words import Held, Members

__all__ = ["Bounds", "Held", "Keeper", "Members", "Registry", "Role", "Timing"]
