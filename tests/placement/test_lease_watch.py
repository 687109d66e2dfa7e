"""When a process may send orders under the placement lease."""

import pytest

from larchgw.experiments.place import HeldLease
from larchgw.identifiers import RunnerId
from larchgw.placement.lease_watch import LeaseWatch
from larchgw.placement.model import Order, OrderOutcome, RunnerReport
from larchgw.placement.service_runtime import PlacementRuntime

from .conftest import FakeClock


class UnusedCalls:
    """Calls to runners that fail the test, for tests without any."""

    async def order(self, order: Order, fencing_token: int, begin_by_s: float) -> OrderOutcome:
        raise AssertionError("an order was sent")

    async def report(self, runner_id: RunnerId, address: str) -> RunnerReport | None:
        raise AssertionError("a report was asked for")


@pytest.fixture
def held() -> list[HeldLease | None]:
    """The lease that the process holds, as the only item of a list."""
    return [None]


@pytest.fixture
def changes() -> list[tuple[object, ...]]:
    return []


@pytest.fixture
def watch(clock: FakeClock, held: list[HeldLease | None], changes: list[tuple[object, ...]]) -> LeaseWatch:
    runtime = PlacementRuntime(clock, lambda: held[0], UnusedCalls())
    return LeaseWatch(
        runtime,
        on_acquired=lambda now_s, fencing_token: changes.append(("acquired", now_s, fencing_token)),
        on_lost=lambda now_s: changes.append(("lost", now_s)),
    )


def test_a_lease_is_used_until_its_end_and_no_longer(
    clock: FakeClock, held: list[HeldLease | None], watch: LeaseWatch, changes: list[tuple[object, ...]]
) -> None:
    held[0] = HeldLease(3, clock.now_s)
    assert watch.current() is None
    held[0] = HeldLease(3, clock.now_s + 0.2)
    assert watch.current() is held[0]
    clock.now_s += 0.2
    assert watch.current() is None
    assert changes == [("acquired", 100.0, 3), ("lost", 100.2)]


def test_a_lease_that_follows_another_is_lost_first_and_then_acquired(
    clock: FakeClock, held: list[HeldLease | None], watch: LeaseWatch, changes: list[tuple[object, ...]]
) -> None:
    held[0] = HeldLease(3)
    watch.current()
    clock.now_s += 1.0
    held[0] = HeldLease(5)
    assert watch.current() is held[0]
    assert watch.current() is held[0]
    assert changes == [("acquired", 100.0, 3), ("lost", 101.0), ("acquired", 101.0, 5)]
    assert (watch.fencing_token, watch.acquired_at_s) == (5, 101.0)


def test_a_superseded_lease_is_not_used_and_a_later_one_is(
    held: list[HeldLease | None], watch: LeaseWatch
) -> None:
    held[0] = HeldLease(3)
    watch.current()
    watch.supersede(3)
    assert watch.current() is None
    held[0] = HeldLease(4)
    assert watch.current() is held[0]
