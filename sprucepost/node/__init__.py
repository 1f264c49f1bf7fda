"""The placer on the platform's protocol: owners send binary messages, hosts speak JSON lines, a bulletin names the hosts.

=============== =======================================================================================================
``bounds``      what no message may exceed, and the one error of both codecs
``binary``      owners' messages: bytes to messages and back
``jsonl``       hosts' messages: bytes to lines and back
``bulletin``    the events that tell of hosts, as the module's list
``config``      the environment and the file that start a placer
``words``       a set-up checked, and in the module's terms
``queue``       new tasks in turn by connection
``early``       words that came ahead of their set-up
``attempt``     what is kept of a task and of its attempts
``tasks``       the states of a task from set-up to release, without sockets
``dispatch``    attempts go out at a turn's end, right after a look at all sockets
``host``        what is known of one host and of one connection to it
``health``      health checks, and when a host counts as silent
``owners``      owners' connections
``hosts``       hosts' connections
``feed``        the long poll of the bulletin
``descriptors`` how many connections there may be
``log``         one line for each thing that operators may want to know
``service``     puts these together: start, signals, stop
=============== =======================================================================================================

Where a task goes, how long an attempt may take and which host is healthy is decided in ``sprucepost.scheduler`` alone.
What is decided here is which bytes count. Nothing heavier than h11 is imported: a placer lives in a few dozen MB.
"""
