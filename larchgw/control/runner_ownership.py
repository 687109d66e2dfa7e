"""Whether the runners of a control process are still watched, by it or by its next incarnation."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..membership.member import Member as Process
from .majority_contact import MajorityContact


def owner_name(address: str, incarnation: int) -> str:
    """How records of runners name one incarnation of the control process at an rpc address."""
    return f"{address}/{incarnation}"


def is_owner_present(owner: str, own_address: str, present: Iterable[Process]) -> bool:
    """Whether a process answers for the runners that `owner`, which is not this incarnation, acknowledged.

    A process that has started again answers for its own earlier incarnations: it alone knows for certain that
    they have ended. The others go by its address. The number that membership gives an incarnation tells them
    nothing: a process takes another one if its earlier incarnation had a clock that ran ahead.

    Args:
        owner: A name that `owner_name` made.
        own_address: Rpc address of this process.
        present: The control processes that are members now.
    """
    address = owner.rpartition("/")[0]
    if address == own_address:
        return False
    return any(process.address_rpc == address for process in present)


class RunnerOwnership:
    """Tells the runner directory whose runners are left without a control process."""

    def __init__(
        self, own_address: str, contact: MajorityContact, present: Callable[[], Iterable[Process]]
    ) -> None:
        """Judges by `present`, the control processes that are members now, at each call."""
        self._own_address, self._contact, self._present = own_address, contact, present

    def is_owner_alive(self, owner: str) -> bool:
        """True also while this process is isolated: it cannot know then."""
        if self._contact.is_isolated():
            return True
        return is_owner_present(owner, self._own_address, self._present())
