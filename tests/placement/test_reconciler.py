"""The state of runners after orders, their outcomes, reports and check-ins."""

import pytest

from larchgw.emulator.placing import SERVICE
from larchgw.identifiers import RunnerId
from larchgw.placement.errors import InvalidStateError
from larchgw.placement.model import OrderOutcome
from larchgw.placement.order_tracker import BACKOFF_S, NOT_ACCEPTED_TIMEOUT_S
from larchgw.placement.runner_state import RunnerPhase
from larchgw.runner_directory.runner_record import Stage

from .builders import (
    MB_PER_GB,
    R0,
    R1,
    load,
    make_identified,
    make_reconciler,
    runner_record,
    runner_report,
    unload,
)

R9 = RunnerId("r9")

# ---- Memory ----


def test_memory_of_a_load_counts_from_before_its_order_is_sent() -> None:
    reconciler = make_identified(("m0", "m1"))
    reconciler.start_order(0.0, load("m2"))
    capacity = reconciler.capacities[SERVICE]
    assert not reconciler.runners[R0].has_capacity_for(capacity, "m3")
    assert reconciler.runners[R0].used_mb(capacity) == 210 * MB_PER_GB


def test_memory_of_a_model_being_unloaded_counts_until_a_report_shows_it_gone() -> None:
    reconciler = make_identified(("m0", "m1", "m2"))
    capacity = reconciler.capacities[SERVICE]
    reconciler.start_order(0.0, unload("m2"))
    reconciler.receive_outcome(0.01, unload("m2"), OrderOutcome.ACCEPTED)
    reconciler.receive_report(0.3, R0, runner_report(("m0", "m1", "m2"), is_occupied=True, order_count=1))
    assert not reconciler.runners[R0].has_capacity_for(capacity, "m3")
    reconciler.receive_report(0.6, R0, runner_report(("m0", "m1"), order_count=1))
    assert reconciler.runners[R0].has_capacity_for(capacity, "m3")
    assert reconciler.runners[R0].can_take_order(0.6)


# ---- Outcomes of orders ----


def test_a_report_older_than_the_order_does_not_end_it() -> None:
    reconciler = make_identified()
    order = load("m1")
    reconciler.start_order(0.0, order)
    reconciler.receive_outcome(0.01, order, OrderOutcome.ACCEPTED)
    reconciler.receive_report(0.1, R0, runner_report(("m0",), order_count=0))
    reconciler.receive_report(2.0, R0, runner_report(("m0",), order_count=0))
    assert reconciler.runners[R0].order_in_progress is not None


def test_an_order_without_a_response_counts_as_accepted_until_reports_show_otherwise() -> None:
    reconciler = make_identified(("m0", "m1"))
    order = load("m2")
    reconciler.start_order(0.0, order)
    reconciler.receive_outcome(0.8, order, OrderOutcome.UNKNOWN)
    reconciler.receive_report(1.0, R0, runner_report(("m0", "m1"), order_count=0))
    assert not reconciler.runners[R0].can_take_order(1.0)
    reconciler.receive_report(NOT_ACCEPTED_TIMEOUT_S, R0, runner_report(("m0", "m1"), order_count=0))
    assert reconciler.runners[R0].can_take_order(NOT_ACCEPTED_TIMEOUT_S)
    limiter = reconciler.load_limiter
    assert limiter.available(NOT_ACCEPTED_TIMEOUT_S) == limiter.limit - 1


def test_an_accepted_order_without_a_response_is_tracked_to_its_end() -> None:
    reconciler = make_identified(("m0",))
    order = load("m1")
    reconciler.start_order(0.0, order)
    reconciler.receive_outcome(0.8, order, OrderOutcome.UNKNOWN)
    loading = runner_report(("m0",), is_occupied=True, order_count=1)
    reconciler.receive_report(1.0, R0, loading)
    reconciler.receive_report(NOT_ACCEPTED_TIMEOUT_S, R0, loading)
    assert reconciler.runners[R0].order_in_progress is not None
    reconciler.receive_report(2.0, R0, runner_report(("m0", "m1"), order_count=1))
    assert reconciler.runners[R0].holds("m1")


def test_an_accepted_adapter_counts_as_loaded_when_due_without_a_report() -> None:
    reconciler = make_identified(("m0",))
    order = load("m0", adapter="a1")
    reconciler.start_order(0.0, order)
    reconciler.assume_adapters_loaded(1.0)
    assert reconciler.runners[R0].order_in_progress is not None
    reconciler.receive_outcome(1.0, order, OrderOutcome.ACCEPTED)
    reconciler.assume_adapters_loaded(1.0)
    state = reconciler.runners[R0]
    assert state.can_take_order(1.0)
    assert (state.order_count, state.used_adapter_slots()) == (1, 1)
    assert reconciler.expected_completions(1.0) == {"r0": {"m0/a1": 1.0}}


def test_after_a_conflict_the_runner_is_polled_before_its_next_order() -> None:
    reconciler = make_identified()
    order = load("m1")
    reconciler.start_order(0.0, order)
    reconciler.receive_outcome(0.01, order, OrderOutcome.CONFLICT)
    assert not reconciler.runners[R0].can_take_order(5.0)
    assert [state.id for state in reconciler.due_polls(5.0)] == ["r0"]
    reconciler.receive_report(5.0, R0, runner_report(("m0", "m3"), order_count=1))
    assert reconciler.runners[R0].can_take_order(5.0)
    assert reconciler.runners[R0].order_count == 1


def test_a_rejected_order_releases_its_load_reservation() -> None:
    reconciler = make_identified()
    order = load("m1")
    reconciler.start_order(0.0, order)
    reconciler.receive_outcome(0.01, order, OrderOutcome.UNSENT)
    assert reconciler.load_limiter.available(0.01) == reconciler.load_limiter.limit
    reconciler.receive_report(0.3, R0, runner_report(("m0",)))
    assert not reconciler.runners[R0].can_take_order(0.3)
    assert reconciler.runners[R0].can_take_order(BACKOFF_S + 0.1)


def test_a_runner_whose_address_is_reused_is_neither_polled_nor_ordered() -> None:
    reconciler = make_identified()
    order = load("m1")
    reconciler.start_order(0.0, order)
    reconciler.receive_outcome(0.01, order, OrderOutcome.OTHER_RUNNER)
    assert reconciler.due_polls(60.0) == []
    assert not reconciler.runners[R0].can_take_order(60.0)


def test_a_421_for_an_adapter_does_not_stop_polls() -> None:
    reconciler = make_identified(("m0",))
    order = load("m0", adapter="a1")
    reconciler.start_order(0.0, order)
    reconciler.receive_outcome(0.01, order, OrderOutcome.OTHER_RUNNER)
    assert [state.id for state in reconciler.due_polls(5.0)] == ["r0"]


# ---- Other processes and incarnations ----


def test_a_runner_occupied_by_a_predecessors_order_gets_no_order() -> None:
    reconciler = make_reconciler()
    reconciler.update_runner(0.0, runner_record(held=("m0",)))
    reconciler.receive_report(0.0, R0, runner_report(("m0",), is_occupied=True, order_count=3))
    assert not reconciler.runners[R0].can_take_order(0.0)
    reconciler.receive_report(1.0, R0, runner_report(("m0", "m1"), order_count=3))
    assert reconciler.runners[R0].can_take_order(1.0)


def test_a_predecessors_order_in_progress_is_counted_once_however_often_it_is_reported() -> None:
    reconciler = make_reconciler()
    reconciler.update_runner(0.0, runner_record(held=("m0",)))
    for second in range(4):
        occupied = runner_report(("m0",), is_occupied=True, order_count=3)
        reconciler.receive_report(float(second), R0, occupied)
    assert reconciler.load_limiter.available(4.0) == reconciler.load_limiter.limit - 1


def test_a_restarted_runner_is_a_new_runner_without_earlier_orders() -> None:
    reconciler = make_identified(("m0", "m1"), order_count=4)
    reconciler.update_runner(1.0, runner_record("r0", stage=Stage.GONE))
    reconciler.update_runner(2.0, runner_record("r1"))
    assert "r0" not in reconciler.runners
    assert reconciler.runners[R1].order_count is None
    reconciler.receive_report(2.1, R1, runner_report())
    assert reconciler.runners[R1].order_count == 0
    order = load("m0", "r1")
    assert reconciler.expected_duration_s(order) < 1.0
    assert reconciler.runners[R1].loads_from_store(order)


def test_a_model_on_this_incarnations_disk_does_not_count_at_the_store() -> None:
    reconciler = make_identified(("m0", "m1"))
    reconciler.start_order(0.0, unload("m1"))
    reconciler.receive_report(0.5, R0, runner_report(("m0",), order_count=1))
    reconciler.start_order(1.0, load("m1", revision=1))
    assert reconciler.load_limiter.available(1.0) == reconciler.load_limiter.limit


def test_after_the_lease_was_lost_no_order_is_sent_before_a_report() -> None:
    reconciler = make_identified()
    reconciler.lease_lost(1.0)
    assert not reconciler.runners[R0].can_take_order(1.0)
    assert [state.id for state in reconciler.due_polls(1.0)] == ["r0"]


# ---- Expected load completions ----


def test_a_load_has_an_expected_completion_until_a_check_in_lists_it() -> None:
    reconciler = make_identified(("m0",))
    reconciler.start_order(0.0, load("m1"))
    assert reconciler.expected_completions(0.1) == {"r0": {"m1": pytest.approx(1.03)}}
    reconciler.receive_report(1.2, R0, runner_report(("m0", "m1"), order_count=1))
    assert reconciler.expected_completions(1.2)[R0]["m1"] <= 1.2
    reconciler.update_runner(1.5, runner_record(held=("m0", "m1")))
    assert reconciler.expected_completions(1.5) == {}


def test_an_unload_has_an_infinite_completion_until_check_ins_drop_it() -> None:
    reconciler = make_identified(("m0", "m1"))
    reconciler.start_order(0.0, unload("m1"))
    assert reconciler.expected_completions(0.0)[R0]["m1"] == float("inf")
    reconciler.receive_report(0.5, R0, runner_report(("m0",), order_count=1))
    assert reconciler.expected_completions(0.5)[R0]["m1"] == float("inf")
    reconciler.update_runner(1.0, runner_record(held=("m0",)))
    assert reconciler.expected_completions(1.0) == {}


# ---- Phases and invariants ----


def test_a_runner_passes_through_its_phases_in_order() -> None:
    reconciler = make_reconciler()
    reconciler.update_runner(0.0, runner_record(held=("m0",)))
    state, order = reconciler.runners[R0], load("m1")
    phases = [state.phase]
    reconciler.receive_report(0.0, R0, runner_report(("m0",)))
    phases.append(state.phase)
    reconciler.start_order(0.0, order)
    phases.append(state.phase)
    reconciler.receive_outcome(0.1, order, OrderOutcome.ACCEPTED)
    phases.append(state.phase)
    reconciler.receive_report(1.5, R0, runner_report(("m0", "m1"), order_count=1))
    phases.append(state.phase)
    reconciler.lease_lost(2.0)
    phases.append(state.phase)
    assert phases == [
        RunnerPhase.UNKNOWN,
        RunnerPhase.IDLE,
        RunnerPhase.ORDER_SENT,
        RunnerPhase.ORDER_ACCEPTED,
        RunnerPhase.IDLE,
        RunnerPhase.UNKNOWN,
    ]


def test_a_load_that_may_still_start_without_a_reservation_is_an_invalid_state() -> None:
    reconciler = make_identified()
    reconciler.start_order(0.0, load("m1"))
    reconciler.validate_state()
    reconciler.load_limiter.release(R0)
    with pytest.raises(InvalidStateError, match="runner r0: a load is reserved"):
        reconciler.validate_state()


def test_a_reservation_of_a_runner_that_is_gone_is_an_invalid_state() -> None:
    reconciler = make_identified()
    reconciler.load_limiter.reserve(0.0, R9)
    with pytest.raises(InvalidStateError, match="runner r9"):
        reconciler.validate_state()
