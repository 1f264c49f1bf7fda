"""Which of a host's connections takes the next offer. No I/O."""

from __future__ import annotations

from sprucepost.node.attempt import Attempt
from sprucepost.node.health import is_overdue
from sprucepost.node.host import Host, HostLink


def usable_links(host: Host, now: float, idle_ms: float, has_all_links: bool) -> list[HostLink]:
    """Return the connections to choose from for the next offer: the free ones, or those with open set-ups where no more may
    be opened (``has_all_links``).

    ``now`` is in ms of the loop's clock; the host ends connections that have been idle for ``idle_ms``.
    """
    usable = [
        link for link in host.links if link.usable and now - link.last_used < idle_ms / 2 and not is_overdue(link, now)
    ]
    free = [link for link in usable if not link.open]
    if free or not usable:
        return free
    return usable if has_all_links and host.dialing < len(host.waiting) else []


def best_link(links: list[HostLink], attempt: Attempt, is_bound_to_group: bool, now: float) -> HostLink:
    """Return the one of the connections on which the offer is written.

    It is one that is known to lead to the host, if the task may have run in its group; the one with the fewest open set-ups;
    one on which the task has not ended; the latest used.
    """
    if is_bound_to_group:
        links = [link for link in links if link.leads_to_listed_host(now)] or links
    return max(
        links,
        key=lambda link: (-len(link.open), attempt.sid not in link.ended_unanswered, link.last_used),
    )
