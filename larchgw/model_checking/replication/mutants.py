"""Mutants of the replication protocol, each with the seed of a run that catches it."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import replace

from ...replication import identity, member_parts, snapshot_transfer, view
from ...replication.graceful_leave import GracefulLeave
from ...replication.leadership import Leadership
from ...replication.lease_acceptor import LeaseAcceptor
from ...replication.messages import InstallSnapshot, Promise
from ...replication.ports import Cell
from ...replication.replica import Replica
from ...replication.settings import MemberSettings
from ...replication.snapshot_transfer import IncomingSnapshot, OutgoingSnapshot
from ...replication.view_change_round import ViewChangeRound
from ...replication.view_changes import ViewChanges
from ...replication.witness import Witness, WitnessState
from ..mutants import Mutant, Patch, always
from .lease_mistakes import (
    HIDES_A_RESTART,
    OMITS_ANNOUNCED_TARGETS,
    PERMITS_BEFORE_QUORUM,
    PERMITS_WITHOUT_TIME_LIMIT,
    REPORTS_ALL_TARGETS_FREE,
)
from .runs import play_faults, play_random_walk

AppendResult = tuple[bool, int]
LoadIdentity = Callable[[Cell, MemberSettings, Witness, LeaseAcceptor], identity.Identity]
AppendFromPrimary = Callable[[Replica, int, int, Sequence[int], Sequence[bytes]], AppendResult]


def _always_ready(original: property) -> property:
    return property(lambda self: True)


def _commits_on_one_backup(original: Callable[[Leadership], int]) -> Callable[[Leadership], int]:
    def commit_index(self: Leadership) -> int:
        return max([self._replica.committed, *(peer.match_index for peer in self._peers.values())])

    return commit_index


def _ignores_reported_views(
    original: Callable[[ViewChangeRound, float, str, Promise], None],
) -> Callable[[ViewChangeRound, float, str, Promise], None]:
    def promise(self: ViewChangeRound, now: float, sender: str, message: Promise) -> None:
        original(self, now, sender, replace(message, view=None))

    return promise


def _always_promises(
    original: Callable[[Witness, int, str], bool],
) -> Callable[[Witness, int, str], bool]:
    def promise(self: Witness, epoch: int, candidate: str) -> bool:
        original(self, epoch, candidate)
        return True

    return promise


def _always_accepts(
    original: Callable[[Witness, view.View], bool],
) -> Callable[[Witness, view.View], bool]:
    def accept(self: Witness, proposed: view.View) -> bool:
        original(self, proposed)
        return True

    return accept


def _keeps_state_in_memory(
    original: Callable[[Witness, WitnessState], None],
) -> Callable[[Witness, WitnessState], None]:
    def store(self: Witness, state: WitnessState) -> None:
        self._state = state

    return store


def _stays_primary_after_restart(original: LoadIdentity) -> LoadIdentity:
    def load_or_create_identity(
        cell: Cell, settings: MemberSettings, witness: Witness, leases: LeaseAcceptor
    ) -> identity.Identity:
        return replace(original(cell, settings, witness, leases), is_new=True)

    return load_or_create_identity


def _reuses_identity_after_disk_loss(original: LoadIdentity) -> LoadIdentity:
    def load_or_create_identity(
        cell: Cell, settings: MemberSettings, witness: Witness, leases: LeaseAcceptor
    ) -> identity.Identity:
        return original(cell, replace(settings, first_boot=True), witness, leases)

    return load_or_create_identity


def _ignores_divergence(original: AppendFromPrimary) -> AppendFromPrimary:
    def append_from_primary(
        self: Replica,
        previous_index: int,
        previous_epoch: int,
        epochs: Sequence[int],
        records: Sequence[bytes],
    ) -> AppendResult:
        known = min(previous_index, self.last_index)
        if previous_index <= self.last_index and known >= self._base_index:
            previous_epoch = self.epoch_at(known)
        return original(self, previous_index, previous_epoch, epochs, records)

    return append_from_primary


def _confirms_without_quorum(
    original: Callable[[Leadership, bool], int],
) -> Callable[[Leadership, bool], int]:
    def proven_round(self: Leadership, self_granted: bool) -> int:
        return self.round

    return proven_round


def _admits_any_replica(
    original: Callable[[Leadership, float, str, frozenset[str]], bool],
) -> Callable[[Leadership, float, str, frozenset[str]], bool]:
    def may_join_in_sync_set(self: Leadership, now: float, candidate: str, leaving: frozenset[str]) -> bool:
        return candidate not in self.view.in_sync and self._peers[candidate].replicating

    return may_join_in_sync_set


def counts_one_vote_less_as_majority(
    original: Callable[[Collection[str], Collection[str]], bool],
) -> Callable[[Collection[str], Collection[str]], bool]:
    """Makes a majority test that needs one vote less than a majority."""

    def majority_of(voters: Collection[str], members: Collection[str]) -> bool:
        return 2 * sum(member in voters for member in members) >= len(members) - 1

    return majority_of


def _leads_after_late_vote(
    original: Callable[[ViewChanges, float, int, view.View], None],
) -> Callable[[ViewChanges, float, int, view.View], None]:
    def chosen(self: ViewChanges, now: float, epoch: int, chosen_view: view.View) -> None:
        self._role.lead(now, chosen_view)

    return chosen


def _ends_without_agreement(
    original: Callable[[GracefulLeave, view.View | None], bool],
) -> Callable[[GracefulLeave, view.View | None], bool]:
    def is_complete(self: GracefulLeave, accepted: view.View | None) -> bool:
        return self.has_begun

    return is_complete


def _ignores_acknowledged_offset(
    original: Callable[[OutgoingSnapshot, int, int], bool],
) -> Callable[[OutgoingSnapshot, int, int], bool]:
    def acknowledge(self: OutgoingSnapshot, index: int, offset: int) -> bool:
        size = len(self.snapshot.content)
        self.offset = min(self.offset + self._chunk_bytes, max(0, size - self._chunk_bytes))
        return True

    return acknowledge


def _treats_all_snapshots_as_one_transfer(
    original: Callable[[InstallSnapshot], tuple[object, ...]],
) -> Callable[[InstallSnapshot], tuple[object, ...]]:
    def transfer_of(install: InstallSnapshot) -> tuple[object, ...]:
        return ("any",)

    return transfer_of


MUTANTS = (
    Mutant(
        "acknowledges a record that one backup has",
        play_random_walk,
        1,
        (Patch(Leadership, "commit_index", _commits_on_one_backup),),
    ),
    Mutant(
        "takes a replica in that lacks records",
        play_random_walk,
        24,
        (Patch(Leadership, "_may_join_in_sync_set", _admits_any_replica),),
    ),
    Mutant(
        "is ready before what it took over is acknowledged",
        play_random_walk,
        2,
        (Patch(Leadership, "is_ready", _always_ready),),
    ),
    Mutant(
        "confirms reads without a quorum",
        play_random_walk,
        31,
        (Patch(Leadership, "proven_round", _confirms_without_quorum),),
    ),
    Mutant(
        "ignores the views that promises report",
        play_random_walk,
        55,
        (Patch(ViewChangeRound, "promise", _ignores_reported_views),),
    ),
    Mutant("promises an epoch again", play_faults, 10, (Patch(Witness, "promise", _always_promises),)),
    Mutant(
        "accepts a view below its promise",
        play_random_walk,
        4,
        (Patch(Witness, "accept", _always_accepts),),
    ),
    Mutant(
        "keeps promises in memory only", play_faults, 0, (Patch(Witness, "_store", _keeps_state_in_memory),)
    ),
    Mutant(
        "goes on as primary after a restart",
        play_random_walk,
        0,
        (Patch(member_parts, "load_or_create_identity", _stays_primary_after_restart),),
    ),
    Mutant(
        "keeps its vote after the loss of its disk",
        play_random_walk,
        15,
        (Patch(member_parts, "load_or_create_identity", _reuses_identity_after_disk_loss),),
    ),
    Mutant(
        "answers before its records are synced", play_random_walk, 0, (Patch(Replica, "sync", always(None)),)
    ),
    Mutant(
        "does not compare the epochs of records",
        play_faults,
        28,
        (Patch(Replica, "append_from_primary", _ignores_divergence),),
    ),
    Mutant(
        "takes a piece of a snapshot at a wrong offset",
        play_faults,
        18,
        (Patch(IncomingSnapshot, "_fits", always(True)),),
    ),
    Mutant(
        "does not verify a snapshot",
        play_random_walk,
        29,
        (Patch(snapshot_transfer, "_has_checksum", always(True)),),
    ),
    Mutant(
        "keeps the pieces of one snapshot for another",
        play_faults,
        23,
        (Patch(snapshot_transfer, "_transfer_of", _treats_all_snapshots_as_one_transfer),),
    ),
    Mutant(
        "leaves out what of a snapshot was lost",
        play_faults,
        0,
        (Patch(OutgoingSnapshot, "acknowledge", _ignores_acknowledged_offset),),
    ),
    Mutant(
        "counts one less than a majority as one",
        play_random_walk,
        0,
        (Patch(view, "majority_of", counts_one_vote_less_as_majority),),
    ),
    Mutant(
        "does not tell which acts were announced",
        play_faults,
        2,
        (OMITS_ANNOUNCED_TARGETS,),
    ),
    Mutant(
        "does not say that a restart forgot announcements",
        play_faults,
        23,
        (HIDES_A_RESTART,),
    ),
    Mutant(
        "says that it has waited out the acts of others before it has",
        play_faults,
        23,
        (REPORTS_ALL_TARGETS_FREE,),
    ),
    Mutant(
        "acts long after it announced to",
        play_faults,
        59,
        (PERMITS_WITHOUT_TIME_LIMIT,),
    ),
    Mutant(
        "acts before a quorum remembers that it will",
        play_faults,
        59,
        (PERMITS_BEFORE_QUORUM,),
    ),
    Mutant(
        "grants a lease that another holds",
        play_faults,
        0,
        (Patch(LeaseAcceptor, "_remaining", always(0.0)),),
    ),
    Mutant(
        "leads by a vote that came too late",
        play_random_walk,
        98,
        (Patch(ViewChanges, "_chosen", _leads_after_late_vote),),
    ),
    Mutant(
        "ends before the others have agreed",
        play_random_walk,
        0,
        (Patch(GracefulLeave, "is_complete", _ends_without_agreement),),
    ),
    Mutant(
        "agrees to the end of a member in sync",
        play_random_walk,
        3,
        (Patch(Leadership, "can_release", always(True)),),
    ),
)
