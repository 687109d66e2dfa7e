"""Proof of contact with a majority of the witnesses, which a control process needs before it serves.

The proof is an answered pull. A pull that began at T and whose reply left nothing more to send shows two
things: the other process ran after T, and everything it knew at T is known here. So a process that is not
isolated at a time U knows every entry that a majority of the witnesses held MAX_CONTACT_AGE_S before U,
because two majorities have a member in common. What counts is the begin of the pull, not the arrival of its
answer: an answer may have been held up by a cut, or lain unread while this process was frozen.

While no majority can reach one another anywhere, every control process is isolated. Runners are then turned
away by all of them and go round; what they report is kept and reaches the edges near them, which go on with
the configuration that they have. Nothing is acknowledged until a majority is back.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from typing import Protocol

from ..replication.view import View

MAX_CONTACT_AGE_S = 1.3  # two pulls between control processes wait 0.25 s each; the rest is for lost segments


class MajorityContact(Protocol):
    """What a control process knows of its own contact with the others."""

    def is_isolated(self) -> bool:
        """Whether no majority of the witnesses, this process included, has lately answered a pull.

        True also while nothing has been proven since the start of this process.
        """

    def is_majority(self, addresses: Collection[str]) -> bool:
        """Whether the processes at these rpc addresses, with this one, are a majority of the witnesses.

        While the set of witnesses is being changed, a majority of the former set is asked for too.
        """


class PullContact:
    """MajorityContact by the pulls from the other witnesses.

    Source: quorum intersection, as in Viewstamped Replication and Paxos; the begin of a call as the time that
    counts, as for leases (Gray and Cheriton, 1989).
    """

    def __init__(
        self,
        member_id: str,
        view: Callable[[], View | None],
        proven_at: Callable[[str], float | None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Judges anew at each call.

        Args:
            member_id: Durable identity of this member.
            view: Gives the latest view that is known here.
            proven_at: When the last pull from an rpc address began that was answered in full; None if none
                was. A time of `clock`.
            clock: Seconds, monotonic.
        """
        self._member_id, self._view = member_id, view
        self._proven_at, self._clock = proven_at, clock

    def is_isolated(self) -> bool:
        """Whether no majority is proven to be in reach; see MajorityContact.

        A process that knows no view does not know who decides, and is isolated.
        """
        view = self._view()
        return view is None or not self._has_quorum(view, self._is_proven)

    def is_majority(self, addresses: Collection[str]) -> bool:
        """Whether these addresses, with this process, make a majority; see MajorityContact."""
        view = self._view()
        return view is not None and self._has_quorum(view, lambda address: address in addresses)

    def _has_quorum(self, view: View, counts: Callable[[str], bool]) -> bool:
        """Whether the witnesses for whose address `counts` is true, with this process, are a quorum.

        `counts` is never true of the own address: this process counts by its identity, since one whose disk
        was lost is no witness any more, though its address is that of one.
        """
        return view.has_quorum(
            [name for name in view.all_witnesses if name == self._member_id or counts(view.addresses[name])]
        )

    def _is_proven(self, address: str) -> bool:
        began_at = self._proven_at(address)
        return began_at is not None and self._clock() - began_at <= MAX_CONTACT_AGE_S
