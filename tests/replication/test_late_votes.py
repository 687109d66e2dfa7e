"""One member with scripted peers: votes that arrive after the member has promised a later epoch."""

from __future__ import annotations

from random import Random

from larchgw.model_checking.simulated_disk import SimulatedDisk
from larchgw.replication.member import Member
from larchgw.replication.message_codec import encode
from larchgw.replication.messages import Accept, Accepted, LeaveRequest, Message, PreVoteReply, Promise
from larchgw.replication.settings import MemberSettings
from larchgw.replication.view import View, first_view
from larchgw.rpc.generated.ttypes import PeerMessage

VIEW = first_view(["a", "b", "c"])


class MemberWithScriptedPeers:
    """Member "b" of a, b, c; the test sends the messages of the others."""

    def __init__(self) -> None:
        settings = MemberSettings("b", ("a", "b", "c"), True, "", 1, 3.0)
        self.member = Member(settings, SimulatedDisk().ports(), lambda: b"", Random(1))
        self.member.start(100.0)

    def receive(self, now: float, sender: str, message: Message) -> list[tuple[str, str]]:
        kind, body = encode(message, sender)
        effects = self.member.receive(now, PeerMessage(sender, "b", kind, body))
        return [(outgoing.message.receiver, outgoing.message.kind) for outgoing in effects.messages]

    def propose_view_2(self) -> None:
        self.member.tick(101.0)
        self.receive(101.0, "c", PreVoteReply(1, True, 0, VIEW))
        self.receive(101.0, "c", Promise(2, True, 2, VIEW))
        self.member.tick(101.1)


def test_the_last_vote_for_its_view_makes_a_member_primary() -> None:
    b = MemberWithScriptedPeers()
    b.propose_view_2()
    b.receive(101.3, "a", Accepted(2, True, 2))
    assert b.member.acting_epoch == 2


def test_a_late_vote_does_not_make_a_member_primary_that_follows_a_later_view() -> None:
    b = MemberWithScriptedPeers()
    b.propose_view_2()
    later = View(3, "c", ("b",), VIEW.witnesses, VIEW.witnesses, VIEW.addresses)
    b.receive(101.2, "c", Accept(later))
    b.receive(101.3, "a", Accepted(2, True, 2))
    assert b.member.acting_epoch is None
    assert b.member.view == later


def test_a_member_that_is_not_primary_grants_no_request_to_leave() -> None:
    b = MemberWithScriptedPeers()
    assert ("c", "left") not in b.receive(100.1, "c", LeaveRequest("c"))
