"""Whether this member acts as primary: the role is won by a view, and lost or handed over."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from .candidate import Candidate
from .follower import Follower
from .graceful_leave import LeavingMembers
from .leadership import Leadership
from .member_addresses import MemberAddresses
from .messages import JoinRequest, LeaveGranted, LeaveRequest, TakeOver
from .outbound_messages import OutboundMessages
from .planning import next_view
from .replica import Replica
from .settings import MemberSettings
from .view import View

log = structlog.get_logger()


class PrimaryRole:
    """The primary's role of one member. Times are seconds of the member's clock.

    Attributes:
        leading: The view that this member acts in as primary; None while it does not.
        no_candidacy_until: It does not try to become primary before this time.
        leaving_members: Members that asked to be left out before a planned end. Every member keeps them, so
            that whoever becomes primary next knows of them already.
    """

    def __init__(
        self,
        member_id: str,
        settings: MemberSettings,
        replica: Replica,
        outbound: OutboundMessages,
        addresses: MemberAddresses,
        follower: Follower,
        candidate: Candidate,
        on_resign: Callable[[str], None],
    ) -> None:
        """Creates the role, not held.

        Args:
            member_id: The identity of this member.
            settings: Copies and witnesses that views must have, and time-outs.
            replica: The log, whose records a primary sends.
            outbound: Takes the messages to send.
            addresses: Which members have lost their disk to a successor at their address.
            follower: Noted as just having seen a primary once the role is lost.
            candidate: Given up, and postponed, once the role is lost.
            on_resign: Called with the reason when this member stops acting as primary.
        """
        self._member_id = member_id
        self._settings = settings
        self._replica = replica
        self._outbound = outbound
        self._addresses = addresses
        self._follower = follower
        self._candidate = candidate
        self._on_resign = on_resign
        self.leaving_members = LeavingMembers(settings.timing)
        self.leading: Leadership | None = None
        self.no_candidacy_until = 0.0

    def lead(self, now: float, view: View) -> None:
        """Begins to act in a view that a quorum has accepted and in which this member is primary.

        Raises:
            OSError: The log cannot be made durable; this member's own copy must count.
        """
        self._candidate.view_change = None
        self._replica.sync()  # also what an earlier incarnation of this process left unsynced
        self.leading = Leadership(
            self._member_id,
            view,
            self._replica,
            self._outbound,
            self._settings,
            now,
            self.leading,
            self.leaving_members.leaving(now),
        )
        log.info("primary.acquired", view_epoch=view.epoch, backups=view.backups, witnesses=view.witnesses)
        self.leading.heartbeat(now)
        self.leading.replicate(now)

    def resign(self, now: float, reason: str) -> None:
        """Stops acting as primary, if it does."""
        if self.leading is None:
            return
        log.info("primary.lost", view_epoch=self.leading.view.epoch, reason=reason)
        self.leading = None
        self._candidate.abandon(now)
        self._on_resign(reason)
        self._follower.primary_seen_at = now

    def step_down(self, now: float, pause_s: float) -> None:
        """Hands the role to a backup, and does not try to win it again for `pause_s`."""
        self.no_candidacy_until = max(self.no_candidacy_until, now + pause_s)
        if self.leading is None:
            return
        successor = self.leading.successor(now, self.leaving_members.leaving(now))
        if successor is not None:
            self._outbound.send(successor, TakeOver(self.leading.view.epoch))
        self.resign(now, "stepped down")

    def may_stand(self, now: float, view: View) -> bool:
        """Whether this member may try to become primary after `view`.

        Only a member of the in-sync set may: a record counts as acknowledged once every member of that set
        has it durable, so that each of them holds all acknowledged records, and no other member is known to.
        """
        return (
            self._member_id in view.in_sync
            and now >= self.no_candidacy_until
            and self.leading is None
            and self._candidate.view_change is None
        )

    def next_view(self, now: float, epoch: int, leading: Leadership) -> View | None:
        """The change that should be made to the view now, under `epoch`; None if there is none."""
        observed = leading.observe_members(now, self._addresses.replaced, self.leaving_members.leaving(now))
        return next_view(
            epoch, leading.view, observed, self._settings.min_copies, self._settings.max_witnesses
        )

    def join(self, now: float, join: JoinRequest) -> None:
        """A member asks to be brought up to date and taken in."""
        self.leaving_members.observe_return(join.member)
        if self.leading is not None:
            self.leading.join(now, join.member)

    def leave(self, now: float, sender: str, leave: LeaveRequest) -> None:
        """A member is about to end; its wish is granted once nothing depends on it any more.

        That is so once there is no further change of the view to make, and the others are a quorum without
        it.
        """
        self.leaving_members.observe_request(now, leave.member)
        if self.leading is None or not self.leading.has_contact(now):
            return
        if self.next_view(now, self.leading.view.epoch + 1, self.leading) is not None:
            return
        released = self.leaving_members.released(now) - {leave.member}
        if self.leading.can_release(now, leave.member, released):
            self.leaving_members.release(leave.member)
            self._outbound.send(sender, LeaveGranted(self.leading.view.epoch))
