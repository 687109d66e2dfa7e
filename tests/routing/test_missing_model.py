"""What becomes of requests whose model or adapter no runner holds."""

from __future__ import annotations

from dataclasses import replace

import pytest

from larchgw.routing.interface import Choice, Reject, RequestTraits, Wait
from larchgw.routing.missing_model import PATIENCE_MARGIN_S, choose_without_holder
from larchgw.routing.service_terms import ServiceTerms
from tests.support.routing_factories import world

NOW = 100.0
LOAD_S = 2.0
TERMS = ServiceTerms(load_s={"m": LOAD_S})


def request(target_s: float = 0.4, deadline_s: float = 15.0, gap_aim_ms: float = 300.0) -> RequestTraits:
    made = world().request(target_s=target_s, deadline_s=deadline_s)
    return replace(made, route=replace(made.route, gap_aim_ms=gap_aim_ms))


def second_try(first: RequestTraits, used_s: float = 3.0) -> RequestTraits:
    return replace(first, deadline_at=first.deadline_at - used_s)


def choose(
    asked: RequestTraits,
    after_s: float = 0.0,
    done_s: float | None = None,
    is_model_held: bool = False,
    is_first_send: bool = True,
) -> Choice:
    """Decides `after_s` after the request came; a load ends `done_s` after it came, None: none is ordered."""
    expected = {} if done_s is None else {"a": asked.arrived_at + done_s}
    return choose_without_holder(
        asked.arrived_at + after_s,
        asked,
        expected,
        TERMS,
        is_model_held=is_model_held,
        is_first_send=is_first_send,
    )


def test_first_try_is_rejected_at_once_to_come_back_when_the_load_is_done() -> None:
    choice = choose(request(), done_s=1.5)
    assert isinstance(choice, Reject)
    assert choice.awaits_load
    assert 1.5 <= choice.retry_after < 2.0


def test_time_to_come_back_has_the_load_time_where_no_load_is_ordered_yet() -> None:
    choice = choose(request())
    assert isinstance(choice, Reject)
    assert choice.awaits_load
    assert LOAD_S < choice.retry_after < LOAD_S + 1.0


def test_request_waits_for_a_load_that_ends_before_its_target() -> None:
    choice = choose(request(target_s=4.0), done_s=1.5)
    assert isinstance(choice, Wait)
    assert choice.reason == "loading"


def test_patient_request_is_rejected_before_it_is_late_where_no_load_is_ordered_meanwhile() -> None:
    asked = request(target_s=4.0, deadline_s=10.0)
    waiting = choose(asked)
    assert isinstance(waiting, Wait)
    choice = choose(asked, after_s=0.79)
    assert isinstance(choice, Reject)
    assert choice.awaits_load


def test_patient_request_waits_where_loads_are_usually_ordered_later_than_it_is_early() -> None:
    asked = request(target_s=4.0, deadline_s=10.0)
    slow_store = ServiceTerms(load_s={"m": 1.0}, loads_per_s=2.0)
    choice = choose_without_holder(
        asked.arrived_at + 0.79, asked, {}, slow_store, is_model_held=False, is_first_send=True
    )
    assert isinstance(choice, Wait)


def test_request_waits_where_a_load_could_be_in_time_though_it_usually_is_not() -> None:
    quick_load = ServiceTerms(load_s={"m": 0.5}, loads_per_s=4.0)
    asked = request(target_s=0.8, deadline_s=5.0)
    choice = choose_without_holder(
        asked.arrived_at, asked, {}, quick_load, is_model_held=False, is_first_send=True
    )
    assert isinstance(choice, Wait)


def test_request_for_a_missing_adapter_of_a_held_model_waits() -> None:
    assert isinstance(choose(request(), is_model_held=True), Wait)


def test_second_try_waits_as_long_as_its_client_does_and_not_longer() -> None:
    asked = second_try(request())
    patience_s = 2.4
    assert isinstance(choose(asked, done_s=1.5), Wait)
    assert isinstance(choose(asked, after_s=patience_s - PATIENCE_MARGIN_S - 0.05), Wait)
    rejected = choose(asked, after_s=patience_s - PATIENCE_MARGIN_S)
    assert isinstance(rejected, Reject)
    assert not rejected.awaits_load


@pytest.mark.parametrize("after_s", [0.09, 1.0])
def test_request_that_is_no_longer_early_waits(after_s: float) -> None:
    assert isinstance(choose(request(), after_s=after_s, done_s=1.5), Wait)


def test_load_that_ends_after_the_client_has_left_is_not_waited_for() -> None:
    assert isinstance(choose(second_try(request()), done_s=2.5), Reject)


def test_client_is_not_sent_away_where_even_its_second_try_would_be_late() -> None:
    asked = request(target_s=0.4, deadline_s=3.0)
    choice = choose(asked, done_s=1.8)
    assert isinstance(choice, Wait)


def test_request_that_was_at_a_runner_is_not_sent_away() -> None:
    assert isinstance(choose(request(), done_s=1.5, is_first_send=False), Wait)


def test_stream_that_is_resumed_waits_for_a_load_beyond_the_patience_for_a_first_byte() -> None:
    assert isinstance(choose(request(), after_s=4.0, done_s=5.0, is_first_send=False), Wait)
    assert isinstance(choose(request(), after_s=4.0, done_s=5.0), Reject)
