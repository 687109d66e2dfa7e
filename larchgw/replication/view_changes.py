"""How the view of one member changes: its votes, its own attempts, and the primary's role won or lost."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from .candidate import Candidate
from .follower import Follower
from .graceful_leave import LeavingMembers
from .leadership import Leadership
from .lease_acceptor import LeaseAcceptor
from .member_addresses import MemberAddresses
from .messages import (
    Accept,
    Accepted,
    HeartbeatReply,
    JoinRequest,
    LeaveGranted,
    LeaveRequest,
    Prepare,
    PreVoteReply,
    PreVoteRequest,
    Promise,
    TakeOver,
)
from .outbound_messages import OutboundMessages
from .planning import failover_view, next_view, same_view
from .replica import Replica
from .settings import MemberSettings
from .view import View
from .view_change_round import ViewChangeRound
from .witness import Witness

log = structlog.get_logger()

REVIEW_INTERVAL_S = 0.05  # between two looks of the primary at whether the view should change


class ViewChanges:
    """Times are seconds of the member's clock. What must be durable raises OSError where the disk refuses.

    `on_resign` is called with the reason when this member stops acting as primary."""

    def __init__(
        self,
        member_id: str,
        settings: MemberSettings,
        witness: Witness,
        lease_acceptor: LeaseAcceptor,
        replica: Replica,
        outbox: OutboundMessages,
        addresses: MemberAddresses,
        follower: Follower,
        candidate: Candidate,
        on_resign: Callable[[str], None],
    ) -> None:
        self._member_id = member_id
        self._settings = settings
        self._timing = settings.timing
        self._witness = witness
        self._lease_acceptor = lease_acceptor
        self._replica = replica
        self._outbox = outbox
        self._addresses = addresses
        self._follower = follower
        self._candidate = candidate
        self._on_resign = on_resign
        self._review_at = 0.0
        self._leaving_members = LeavingMembers(self._timing)
        self.leading: Leadership | None = None  # while this member acts as primary
        self.no_candidacy_until = 0.0  # it does not stand before

    @property
    def view(self) -> View | None:
        """The view that this member acts in, or else the last that it has accepted."""
        return self.leading.view if self.leading is not None else self._witness.view

    def volatile_state(self) -> tuple[object, ...]:
        """What is kept in memory only, times left out; for explorations that compare states."""
        view_change = self._candidate.view_change
        return (
            self._candidate.highest_epoch,
            *self._leaving_members.volatile_state(),
            None if view_change is None else view_change.volatile_state(),
            None if self.leading is None else self.leading.volatile_state(),
        )

    # ---- messages ----

    def heartbeat_reply(self, now: float, sender: str, reply: HeartbeatReply) -> None:
        """A member has answered a heartbeat; it may know of a later view."""
        self._candidate.observe_epoch(reply.promised)
        if reply.view is not None:
            self.adopt(now, reply.view)
        if self.leading is not None:
            self.leading.heartbeat_reply(now, sender, reply)

    def receive_pre_vote_request(self, now: float, sender: str, request: PreVoteRequest) -> None:
        """A member asks whether it may try to become primary."""
        view = self._witness.view
        granted = view is None or view.primary == sender or not self._follower.has_recent_primary(now)
        if self.leading is not None and sender != self._member_id and self.leading.has_contact(now):
            granted = False
        self._outbox.send(sender, PreVoteReply(request.round, granted, self._witness.promised, view))

    def receive_pre_vote_reply(self, now: float, sender: str, reply: PreVoteReply) -> None:
        """A member has answered whether this one may try."""
        self._candidate.observe_epoch(reply.promised)
        if reply.view is not None:
            self.adopt(now, reply.view)
        if reply.granted and self.leading is None:
            self._candidate.receive_pre_vote(now, sender, reply.round)

    def prepare(self, sender: str, prepare: Prepare) -> None:
        """A candidate asks for a promise of its epoch."""
        granted = self._witness.promise(prepare.epoch, sender)
        self._candidate.observe_epoch(self._witness.promised)
        self._outbox.send(sender, Promise(prepare.epoch, granted, self._witness.promised, self._witness.view))

    def promise(self, now: float, sender: str, promise: Promise) -> None:
        """A witness has answered this member's view change."""
        self._candidate.observe_epoch(promise.promised)
        view_change = self._candidate.view_change
        if view_change is None or view_change.epoch != promise.epoch:
            return
        if promise.granted:
            view_change.promise(now, sender, promise)
        elif promise.promised > view_change.epoch:
            self._candidate.abandon(now)

    def accept(self, now: float, sender: str, message: Accept) -> None:
        """A candidate, or the primary, asks for the acceptance of a view."""
        granted = self._accept(now, message.view)
        self._outbox.send(sender, Accepted(message.view.epoch, granted, self._witness.promised))

    def accepted(self, sender: str, reply: Accepted) -> None:
        """A witness has answered this member's proposed view."""
        self._candidate.observe_epoch(reply.promised)
        view_change = self._candidate.view_change
        if view_change is not None and view_change.epoch == reply.epoch and reply.granted:
            view_change.accept(sender)

    def take_over(self, now: float, message: TakeOver) -> None:
        """The primary steps down and names this member as its successor."""
        view = self._witness.view
        if view is not None and view.epoch == message.epoch and self._may_stand(now, view):
            self._candidate.start(now, view)

    def join(self, now: float, join: JoinRequest) -> None:
        """A member asks to be taken in."""
        self._leaving_members.observe_return(join.member)
        if self.leading is not None:
            self.leading.join(now, join.member)

    def leave(self, now: float, sender: str, leave: LeaveRequest) -> None:
        """A member is about to end. The primary agrees once it has made what changes it can, and nothing
        depends on the other any more."""
        self._leaving_members.observe_request(now, leave.member)
        if self.leading is None or not self.leading.has_contact(now):
            return
        if self._next_view(now, self.leading.view.epoch + 1, self.leading) is not None:
            return
        if self.leading.can_release(now, leave.member, self._leaving_members.released(now) - {leave.member}):
            self._leaving_members.release(leave.member)
            self._outbox.send(sender, LeaveGranted(self.leading.view.epoch))

    # ---- views ----

    def adopt(self, now: float, view: View) -> None:
        """A view that another member has accepted."""
        self._candidate.observe_epoch(view.epoch)
        if self._witness.view is None or view.epoch > self._witness.view.epoch:
            self._accept(now, view)

    def lead(self, now: float, view: View) -> None:
        """A quorum has accepted this view, in which this member is primary."""
        self._candidate.view_change = None
        self._replica.sync()  # its own copy counts, also of what a life of this process before left unsynced
        self.leading = Leadership(
            self._member_id,
            view,
            self._replica,
            self._outbox,
            self._settings,
            now,
            self.leading,
            self._leaving_members.leaving(now),
        )
        log.info("primary.acquired", view_epoch=view.epoch, backups=view.backups, witnesses=view.witnesses)
        self.leading.heartbeat(now)
        self.leading.replicate(now)

    def step_down(self, now: float, pause_s: float) -> None:
        """Hands the primary's role to a backup, and does not stand for a while."""
        self.no_candidacy_until = max(self.no_candidacy_until, now + pause_s)
        if self.leading is None:
            return
        successor = self.leading.successor(now, self._leaving_members.leaving(now))
        if successor is not None:
            self._outbox.send(successor, TakeOver(self.leading.view.epoch))
        self._resign(now, "stepped down")

    def _accept(self, now: float, view: View) -> bool:
        before = self._witness.view
        is_new = before is None or before.epoch != view.epoch
        if is_new and self._becomes_witness(view, before) and self._witness.may_accept(view):
            # First, since what is lost between the two writes is then only a term.
            self._lease_acceptor.join_as_witness(now)
        if not self._witness.accept(view):
            return False
        self._addresses.update_from_view(view)
        if not is_new:
            return True
        if view.primary != self._member_id:
            self._resign(now, f"{view.primary} formed view {view.epoch}")
        return True

    def _becomes_witness(self, view: View, before: View | None) -> bool:
        return self._member_id in view.witnesses and (
            before is None or self._member_id not in before.former_witnesses
        )

    def _resign(self, now: float, reason: str) -> None:
        if self.leading is None:
            return
        log.info("primary.lost", view_epoch=self.leading.view.epoch, reason=reason)
        self.leading = None
        self._candidate.abandon(now)
        self._on_resign(reason)
        self._follower.primary_seen_at = now

    def _may_stand(self, now: float, view: View) -> bool:
        return (
            self._member_id in view.in_sync
            and now >= self.no_candidacy_until
            and self.leading is None
            and self._candidate.view_change is None
        )

    # ---- time ----

    def tick(self, now: float, contacts: tuple[str, ...], leaves: bool) -> None:
        """Repeats what may have been lost, and looks whether the view should change. `contacts`: addresses
        to ask for admission besides those of the view, unless this member leaves."""
        self._candidate.tick(now)
        view = self._witness.view
        if self.leading is not None:
            self._tick_leading(now, self.leading)
        elif view is None or self._member_id not in view.in_sync:
            if not leaves:
                self._follower.request_join(now, contacts)
        elif self._may_stand(now, view) and now >= self._follower.candidacy_due_at(view):
            self._candidate.observe_epoch(self._witness.promised)
            self._candidate.request_pre_votes(now, view)

    def reset_silence(self, now: float) -> None:
        """This process itself did not run: silence of the others in that time means nothing."""
        if self.leading is not None:
            self.leading.reset_silence(now)
        if self._follower.primary_seen_at is not None:
            self._follower.primary_seen_at = now

    def _tick_leading(self, now: float, leading: Leadership) -> None:
        if not leading.has_contact(now):
            self._resign(now, "a quorum of the witnesses has not answered for long")
            return
        leading.tick(now)
        if self._candidate.view_change is None and now >= self._review_at:
            self._review_at = now + REVIEW_INTERVAL_S
            self._review(now, leading)

    def _review(self, now: float, leading: Leadership) -> None:
        """Begins a round if the view should change, or if another's promise stands in its way."""
        overruled = (
            leading.refused_since is not None and now - leading.refused_since >= self._timing.refusal_s
        )
        change = self._next_view(now, leading.view.epoch + 1, leading)
        entering = () if change is None else change.backups
        leading.set_entering(frozenset(entering) - set(leading.view.backups))
        if change is None and not overruled:
            return
        self._candidate.observe_epoch(self._witness.promised)
        self._candidate.start(now, leading.view)

    def _next_view(self, now: float, epoch: int, leading: Leadership) -> View | None:
        observed = leading.observe_members(now, self._addresses.replaced, self._leaving_members.leaving(now))
        return next_view(
            epoch, leading.view, observed, self._settings.min_copies, self._settings.max_witnesses
        )

    # ---- the view change ----

    def advance_view_change(self, now: float) -> bool:
        """Takes this member's view change one step further; whether there was one to take."""
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
        """The last vote may come after this member has itself agreed to a later view, and follows it: then
        its own log is another's to write, and it must not lead."""
        if self._witness.promised > epoch:
            self._candidate.abandon(now)
        else:
            self.lead(now, view)

    def _propose(self, now: float, view_change: ViewChangeRound) -> None:
        base = view_change.base
        if self._member_id not in base.in_sync:
            self._candidate.abandon(now)
            self._resign(now, f"view {base.epoch} was formed without this member")
            return
        view = self._compose(now, view_change)
        if self.leading is not None:
            self.leading.propose(view)
        self._candidate.propose(view)

    def _compose(self, now: float, view_change: ViewChangeRound) -> View:
        leading = self.leading
        if leading is None or view_change.base.epoch != leading.view.epoch:
            return failover_view(
                view_change.epoch,
                self._member_id,
                view_change.base,
                view_change.promised,
                self._leaving_members.leaving(now),
                self._settings.min_copies,
            )
        change = self._next_view(now, view_change.epoch, leading)
        return change if change is not None else same_view(view_change.epoch, leading.view)
