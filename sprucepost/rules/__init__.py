"""Checks of recorded runs: five rules that placers must keep, and what placers show of each other.

The checks read the bytes that sockets carried, recorded by a proxy between the processes, and never a placer's own
state.

===================  ==============================================================
``streams``          takes a capture apart into gRPC messages
``trace``            turns these messages into events
``checker``          base class of the checkers, history of a run, result of a rule
``no_task_lost``     rule 1: every submission gets one outcome, in time
``no_effect_twice``  rule 2: no task has its effect twice
``drains_kept``      rule 3: no offers to machines that drain
``cold_kept``        rule 4: no overload of machines that started recently
``spread_kept``      rule 5: the spread of a service over machines, cells and zones
``checks``           runs all five rules on one run
``views``            checks the placers' views of their fleet
``record``           the folder that a recorded run leaves, and checking it again
===================  ==============================================================
"""
