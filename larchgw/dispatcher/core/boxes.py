"""One list of boxes: those that discovery names, those that came by themselves, those taken out by hand."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from ..scheduling.interface import ListKind, Member, Presence, WorkerId


class WorkerRegistry:
    """Discovery rules the boxes that it names. One that it never named is ready while connected.

    Over both lies what operators say: a box that they took out drains until they put it back.
    """

    def __init__(self, started: float, warm_up: float) -> None:
        self.listed: dict[WorkerId, Member] = {}
        self.connected: dict[WorkerId, Member] = {}
        self._warm_up, self._cold_joins_from = warm_up, started + warm_up
        self.ever_listed: set[WorkerId] = set()  # whom discovery has ever named
        self.banned: dict[WorkerId, float] = {}  # taken out by hand, and when
        self._unbanned_at: dict[WorkerId, float] = {}  # put back, and when it counts as started

    def take_list(self, kind: int, members: Iterable[Member]) -> list[Member]:
        """Discovery's news; what to tell the module with the same kind."""
        told = list(members)
        if kind != ListKind.DELTA:
            # A box that has left the list is gone, connected or not: else a drained one would be ready again.
            for worker in set(self.listed) - {m.worker for m in told}:
                self.connected.pop(worker, None)
            self.listed = {}
        for m in told:
            self.ever_listed.add(m.worker)
            if m.presence == Presence.GONE:
                self.listed.pop(m.worker, None)
                self.connected.pop(m.worker, None)  # until it connects anew
            else:
                self.listed[m.worker] = m
        if kind != ListKind.DELTA:
            told += [m for m in self.connected.values() if m.worker not in self.listed]
        return [self._with_operator_state(m) for m in told]

    def is_known(self, worker: WorkerId) -> bool:
        return worker in self.ever_listed or worker in self.connected

    def ban(self, worker: WorkerId, at: float) -> Member | None:
        """Operators take a box out; what to tell the module, if the box is there."""
        self.ever_listed.add(worker)
        self.banned[worker] = at
        self._unbanned_at.pop(worker, None)
        return self._member(worker)

    def unban(self, worker: WorkerId, now: float) -> Member | None:
        """Operators put a box back. It was restarted meanwhile; if discovery has not said when, it is now."""
        banned, member = self.banned.pop(worker, None), self._member(worker)
        if banned is None or member is None:
            return None
        self._unbanned_at = {w: at for w, at in self._unbanned_at.items() if now < at + self._warm_up}
        if member.up_since <= banned:
            self._unbanned_at[worker] = now
        return self._member(worker)

    def _member(self, worker: WorkerId) -> Member | None:
        member = self.listed.get(worker) or self.connected.get(worker)
        return self._with_operator_state(member) if member else None

    def _with_operator_state(self, member: Member) -> Member:
        """A box as the module is to see it."""
        if member.worker in self.banned and member.presence == Presence.READY:
            return replace(member, presence=Presence.DRAINING)
        back = self._unbanned_at.get(member.worker, 0.0)
        return replace(member, up_since=back) if back > member.up_since else member

    def connect(self, worker: WorkerId, now: float, restarted: bool) -> Member | None:
        """A box has connected; what to tell the module, if it is news.

        Nobody says when such a box started. One that comes when we have run for a while is taken for a cold
        one, or it would be pushed over; one that is there from our start on was there before us. A box that
        is back after we had closed its last connection has not restarted.
        """
        if worker in self.connected:
            return None
        fresh = restarted and now > self._cold_joins_from
        member = Member(worker, up_since=now if fresh else 0.0)
        self.connected[worker] = member
        return None if worker in self.listed else self._with_operator_state(member)

    def disconnect(self, worker: WorkerId) -> Member | None:
        """The last connection of a box has closed."""
        member = self.connected.pop(worker, None)
        if member is None or worker in self.listed:
            return None
        return replace(member, presence=Presence.GONE)

    def takes_work(self, worker: WorkerId) -> bool:
        member = self._member(worker)
        return member is not None and member.presence == Presence.READY

    def ready_share(self) -> float:
        """How much of the known fleet takes new work."""
        known = {**self.connected, **self.listed}
        ready = sum(self.takes_work(worker) for worker in known)
        return ready / len(known) if known else 0.0
