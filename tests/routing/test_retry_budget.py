"""The retry budget: retries of all dispatchers together must not exceed the limit in any window."""

from __future__ import annotations

from bisect import bisect_right
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from larchgw.configuration.settings import TimeLimits
from larchgw.routing.retry_budget import RetryBudget

LIMITS = TimeLimits(retry_ratio=0.2, retry_window_s=10.0, retry_extra=56.0)
SERVICE = "s"


def max_excess(limits: TimeLimits, requests: list[float], retries: list[float]) -> float:
    """Returns by how much the retries of any window exceed the limit; negative if none does.

    The windows that are checked end at each retry, just before a retry leaves a window, whenever a request
    enters or leaves one of the counts, and every 50 ms.
    """
    window = limits.retry_window_s

    def between(times: list[float], start: float, end: float) -> int:
        return bisect_right(times, end) - bisect_right(times, start)

    ends = set(retries) | {at + window - 1e-6 for at in retries}
    ends |= {at + shift for at in requests for shift in (0.5 * window, window, 1.5 * window, 2.0 * window)}
    ends |= {index / 20 for index in range(int(20 * (max(requests, default=0.0) + 2 * window)))}
    max_found = -float("inf")
    for end in ends:
        counted = max(
            between(requests, end - shift - window, end - shift) for shift in (0.0, 0.5 * window, window)
        )
        used = between(retries, end - window, end)
        max_found = max(max_found, used - limits.retry_ratio * counted - limits.retry_extra)
    return max_found


def simulate(
    dispatchers: int, rates: list[int], seed: int, seen: int, limits: TimeLimits, unevenness: float = 0.0
) -> tuple[list[float], list[float]]:
    """Simulates `rates` requests in each second, all of which need a retry; returns the times of both.

    Requests are spread over the dispatchers by random weights that differ more with a higher `unevenness`.
    """
    random = Random(seed)
    weights = [(1.0 + unevenness) ** random.uniform(-1.0, 1.0) for _ in range(dispatchers)]
    budgets = [RetryBudget(limits, Random(f"{seed}-{n}")) for n in range(dispatchers)]
    requests, retries = [], []
    for second, rate in enumerate(rates):
        for at in sorted(second + random.random() for _ in range(rate)):
            budget = random.choices(budgets, weights)[0]
            budget.record_request(at, SERVICE)
            requests.append(at)
            if budget.may_retry(at, SERVICE, seen):
                budget.record_retry(at, SERVICE)
                retries.append(at)
    return requests, retries


@settings(max_examples=60, deadline=None)
@given(
    dispatchers=st.integers(1, 12),
    seed=st.integers(0, 10_000),
    unevenness=st.sampled_from([0.0, 1.0, 4.0]),
    extra=st.sampled_from([0.0, 10.0, 56.0]),
    rates=st.lists(st.sampled_from([0, 0, 2, 10, 40, 90]), min_size=5, max_size=45),
)
def test_no_window_exceeds_the_limit(
    dispatchers: int, seed: int, unevenness: float, extra: float, rates: list[int]
) -> None:
    limits = TimeLimits(retry_ratio=0.2, retry_window_s=10.0, retry_extra=extra)
    requests, retries = simulate(dispatchers, rates, seed, dispatchers, limits, unevenness)
    assert max_excess(limits, requests, retries) <= 0.0


@settings(max_examples=10, deadline=None)
@given(seed=st.integers(0, 10_000))
def test_fractional_shares_do_not_add_up_to_more_than_the_limit(seed: int) -> None:
    limits = TimeLimits(retry_ratio=0.0, retry_window_s=10.0, retry_extra=180.0)
    rates = [0, 0, 200, 400, 0, 0, 0, 0, 400, 400, 400, 0, 0, 300, 300]
    requests, retries = simulate(490, rates, seed, 490, limits)
    assert max_excess(limits, requests, retries) <= 0.0


def test_fractional_shares_are_used_and_not_lost() -> None:
    limits = TimeLimits(retry_ratio=0.0, retry_window_s=10.0, retry_extra=20.0)
    _, retries = simulate(100, [0] * 6 + [300] * 30, 3, 100, limits)
    assert len(retries) >= 20


def test_a_dispatcher_with_a_fractional_share_may_retry_some_of_the_time() -> None:
    budget = RetryBudget(TimeLimits(retry_ratio=0.0, retry_window_s=10.0, retry_extra=20.0), Random(5))
    allowed = [budget.may_retry(10.0 * turn, SERVICE, 100) for turn in range(60)]
    assert any(allowed)
    assert not all(allowed)


def test_steady_traffic_gets_most_of_the_ratio() -> None:
    limits = TimeLimits(retry_ratio=0.2, retry_window_s=10.0, retry_extra=0.0)
    requests, retries = simulate(4, [40] * 40, 1, 4, limits)
    late = [at for at in retries if at > 20]
    assert len(late) >= 0.12 * len([at for at in requests if at > 20])


def test_requests_of_a_past_burst_do_not_permit_later_retries() -> None:
    budget = RetryBudget(TimeLimits(retry_ratio=0.2, retry_window_s=10.0, retry_extra=0.0), Random(1))
    for index in range(1000):
        budget.record_request(index * 0.001, SERVICE)
    assert budget.may_retry(5.0, SERVICE, 1)
    assert not budget.may_retry(25.0, SERVICE, 1)


def test_a_partitioned_dispatcher_keeps_to_its_share() -> None:
    limits = TimeLimits(retry_ratio=0.0, retry_window_s=10.0, retry_extra=60.0)
    budget = RetryBudget(limits, Random(1))
    budget.may_retry(6.0, SERVICE, 60)
    sent = 0
    while budget.may_retry(12.0, SERVICE, 1):
        budget.record_retry(12.0, SERVICE)
        sent += 1
    assert sent <= 1


def test_a_dispatcher_uses_a_small_share_before_membership_is_known() -> None:
    budget = RetryBudget(LIMITS, Random(1))
    sent = 0
    while budget.may_retry(0.0, SERVICE, 1):
        budget.record_retry(0.0, SERVICE)
        sent += 1
    assert sent <= 2


def test_many_dispatchers_that_start_at_once_without_membership_stay_within_the_limit() -> None:
    limits = TimeLimits(retry_ratio=0.2, retry_window_s=10.0, retry_extra=180.0)
    budgets = [RetryBudget(limits, Random(number)) for number in range(91)]
    sent = 0
    for budget in budgets:
        while budget.may_retry(0.0, SERVICE, 1):
            budget.record_retry(0.0, SERVICE)
            sent += 1
    assert sent <= limits.retry_extra


def test_services_do_not_share_a_budget() -> None:
    budget = RetryBudget(TimeLimits(retry_extra=2.0), Random(1))
    budget.may_retry(0.0, "a", 1)
    while budget.may_retry(50.0, "a", 1):
        budget.record_retry(50.0, "a")
    assert budget.may_retry(50.0, "b", 1)
