"""Deliberate mistakes in the protocol. The exploration must catch each of them, or it proves nothing.

A mutant replaces one method of one class while it is active. `by` and `seed` name a run that catches it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from ...replication import identity, member, snapshot_transfer, view
from ...replication.graceful_leave import Departure
from ...replication.leadership import Leadership
from ...replication.lease import LeaseHolder
from ...replication.lease_acceptor import LeaseWitness
from ...replication.replica import Replica
from ...replication.snapshot_transfer import IncomingSnapshot, OutgoingSnapshot
from ...replication.view_change_round import Ballot
from ...replication.view_changes import ViewChanges
from ...replication.witness import Witness


@dataclass(frozen=True, slots=True)
class Mutant:
    """One mistake: `owner.attribute` is replaced by what `make` builds from the original."""

    name: str
    by: str  # "walk" or "course"
    seed: int
    owner: Any
    attribute: str
    make: Callable[[Any], Any]

    @contextmanager
    def active(self) -> Iterator[None]:
        """The mistake is in the code while this context lasts."""
        original = self.owner.__dict__[self.attribute]
        setattr(self.owner, self.attribute, self.make(original))
        try:
            yield
        finally:
            setattr(self.owner, self.attribute, original)


def _always(value: Any) -> Callable[[Any], Any]:
    return lambda original: lambda *arguments, **options: value


def _commits_on_one_backup(original: Any) -> Any:
    def commit_index(self: Leadership) -> int:
        return max([self._replica.committed, *(peer.match for peer in self._peers.values())])

    return commit_index


def _ignores_reported_views(original: Any) -> Any:
    def promise(self: Ballot, now: float, sender: str, message: Any) -> None:
        original(self, now, sender, replace(message, view=None))

    return promise


def _promises_anything(original: Any) -> Any:
    def promise(self: Witness, epoch: int, candidate: str) -> bool:
        original(self, epoch, candidate)
        return True

    return promise


def _accepts_anything(original: Any) -> Any:
    def accept(self: Witness, proposed: view.View) -> bool:
        original(self, proposed)
        return True

    return accept


def _keeps_in_memory(attribute: str) -> Callable[[Any], Any]:
    def make(original: Any) -> Any:
        def store(self: Any, state: Any) -> None:
            setattr(self, attribute, state)

        return store

    return make


def _leads_after_a_restart(original: Any) -> Any:
    def establish(*arguments: Any) -> identity.Identity:
        made: identity.Identity = original(*arguments)
        return replace(made, is_new=True)

    return establish


def _names_a_wiped_disk_as_before(original: Any) -> Any:
    def establish(cell: Any, settings: Any, witness: Any, leases: Any) -> identity.Identity:
        made: identity.Identity = original(cell, replace(settings, first_boot=True), witness, leases)
        return made

    return establish


def _ignores_divergence(original: Any) -> Any:
    def follow(self: Replica, previous_index: int, previous_epoch: int, epochs: Any, records: Any) -> Any:
        known = min(previous_index, self.last_index)
        if previous_index <= self.last_index and known >= self._base_index:
            previous_epoch = self.epoch_at(known)
        return original(self, previous_index, previous_epoch, epochs, records)

    return follow


def _proves_by_its_own_word(original: Any) -> Any:
    def proven_round(self: Leadership, self_granted: bool) -> int:
        return self.round

    return proven_round


def _lets_anyone_in(original: Any) -> Any:
    def may_enter(self: Leadership, now: float, candidate: str, leaving: Any) -> bool:
        return candidate not in self.view.in_sync and self._peers[candidate].replicating

    return may_enter


def _one_less_is_enough(original: Any) -> Any:
    def majority_of(voters: Any, members: Any) -> bool:
        return 2 * sum(one in voters for one in members) >= len(members) - 1

    return majority_of


def _grants_known_fences(original: Any) -> Any:
    def remaining(self: LeaseWitness, now: float, name: str, sender: str, stored: Any) -> float:
        return 0.0

    return remaining


def _leads_by_a_late_vote(original: Any) -> Any:
    def chosen(self: ViewChanges, now: float, epoch: int, chosen_view: view.View) -> None:
        self.lead(now, chosen_view)

    return chosen


def _ends_without_agreement(original: Any) -> Any:
    def is_over(self: Departure, accepted: view.View | None) -> bool:
        return self.has_begun

    return is_over


def _agrees_to_every_end(original: Any) -> Any:
    def can_spare(self: Leadership, now: float, leaver: str, spared: Any) -> bool:
        return True

    return can_spare


def _takes_pieces_as_they_come(original: Any) -> Any:
    def fits(self: IncomingSnapshot, install: Any) -> bool:
        return True

    return fits


def _sends_on_whatever_is_answered(original: Any) -> Any:
    def answered(self: OutgoingSnapshot, index: int, offset: int) -> bool:
        size = len(self.snapshot.content)
        self.offset = min(self.offset + self._piece_bytes, max(0, size - self._piece_bytes))
        return True

    return answered


def _all_one_transfer(original: Any) -> Any:
    def transfer_of(install: Any) -> tuple[object, ...]:
        return ("any",)

    return transfer_of


MUTANTS = (
    Mutant(
        "acknowledges a record that one backup has",
        "walk",
        1,
        Leadership,
        "commit_index",
        _commits_on_one_backup,
    ),
    Mutant("takes a replica in that lacks records", "walk", 24, Leadership, "_may_enter", _lets_anyone_in),
    Mutant(
        "is ready before what it took over is acknowledged",
        "walk",
        2,
        Leadership,
        "is_ready",
        lambda original: property(lambda self: True),
    ),
    Mutant(
        "confirms reads without a quorum", "walk", 31, Leadership, "proven_round", _proves_by_its_own_word
    ),
    Mutant("ignores the views that promises report", "walk", 55, Ballot, "promise", _ignores_reported_views),
    Mutant("promises an epoch again", "course", 21, Witness, "promise", _promises_anything),
    Mutant("accepts a view below its promise", "walk", 4, Witness, "accept", _accepts_anything),
    Mutant("keeps promises in memory only", "course", 0, Witness, "_store", _keeps_in_memory("_state")),
    Mutant("goes on as primary after a restart", "walk", 0, member, "establish", _leads_after_a_restart),
    Mutant(
        "keeps its vote after the loss of its disk",
        "walk",
        15,
        member,
        "establish",
        _names_a_wiped_disk_as_before,
    ),
    Mutant("answers before its records are synced", "walk", 0, Replica, "sync", _always(None)),
    Mutant("does not compare the epochs of records", "course", 0, Replica, "follow", _ignores_divergence),
    Mutant(
        "takes a piece of a snapshot at a wrong offset",
        "course",
        29,
        IncomingSnapshot,
        "_fits",
        _takes_pieces_as_they_come,
    ),
    Mutant("does not verify a snapshot", "walk", 29, snapshot_transfer, "_is_genuine", _always(True)),
    Mutant(
        "keeps the pieces of one snapshot for another",
        "course",
        27,
        snapshot_transfer,
        "_transfer_of",
        _all_one_transfer,
    ),
    Mutant(
        "leaves out what of a snapshot was lost",
        "course",
        0,
        OutgoingSnapshot,
        "answered",
        _sends_on_whatever_is_answered,
    ),
    Mutant("counts one less than a majority as one", "walk", 0, view, "majority_of", _one_less_is_enough),
    Mutant(
        "does not wait a term after another holder",
        "course",
        10,
        LeaseHolder,
        "_another_acted",
        _always(False),
    ),
    Mutant(
        "grants a lease that another holds", "course", 0, LeaseWitness, "_remaining", _grants_known_fences
    ),
    Mutant("leads by a vote that came too late", "walk", 98, ViewChanges, "_chosen", _leads_by_a_late_vote),
    Mutant("ends before the others have agreed", "walk", 0, Departure, "is_over", _ends_without_agreement),
    Mutant("agrees to the end of a member in sync", "walk", 3, Leadership, "can_spare", _agrees_to_every_end),
)
