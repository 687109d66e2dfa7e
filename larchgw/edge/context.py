"""What every request of one proxy shares, and the requests that wait for a runner."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from ..net.loop import EventLoop
from ..net.timers import Deadline
from ..routing.interface import Budget, ModelKey, RequestTraits, Selection
from ..runner_directory.runner_record import RunnerRecord
from .counters import EdgeCounters
from .expected_returns import AwaitedLoad, ExpectedReturns
from .runner_pool import RunnerPool

MAX_FRUITLESS = 4  # once an attempt has ended, requests are decided anew until so many go on waiting


class Waiting(Protocol):
    """A request that waits for a runner."""

    traits: RequestTraits

    def decide(self) -> bool:
        """Has the selection decide anew. Returns whether it waits no more."""


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
    on_missing_model: Callable[[str, str, str], None]
    closed: Callable[[object], None]  # told of each request that has ended
    returns: ExpectedReturns = field(default_factory=ExpectedReturns)
    waiting: WaitingRequests = field(init=False)

    def __post_init__(self) -> None:
        """Makes the collection of waiting requests, which needs the other parts."""
        self.waiting = WaitingRequests(self.loop, self._holds)

    def now(self) -> float:
        """The time, in seconds."""
        return self.loop.clock.now()

    def awaited_loads(self) -> list[AwaitedLoad]:
        """Returns the requests that wait for a load: those here, and those told to come back."""
        here = [AwaitedLoad(traits.key, traits.deadline_at) for traits in self.waiting.traits()]
        return here + self.returns.pending(self.now())

    def _holds(self, runner: str, traits: RequestTraits) -> bool:
        record = self.runners(traits.service).get(runner)
        return record is not None and (not traits.model or record.holds(traits.model, traits.adapter))


class WaitingRequests:
    """Requests that wait for a runner, decided anew in the order of their rank and then of their arrival.

    All changes of one turn of the loop are handled together.
    """

    def __init__(self, loop: EventLoop, holds: Callable[[str, RequestTraits], bool]) -> None:
        """Begins empty; `holds(runner, traits)` tells whether the runner could serve the request."""
        self._loop, self._holds = loop, holds
        self._requests: dict[Waiting, None] = {}
        self._freed: set[str] = set()  # runners at which an attempt has ended
        self._all = False
        self._due: Deadline | None = None

    def __len__(self) -> int:
        """How many wait."""
        return len(self._requests)

    def add(self, request: Waiting) -> None:
        """It waits from now on."""
        self._requests[request] = None

    def remove(self, request: Waiting) -> None:
        """It waits no more."""
        self._requests.pop(request, None)

    def runner_freed(self, runner: str) -> None:
        """An attempt has ended there: requests that the runner could serve are decided anew soon."""
        if self._requests:
            self._freed.add(runner)
            self._schedule()

    def all_changed(self) -> None:
        """Runners, what they hold or the configuration changed: all requests are decided anew soon."""
        if self._requests:
            self._all = True
            self._schedule()

    def by_key(self) -> Counter[ModelKey]:
        """Returns how many wait for each key."""
        return Counter(request.traits.key for request in self._requests)

    def traits(self) -> list[RequestTraits]:
        """Returns the traits of all that wait."""
        return [request.traits for request in self._requests]

    def _schedule(self) -> None:
        if self._due is None:
            self._due = self._loop.deadlines.add(self._loop.clock.now(), self._decide_due)

    def _decide_due(self) -> None:
        freed, everyone = self._freed, self._all
        self._due, self._freed, self._all = None, set(), False
        fruitless = 0
        for request in sorted(self._requests, key=lambda x: (x.traits.route.rank, x.traits.number)):
            if request not in self._requests:
                continue
            if not everyone and not any(self._holds(runner, request.traits) for runner in freed):
                continue
            if not request.decide():
                fruitless += 1
                if not everyone and fruitless >= MAX_FRUITLESS:
                    return
