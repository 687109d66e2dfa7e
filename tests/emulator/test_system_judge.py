"""The judge of the system's trials: a fabricated record that breaks a rule is caught, a lawful one is not."""

from __future__ import annotations

import math
from typing import Any

import pytest

from larchgw.configuration.settings import TimeLimits
from larchgw.emulator.system.judge import judge
from larchgw.emulator.system.records import (
    Acknowledgement,
    Arrival,
    ConfigurationCall,
    OperatorAnswer,
    OrderSeen,
    ReadSeen,
    Records,
    Trouble,
    Try,
)

EDGE, OTHER_EDGE = "127.0.1.20", "127.0.1.21"
CORE, OTHER_CORE = "127.0.1.10", "127.0.1.11"
HOST = "desk.example"
BODY = b"the whole answer"
LIMITS = TimeLimits(fenced=True, retry_extra=10.0)


def whole(version: int, service: str = "lm", path: str = "/ask/") -> dict[str, Any]:
    """A configuration of one route."""
    return {
        "config_version": version,
        "services": [{"name": "lm"}, {"name": "desk"}],
        "routes": [{"name": "r", "hostname": HOST, "path_start": path, "service": service}],
    }


def taken(version: int, built_on: int, at: float, **changes: Any) -> ConfigurationCall:
    """A configuration that was sent and acknowledged then."""
    plain: dict[str, Any] = {"configuration": whole(version), "sent_at": at - 0.1, "acknowledged_at": at}
    return ConfigurationCall(version, built_on, **plain | changes)


def attempt(id: str, at: float = 100.0, **changes: Any) -> Try:
    """A request that was served."""
    plain: dict[str, Any] = {
        "kind": "writing",
        "host": HOST,
        "target": "/ask/1",
        "body": b"q",
        "edge": EDGE,
        "sent_at": at,
        "deadline_at": at + 5.0,
        "services": ("lm",),
        "ended_at": at + 0.5,
        "status": 200,
        "seal": "s-" + id,
        "answer_id": id,
        "answer": BODY,
        "whole": True,
    }
    return Try(id, **plain | changes)


def arrival(id: str, at: float = 100.1, **changes: Any) -> Arrival:
    """A request that a runner ran and answered."""
    plain: dict[str, Any] = {
        "runner": "i-1",
        "service": "lm",
        "target": "/ask/1",
        "body": b"q",
        "ran": True,
        "status": 200,
        "seal": "s-" + id,
        "answer": BODY,
        "whole": True,
        "ended_at": at + 0.3,
    }
    return Arrival(id, at=at, **plain | changes)


def events(*numbers: int) -> bytes:
    """These events as they are on the wire."""
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in numbers)


def records(tries: list[Try], arrivals: list[Arrival], **more: Any) -> Records:
    """A day on which one configuration was taken and read back."""
    plain: dict[str, Any] = {
        "configurations": [taken(1, 0, 10.0)],
        "read_back": whole(1),
        "read_back_at": 900.0,
    }
    return Records({one.id: one for one in tries}, arrivals, **plain | more)


def rules(day: Records) -> list[str]:
    """The names of the rules that were broken."""
    return [breach.rule for breach in judge(day, LIMITS)]


def test_a_lawful_day_breaks_nothing() -> None:
    stream = attempt("s", answer=events(1, 2, 3), resumable=True, idempotent=True, tries=2)
    runs = [
        arrival("s", answer=events(1, 2), whole=False, broke_off=True, last_event=3),
        arrival("s", at=100.4, runner="i-2", seal="s-other", answer=events(3), last_event=3),
    ]
    refused = attempt("n", status=503, seal="", answer=b"", answer_id="")
    full = arrival("n", ran=False, status=503)
    assert rules(records([attempt("a"), stream, refused], [arrival("a"), *runs, full])) == []


@pytest.mark.parametrize(
    ("changes", "arrived"),
    [
        ({"seal": ""}, {}),
        ({"seal": "s-forged"}, {}),
        ({"answer": BODY[:-1]}, {}),
        ({"answer_id": "b"}, {}),
        ({"status": 500}, {}),
        ({}, {"status": 500}),
        ({}, {"whole": False, "broke_off": True}),
        ({"answer": events(1, 2) + b"id: 3", "whole": True}, {"answer": events(1, 2), "last_event": 2}),
        ({"answer": events(1) + b"id: 2\ndata: forged\n\n"}, {"answer": events(1, 2), "last_event": 2}),
    ],
)
def test_an_answer_that_is_not_the_runners_own_is_mixed(
    changes: dict[str, Any], arrived: dict[str, Any]
) -> None:
    assert "MIXED" in rules(records([attempt("a", **changes)], [arrival("a", **arrived)]))


def test_bytes_where_no_request_waits_are_mixed() -> None:
    assert rules(records([], [], strays=[(EDGE, 100.0)])) == ["MIXED"]


@pytest.mark.parametrize("changes", [{"target": "/ask/2"}, {"body": b"other"}, {"method": "GET"}])
def test_a_changed_request_is_unasked(changes: dict[str, Any]) -> None:
    assert rules(records([attempt("a")], [arrival("a", **changes)])) == ["UNASKED"]


def test_of_a_request_that_was_answered_early_only_what_came_whole_is_compared() -> None:
    assert rules(records([attempt("a")], [arrival("a", body=b"", body_whole=False)])) == []
    assert rules(records([attempt("a")], [arrival("a", target="/b", body_whole=False)])) == ["UNASKED"]


def test_a_request_that_nobody_sent_is_unasked() -> None:
    assert rules(records([], [arrival("a")])) == ["UNASKED"]


def test_a_second_run_of_what_may_run_once_is_caught() -> None:
    two = [arrival("a"), arrival("a", at=100.2, runner="i-2")]
    assert rules(records([attempt("a")], two)) == ["TWICE"]
    assert rules(records([attempt("a", idempotent=True, tries=2)], two)) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_promise_after_a_run_is_caught(status: int) -> None:
    promised = attempt("a", status=status, seal="", answer=b"")
    assert rules(records([promised], [arrival("a")])) == ["REFUSED"]
    assert rules(records([promised], [arrival("a", ran=False)])) == []


def test_more_runners_than_tries_break_the_budget_from_the_fourth_request_on() -> None:
    def day(count: int) -> Records:
        names = [f"r{number}" for number in range(count)]
        return records(
            [attempt(name, idempotent=True) for name in names],
            [arrival(name, runner=runner) for name in names for runner in ("i-1", "i-2")],
        )

    assert rules(day(3)) == []
    assert rules(day(4)) == ["BUDGET"]


def test_more_repeats_than_the_ratio_and_the_extra_break_the_budget() -> None:
    def day(repeats: int) -> Records:
        names = [f"r{number}" for number in range(20)]
        again = [arrival(name, ran=False, runner="i-2") for name in names[:repeats]]
        return records([attempt(name) for name in names], [*map(arrival, names), *again])

    assert rules(day(14)) == []
    assert rules(day(15)) == ["BUDGET"]


def test_repeats_spread_over_windows_keep_the_budget() -> None:
    names = [f"r{number}" for number in range(15)]
    arrivals = [arrival(name, at=100.1 + 2.0 * number) for number, name in enumerate(names)]
    again = [arrival(one.id, at=one.at + 0.1, ran=False, runner="i-2") for one in arrivals]
    tries = [attempt(one.id, at=one.at - 0.1) for one in arrivals]
    assert rules(records(tries, [*arrivals, *again])) == []


def test_a_request_at_a_runner_that_drains_is_caught_after_the_bound_alone() -> None:
    told = [Acknowledgement("i-1", CORE, 97.0)]
    late = records([attempt("a")], [arrival("a")], acknowledgements=told)
    assert rules(late) == ["DRAIN"]
    turned_away = arrival("a", ran=False, status=421, seal="")
    served = arrival("a", at=100.2, runner="i-2")
    assert rules(records([attempt("a")], [turned_away, served], acknowledgements=told)) == []
    soon = [Acknowledgement("i-1", CORE, 98.2)]
    assert rules(records([attempt("a")], [arrival("a")], acknowledgements=soon)) == []


def test_a_machine_that_was_frozen_meanwhile_is_excused_of_the_drain() -> None:
    told = [Acknowledgement("i-1", CORE, 97.0)]
    frozen = [Trouble(EDGE, 97.5, 99.0, ends_life=False)]
    assert rules(records([attempt("a")], [arrival("a")], acknowledgements=told, troubles=frozen)) == []


@pytest.mark.parametrize(
    ("numbers", "complete"), [((1, 3), True), ((1, 2, 2, 3), True), ((1, 2), True), ((2, 3), False)]
)
def test_a_stream_with_a_gap_a_repetition_or_an_early_end_is_caught(
    numbers: tuple[int, ...], complete: bool
) -> None:
    stream = attempt("s", answer=events(*numbers), whole=complete, gave_up=not complete)
    run = arrival("s", answer=events(1, 2, 3), last_event=3)
    assert rules(records([stream], [run])) == ["ORDER"]


def test_two_runs_joined_where_the_route_forbids_it_are_caught() -> None:
    stream = attempt("s", answer=events(1, 2))
    runs = [
        arrival("s", answer=events(1), whole=False, broke_off=True, last_event=2),
        arrival("s", runner="i-2", seal="s-2", answer=events(2), last_event=2),
    ]
    assert rules(records([stream], runs)) == ["TWICE", "ORDER"]


def test_a_request_dropped_by_an_orderly_end_is_lost() -> None:
    dropped = attempt("a", status=0, seal="", answer=b"", answer_id="", whole=False)
    run = arrival("a", whole=False, answer=b"")
    planned = [Trouble(EDGE, 99.0, 107.0, planned=True)]
    assert rules(records([dropped], [run], troubles=planned)) == ["LOST"]
    assert rules(records([dropped], [run], troubles=[Trouble(OTHER_EDGE, 99.0, 107.0, planned=True)])) == []
    killed = [*planned, Trouble(CORE, 99.5, 101.0, core=True)]
    assert rules(records([dropped], [run], troubles=killed)) == []
    broke = arrival("a", whole=False, answer=b"", broke_off=True)
    assert rules(records([dropped], [broke], troubles=planned)) == []


@pytest.mark.parametrize("closed_before", [False, True])
def test_a_lost_request_tells_whether_its_connection_was_closed_before_it_was_sent(
    closed_before: bool,
) -> None:
    dropped = attempt(
        "a", status=0, seal="", answer=b"", answer_id="", whole=False, closed_before=closed_before
    )
    planned = [Trouble(EDGE, 99.0, 107.0, planned=True)]
    (breach,) = judge(records([dropped], [], troubles=planned), TimeLimits())
    assert breach.rule == "LOST"
    assert ("sent after its edge had closed the connection" in breach.what) is closed_before


def test_a_run_at_a_service_that_no_version_names_breaks_route() -> None:
    assert rules(records([attempt("a")], [arrival("a", service="desk")])) == ["ROUTE"]


def moved(at: float) -> list[ConfigurationCall]:
    """Version 2 moves the route to another service."""
    return [taken(1, 0, 10.0), taken(2, 1, at, configuration=whole(2, "desk"))]


def test_a_run_by_an_old_version_is_caught_once_the_new_one_must_be_in_force() -> None:
    old = [arrival("a")]
    changed = {"configurations": moved(97.0), "read_back": whole(2, "desk")}
    assert rules(records([attempt("a")], old, **changed)) == ["CONFIG"]
    frozen = [Trouble(EDGE, 96.0, 99.5, ends_life=False)]
    assert rules(records([attempt("a")], old, **changed, troubles=frozen)) == []
    changed["configurations"] = moved(98.5)
    assert rules(records([attempt("a")], old, **changed)) == []


def test_a_refusal_of_a_route_that_must_be_in_force_is_caught() -> None:
    refused = attempt("a", status=404, seal="", answer=b"")
    assert rules(records([refused], [])) == ["CONFIG"]
    assert rules(records([attempt("a", status=404, seal="", answer=b"", target="/none/")], [])) == []


def test_a_machine_that_goes_back_is_caught_within_one_life_only() -> None:
    tries = [attempt("new"), attempt("old", at=100.6)]
    runs = [arrival("new", service="desk"), arrival("old", at=100.7)]
    changed = {"configurations": moved(99.5), "read_back": whole(2, "desk")}
    assert rules(records(tries, runs, **changed)) == ["CONFIG"]
    killed = [Trouble(EDGE, 100.3, 100.4)]
    assert rules(records(tries, runs, **changed, troubles=killed)) == []
    tries[1].edge = OTHER_EDGE
    assert rules(records(tries, runs, **changed)) == []


@pytest.mark.parametrize(
    "calls",
    [
        [taken(2, 1, 20.0), taken(3, 1, 21.0)],
        [taken(2, 1, 20.0, configuration=None)],
        [taken(2, 1, 20.0, refused_after_acknowledgement=True)],
        [taken(2, 1, 20.0), taken(2, 5, 21.0, configuration=whole(2, "desk"))],
    ],
)
def test_acknowledgements_that_contradict_each_other_are_caught(calls: list[ConfigurationCall]) -> None:
    newest = max((call.version for call in calls if call.configuration), default=1)
    day = records([], [], configurations=[taken(1, 0, 10.0), *calls], read_back=whole(newest))
    assert rules(day) == ["CONFIG"]


@pytest.mark.parametrize(
    ("found", "rule"), [(None, "CONFIG"), (whole(1), "LOST"), (whole(2, "desk"), "CONFIG")]
)
def test_what_is_read_back_must_be_the_newest_taken(found: dict[str, Any] | None, rule: str) -> None:
    day = records([], [], configurations=[taken(1, 0, 10.0), taken(2, 1, 20.0)], read_back=found)
    assert rules(day) == [rule]


def test_a_change_without_a_clear_answer_may_be_read_back_but_a_refused_one_may_not() -> None:
    calls = [taken(1, 0, 10.0), taken(2, 1, 20.0, acknowledged_at=math.inf)]
    assert rules(records([], [], configurations=calls, read_back=whole(2))) == []
    calls[1].refused = True
    assert rules(records([], [], configurations=calls, read_back=whole(2))) == ["CONFIG"]


CUT = [Trouble(CORE, 100.0, 120.0, core=True, ends_life=False, cut_off=True)]


@pytest.mark.parametrize("status", [200, 400, 404, 412, 413])
def test_a_clear_answer_of_a_process_that_is_cut_off_is_caught(status: int) -> None:
    def day(control: str, sent_at: float, at: float) -> list[str]:
        answers = [OperatorAnswer(control, sent_at, at, status)]
        return rules(records([], [], operator_answers=answers, troubles=CUT))

    assert day(CORE, 100.1, 101.0) == ["CUT"]
    assert day(OTHER_CORE, 100.1, 101.0) == []
    assert day(CORE, 99.9, 101.0) == []  # it may have made sure before
    assert day(CORE, 119.9, 120.1) == []


def test_a_process_that_is_frozen_or_killed_is_not_cut_off() -> None:
    frozen = [Trouble(CORE, 100.0, 120.0, core=True, ends_life=False)]
    answers = [OperatorAnswer(CORE, 100.1, 101.0, 200)]
    assert rules(records([], [], operator_answers=answers, troubles=frozen)) == []


def test_an_end_that_only_a_process_that_is_cut_off_knows_of_is_caught() -> None:
    alone = Acknowledgement("i-1", CORE, 101.0, 100.5)
    assert rules(records([], [], acknowledgements=[alone], troubles=CUT)) == ["CUT"]
    before = Acknowledgement("i-1", OTHER_CORE, 100.2, 100.1)
    assert rules(records([], [], acknowledgements=[before, alone], troubles=CUT)) == []
    of_another = Acknowledgement("i-2", OTHER_CORE, 100.2, 100.1)
    assert rules(records([], [], acknowledgements=[of_another, alone], troubles=CUT)) == ["CUT"]
    after = Acknowledgement("i-1", OTHER_CORE, 102.0, 101.5)
    assert rules(records([], [], acknowledgements=[alone, after], troubles=CUT)) == ["CUT"]


def test_check_ins_that_a_process_keeps_for_long_while_it_is_cut_off_are_caught() -> None:
    bound = LIMITS.contact_ms / 1000.0

    def day(sent_at: float) -> list[str]:
        kept = [Acknowledgement("i-1", CORE, sent_at + 0.1, sent_at, tells_end=False)]
        return rules(records([], [], checkins=kept, troubles=CUT))

    assert day(100.0 + bound + 0.1) == ["CUT"]
    assert day(100.0 + bound - 0.1) == []
    assert day(120.1) == []


@pytest.mark.parametrize("status", [200, 404])
def test_an_edge_that_answers_by_routes_though_it_has_started_cut_off_is_caught(status: int) -> None:
    cut = Trouble(EDGE, 90.0, 120.0, ends_life=False, cut_off=True)
    began = Trouble(EDGE, 91.0, 95.0, planned=True)
    started_before = Trouble(EDGE, 80.0, 85.0, planned=True)

    def day(*troubles: Trouble, at: float = 100.0) -> list[str]:
        served = status == 200
        one = attempt("a", at, status=status, seal="s-a" if served else "")
        arrivals = [arrival("a", at + 0.1)] if served else []
        return rules(records([one], arrivals, troubles=list(troubles)))

    assert day(cut, began) == ["CUT"]
    assert "CUT" not in day(cut, started_before) + day(cut) + day(began) + day(cut, began, at=119.8)


def read(version: int, sent_at: float, **changes: Any) -> ReadSeen:
    """A read of what was sent under this number."""
    return ReadSeen(CORE, sent_at, sent_at + 0.1, whole(version, **changes) if version else {})


def test_a_read_older_than_what_was_acknowledged_before_it_began_is_stale() -> None:
    calls = [taken(1, 0, 10.0), taken(2, 1, 20.0)]

    def day(*reads: ReadSeen) -> list[str]:
        return rules(records([], [], configurations=calls, read_back=whole(2), reads=list(reads)))

    assert day(read(1, 20.1)) == ["STALE"]
    assert day(read(0, 20.1)) == ["STALE"]
    assert day(read(1, 19.95)) == []
    assert day(read(2, 20.1)) == []


def test_a_read_older_than_what_an_earlier_one_told_is_stale() -> None:
    calls = [taken(1, 0, 10.0), taken(2, 1, 20.0, acknowledged_at=math.inf)]

    def day(*reads: ReadSeen) -> list[str]:
        return rules(records([], [], configurations=calls, read_back=whole(2), reads=list(reads)))

    assert day(read(2, 20.0), read(1, 20.2)) == ["STALE"]
    assert day(read(2, 20.0), read(1, 20.05)) == []
    assert day(read(1, 20.0), read(2, 20.2)) == []


def test_a_read_of_what_was_refused_or_never_sent_is_caught() -> None:
    calls = [taken(1, 0, 10.0), taken(2, 1, 20.0, acknowledged_at=math.inf, refused=True)]

    def day(one: ReadSeen) -> list[str]:
        return rules(records([], [], configurations=calls, reads=[one]))

    assert day(read(2, 20.0)) == ["CONFIG"]
    assert day(read(1, 20.0, service="desk")) == ["CONFIG"]
    assert day(read(1, 20.0)) == []


def ordered(owner: str, fence: int, at: float, **changes: Any) -> OrderSeen:
    """An order that a runner took."""
    plain: dict[str, Any] = {"runner": "i-1", "status": 202}
    return OrderSeen(owner=f"{owner}:7660", fence=fence, at=at, **plain | changes)


def test_two_owners_under_one_fence_are_caught() -> None:
    orders = [ordered(CORE, 4, 100.0), ordered(OTHER_CORE, 4, 120.0, runner="i-2")]
    assert rules(records([], [], orders=orders)) == ["ONE"]


def test_owners_that_take_turns_within_a_lease_are_caught() -> None:
    orders = [ordered(CORE, 4, 100.0), ordered(OTHER_CORE, 5, 102.0)]
    assert rules(records([], [], orders=orders)) == ["ONE"]
    killed = [Trouble(CORE, 100.1, 101.0, core=True)]
    assert rules(records([], [], orders=orders, troubles=killed)) == []
    assert rules(records([], [], orders=[orders[0], ordered(OTHER_CORE, 5, 103.5)])) == []
    fenced = [ordered(OTHER_CORE, 5, 100.0), ordered(CORE, 4, 101.0, status=412)]
    assert rules(records([], [], orders=fenced)) == []


def test_an_order_beyond_a_runners_memory_is_caught() -> None:
    assert rules(records([], [], overloads=[("i-1", 100.0)])) == ["LIMIT"]


def test_more_loads_than_the_weight_store_allows_are_caught() -> None:
    allowed = int(2.0 * LIMITS.ceiling_window_s * LIMITS.origin_rate_cap + 3)
    loads = [100.0 + 0.1 * number for number in range(allowed)]
    assert rules(records([], [], loads=loads, loads_per_s=2.0)) == []
    loads.append(104.9)
    assert rules(records([], [], loads=loads, loads_per_s=2.0)) == ["CEILING"]
    killed = [Trouble(CORE, 99.0, 99.5, core=True)]
    assert rules(records([], [], loads=loads, loads_per_s=2.0, troubles=killed)) == []
