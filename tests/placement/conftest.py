"""Fixtures of the placement tests: a manual clock, and a demand tracker that uses it."""

import pytest

from larchgw.placement.demand_tracker import DemandTracker


class FakeClock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def demand(clock: FakeClock) -> DemandTracker:
    """A demand tracker without demand, on the fake clock."""
    return DemandTracker(clock)
