"""Which idle models are likely to become busy."""

import math

from larchgw.placement.demand_tracker import ModelSummary
from larchgw.placement.popularity_change import PopularityChange


def summary(requests_per_s: float) -> ModelSummary:
    return ModelSummary(requests_per_s, 1.0, 0, 0, math.inf)


def test_a_previously_busy_model_is_likelier_to_become_busy_than_a_rare_one() -> None:
    change = PopularityChange(0.5)
    names = ("m0", "m1", "m2", "m3")
    change.observe(0.0, names, {"m0": summary(10.0), "m1": summary(0.05)})
    change.observe(10.0, names, {"m0": summary(0.01), "m1": summary(0.05), "m2": summary(8.0)})
    previously_busy, rare, never_requested = (
        change.expected_value_per_s(name, 15.0) for name in ("m0", "m1", "m3")
    )
    assert previously_busy > never_requested > rare > 0.0
    assert change.expected_value_per_s("m2", 15.0) > never_requested
