"""This member's votes on views: promises, acceptances, and replies to pre-votes."""

from __future__ import annotations

from .candidate import Candidate
from .follower import Follower
from .lease_acceptor import LeaseAcceptor
from .member_addresses import MemberAddresses
from .messages import Accept, Accepted, Prepare, PreVoteReply, PreVoteRequest, Promise
from .outbound_messages import OutboundMessages
from .primary_role import PrimaryRole
from .view import View
from .witness import Witness


class ViewVoter:
    """The acceptor's side of a view change. Every vote is durable before it is sent.

    Each method raises OSError if a vote cannot be stored; then nothing is sent.

    Source: Paxos Made Simple, section 2.2 (acceptors); Raft, section 9.6 of the thesis (pre-votes).
    """

    def __init__(
        self,
        member_id: str,
        witness: Witness,
        lease_acceptor: LeaseAcceptor,
        addresses: MemberAddresses,
        outbound: OutboundMessages,
        follower: Follower,
        candidate: Candidate,
        role: PrimaryRole,
    ) -> None:
        """Creates the voter over the durable state `witness`.

        Args:
            member_id: The identity of this member.
            witness: The epoch promised and the view accepted.
            lease_acceptor: Notified when this member becomes a witness.
            addresses: Updated from accepted views.
            outbound: Receives the replies.
            follower: Knows whether a primary was seen recently.
            candidate: Notified of the epochs that others use.
            role: Given up when a view with another primary is accepted.
        """
        self._member_id = member_id
        self._witness = witness
        self._lease_acceptor = lease_acceptor
        self._addresses = addresses
        self._outbound = outbound
        self._follower = follower
        self._candidate = candidate
        self._role = role

    def receive_pre_vote_request(self, now: float, sender: str, request: PreVoteRequest) -> None:
        """Answers whether a member may try to become primary; the reply is not a promise."""
        view = self._witness.view
        granted = view is None or view.primary == sender or not self._follower.has_recent_primary(now)
        leadership = self._role.leadership
        if leadership is not None and sender != self._member_id and leadership.has_contact(now):
            granted = False
        self._outbound.send(sender, PreVoteReply(request.round, granted, self._witness.promised, view))

    def prepare(self, now: float, sender: str, prepare: Prepare) -> None:
        """Answers a candidate that asks for a promise of its epoch.

        The reply carries the last view accepted here. A candidate that has such replies from a quorum knows
        every view that may have been chosen under a lower epoch, because any two quorums share a witness.
        """
        granted = self._witness.promise(prepare.epoch, sender)
        self._candidate.observe_epoch(self._witness.promised)
        self._outbound.send(
            sender, Promise(prepare.epoch, granted, self._witness.promised, self._witness.view)
        )

    def accept(self, now: float, sender: str, message: Accept) -> None:
        """Answers a candidate, or the primary, that asks this member to accept a view."""
        granted = self._accept(now, message.view)
        self._outbound.send(sender, Accepted(message.view.epoch, granted, self._witness.promised))

    def adopt(self, now: float, view: View) -> None:
        """Accepts a view that another member reports, if it is newer and no promise rules it out."""
        self._candidate.observe_epoch(view.epoch)
        if self._witness.view is None or view.epoch > self._witness.view.epoch:
            self._accept(now, view)

    def _accept(self, now: float, view: View) -> bool:
        previous = self._witness.view
        is_new = previous is None or previous.epoch != view.epoch
        if is_new and self._becomes_witness(view, previous) and self._witness.may_accept(view):
            # Before the view is accepted: a crash between the two writes then only costs a term of waiting.
            self._lease_acceptor.join_as_witness(now)
        if not self._witness.accept(view):
            return False
        self._addresses.update_from_view(view)
        if not is_new:
            return True
        if view.primary != self._member_id:
            self._role.resign(now, f"{view.primary} formed view {view.epoch}")
        return True

    def _becomes_witness(self, view: View, previous: View | None) -> bool:
        """Whether `view` makes this member a witness, which it was not in `previous`."""
        if self._member_id not in view.witnesses:
            return False
        return previous is None or self._member_id not in previous.former_witnesses
