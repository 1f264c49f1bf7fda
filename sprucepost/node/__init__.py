"""The placer on the platform's protocol: owners send binary messages, hosts speak JSON lines, a bulletin names the hosts.

=============== =======================================================================================================
``bounds``      what no message may exceed, and the one error of both codecs
``binary``      owners' messages: bytes to messages and back
``jsonl``       hosts' messages: bytes to lines and back
``bulletin``    the events that tell of hosts, as the module's list
``config``      the environment and the file that start a placer
``words``       a set-up checked, and in the module's terms
``tasks``       the walk of a task from set-up to release, without sockets
``owners``      owners' connections
``hosts``       hosts' connections, and what their silence means
``feed``        the long poll of the bulletin
``descriptors`` how many connections there may be
``log``         one line for each thing that operators may want to know
``service``     puts these together: start, signals, stop
=============== =======================================================================================================

Where a task goes, how long an attempt may take and which host is healthy is decided in ``sprucepost.brain`` alone. What is
decided here is which bytes count. Nothing heavier than h11 is imported: a placer lives in a few dozen MB.
"""
