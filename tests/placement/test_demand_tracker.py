"""Demand from the dispatchers' reports: rates and waiting requests."""

from larchgw.emulator.placing import SERVICE
from larchgw.placement.demand_tracker import EXPIRY_S, DemandTracker
from larchgw.rpc.generated.ttypes import DemandReport

from .builders import model_demand
from .conftest import FakeClock

KEY = (SERVICE, "m0", "")


def test_rate_of_a_model_requested_every_25_s_is_kept_between_its_requests(
    clock: FakeClock, demand: DemandTracker
) -> None:
    for second in range(100):
        clock.now_s = 100.0 + second
        lines = [model_demand(arrivals=1)] if second % 25 == 0 else []
        demand.receive_report(DemandReport("e", 1000, lines))
    assert 0.01 < demand.model_requests_per_s(SERVICE, "m0") < 0.1


def test_rate_falls_within_seconds_after_demand_moves_to_another_model(
    clock: FakeClock, demand: DemandTracker
) -> None:
    for tick in range(400):
        clock.now_s = 100.0 + tick * 0.1
        model = "m0" if tick < 300 else "m1"
        demand.receive_report(DemandReport("e", 100, [model_demand(model, arrivals=1)]))
    assert demand.model_requests_per_s(SERVICE, "m0") < 2.0
    assert 7.0 < demand.model_requests_per_s(SERVICE, "m1") < 13.0


def test_requests_waiting_at_a_dispatcher_expire_when_its_reports_stop(
    clock: FakeClock, demand: DemandTracker
) -> None:
    demand.receive_report(DemandReport("e", 100, [model_demand(arrivals=1, waiting=3, urgency_ms=4000)]))
    summary = demand.by_model(SERVICE)["m0"]
    assert (summary.waiting, summary.deadline_s) == (3, 104.0)
    assert demand.deadline_s(KEY) == 104.0
    clock.now_s += EXPIRY_S + 0.1
    assert demand.by_model(SERVICE)["m0"].waiting == 0
    assert not demand.has_waiting_requests()


def test_a_report_with_a_long_interval_does_not_expire_before_the_next(
    clock: FakeClock, demand: DemandTracker
) -> None:
    for _ in range(4):
        demand.receive_report(DemandReport("d1", 2450, [model_demand(in_flight=3)]))
        clock.now_s += 2.45
        assert demand.in_flight(KEY) == 3
    demand.receive_report(DemandReport("d1", 20, [model_demand(in_flight=3)]))  # an early report in between
    clock.now_s += 2.45
    assert demand.in_flight(KEY) == 3


def test_a_model_absent_from_a_dispatchers_latest_report_has_no_waiting_requests_there(
    demand: DemandTracker,
) -> None:
    demand.receive_report(DemandReport("e", 100, [model_demand(waiting=3, in_flight=2, urgency_ms=4000)]))
    demand.receive_report(DemandReport("e", 100, []))
    assert (demand.waiting(KEY), demand.in_flight(KEY)) == (0, 0)


def test_idle_keys_are_removed_when_they_expire(clock: FakeClock, demand: DemandTracker) -> None:
    lines = [model_demand(f"m{n}", arrivals=1) for n in range(800)]
    demand.receive_report(DemandReport("e", 100, lines))
    clock.now_s += 300.0
    demand.expire()
    assert demand.model_requests_per_s(SERVICE, "m7") == 0.0
    assert demand.adapters(SERVICE, "m7") == []
