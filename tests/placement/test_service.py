"""The placement service under a lease that ends, changes hands or was never held, and what it publishes."""

import asyncio

import pytest

from larchgw.emulator.placing import World
from larchgw.experiments.place import Calls, HeldLease, run_at_once
from larchgw.placement.completion_publisher import UNLOADING_MS
from larchgw.placement.model import OrderOutcome
from larchgw.placement.orders import MAX_ORDERS
from larchgw.placement.service import PlacementService
from larchgw.placement.service_runtime import PlacementRuntime

from .builders import load
from .deployments import assert_no_rule_broken, make_deployment, model_names, play, rare_stream


@pytest.fixture
def make_world():
    """Makes a world of rare models that need loads all the time."""

    def make(seconds):
        return World(make_deployment([rare_stream(model_names(0, 20), 0.2)], models=20, seconds=seconds), 1)

    return make


def make_service(world, lease, calls=None, **options):
    """A service in the world's virtual time, and its runtime."""
    runtime = PlacementRuntime(lambda: world.now, lease, calls or Calls(world), spawn=run_at_once, **options)
    service = PlacementService(runtime)
    service.configure(world.deployment.configuration())
    return service, runtime


def play_service(world, service):
    world.play(service.step, service.update_runner, service.receive_demand_report)


def test_nothing_is_ordered_without_the_lease(make_world):
    world = make_world(5.0)
    service, _ = make_service(world, lambda: None)
    play_service(world, service)
    assert (world.orders, world.probes) == (0, 0)


def test_no_order_is_sent_that_may_arrive_after_the_lease_has_ended(make_world):
    world = make_world(9.0)
    service, runtime = make_service(world, lambda: HeldLease(1, 5.0))
    play_service(world, service)
    sent_at = [order[0] for runner in world.runners for order in runner.orders]
    assert sent_at
    assert max(sent_at) <= 5.0 - runtime.settings.order_timeout_s


def test_an_order_that_was_queued_until_the_lease_was_lost_is_not_sent(make_world):
    """Runners that give no answer take up all slots; when one is free, another process may have ordered."""
    sent, leases = [], [HeldLease(1, 99.0)]
    answered = asyncio.Event()

    class UnansweredCalls(Calls):
        async def order(self, order, fencing_token):
            sent.append(order)
            await answered.wait()
            return OrderOutcome.UNKNOWN

    async def send_orders():
        service, _ = make_service(world, lambda: leases[0], UnansweredCalls(world))
        tasks = [
            asyncio.ensure_future(service._exchange.send_order(load("m", f"r{number}"), 1))
            for number in range(MAX_ORDERS + 1)
        ]
        service.step()
        await asyncio.sleep(0)
        assert len(sent) == MAX_ORDERS
        leases[0] = None
        answered.set()
        await asyncio.gather(*tasks)

    world = make_world(9.0)
    asyncio.run(send_orders())
    assert len(sent) == MAX_ORDERS


def test_after_an_answer_that_a_higher_fencing_token_was_seen_nothing_more_is_ordered():
    sent = []

    class FencedCalls(Calls):
        async def order(self, order, fencing_token):
            sent.append(order)
            return OrderOutcome.FENCED

    deployment = make_deployment([rare_stream(model_names(0, 20), 0.4)], models=20, seconds=12.0)
    play(deployment, calls=FencedCalls)
    assert 1 <= len(sent) <= 4  # those of one round


def test_a_new_holder_reads_every_report_before_its_first_order_there():
    seen = []

    class ObservedCalls(Calls):
        async def order(self, order, fencing_token):
            seen.append(("order", order.runner_id))
            return await super().order(order, fencing_token)

        async def report(self, runner_id, address):
            seen.append(("report", runner_id))
            return await super().report(runner_id, address)

    deployment = make_deployment([rare_stream(model_names(0, 20), 0.2)], models=20, seconds=8.0)
    play(deployment, calls=ObservedCalls)
    for runner_id in {runner_id for kind, runner_id in seen if kind == "order"}:
        assert seen.index(("report", runner_id)) < seen.index(("order", runner_id))


def test_two_holders_in_turn_never_overload_a_runner():
    """The second takes over while loads of the first are in progress."""
    deployment = make_deployment([rare_stream(model_names(0, 30), 0.3)], models=30, seconds=20.0, load_s=3.0)
    world = World(deployment, 3)
    services = []
    for fencing_token, begin, end in ((1, 0.0, 7.0), (2, 7.0, 99.0)):

        def lease(fencing_token=fencing_token, begin=begin, end=end):
            return HeldLease(fencing_token, end) if begin <= world.now < end else None

        services.append(make_service(world, lease)[0])
    world.play(
        lambda: [service.step() for service in services],
        lambda record: [service.update_runner(record) for service in services],
        lambda report: [service.receive_demand_report(report) for service in services],
    )
    assert any(at > 8.0 for runner in world.runners for at, *_ in runner.orders)
    assert_no_rule_broken(world)


def test_expected_completions_are_published_once_and_withdrawn(make_world):
    published = []
    world = make_world(12.0)
    service, _ = make_service(
        world, HeldLease, publish=lambda runner_id, names: published.append((runner_id, names))
    )
    play_service(world, service)
    assert any(0 < ms < 5000 for _, names in published for ms in names.values())
    assert any(ms == UNLOADING_MS for _, names in published for ms in names.values())
    assert any(names == {} for _, names in published)
    assert all(first != second for first, second in zip(published, published[1:], strict=False))
