"""One placer's tasks, from an owner's ask to its one outcome and after it; free of sockets.

The walk of a task, and where each step has its home:

=============  ========================================================================================================
``intake``     what owners ask: a new task, a joined one, a cancelled one, a refusal at once
``desk``       the batch for ``sprucepost.scheduler`` and what it answers; the clock that it decides by
``seat``       a desk's share of what cold machines bear, while the fleet's size changes
``attempts``   an offer from the decision to its end: for which life of a machine, how much of its time is left
``answers``    the one outcome of each task, and to whom it is told
``late``       words that no attempt waits for: copies, restarts, hand-overs
``roster``     the list and the machines' own word on their lives: which machines take work now
``wake``       what a placer may still believe after it has stood still
``ledger``     the books: every task taken is open, then exactly one of placed, refused, failed
``ports``      what the wire must offer to all of these
=============  ========================================================================================================

Imports go down that walk only. Time comes through the loop object; sockets are behind ``ports``.
"""
