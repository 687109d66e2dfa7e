"""All leases of one member: those it stands for, and its part as a witness of everyone's."""

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
    """Hands messages about leases to the witness or to the holder that they concern.

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
            acceptor: Its part as a witness.
            settings: The term and time-outs.
            outbound: Takes requests and replies.
            random_source: Staggers candidates.
            calls: Where announcements of acts are made and ended.
        """
        self._calls = calls
        self._member_id = member_id
        self._acceptor = acceptor
        self._settings = settings
        self._outbound = outbound
        self._random_source = random_source
        self._holders: dict[str, LeaseHolder] = {}

    def lease(self, now: float, name: str) -> Lease | None:
        """The lease, if it is held and may be acted on now; otherwise it is asked for from now on."""
        return self._holder(name).lease(now)

    def announce(self, now: float, name: str, targets: Sequence[str], view: View | None) -> PendingCall:
        """Announces an act; see `LeaseHolder.announce`."""
        return self._holder(name).announce(now, targets, view)

    def action_permitted_until(self, now: float, name: str, target: str) -> float:
        """Until when an announced act may be begun; see `LeaseHolder.action_permitted_until`."""
        return self._holder(name).action_permitted_until(now, target)

    def target_free_at(self, name: str, target: str) -> float:
        """When acts of others on `target` are old enough; see `LeaseHolder.target_free_at`."""
        return self._holder(name).target_free_at(target)

    def action_history(self, name: str) -> ActionHistory:
        """The acts before this holding of the lease; see `LeaseHolder.action_history`."""
        return self._holder(name).action_history()

    def _holder(self, name: str) -> LeaseHolder:
        holder = self._holders.get(name)
        if holder is None:
            holder = self._holders[name] = LeaseHolder(
                name, self._member_id, self._settings, self._outbound, self._random_source, self._calls
            )
        return holder

    def handle_request(self, now: float, sender: str, message: LeaseRequest, view: View | None) -> None:
        """A holder or candidate asks this witness. OSError if the answer cannot be made durable.

        A member that only becomes a witness with the asker's view does not answer before it has accepted that
        view: what it knows of earlier acts counts from then.
        """
        is_ahead = view is None or message.view_epoch > view.epoch
        if is_ahead and (view is None or self._member_id not in view.former_witnesses):
            return
        self._outbound.send(sender, self._acceptor.handle_request(now, sender, message, view))

    def receive_reply(self, now: float, sender: str, reply: LeaseReply, rank: int) -> None:
        """A witness has answered."""
        holder = self._holders.get(reply.name)
        if holder is not None:
            holder.receive_reply(now, sender, reply, rank)

    def release(self, now: float, sender: str, message: LeaseRelease, rank: int) -> None:
        """A holder, or a candidate without success, gives a lease up."""
        self._acceptor.release(sender, message)
        holder = self._holders.get(message.name)
        if holder is not None and sender != self._member_id:
            holder.observe_release(now, rank)

    def tick(self, now: float, view: View | None, rank: int) -> None:
        """Renewals and elections that are due."""
        for holder in self._holders.values():
            holder.tick(now, view, rank)

    def give_up_all(self, now: float, view: View | None, pause_s: float) -> None:
        """Gives all leases up, and stands for none for a while."""
        for holder in self._holders.values():
            holder.release(now, view, pause_s)
