"""Registry of workers: listed by discovery, connected by themselves, or banned by operators."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from ..scheduling.interface import ListKind, Member, Presence, WorkerId


class WorkerRegistry:
    """Combines discovery's list, connected workers and operators' bans.

    Discovery decides the state of the workers that it lists; a worker that it never listed is ready while it
    is connected. Operators override both: a banned worker is draining until it is unbanned.
    """

    def __init__(self, started: float, warm_up: float) -> None:
        self.listed: dict[WorkerId, Member] = {}
        self.connected: dict[WorkerId, Member] = {}
        self._warm_up, self._cold_joins_from = warm_up, started + warm_up
        self.ever_listed: set[WorkerId] = set()  # every worker that discovery or a ban has named
        self.banned: dict[WorkerId, float] = {}  # time of each ban
        self._unbanned_at: dict[WorkerId, float] = {}  # assumed start time of each unbanned worker

    def take_list(self, kind: int, members: Iterable[Member]) -> list[Member]:
        """Applies discovery's list; returns the members to report to the scheduler with the same kind."""
        reported = list(members)
        if kind != ListKind.DELTA:
            # A worker that has left the list is gone, even while connected.
            # Otherwise a drained worker would become ready again.
            for worker in set(self.listed) - {m.worker for m in reported}:
                self.connected.pop(worker, None)
            self.listed = {}
        for m in reported:
            self.ever_listed.add(m.worker)
            if m.presence == Presence.GONE:
                self.listed.pop(m.worker, None)
                self.connected.pop(m.worker, None)  # gone until it reconnects
            else:
                self.listed[m.worker] = m
        if kind != ListKind.DELTA:
            reported += [m for m in self.connected.values() if m.worker not in self.listed]
        return [self._with_operator_state(m) for m in reported]

    def is_known(self, worker: WorkerId) -> bool:
        return worker in self.ever_listed or worker in self.connected

    def ban(self, worker: WorkerId, at: float) -> Member | None:
        """Bans a worker; returns the member to report to the scheduler, or None if it is not present."""
        self.ever_listed.add(worker)
        self.banned[worker] = at
        self._unbanned_at.pop(worker, None)
        return self._member(worker)

    def unban(self, worker: WorkerId, now: float) -> Member | None:
        """Lifts a ban; returns the member to report to the scheduler, if any.

        The worker is assumed to have restarted during the ban. If discovery gave no start time after the ban,
        the current time is used.
        """
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
        """The member as reported to the scheduler, with bans and unban times applied."""
        if member.worker in self.banned and member.presence == Presence.READY:
            return replace(member, presence=Presence.DRAINING)
        back = self._unbanned_at.get(member.worker, 0.0)
        return replace(member, up_since=back) if back > member.up_since else member

    def connect(self, worker: WorkerId, now: float, restarted: bool) -> Member | None:
        """Records a connected worker; returns the member to report to the scheduler, if it is new.

        The start time of such a worker is unknown. One that connects after this process has run for the
        warm-up time is treated as cold, or it would be overloaded. One that connects earlier is assumed to
        have been running before this process. A worker that reconnects after this process closed its last
        connection has not restarted.
        """
        if worker in self.connected:
            return None
        fresh = restarted and now > self._cold_joins_from
        member = Member(worker, up_since=now if fresh else 0.0)
        self.connected[worker] = member
        return None if worker in self.listed else self._with_operator_state(member)

    def disconnect(self, worker: WorkerId) -> Member | None:
        """Records that a worker's last connection has closed; returns the member to report, if any."""
        member = self.connected.pop(worker, None)
        if member is None or worker in self.listed:
            return None
        return replace(member, presence=Presence.GONE)

    def takes_work(self, worker: WorkerId) -> bool:
        member = self._member(worker)
        return member is not None and member.presence == Presence.READY

    def ready_share(self) -> float:
        """Fraction of the known workers that accept new work."""
        known = {**self.connected, **self.listed}
        ready = sum(self.takes_work(worker) for worker in known)
        return ready / len(known) if known else 0.0
