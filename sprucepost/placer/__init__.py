"""The placer daemon: owners on one side, machines and the list on the other, the scheduler in between.

========================== =================================================================================
``engine``                 connects the parts on a task's path, and passes wire messages to the part concerned
``owners``                 the Submit service: owners' sessions and their resumption
``links``                  streams to machines: attaching, resumption, offers that must no longer be sent
``discovery``              the watch on the list of machines, started when the scheduler asks for it
``fleet_membership``       what the view of the fleet means for this placer's number and generation
``configuration``          the deployment's configuration as agreed by the fleet
``configuration_service``  the gRPC service for operators' requests about the configuration
``lifecycle``              the daemon's states: starting, joining, ready, conflict, draining, stopped
``lease``                  the placer's number, and the slot file that holds it
``pages``                  health, readiness, metrics and status over HTTP
``notify``                 the service manager's protocols
``log``                    structured logs
``daemon``                 assembles these parts: start, reload, stop
``process``                a placer as a process: signals, settings file, announcement
========================== =================================================================================

Only the scheduler decides where a task goes. The placer decides which answer settles a task.
"""
