"""The identity of a member, which is durable before the member sends any message."""

from __future__ import annotations

import json
from dataclasses import dataclass

from ..identifiers import MemberId
from .lease_acceptor import LeaseAcceptor
from .ports import Cell
from .settings import MemberSettings
from .view import first_view
from .witness import Witness


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of a member. `is_new`: whether there was none on the disk."""

    id: MemberId
    is_new: bool


def load_or_create_identity(
    cell: Cell, settings: MemberSettings, witness: Witness, leases: LeaseAcceptor
) -> Identity:
    """Loads the identity from the disk, or creates one.

    A seed at the first boot takes its address as its identity and assumes the initial view. Any other member
    with an empty disk gets a fresh identity, without a vote and without data. The identity is stored last:
    while it is missing, no other member has relied on the state that was stored before it.
    """
    stored = cell.load()
    if stored is not None:
        return Identity(MemberId(str(json.loads(stored)["id"])), False)
    is_founder = settings.first_boot and settings.address in settings.seeds
    witness.reset(first_view(settings.seeds) if is_founder else None)
    leases.reset(from_first_boot=is_founder)
    identity = settings.address if is_founder else settings.fresh_identity
    store_identity(cell, identity)
    return Identity(MemberId(identity), True)


def store_identity(cell: Cell, identity: str) -> None:
    """Stores the identity on the disk."""
    cell.store(json.dumps({"id": identity}).encode())
