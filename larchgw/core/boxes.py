"""One list of boxes: those that discovery names and those that came by themselves."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from ..interface import ListKind, Member, Presence, WorkerId


class Boxes:
    """Discovery rules the boxes that it names. One that it never named is ready while connected."""

    def __init__(self, started: float, warm_up: float) -> None:
        self.listed: dict[WorkerId, Member] = {}
        self.joined: dict[WorkerId, Member] = {}
        self._old_until = started + warm_up

    def take_list(self, kind: int, members: Iterable[Member]) -> list[Member]:
        """Discovery's news; what to tell the module with the same kind."""
        told = list(members)
        if kind != ListKind.DELTA:
            # A box that has left the list is gone, connected or not: else a drained one would be ready again.
            for worker in set(self.listed) - {m.worker for m in told}:
                self.joined.pop(worker, None)
            self.listed = {}
        for m in told:
            if m.presence == Presence.GONE:
                self.listed.pop(m.worker, None)
                self.joined.pop(m.worker, None)  # until it connects anew
            else:
                self.listed[m.worker] = m
        if kind != ListKind.DELTA:
            told += [m for m in self.joined.values() if m.worker not in self.listed]
        return told

    def join(self, worker: WorkerId, now: float, restarted: bool) -> Member | None:
        """A box has connected; what to tell the module, if it is news.

        Nobody says when such a box started. One that comes when we have run for a while is taken for a cold
        one, or it would be pushed over; one that is there from our start on was there before us. A box that
        is back after we had closed its last connection has not restarted.
        """
        if worker in self.joined:
            return None
        fresh = restarted and now > self._old_until
        member = Member(worker, up_since=now if fresh else 0.0)
        self.joined[worker] = member
        return None if worker in self.listed else member

    def leave(self, worker: WorkerId) -> Member | None:
        """The last connection of a box has closed."""
        member = self.joined.pop(worker, None)
        if member is None or worker in self.listed:
            return None
        return replace(member, presence=Presence.GONE)

    def open_to_work(self, worker: WorkerId) -> bool:
        member = self.listed.get(worker) or self.joined.get(worker)
        return member is not None and member.presence == Presence.READY

    def ready_share(self) -> float:
        """How much of the known fleet takes new work."""
        known = {**self.joined, **self.listed}
        ready = sum(m.presence == Presence.READY for m in known.values())
        return ready / len(known) if known else 0.0
