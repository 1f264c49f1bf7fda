"""Checks the five rules from the bytes that sockets carried, never from a placer's logs or state.

=========================  ==========================================================================================
``streams``                a capture taken apart into gRPC messages
``trace``                  what these messages say, as events
``checker``                what the checkers share: the history of a run, a rule's result
``no_task_lost`` and four  one rule each: ``no_effect_twice``, ``drains_kept``, ``cold_kept``, ``spread_kept``
more
``checks``                 all five on one run
``views``                  what placers know of each other
``record``                 the folder that a run leaves, checked again
=========================  ==========================================================================================
"""
