"""All leases of one member: those it holds or requests, and those it grants as a witness."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from .effects import PendingCall
from .lease import AnnouncementCalls, Lease, LeaseHolder
from .lease_acceptor import LeaseAcceptor
from .lease_actions import ActionHistory
from .messages import LeaseRelease, LeaseReply, LeaseRequest
from .outbound_messages import OutboundMessages
from .settings import MemberSettings
from .view import View


class LeaseTable:
    """Passes messages about leases to the acceptor or to the holder that they concern.

    Times are seconds of the member's clock. `rank` staggers candidates: 0 for a view's primary.
    """

    def __init__(
        self,
        member_id: str,
        acceptor: LeaseAcceptor,
        settings: MemberSettings,
        outbound: OutboundMessages,
        random_source: Random,
        calls: AnnouncementCalls,
    ) -> None:
        """Begins without any lease.

        Args:
            member_id: The identity of this member.
            acceptor: Grants leases as a witness.
            settings: The term and time-outs.
            outbound: Receives requests and replies.
            random_source: Source of the random delays that keep candidates from colliding.
            calls: Creates and completes the calls that announce actions.
        """
        self._calls = calls
        self._member_id = member_id
        self._acceptor = acceptor
        self._settings = settings
        self._outbound = outbound
        self._random_source = random_source
        self._holders: dict[str, LeaseHolder] = {}

    def lease(self, now: float, name: str) -> Lease | None:
        """The lease, if actions under it are allowed now; otherwise it is requested from now on."""
        return self._holder(name).lease(now)

    def announce(self, now: float, name: str, targets: Sequence[str], view: View | None) -> PendingCall:
        """Announces an action; see `LeaseHolder.announce`."""
        return self._holder(name).announce(now, targets, view)

    def action_permitted_until(self, now: float, name: str, target: str) -> float:
        """Until when an announced action may be started; see `LeaseHolder.action_permitted_until`."""
        return self._holder(name).action_permitted_until(now, target)

    def target_free_at(self, name: str, target: str) -> float:
        """When actions of other holders on `target` are old enough; see `LeaseHolder.target_free_at`."""
        return self._holder(name).target_free_at(target)

    def action_history(self, name: str) -> ActionHistory:
        """The actions before this member was elected; see `LeaseHolder.action_history`."""
        return self._holder(name).action_history()

    def _holder(self, name: str) -> LeaseHolder:
        holder = self._holders.get(name)
        if holder is None:
            holder = self._holders[name] = LeaseHolder(
                name, self._member_id, self._settings, self._outbound, self._random_source, self._calls
            )
        return holder

    def handle_request(self, now: float, sender: str, message: LeaseRequest, view: View | None) -> None:
        """Answers the request of a holder or candidate. Raises OSError if the grant cannot be stored.

        A member that becomes a witness only with the sender's view does not answer before it has accepted
        that view: from then on it counts since when it knows announcements.
        """
        is_ahead = view is None or message.view_epoch > view.epoch
        if is_ahead and (view is None or self._member_id not in view.former_witnesses):
            return
        self._outbound.send(sender, self._acceptor.handle_request(now, sender, message, view))

    def receive_reply(self, now: float, sender: str, reply: LeaseReply, rank: int) -> None:
        """Handles the reply of a witness."""
        holder = self._holders.get(reply.name)
        if holder is not None:
            holder.receive_reply(now, sender, reply, rank)

    def release(self, now: float, sender: str, message: LeaseRelease, rank: int) -> None:
        """Handles the release of a lease by its holder, or by an unsuccessful candidate."""
        self._acceptor.release(sender, message)
        holder = self._holders.get(message.name)
        if holder is not None and sender != self._member_id:
            holder.observe_release(now, rank)

    def tick(self, now: float, view: View | None, rank: int) -> None:
        """Runs due renewals and elections."""
        for holder in self._holders.values():
            holder.tick(now, view, rank)

    def give_up_all(self, now: float, view: View | None, pause_s: float) -> None:
        """Releases all leases, and requests none for `pause_s`."""
        for holder in self._holders.values():
            holder.release(now, view, pause_s)
