"""Proof of contact with a majority of the witnesses, which a control process needs before it serves.

The proof is an answered pull. A pull that started at T and whose reply was complete shows two things: the
other process was running after T, and this process now has every entry that the other one had at T. Because
any two majorities have a member in common, a process that is not isolated at a time U knows every entry that
a majority of the witnesses held MAX_CONTACT_AGE_S before U. The start of the pull counts, not the arrival of
the reply: a reply may have been delayed by a network partition, or left unread while this process was paused.

While no majority is connected anywhere, every control process is isolated. All of them then reject the calls
of runners, which try one process after the other. What runners report is still recorded and reaches the edges
that can connect, which continue with the configuration that they have. Nothing is acknowledged until a
majority is connected again.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from typing import Protocol

from ..replication.view import View

MAX_CONTACT_AGE_S = 1.3  # two pulls between control processes wait 0.25 s each; the rest is for lost packets


class MajorityContact(Protocol):
    """What a control process knows about its contact with the other control processes."""

    def is_isolated(self) -> bool:
        """Whether no majority of the witnesses, counting this process, has recently answered a pull.

        Also true after the start of this process until contact has been proven.
        """

    def is_majority(self, addresses: Collection[str], *, with_this_process: bool = True) -> bool:
        """Whether the processes at these RPC addresses and this one are a majority of the witnesses.

        While the set of witnesses is being changed, a majority of the previous set is required as well.

        Args:
            addresses: RPC addresses of other processes.
            with_this_process: Whether this process counts, if it is a witness.
        """


class PullContact:
    """Proves MajorityContact by pulls from the other witnesses.

    Source: quorum intersection, as in Viewstamped Replication and Paxos; validity counted from the start of a
    call, as for leases (Gray and Cheriton, 1989).
    """

    def __init__(
        self,
        member_id: str,
        view: Callable[[], View | None],
        proven_at: Callable[[str], float | None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keeps the sources; every call evaluates them again.

        Args:
            member_id: Durable identity of this member.
            view: Returns the latest view known to this process.
            proven_at: Returns the start, by `clock`, of the last pull from an RPC address that was answered
                completely; None if there was none.
            clock: Monotonic clock in seconds.
        """
        self._member_id, self._view = member_id, view
        self._proven_at, self._clock = proven_at, clock

    def is_isolated(self) -> bool:
        """Whether no majority is proven to be reachable; see MajorityContact.

        A process that knows no view does not know the witnesses, and is isolated.
        """
        view = self._view()
        return view is None or not self._has_quorum(view, self._is_proven, with_this_process=True)

    def is_majority(self, addresses: Collection[str], *, with_this_process: bool = True) -> bool:
        """Whether these addresses and this process form a majority; see MajorityContact."""
        view = self._view()
        return view is not None and self._has_quorum(
            view, lambda address: address in addresses, with_this_process=with_this_process
        )

    def _has_quorum(self, view: View, counts: Callable[[str], bool], *, with_this_process: bool) -> bool:
        """Whether the witnesses whose address satisfies `counts` form a quorum, if wanted with this process.

        `counts` is never true for this process's own address. This process is matched by its identity: after
        the loss of its disk it is no longer a witness, although its address is still that of one.
        """
        return view.has_quorum(
            [
                name
                for name in view.all_witnesses
                if (with_this_process and name == self._member_id) or counts(view.addresses[name])
            ]
        )

    def _is_proven(self, address: str) -> bool:
        began_at = self._proven_at(address)
        return began_at is not None and self._clock() - began_at <= MAX_CONTACT_AGE_S
