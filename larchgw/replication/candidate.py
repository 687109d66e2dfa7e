"""An in-sync member that tries to become primary, or a primary that forms its next view."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from .messages import Accept, Prepare, PreVoteRequest
from .outbound_messages import OutboundMessages
from .settings import Timing
from .view import View
from .view_change_round import ViewChangeRound


@dataclass(slots=True)
class _PreVoteRound:
    """One round of pre-votes, which asks whether a quorum lets this member try to become primary."""

    number: int
    view: View
    ends_at: float
    granted: set[str] = field(default_factory=set)


class Candidate:
    """Collects pre-votes, and then runs one view change. Times are seconds of the member's clock.

    Pre-votes come first because a view change takes the role from the current primary: a member that was only
    partitioned from the others must not raise epochs when it reconnects. A backup therefore starts a view
    change only once a quorum has not seen the primary recently either.

    Source: Raft, section 9.6 of the thesis (Ongaro, 2014); Paxos Made Simple, section 2.2 (proposers).

    Attributes:
        view_change: The attempt in progress.
        highest_epoch: The highest epoch seen anywhere; the next attempt takes a higher one.
    """

    def __init__(
        self, member_id: str, outbound: OutboundMessages, timing: Timing, random_source: Random
    ) -> None:
        """Begins without an attempt.

        Args:
            member_id: The identity of this member.
            outbound: Receives the requests to the other members.
            timing: Time-outs.
            random_source: Source of the random delays that keep two candidates from superseding each other
                repeatedly.
        """
        self._member_id = member_id
        self._outbound = outbound
        self._timing = timing
        self._random_source = random_source
        self._pre_vote_round: _PreVoteRound | None = None
        self._pre_vote_rounds = 0
        self._next_attempt_at = 0.0
        self.view_change: ViewChangeRound | None = None
        self.highest_epoch = 0

    def observe_epoch(self, epoch: int) -> None:
        """Records an epoch that another member has promised or proposed."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def postpone_until(self, when: float) -> None:
        """Prevents attempts before this time."""
        self._next_attempt_at = max(self._next_attempt_at, when)

    def request_pre_votes(self, now: float, view: View) -> None:
        """Asks the witnesses whether they have not heard the primary either, if a round is due."""
        if self.view_change is not None or now < self._next_attempt_at:
            return
        if self._pre_vote_round is not None and now < self._pre_vote_round.ends_at:
            return
        self._pre_vote_rounds += 1
        ends_at = now + self._timing.pre_vote_timeout_s * (1 + self._random_source.random())
        self._pre_vote_round = _PreVoteRound(self._pre_vote_rounds, view, ends_at)
        for member in view.all_witnesses:
            self._outbound.send(member, PreVoteRequest(self._pre_vote_rounds))

    def receive_pre_vote(self, now: float, sender: str, number: int) -> None:
        """Counts a granted pre-vote; starts a view change once a quorum has granted."""
        pre_vote_round = self._pre_vote_round
        if pre_vote_round is None or pre_vote_round.number != number or now >= pre_vote_round.ends_at:
            return
        pre_vote_round.granted.add(sender)
        if pre_vote_round.view.has_quorum(pre_vote_round.granted):
            self.start(now, pre_vote_round.view)

    def start(self, now: float, base: View) -> None:
        """Starts a view change with an epoch higher than all that were seen."""
        self._pre_vote_round = None
        self.highest_epoch = max(self.highest_epoch, base.epoch) + 1
        self.view_change = ViewChangeRound(self.highest_epoch, base, now, self._timing)
        self._prepare(self.view_change.participants)

    def abandon(self, now: float) -> None:
        """Abandons the attempt in progress and gives other candidates some time."""
        self.view_change = None
        self._pre_vote_round = None
        self.postpone_until(now + self._timing.rank_stagger_s * (1 + self._random_source.random()))

    def propose(self, view: View) -> None:
        """Starts the second phase: asks the members to accept `view`."""
        assert self.view_change is not None
        self.view_change.propose(view)
        self._send_proposal(self.view_change.participants)

    def tick(self, now: float) -> None:
        """Resends requests that may have been lost; abandons an attempt that takes too long."""
        if self.view_change is None:
            return
        if self.view_change.has_timed_out(now):
            self.abandon(now)
            return
        unanswered = self.view_change.resend_to(now)
        if self.view_change.proposal is None:
            self._prepare(unanswered)
        else:
            self._send_proposal(unanswered)

    def _prepare(self, members: tuple[str, ...]) -> None:
        assert self.view_change is not None
        for member in members:
            self._outbound.send(member, Prepare(self.view_change.epoch))

    def _send_proposal(self, members: tuple[str, ...]) -> None:
        assert self.view_change is not None
        assert self.view_change.proposal is not None
        for member in members:
            self._outbound.send(member, Accept(self.view_change.proposal))
