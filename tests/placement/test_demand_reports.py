"""What waits and runs at dispatchers: totals that are kept up agree with sums over the newest reports."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from larchgw.placement.demand_reports import Key, Standing, Standings

EXPIRY_S, INTERVALS = 2.0, 3.0
keys = st.tuples(st.just("llm"), st.sampled_from("mn"), st.sampled_from(["", "a1"]))
standings = st.builds(Standing, st.integers(0, 2), st.integers(0, 3), st.sampled_from([4.0, 9.0, math.inf]))
reports = st.lists(
    st.tuples(
        st.floats(0.0, 3.0), st.sampled_from("xyz"), st.floats(0.0, 2.0), st.dictionaries(keys, standings)
    ),
    max_size=20,
)


@given(reports)
def test_totals_never_drift_from_what_the_dispatchers_said_last(
    played: list[tuple[float, str, float, dict[Key, Standing]]],
) -> None:
    kept = Standings(EXPIRY_S, INTERVALS)
    newest: dict[str, tuple[float, float, dict[Key, Standing]]] = {}
    now = 0.0
    for pause, dispatcher, interval, said in played:
        now += pause
        before = newest.get(dispatcher)
        longest = max(interval, before[1] if before else 0.0)
        if before is not None and now > before[0]:
            longest = interval
        kept.drop_silent(now)
        kept.replace(now, dispatcher, interval, said)
        newest[dispatcher] = now + max(EXPIRY_S, INTERVALS * longest), interval, said
        heard = [last for silent_at, _, last in newest.values() if now <= silent_at]
        assert kept.anyone_waits() == any(one.waiting for last in heard for one in last.values())
        for model in "mn":
            for adapter in ("", "a1"):
                key = ("llm", model, adapter)
                here = [last[key] for last in heard if key in last]
                assert kept.names(key) == bool(here)
                assert kept.waiting(key) == sum(one.waiting for one in here)
                assert kept.in_flight(key) == sum(one.in_flight for one in here)
                deadlines = [one.deadline for one in here if one.waiting]
                assert kept.deadline(key) == min(deadlines, default=math.inf)
            of_model = [one for last in heard for key, one in last.items() if key[1] == model]
            assert kept.model_in_flight("llm", model) == sum(one.in_flight for one in of_model)
            waiting, _ = kept.waits_by_model("llm").get(model, (0, math.inf))
            assert waiting == sum(one.waiting for one in of_model)
