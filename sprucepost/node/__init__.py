"""The placer on the platform's protocol: owners send binary messages, hosts speak JSON lines, a bulletin lists the hosts.

==================== ==================================================================================================
``framing``          message size limit, and what both codecs share: error and incremental decoder
``binary``           codec of owners' messages
``jsonl``            codec of hosts' messages
``bulletin``         events about hosts, as the scheduler's machine list
``address_holders``  which of the ids that a list has at an address is there
``config``           the environment and the file that configure a placer
``parsing``          set-ups validated and converted to the scheduler's types
``fair_queue``       new tasks, round robin over connections
``new_tasks``        new tasks on their way to the scheduler
``early_messages``   messages about a task that is not known, or no longer
``attempt``          state kept for a task and for its attempts
``releases``         what a host's release of a task means
``tasks``            states of a task from set-up to release, without sockets
``handovers``        hand-overs of tasks that are open or placed here
``adoption``         hand-overs of tasks that are not known here
``placed_tasks``     placed tasks by host: moved, lost and ended
``process_identity`` which process of a host a connection leads to, and which one runs a task
``dispatch``         sends offers at the end of a turn of the loop, right after all sockets were polled
``host``             state of one host and of one connection to it
``host_connections`` which of a host's connections takes the next offer
``host_messages``    messages of hosts: decoded, and passed to the set-up or task that they are about
``health``           health checks, and when a host is considered silent
``owners``           connections of owners
``hosts``            connections to hosts
``host_list``        the hosts of the list, and what its changes mean for connections and tasks
``feed``             long poll of the bulletin
``descriptors``      limits on the number of connections
``start_times``      start times of hosts, corrected for steps of the wall clock
``log``              one line for each event that operators may want to know of
``service``          puts these together: start, signals, shutdown
==================== ==================================================================================================

Where a task goes, how long an attempt may take and which host is healthy is decided in ``sprucepost.scheduler`` alone. This
package decides which messages count. It imports nothing heavier than h11: a placer has a few dozen MB of memory.
"""
