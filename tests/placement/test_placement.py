"""Placement of models: what an order may never do, and what demand must get, against scripted runners."""

import asyncio
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchgw.configuration.model import Configuration, Model, Runtime, Service
from larchgw.emulator.modelrunner import Capacity
from larchgw.emulator.placing import SERVICE, Deployment, Stream, World
from larchgw.experiments.place import Calls, HeldLease, run_at_once
from larchgw.experiments.place import Service as Driver
from larchgw.placement.completion_publisher import UNLOADING_MS
from larchgw.placement.demand_tracker import EXPIRY_S, DemandTracker, ModelSummary
from larchgw.placement.evictions import MODEL_RESIDENCE_S
from larchgw.placement.load_rate_limit import LoadRateLimiter
from larchgw.placement.model import (
    Order,
    OrderAction,
    OrderOutcome,
    PlacementSettings,
    RunnerReport,
)
from larchgw.placement.order_tracker import BACKOFF_S, NOT_TAKEN_AFTER_S
from larchgw.placement.orders import MAX_ORDERS, decode_report, encode_order, outcome_of
from larchgw.placement.planner import Planner
from larchgw.placement.polls import MAX_POLL_INTERVAL_S
from larchgw.placement.popularity_change import PopularityChange
from larchgw.placement.reconciler import Reconciler
from larchgw.placement.service import PlacementService
from larchgw.placement.service_runtime import PlacementRuntime
from larchgw.rpc.generated.ttypes import DemandReport, ModelDemand
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage

WINDOW_S, CAP = 5.0, 1.1
GB = 1000.0


def line(model="m0", adapter="", arrivals=0, waiting=0, in_flight=0, left_ms=0, worth=0.0):
    return ModelDemand(SERVICE, model, adapter, arrivals, waiting, in_flight, left_ms, worth)


def configuration(count=4, load_s=1.0, weights_mb=70 * GB, adapters=0, room_mb=220 * GB, loads_per_s=2.0):
    models = tuple(Model(f"m{n}", weights_mb, load_s, adapters, 66.0) for n in range(count))
    runtime = Runtime(slots=64, models=models, weights_mb=room_mb, adapter_slots=8, loads_per_s=loads_per_s)
    return Configuration(1, services=(Service(SERVICE, runtime=runtime),))


def record(id="r0", held=(), stage=Stage.READY, zone="z0", address="10.0.0.1:80"):
    models = tuple(HeldModel(name, 1) for name in held)
    return RunnerRecord(id, SERVICE, address, zone, stage, 64, models=models)


def reconciler(config=None, loads_per_s=2.0):
    made = Reconciler(PlacementSettings(), LoadRateLimiter(loads_per_s, WINDOW_S, CAP))
    made.configure(config or configuration())
    return made


def learned(held=("m0",), call_count=0, id="r0"):
    made = reconciler()
    made.update_runner(0.0, record(id, held))
    made.receive_report(0.0, id, told(held, call_count=call_count))
    return made


def told(held=(), occupied=False, call_count=0):
    return RunnerReport({name: frozenset() for name in held}, occupied, call_count)


def load(model, runner="r0", revision=0):
    return Order(runner, "10.0.0.1:80", OrderAction.LOADING, model, if_revision=revision)


def unload(model, runner="r0", revision=0, purpose=""):
    return Order(runner, "10.0.0.1:80", OrderAction.UNLOADING, model, if_revision=revision, purpose=purpose)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


# ---- Demand ----


def test_rate_of_a_model_asked_for_every_25_s_is_not_lost_between_its_requests():
    clock = Clock()
    demand = DemandTracker(clock)
    for second in range(100):
        clock.now = 100.0 + second
        demand.receive_report(DemandReport("e", 1000, [line(arrivals=1)] if second % 25 == 0 else []))
    assert 0.01 < demand.model_requests_per_s(SERVICE, "m0") < 0.1


def test_demand_that_has_moved_away_is_seen_to_be_gone_within_seconds():
    clock = Clock()
    demand = DemandTracker(clock)
    for tick in range(400):
        clock.now = 100.0 + tick * 0.1
        demand.receive_report(
            DemandReport("e", 100, [line(arrivals=1)] if tick < 300 else [line("m1", arrivals=1)])
        )
    assert demand.model_requests_per_s(SERVICE, "m0") < 2.0
    assert 7.0 < demand.model_requests_per_s(SERVICE, "m1") < 13.0


def test_requests_that_waited_at_a_dispatcher_that_went_silent_do_not_wait_for_ever():
    clock = Clock()
    demand = DemandTracker(clock)
    demand.receive_report(DemandReport("e", 100, [line(arrivals=1, waiting=3, left_ms=4000)]))
    asked = demand.by_model(SERVICE)["m0"]
    assert (asked.waiting, asked.deadline_s) == (3, 104.0) == (3, demand.deadline_s((SERVICE, "m0", "")))
    clock.now += EXPIRY_S + 0.1
    assert demand.by_model(SERVICE)["m0"].waiting == 0 and not demand.anyone_waits()


def test_a_dispatcher_that_reports_seldom_does_not_count_as_silent_between_two_reports():
    clock = Clock()
    demand = DemandTracker(clock)
    for _ in range(4):
        demand.receive_report(DemandReport("d1", 2450, [line(in_flight=3)]))
        clock.now += 2.45
        assert demand.in_flight((SERVICE, "m0", "")) == 3
    demand.receive_report(DemandReport("d1", 20, [line(in_flight=3)]))  # an urgent one in between
    clock.now += 2.45
    assert demand.in_flight((SERVICE, "m0", "")) == 3


def test_a_dispatcher_that_says_nothing_of_a_model_any_more_has_nobody_waiting_for_it():
    clock = Clock()
    demand = DemandTracker(clock)
    demand.receive_report(DemandReport("e", 100, [line(waiting=3, in_flight=2, left_ms=4000)]))
    demand.receive_report(DemandReport("e", 100, []))
    assert (demand.waiting((SERVICE, "m0", "")), demand.in_flight((SERVICE, "m0", ""))) == (0, 0)


def test_many_idle_keys_are_forgotten():
    clock = Clock()
    demand = DemandTracker(clock)
    demand.receive_report(DemandReport("e", 100, [line(f"m{n}", arrivals=1) for n in range(800)]))
    clock.now += 300.0
    demand.expire()
    assert demand.model_requests_per_s(SERVICE, "m7") == 0.0 and demand.adapters(SERVICE, "m7") == []


# ---- Ceiling ----


@given(
    st.lists(st.tuples(st.floats(0.0, 0.3), st.floats(0.0, 2.0), st.floats(0.0, 1.0)), max_size=200),
    st.floats(0.2, 8.0),
)
def test_no_window_has_more_loads_than_the_store_allows_however_late_they_begin(sends, loads_per_s):
    """Each load begins at some time between its send and when its outcome is seen."""
    load_limiter = LoadRateLimiter(loads_per_s, WINDOW_S, CAP)
    now, outcomes, begun = 0.0, [], []
    for number, (gap, seen_after, begin_share) in enumerate(sends):
        now += gap
        for at, runner in sorted(entry for entry in outcomes if entry[0] <= now):
            load_limiter.confirm(at, runner)
        outcomes = [entry for entry in outcomes if entry[0] > now]
        if load_limiter.available(now) > 0:
            load_limiter.reserve(now, f"r{number}")
            begun.append(now + begin_share * seen_after)
            outcomes.append((now + seen_after, f"r{number}"))
    begun.sort()
    bound = loads_per_s * WINDOW_S * CAP + 3
    for first in begun:
        assert sum(first <= at <= first + WINDOW_S for at in begun) <= bound


def test_a_new_placer_begins_nothing_while_its_predecessor_may_have_used_the_window():
    load_limiter = LoadRateLimiter(2.0, WINDOW_S, CAP)
    load_limiter.assume_exhausted(10.0)
    assert load_limiter.available(10.0 + WINDOW_S) == 0
    assert load_limiter.available(10.1 + WINDOW_S) == load_limiter.limit


def test_loads_that_another_placer_was_seen_to_begin_count():
    made = reconciler()
    made.update_runner(0.0, record(held=("m0",)), has_lease=False)
    before = made.load_limiter.available(0.0)
    made.update_runner(1.0, record(held=("m0", "m1", "m2")), has_lease=False)
    assert made.load_limiter.available(1.0) == before - 2


# ---- Reconciler ----


def test_memory_of_a_load_counts_from_before_its_order_is_sent():
    made = learned(("m0", "m1"))
    made.start_order(0.0, load("m2"))
    assert not made.runners["r0"].has_capacity_for(made.capacities[SERVICE], "m3")
    assert made.runners["r0"].used_mb(made.capacities[SERVICE]) == 210 * GB


def test_memory_of_a_model_being_unloaded_counts_until_a_report_shows_it_gone():
    made = learned(("m0", "m1", "m2"))
    made.start_order(0.0, unload("m2"))
    made.receive_outcome(0.01, unload("m2"), OrderOutcome.ACCEPTED)
    made.receive_report(0.3, "r0", told(("m0", "m1", "m2"), occupied=True, call_count=1))
    assert not made.runners["r0"].has_capacity_for(made.capacities[SERVICE], "m3")
    made.receive_report(0.6, "r0", told(("m0", "m1"), call_count=1))
    assert made.runners["r0"].has_capacity_for(made.capacities[SERVICE], "m3") and made.runners[
        "r0"
    ].can_take_order(0.6)


def test_a_report_older_than_the_order_does_not_end_it():
    made = learned()
    order = load("m1")
    made.start_order(0.0, order)
    made.receive_outcome(0.01, order, OrderOutcome.ACCEPTED)
    made.receive_report(0.1, "r0", told(("m0",), call_count=0))
    made.receive_report(2.0, "r0", told(("m0",), call_count=0))
    assert made.runners["r0"].order_in_progress is not None


def test_an_order_without_an_answer_counts_as_taken_until_reports_show_otherwise():
    made = learned(("m0", "m1"))
    order = load("m2")
    made.start_order(0.0, order)
    made.receive_outcome(0.8, order, OrderOutcome.UNKNOWN)
    made.receive_report(1.0, "r0", told(("m0", "m1"), call_count=0))
    assert not made.runners["r0"].can_take_order(1.0)
    made.receive_report(NOT_TAKEN_AFTER_S, "r0", told(("m0", "m1"), call_count=0))
    assert made.runners["r0"].can_take_order(NOT_TAKEN_AFTER_S)
    assert made.load_limiter.available(NOT_TAKEN_AFTER_S) == made.load_limiter.limit - 1


def test_an_order_without_an_answer_that_was_taken_is_followed_to_its_end():
    made = learned(("m0",))
    order = load("m1")
    made.start_order(0.0, order)
    made.receive_outcome(0.8, order, OrderOutcome.UNKNOWN)
    made.receive_report(1.0, "r0", told(("m0",), occupied=True, call_count=1))
    made.receive_report(NOT_TAKEN_AFTER_S, "r0", told(("m0",), occupied=True, call_count=1))
    assert made.runners["r0"].order_in_progress is not None
    made.receive_report(2.0, "r0", told(("m0", "m1"), call_count=1))
    assert made.runners["r0"].holds("m1")


def test_an_accepted_adapter_takes_its_place_before_any_report_and_the_next_order_counts_it():
    made = learned(("m0",))
    order = Order("r0", "10.0.0.1:80", OrderAction.LOADING, "m0", "a1", 0)
    made.start_order(0.0, order)
    made.assume_adapters_loaded(1.0)
    assert made.runners["r0"].order_in_progress is not None
    made.receive_outcome(1.0, order, OrderOutcome.ACCEPTED)
    made.assume_adapters_loaded(1.0)
    state = made.runners["r0"]
    assert state.can_take_order(1.0) and (state.order_count, state.used_adapter_slots()) == (1, 1)
    assert made.expected_completions(1.0) == {"r0": {"m0/a1": 1.0}}


def test_after_a_conflict_the_runner_is_asked_before_it_is_ordered_again():
    made = learned()
    order = load("m1")
    made.start_order(0.0, order)
    made.receive_outcome(0.01, order, OrderOutcome.CONFLICT)
    assert not made.runners["r0"].can_take_order(5.0)
    assert [state.id for state in made.due_polls(5.0)] == ["r0"]
    made.receive_report(5.0, "r0", told(("m0", "m3"), call_count=1))
    assert made.runners["r0"].can_take_order(5.0) and made.runners["r0"].order_count == 1


def test_a_refused_order_gives_its_place_at_the_store_back():
    made = learned()
    order = load("m1")
    made.start_order(0.0, order)
    made.receive_outcome(0.01, order, OrderOutcome.UNSENT)
    assert made.load_limiter.available(0.01) == made.load_limiter.limit
    made.receive_report(0.3, "r0", told(("m0",)))
    assert not made.runners["r0"].can_take_order(0.3) and made.runners["r0"].can_take_order(BACKOFF_S + 0.1)


def test_what_another_runner_at_a_reused_address_holds_is_not_taken_for_this_ones():
    made = learned()
    order = load("m1")
    made.start_order(0.0, order)
    made.receive_outcome(0.01, order, OrderOutcome.OTHER_RUNNER)
    assert made.due_polls(60.0) == [] and not made.runners["r0"].can_take_order(60.0)


def test_a_missing_model_for_an_adapter_is_no_other_runner():
    made = learned(("m0",))
    order = Order("r0", "10.0.0.1:80", OrderAction.LOADING, "m0", "a1", 0)
    made.start_order(0.0, order)
    made.receive_outcome(0.01, order, OrderOutcome.OTHER_RUNNER)
    assert [state.id for state in made.due_polls(5.0)] == ["r0"]


def test_a_runner_still_occupied_by_a_predecessors_order_gets_none():
    made = reconciler()
    made.update_runner(0.0, record(held=("m0",)))
    made.receive_report(0.0, "r0", told(("m0",), occupied=True, call_count=3))
    assert not made.runners["r0"].can_take_order(0.0)
    made.receive_report(1.0, "r0", told(("m0", "m1"), call_count=3))
    assert made.runners["r0"].can_take_order(1.0)


def test_a_restarted_runner_is_another_one_whose_orders_are_forgotten():
    made = learned(("m0", "m1"), call_count=4)
    made.update_runner(1.0, record("r0", stage=Stage.GONE))
    made.update_runner(2.0, record("r1"))
    assert "r0" not in made.runners and made.runners["r1"].order_count is None
    made.receive_report(2.1, "r1", told())
    assert made.runners["r1"].order_count == 0
    known = replace(load("m0", "r1"))
    assert made.expected_duration_s(known) < 1.0 and made.runners["r1"].loads_from_store(known)


def test_a_model_that_this_incarnation_had_does_not_count_at_the_store():
    made = learned(("m0", "m1"))
    made.start_order(0.0, unload("m1"))
    made.receive_report(0.5, "r0", told(("m0",), call_count=1))
    made.start_order(1.0, load("m1", revision=1))
    assert made.load_limiter.available(1.0) == made.load_limiter.limit


def test_after_the_lease_was_lost_nothing_is_ordered_before_reports_have_come():
    made = learned()
    made.lease_lost(1.0)
    assert not made.runners["r0"].can_take_order(1.0)
    assert [state.id for state in made.due_polls(1.0)] == ["r0"]


def test_a_large_deployment_is_not_polled_faster_than_it_answers():
    made = reconciler()
    for number in range(300):
        made.update_runner(0.0, record(f"r{number}"))
    asked = {state.id for state in made.due_polls(0.0, limit=64)}
    assert len(asked) == 64
    assert made.due_polls(10.0, asked, limit=0) == []
    assert not asked & {state.id for state in made.due_polls(10.0, asked, limit=300)}


def test_a_runner_with_an_order_under_way_is_polled_before_those_that_are_not_known():
    made = learned()
    for number in range(1, 100):
        made.update_runner(0.0, record(f"r{number}"))
    made.start_order(0.0, load("m1"))
    assert [state.id for state in made.due_polls(10.0, limit=1)] == ["r0"]


def test_polls_of_a_late_order_are_spaced():
    made = learned()
    made.start_order(0.0, load("m1"))
    asked = [t for tick in range(200) if made.due_polls(t := tick * 0.05)]
    assert asked[0] >= 1.0 and len(asked) <= (10.0 - asked[0]) / MAX_POLL_INTERVAL_S + 6


def test_dispatchers_are_told_when_a_load_will_be_done_until_a_check_in_tells_it():
    made = learned(("m0",))
    made.start_order(0.0, load("m1"))
    assert made.expected_completions(0.1) == {"r0": {"m1": pytest.approx(1.03)}}
    made.receive_report(1.2, "r0", told(("m0", "m1"), call_count=1))
    assert made.expected_completions(1.2)["r0"]["m1"] <= 1.2
    made.update_runner(1.5, record(held=("m0", "m1")))
    assert made.expected_completions(1.5) == {}


def test_dispatchers_are_told_that_a_model_is_leaving_until_check_ins_drop_it():
    made = learned(("m0", "m1"))
    made.start_order(0.0, unload("m1"))
    assert made.expected_completions(0.0)["r0"]["m1"] == float("inf")
    made.receive_report(0.5, "r0", told(("m0",), call_count=1))
    assert made.expected_completions(0.5)["r0"]["m1"] == float("inf")
    made.update_runner(1.0, record(held=("m0",)))
    assert made.expected_completions(1.0) == {}


# ---- Orders on the wire ----


def test_an_order_names_its_owner_fence_and_the_orders_before_it():
    order = Order("r0", "a:1", OrderAction.LOADING, "m", "a3", 2)
    assert encode_order(order, "node-7", 41) == (
        b'{"order":"loading","model":"m","owner":"node-7","fence":41,"adapter":"a3","if_revision":2}'
    )


@pytest.mark.parametrize(
    "status, outcome",
    [
        (202, OrderOutcome.ACCEPTED),
        (200, OrderOutcome.ALREADY_HELD),
        (409, OrderOutcome.CONFLICT),
        (412, OrderOutcome.FENCED),
        (400, OrderOutcome.REJECTED),
        (421, OrderOutcome.OTHER_RUNNER),
        (500, OrderOutcome.UNKNOWN),
        (599, OrderOutcome.UNKNOWN),
    ],
)
def test_an_answer_that_does_not_say_so_is_never_read_as_not_taken(status, outcome):
    assert outcome_of(status) is outcome


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"models":[1],"occupied":false,"call_count":1}',
        b'{"models":[],"occupied":false,"call_count":"x"}',
    ],
)
def test_bytes_that_are_no_report_are_none(body):
    assert decode_report(body) is None


def test_a_report_is_read():
    body = (
        b'{"phase":"both","models":[{"name":"d","config_version":1,"adapters":["a1"]}],"occupied":true,'
        b'"call_count":2,"queued":1,"in_progress":12,"cache_used":1,"cache_total":9,"takes":0}'
    )
    assert decode_report(body) == RunnerReport({"d": frozenset({"a1"})}, True, 2, 1, 12)


# ---- The service against scripted runners ----


def deployment(
    streams,
    models=12,
    runners=4,
    load_s=1.0,
    seconds=30.0,
    adapters=0,
    loads_per_s=3.0,
    losses=(),
    room_mb=230 * GB,
):
    known = tuple(Model(f"m{n}", 72.7 * GB, load_s, adapters, 66.0) for n in range(models))
    return Deployment(
        known,
        tuple(streams),
        runners,
        3,
        Capacity(room_mb),
        loads_per_s,
        max(round(loads_per_s * load_s), 3),
        seconds,
        losses,
    )


def busy(models, rate=10.0, starts=0.0, ends=1e9, adapter_share=0.0):
    return Stream(models, (1.0,) * len(models), rate, 1.0, 0.8, 5.0, adapter_share, starts, ends)


def rare(models, rate=0.04, aim_s=3.0):
    return Stream(models, (1.0,) * len(models), rate * len(models), 3.0, aim_s, 8.0)


def played(made, seed=1, calls=None, around=None):
    world = World(made, seed)
    driver = Driver(world, seed)
    if calls is not None:
        driver.service._exchange._runtime.calls = calls(world)
    step = driver.step if around is None else lambda: around(world, driver)
    world.play(step, driver.update_runner, driver.receive_demand_report)
    return world


def in_time(asked):
    asked = list(asked)
    return sum(request.in_time for request in asked) / len(asked)


def names(first, last):
    return tuple(f"m{n}" for n in range(first, last))


def no_rule_broken(world):
    made = world.deployment
    assert not any(runner.fallen for runner in world.runners)
    assert world.store.most_in(WINDOW_S) <= made.loads_per_s * WINDOW_S * CAP + 3


def test_rare_models_that_are_nowhere_are_served_within_their_load_time():
    world = played(deployment([busy(("m0", "m1")), rare(names(2, 24))], models=24))
    asked = [request for request in world.asked if request.worth == 3.0]
    assert in_time(asked) > 0.9
    no_rule_broken(world)


def test_no_model_that_is_asked_for_again_and_again_starves():
    world = played(deployment([busy(("m0", "m1")), rare(names(2, 40), 0.1)], models=40, seconds=40.0))
    served = {request.model for request in world.asked if request.begun_at >= 0}
    often = {name for name in names(0, 40) if sum(r.model == name for r in world.asked) >= 4}
    assert often and often <= served
    no_rule_broken(world)


def test_steady_demand_that_fits_is_left_alone():
    world = played(deployment([busy(("m0",), 5.0), rare(names(1, 6))], models=6, seconds=40.0))
    late = [order for runner in world.runners for order in runner.orders if order[0] > 15.0]
    assert len(late) <= 1


def test_demand_that_moves_to_other_models_is_followed():
    streams = [busy(("m0", "m1"), 20.0, 0.0, 15.0), busy(("m6", "m7"), 20.0, 15.0), rare(names(12, 16))]
    world = played(deployment(streams, models=16, load_s=2.0))
    settled = [request for request in world.asked if request.at > 20.0 and request.worth == 1.0]
    assert in_time(settled) > 0.95
    assert all(sum(name in runner.held for runner in world.runners) >= 2 for name in ("m6", "m7"))
    no_rule_broken(world)


def test_models_of_a_lost_runner_are_placed_again_and_the_empty_one_is_filled():
    world = played(
        deployment([busy(("m0", "m1"), 15.0), rare(names(2, 10))], models=10, losses=((10.0, 0, 5.0),))
    )
    after = [request for request in world.asked if request.at > 11.0]
    assert in_time(after) > 0.9
    assert world.runners[0].held
    no_rule_broken(world)


def test_adapters_are_loaded_on_request_and_never_beyond_a_runners_places():
    world = played(deployment([busy(("m0",), 10.0, adapter_share=0.7)], models=2, adapters=30))
    asked = [request for request in world.asked if request.adapter and request.at > 10.0]
    assert in_time(asked) > 0.8
    assert any(len(runner.held.get("m0", ())) >= 5 for runner in world.runners)
    no_rule_broken(world)


class LossyCalls(Calls):
    """Loses answers: of an order that was taken, and of one that never arrived."""

    def __init__(self, world):
        super().__init__(world)
        self._dice = random.Random(5)

    async def order(self, order, fence):
        fate = self._dice.random()
        if fate < 0.15:
            return OrderOutcome.UNKNOWN
        outcome = await super().order(order, fence)
        return OrderOutcome.UNKNOWN if fate < 0.3 else outcome

    async def report(self, runner, address):
        return None if self._dice.random() < 0.2 else await super().report(runner, address)


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 10**6), st.integers(3, 6), st.sampled_from([0.6, 3.0]), st.floats(0.5, 3.0))
def test_no_runner_is_ever_overloaded_and_no_window_overdrawn(seed, runners, load_s, loads_per_s):
    streams = [
        busy(("m0", "m1"), 8.0, 0.0, 8.0, 0.4),
        busy(("m2", "m3"), 8.0, 8.0, 99.0, 0.4),
        rare(names(4, 20), 0.2),
    ]
    made = deployment(
        streams,
        models=20,
        runners=runners,
        load_s=load_s,
        seconds=16.0,
        adapters=12,
        loads_per_s=loads_per_s,
        losses=((5.0, seed % runners, 3.0),),
    )
    no_rule_broken(played(made, seed, LossyCalls))


def test_lost_answers_do_not_stop_placement():
    world = played(deployment([busy(("m0", "m1")), rare(names(2, 20))], models=20), calls=LossyCalls)
    assert in_time(request for request in world.asked if request.worth == 3.0) > 0.6


def test_nothing_is_ordered_without_the_lease():
    world = World(deployment([rare(names(0, 20), 0.2)], models=20, seconds=5.0), 1)
    runtime = PlacementRuntime(lambda: world.now, lambda: None, Calls(world), spawn=run_at_once)
    service = PlacementService(runtime)
    service.configure(world.deployment.configuration())
    world.play(service.step, service.update_runner, service.receive_demand_report)
    assert (world.orders, world.probes) == (0, 0)


def test_no_order_is_sent_that_may_arrive_after_the_lease_has_ended():
    world = World(deployment([rare(names(0, 20), 0.2)], models=20, seconds=9.0), 1)
    runtime = PlacementRuntime(lambda: world.now, lambda: HeldLease(1, 5.0), Calls(world), spawn=run_at_once)
    service = PlacementService(runtime)
    service.configure(world.deployment.configuration())
    world.play(service.step, service.update_runner, service.receive_demand_report)
    sent = [order[0] for runner in world.runners for order in runner.orders]
    assert sent and max(sent) <= 5.0 - runtime.settings.order_timeout_s


def test_an_order_that_waited_for_a_place_until_the_lease_was_lost_is_not_sent():
    """Runners that stay silent hold all places; when one is free, another placer may have ordered."""
    sent, lease = [], [HeldLease(1, 99.0)]

    class Silent(Calls):
        async def order(self, order, fence):
            sent.append(order)
            await released.wait()
            return OrderOutcome.UNKNOWN

    async def play():
        service = PlacementService(runtime)
        tasks = [
            asyncio.ensure_future(service._exchange.send_order(load("m", f"r{number}"), 1))
            for number in range(MAX_ORDERS + 1)
        ]
        service.step()
        await asyncio.sleep(0)
        assert len(sent) == MAX_ORDERS
        lease[0] = None
        released.set()
        await asyncio.gather(*tasks)

    released = asyncio.Event()
    world = World(deployment([rare(names(0, 20), 0.2)], models=20, seconds=9.0), 1)
    runtime = PlacementRuntime(lambda: world.now, lambda: lease[0], Silent(world), spawn=run_at_once)
    asyncio.run(play())
    assert len(sent) == MAX_ORDERS


def test_a_placer_that_a_runner_has_refused_for_a_newer_one_orders_nothing_more():
    sent = []

    class Superseded(Calls):
        async def order(self, order, fence):
            sent.append(order)
            return OrderOutcome.FENCED

    played(deployment([rare(names(0, 20), 0.4)], models=20, seconds=12.0), calls=Superseded)
    assert 1 <= len(sent) <= 4  # those of one round


def test_requests_that_a_load_can_still_serve_go_before_those_that_it_can_not():
    clock = Clock()
    demand = DemandTracker(clock)
    config = configuration(count=8, load_s=3.0)
    demand.receive_report(
        DemandReport(
            "e",
            100,
            [
                line("m5", arrivals=1, waiting=1, left_ms=1000),
                line("m6", arrivals=1, waiting=1, left_ms=4000),
            ],
        )
    )
    made = reconciler(config)
    made.update_runner(0.0, record(held=("m0", "m1", "m2")))
    made.receive_report(0.0, "r0", told(("m0", "m1", "m2")))
    plan = Planner(PlacementSettings(), random.Random(1)).plan
    orders = plan(clock.now, config, made.capacities, demand, made.placement_state())
    assert [(order.action, order.purpose) for order in orders] == [(OrderAction.UNLOADING, "m6")]


def test_a_predecessors_order_under_way_is_counted_once_however_often_it_is_seen():
    made = reconciler()
    made.update_runner(0.0, record(held=("m0",)))
    for second in range(4):
        made.receive_report(float(second), "r0", told(("m0",), occupied=True, call_count=3))
    assert made.load_limiter.available(4.0) == made.load_limiter.limit - 1


def test_a_new_holder_reads_every_report_before_its_first_order_there():
    seen = []

    class Watched(Calls):
        async def order(self, order, fence):
            seen.append(("order", order.runner_id))
            return await super().order(order, fence)

        async def report(self, runner, address):
            seen.append(("report", runner))
            return await super().report(runner, address)

    played(deployment([rare(names(0, 20), 0.2)], models=20, seconds=8.0), calls=Watched)
    for runner in {runner for kind, runner in seen if kind == "order"}:
        assert seen.index(("report", runner)) < seen.index(("order", runner))


def test_two_holders_in_turn_never_overload_a_runner():
    """The second takes over while loads of the first are under way."""
    world = World(deployment([rare(names(0, 30), 0.3)], models=30, seconds=20.0, load_s=3.0), 3)
    services = []
    for fence, begin, end in ((1, 0.0, 7.0), (2, 7.0, 99.0)):

        def lease(fence=fence, begin=begin, end=end):
            return HeldLease(fence, end) if begin <= world.now < end else None

        service = PlacementService(
            PlacementRuntime(lambda: world.now, lease, Calls(world), spawn=run_at_once)
        )
        service.configure(world.deployment.configuration())
        services.append(service)
    world.play(
        lambda: [service.step() for service in services],
        lambda known: [service.update_runner(known) for service in services],
        lambda report: [service.receive_demand_report(report) for service in services],
    )
    assert any(at > 8.0 for runner in world.runners for at, *_ in runner.orders)
    no_rule_broken(world)


def test_expectations_are_published_once_and_withdrawn():
    published = []
    world = World(deployment([rare(names(0, 20), 0.2)], models=20, seconds=12.0), 1)
    runtime = PlacementRuntime(
        lambda: world.now,
        HeldLease,
        Calls(world),
        spawn=run_at_once,
        publish=lambda runner, names: published.append((runner, names)),
    )
    service = PlacementService(runtime)
    service.configure(world.deployment.configuration())
    world.play(service.step, service.update_runner, service.receive_demand_report)
    assert any(0 < ms < 5000 for _, names in published for ms in names.values())
    assert any(ms == UNLOADING_MS for _, names in published for ms in names.values())
    assert any(names == {} for _, names in published)
    assert all(first != second for first, second in zip(published, published[1:], strict=False))


# ---- Where demand may move ----


def asked(rate):
    return ModelSummary(rate, 1.0, 0, 0, float("inf"))


def test_a_model_that_was_busy_is_likelier_to_rise_again_than_a_rare_one():
    shifts = PopularityChange(0.5)
    names = ("m0", "m1", "m2", "m3")
    shifts.observe(0.0, names, {"m0": asked(10.0), "m1": asked(0.05)})
    shifts.observe(10.0, names, {"m0": asked(0.01), "m1": asked(0.05), "m2": asked(8.0)})
    again, rarely, never = (shifts.expected_value_per_s(name, 15.0) for name in ("m0", "m1", "m3"))
    assert again > never > rarely > 0.0
    assert shifts.expected_value_per_s("m2", 15.0) > never


def test_a_model_that_becomes_busy_again_is_still_held_somewhere():
    streams = [
        busy(("m0",), 15.0, 0.0, 10.0),
        busy(("m1",), 15.0, 10.0, 20.0),
        busy(("m0",), 15.0, 20.0),
        rare(names(2, 24), 0.1),
    ]
    world = played(deployment(streams, models=24, load_s=3.0))
    first = [request for request in world.asked if 20.0 <= request.at < 23.0 and request.worth == 1.0]
    assert in_time(first) > 0.9


# ---- Evictions ----


def orders_for(clock, demand, made, config):
    return Planner(PlacementSettings(), random.Random(1)).plan(
        clock.now, config, made.capacities, demand, made.placement_state()
    )


def full_runner(clock, waiting):
    """One runner with three models, and requests that wait for the named ones."""
    demand, config = DemandTracker(clock), configuration(count=8)
    demand.receive_report(
        DemandReport("e", 100, [line(name, arrivals=1, waiting=1, left_ms=4000) for name in waiting])
    )
    made = reconciler(config)
    made.update_runner(clock.now, record(held=("m0", "m1", "m2")))
    made.receive_report(clock.now, "r0", told(("m0", "m1", "m2")))
    return demand, config, made


def test_a_model_that_has_just_been_loaded_is_not_given_up_before_its_requests_come():
    clock = Clock()
    demand, config, made = full_runner(clock, ("m5",))
    made.runners["r0"].loaded_at_s = dict.fromkeys(("m0", "m1", "m2"), clock.now - MODEL_RESIDENCE_S + 0.1)
    assert orders_for(clock, demand, made, config) == []
    made.runners["r0"].loaded_at_s["m1"] = clock.now - MODEL_RESIDENCE_S
    assert [order.name for order in orders_for(clock, demand, made, config)] == ["m1"]


def test_the_last_holder_of_a_model_that_requests_wait_for_is_never_given_up():
    clock = Clock()
    demand, config, made = full_runner(clock, ("m0", "m1", "m2", "m5"))
    assert orders_for(clock, demand, made, config) == []
    demand, config, made = full_runner(clock, ("m0", "m2", "m5"))
    assert [order.name for order in orders_for(clock, demand, made, config)] == ["m1"]
