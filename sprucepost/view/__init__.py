"""The membership view: which placers there are and which of them can be reached, as each placer sees it.

============ =====================================================================================================
``record``   a member's description of itself, which of two records of a member wins, and the digest of many
``rings``    which members have streams to each other
``messages`` messages between members, and the actions that the state machine asks of the program that runs it
``view``     the state machine
============ =====================================================================================================

Nothing here uses a socket, a clock or a thread. No placement decision depends on it: see docs/view.md.
"""

from sprucepost.view.record import Record, merge
from sprucepost.view.view import View

__all__ = ["Record", "View", "merge"]
