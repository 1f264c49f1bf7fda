"""Who leads: pre-votes, and votes that nobody can disturb who is cut off or removed (Ongaro, 2014, 3.4, 4.2.3, 9.6)."""

from __future__ import annotations

from collections.abc import Callable

from sprucepost.agreement.core import Core, Role
from sprucepost.agreement.words import Ask, Led, Vote


class Election:
    """``lead`` is called when this member has been elected."""

    def __init__(self, core: Core, lead: Callable[[], None]) -> None:
        self._core, self._lead = core, lead
        self._votes: set[str] = set()
        self.due = 0.0
        self.wait()

    def wait(self) -> None:
        """Begin to miss a leader after a newly drawn time."""
        least = self._core.timing.election
        self.due = self._core.now + self._core.rng.uniform(least, 2 * least)

    @property
    def may_stand(self) -> bool:
        """Whether it is a voter, or was one by what is settled: the change that removes it may be in its log alone, and then
        nobody else can be elected (4.2.2)."""
        log = self._core.log
        return self._core.ident in log.members.voters | log.members_before(self._core.commit).voters

    def tick(self) -> None:
        """Ask for votes where nobody leads."""
        core = self._core
        if core.role in (Role.LEADER, Role.DEAD) or core.now < self.due:
            return
        self.wait()
        if not self.may_stand:
            return
        if core.leader is not None:
            core.leader = None
            core.act(Led(core.term, None, "not heard of"))
        core.role, self._votes = Role.TRIAL, {core.ident}
        core.counters["trials"] += 1
        if core.log.members.majority(self._votes):
            self.stand()
            return
        for other in sorted(core.log.members.voters - {core.ident}):
            core.send(other, Ask(core.term + 1, core.log.last, core.log.last_term, trial=True))

    def stand(self, transfer: bool = False) -> None:
        """Raise the term and ask for votes; the own one counts once it is durable."""
        core = self._core
        core.term, core.vote, core.role, core.leader = core.term + 1, core.ident, Role.CANDIDATE, None
        self._votes = set()
        core.counters["candidacies"] += 1
        core.write()
        self.wait()
        for other in sorted(core.log.members.voters - {core.ident}):
            core.say(other, Ask(core.term, core.log.last, core.log.last_term, transfer=transfer))

    def written(self) -> None:
        """Something has become durable; where all has, so has the own vote."""
        core = self._core
        if core.role is Role.CANDIDATE and core.durable and core.ident not in self._votes:
            self._votes.add(core.ident)
            self._count()

    def asked(self, peer: str, ask: Ask) -> None:
        """For a vote. Who hears a leader, or leads, gives none and takes no term from who asks: it is cut off or removed."""
        core = self._core
        led = core.role is Role.LEADER or core.now - core.heard_leader < core.timing.election
        if led and not ask.transfer:
            core.counters["disturbed"] += 1
            if ask.term < core.term or ask.trial:
                core.say(peer, Vote(core.term, False, ask.trial))
            return
        if ask.trial:
            given = ask.term > core.term and core.as_new(ask.last_index, ask.last_term)
            core.say(peer, Vote(ask.term if given else core.term, given, trial=True))
            return
        if ask.term > core.term:
            core.follow(ask.term, None, "a candidate")
        given = ask.term == core.term and core.vote in (None, peer) and core.as_new(ask.last_index, ask.last_term)
        if given and core.vote is None:
            core.vote = peer
            core.write()
        if given:
            self.wait()
        core.say(peer, Vote(core.term, given))

    def voted(self, peer: str, vote: Vote) -> None:
        """An answer."""
        core = self._core
        if vote.trial and vote.given:
            if core.role is Role.TRIAL and vote.term == core.term + 1:
                self._votes.add(peer)
                if core.log.members.majority(self._votes):
                    self.stand()
        elif vote.term > core.term:
            core.follow(vote.term, None, "a newer term")
        elif vote.given and core.role is Role.CANDIDATE and vote.term == core.term:
            self._votes.add(peer)
            self._count()

    def _count(self) -> None:
        core = self._core
        if core.role is Role.CANDIDATE and core.log.members.majority(self._votes):
            core.role, core.leader = Role.LEADER, core.ident
            core.counters["elected"] += 1
            core.act(Led(core.term, core.ident, "elected"))
            self._lead()
