"""Whether the runners of a control process are still watched, by it or by its next life."""

from __future__ import annotations

from collections.abc import Iterable

from ..membership.member import Member


def owner_name(address: str, life: int) -> str:
    """What records of runners name one life of the control process at an rpc address."""
    return f"{address}/{life}"


def is_owner_present(owner: str, own_address: str, present: Iterable[Member]) -> bool:
    """True if a process answers for the runners that `owner`, which is not this life, has acknowledged.

    A process that has started again answers for its own earlier lives: it alone knows for certain that they
    have ended. The others go by its address. Membership's incarnation tells them nothing about the life: a
    process takes another one if its earlier life had a clock that ran ahead.
    """
    address = owner.rpartition("/")[0]
    if address == own_address:
        return False
    return any(process.address_rpc == address for process in present)
