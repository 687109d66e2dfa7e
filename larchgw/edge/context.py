"""What every request of one proxy shares, and the requests that wait for a runner."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from ..net.loop import EventLoop
from ..net.timers import Deadline
from ..routing.interface import Budget, RequestTraits, Selection
from ..runner_directory.runner_record import RunnerRecord
from .counters import EdgeCounters
from .runner_pool import RunnerPool

FRUITLESS = 4  # of the requests asked anew once an attempt has ended: after so many that wait on, no more


class Waiting(Protocol):
    """A request that waits for a runner."""

    traits: RequestTraits

    def ask(self) -> bool:
        """Asks anew where it goes. Returns whether it waits no more."""


@dataclass(slots=True)
class ProxyContext:
    """The parts that requests use. Times are those of `loop.clock`."""

    loop: EventLoop
    random: Random
    selection: Selection
    budget: Budget
    pool: RunnerPool
    counters: EdgeCounters
    runners: Callable[[str], Mapping[str, RunnerRecord]]
    expected: Callable[[str, str, str], Mapping[str, float]]
    dispatchers: Callable[[], int]
    on_wanted: Callable[[str, str, str], None]
    closed: Callable[[object], None]  # told of each request that has ended
    waiting: WaitingRoom = field(init=False)

    def __post_init__(self) -> None:
        self.waiting = WaitingRoom(self.loop, self._holds)

    def now(self) -> float:
        """The time, in seconds."""
        return self.loop.clock.now()

    def _holds(self, runner: str, traits: RequestTraits) -> bool:
        record = self.runners(traits.service).get(runner)
        return record is not None and (not traits.model or record.holds(traits.model, traits.adapter))


class WaitingRoom:
    """Requests that wait, asked anew in the order of their rank and then of their coming.

    All news of one turn of the loop are answered together.
    """

    def __init__(self, loop: EventLoop, holds: Callable[[str, RequestTraits], bool]) -> None:
        self._loop, self._holds = loop, holds
        self._requests: dict[Waiting, None] = {}
        self._freed: set[str] = set()  # runners at which an attempt has ended
        self._all = False
        self._due: Deadline | None = None

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: Waiting) -> None:
        """It waits from now on."""
        self._requests[request] = None

    def remove(self, request: Waiting) -> None:
        """It waits no more."""
        self._requests.pop(request, None)

    def runner_freed(self, runner: str) -> None:
        """An attempt has ended there: those that it could serve are asked soon."""
        if self._requests:
            self._freed.add(runner)
            self._schedule()

    def all_changed(self) -> None:
        """Runners, what they hold or the configuration changed: all are asked soon."""
        if self._requests:
            self._all = True
            self._schedule()

    def by_key(self) -> Counter[tuple[str, str, str]]:
        """How many wait, by service, model and adapter."""
        return Counter(request.traits.key for request in self._requests)

    def traits(self) -> list[RequestTraits]:
        """Of all that wait."""
        return [request.traits for request in self._requests]

    def _schedule(self) -> None:
        if self._due is None:
            self._due = self._loop.deadlines.add(self._loop.clock.now(), self._ask)

    def _ask(self) -> None:
        freed, everyone = self._freed, self._all
        self._due, self._freed, self._all = None, set(), False
        fruitless = 0
        for request in sorted(self._requests, key=lambda x: (x.traits.route.rank, x.traits.number)):
            if request not in self._requests:
                continue
            if not everyone and not any(self._holds(runner, request.traits) for runner in freed):
                continue
            if not request.ask():
                fruitless += 1
                if not everyone and fruitless >= FRUITLESS:
                    return
