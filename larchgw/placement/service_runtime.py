"""What the placement service needs of the process that it runs in."""

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
    """The right to order, as the replication package gives it out."""

    @property
    def fencing_token(self) -> int:
        """The fencing token: it is higher with each holder."""

    @property
    def expires_at(self) -> float:
        """End of the right, on the clock of the runtime."""


class RunnerCalls(Protocol):
    """Calls to runners; `orders.OrderClient` is the implementation."""

    async def order(self, order: Order, fencing_token: int, begin_by_s: float) -> OrderOutcome:
        """Sends an order, or not at all if it is not begun by then (monotonic clock); raises nothing."""

    async def report(self, runner_id: RunnerId, address: str) -> RunnerReport | None:
        """Reads a runner's report; None if it gave none."""


class OrderPermits(Protocol):
    """When orders may be sent: two placers keep a term apart at each runner.

    Times are on the runtime's clock.
    """

    async def announce(self, runner_id: RunnerId, is_store_load: bool) -> None:
        """Announces an order to a runner; `permitted_until_s` tells what came of it. Raises nothing."""

    def permitted_until_s(self, runner_id: RunnerId) -> float:
        """Until when an announced order may be sent; minus infinity if it may not."""

    def free_at_s(self, runner_id: RunnerId) -> float:
        """From when on an order may be announced: another placer may have ordered there lately."""

    def load_history(self) -> LoadHistory | None:
        """The loads that were ordered before this process held the lease; None where nobody remembers any."""


class UnrestrictedOrderPermits:
    """Permits every order: for a placer that never has another beside it."""

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


_tasks: set[asyncio.Task[None]] = set()  # the event loop itself holds its tasks weakly


def spawn_task(call: Coroutine[Any, Any, None]) -> None:
    """Runs a call on the event loop."""
    task = asyncio.ensure_future(call)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


def expect_no_loads(runner_id: RunnerId) -> Collection[str]:
    """Stands for `PlacementRuntime.expected_loads` where no other placer publishes any."""
    return ()


def publish_nothing(runner_id: RunnerId, completions_ms: dict[str, float]) -> None:
    """Stands for `PlacementRuntime.publish` where no dispatcher listens."""


@dataclass(slots=True)
class PlacementRuntime:
    """What the service needs of its process.

    Attributes:
        clock: The time in seconds; that of `lease` too.
        lease: Returns the lease while this process holds it.
        calls: Orders and reports at runners.
        publish: Gets, for a runner whose expected load completions changed, the milliseconds until each model
            or "model/adapter" can be used there (0: now; `completion_publisher.UNLOADING_MS`: no more),
            without those that its check-ins show; an empty dict withdraws them.
        spawn: Runs a call beside the loop.
        settings: Limits of the deployment.
        random_source: Breaks ties between runners.
        expected_loads: Returns the models, or "model/adapter", whose load at a runner was last published and
            not withdrawn.
        permits: Says when an order may be sent to a runner.
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
