"""What this process holds to be true of all members, and how reports change it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from .codec import Update
from .death_verification import Doubts
from .dissemination import Dissemination
from .local_health import LocalHealth
from .member import Member, MemberState
from .probing import RoundRobin
from .settings import SwimSettings
from .suspicion import Suspicions
from .table import MemberTable


class Knowledge:
    """Merges reports by precedence, refutes those on this process, and passes news on."""

    def __init__(self, me: Member, settings: SwimSettings, random: Random, health: LocalHealth) -> None:
        self.me = me
        self.table = MemberTable(random)
        self.order = RoundRobin(random)
        self.news = Dissemination(settings)
        self.on_change: Callable[[Member], None] | None = None
        self.reconnect: dict[str, None] = {}  # dead here, alive to another member; in the order heard
        self._settings = settings
        self._health = health
        self.suspicions = Suspicions(settings)
        self.doubts = Doubts(settings)
        self._gone_since: dict[str, float] = {}
        self.table.put(me)

    def hear(self, now: float, update: Update, source: str) -> bool:
        """A report that came as gossip from the member `source`. Whether it is news.

        A death is believed only of a member that has been suspect here for a while. Where the suspicion did
        not come well before it, its author may have been cut off.
        """
        member = update.member
        if self._is_death_of_present(member) and not self.suspicions.matured(now, member.address):
            self.doubts.add(member, source)
            return False
        return self._merge(now, update, gossiped=True)

    def compare(self, now: float, update: Update, source: str) -> bool:
        """A report out of the table of `source`. Whether it is news.

        A death in it may be one that a partition made up. News are not passed on, as all members compare
        tables.
        """
        if self._is_death_of_present(update.member):
            self.doubts.add(update.member, source)
            return False
        return self._merge(now, update, gossiped=False)

    def suspect(self, now: float, address: str, incarnation: int) -> None:
        """This process's own probe of that life failed."""
        known = self.table.get(address)
        if known is None or not known.is_present or known.incarnation != incarnation:
            return
        suspect = replace(known, state=MemberState.SUSPECT)
        self._merge(now, Update(suspect, self.me.address), gossiped=True)

    def leave(self) -> None:
        """This process ends by plan."""
        self._describe_self(replace(self.me, state=MemberState.LEFT))

    def postpone(self, seconds: float) -> None:
        """This process did not run for so long: suspicions go on that much longer."""
        self.suspicions.postpone(seconds)

    def tick(self, now: float) -> None:
        """Declares dead who did not refute in time, and forgets who has been gone for long."""
        self.news.refill(now)
        for dead, source in self.doubts.unanswered(now):
            if self._is_death_of_present(dead):
                self._merge(now, Update(replace(dead, state=MemberState.SUSPECT), source), gossiped=True)
        for address in self.suspicions.expired(now):
            known = self.table.get(address)
            if known is not None:
                self._accept(now, known, Update(replace(known, state=MemberState.DEAD)), gossiped=True)
        while self._gone_since:
            address, since = next(iter(self._gone_since.items()))
            if now - since < self._settings.dead_retention_s:
                break
            self._forget(address)

    def death_to_ask_about(self, now: float) -> Member | None:
        """A reported death that its member may contradict, and is to be asked about now."""
        return self.doubts.ask(now, self._is_death_of_present)

    def dead(self) -> list[Member]:
        """Members that ended without leaving, as long as they are remembered."""
        gone = (self.table.get(address) for address in self._gone_since)
        return [member for member in gone if member is not None and member.state is MemberState.DEAD]

    def _is_death_of_present(self, heard: Member) -> bool:
        """Whether it ends a life that is present here and has not contradicted it."""
        known = self.table.get(heard.address)
        return (
            heard.state is MemberState.DEAD
            and known is not None
            and known.is_present
            and known.address != self.me.address
            and known.incarnation == heard.incarnation
            and known.precedence < heard.precedence
        )

    def _merge(self, now: float, update: Update, gossiped: bool) -> bool:
        heard = update.member
        if heard.address == self.me.address:
            return self._hear_of_self(heard)
        known = self.table.get(heard.address)
        if known is None:
            if not heard.is_present:  # nothing to end; a stale report must not keep a forgotten member known
                return False
            self._accept(now, None, update, gossiped)
            return True
        if heard.precedence > known.precedence:
            self._accept(now, known, update, gossiped)
            return True
        if heard.precedence == known.precedence and heard.state is MemberState.SUSPECT:
            self._confirm(update)
        elif heard.is_present and known.state is MemberState.DEAD and not gossiped:
            self.reconnect[heard.address] = None
        return False

    def _hear_of_self(self, heard: Member) -> bool:
        me = self.me
        if me.state is MemberState.LEFT or heard.precedence <= me.precedence:
            return False
        if heard.incarnation > me.incarnation:  # an earlier life had a clock that ran ahead
            self._describe_self(replace(me, incarnation=heard.incarnation + 1, refutations=0))
            return True
        self._health.worsen()
        self._describe_self(replace(me, refutations=heard.refutations + 1))
        return True

    def _describe_self(self, me: Member) -> None:
        self.me = me
        self.table.put(me)
        self.news.add(Update(me))

    def _confirm(self, update: Update) -> None:
        if update.accuser and self.suspicions.confirm(update.member.address, update.accuser):
            self.news.add(update)

    def _accept(self, now: float, known: Member | None, update: Update, gossiped: bool) -> None:
        member = update.member
        address = member.address
        if known is not None and known.is_present and known.incarnation != member.incarnation:
            self._report(replace(known, state=MemberState.DEAD))
        self.table.put(member)
        self._gone_since.pop(address, None)
        self.suspicions.clear(address)
        if member.is_present:
            self.order.add(address)
            self.reconnect.pop(address, None)
        else:
            self._gone_since[address] = now
        if member.state is MemberState.SUSPECT:
            self.suspicions.start(now, address, update.accuser, self.table.present_count())
        if gossiped:
            self.news.add(update)
        if known is None or (known.incarnation, known.state) != (member.incarnation, member.state):
            self._report(member)

    def _forget(self, address: str) -> None:
        del self._gone_since[address]
        self.reconnect.pop(address, None)
        self.table.forget(address)

    def _report(self, member: Member) -> None:
        if self.on_change is not None:
            self.on_change(member)
