"""Requests for a model or adapter that no runner has loaded: when they wait and when they are rejected."""

from __future__ import annotations

from dataclasses import replace

import pytest

from larchgw.routing.interface import Choice, Reject, RequestTraits, Wait
from larchgw.routing.missing_model import CLIENT_TIMEOUT_MARGIN_S, choose_without_holder
from larchgw.routing.service_terms import ServiceTerms
from tests.support.routing_factories import world

NOW = 100.0
LOAD_S = 2.0
TERMS = ServiceTerms(load_s={"m": LOAD_S})


def request(target_s: float = 0.4, deadline_s: float = 15.0, gap_aim_ms: float = 300.0) -> RequestTraits:
    base = world().request(target_s=target_s, deadline_s=deadline_s)
    return replace(base, route=replace(base.route, gap_aim_ms=gap_aim_ms))


def second_try(original: RequestTraits, elapsed_s: float = 3.0) -> RequestTraits:
    return replace(original, deadline_at=original.deadline_at - elapsed_s)


def choose(
    traits: RequestTraits,
    after_s: float = 0.0,
    done_s: float | None = None,
    is_model_held: bool = False,
    is_first_send: bool = True,
) -> Choice:
    """Decides `after_s` after arrival.

    A load completes `done_s` after arrival; None means that no load is ordered.
    """
    expected = {} if done_s is None else {"a": traits.arrived_at + done_s}
    return choose_without_holder(
        traits.arrived_at + after_s,
        traits,
        expected,
        TERMS,
        is_model_held=is_model_held,
        is_first_send=is_first_send,
    )


def test_first_try_is_rejected_at_once_with_a_retry_after_at_the_end_of_the_load() -> None:
    choice = choose(request(), done_s=1.5)
    assert isinstance(choice, Reject)
    assert choice.awaits_load
    assert 1.5 <= choice.retry_after < 2.0


def test_retry_after_includes_the_load_time_where_no_load_is_ordered_yet() -> None:
    choice = choose(request())
    assert isinstance(choice, Reject)
    assert choice.awaits_load
    assert LOAD_S < choice.retry_after < LOAD_S + 1.0


def test_request_waits_for_a_load_that_ends_before_its_target() -> None:
    choice = choose(request(target_s=4.0), done_s=1.5)
    assert isinstance(choice, Wait)
    assert choice.reason == "loading"


def test_request_with_a_long_target_is_rejected_early_if_no_load_is_ordered_meanwhile() -> None:
    traits = request(target_s=4.0, deadline_s=10.0)
    waiting = choose(traits)
    assert isinstance(waiting, Wait)
    choice = choose(traits, after_s=0.79)
    assert isinstance(choice, Reject)
    assert choice.awaits_load


def test_request_with_a_long_target_waits_if_the_typical_order_delay_exceeds_its_early_period() -> None:
    traits = request(target_s=4.0, deadline_s=10.0)
    slow_store = ServiceTerms(load_s={"m": 1.0}, loads_per_s=2.0)
    choice = choose_without_holder(
        traits.arrived_at + 0.79, traits, {}, slow_store, is_model_held=False, is_first_send=True
    )
    assert isinstance(choice, Wait)


def test_request_waits_if_only_an_unusually_quick_load_would_be_in_time() -> None:
    quick_load = ServiceTerms(load_s={"m": 0.5}, loads_per_s=4.0)
    traits = request(target_s=0.8, deadline_s=5.0)
    choice = choose_without_holder(
        traits.arrived_at, traits, {}, quick_load, is_model_held=False, is_first_send=True
    )
    assert isinstance(choice, Wait)


def test_request_for_a_missing_adapter_of_a_held_model_waits() -> None:
    assert isinstance(choose(request(), is_model_held=True), Wait)


def test_second_try_waits_until_its_client_times_out_and_not_longer() -> None:
    traits = second_try(request())
    client_timeout_s = 2.4
    assert isinstance(choose(traits, done_s=1.5), Wait)
    assert isinstance(choose(traits, after_s=client_timeout_s - CLIENT_TIMEOUT_MARGIN_S - 0.05), Wait)
    rejected = choose(traits, after_s=client_timeout_s - CLIENT_TIMEOUT_MARGIN_S)
    assert isinstance(rejected, Reject)
    assert not rejected.awaits_load


@pytest.mark.parametrize("after_s", [0.09, 1.0])
def test_request_that_is_no_longer_early_waits(after_s: float) -> None:
    assert isinstance(choose(request(), after_s=after_s, done_s=1.5), Wait)


def test_load_that_ends_after_the_client_times_out_is_not_waited_for() -> None:
    assert isinstance(choose(second_try(request()), done_s=2.5), Reject)


def test_request_is_not_rejected_early_if_even_its_second_try_would_be_late() -> None:
    traits = request(target_s=0.4, deadline_s=3.0)
    choice = choose(traits, done_s=1.8)
    assert isinstance(choice, Wait)


def test_request_that_was_sent_to_a_runner_is_not_rejected_early() -> None:
    assert isinstance(choose(request(), done_s=1.5, is_first_send=False), Wait)


def test_resumed_stream_waits_for_a_load_beyond_the_time_out_for_the_first_byte() -> None:
    assert isinstance(choose(request(), after_s=4.0, done_s=5.0, is_first_send=False), Wait)
    assert isinstance(choose(request(), after_s=4.0, done_s=5.0), Reject)
