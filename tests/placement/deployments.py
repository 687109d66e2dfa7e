"""Simulated deployments in virtual time for tests of the placement service, and checks of the results."""

import random
from collections.abc import Callable, Iterable

from larchgw.configuration.model import Model
from larchgw.emulator.modelrunner import Capacity
from larchgw.emulator.placing import Asked, Deployment, Stream, World
from larchgw.experiments.place import Calls
from larchgw.experiments.place import Service as Driver
from larchgw.placement.model import Order, OrderOutcome, RunnerReport

from .builders import MB_PER_GB, RATE_FACTOR, WINDOW_S

RARE_WORTH, BUSY_WORTH = 3.0, 1.0


def model_names(first: int, last: int) -> tuple[str, ...]:
    return tuple(f"m{n}" for n in range(first, last))


def busy_stream(
    models: tuple[str, ...],
    rate: float = 10.0,
    starts: float = 0.0,
    ends: float = 1e9,
    adapter_share: float = 0.0,
) -> Stream:
    weights = (1.0,) * len(models)
    return Stream(models, weights, rate, BUSY_WORTH, 0.8, 5.0, adapter_share, starts, ends)


def rare_stream(models: tuple[str, ...], rate: float = 0.04, aim_s: float = 3.0) -> Stream:
    return Stream(models, (1.0,) * len(models), rate * len(models), RARE_WORTH, aim_s, 8.0)


def make_deployment(
    streams: Iterable[Stream],
    models: int = 12,
    runners: int = 4,
    load_s: float = 1.0,
    seconds: float = 30.0,
    adapters: int = 0,
    loads_per_s: float = 3.0,
    losses: tuple[tuple[float, int, float], ...] = (),
) -> Deployment:
    known = tuple(Model(f"m{n}", 72.7 * MB_PER_GB, load_s, adapters, 66.0) for n in range(models))
    return Deployment(
        known,
        tuple(streams),
        runners,
        3,
        Capacity(230 * MB_PER_GB),
        loads_per_s,
        max(round(loads_per_s * load_s), 3),
        seconds,
        losses,
    )


def play(deployment: Deployment, seed: int = 1, calls: Callable[[World], Calls] | None = None) -> World:
    """Simulates a deployment to its end; validates the reconciler after each step under the lease.

    Calls complete immediately in virtual time, so the lease may be lost between two orders of one round.
    Later orders of that round then refer to runners whose state was reset. On an event loop, all orders of a
    round are recorded before the first is sent.
    """
    world = World(deployment, seed)
    driver = Driver(world, seed)
    if calls is not None:
        driver.service._exchange._runtime.calls = calls(world)

    def step() -> None:
        driver.step()
        if driver.service._lease_watch.fencing_token is not None:
            driver.service._reconciler.validate_state()

    world.play(step, driver.update_runner, driver.receive_demand_report)
    return world


def share_in_time(requests: Iterable[Asked]) -> float:
    requests = list(requests)
    return sum(request.in_time for request in requests) / len(requests)


def assert_no_rule_broken(world: World) -> None:
    deployment = world.deployment
    assert not any(runner.fallen for runner in world.runners)
    assert world.store.most_in(WINDOW_S) <= deployment.loads_per_s * WINDOW_S * RATE_FACTOR + 3


class LossyCalls(Calls):
    """Loses some orders before they arrive, and some responses to orders and reports."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._random_source = random.Random(5)

    async def order(self, order: Order, fencing_token: int, begin_by_s: float) -> OrderOutcome:
        drawn = self._random_source.random()
        if drawn < 0.15:
            return OrderOutcome.UNKNOWN
        outcome = await super().order(order, fencing_token, begin_by_s)
        return OrderOutcome.UNKNOWN if drawn < 0.3 else outcome

    async def report(self, runner_id: str, address: str) -> RunnerReport | None:
        return None if self._random_source.random() < 0.2 else await super().report(runner_id, address)
