"""An event loop on ``select.epoll`` whose coroutines are plain generators.

All access to the clock, to sockets, signals and random numbers goes through a :class:`Loop`. The code above it
(``wire``, ``placer``, ``standin``) imports none of ``time``, ``socket``, ``random`` or ``os.urandom``, so the same code
runs unchanged on a second implementation of :class:`Loop` that uses virtual time.

============== ==================================================================================
``core``       one turn of the loop, what an implementation must supply, socket and timer interfaces
``task``       coroutines: tasks, scopes (structured concurrency), cancellation, timeouts
``timers``     the timer heap
``queue``      bounded queues with back-pressure
``transport``  a buffered byte stream over one socket
``accept``     accepting connections, including when file descriptors run out
``clock``      wall time that never runs backwards and follows a stepped system clock by slewing
``epoll``      the implementation on real sockets and the real clock
============== ==================================================================================
"""

from sprucepost.loop.accept import Acceptor
from sprucepost.loop.clock import AlignedClock
from sprucepost.loop.core import Address, Listener, Loop, Rng, Sock, is_local_shortage
from sprucepost.loop.queue import Closed, Full, Queue
from sprucepost.loop.task import Cancelled, Co, Scope, Task, TimedOut, current, in_scope, park, sleep, within
from sprucepost.loop.timers import Timer
from sprucepost.loop.transport import Transport, connect

__all__ = [
    "Acceptor",
    "Address",
    "AlignedClock",
    "Cancelled",
    "Closed",
    "Co",
    "Full",
    "Listener",
    "Loop",
    "Queue",
    "Rng",
    "Scope",
    "Sock",
    "Task",
    "TimedOut",
    "Timer",
    "Transport",
    "connect",
    "current",
    "in_scope",
    "is_local_shortage",
    "park",
    "sleep",
    "within",
]
