"""Settings and timing of a member."""

from __future__ import annotations

import sys
from dataclasses import dataclass, field

from .snapshot_transfer import CHUNK_BYTES


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and time-outs, in seconds.

    They are chosen for a round trip of some ms inside a region, syncs of up to tens of ms, and restarts of
    some seconds.

    Attributes: heartbeat_interval_s: Between two heartbeats of a primary. backup_silence_s: After which a
    backup is left out: several heartbeats. primary_silence_s: After which a backup tries to become primary.
    rank_stagger_s: Added by rank, so that candidates do not collide. own_restart_s: After which a restarted
    primary tries again: it need not wait for itself. view_change_s: After which a view change without result
    is given up. view_change_resend_s: Between two requests to a member that has not answered a view change.
    promise_grace_s: For which a quorum of promises waits for the other in-sync members. quorum_contact_s:
    After which a primary without a quorum gives up its role. refusal_s: After which a promise to another
    member that leads to no view is overruled. join_interval_s: Between two requests of a member that is not
    in sync. retransmit_s: After which an append without a reply is sent again, in addition to the time that
    its bytes take over `slowest_link_bytes_per_s`. slowest_link_bytes_per_s: What the slowest link carries.
    rejoin_delay_s: For which a backup that was left out for silence is not taken in again. One that is silent
    time and again costs changes `backup_silence_s` each time, so less than a third of the time.
    witness_silence_s: After which a witness is replaced, if an in-sync member can take its place.
    forget_peer_s: After which a member outside the view that stopped asking is forgotten. pre_vote_s: To wait
    for replies to a pre-vote. lease_round_s: To wait for replies of the witnesses to a lease request.
    lease_stagger_s: Between candidates for a lease, by rank: some round trips with a write at the witnesses.
    leave_interval_s: Between two requests of a member that is about to end. step_down_pause_s: After
    `step_down`, before a member tries for a role again. process_pause_s: A gap between calls that means that
    the process itself did not run.
    """

    heartbeat_interval_s: float = 0.1
    backup_silence_s: float = 0.5
    primary_silence_s: float = 0.6
    rank_stagger_s: float = 0.15
    own_restart_s: float = 0.1
    view_change_s: float = 0.8
    view_change_resend_s: float = 0.15
    promise_grace_s: float = 0.03
    quorum_contact_s: float = 1.5
    refusal_s: float = 0.3
    join_interval_s: float = 0.4
    retransmit_s: float = 0.4
    slowest_link_bytes_per_s: float = 10e6
    rejoin_delay_s: float = 1.2
    witness_silence_s: float = 1.2
    forget_peer_s: float = 5.0
    pre_vote_s: float = 0.25
    lease_round_s: float = 0.3
    lease_stagger_s: float = 0.1
    leave_interval_s: float = 0.05
    step_down_pause_s: float = 5.0
    process_pause_s: float = 0.25


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of one member.

    Attributes:
        address: Its RPC address.
        seeds: RPC addresses of the first witnesses, in the same order at all of them.
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
        """Members in sync, at least."""
        return self.tolerated_failures + 1

    @property
    def max_witnesses(self) -> int:
        """Up to which the witnesses grow by members that come."""
        return sys.maxsize if self.all_in_sync_vote else 2 * self.tolerated_failures + 1
