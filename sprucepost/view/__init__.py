"""The fleet's own view: which placers there are, and which of them can be reached, as each placer sees it.

============ =====================================================================================================
``record``   what a member says of itself, which of two records counts, and the digest of many
``rings``    who keeps a stream to whom
``messages`` what members say to each other, and what the state machine asks of whoever carries it
``view``     the state machine
============ =====================================================================================================

Nothing here knows a socket, a clock or a thread. No placement decision reads it: see docs/view.md.
"""

from sprucepost.view.record import Record, merge
from sprucepost.view.view import View

__all__ = ["Record", "View", "merge"]
