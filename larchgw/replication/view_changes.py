"""How this member forms views: when it should, and the steps of its own attempt."""

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

REVIEW_INTERVAL_S = 0.05  # between two looks of the primary at whether the view should change


class ViewChanges:
    """The proposer's side of a view change. Times are seconds of the member's clock.

    A view is formed in two phases, each of which needs a quorum (a majority of the witnesses):

    1. Prepare. The candidate picks an epoch above all it has seen and collects promises. From then on no view
       below that epoch can be accepted by a quorum. Each promise reports the last view accepted; the highest
       of them is the base that the new view must follow, and its quorum is the one that counts.
    2. Accept. The candidate proposes its view. It is chosen once quorums of the base and of the new view have
       accepted it. Both are needed: the first keeps others from forming another successor of the base, the
       second makes sure that whoever comes next finds this view.

    A candidate that is not in sync in the base gives up: it may lack acknowledged records, and its log would
    replace those of the others. A change of the witness set passes through a joint view, in which majorities
    of the former and of the new witnesses must both agree; so at no time can two disjoint sets decide.

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
            settings: Copies that a view must have, and time-outs.
            witness: The epoch promised and the view accepted here.
            follower: Knows when this member should suspect the primary; asks to join.
            candidate: The attempt in progress and the epochs seen.
            role: Won by a view that is chosen.
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
        """The view that this member acts in, or else the last that it has accepted."""
        leading = self._role.leading
        return leading.view if leading is not None else self._witness.view

    def volatile_state(self) -> tuple[object, ...]:
        """What is kept in memory only, times left out; for explorations that compare states."""
        view_change = self._candidate.view_change
        leading = self._role.leading
        return (
            self._candidate.highest_epoch,
            *self._role.leaving_members.volatile_state(),
            None if view_change is None else view_change.volatile_state(),
            None if leading is None else leading.volatile_state(),
        )

    # ---- messages ----

    def heartbeat_reply(self, now: float, sender: str, reply: HeartbeatReply) -> None:
        """A member has answered a heartbeat; it may know of a later view."""
        self._candidate.observe_epoch(reply.promised)
        if reply.view is not None:
            self._voter.adopt(now, reply.view)
        if self._role.leading is not None:
            self._role.leading.heartbeat_reply(now, sender, reply)

    def pre_vote_reply(self, now: float, sender: str, reply: PreVoteReply) -> None:
        """A member has answered whether this one may try to become primary."""
        self._candidate.observe_epoch(reply.promised)
        if reply.view is not None:
            self._voter.adopt(now, reply.view)
        if reply.granted and self._role.leading is None:
            self._candidate.receive_pre_vote(now, sender, reply.round)

    def promise(self, now: float, sender: str, promise: Promise) -> None:
        """A witness has answered this member's prepare."""
        self._candidate.observe_epoch(promise.promised)
        view_change = self._candidate.view_change
        if view_change is None or view_change.epoch != promise.epoch:
            return
        if promise.granted:
            view_change.promise(now, sender, promise)
        elif promise.promised > view_change.epoch:
            self._candidate.abandon(now)

    def accepted(self, now: float, sender: str, reply: Accepted) -> None:
        """A witness has answered this member's proposed view."""
        self._candidate.observe_epoch(reply.promised)
        view_change = self._candidate.view_change
        if view_change is not None and view_change.epoch == reply.epoch and reply.granted:
            view_change.accept(sender)

    def take_over(self, now: float, sender: str, message: TakeOver) -> None:
        """The primary steps down and names this member as its successor."""
        view = self._witness.view
        if view is not None and view.epoch == message.epoch and self._role.may_stand(now, view):
            self._candidate.start(now, view)

    # ---- time ----

    def tick(self, now: float, contacts: tuple[str, ...], is_leaving: bool) -> None:
        """Repeats what may have been lost, and looks whether the view should change.

        Args:
            now: Seconds of the member's clock.
            contacts: Addresses to ask for admission besides those of the view.
            is_leaving: Whether this member is about to end, and so does not ask to join.
        """
        self._candidate.tick(now)
        view = self._witness.view
        leading = self._role.leading
        if leading is not None:
            self._tick_leading(now, leading)
        elif view is None or self._member_id not in view.in_sync:
            if not is_leaving:
                self._follower.request_join(now, contacts)
        elif self._role.may_stand(now, view) and now >= self._follower.candidacy_due_at(view):
            self._candidate.observe_epoch(self._witness.promised)
            self._candidate.request_pre_votes(now, view)

    def reset_silence(self, now: float) -> None:
        """This process itself did not run: silence of the others in that time means nothing."""
        if self._role.leading is not None:
            self._role.leading.reset_silence(now)
        if self._follower.primary_seen_at is not None:
            self._follower.primary_seen_at = now

    def _tick_leading(self, now: float, leading: Leadership) -> None:
        if not leading.has_contact(now):
            self._role.resign(now, "a quorum of the witnesses has not answered for long")
            return
        leading.tick(now)
        if self._candidate.view_change is None and now >= self._review_at:
            self._review_at = now + REVIEW_INTERVAL_S
            self._review(now, leading)

    def _review(self, now: float, leading: Leadership) -> None:
        """Begins a view change if the view should change, or if another's promise stands in its way."""
        refused_since = leading.refused_since
        is_overruled = refused_since is not None and now - refused_since >= self._timing.refusal_s
        change = self._role.next_view(now, leading.view.epoch + 1, leading)
        entering = () if change is None else change.backups
        leading.set_entering(frozenset(entering) - set(leading.view.backups))
        if change is None and not is_overruled:
            return
        self._candidate.observe_epoch(self._witness.promised)
        self._candidate.start(now, leading.view)

    # ---- this member's view change ----

    def advance(self, now: float) -> bool:
        """Takes this member's view change one step further; returns whether there was one to take.

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
        """The last vote for the proposed view has come.

        It may come after this member has itself agreed to a later view, and follows it: then its own log is
        another's to write, and it must not lead.
        """
        if self._witness.promised > epoch:
            self._candidate.abandon(now)
        else:
            self._role.lead(now, view)

    def _propose(self, now: float, view_change: ViewChangeRound) -> None:
        base = view_change.base
        if self._member_id not in base.in_sync:
            self._candidate.abandon(now)
            self._role.resign(now, f"view {base.epoch} was formed without this member")
            return
        view = self._compose(now, view_change)
        if self._role.leading is not None:
            self._role.leading.propose(view)
        self._candidate.propose(view)

    def _compose(self, now: float, view_change: ViewChangeRound) -> View:
        """The view to propose: a failover of the base, or the change that its primary should make."""
        leading = self._role.leading
        if leading is None or view_change.base.epoch != leading.view.epoch:
            return failover_view(
                view_change.epoch,
                self._member_id,
                view_change.base,
                view_change.promised,
                self._role.leaving_members.leaving(now),
                self._settings.min_copies,
            )
        change = self._role.next_view(now, view_change.epoch, leading)
        return change if change is not None else same_view(view_change.epoch, leading.view)
