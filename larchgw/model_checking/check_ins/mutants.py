"""Mutants of the code that tracks contact with a majority, each with the seed of a run that catches it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

from ...control.departure_store import DepartureStore
from ...control.majority_contact import PullContact
from ...control.runner_check_ins import RunnerCheckIns
from ...distribution.puller import Puller, _Session
from ...replication import view
from ...rpc.generated.ttypes import Entry, PullReply
from ...runner_directory.directory import CheckInOutcome
from ..mutants import Mutant, Patch
from ..replication.mutants import counts_one_vote_less_as_majority
from .runs import play_faults

Accept = Callable[[Puller, _Session, PullReply, float], None]
MergeFromIsolated = Callable[[Puller, _Session, PullReply], None]
Replicate = Callable[[RunnerCheckIns, str], Awaitable[bool]]
MakeDurable = Callable[[DepartureStore, Sequence[Entry]], Awaitable[bool]]
Acknowledge = Callable[[RunnerCheckIns, str, CheckInOutcome], Awaitable[bool]]


def _acknowledges_while_isolated(original: Acknowledge) -> Acknowledge:
    async def acknowledge(self: RunnerCheckIns, runner: str, outcome: CheckInOutcome) -> bool:
        return not outcome.needs_replication or await original(self, runner, outcome)

    return acknowledge


def _ignores_replication_result(original: Replicate) -> Replicate:
    async def replicate(self: RunnerCheckIns, runner: str) -> bool:
        await original(self, runner)
        return True

    return replicate


def _acknowledges_from_memory(original: MakeDurable) -> MakeDurable:
    async def make_durable(self: DepartureStore, entries: Sequence[Entry]) -> bool:
        return True

    return make_durable


def _treats_start_as_contact(
    original: Callable[[PullContact, str], bool],
) -> Callable[[PullContact, str], bool]:
    def is_proven(self: PullContact, address: str) -> bool:
        return self._proven_at(address) is None or original(self, address)

    return is_proven


def _dates_contact_by_reply_arrival(original: Accept) -> Accept:
    def accept(self: Puller, session: _Session, reply: PullReply, began: float) -> None:
        original(self, session, reply, self._clock())

    return accept


def _treats_partial_reply_as_complete(original: Accept) -> Accept:
    def accept(self: Puller, session: _Session, reply: PullReply, began: float) -> None:
        original(self, session, reply, began)
        self.contact_proven_at = began

    return accept


def _trusts_isolated_processes(
    original: Callable[[Puller, PullReply, float], bool],
) -> Callable[[Puller, PullReply, float], bool]:
    def is_current(self: Puller, reply: PullReply, began: float) -> bool:
        return True

    return is_current


def _advances_past_omitted_entries(original: MergeFromIsolated) -> MergeFromIsolated:
    def merge_from_isolated(self: Puller, session: _Session, reply: PullReply) -> None:
        original(self, session, reply)
        self.registry.advance(reply.upto or {})

    return merge_from_isolated


MUTANTS = (
    Mutant(
        "acknowledges check-ins while it is cut off",
        play_faults,
        0,
        (Patch(RunnerCheckIns, "_acknowledge", _acknowledges_while_isolated),),
    ),
    Mutant(
        "acknowledges a drain whatever the handoff came to",
        play_faults,
        0,
        (Patch(RunnerCheckIns, "_replicate", _ignores_replication_result),),
    ),
    Mutant(
        "acknowledges a drain from memory",
        play_faults,
        23,
        (Patch(DepartureStore, "make_durable", _acknowledges_from_memory),),
    ),
    Mutant(
        "takes a start for contact",
        play_faults,
        0,
        (Patch(PullContact, "_is_proven", _treats_start_as_contact),),
    ),
    Mutant(
        "counts contact from the arrival of answers",
        play_faults,
        22,
        (Patch(Puller, "_accept", _dates_contact_by_reply_arrival),),
    ),
    Mutant(
        "takes a part of an answer for the whole",
        play_faults,
        0,
        (Patch(Puller, "_accept", _treats_partial_reply_as_complete),),
    ),
    Mutant(
        "takes a configuration from a process that is cut off",
        play_faults,
        15,
        (Patch(Puller, "_is_current", _trusts_isolated_processes),),
    ),
    Mutant(
        "claims what it left out of a cut-off process's answer",
        play_faults,
        22,
        (Patch(Puller, "_merge_from_isolated", _advances_past_omitted_entries),),
    ),
    Mutant(
        "counts one less than a majority as one",
        play_faults,
        0,
        (Patch(view, "majority_of", counts_one_vote_less_as_majority),),
    ),
)
