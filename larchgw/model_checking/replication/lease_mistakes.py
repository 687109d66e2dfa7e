"""Patches of the code for announced actions, for the mutants of all explorations with leases."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from math import inf

from ...replication import view
from ...replication.effects import PendingCall
from ...replication.lease import LeaseHolder
from ...replication.lease_acceptor import LeaseAcceptor
from ...replication.lease_actions import ACTION_START_WINDOW_S, ActionMemory, KnownActions, PredecessorActions
from ..mutants import Patch, always

KnownTo = Callable[[ActionMemory, float, str, float, float], KnownActions]
Announce = Callable[[LeaseHolder, float, Sequence[str], view.View | None], PendingCall]


def _omits_announced_targets(original: KnownTo) -> KnownTo:
    def known_to(
        self: ActionMemory, now: float, sender: str, complete_since: float, remembered_since: float
    ) -> KnownActions:
        return replace(original(self, now, sender, complete_since, remembered_since), ages_s={})

    return known_to


def _reports_all_targets_free(original: property) -> property:
    return property(lambda self: -inf)


def _permits_without_time_limit(
    original: Callable[[LeaseHolder, float, str], float],
) -> Callable[[LeaseHolder, float, str], float]:
    def action_permitted_until(self: LeaseHolder, now: float, target: str) -> float:
        return inf if target in self._permitted_until else -inf

    return action_permitted_until


def _permits_before_quorum(original: Announce) -> Announce:
    def announce(
        self: LeaseHolder, now: float, targets: Sequence[str], accepted_view: view.View | None
    ) -> PendingCall:
        call = original(self, now, targets, accepted_view)
        self._permitted_until.update(dict.fromkeys(targets, now + ACTION_START_WINDOW_S))
        return call

    return announce


OMITS_ANNOUNCED_TARGETS = Patch(ActionMemory, "known_to", _omits_announced_targets)
HIDES_A_RESTART = Patch(LeaseAcceptor, "_complete_since", always(-inf))
REPORTS_ALL_TARGETS_FREE = Patch(PredecessorActions, "all_targets_free_at", _reports_all_targets_free)
PERMITS_WITHOUT_TIME_LIMIT = Patch(LeaseHolder, "action_permitted_until", _permits_without_time_limit)
PERMITS_BEFORE_QUORUM = Patch(LeaseHolder, "announce", _permits_before_quorum)
