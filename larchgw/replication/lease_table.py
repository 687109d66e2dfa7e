"""All leases of one member: those it stands for, and its part as a witness of everyone's."""

from __future__ import annotations

from random import Random

from .lease import Lease, LeaseHolder
from .lease_acceptor import LeaseWitness
from .messages import LeaseAnswer, LeaseAsk, LeaseRelease
from .outbound_messages import Outbox
from .settings import MemberSettings
from .view import View


class Leases:
    """Hands messages about leases to the witness or to the holder that they concern.

    Times are seconds of the member's clock. `rank` staggers candidates: 0 for a view's primary."""

    def __init__(
        self, me: str, witness: LeaseWitness, settings: MemberSettings, outbox: Outbox, random: Random
    ) -> None:
        self._me = me
        self._witness = witness
        self._settings = settings
        self._outbox = outbox
        self._random = random
        self._holders: dict[str, LeaseHolder] = {}

    def lease(self, now: float, name: str) -> Lease | None:
        """The lease, if it is held and may be acted on now; otherwise it is asked for from now on."""
        holder = self._holders.get(name)
        if holder is None:
            holder = LeaseHolder(name, self._me, self._settings, self._outbox, self._random)
            self._holders[name] = holder
        return holder.lease(now)

    def ask(self, now: float, sender: str, message: LeaseAsk, view: View | None) -> None:
        """A holder or candidate asks this witness. OSError if the answer cannot be made durable."""
        self._outbox.send(sender, self._witness.ask(now, sender, message, view))

    def answer(self, now: float, sender: str, answer: LeaseAnswer, rank: int) -> None:
        """A witness has answered."""
        holder = self._holders.get(answer.name)
        if holder is not None:
            holder.answer(now, sender, answer, rank)

    def release(self, now: float, sender: str, message: LeaseRelease, rank: int) -> None:
        """A holder, or a candidate without success, gives a lease up."""
        self._witness.release(sender, message)
        holder = self._holders.get(message.name)
        if holder is not None and sender != self._me:
            holder.vacated(now, rank)

    def tick(self, now: float, view: View | None, rank: int) -> None:
        """Renewals and elections that are due."""
        for holder in self._holders.values():
            holder.tick(now, view, rank)

    def rest(self, now: float, view: View | None, seconds: float) -> None:
        """Gives all leases up, and stands for none for a while."""
        for holder in self._holders.values():
            holder.release(now, view, seconds)
