"""The local view of the states of all members, and the rules by which updates change it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from .death_verification import DeathVerification
from .dissemination import Dissemination
from .local_health import LocalHealth
from .member import Member, MemberState
from .member_table import MemberTable
from .messages import Update
from .probe_order import ProbeOrder
from .settings import SwimSettings
from .suspicion import SuspicionTimers


class MemberStates:
    """The states of all members: merges and forwards updates, and refutes suspicions of this process.

    Times are seconds on the monotonic clock.

    Attributes:
        local_member: This process's record of itself.
        table: The records of all members.
        probe_order: The order in which members are probed.
        dissemination: Updates to be sent to other members.
        suspicions: Timers of suspected members.
        reconnect_candidates: Addresses of members that are dead in this table and alive in that of another
            member, in the order in which they were reported.
        on_change: Called with each record whose state or incarnation has changed.
    """

    def __init__(
        self, local_member: Member, settings: SwimSettings, random_source: Random, local_health: LocalHealth
    ) -> None:
        """Starts with this process as the only member."""
        self.local_member = local_member
        self.table = MemberTable(random_source)
        self.probe_order = ProbeOrder(random_source)
        self.dissemination = Dissemination(settings)
        self.suspicions = SuspicionTimers(settings)
        self.reconnect_candidates: dict[str, None] = {}
        self.on_change: Callable[[Member], None] | None = None
        self._settings = settings
        self._local_health = local_health
        self._death_verification = DeathVerification(settings)
        self._ended_at: dict[str, float] = {}
        self.table.put(local_member)

    # Queries

    def is_present(self, address: str) -> bool:
        """Whether the address belongs to a member that is alive or suspect."""
        member = self.table.get(address)
        return member is not None and member.is_present

    def is_present_peer(self, address: str) -> bool:
        """Whether the address belongs to another member that is alive or suspect."""
        return address != self.local_member.address and self.is_present(address)

    def sample_peers(self, number: int, without: str = "") -> list[str]:
        """Returns up to `number` addresses of present members, excluding this process and `without`."""
        return self.table.sample(number, frozenset((self.local_member.address, without)))

    def dead(self) -> list[Member]:
        """Returns the dead members, which ended without leaving, until they are forgotten."""
        ended = (self.table.get(address) for address in self._ended_at)
        return [member for member in ended if member is not None and member.state is MemberState.DEAD]

    # Events

    def receive_gossip(self, now: float, update: Update, source: str) -> bool:
        """Merges an update piggybacked on a message from the member at `source`.

        A death is accepted only if the member has been suspect in this table for a while. Otherwise the
        author of the update may have been partitioned, and the death is verified first.

        Returns:
            Whether the local state has changed.
        """
        member = update.member
        if self._is_death_of_present(member) and not self.suspicions.is_mature(now, member.address):
            self._death_verification.add(member, source)
            return False
        return self._merge(now, update, is_gossip=True)

    def receive_table_record(self, now: float, update: Update, source: str) -> bool:
        """Merges a record from the member table of the member at `source`.

        A death in it may be the result of a partition, and is verified first. Changes are not disseminated,
        because all members compare tables.

        Returns:
            Whether the local state has changed.
        """
        if self._is_death_of_present(update.member):
            self._death_verification.add(update.member, source)
            return False
        return self._merge(now, update, is_gossip=False)

    def suspect(self, now: float, address: str, incarnation: int) -> None:
        """Marks a member as suspect because this process's own probe of that incarnation failed."""
        known = self.table.get(address)
        if known is None or not known.is_present or known.incarnation != incarnation:
            return
        suspect = replace(known, state=MemberState.SUSPECT)
        self._merge(now, Update(suspect, self.local_member.address), is_gossip=True)

    def leave(self) -> None:
        """Marks this process as leaving gracefully."""
        self._replace_self(replace(self.local_member, state=MemberState.LEFT))

    def next_death_to_verify(self, now: float) -> Member | None:
        """Returns the record, in state DEAD, of a member to ping now because its death was reported."""
        return self._death_verification.next_to_ping(now, self._is_death_of_present)

    def tick(self, now: float) -> None:
        """Suspects members with unrefuted reported deaths, declares suspects dead, forgets ended members."""
        self.dissemination.refill(now)
        self._suspect_unrefuted_deaths(now)
        self._declare_expired_suspects_dead(now)
        self._forget_ended(now)

    def validate(self) -> None:
        """Checks the invariants between the parts of this state.

        Raises:
            AssertionError: If an invariant is violated; the message names it.
        """
        self.table.validate()
        assert self.table.get(self.local_member.address) == self.local_member, (
            "the table's record of this process differs"
        )
        others = [member for member in self.table.records() if member.address != self.local_member.address]
        suspects = {member.address for member in others if member.state is MemberState.SUSPECT}
        assert self.suspicions.addresses() == suspects, "suspicion timers differ from the suspect members"
        ended = {member.address for member in others if not member.is_present}
        assert set(self._ended_at) == ended, "end times differ from the ended members in the table"
        assert set(self.reconnect_candidates) <= ended, "a reconnect candidate has not ended"

    def _suspect_unrefuted_deaths(self, now: float) -> None:
        for death in self._death_verification.take_unanswered(now):
            if self._is_death_of_present(death.dead):
                suspect = replace(death.dead, state=MemberState.SUSPECT)
                self._merge(now, Update(suspect, death.source), is_gossip=True)

    def _declare_expired_suspects_dead(self, now: float) -> None:
        for address in self.suspicions.expired(now):
            known = self.table.get(address)
            if known is not None:
                dead = replace(known, state=MemberState.DEAD)
                self._apply(now, known, Update(dead), is_gossip=True)

    def _forget_ended(self, now: float) -> None:
        while self._ended_at:
            address, ended_at = next(iter(self._ended_at.items()))
            if now - ended_at < self._settings.dead_retention_s:
                break
            del self._ended_at[address]
            self.reconnect_candidates.pop(address, None)
            self.table.forget(address)

    def _is_death_of_present(self, reported: Member) -> bool:
        """Whether this reports the death of an incarnation that is present here and has not refuted it."""
        known = self.table.get(reported.address)
        return (
            reported.state is MemberState.DEAD
            and known is not None
            and known.is_present
            and known.address != self.local_member.address
            and known.incarnation == reported.incarnation
            and known.precedence < reported.precedence
        )

    # Merging

    def _merge(self, now: float, update: Update, is_gossip: bool) -> bool:
        reported = update.member
        if reported.address == self.local_member.address:
            return self._receive_about_self(reported)
        known = self.table.get(reported.address)
        if known is None:
            if not reported.is_present:  # stale updates must not bring back a forgotten member
                return False
            self._apply(now, None, update, is_gossip)
            return True
        if reported.precedence > known.precedence:
            self._apply(now, known, update, is_gossip)
            return True
        if reported.precedence == known.precedence and reported.state is MemberState.SUSPECT:
            self._confirm_suspicion(update)
        elif reported.is_present and known.state is MemberState.DEAD and not is_gossip:
            self.reconnect_candidates[reported.address] = None
        return False

    def _receive_about_self(self, reported: Member) -> bool:
        """Refutes a suspicion or death of this process; returns whether its record changed."""
        local_member = self.local_member
        if local_member.state is MemberState.LEFT or reported.precedence <= local_member.precedence:
            return False
        if reported.incarnation > local_member.incarnation:  # the clock of an earlier incarnation was ahead
            self._replace_self(replace(local_member, incarnation=reported.incarnation + 1, refutations=0))
            return True
        self._local_health.worsen()
        self._replace_self(replace(local_member, refutations=reported.refutations + 1))
        return True

    def _replace_self(self, local_member: Member) -> None:
        self.local_member = local_member
        self.table.put(local_member)
        self.dissemination.add(Update(local_member))

    def _confirm_suspicion(self, update: Update) -> None:
        if update.accuser and self.suspicions.confirm(update.member.address, update.accuser):
            self.dissemination.add(update)

    def _apply(self, now: float, known: Member | None, update: Update, is_gossip: bool) -> None:
        member = update.member
        address = member.address
        if known is not None and known.is_present and known.incarnation != member.incarnation:
            self._notify(replace(known, state=MemberState.DEAD))
        self.table.put(member)
        self._ended_at.pop(address, None)
        self.suspicions.clear(address)
        if member.is_present:
            self.probe_order.add(address)
            self.reconnect_candidates.pop(address, None)
        else:
            self._ended_at[address] = now
        if member.state is MemberState.SUSPECT:
            self.suspicions.start(now, address, update.accuser, self.table.present_count())
        if is_gossip:
            self.dissemination.add(update)
        if known is None or (known.incarnation, known.state) != (member.incarnation, member.state):
            self._notify(member)

    def _notify(self, member: Member) -> None:
        if self.on_change is not None:
            self.on_change(member)
