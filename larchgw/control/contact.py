"""Proof of contact with a majority of the witnesses, which a control process needs before it serves."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol


class MajorityContact(Protocol):
    """What a control process knows of its own contact with the others."""

    def isolated(self) -> bool:
        """True unless a majority of the witnesses, this process included, has lately answered a call; also
        while nothing has been proven since the start of this process."""

    def is_majority(self, addresses: Collection[str]) -> bool:
        """Whether the processes at these rpc addresses, with this one, are a majority of the witnesses; of
        the former set too while the set is being changed."""
