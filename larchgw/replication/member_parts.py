"""The components of a member, and their assembly."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .candidate import Candidate
from .compaction import Compaction
from .effects_collector import EffectsCollector
from .follower import Follower
from .graceful_leave import GracefulLeave
from .identity import Identity, load_or_create_identity
from .lease_acceptor import LeaseAcceptor
from .lease_table import LeaseTable
from .member_addresses import MemberAddresses
from .outbound_messages import OutboundMessages
from .ports import Ports
from .primary_role import PrimaryRole
from .replica import Replica
from .settings import MemberSettings
from .view_changes import ViewChanges
from .view_voter import ViewVoter
from .witness import Witness


@dataclass(frozen=True, slots=True)
class MemberParts:
    """The components of one member, each a separate state machine.

    Attributes:
        identity: The identity of this member.
        witness: Durable: the promised epoch and the accepted view.
        replica: Durable: the log.
        outbound: Messages to send.
        addresses: The addresses of the other members.
        follower: What this member does for another primary.
        role: Whether this member is primary.
        voter: Its votes on views.
        views: Its own attempts to form a view.
        lease_acceptor: Durable: the leases that it has granted as a witness.
        leases: The leases that it holds or requests.
        graceful_leave: Its own planned shutdown.
        compaction: Decides when the log is compacted.
        effects: Collects the effects of the current call.
    """

    identity: Identity
    witness: Witness
    replica: Replica
    outbound: OutboundMessages
    addresses: MemberAddresses
    follower: Follower
    role: PrimaryRole
    voter: ViewVoter
    views: ViewChanges
    lease_acceptor: LeaseAcceptor
    leases: LeaseTable
    graceful_leave: GracefulLeave
    compaction: Compaction
    effects: EffectsCollector


def assemble(
    settings: MemberSettings, ports: Ports, snapshot: Callable[[], bytes], random_source: Random
) -> MemberParts:
    """Reads the durable state, creates an identity if there is none, and connects the components.

    Args:
        settings: Settings of the member.
        ports: Its durable storage.
        snapshot: Returns the caller's state as of the last record that was delivered to it.
        random_source: Source of the random delays that keep candidates from colliding.

    Raises:
        OSError: A new identity cannot be stored.
    """
    timing = settings.timing
    witness = Witness(ports.witness)
    lease_acceptor = LeaseAcceptor(ports.leases, settings.lease_term_s, settings.action_retention_s)
    identity = load_or_create_identity(ports.identity, settings, witness, lease_acceptor)
    replica = Replica(ports.journal)
    outbound = OutboundMessages(identity.id, settings.address)
    addresses = MemberAddresses(outbound)
    effects = EffectsCollector(replica, settings.deliver_bytes)
    follower = Follower(identity.id, settings.address, witness, replica, outbound, timing)
    candidate = Candidate(identity.id, outbound, timing, random_source)
    role = PrimaryRole(
        identity.id, settings, replica, outbound, addresses, follower, candidate, effects.fail_calls
    )
    voter = ViewVoter(identity.id, witness, lease_acceptor, addresses, outbound, follower, candidate, role)
    return MemberParts(
        identity=identity,
        witness=witness,
        replica=replica,
        outbound=outbound,
        addresses=addresses,
        follower=follower,
        role=role,
        voter=voter,
        views=ViewChanges(identity.id, settings, witness, follower, candidate, role, voter),
        lease_acceptor=lease_acceptor,
        leases=LeaseTable(identity.id, lease_acceptor, settings, outbound, random_source, effects),
        graceful_leave=GracefulLeave(identity.id, outbound, timing),
        compaction=Compaction(replica, settings, snapshot),
        effects=effects,
    )
