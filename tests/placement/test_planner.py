"""The next planned load or unload, for one runner without free memory."""

import math
import random

from larchgw.configuration.model import Configuration
from larchgw.placement.demand_tracker import DemandTracker
from larchgw.placement.evictions import MIN_MODEL_RESIDENCE_S
from larchgw.placement.model import Order, OrderAction, PlacementSettings
from larchgw.placement.planner import Planner
from larchgw.placement.reconciler import Reconciler
from larchgw.rpc.generated.ttypes import DemandReport

from .builders import R0, R1, make_configuration, make_reconciler, model_demand, runner_record, runner_report
from .conftest import FakeClock

HELD = ("m0", "m1", "m2")


def make_full_reconciler(clock: FakeClock, configuration: Configuration) -> Reconciler:
    """Returns a reconciler with one runner, which holds three models and has no free memory."""
    reconciler = make_reconciler(configuration)
    reconciler.update_runner(clock.now_s, runner_record(held=HELD))
    reconciler.receive_report(clock.now_s, R0, runner_report(HELD))
    return reconciler


def report_waiting(demand: DemandTracker, *urgency_ms_by_model: tuple[str, int]) -> None:
    """Reports one waiting request for each model, with its remaining time."""
    lines = [
        model_demand(model, arrivals=1, waiting=1, urgency_ms=urgency_ms)
        for model, urgency_ms in urgency_ms_by_model
    ]
    demand.receive_report(DemandReport("e", 100, lines))


def plan(
    clock: FakeClock, demand: DemandTracker, reconciler: Reconciler, configuration: Configuration
) -> list[Order]:
    planner = Planner(PlacementSettings(), random.Random(1))
    return planner.plan(
        clock.now_s, configuration, reconciler.capacities, demand, reconciler.placement_state()
    )


def test_a_load_that_can_meet_its_deadline_precedes_one_that_cannot(
    clock: FakeClock, demand: DemandTracker
) -> None:
    configuration = make_configuration(count=8, load_s=3.0)
    report_waiting(demand, ("m5", 1000), ("m6", 4000))
    reconciler = make_full_reconciler(clock, configuration)
    orders = plan(clock, demand, reconciler, configuration)
    assert [(order.action, order.makes_room_for) for order in orders] == [(OrderAction.UNLOADING, "m6")]


def test_a_model_that_has_just_been_loaded_is_not_evicted(clock: FakeClock, demand: DemandTracker) -> None:
    configuration = make_configuration(count=8)
    report_waiting(demand, ("m5", 4000))
    reconciler = make_full_reconciler(clock, configuration)
    loaded_at_s = reconciler.runners[R0].loaded_at_s
    loaded_at_s.update(dict.fromkeys(HELD, clock.now_s - MIN_MODEL_RESIDENCE_S + 0.1))
    assert plan(clock, demand, reconciler, configuration) == []
    loaded_at_s["m1"] = clock.now_s - MIN_MODEL_RESIDENCE_S
    assert [order.name for order in plan(clock, demand, reconciler, configuration)] == ["m1"]


def test_a_load_in_progress_by_order_of_a_predecessor_is_not_ordered_at_another_runner(
    clock: FakeClock, demand: DemandTracker
) -> None:
    configuration = make_configuration(count=8)
    reconciler = make_reconciler(configuration)
    for runner_id in (R0, R1):
        reconciler.update_runner(clock.now_s, runner_record(runner_id, held=("m0",)))
    reconciler.lease_acquired(
        lambda runner_id: -math.inf, lambda runner_id: ["m5"] if runner_id == R1 else []
    )
    reconciler.receive_report(clock.now_s, R0, runner_report(("m0",)))
    reconciler.receive_report(clock.now_s, R1, runner_report(("m0",), is_occupied=True))
    report_waiting(demand, ("m5", 4000))
    assert plan(clock, demand, reconciler, configuration) == []
    reconciler.receive_report(
        clock.now_s, R1, runner_report(("m0",), order_count=1)
    )  # the predecessor's order has ended without effect
    assert [order.name for order in plan(clock, demand, reconciler, configuration)] == ["m5"]


def test_the_last_holder_of_a_model_that_requests_wait_for_is_not_evicted(
    clock: FakeClock, demand: DemandTracker
) -> None:
    configuration = make_configuration(count=8)
    reconciler = make_full_reconciler(clock, configuration)
    report_waiting(demand, ("m0", 4000), ("m1", 4000), ("m2", 4000), ("m5", 4000))
    assert plan(clock, demand, reconciler, configuration) == []


def test_only_a_model_that_no_request_waits_for_is_evicted(clock: FakeClock, demand: DemandTracker) -> None:
    configuration = make_configuration(count=8)
    reconciler = make_full_reconciler(clock, configuration)
    report_waiting(demand, ("m0", 4000), ("m2", 4000), ("m5", 4000))
    assert [order.name for order in plan(clock, demand, reconciler, configuration)] == ["m1"]
