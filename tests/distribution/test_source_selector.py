"""Selection of the next control process to pull from, and the pause before the pull."""

from __future__ import annotations

import random
from collections.abc import Callable

import testtools

from larchgw.configuration.settings import TimeLimits
from larchgw.distribution.pull_settings import HAND_BACK_SPREAD, PullSettings
from larchgw.distribution.source_selector import SourceSelector
from larchgw.runner_directory.directory import SILENCE_TIMEOUT_HEARTBEATS

SETTINGS = PullSettings()


def new_selector(near: Callable[[str], bool] | None = None, seed: int = 1) -> SourceSelector:
    return SourceSelector(SETTINGS, random.Random(seed), near)


class SourceSelectorTest(testtools.TestCase):
    def test_no_source_without_an_address(self) -> None:
        assert new_selector().choose(0.0, []) is None

    def test_the_selector_stays_with_the_source_that_serves(self) -> None:
        selector = new_selector()
        selector.record_success(0.0, "b")
        for second in range(50):
            assert selector.choose(float(second), ["a", "b", "c"]).address == "b"

    def test_the_selector_tries_every_other_source_before_it_comes_back(self) -> None:
        for seed in range(20):
            selector = new_selector(seed=seed)
            asked = []
            for _ in range(4):
                source = selector.choose(0.0, ["a", "b", "c", "d"])
                asked.append(source.address)
                selector.record_failure(source.address)
            assert {"a", "b", "c", "d"} == set(asked)

    def test_a_second_round_tries_every_one_again(self) -> None:
        selector, asked = new_selector(), []
        for _ in range(8):
            source = selector.choose(0.0, ["a", "b", "c", "d"])
            asked.append(source.address)
            selector.record_failure(source.address)
        assert {"a", "b", "c", "d"} == set(asked[4:])

    def test_a_source_that_failed_before_another_served_is_asked_again_without_a_pause(self) -> None:
        selector = new_selector()
        selector.choose(0.0, ["a", "b"])
        selector.record_failure("a")
        selector.record_success(0.0, "b")
        selector.record_failure("b")
        source = selector.choose(9.0, ["a", "b"])
        assert source.pause_s == 0.0

    def test_after_a_failure_the_next_is_asked_without_a_pause(self) -> None:
        selector = new_selector()
        selector.record_success(0.0, "a")
        selector.record_failure("a")
        selector.choose(0.0, ["a", "b"])
        selector.record_failure("b")
        assert selector.choose(0.0, ["a", "b"]).pause_s > 0.0
        selector.record_success(1.0, "a")
        selector.record_failure("a")
        source = selector.choose(1.0, ["a", "b"])
        assert (source.pause_s, source.address) == (0.0, "b")

    def test_pauses_grow_up_to_their_bound_while_nobody_serves(self) -> None:
        selector, pauses = new_selector(), []
        for _ in range(12):
            source = selector.choose(0.0, ["a"])
            pauses.append(source.pause_s)
            selector.record_failure("a")
        assert pauses[1] < SETTINGS.min_backoff_s + 1e-09
        assert pauses[-1] >= SETTINGS.max_backoff_s / 2
        assert max(pauses) <= SETTINGS.max_backoff_s

    def test_processes_that_start_together_spread_their_first_pulls(self) -> None:
        first = [new_selector(seed=seed).choose(0.0, ["a", "b", "c"]) for seed in range(100)]
        assert max(source.pause_s for source in first) > 0.8 * SETTINGS.start_jitter_s
        assert min(sum(source.address == name for source in first) for name in "abc") > 15

    def test_source_in_the_same_zone_is_preferred(self) -> None:
        for seed in range(20):
            selector = new_selector(lambda address: address == "c", seed)
            assert selector.choose(0.0, ["a", "b", "c"]).address == "c"
            selector.record_failure("c")
            assert selector.choose(0.0, ["a", "b", "c"]).address != "c"

    def test_selector_returns_to_a_source_in_its_zone_after_the_recheck_time(self) -> None:
        selector = new_selector(lambda address: address == "c")
        selector.record_success(0.0, "a")
        assert selector.choose(SETTINGS.zone_recheck_s / 2, ["a", "c"]).address == "a"
        assert selector.choose(SETTINGS.zone_recheck_s + 1.0, ["a", "c"]).address == "c"

    def test_fallback_addresses_are_used_only_after_all_known_ones_have_failed(self) -> None:
        selector = new_selector()
        assert selector.choose(0.0, ["new"], ["seed"]).address == "new"
        selector.record_failure("new")
        assert selector.choose(0.0, ["new"], ["seed"]).address == "seed"

    def test_waits_are_derived_from_the_shorter_time_limit(self) -> None:
        settings = PullSettings.from_time_limits(TimeLimits(apply_ms=2000, drain_end_ms=1000))
        assert settings.wait_s + settings.reply_grace_s < 0.7

    def test_runners_are_handed_back_before_they_would_count_as_silent(self) -> None:
        """Guards against runners that crashed with all control processes and are called silent too late."""
        settings = PullSettings.from_time_limits(TimeLimits(), heartbeat_interval_s=1.2)
        latest_s = settings.hand_back_after_s * max(HAND_BACK_SPREAD) + settings.wait_s
        assert latest_s < SILENCE_TIMEOUT_HEARTBEATS * 1.2
