"""Tells whether the runners of a control process are still monitored, by it or by its next incarnation."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..membership.member import Member as Process
from .majority_contact import MajorityContact


def owner_name(address: str, incarnation: int) -> str:
    """Returns the name that identifies one incarnation of a control process in runner records."""
    return f"{address}/{incarnation}"


def is_owner_present(owner: str, own_address: str, present: Iterable[Process]) -> bool:
    """Whether a process other than this one is responsible for the runners that `owner` acknowledged.

    `owner` is never the current incarnation of this process. A restarted process is itself responsible for
    the runners of its earlier incarnations, because it alone knows for certain that they have ended. Other
    processes compare only the address. The incarnation number in membership is no evidence, because a process
    picks a different number if the clock of its earlier incarnation was ahead.

    Args:
        owner: A name returned by `owner_name`.
        own_address: RPC address of this process.
        present: The control processes that are currently members.
    """
    address = _address(owner)
    if address == own_address:
        return False
    return any(process.address_rpc == address for process in present)


def _address(owner: str) -> str:
    return owner.rpartition("/")[0]


class RunnerOwnership:
    """Tells the runner directory which owners of runners are still alive."""

    def __init__(
        self, own_address: str, contact: MajorityContact, present: Callable[[], Iterable[Process]]
    ) -> None:
        """Evaluates `present`, which returns the current control processes, at each call."""
        self._own_address, self._contact, self._present = own_address, contact, present

    def is_owner_alive(self, owner: str) -> bool:
        """Whether the owner is alive. Also true while this process is isolated and cannot know."""
        if self._contact.is_isolated():
            return True
        return is_owner_present(owner, self._own_address, self._present())

    def is_earlier_incarnation(self, owner: str) -> bool:
        """Whether the owner, which is not the current incarnation of this process, is an earlier one."""
        return _address(owner) == self._own_address
