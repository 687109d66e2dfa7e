"""Clients told to retry later count as waiting until their retry time."""

from __future__ import annotations

from larchgw.edge.expected_returns import AwaitedLoad, ExpectedReturns
from tests.support.routing_factories import world


def test_a_client_counts_as_waiting_until_its_retry_time() -> None:
    w = world()
    asked = w.request("m", "a1", target_s=0.5)
    returns = ExpectedReturns()
    returns.add(w.now, asked, 2.0)
    assert returns.pending(w.now + 1.9) == [AwaitedLoad(asked.key, asked.deadline_at)]
    assert returns.pending(w.now + 2.0) == []


def test_an_earlier_retry_time_expires_before_a_later_one_added_first() -> None:
    w = world()
    returns = ExpectedReturns()
    returns.add(w.now, w.request("m"), 3.0)
    returns.add(w.now, w.request("n"), 1.0)
    assert [awaited.key[1] for awaited in returns.pending(w.now + 2.0)] == ["m"]


def test_the_original_deadline_is_kept_for_placement() -> None:
    w = world()
    returns = ExpectedReturns()
    returns.add(w.now, w.request("m", target_s=0.5, deadline_s=15.0), 5.0)
    (awaited,) = returns.pending(w.now)
    assert awaited.deadline_at - w.now > 6.0
