"""Hints: the newest entry of each key is stored, within limits."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from larchgw.distribution.hints import HintStore
from larchgw.rpc.generated.ttypes import Entry


def entry(key: str, major: int = 1) -> Entry:
    return Entry(key, major, 0, "me.1", major, b"x")


def entries(count: int) -> list[Entry]:
    return [entry(f"runner/{number}", number + 1) for number in range(count)]


class HintStoreTest(testtools.TestCase):
    def test_only_the_newest_of_a_key_is_kept(self) -> None:
        hints = HintStore(10)
        hints.add("a", [entry("runner/x", 3)])
        hints.add("a", [entry("runner/x", 2)])
        assert [hint.major for hint in hints.oldest("a", 10)] == [3]

    def test_the_oldest_is_dropped_and_counted_where_there_are_too_many(self) -> None:
        hints = HintStore(3)
        hints.add("a", entries(5))
        assert [hint.major for hint in hints.oldest("a", 10)] == [3, 4, 5]
        assert hints.dropped == 2

    def test_a_hint_that_changed_during_a_handover_stays(self) -> None:
        hints = HintStore(10)
        hints.add("a", [entry("runner/x", 1)])
        in_flight = hints.oldest("a", 10)
        hints.add("a", [entry("runner/x", 2)])
        hints.remove_delivered("a", in_flight)
        assert [hint.major for hint in hints.oldest("a", 10)] == [2]

    def test_hints_for_a_growing_number_of_lost_peers_stay_bounded(self) -> None:
        hints = HintStore(10, max_peers=4)
        for number in range(100):
            hints.add(f"peer{number}", entries(2))
        assert hints.peers() == ["peer96", "peer97", "peer98", "peer99"]
        assert hints.dropped == 192

    @given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 5), st.integers(1, 50)), max_size=60))
    def test_bounds_hold_and_the_newest_survives(self, kept: list[tuple[str, int, int]]) -> None:
        hints = HintStore(3)
        newest: dict[tuple[str, int], int] = {}
        for peer, key, major in kept:
            hints.add(peer, [entry(f"runner/{key}", major)])
            newest[peer, key] = max(major, newest.get((peer, key), 0))
            held = hints.oldest(peer, 100)
            assert len(held) <= 3
            assert all(hint.major <= newest[peer, int(hint.key[-1])] for hint in held)
            assert any(hint.key == f"runner/{key}" for hint in held)
