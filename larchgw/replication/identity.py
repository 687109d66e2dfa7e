"""Who a member is: durable before it says anything."""

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
    """`is_new`: the disk held none."""

    id: MemberId
    is_new: bool


def load_or_create_identity(
    cell: Cell, settings: MemberSettings, witness: Witness, leases: LeaseAcceptor
) -> Identity:
    """The identity on the disk, or a new one.

    A seed at the first boot is named by its address and takes the first view for granted; any other empty
    disk has a fresh identity without vote or data. The identity is stored last: while it is missing, nothing
    that was stored before it has been relied on.
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
    """Makes this the identity on the disk."""
    cell.store(json.dumps({"id": identity}).encode())
