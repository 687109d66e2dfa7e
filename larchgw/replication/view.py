"""A view: which member is primary, which are in sync, and which are witnesses and form its quorums."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Any


def majority_of(voters: Collection[str], members: Collection[str]) -> bool:
    """Whether `voters` include a majority of `members`."""
    return 2 * sum(member in voters for member in members) > len(members)


@dataclass(frozen=True, slots=True)
class View:
    """One view of the replicated control state.

    Attributes:
        epoch: Its number; no two views have the same.
        primary: The member that proposes records.
        backups: The members that must have a record before it is acknowledged.
        witnesses: The members that vote; a majority of them is a quorum.
        former_witnesses: The witnesses of the previous view while the witness set is being changed; otherwise
            the same as `witnesses`. Until the next view every decision needs majorities of both sets: a
            majority of the former set and one of the new set need not share a witness, but each shares one
            with every joint quorum.
        addresses: RPC address of each member.

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
        """Whether the witness set is being changed."""
        return set(self.witnesses) != set(self.former_witnesses)

    @property
    def all_witnesses(self) -> tuple[str, ...]:
        """The witnesses and the former witnesses: all whose votes may count for this view."""
        return tuple(dict.fromkeys((*self.witnesses, *self.former_witnesses)))

    @property
    def members(self) -> tuple[str, ...]:
        """The in-sync members and all witnesses."""
        return tuple(dict.fromkeys((*self.in_sync, *self.all_witnesses)))

    def has_quorum(self, voters: Collection[str]) -> bool:
        """Whether `voters` include majorities of the witnesses and of the former witnesses."""
        return majority_of(voters, self.witnesses) and majority_of(voters, self.former_witnesses)

    def to_json(self) -> dict[str, Any]:
        """Converts the view to the JSON that is stored and sent."""
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
        """Reads the output of `to_json`; raises KeyError, TypeError or ValueError for anything else."""
        return cls(
            epoch=int(value["epoch"]),
            primary=str(value["primary"]),
            backups=tuple(map(str, value["backups"])),
            witnesses=tuple(map(str, value["witnesses"])),
            former_witnesses=tuple(map(str, value["former_witnesses"])),
            addresses={str(key): str(address) for key, address in value["addresses"].items()},
        )


def first_view(seeds: Collection[str]) -> View:
    """The initial view, which all seeds assume at the first start of the system without a vote.

    The identity of each seed is its address.
    """
    ids = tuple(dict.fromkeys(seeds))
    return View(1, ids[0], ids[1:], ids, ids, {seed: seed for seed in ids})
