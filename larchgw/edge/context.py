"""The objects shared by all requests of a proxy, and the queue of requests that wait for a runner."""

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

MAX_FAILED_DECISIONS = 4  # after an attempt ended, decisions stop once this many requests still wait


class Waiting(Protocol):
    """A request waiting for a runner."""

    traits: RequestTraits

    def decide(self) -> bool:
        """Runs runner selection again. Returns False if the request still waits."""


@dataclass(slots=True)
class ProxyContext:
    """The objects that requests use. Times are those of `loop.clock`."""

    loop: EventLoop
    random: Random
    selection: Selection
    budget: Budget
    pool: RunnerPool
    counters: EdgeCounters
    runners: Callable[[str], Mapping[str, RunnerRecord]]
    expected_loads: Callable[[str, str, str], Mapping[str, float]]
    dispatchers: Callable[[], int]
    on_missing_model: Callable[[str, str, str], None]
    on_request_ended: Callable[[object], None]  # called with each request that has ended
    expected_returns: ExpectedReturns = field(default_factory=ExpectedReturns)
    waiting: WaitingRequests = field(init=False)

    def __post_init__(self) -> None:
        """Creates the queue of waiting requests, which depends on the other fields."""
        self.waiting = WaitingRequests(self.loop, self._holds)

    def now(self) -> float:
        """Returns the current time in seconds."""
        return self.loop.clock.now()

    def awaited_loads(self) -> list[AwaitedLoad]:
        """Returns the requests that wait for a model load: queued here, or told to retry later."""
        here = [AwaitedLoad(traits.key, traits.deadline_at) for traits in self.waiting.traits()]
        return here + self.expected_returns.pending(self.now())

    def _holds(self, runner: str, traits: RequestTraits) -> bool:
        record = self.runners(traits.service).get(runner)
        return record is not None and (not traits.model or record.holds(traits.model, traits.adapter))


class WaitingRequests:
    """Requests that wait for a runner, ordered by rank and then by arrival when they are decided again.

    All changes within one iteration of the event loop are handled together.
    """

    def __init__(self, loop: EventLoop, holds: Callable[[str, RequestTraits], bool]) -> None:
        """Creates an empty queue; `holds(runner, traits)` returns whether a runner could serve a request."""
        self._loop, self._holds = loop, holds
        self._requests: dict[Waiting, None] = {}
        self._freed_runners: set[str] = set()  # runners at which an attempt ended
        self._decide_all = False
        self._timer: Deadline | None = None

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._requests)

    def add(self, request: Waiting) -> None:
        """Adds a request."""
        self._requests[request] = None

    def remove(self, request: Waiting) -> None:
        """Removes a request, if present."""
        self._requests.pop(request, None)

    def runner_freed(self, runner: str) -> None:
        """Schedules new decisions for requests that a runner could serve, after an attempt there ended."""
        if self._requests:
            self._freed_runners.add(runner)
            self._schedule()

    def invalidate_all(self) -> None:
        """Schedules new decisions for all requests after runners, models or the configuration changed."""
        if self._requests:
            self._decide_all = True
            self._schedule()

    def by_key(self) -> Counter[ModelKey]:
        """Returns the number of waiting requests by model key."""
        return Counter(request.traits.key for request in self._requests)

    def traits(self) -> list[RequestTraits]:
        """Returns the traits of all waiting requests."""
        return [request.traits for request in self._requests]

    def _schedule(self) -> None:
        if self._timer is None:
            self._timer = self._loop.deadlines.add(self._loop.clock.now(), self._decide_again)

    def _decide_again(self) -> None:
        freed_runners, decide_all = self._freed_runners, self._decide_all
        self._timer, self._freed_runners, self._decide_all = None, set(), False
        failed_decisions = 0
        for request in sorted(self._requests, key=lambda x: (x.traits.route.rank, x.traits.number)):
            if request not in self._requests:
                continue
            if not decide_all and not any(self._holds(runner, request.traits) for runner in freed_runners):
                continue
            if not request.decide():
                failed_decisions += 1
                if not decide_all and failed_decisions >= MAX_FAILED_DECISIONS:
                    return
