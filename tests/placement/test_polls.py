"""Which runners are polled for a report, and how often."""

from larchgw.placement.polls import MAX_POLL_INTERVAL_S

from .builders import load, make_identified, make_reconciler, runner_record


def test_a_large_deployment_is_not_polled_faster_than_it_responds() -> None:
    reconciler = make_reconciler()
    for number in range(300):
        reconciler.update_runner(0.0, runner_record(f"r{number}"))
    pending = {state.id for state in reconciler.due_polls(0.0, limit=64)}
    assert len(pending) == 64
    assert reconciler.due_polls(10.0, pending, limit=0) == []
    assert not pending & {state.id for state in reconciler.due_polls(10.0, pending, limit=300)}


def test_a_runner_with_an_order_in_progress_is_polled_before_unidentified_ones() -> None:
    reconciler = make_identified()
    for number in range(1, 100):
        reconciler.update_runner(0.0, runner_record(f"r{number}"))
    reconciler.start_order(0.0, load("m1"))
    assert [state.id for state in reconciler.due_polls(10.0, limit=1)] == ["r0"]


def test_polls_of_a_late_order_are_spaced_by_the_maximum_interval() -> None:
    reconciler = make_identified()
    reconciler.start_order(0.0, load("m1"))
    polled_at = [now_s for tick in range(200) if reconciler.due_polls(now_s := tick * 0.05)]
    assert polled_at[0] >= 1.0
    assert len(polled_at) <= (10.0 - polled_at[0]) / MAX_POLL_INTERVAL_S + 6
