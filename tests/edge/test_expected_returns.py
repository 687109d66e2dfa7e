"""Clients that were told to come back count as waiting until they do."""

from __future__ import annotations

from larchgw.edge.expected_returns import AwaitedLoad, ExpectedReturns
from tests.support.routing_factories import world


def test_client_counts_until_the_time_at_which_it_was_told_to_come_back() -> None:
    w = world()
    asked = w.request("m", "a1", target_s=0.5)
    returns = ExpectedReturns()
    returns.add(w.now, asked, 2.0)
    assert returns.pending(w.now + 1.9) == [AwaitedLoad(asked.key, asked.deadline_at)]
    assert returns.pending(w.now + 2.0) == []


def test_earlier_returns_do_not_hide_behind_later_ones() -> None:
    w = world()
    returns = ExpectedReturns()
    returns.add(w.now, w.request("m"), 3.0)
    returns.add(w.now, w.request("n"), 1.0)
    assert [awaited.key[1] for awaited in returns.pending(w.now + 2.0)] == ["m"]


def test_load_that_takes_longer_than_the_time_to_the_return_is_still_in_time_for_placement() -> None:
    w = world()
    returns = ExpectedReturns()
    returns.add(w.now, w.request("m", target_s=0.5, deadline_s=15.0), 5.0)
    (awaited,) = returns.pending(w.now)
    assert awaited.deadline_at - w.now > 6.0
