"""One placer's tasks, from the owner's submission to the outcome and after it, without sockets.

The modules, in the order in which a task passes through them:

====================  =================================================================================================
``intake``            handles owners' submissions: opens a new task, joins one that exists, cancels, or refuses at once
``scheduler_driver``  collects events into one batch per loop turn for ``sprucepost.scheduler`` and dispatches the actions
                      that it returns; holds the clock that decisions use
``fleet_driver``      a scheduler driver that also assigns this placer its share of cold machines' capacity while the
                      fleet's size changes
``attempts``          an offer from the decision to its end: which machine incarnation it is for, how much time is left
``outcome_reporter``  settles the one outcome of each task and reports it to the sessions that wait for it
``late_messages``     messages that no attempt waits for: duplicates, tasks that survived a restart, hand-overs
``roster``            which machines take work now, from the machine list and the machines' own reports
``pause_recovery``    which machines must not get work after this process was stalled
``task_catalog``      validates what a task asks for and converts it to the scheduler's types
``ledger``            records every task: open, then exactly one of placed, refused, failed
``ports``             the interfaces that the wire must provide to these modules
====================  =================================================================================================

Imports follow this path in one direction. Time is read through the loop object; sockets are behind ``ports``.
"""
