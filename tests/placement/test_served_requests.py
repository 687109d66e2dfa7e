"""Requests served in time, and limits that orders must never exceed, in simulated deployments."""

from hypothesis import given, settings
from hypothesis import strategies as st

from .deployments import (
    BUSY_WORTH,
    RARE_WORTH,
    LossyCalls,
    assert_no_rule_broken,
    busy_stream,
    make_deployment,
    model_names,
    play,
    rare_stream,
    share_in_time,
)


def test_requests_for_rare_models_without_holders_are_served_in_time() -> None:
    streams = [busy_stream(("m0", "m1")), rare_stream(model_names(2, 24))]
    world = play(make_deployment(streams, models=24))
    assert share_in_time(request for request in world.asked if request.worth == RARE_WORTH) > 0.9
    assert_no_rule_broken(world)


def test_each_model_that_is_requested_repeatedly_is_served() -> None:
    streams = [busy_stream(("m0", "m1")), rare_stream(model_names(2, 40), 0.1)]
    world = play(make_deployment(streams, models=40, seconds=40.0))
    served = {request.model for request in world.asked if request.begun_at >= 0}
    requested_often = {
        name for name in model_names(0, 40) if sum(request.model == name for request in world.asked) >= 4
    }
    assert requested_often
    assert requested_often <= served
    assert_no_rule_broken(world)


def test_steady_demand_that_fits_causes_at_most_one_order_after_the_start() -> None:
    streams = [busy_stream(("m0",), 5.0), rare_stream(model_names(1, 6))]
    world = play(make_deployment(streams, models=6, seconds=40.0))
    late = [order for runner in world.runners for order in runner.orders if order[0] > 15.0]
    assert len(late) <= 1


def test_placement_follows_demand_that_moves_to_other_models() -> None:
    streams = [
        busy_stream(("m0", "m1"), 20.0, 0.0, 15.0),
        busy_stream(("m6", "m7"), 20.0, 15.0),
        rare_stream(model_names(12, 16)),
    ]
    world = play(make_deployment(streams, models=16, load_s=2.0))
    after = [request for request in world.asked if request.at > 20.0 and request.worth == BUSY_WORTH]
    assert share_in_time(after) > 0.95
    assert all(sum(name in runner.held for runner in world.runners) >= 2 for name in ("m6", "m7"))
    assert_no_rule_broken(world)


def test_models_of_a_lost_runner_are_placed_again_and_the_empty_one_is_filled() -> None:
    streams = [busy_stream(("m0", "m1"), 15.0), rare_stream(model_names(2, 10))]
    world = play(make_deployment(streams, models=10, losses=((10.0, 0, 5.0),)))
    assert share_in_time(request for request in world.asked if request.at > 11.0) > 0.9
    assert world.runners[0].held
    assert_no_rule_broken(world)


def test_adapters_are_loaded_on_request_and_never_beyond_a_runners_slots() -> None:
    streams = [busy_stream(("m0",), 10.0, adapter_share=0.7)]
    world = play(make_deployment(streams, models=2, adapters=30))
    after = [request for request in world.asked if request.adapter and request.at > 10.0]
    assert share_in_time(after) > 0.8
    assert any(len(runner.held.get("m0", ())) >= 5 for runner in world.runners)
    assert_no_rule_broken(world)


def test_a_model_that_becomes_busy_again_is_still_held_somewhere() -> None:
    streams = [
        busy_stream(("m0",), 15.0, 0.0, 10.0),
        busy_stream(("m1",), 15.0, 10.0, 20.0),
        busy_stream(("m0",), 15.0, 20.0),
        rare_stream(model_names(2, 24), 0.1),
    ]
    world = play(make_deployment(streams, models=24, load_s=3.0))
    first = [request for request in world.asked if 20.0 <= request.at < 23.0 and request.worth == BUSY_WORTH]
    assert share_in_time(first) > 0.9


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 10**6), st.integers(3, 6), st.sampled_from([0.6, 3.0]), st.floats(0.5, 3.0))
def test_no_runner_exceeds_its_memory_and_no_window_exceeds_the_load_limit(
    seed: int, runners: int, load_s: float, loads_per_s: float
) -> None:
    streams = [
        busy_stream(("m0", "m1"), 8.0, 0.0, 8.0, 0.4),
        busy_stream(("m2", "m3"), 8.0, 8.0, 99.0, 0.4),
        rare_stream(model_names(4, 20), 0.2),
    ]
    deployment = make_deployment(
        streams,
        models=20,
        runners=runners,
        load_s=load_s,
        seconds=16.0,
        adapters=12,
        loads_per_s=loads_per_s,
        losses=((5.0, seed % runners, 3.0),),
    )
    assert_no_rule_broken(play(deployment, seed, LossyCalls))


def test_lost_responses_do_not_stop_placement() -> None:
    streams = [busy_stream(("m0", "m1")), rare_stream(model_names(2, 20))]
    world = play(make_deployment(streams, models=20), calls=LossyCalls)
    assert share_in_time(request for request in world.asked if request.worth == RARE_WORTH) > 0.6
