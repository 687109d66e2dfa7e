"""A hand-held host for one dispatcher: keeps its actions and answers for the workers."""

from __future__ import annotations

from typing import Any

from larchgw import Dispatcher, Settings
from larchgw.dispatcher.scheduling.interface import (
    Effect,
    JobClass,
    ListKind,
    Member,
    Outcome,
    Presence,
    Request,
    Status,
)


class Recorder:
    """Keeps every action; attempts are numbered as sent."""

    def __init__(self) -> None:
        self.log: list[tuple[Any, ...]] = []
        self.sends: dict[int, list[bytes]] = {}
        self.timers: list[tuple[float, int]] = []

    def send(self, request: int, worker: bytes, timeout: float) -> None:
        self.log.append(("send", request, worker))
        self.sends.setdefault(request, []).append(worker)

    def refuse(self, request: int, retry_after: float) -> None:
        self.log.append(("refuse", request))

    def fail(self, request: int) -> None:
        self.log.append(("fail", request))

    def cancel(self, request: int, attempt: int) -> None:
        self.log.append(("cancel", request, attempt))

    def timer(self, at: float, token: int) -> None:
        self.timers.append((at, token))

    def probe(self, worker: bytes) -> None:
        self.log.append(("probe", worker))

    def subscribe(self) -> None:
        self.log.append(("subscribe",))


class Rig:
    """One dispatcher with simple settings, a clock and a fleet."""

    def __init__(
        self, workers: int = 4, seed: int = 1, effect: Effect = "idempotent", **changes: Any
    ) -> None:
        group = changes.pop("group", "all")
        window = changes.pop("window", 5.0)
        job = JobClass("job", 0.4, 5.0, effect=effect, group=group, window=window, stretch=2.0)
        self.actions = Recorder()
        starts = changes.pop("tells_start", True)
        copies = changes.pop("second_copies", True)
        self.settings = Settings([job], tells_start=starts, second_copies=copies, can_cancel=True, **changes)
        self.d = Dispatcher(self.settings, seed, self.actions)
        self.now = 100.0
        self.next = 0
        self.ids = [bytes([i, 0, 0, 0, 0, 1]) for i in range(workers)]
        self.members(*[Member(w) for w in self.ids])

    def members(self, *members: Member, kind: int = ListKind.DELTA) -> None:
        self.d.on_members(self.now, kind, members)

    def drain(self, worker: bytes) -> None:
        self.members(Member(worker, Presence.DRAINING))

    def request(self, key: int = 0, **changes: Any) -> int:
        self.next += 1
        self.d.on_request(self.now, Request(self.next, self.now + 5.0, key=key, **changes))
        return self.next

    def end(self, request: int, status: int = Status.OK, attempt: int | None = None) -> None:
        sends = self.actions.sends[request]
        index = len(sends) - 1 if attempt is None else attempt
        self.d.on_outcome(self.now, Outcome(request, index, sends[index], status, status == Status.OK, 0.1))

    def wait(self, seconds: float) -> None:
        """Lets time pass, firing the timers that fall due."""
        end = self.now + seconds
        while due := [t for t in self.actions.timers if t[0] <= end]:
            first = min(due)
            self.actions.timers.remove(first)
            self.now = max(self.now, first[0])
            self.d.on_timer(self.now, first[1])
        self.now = end

    def where(self, request: int) -> bytes:
        return self.actions.sends[request][-1]

    def answers(self, request: int) -> list[str]:
        return [a[0] for a in self.actions.log if a[0] in ("refuse", "fail") and a[1] == request]
