"""The retry budget: no window over all dispatchers may go beyond the bound."""

from __future__ import annotations

from bisect import bisect_right
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from larchgw.configuration.settings import TimeLimits
from larchgw.routing.retry_budget import RetryBudget

LIMITS = TimeLimits(retry_ratio=0.2, retry_window_s=10.0, retry_extra=56.0)
SERVICE = "s"


def worst_excess(limits: TimeLimits, requests: list[float], repeats: list[float]) -> float:
    """The most by which repeats in a window go beyond what the rule allows; below 0 if none does.

    Looked at are windows that end at every repeat, just before one leaves, at every moment at which a request
    leaves or enters one of the counts, and every twentieth of a second.
    """
    window = limits.retry_window_s

    def between(times: list[float], start: float, end: float) -> int:
        return bisect_right(times, end) - bisect_right(times, start)

    ends = set(repeats) | {at + window - 1e-6 for at in repeats}
    ends |= {at + shift for at in requests for shift in (0.5 * window, window, 1.5 * window, 2.0 * window)}
    ends |= {index / 20 for index in range(int(20 * (max(requests, default=0.0) + 2 * window)))}
    worst = -float("inf")
    for end in ends:
        counted = max(
            between(requests, end - shift - window, end - shift) for shift in (0.0, 0.5 * window, window)
        )
        used = between(repeats, end - window, end)
        worst = max(worst, used - limits.retry_ratio * counted - limits.retry_extra)
    return worst


def play(
    dispatchers: int, rates: list[int], seed: int, seen: int, limits: TimeLimits, uneven: float = 0.0
) -> tuple[list[float], list[float]]:
    """Requests a second over some seconds, each wanting a repeat; dispatchers' shares may be uneven."""
    random = Random(seed)
    weights = [(1.0 + uneven) ** random.uniform(-1.0, 1.0) for _ in range(dispatchers)]
    budgets = [RetryBudget(limits, Random(f"{seed}-{n}")) for n in range(dispatchers)]
    requests, repeats = [], []
    for second, rate in enumerate(rates):
        for at in sorted(second + random.random() for _ in range(rate)):
            budget = random.choices(budgets, weights)[0]
            budget.record_request(at, SERVICE)
            requests.append(at)
            if budget.may_retry(at, SERVICE, seen):
                budget.record_retry(at, SERVICE)
                repeats.append(at)
    return requests, repeats


@settings(max_examples=60, deadline=None)
@given(
    dispatchers=st.integers(1, 12),
    seed=st.integers(0, 10_000),
    uneven=st.sampled_from([0.0, 1.0, 4.0]),
    extra=st.sampled_from([0.0, 10.0, 56.0]),
    rates=st.lists(st.sampled_from([0, 0, 2, 10, 40, 90]), min_size=5, max_size=45),
)
def test_no_window_goes_beyond_the_bound(
    dispatchers: int, seed: int, uneven: float, extra: float, rates: list[int]
) -> None:
    limits = TimeLimits(retry_ratio=0.2, retry_window_s=10.0, retry_extra=extra)
    requests, repeats = play(dispatchers, rates, seed, dispatchers, limits, uneven)
    assert worst_excess(limits, requests, repeats) <= 0.0


@settings(max_examples=10, deadline=None)
@given(seed=st.integers(0, 10_000))
def test_shares_below_one_do_not_add_up_to_more_than_the_bound(seed: int) -> None:
    limits = TimeLimits(retry_ratio=0.0, retry_window_s=10.0, retry_extra=180.0)
    rates = [0, 0, 200, 400, 0, 0, 0, 0, 400, 400, 400, 0, 0, 300, 300]
    requests, repeats = play(490, rates, seed, 490, limits)
    assert worst_excess(limits, requests, repeats) <= 0.0


def test_shares_below_one_are_used_and_not_lost() -> None:
    limits = TimeLimits(retry_ratio=0.0, retry_window_s=10.0, retry_extra=20.0)
    _, repeats = play(100, [0] * 6 + [300] * 30, 3, 100, limits)
    assert len(repeats) >= 20


def test_every_dispatcher_has_its_turn_of_a_share_below_one() -> None:
    budget = RetryBudget(TimeLimits(retry_ratio=0.0, retry_window_s=10.0, retry_extra=20.0), Random(5))
    allowed = [budget.may_retry(10.0 * turn, SERVICE, 100) for turn in range(60)]
    assert any(allowed)
    assert not all(allowed)


def test_steady_traffic_gets_most_of_the_ratio() -> None:
    limits = TimeLimits(retry_ratio=0.2, retry_window_s=10.0, retry_extra=0.0)
    requests, repeats = play(4, [40] * 40, 1, 4, limits)
    late = [at for at in repeats if at > 20]
    assert len(late) >= 0.12 * len([at for at in requests if at > 20])


def test_a_burst_that_ends_does_not_leave_a_ratio_behind() -> None:
    budget = RetryBudget(TimeLimits(retry_ratio=0.2, retry_window_s=10.0, retry_extra=0.0), Random(1))
    for index in range(1000):
        budget.record_request(index * 0.001, SERVICE)
    assert budget.may_retry(5.0, SERVICE, 1)
    assert not budget.may_retry(25.0, SERVICE, 1)


def test_a_dispatcher_cut_off_from_the_others_keeps_to_its_part() -> None:
    limits = TimeLimits(retry_ratio=0.0, retry_window_s=10.0, retry_extra=60.0)
    budget = RetryBudget(limits, Random(1))
    budget.may_retry(6.0, SERVICE, 60)
    made = 0
    while budget.may_retry(12.0, SERVICE, 1):
        budget.record_retry(12.0, SERVICE)
        made += 1
    assert made <= 1


def test_a_start_before_membership_is_known_takes_a_small_part() -> None:
    budget = RetryBudget(LIMITS, Random(1))
    made = 0
    while budget.may_retry(0.0, SERVICE, 1):
        budget.record_retry(0.0, SERVICE)
        made += 1
    assert made <= 2


def test_many_dispatchers_that_start_at_once_each_alone_stay_within_the_bound() -> None:
    limits = TimeLimits(retry_ratio=0.2, retry_window_s=10.0, retry_extra=180.0)
    budgets = [RetryBudget(limits, Random(number)) for number in range(91)]
    made = 0
    for budget in budgets:
        while budget.may_retry(0.0, SERVICE, 1):
            budget.record_retry(0.0, SERVICE)
            made += 1
    assert made <= limits.retry_extra


def test_services_do_not_share_a_budget() -> None:
    budget = RetryBudget(TimeLimits(retry_extra=2.0), Random(1))
    budget.may_retry(0.0, "a", 1)
    while budget.may_retry(50.0, "a", 1):
        budget.record_retry(50.0, "a")
    assert budget.may_retry(50.0, "b", 1)
