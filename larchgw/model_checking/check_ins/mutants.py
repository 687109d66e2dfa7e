"""Deliberate mistakes about contact. The exploration must catch each of them, or it proves nothing."""

from __future__ import annotations

from typing import Any

from ...control.checkins import RunnerCheckins
from ...control.majority_contact import PullContact
from ...distribution.puller import Puller
from ...replication import view
from ...rpc.generated.ttypes import PullReply
from ...runner_directory.directory import CheckInOutcome
from ..replication.mutants import Mutant


def _acknowledges_while_isolated(original: Any) -> Any:
    async def acknowledge(self: RunnerCheckins, runner: str, outcome: CheckInOutcome) -> bool:
        return not outcome.needs_replication or bool(await original(self, runner, outcome))

    return acknowledge


def _drops_the_result(original: Any) -> Any:
    async def replicate(self: RunnerCheckins, runner: str) -> bool:
        await original(self, runner)
        return True

    return replicate


def _takes_a_start_for_contact(original: Any) -> Any:
    def is_proven(self: PullContact, address: str) -> bool:
        return self._proven_at(address) is None or bool(original(self, address))

    return is_proven


def _counts_by_arrival(original: Any) -> Any:
    def take(self: Puller, session: Any, reply: PullReply, began: float) -> None:
        original(self, session, reply, self._clock())

    return take


def _takes_a_part_for_the_whole(original: Any) -> Any:
    def take(self: Puller, session: Any, reply: PullReply, began: float) -> None:
        original(self, session, reply, began)
        self.contact_proven_at = began

    return take


def _believes_the_isolated(original: Any) -> Any:
    def is_current(self: Puller, reply: PullReply, began: float) -> bool:
        return True

    return is_current


def _claims_what_it_left_out(original: Any) -> Any:
    def take(self: Puller, session: Any, reply: PullReply) -> None:
        original(self, session, reply)
        self.registry.advance(reply.upto or {})

    return take


def _one_less_is_enough(original: Any) -> Any:
    def majority_of(voters: Any, members: Any) -> bool:
        return 2 * sum(member in voters for member in members) >= len(members) - 1

    return majority_of


MUTANTS = (
    Mutant(
        "acknowledges check-ins while it is cut off",
        "course",
        0,
        RunnerCheckins,
        "_acknowledge",
        _acknowledges_while_isolated,
    ),
    Mutant(
        "acknowledges a drain whatever the handoff came to",
        "course",
        0,
        RunnerCheckins,
        "_replicate",
        _drops_the_result,
    ),
    Mutant("takes a start for contact", "course", 0, PullContact, "_is_proven", _takes_a_start_for_contact),
    Mutant("counts contact from the arrival of answers", "course", 6, Puller, "_accept", _counts_by_arrival),
    Mutant(
        "takes a part of an answer for the whole", "course", 0, Puller, "_accept", _takes_a_part_for_the_whole
    ),
    Mutant(
        "takes a configuration from a process that is cut off",
        "course",
        20,
        Puller,
        "_is_current",
        _believes_the_isolated,
    ),
    Mutant(
        "claims what it left out of a cut-off process's answer",
        "course",
        4,
        Puller,
        "_merge_from_isolated",
        _claims_what_it_left_out,
    ),
    Mutant("counts one less than a majority as one", "course", 0, view, "majority_of", _one_less_is_enough),
)
