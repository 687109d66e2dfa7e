"""This member's attempts to form a view: when it starts one, and the steps of an attempt."""

from __future__ import annotations

from .candidate import Candidate
from .follower import Follower
from .leadership import Leadership
from .messages import Accepted, HeartbeatReply, PreVoteReply, Promise, TakeOver
from .planning import failover_view, same_view
from .primary_role import PrimaryRole
from .settings import MemberSettings
from .view import View
from .view_change_round import ViewChangeRound
from .view_voter import ViewVoter
from .witness import Witness

REVIEW_INTERVAL_S = 0.05  # between two checks of the primary whether the view should change


class ViewChanges:
    """The proposer's side of a view change. Times are seconds of the member's clock.

    A view is formed in two phases, each of which needs a quorum (a majority of the witnesses):

    1. Prepare. The candidate picks an epoch above all that it has seen and collects promises. Once a quorum
       has promised, no quorum accepts a view below that epoch. Each promise reports the last accepted view.
       The one with the highest epoch is the base that the new view must follow, and the quorum of the base
       is required.
    2. Accept. The candidate proposes its view. The view is chosen once quorums of the base and of the new
       view have accepted it. Both are needed: the first keeps other candidates from forming another successor
       of the base, the second ensures that the next candidate finds this view.

    A candidate that is not in sync in the base gives up: it may lack acknowledged records, and its log would
    replace those of the others. A change of the witness set passes through a joint view, in which majorities
    of the former and of the new witnesses must both agree. So two disjoint sets can never both decide.

    Source: Paxos Made Simple, section 2; Viewstamped Replication Revisited, sections 4.2 and 7; Raft, section
    6 (joint consensus).
    """

    def __init__(
        self,
        member_id: str,
        settings: MemberSettings,
        witness: Witness,
        follower: Follower,
        candidate: Candidate,
        role: PrimaryRole,
        voter: ViewVoter,
    ) -> None:
        """Creates the proposer.

        Args:
            member_id: The identity of this member.
            settings: The number of copies that a view must have, and time-outs.
            witness: The epoch promised and the view accepted by this member.
            follower: Knows when this member should suspect the primary; sends requests to join.
            candidate: The attempt in progress and the highest epoch seen.
            role: Acquired when a proposed view is chosen.
            voter: Accepts newer views that replies report.
        """
        self._member_id = member_id
        self._settings = settings
        self._timing = settings.timing
        self._witness = witness
        self._follower = follower
        self._candidate = candidate
        self._role = role
        self._voter = voter
        self._review_at = 0.0

    @property
    def view(self) -> View | None:
        """The view in which this member is primary, or else the last view that it has accepted."""
        leadership = self._role.leadership
        return leadership.view if leadership is not None else self._witness.view

    def volatile_state(self) -> tuple[object, ...]:
        """The state that is kept in memory only, without times; the model checker compares it."""
        view_change = self._candidate.view_change
        leadership = self._role.leadership
        return (
            self._candidate.highest_epoch,
            *self._role.leaving_members.volatile_state(),
            None if view_change is None else view_change.volatile_state(),
            None if leadership is None else leadership.volatile_state(),
        )

    # ---- messages ----

    def heartbeat_reply(self, now: float, sender: str, reply: HeartbeatReply) -> None:
        """Handles the reply to a heartbeat, which may report a later view."""
        self._candidate.observe_epoch(reply.promised)
        if reply.view is not None:
            self._voter.adopt(now, reply.view)
        if self._role.leadership is not None:
            self._role.leadership.heartbeat_reply(now, sender, reply)

    def pre_vote_reply(self, now: float, sender: str, reply: PreVoteReply) -> None:
        """Handles the reply to a pre-vote request."""
        self._candidate.observe_epoch(reply.promised)
        if reply.view is not None:
            self._voter.adopt(now, reply.view)
        if reply.granted and self._role.leadership is None:
            self._candidate.receive_pre_vote(now, sender, reply.round)

    def promise(self, now: float, sender: str, promise: Promise) -> None:
        """Handles the reply of a witness to this member's prepare."""
        self._candidate.observe_epoch(promise.promised)
        view_change = self._candidate.view_change
        if view_change is None or view_change.epoch != promise.epoch:
            return
        if promise.granted:
            view_change.promise(now, sender, promise)
        elif promise.promised > view_change.epoch:
            self._candidate.abandon(now)

    def accepted(self, now: float, sender: str, reply: Accepted) -> None:
        """Handles the reply of a witness to this member's proposed view."""
        self._candidate.observe_epoch(reply.promised)
        view_change = self._candidate.view_change
        if view_change is not None and view_change.epoch == reply.epoch and reply.granted:
            view_change.accept(sender)

    def take_over(self, now: float, sender: str, message: TakeOver) -> None:
        """Starts a view change because the primary steps down and names this member as its successor."""
        view = self._witness.view
        if view is not None and view.epoch == message.epoch and self._role.may_become_candidate(now, view):
            self._candidate.start(now, view)

    # ---- time ----

    def tick(self, now: float, contacts: tuple[str, ...], is_leaving: bool) -> None:
        """Resends messages that may have been lost, and checks whether the view should change.

        Args:
            now: Seconds of the member's clock.
            contacts: Addresses, besides those of the view, to which requests to join are sent.
            is_leaving: Whether this member is about to shut down, and so does not ask to join.
        """
        self._candidate.tick(now)
        view = self._witness.view
        leadership = self._role.leadership
        if leadership is not None:
            self._tick_leadership(now, leadership)
        elif view is None or self._member_id not in view.in_sync:
            if not is_leaving:
                self._follower.request_join(now, contacts)
        elif self._role.may_become_candidate(now, view) and now >= self._follower.candidacy_due_at(view):
            self._candidate.observe_epoch(self._witness.promised)
            self._candidate.request_pre_votes(now, view)

    def restart_timeouts(self, now: float) -> None:
        """Restarts the time-outs of other members after a pause of this process, in which it heard nobody."""
        if self._role.leadership is not None:
            self._role.leadership.restart_timeouts(now)
        if self._follower.primary_seen_at is not None:
            self._follower.primary_seen_at = now

    def _tick_leadership(self, now: float, leadership: Leadership) -> None:
        if not leadership.has_contact(now):
            self._role.resign(now, "no quorum of witnesses has answered within the time-out")
            return
        leadership.tick(now)
        if self._candidate.view_change is None and now >= self._review_at:
            self._review_at = now + REVIEW_INTERVAL_S
            self._review(now, leadership)

    def _review(self, now: float, leadership: Leadership) -> None:
        """Starts a view change if the view should change, or if a higher promised epoch blocks it."""
        refused_since = leadership.refused_since
        is_overruled = refused_since is not None and now - refused_since >= self._timing.refusal_timeout_s
        change = self._role.next_view(now, leadership.view.epoch + 1, leadership)
        joining = () if change is None else change.backups
        leadership.set_joining_backups(frozenset(joining) - set(leadership.view.backups))
        if change is None and not is_overruled:
            return
        self._candidate.observe_epoch(self._witness.promised)
        self._candidate.start(now, leadership.view)

    # ---- this member's view change ----

    def advance(self, now: float) -> bool:
        """Advances this member's view change by one step; returns whether there was one.

        Raises:
            OSError: The view was chosen, but the log cannot be made durable.
        """
        view_change = self._candidate.view_change
        if view_change is None:
            return False
        if view_change.may_propose(now):
            self._propose(now, view_change)
            return True
        if view_change.is_chosen and view_change.proposal is not None:
            self._chosen(now, view_change.epoch, view_change.proposal)
            return True
        return False

    def _chosen(self, now: float, epoch: int, view: View) -> None:
        """Becomes primary of a proposed view whose last vote has arrived.

        If this member has promised a later epoch in the meantime, it follows another primary, which writes to
        its log. It must then not become primary.
        """
        if self._witness.promised > epoch:
            self._candidate.abandon(now)
        else:
            self._role.lead(now, view)

    def _propose(self, now: float, view_change: ViewChangeRound) -> None:
        base = view_change.base
        if self._member_id not in base.in_sync:
            self._candidate.abandon(now)
            self._role.resign(now, f"this member is not in sync in view {base.epoch}")
            return
        view = self._compose(now, view_change)
        if self._role.leadership is not None:
            self._role.leadership.propose(view)
        self._candidate.propose(view)

    def _compose(self, now: float, view_change: ViewChangeRound) -> View:
        """The view to propose: a failover of the base, or the change that this primary should make."""
        leadership = self._role.leadership
        if leadership is None or view_change.base.epoch != leadership.view.epoch:
            return failover_view(
                view_change.epoch,
                self._member_id,
                view_change.base,
                view_change.promised,
                self._role.leaving_members.leaving(now),
                self._settings.min_copies,
            )
        change = self._role.next_view(now, view_change.epoch, leadership)
        return change if change is not None else same_view(view_change.epoch, leadership.view)
