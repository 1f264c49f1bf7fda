"""What a host's release of a task means, by its cause, its reason and the task's state at that host. No I/O."""

from __future__ import annotations

from sprucepost import interface as i
from sprucepost.node import parsing
from sprucepost.node.attempt import Attempt, Withdrawal
from sprucepost.node.jsonl import Line

CAUSE_REFUSED, CAUSE_FAILED = 34, 41  # sent to owners
CAUSE_ENDED, CAUSE_CANCELLED = 16, 31  # of a task that has come to its end, and of one that was moved or ended
# Causes with which a host says that it has never accepted the set-up.
NOT_ACCEPTED = {34: i.Ending.FULL, 47: i.Ending.ERROR, 102: i.Ending.VOID}
# A host may answer a withdrawal with these causes, observed up to 26 ms later; the owner is told of none of them.
WITHDRAWAL_REPLY_CAUSES = (CAUSE_ENDED, CAUSE_CANCELLED)
WITHDRAWAL_REPLY_MS = 100.0  # after that such a cause on another connection belongs to a later attempt
# A host resets a task for these reasons only after it has answered it; before that it refuses the task as full.
ACCEPTED_TASK_REASONS = frozenset((i.Reason.EVICTED, i.Reason.PUSHED_OUT, i.Reason.SENT_AWAY))


def reason_of(line: Line) -> i.Reason:
    """Return the reason that the release gives."""
    return parsing.REASONS.get(line.attrs.get("note", ""), i.Reason.UNTOLD)


def ending_of_placed(line: Line) -> i.Ending:
    """Return how a placed task has ended."""
    return {CAUSE_ENDED: i.Ending.OK, CAUSE_CANCELLED: i.Ending.CANCELLED}.get(line.code or 0, i.Ending.RESET)


def ending_of_unanswered(line: Line) -> i.Ending:
    """Return how an attempt without an answer has ended."""
    return NOT_ACCEPTED.get(line.code or 0, i.Ending.RESET)


def had_been_accepted(attempt: Attempt, line: Line, other_connection: bool) -> bool:
    """Return whether the host had accepted a task that it releases without having answered it.

    A refused task never ran. Any other release is of a task that the host had accepted if the host has sent a note on it,
    gives a reason that only accepted tasks have, or uses another connection than that of the set-up; otherwise the set-up
    was lost in transit.
    """
    if ending_of_unanswered(line) is not i.Ending.RESET:
        return False
    withdrawal: Withdrawal | None = attempt.entry.ask.withdrawals.get(attempt.host)
    noted = attempt.noted or (withdrawal is not None and withdrawal.noted)
    return noted or other_connection or reason_of(line) in ACCEPTED_TASK_REASONS


def ends_open_attempt(attempt: Attempt, line: Line, now: float) -> bool:
    """Return whether a release on another connection than that of the set-up ends that attempt.

    Refusals arrive on the attempt's own connection, and the reply to an earlier withdrawal at that host may arrive only
    now.
    """
    withdrawal: Withdrawal | None = attempt.entry.ask.withdrawals.get(attempt.host)
    recently = withdrawal is not None and now - withdrawal.at < WITHDRAWAL_REPLY_MS
    may_be_reply = recently and line.code in WITHDRAWAL_REPLY_CAUSES and not attempt.noted
    return line.code not in NOT_ACCEPTED and not may_be_reply


def preceded_withdrawal(withdrawal: Withdrawal | None, line: Line) -> bool:
    """Return whether the host had accepted the task and released it before it read the withdrawal."""
    if line.code in NOT_ACCEPTED or line.code in WITHDRAWAL_REPLY_CAUSES:
        return False
    return withdrawal is not None and (withdrawal.noted or reason_of(line) in ACCEPTED_TASK_REASONS)
