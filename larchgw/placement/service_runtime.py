"""Interfaces and dependencies of the placement service that its process provides."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..identifiers import RunnerId
from .load_rate_limit import LoadHistory
from .model import Order, OrderOutcome, PlacementSettings, RunnerReport


class Lease(Protocol):
    """The placement lease, which permits its holder to send orders."""

    @property
    def fencing_token(self) -> int:
        """Fencing token; it increases with each holder."""

    @property
    def expires_at(self) -> float:
        """End of the lease, on the clock of the runtime."""


class RunnerCalls(Protocol):
    """Calls to runners, implemented by `orders.OrderClient`."""

    async def order(self, order: Order, fencing_token: int, begin_by_s: float) -> OrderOutcome:
        """Sends an order, unless `begin_by_s` (monotonic clock) has passed; raises no exception."""

    async def report(self, runner_id: RunnerId, address: str) -> RunnerReport | None:
        """Fetches a runner's report; None if that failed."""


class OrderPermits(Protocol):
    """Permits to send orders. They keep orders of two lease holders to one runner at least a term apart.

    Times are on the runtime's clock.
    """

    async def announce(self, runner_id: RunnerId, is_store_load: bool) -> None:
        """Announces an order to a runner; `permitted_until_s` has the result. Raises no exception."""

    def permitted_until_s(self, runner_id: RunnerId) -> float:
        """Returns the time until which an announced order may be sent; minus infinity if it may not."""

    def free_at_s(self, runner_id: RunnerId) -> float:
        """Returns the earliest time for announcing an order; another process may have sent one recently."""

    def load_history(self) -> LoadHistory | None:
        """Returns the loads ordered before this process got the lease; None if there is no record."""


class UnrestrictedOrderPermits:
    """Permits every order; for a process that is the only one to place models."""

    async def announce(self, runner_id: RunnerId, is_store_load: bool) -> None:
        """See OrderPermits."""

    def permitted_until_s(self, runner_id: RunnerId) -> float:
        """See OrderPermits."""
        return math.inf

    def free_at_s(self, runner_id: RunnerId) -> float:
        """See OrderPermits."""
        return -math.inf

    def load_history(self) -> LoadHistory | None:
        """See OrderPermits."""
        return None


_tasks: set[asyncio.Task[None]] = set()  # strong references, since the event loop keeps only weak ones


def spawn_task(call: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine as a task on the event loop."""
    task = asyncio.ensure_future(call)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


def expect_no_loads(runner_id: RunnerId) -> Collection[str]:
    """Default of `PlacementRuntime.expected_loads`, for when no other process places models."""
    return ()


def publish_nothing(runner_id: RunnerId, completions_ms: dict[str, float]) -> None:
    """Default of `PlacementRuntime.publish`, for when there are no dispatchers."""


@dataclass(slots=True)
class PlacementRuntime:
    """Dependencies of the placement service.

    Attributes:
        clock: Returns the time in seconds; also the clock of `lease`.
        lease: Returns the lease while this process holds it, else None.
        calls: Sends orders and fetches reports.
        publish: Called for a runner whose expected load completions have changed, with the milliseconds until
            each model or "model/adapter" can be used at that runner. 0 means now, and
            `completion_publisher.UNLOADING_MS` means that it is being unloaded. Entries that check-ins show
            already are left out; an empty dict withdraws all entries.
        spawn: Runs a coroutine in a separate task.
        settings: Limits of the deployment.
        random_source: Breaks ties between runners.
        expected_loads: Returns the models, or "model/adapter", whose load at a runner was published last and
            not withdrawn.
        permits: Determines when an order may be sent to a runner.
    """

    clock: Callable[[], float]
    lease: Callable[[], Lease | None]
    calls: RunnerCalls
    publish: Callable[[RunnerId, dict[str, float]], None] = publish_nothing
    spawn: Callable[[Coroutine[Any, Any, None]], None] = spawn_task
    settings: PlacementSettings = field(default_factory=PlacementSettings)
    random_source: random.Random = field(default_factory=random.Random)
    expected_loads: Callable[[RunnerId], Collection[str]] = expect_no_loads
    permits: OrderPermits = field(default_factory=UnrestrictedOrderPermits)
