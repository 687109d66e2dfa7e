"""Computes the next view from what a primary or a candidate knows of the others. Pure functions."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from .view import View


@dataclass(frozen=True, slots=True)
class ObservedMembers:
    """The state of the other members as the primary observes it.

    Attributes:
        healthy: Members that answer and keep up.
        ready: Members outside the in-sync set that hold every acknowledged record and may join it.
        lost: Members that were silent for too long, or whose address belongs to a new identity.
        leaving: Members that are about to shut down and asked that nothing depend on them.
        addresses: RPC address of each member.
    """

    healthy: frozenset[str]
    ready: tuple[str, ...]
    lost: frozenset[str]
    leaving: frozenset[str]
    addresses: Mapping[str, str]


def failover_view(
    epoch: int,
    candidate: str,
    base: View,
    answered: Collection[str],
    leaving: Collection[str],
    min_copies: int,
) -> View:
    """The view of a new primary.

    The candidate is in sync in `base`, so it has every acknowledged record. The backups are the in-sync
    members that answered and are not leaving. If these are too few, leaving members and then members that
    did not answer fill the view up to `min_copies`. No record is acknowledged until those are back or
    replaced, but every in-sync member still has every acknowledged record.

    Args:
        epoch: The epoch of the new view.
        candidate: The new primary.
        base: The last accepted view.
        answered: Members that promised the epoch.
        leaving: Members that are about to shut down.
        min_copies: The least number of in-sync members.
    """
    others = [member for member in base.in_sync if member != candidate]
    staying = [member for member in others if member in answered and member not in leaving]
    present_first = sorted(others, key=lambda member: member not in answered)
    backups = _fill_up_to(min_copies - 1, staying, present_first)
    return View(epoch, candidate, backups, base.witnesses, base.former_witnesses, base.addresses)


def next_view(
    epoch: int, view: View, observed: ObservedMembers, min_copies: int, max_witnesses: int
) -> View | None:
    """The view to which the primary of `view` should change now; None if no change is needed.

    Each view makes only one step, so that each step is safe on its own: first a change of the in-sync set,
    then the end of a joint view, then a change of the witnesses. Witnesses change through a joint view, whose
    `former_witnesses` are the current ones; the view after it ends the change.

    Args:
        epoch: The epoch of the new view.
        view: The current view.
        observed: What the primary knows of the other members.
        min_copies: The number of copies that a record must have.
        max_witnesses: The size up to which the witness set grows.
    """
    backups = _next_backups(view, observed, min_copies)
    if set(backups) != set(view.backups):
        return _changed(epoch, view, observed, backups, view.witnesses, view.former_witnesses)
    if view.is_joint:
        return _changed(epoch, view, observed, view.backups, view.witnesses, view.witnesses)
    witnesses = _next_witnesses(view, observed, max_witnesses)
    if set(witnesses) != set(view.witnesses):
        return _changed(epoch, view, observed, view.backups, witnesses, view.witnesses)
    return None


def same_view(epoch: int, view: View) -> View:
    """The same view under a new epoch."""
    return View(epoch, view.primary, view.backups, view.witnesses, view.former_witnesses, view.addresses)


def _next_backups(view: View, observed: ObservedMembers, min_copies: int) -> tuple[str, ...]:
    staying = observed.healthy - observed.leaving
    kept = [member for member in view.backups if member in staying]
    spare = [member for member in view.backups if member not in staying]
    likely_back_first = sorted(
        spare, key=lambda member: (member not in observed.healthy, member in observed.lost)
    )
    return _fill_up_to(min_copies - 1, [*kept, *observed.ready], likely_back_first)


def _fill_up_to(count: int, members: Collection[str], spare: Collection[str]) -> tuple[str, ...]:
    """The members, filled up to `count` from `spare`."""
    chosen = list(members)
    for member in spare:
        if len(chosen) >= count:
            break
        if member not in chosen:
            chosen.append(member)
    return tuple(chosen)


def _next_witnesses(view: View, observed: ObservedMembers, max_witnesses: int) -> tuple[str, ...]:
    """The witnesses that the view should have.

    One witness that is lost or leaving is replaced by an in-sync member that is not a witness yet. Otherwise
    witnesses are added, up to an odd number of at most `max_witnesses`. The set never shrinks, because leases
    rely on it. It has a maximum because a replacement machine often joins before the old one leaves: if the
    set grew each time, machines that are gone would soon be half of it.
    """
    staying = (observed.healthy | {view.primary}) - observed.leaving
    spare = [member for member in view.in_sync if member not in view.witnesses and member in staying]
    lost = [member for member in view.witnesses if member in observed.lost | observed.leaving]
    if lost and spare:
        return tuple(spare[0] if member == lost[0] else member for member in view.witnesses)
    size = min(len(view.witnesses) + len(spare), max_witnesses)
    size -= 1 - size % 2
    added = max(0, size - len(view.witnesses))
    return (*view.witnesses, *spare[:added])


def _changed(
    epoch: int,
    view: View,
    observed: ObservedMembers,
    backups: tuple[str, ...],
    witnesses: tuple[str, ...],
    former: tuple[str, ...],
) -> View:
    members = {view.primary, *backups, *witnesses, *former}
    known = {**view.addresses, **observed.addresses}
    addresses = {member: known[member] for member in sorted(members) if member in known}
    return View(epoch, view.primary, backups, witnesses, former, addresses)
