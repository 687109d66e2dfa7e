"""The primary role of this member: acquired with a view, and lost or handed over."""

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
    """The primary role of one member. Times are seconds of the member's clock.

    Attributes:
        leadership: The state of this member as primary of its view; None while it is not primary.
        no_candidacy_until: The member does not try to become primary before this time.
        leaving_members: Members that asked to be left out before a planned shutdown. Every member tracks
            them, so that the next primary already knows them.
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
        """Creates the role; the member is not primary yet.

        Args:
            member_id: The identity of this member.
            settings: The numbers of copies and witnesses that views must have, and time-outs.
            replica: The log, whose records a primary sends.
            outbound: Receives the messages to send.
            addresses: Knows which members were replaced by a new identity at their address.
            follower: Is set to have just seen a primary when the role is lost.
            candidate: Abandons its attempt, and is postponed, when the role is lost.
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
        self.leadership: Leadership | None = None
        self.no_candidacy_until = 0.0

    def lead(self, now: float, view: View) -> None:
        """Starts to act as primary of a view that a quorum has accepted.

        Raises:
            OSError: The log cannot be made durable, but this member's own copy must count.
        """
        self._candidate.view_change = None
        self._replica.sync()  # also records that this process left unsynced before a restart
        self.leadership = Leadership(
            self._member_id,
            view,
            self._replica,
            self._outbound,
            self._settings,
            now,
            self.leadership,
            self.leaving_members.leaving(now),
        )
        log.info("primary.acquired", view_epoch=view.epoch, backups=view.backups, witnesses=view.witnesses)
        self.leadership.heartbeat(now)
        self.leadership.replicate(now)

    def resign(self, now: float, reason: str) -> None:
        """Stops acting as primary; does nothing if the member is not primary."""
        if self.leadership is None:
            return
        log.info("primary.lost", view_epoch=self.leadership.view.epoch, reason=reason)
        self.leadership = None
        self._candidate.abandon(now)
        self._on_resign(reason)
        self._follower.primary_seen_at = now

    def step_down(self, now: float, pause_s: float) -> None:
        """Hands the role to a backup, and does not try to become primary again for `pause_s`."""
        self.no_candidacy_until = max(self.no_candidacy_until, now + pause_s)
        if self.leadership is None:
            return
        successor = self.leadership.successor(now, self.leaving_members.leaving(now))
        if successor is not None:
            self._outbound.send(successor, TakeOver(self.leadership.view.epoch))
        self.resign(now, "stepped down")

    def may_become_candidate(self, now: float, view: View) -> bool:
        """Whether this member may try to become primary after `view`.

        Only a member of the in-sync set may: a record is acknowledged only once it is durable at every member
        of that set. So each of them holds all acknowledged records, which is not known of other members.
        """
        return (
            self._member_id in view.in_sync
            and now >= self.no_candidacy_until
            and self.leadership is None
            and self._candidate.view_change is None
        )

    def next_view(self, now: float, epoch: int, leadership: Leadership) -> View | None:
        """The view, under `epoch`, to which the primary should change now; None if no change is needed."""
        observed = leadership.observe_members(
            now, self._addresses.replaced, self.leaving_members.leaving(now)
        )
        return next_view(
            epoch, leadership.view, observed, self._settings.min_copies, self._settings.max_witnesses
        )

    def join(self, now: float, join: JoinRequest) -> None:
        """Handles the request of a member to be brought up to date and added to the in-sync set."""
        self.leaving_members.observe_return(join.member)
        if self.leadership is not None:
            self.leadership.join(now, join.member)

    def leave(self, now: float, sender: str, leave: LeaveRequest) -> None:
        """Handles the request of a member that is about to shut down.

        The request is granted once nothing depends on the member: no further change of the view is needed,
        and the other members are a quorum without it.
        """
        self.leaving_members.observe_request(now, leave.member)
        if self.leadership is None or not self.leadership.has_contact(now):
            return
        if self.next_view(now, self.leadership.view.epoch + 1, self.leadership) is not None:
            return
        released = self.leaving_members.released(now) - {leave.member}
        if self.leadership.can_release(now, leave.member, released):
            self.leaving_members.release(leave.member)
            self._outbound.send(sender, LeaveGranted(self.leadership.view.epoch))
