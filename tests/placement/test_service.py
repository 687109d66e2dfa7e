"""The placement service when its lease ends, changes or is absent, and the completions that it publishes."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

import pytest

from larchgw.emulator.placing import World
from larchgw.experiments.place import Calls, HeldLease, run_at_once
from larchgw.identifiers import RunnerId
from larchgw.placement.completion_publisher import UNLOADING_MS
from larchgw.placement.load_rate_limit import LoadHistory
from larchgw.placement.model import Order, OrderOutcome, RunnerReport
from larchgw.placement.orders import MAX_ORDERS
from larchgw.placement.service import PlacementService
from larchgw.placement.service_runtime import Lease, PlacementRuntime, UnrestrictedOrderPermits
from larchgw.rpc.generated.ttypes import DemandReport
from larchgw.runner_directory.runner_record import RunnerRecord

from .builders import load
from .deployments import assert_no_rule_broken, make_deployment, model_names, play, rare_stream

MakeWorld = Callable[[float], World]


@pytest.fixture
def make_world() -> MakeWorld:
    """Returns a factory of simulated worlds with rarely requested models, which need frequent loads."""

    def make(seconds: float) -> World:
        return World(make_deployment([rare_stream(model_names(0, 20), 0.2)], models=20, seconds=seconds), 1)

    return make


def make_service(
    world: World, lease: Callable[[], Lease | None], calls: Calls | None = None, **options: Any
) -> tuple[PlacementService, PlacementRuntime]:
    """Returns a service in the world's virtual time, and its runtime."""
    runtime = PlacementRuntime(lambda: world.now, lease, calls or Calls(world), spawn=run_at_once, **options)
    service = PlacementService(runtime)
    service.configure(world.deployment.configuration())
    return service, runtime


def play_service(world: World, service: PlacementService) -> None:
    world.play(service.step, service.update_runner, service.receive_demand_report)


def test_no_order_or_poll_is_sent_without_the_lease(make_world: MakeWorld) -> None:
    world = make_world(5.0)
    service, _ = make_service(world, lambda: None)
    play_service(world, service)
    assert (world.orders, world.probes) == (0, 0)


class ScriptedPermits(UnrestrictedOrderPermits):
    """Order permits with results that the test sets.

    Attributes:
        announced: Ids of the runners, in the order of the announcements.
        permitted_until: Result of `permitted_until_s` for all runners.
        free_at: Results of `free_at_s` by runner id; all other runners are free.
    """

    def __init__(self) -> None:
        self.announced: list[str] = []
        self.permitted_until = math.inf
        self.free_at: dict[str, float] = {}
        self.history: LoadHistory | None = None
        self.store_loads = 0

    async def announce(self, runner_id: RunnerId, is_store_load: bool) -> None:
        self.announced.append(runner_id)
        self.store_loads += is_store_load

    def permitted_until_s(self, runner_id: RunnerId) -> float:
        return self.permitted_until

    def free_at_s(self, runner_id: RunnerId) -> float:
        return self.free_at.get(runner_id, -math.inf)

    def load_history(self) -> LoadHistory | None:
        return self.history


class RecordingCalls(Calls):
    """Records `begin_by_s` of each order."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.begin_by: list[float] = []

    async def order(self, order: Order, fencing_token: int, begin_by_s: float) -> OrderOutcome:
        self.begin_by.append(begin_by_s)
        return await super().order(order, fencing_token, begin_by_s)


def sent_at(world: World) -> list[float]:
    return [order[0] for runner in world.runners for order in runner.orders]


def test_no_order_is_sent_after_the_lease_has_ended(make_world: MakeWorld) -> None:
    world = make_world(9.0)
    service, _ = make_service(world, lambda: HeldLease(1, 5.0))
    play_service(world, service)
    assert sent_at(world)
    assert max(sent_at(world)) < 5.0


def test_each_order_is_announced_and_then_sent_with_the_end_of_its_permit(make_world: MakeWorld) -> None:
    world, permits = make_world(9.0), ScriptedPermits()
    permits.permitted_until = 6.0
    calls = RecordingCalls(world)
    service, _ = make_service(world, HeldLease, calls, permits=permits)
    play_service(world, service)
    assert sent_at(world)
    assert max(sent_at(world)) < 6.0
    assert set(calls.begin_by) == {6.0}
    assert len(permits.announced) > len(calls.begin_by)  # orders after the end were announced but not sent


def test_an_order_that_is_not_permitted_is_not_sent_and_reserves_no_load(make_world: MakeWorld) -> None:
    world, permits = make_world(9.0), ScriptedPermits()
    permits.permitted_until = -math.inf
    service, _ = make_service(world, HeldLease, permits=permits)
    play_service(world, service)
    assert permits.announced
    assert sent_at(world) == []
    assert service._reconciler.load_limiter.reserved_runner_ids() == set()


def test_only_runners_with_recent_orders_of_another_process_wait_for_orders(
    make_world: MakeWorld,
) -> None:
    world, permits = make_world(9.0), ScriptedPermits()
    blocked = world.runners[0].id
    permits.free_at = {blocked: 6.0}
    service, _ = make_service(world, HeldLease, permits=permits)
    world.play(service.step, service.update_runner, service.receive_demand_report)
    times = {runner.id: [order[0] for order in runner.orders] for runner in world.runners}
    assert min(min(at) for at in times.values() if at) < 2.0
    assert all(at >= 6.0 for at in times[blocked])
    assert blocked not in permits.announced[: len([at for at in sent_at(world) if at < 6.0])]


def test_a_runner_with_an_order_of_a_predecessor_does_not_delay_the_first_orders(
    make_world: MakeWorld,
) -> None:
    world = make_world(6.0)
    busy = world.runners[0]
    assert busy.order(0.0, busy.id, "loading", "m19", "", None, 1) == 202
    assert busy._running is not None
    busy._running.done_at = 99.0
    service, _ = make_service(world, lambda: HeldLease(2))
    play_service(world, service)
    assert min(sent_at(world)) < 0.4


def store_loads_at(world: World) -> list[float]:
    return [
        at
        for runner in world.runners
        for at, action, _, adapter in runner.orders
        if action == "loading" and not adapter
    ]


def test_loads_wait_one_window_from_the_start_of_their_history(make_world: MakeWorld) -> None:
    """Not from the acquisition of the lease, which may be seconds later."""
    world, permits = make_world(12.0), ScriptedPermits()
    permits.history = LoadHistory(1.5, ())
    service, runtime = make_service(world, lambda: HeldLease() if world.now >= 3.0 else None, permits=permits)
    world.runners[0].call_count = 1  # the runner has accepted an order before
    world.runners[0]._note(0.0)
    play_service(world, service)
    assert 1.5 <= min(store_loads_at(world)) - runtime.settings.load_window_s < 3.0


def test_a_lease_holder_with_a_complete_load_history_counts_it_and_does_not_pause(
    make_world: MakeWorld,
) -> None:
    world, permits = make_world(12.0), ScriptedPermits()
    service, runtime = make_service(world, lambda: HeldLease() if world.now >= 3.0 else None, permits=permits)
    limit = service._reconciler.load_limiter.limit
    permits.history = LoadHistory(3.0 - runtime.settings.load_window_s - 0.1, (2.9,) * (limit - 1))
    world.runners[0].call_count = 1
    world.runners[0]._note(0.0)
    play_service(world, service)
    loads_at = sorted(store_loads_at(world))
    assert loads_at[0] < 3.5
    assert loads_at[1] > 2.9 + runtime.settings.load_window_s
    assert 0 < permits.store_loads <= len(loads_at)  # a model that was held before is loaded from disk


def test_an_order_that_is_queued_while_the_lease_is_lost_is_not_sent(make_world: MakeWorld) -> None:
    """Guards against sending a queued order without the lease.

    Unresponsive runners use all order slots; when one is free, another process may hold the lease.
    """
    sent: list[Order] = []
    leases: list[HeldLease | None] = [HeldLease(1, 99.0)]
    released = asyncio.Event()

    class BlockedCalls(Calls):
        async def order(self, order: Order, fencing_token: int, begin_by_s: float) -> OrderOutcome:
            sent.append(order)
            await released.wait()
            return OrderOutcome.UNKNOWN

    async def send_orders() -> None:
        service, _ = make_service(world, lambda: leases[0], BlockedCalls(world))
        tasks = [
            asyncio.ensure_future(service._exchange.send_order(load("m", f"r{number}"), 1))
            for number in range(MAX_ORDERS + 1)
        ]
        service.step()
        await asyncio.sleep(0)
        assert len(sent) == MAX_ORDERS
        leases[0] = None
        released.set()
        await asyncio.gather(*tasks)

    world = make_world(9.0)
    asyncio.run(send_orders())
    assert len(sent) == MAX_ORDERS


def test_no_more_orders_are_sent_after_a_fenced_response() -> None:
    sent: list[Order] = []

    class FencedCalls(Calls):
        async def order(self, order: Order, fencing_token: int, begin_by_s: float) -> OrderOutcome:
            sent.append(order)
            return OrderOutcome.FENCED

    deployment = make_deployment([rare_stream(model_names(0, 20), 0.4)], models=20, seconds=12.0)
    play(deployment, calls=FencedCalls)
    assert 1 <= len(sent) <= 4  # the orders of one round


def test_a_new_lease_holder_reads_the_report_of_a_runner_before_its_first_order() -> None:
    seen: list[tuple[str, str]] = []

    class ObservedCalls(Calls):
        async def order(self, order: Order, fencing_token: int, begin_by_s: float) -> OrderOutcome:
            seen.append(("order", order.runner_id))
            return await super().order(order, fencing_token, begin_by_s)

        async def report(self, runner_id: str, address: str) -> RunnerReport | None:
            seen.append(("report", runner_id))
            return await super().report(runner_id, address)

    deployment = make_deployment([rare_stream(model_names(0, 20), 0.2)], models=20, seconds=8.0)
    play(deployment, calls=ObservedCalls)
    for runner_id in {runner_id for kind, runner_id in seen if kind == "order"}:
        assert seen.index(("report", runner_id)) < seen.index(("order", runner_id))


def test_two_successive_lease_holders_never_overload_a_runner() -> None:
    """The second acquires the lease while loads of the first are in progress."""
    deployment = make_deployment([rare_stream(model_names(0, 30), 0.3)], models=30, seconds=20.0, load_s=3.0)
    world = World(deployment, 3)
    services = []
    for fencing_token, begin, end in ((1, 0.0, 7.0), (2, 7.0, 99.0)):

        def lease(
            fencing_token: int = fencing_token, begin: float = begin, end: float = end
        ) -> HeldLease | None:
            return HeldLease(fencing_token, end) if begin <= world.now < end else None

        services.append(make_service(world, lease)[0])

    def step() -> None:
        for service in services:
            service.step()

    def update_runner(record: RunnerRecord) -> None:
        for service in services:
            service.update_runner(record)

    def receive_demand_report(report: DemandReport) -> None:
        for service in services:
            service.receive_demand_report(report)

    world.play(step, update_runner, receive_demand_report)
    assert any(at > 8.0 for runner in world.runners for at, *_ in runner.orders)
    assert_no_rule_broken(world)


def test_expected_completions_are_published_once_and_withdrawn(make_world: MakeWorld) -> None:
    published: list[tuple[RunnerId, dict[str, float]]] = []
    world = make_world(12.0)
    service, _ = make_service(
        world, HeldLease, publish=lambda runner_id, names: published.append((runner_id, names))
    )
    play_service(world, service)
    assert any(0 < ms < 5000 for _, names in published for ms in names.values())
    assert any(ms == UNLOADING_MS for _, names in published for ms in names.values())
    assert any(names == {} for _, names in published)
    assert all(first != second for first, second in zip(published, published[1:], strict=False))
