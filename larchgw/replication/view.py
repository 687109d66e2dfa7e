"""A view: who is primary, who is in sync and who decides, and the quorums that follow from it."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Any


def majority_of(voters: Collection[str], members: Collection[str]) -> bool:
    """Whether `voters` hold a majority of `members`."""
    return 2 * sum(member in voters for member in members) > len(members)


@dataclass(frozen=True, slots=True)
class View:
    """One view of the replicated control state.

    Attributes: epoch: Its number; no two views share one. primary: Who proposes records. backups: Who must
    have a record before it is acknowledged. witnesses: Whose majority is a quorum. former_witnesses: The
    witnesses of the view before, while the witness set is being changed; else the same as `witnesses`. Until
    the next view majorities of both sets must agree to everything: a majority of the former and one of the
    new need not share a witness, but each shares one with a joint quorum. addresses: Rpc address of each
    member.

    Source: Raft, section 6 (joint consensus).
    """

    epoch: int
    primary: str
    backups: tuple[str, ...]
    witnesses: tuple[str, ...]
    former_witnesses: tuple[str, ...]
    addresses: Mapping[str, str]

    @property
    def in_sync(self) -> tuple[str, ...]:
        """The primary and its backups: each holds every acknowledged record."""
        return (self.primary, *self.backups)

    @property
    def is_joint(self) -> bool:
        """Whether a change of the witness set is under way."""
        return set(self.witnesses) != set(self.former_witnesses)

    @property
    def all_witnesses(self) -> tuple[str, ...]:
        """All whose agreement may count for this view."""
        return tuple(dict.fromkeys((*self.witnesses, *self.former_witnesses)))

    @property
    def members(self) -> tuple[str, ...]:
        """All that take part in this view."""
        return tuple(dict.fromkeys((*self.in_sync, *self.all_witnesses)))

    def has_quorum(self, voters: Collection[str]) -> bool:
        """Whether `voters` are a majority of the witnesses, and of the former ones while they change."""
        return majority_of(voters, self.witnesses) and majority_of(voters, self.former_witnesses)

    def to_json(self) -> dict[str, Any]:
        """As it is stored and sent."""
        return {
            "epoch": self.epoch,
            "primary": self.primary,
            "backups": list(self.backups),
            "witnesses": list(self.witnesses),
            "former_witnesses": list(self.former_witnesses),
            "addresses": dict(self.addresses),
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> View:
        """Reads what `to_json` gave; raises KeyError, TypeError or ValueError for anything else."""
        return cls(
            epoch=int(value["epoch"]),
            primary=str(value["primary"]),
            backups=tuple(map(str, value["backups"])),
            witnesses=tuple(map(str, value["witnesses"])),
            former_witnesses=tuple(map(str, value["former_witnesses"])),
            addresses={str(key): str(address) for key, address in value["addresses"].items()},
        )


def first_view(seeds: Collection[str]) -> View:
    """The view that all seeds take for granted at the first start of the system.

    The ids of the seeds are their addresses.
    """
    ids = tuple(dict.fromkeys(seeds))
    return View(1, ids[0], ids[1:], ids, ids, {seed: seed for seed in ids})
