"""Runner selection: the basic rules, and the conditions that restrict or override them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from larchgw.routing.interface import AttemptOutcome, Reject, Send, Wait
from larchgw.runner_directory.runner_record import Stage
from tests.support.routing_factories import parts, runner, world

THRESHOLD = 2  # 16 slots x the default share


# Only holders; the most pending requests below the threshold; else the fewest keys, then the fewest pending.
@pytest.mark.parametrize(
    ("pending", "expected_id"),
    [
        ({"a": {"m": 0}, "b": {"m": 1}}, "b"),  # the most pending below the threshold
        ({"a": {"m": 0}, "b": {"m": THRESHOLD}}, "a"),  # a holder at the threshold is skipped
        ({"a": {"n": 5}, "b": {"m": 1}}, "b"),  # only pending requests for the same key count
        ({"a": {"m": 2, "n": 1}, "b": {"m": 3}}, "b"),  # all at the threshold: the fewest active keys
        ({"a": {"m": 3, "n": 1}, "b": {"m": 2, "n": 1}}, "b"),  # then the fewest pending requests
        ({"a": {"m": 2}, "b": {"m": 2}, "c": {}}, "c"),
    ],
)
def test_keyed_request_goes_to_the_holder_that_the_rules_select(
    pending: dict[str, dict[str, int]], expected_id: str
) -> None:
    w = world(runner("a", "mn"), runner("b", "mn"), runner("c", "mn" if "c" in pending else "n"))
    for runner_id, counts in pending.items():
        for model, times in counts.items():
            for _ in range(times):
                w.send_to(runner_id, w.request(model))
    assert w.chosen(w.request("m")) == expected_id


def test_requests_go_only_to_holders_however_busy_they_are() -> None:
    w = world(runner("a", "m"), runner("b", "n"))
    for _ in range(20):
        w.send_to("a")
    assert w.chosen(w.request("m")) == "a"


def test_a_holder_of_the_model_without_the_adapter_is_no_holder() -> None:
    w = world(runner("a", "m"), runner("b", "m"))
    assert isinstance(w.choose(w.request("m", "a9")), Wait)
    assert w.chosen(w.request("m", "a1")) in ("a", "b")


def test_every_outcome_frees_the_pending_count() -> None:
    for outcome in AttemptOutcome:
        w = world(runner("a"))
        w.end(w.send_to("a"), outcome)
        assert w.selector.pending("models") == 0


def test_an_attempt_that_ends_twice_is_an_error_of_the_caller() -> None:
    w = world(runner("a"))
    attempt = w.send_to("a")
    w.end(attempt)
    with pytest.raises(ValueError, match="ended without being sent"):
        w.end(attempt)


def test_ties_break_at_random_so_no_holder_starves() -> None:
    w = world(*(runner(id) for id in "abc"))
    assert {w.chosen(w.request()) for _ in range(60)} == {"a", "b", "c"}


def test_a_421_marks_the_key_as_stale_until_a_newer_record_lists_it() -> None:
    w = world(runner("a", calls=4))
    w.fail(w.request(), AttemptOutcome.NOT_HELD)
    assert not isinstance(w.choose(w.request()), Send)
    assert w.chosen(w.request("m", "a1")) == "a"
    w.runners["a"] = runner("a", calls=5)
    assert w.chosen(w.request()) == "a"


@pytest.mark.parametrize("stage", [Stage.DRAINING, Stage.GONE])
def test_a_draining_or_gone_runner_gets_no_requests_even_as_the_only_holder(stage: Stage) -> None:
    w = world(runner("a", stage=stage))
    assert not isinstance(w.choose(w.request()), Send)


def test_a_silent_runner_gets_requests_only_if_there_is_no_other() -> None:
    w = world(runner("a", stage=Stage.SILENT), runner("b"))
    assert {w.chosen(w.request()) for _ in range(30)} == {"b"}
    del w.runners["b"]
    assert w.chosen(w.request()) == "a"


def test_a_second_send_goes_to_another_holder() -> None:
    w = world(runner("a"), runner("b"))
    assert {w.chosen(w.request(), ("a",)) for _ in range(10)} == {"b"}


def test_the_backoff_of_a_full_holder_grows_each_time() -> None:
    w = world(runner("a"), runner("b"))
    w.end(w.send_to("a"), AttemptOutcome.FULL)
    assert {w.chosen(w.request()) for _ in range(10)} == {"b"}
    w.now += 0.06
    assert {w.chosen(w.request()) for _ in range(20)} == {"a", "b"}
    w.end(w.send_to("a"), AttemptOutcome.FULL)
    w.now += 0.06
    assert {w.chosen(w.request()) for _ in range(10)} == {"b"}


def test_all_holders_full_waits_only_while_the_deadline_allows() -> None:
    w = world(runner("a"))
    w.end(w.send_to("a"), AttemptOutcome.FULL)
    waiting = w.choose(w.request())
    assert isinstance(waiting, Wait)
    assert w.now < waiting.until <= w.now + 0.2
    rejected = w.choose(w.request(deadline_s=0.06))
    assert isinstance(rejected, Reject)
    assert rejected.retry_after > 0


def test_a_request_waits_for_an_ordered_load_and_is_rechecked() -> None:
    w = world(runner("a", "n"))
    w.expected = {"a": w.now + 0.8}
    choice = w.choose(w.request())
    assert isinstance(choice, Wait)
    assert choice.until <= w.now + 0.2


def test_a_request_is_rejected_at_once_if_its_load_ends_too_late() -> None:
    w = world(runner("a", "n"))
    w.expected = {"a": w.now + 6.0}
    rejected = w.choose(w.request(deadline_s=5.0))
    assert isinstance(rejected, Reject)
    assert rejected.retry_after <= 5.0 / 3 + 1e-9


def test_a_request_for_a_model_without_a_load_waits_less_than_half_of_its_time() -> None:
    w = world(runner("a", "n"))
    request = w.request(deadline_s=4.0)
    w.now += 1.9
    assert isinstance(w.choose(request), Reject)


def test_a_request_does_not_wait_until_its_deadline_for_an_overdue_load() -> None:
    w = world(runner("a", "n"))
    request = w.request(deadline_s=10.0)
    w.expected = {"a": w.now + 0.5}
    assert isinstance(w.choose(request), Wait)
    w.now += 5.0
    assert isinstance(w.choose(request), Reject)


def test_requests_go_to_the_holder_that_has_their_prefix_cached() -> None:
    w = world(runner("a"), runner("b"), runner("c"))
    prompt = parts(2000, 4000, 500)
    attempt = w.send_to("b", w.request(prompt=prompt))
    w.selector.first_byte_received(w.now + 0.2, attempt)
    w.end(attempt)
    again = (*prompt[:2], *parts(300, name="other"))
    assert {w.chosen(w.request(prompt=again)) for _ in range(10)} == {"b"}


def test_a_part_after_a_different_prefix_does_not_count_as_cached() -> None:
    w = world(runner("a"), runner("b"))
    prompt = parts(2000, 4000, 500)
    attempt = w.send_to("b", w.request(prompt=prompt))
    w.selector.first_byte_received(w.now + 0.2, attempt)
    w.end(attempt)
    elsewhere = [(*parts(10, name=f"x{n}"), prompt[1], prompt[2]) for n in range(40)]
    assert {w.chosen(w.request(prompt=other)) for other in elsewhere} == {"a", "b"}


def test_dispatchers_prefer_the_same_holder_for_a_shared_prefix() -> None:
    records = [runner(id) for id in "abcdefg"]
    prompt = parts(2000, 4000, 500)
    chosen = set()
    for _ in range(4):
        w = world(*records)
        chosen.add(w.chosen(w.request(prompt=prompt)))
    assert len(chosen) == 1


def test_requests_avoid_a_holder_with_a_long_prefill() -> None:
    w = world(runner("a"), runner("b"))
    prompt = parts(2000, 40_000, 500)
    w.send_to("a", w.request(prompt=prompt))
    assert w.chosen(w.request(prompt=parts(10, 10, name="q"))) == "b"


def test_own_zone_is_preferred_for_short_prompts() -> None:
    w = world(runner("a", zone="there"), runner("b"), runner("c", zone="there"))
    assert {w.chosen(w.request()) for _ in range(20)} == {"b"}


def test_a_runner_that_warms_up_is_avoided_while_others_hold_the_model() -> None:
    w = world(runner("a", cold_ms=500.0), runner("b"))
    assert {w.chosen(w.request()) for _ in range(20)} == {"b"}


def test_request_is_sent_with_the_priority_of_its_route() -> None:
    w = world(runner("a"))
    for target_s, expected in ((0.1, 0), (0.4, 1), (0.8, 3), (4.0, 7)):
        asked = w.request(target_s=target_s, rank=0)
        asked = replace(asked, route=replace(asked.route, target_ms=1000.0 * target_s))
        choice = w.choose(asked)
        assert isinstance(choice, Send)
        assert choice.priority == expected


def test_unkeyed_requests_go_to_the_least_loaded() -> None:
    w = world(*(runner(id, "", slots=6, service="plain") for id in "abc"))
    for id, times in {"a": 5, "b": 4, "c": 6}.items():
        for _ in range(times):
            w.send_to(id, w.request("", service="plain"))
    assert w.chosen(w.request("", service="plain")) == "b"


def test_a_load_report_counts_requests_of_other_dispatchers_and_decays() -> None:
    w = world(*(runner(id, "", slots=6, service="plain") for id in "ab"))
    w.selector.observe_load(w.now, "a", 6, 3, 6)
    assert {w.chosen(w.request("", service="plain")) for _ in range(10)} == {"b"}
    w.now += 20.0
    assert {w.chosen(w.request("", service="plain")) for _ in range(40)} == {"a", "b"}


def test_the_same_seed_makes_the_same_choices() -> None:
    def run() -> list[str]:
        w = world(*(runner(id) for id in "abcd"))
        chosen = []
        for _ in range(50):
            chosen.append(w.chosen(w.request()))
            w.send_to(chosen[-1])
        return chosen

    assert run() == run()


def test_data_about_runners_that_are_gone_is_removed() -> None:
    w = world(runner("a"), runner("b"))
    w.fail(w.request(), AttemptOutcome.NOT_HELD)
    w.fail(w.request(), AttemptOutcome.RESET)
    w.runners = {"c": runner("c")}
    w.now += 10.0
    w.choose(w.request())
    assert set(w.selector._records) == {"c"}


def test_an_unresponsive_runner_gets_no_requests_while_another_responds() -> None:
    w = world(runner("a"), runner("b"))
    w.send_to("a")
    w.now += 2.5
    assert {w.chosen(w.request()) for _ in range(10)} == {"b"}


def test_a_runner_that_has_sent_other_bytes_is_not_unresponsive() -> None:
    w = world(runner("a"), runner("b"))
    w.send_to("a")
    w.now += 2.4
    w.selector.observe_load(w.now, "a", 1, 0, 16)
    w.now += 0.1
    assert w.chosen(w.request()) == "a"


def test_the_only_holder_gets_requests_even_if_it_is_unresponsive() -> None:
    w = world(runner("a"))
    w.send_to("a")
    w.now += 2.5
    assert w.chosen(w.request()) == "a"


def test_cancelled_requests_without_a_byte_eject_the_runner() -> None:
    w = world(*(runner(id) for id in "abcd"))
    attempts = [w.send_to("a"), w.send_to("a")]
    w.now += 3.0
    for attempt in attempts:
        w.end(attempt, AttemptOutcome.CANCELLED)
    assert {w.chosen(w.request()) for _ in range(40)} == {"b", "c", "d"}


def test_early_cancellations_do_not_eject_a_runner() -> None:
    w = world(*(runner(id) for id in "ab"))
    for _ in range(10):
        attempt = w.send_to("a")
        w.now += 0.1
        w.end(attempt, AttemptOutcome.CANCELLED)
    assert {w.chosen(w.request()) for _ in range(40)} == {"a", "b"}


def test_a_runner_that_warms_up_gets_requests_when_the_others_are_at_the_threshold() -> None:
    w = world(runner("a", cold_ms=500.0), runner("b"))
    for _ in range(THRESHOLD):
        w.send_to("b")
    assert w.chosen(w.request()) == "a"


def test_a_request_is_shed_if_half_of_the_slots_are_taken_and_the_wait_is_too_long() -> None:
    w = world(runner("a"))
    for _ in range(7):
        w.send_to("a", w.request(prompt=parts(10_000, 10_000)))
    assert w.chosen(w.request()) == "a"  # less than half of 16 slots
    w.send_to("a", w.request(prompt=parts(10_000, 10_000)))
    rejected = w.choose(w.request())
    assert isinstance(rejected, Reject)
    assert rejected.reason == "overload"
    assert 0 < rejected.retry_after <= 5.0 / 3


def test_many_short_requests_are_no_overload() -> None:
    w = world(runner("a"))
    for _ in range(40):
        w.selector.first_byte_received(w.now, w.send_to("a"))
    assert w.chosen(w.request()) == "a"


def test_a_request_on_its_second_runner_is_not_shed() -> None:
    w = world(runner("a"), runner("b"))
    for _ in range(10):
        w.send_to("a", w.request(prompt=parts(10_000, 10_000)))
        w.send_to("b", w.request(prompt=parts(10_000, 10_000)))
    assert isinstance(w.choose(w.request()), Reject)
    assert w.chosen(w.request(), ("a",)) == "b"
