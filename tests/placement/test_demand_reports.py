"""Demand reports of dispatchers: the running totals equal sums over the latest reports."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from larchgw.placement.demand_reports import DemandKey, DemandReports, KeyDemand

EXPIRY_S, EXPIRY_INTERVALS = 2.0, 3.0
keys = st.tuples(st.just("llm"), st.sampled_from("mn"), st.sampled_from(["", "a1"]))
key_demands = st.builds(
    KeyDemand, st.integers(0, 2), st.integers(0, 3), st.sampled_from([4.0, 9.0, math.inf])
)
reports = st.lists(
    st.tuples(
        st.floats(0.0, 3.0), st.sampled_from("xyz"), st.floats(0.0, 2.0), st.dictionaries(keys, key_demands)
    ),
    max_size=20,
)


@given(reports)
def test_totals_equal_sums_over_the_latest_unexpired_report_of_each_dispatcher(
    sent: list[tuple[float, str, float, dict[DemandKey, KeyDemand]]],
) -> None:
    table = DemandReports(EXPIRY_S, EXPIRY_INTERVALS)
    newest: dict[str, tuple[float, float, dict[DemandKey, KeyDemand]]] = {}
    now_s = 0.0
    for pause_s, dispatcher, interval_s, demand in sent:
        now_s += pause_s
        previous = newest.get(dispatcher)
        longest_s = max(interval_s, previous[1] if previous else 0.0)
        if previous is not None and now_s > previous[0]:
            longest_s = interval_s
        table.drop_expired(now_s)
        table.replace(now_s, dispatcher, interval_s, demand)
        expires_at_s = now_s + max(EXPIRY_S, EXPIRY_INTERVALS * longest_s)
        newest[dispatcher] = expires_at_s, interval_s, demand
        counted = [last for expires_at_s, _, last in newest.values() if now_s <= expires_at_s]
        assert_totals(table, counted)


def assert_totals(table: DemandReports, counted: list[dict[DemandKey, KeyDemand]]) -> None:
    assert table.has_waiting_requests() == any(
        known.waiting for demand in counted for known in demand.values()
    )
    for model in "mn":
        for adapter in ("", "a1"):
            key = ("llm", model, adapter)
            of_key = [demand[key] for demand in counted if key in demand]
            assert table.is_reported(key) == bool(of_key)
            assert table.waiting(key) == sum(known.waiting for known in of_key)
            assert table.in_flight(key) == sum(known.in_flight for known in of_key)
            deadlines = [known.deadline_s for known in of_key if known.waiting]
            assert table.deadline_s(key) == min(deadlines, default=math.inf)
        of_model = [known for demand in counted for key, known in demand.items() if key[1] == model]
        assert table.model_in_flight("llm", model) == sum(known.in_flight for known in of_model)
        waiting, _ = table.waiting_by_model("llm").get(model, (0, math.inf))
        assert waiting == sum(known.waiting for known in of_model)
