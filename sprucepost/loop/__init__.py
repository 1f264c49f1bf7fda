"""An event loop on ``select.epoll`` whose coroutines are plain generators.

Everything that touches the clock, a socket, a signal or randomness goes through a :class:`Loop`; the code above it
(``wire``, ``placer``, ``standin``) imports none of ``time``, ``socket``, ``random`` or ``os.urandom``. A second
implementation of :class:`Loop` on virtual time therefore runs the same code unchanged.

============== ==================================================================================
``core``       the turn of a loop, what an implementation must supply, socket and timer interfaces
``task``       coroutines: tasks, scopes (structured concurrency), cancellation, time limits
``timers``     the timer heap
``queue``      bounded queues with back-pressure
``transport``  a buffered byte stream over one socket
``accept``     new connections, also when descriptors run out
``clock``      wall time that never runs backwards and follows a stepped system clock slowly
``epoll``      the real loop
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
