"""The limit on loads from the weight store, in any window and after a change of the lease."""

from hypothesis import given
from hypothesis import strategies as st

from larchgw.identifiers import RunnerId
from larchgw.placement.load_rate_limit import LoadRateLimiter

from .builders import RATE_FACTOR, WINDOW_S, make_reconciler, runner_record

orders = st.lists(st.tuples(st.floats(0.0, 0.3), st.floats(0.0, 2.0), st.floats(0.0, 1.0)), max_size=200)


@given(orders, st.floats(0.2, 8.0))
def test_no_window_has_more_loads_than_the_store_allows_regardless_of_delays(
    orders: list[tuple[float, float, float]], loads_per_s: float
) -> None:
    """Each load starts between the send of its order and the time at which its outcome is seen."""
    limiter = LoadRateLimiter(loads_per_s, WINDOW_S, RATE_FACTOR)
    now_s = 0.0
    outcomes: list[tuple[float, RunnerId]] = []
    begun_at: list[float] = []
    for number, (gap_s, outcome_after_s, begin_share) in enumerate(orders):
        now_s += gap_s
        for at_s, runner_id in sorted(outcome for outcome in outcomes if outcome[0] <= now_s):
            limiter.confirm(at_s, runner_id)
        outcomes = [outcome for outcome in outcomes if outcome[0] > now_s]
        if limiter.available(now_s) > 0:
            runner_id = RunnerId(f"r{number}")
            limiter.reserve(now_s, runner_id)
            begun_at.append(now_s + begin_share * outcome_after_s)
            outcomes.append((now_s + outcome_after_s, runner_id))
    begun_at.sort()
    bound = loads_per_s * WINDOW_S * RATE_FACTOR + 3
    for first in begun_at:
        assert sum(first <= at_s <= first + WINDOW_S for at_s in begun_at) <= bound


def test_no_load_is_available_for_one_window_that_a_predecessor_may_have_used() -> None:
    limiter = LoadRateLimiter(2.0, WINDOW_S, RATE_FACTOR)
    limiter.assume_exhausted(10.0)
    assert limiter.available(10.0 + WINDOW_S) == 0
    assert limiter.available(10.1 + WINDOW_S) == limiter.limit


def test_loads_that_check_ins_show_without_the_lease_count_against_the_limit() -> None:
    reconciler = make_reconciler()
    reconciler.update_runner(0.0, runner_record(held=("m0",)), has_lease=False)
    before = reconciler.load_limiter.available(0.0)
    reconciler.update_runner(1.0, runner_record(held=("m0", "m1", "m2")), has_lease=False)
    assert reconciler.load_limiter.available(1.0) == before - 2
