"""Full redundancy returns well within catch_up_s (4 or 6 s) after a machine is back or replaced."""

from __future__ import annotations

import pytest

from larchgw.model_checking.replication.redundancy import (
    CASES,
    LARGE_STATE_BYTES,
    SHAPES,
    Case,
    seconds_to_redundancy,
)

MAX_REDUNDANCY_S = 2.0  # `larchgw explore redundancy` prints median and worst values


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: f"{shape[0]} machines")
def test_full_redundancy_is_back_in_time(case: Case, shape: tuple[int, int, int]) -> None:
    assert max(seconds_to_redundancy(case, shape, seed, 0) for seed in range(200, 204)) < MAX_REDUNDANCY_S


def test_a_large_state_is_copied_in_time() -> None:
    for case in CASES:
        assert seconds_to_redundancy(case, SHAPES[0], 1, LARGE_STATE_BYTES) < MAX_REDUNDANCY_S


@pytest.mark.parametrize(("name", "seed"), [("replaced", 223), ("restart in order", 251)])
def test_a_member_enters_though_changes_never_pause(name: str, seed: int) -> None:
    (case,) = (case for case in CASES if case.name == name)
    assert seconds_to_redundancy(case, SHAPES[0], seed, 0) < MAX_REDUNDANCY_S
