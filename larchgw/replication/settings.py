"""Settings and timing of a member."""

from __future__ import annotations

import sys
from dataclasses import dataclass, field

from .snapshot_transfer import CHUNK_BYTES


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and time-outs, in seconds.

    The defaults suit round trips of a few ms inside a region, disk syncs of up to tens of ms, and restarts of
    a few seconds.

    Attributes:
        heartbeat_interval_s: Between two heartbeats of a primary.
        backup_timeout_s: A backup that is silent for this long is left out of the view; several heartbeats.
        primary_timeout_s: A backup that has not heard the primary for this long tries to become primary.
        rank_stagger_s: Added per rank, so that candidates do not collide.
        own_restart_s: After a restart the primary of the last view becomes a candidate after this time. It
            does not need to wait for itself.
        view_change_timeout_s: A view change without a result is abandoned after this time.
        view_change_resend_s: Between two requests to a member that has not answered a view change.
        promise_grace_s: Once a quorum has promised, how long a candidate waits for the other in-sync members.
        quorum_timeout_s: A primary that has not heard a quorum for this long gives up its role.
        refusal_timeout_s: If a member refuses the primary's heartbeats because it has promised a higher
            epoch, and no view follows within this time, the primary forms a view with an even higher epoch.
        join_interval_s: Between two requests of a member that is not in sync.
        retransmit_timeout_s: An append without a reply is sent again after this time plus the time that its
            bytes take at `slowest_link_bytes_per_s`.
        slowest_link_bytes_per_s: Throughput of the slowest link.
        rejoin_delay_s: For how long a backup that was left out because it was silent is not added again. A
            backup that is silent repeatedly delays changes by `backup_timeout_s` each time, so with this
            delay for less than a third of the time.
        witness_timeout_s: A witness that is silent for this long is replaced if an in-sync member can take
            its place.
        peer_expiry_s: The primary forgets a member outside the view that has not sent a request for this
            long.
        pre_vote_timeout_s: How long a candidate waits for replies to a pre-vote.
        lease_round_timeout_s: How long a holder waits for replies of the witnesses to a lease request.
        lease_stagger_s: Between candidates for a lease, per rank; covers several round trips with a write at
            the witnesses.
        leave_interval_s: Between two requests of a member that is leaving.
        step_down_pause_s: After `step_down`, for how long a member does not try for a role again.
        process_pause_s: A gap between two calls that is longer than this means that the process itself was
            not running.
    """

    heartbeat_interval_s: float = 0.1
    backup_timeout_s: float = 0.5
    primary_timeout_s: float = 0.6
    rank_stagger_s: float = 0.15
    own_restart_s: float = 0.1
    view_change_timeout_s: float = 0.8
    view_change_resend_s: float = 0.15
    promise_grace_s: float = 0.03
    quorum_timeout_s: float = 1.5
    refusal_timeout_s: float = 0.3
    join_interval_s: float = 0.4
    retransmit_timeout_s: float = 0.4
    slowest_link_bytes_per_s: float = 10e6
    rejoin_delay_s: float = 1.2
    witness_timeout_s: float = 1.2
    peer_expiry_s: float = 5.0
    pre_vote_timeout_s: float = 0.25
    lease_round_timeout_s: float = 0.3
    lease_stagger_s: float = 0.1
    leave_interval_s: float = 0.05
    step_down_pause_s: float = 5.0
    process_pause_s: float = 0.25


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of one member.

    Attributes:
        address: Its RPC address.
        seeds: RPC addresses of the first witnesses; the same list, in the same order, at all of them.
        first_boot: Whether the system is started for the first time.
        fresh_identity: The identity of this member if its disk is empty and it is not a seed at the first
            boot; must be unique.
        tolerated_failures: Number of members that may be lost at once. A record needs one copy more than
            that to be acknowledged, and 2 * tolerated_failures + 1 witnesses form the quorums.
        lease_term_s: Seconds between actions of two holders of a lease on the same target.
        action_retention_s: For how long witnesses remember announced actions, if that is longer than a new
            holder waits.
        all_in_sync_vote: Whether every in-sync member becomes a witness. More members than
            `tolerated_failures` may then be lost if they share a failure domain.
        compact_records: The log is compacted once it holds this many records.
        compact_bytes: The log is compacted once it holds this many bytes.
        compact_replay_bytes: The log is compacted once the number of records times the size of the state
            reaches this. Applying a record after a restart takes time in proportion to the size of the
            state (docs/storage.md).
        deliver_bytes: Limit of the number of records times the size of the state that one call delivers.
        batch_bytes: Limit of the records in one message; a single larger record is sent alone.
        chunk_bytes: Bytes of a snapshot in one message.
        timing: Intervals and time-outs.
    """

    address: str
    seeds: tuple[str, ...]
    first_boot: bool
    fresh_identity: str
    tolerated_failures: int
    lease_term_s: float
    action_retention_s: float = 0.0
    all_in_sync_vote: bool = False
    compact_records: int = 100
    compact_bytes: int = 16 << 20
    compact_replay_bytes: int = 128 << 20
    deliver_bytes: int = 8 << 20
    batch_bytes: int = 1 << 20
    chunk_bytes: int = CHUNK_BYTES
    timing: Timing = field(default_factory=Timing)

    @property
    def min_copies(self) -> int:
        """The least number of in-sync members."""
        return self.tolerated_failures + 1

    @property
    def max_witnesses(self) -> int:
        """The size up to which joining members extend the witness set."""
        return sys.maxsize if self.all_in_sync_vote else 2 * self.tolerated_failures + 1
