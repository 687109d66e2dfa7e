"""Terms and timing of a member."""

from __future__ import annotations

import sys
from dataclasses import dataclass, field

from .snapshot_transfer import CHUNK_BYTES


@dataclass(frozen=True, slots=True)
class Timing:
    """Seconds. A round trip inside a region takes some ms and a sync up to tens of ms; a restart some
    seconds."""

    heartbeat_interval_s: float = 0.1
    backup_silence_s: float = 0.5  # after which a backup is left out: several heartbeats
    primary_silence_s: float = 0.6  # after which a backup tries to become primary
    rank_stagger_s: float = 0.15  # added by rank, so that candidates do not collide
    own_restart_s: float = 0.1  # a restarted primary need not wait for itself
    view_change_s: float = 0.8  # a ballot without result is given up
    view_change_resend_s: float = 0.15
    promise_grace_s: float = 0.03  # a quorum waits this long for the other in-sync members
    quorum_contact_s: float = 1.5  # a primary without a quorum for so long gives up its role
    refusal_s: float = 0.3  # a promise to another that leads to no view is overruled after this
    join_interval_s: float = 0.4  # between two requests of a member that is not in sync
    retransmit_s: float = 0.4  # of an append without a reply; plus its size over `slowest_link_bytes_per_s`
    slowest_link_bytes_per_s: float = 10e6  # bytes a second
    # A backup that was left out for silence is not taken in again before this: one that is silent again costs
    # changes `backup_silence_s`, less than a third of the time.
    rejoin_delay_s: float = 1.2
    witness_silence_s: float = 1.2  # a witness is replaced after this if an in-sync member stands by
    forget_peer_s: float = 5.0  # a member outside the view that stopped asking
    pre_vote_s: float = 0.25  # to wait for answers to a probe
    lease_round_s: float = 0.3  # to wait for answers of witnesses to a request for a lease
    leave_interval_s: float = 0.05  # between two requests of a member that is about to end
    step_down_pause_s: float = 5.0  # after `step_down`, before a member stands for a role again
    process_pause_s: float = 0.25  # a gap between ticks that means the process itself did not run


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """`seeds` are the rpc addresses of the first witnesses, the same and in the same order at all of them.
    `fresh_identity` is used if the disk is empty and this is not the first boot of a seed; it must be unique.
    `tolerated_failures` members may be lost at once: a record is acknowledged with
    tolerated_failures + 1 copies at least, and 2 * tolerated_failures + 1 decide. `all_in_sync_vote`: more
    may be lost if they are near to one another, so every member in sync is to have a vote."""

    address: str
    seeds: tuple[str, ...]
    first_boot: bool
    fresh_identity: str
    tolerated_failures: int
    lease_term_s: float  # seconds
    all_in_sync_vote: bool = False
    compact_records: int = 100  # a snapshot replaces the log once it holds so many records
    compact_bytes: int = 16 << 20  # or so many bytes
    compact_replay_bytes: int = 128 << 20  # or if records times the size of the state are so many: to take a
    # record in after a restart costs time in proportion to the state (docs/storage.md)
    deliver_bytes: int = 8 << 20  # records times the size of the state that are handed out at a time
    batch_bytes: int = 1 << 20  # of records in one message, unless one alone is larger
    chunk_bytes: int = CHUNK_BYTES  # of a snapshot in one message
    timing: Timing = field(default_factory=Timing)

    @property
    def min_copies(self) -> int:
        """Members in sync, at least."""
        return self.tolerated_failures + 1

    @property
    def max_witnesses(self) -> int:
        """Up to which the witnesses grow by members that come."""
        return sys.maxsize if self.all_in_sync_vote else 2 * self.tolerated_failures + 1
