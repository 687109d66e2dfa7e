"""Exploration of replication: short runs violate no invariant, and every mutant is caught."""

from __future__ import annotations

import time

import pytest

from larchgw.model_checking.errors import InvariantError
from larchgw.model_checking.mutants import Mutant, is_caught
from larchgw.model_checking.replication import main as explore
from larchgw.model_checking.replication.exhaustive_search import ExhaustiveSearch
from larchgw.model_checking.replication.invariants import InvariantChecker
from larchgw.model_checking.replication.mutants import MUTANTS
from larchgw.model_checking.replication.runs import play_faults, play_random_walk
from larchgw.replication.lease_actions import ACTION_DELIVERY_S


def test_no_interleaving_of_a_few_steps_violates_an_invariant() -> None:
    search = ExhaustiveSearch()
    search.explore(max_states=400, until=time.monotonic() + 60.0)
    assert len(search.states) >= 400


@pytest.mark.parametrize("seed", range(4))
def test_no_random_walk_violates_an_invariant(seed: int) -> None:
    assert play_random_walk(seed).events > 1000


@pytest.mark.parametrize("seed", range(4))
def test_no_run_of_faults_violates_an_invariant_and_all_recovers(seed: int) -> None:
    cluster = play_faults(seed)
    assert cluster.acknowledged
    assert cluster.confirmed


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_every_mutant_is_caught(mutant: Mutant) -> None:
    mutant.play(mutant.seed)  # without the mistake no invariant is violated
    assert is_caught(mutant)


def test_a_run_is_repeated_by_its_seed() -> None:
    first, second = play_faults(5), play_faults(5)
    assert first.events == second.events
    assert (first.acknowledged, first.states) == (second.acknowledged, second.states)


def test_checker_detects_each_kind_of_violation() -> None:
    checks = InvariantChecker(lease_term_s=3.0)
    checks.committed("a", 1, b"one")
    checks.acknowledged(1, 0, b"one")
    checks.acts("a/1", 4)
    checks.promised("a", 5)
    checks.made_snapshot(7, b"state of 7")
    checks.holds_lease("a", 2)
    checks.starts_action_under_lease(0.0, "a", "runner-1")
    checks.starts_action_under_lease(0.5, "b", "runner-2")
    for violate in (
        lambda: checks.committed("b", 1, b"other"),
        lambda: checks.acknowledged(2, 1, b"never handed out"),
        lambda: checks.read("b", checks.newest_acknowledged, 0),
        lambda: checks.acts("b/1", 4),
        lambda: checks.accepted("a", 4),
        lambda: checks.becomes_primary("a", 4),
        lambda: checks.installed("b", 7, b"state of 8"),
        lambda: checks.installed("b", 8, b"state of 7"),
        lambda: checks.holds_lease("b", 1),
        lambda: checks.holds_lease("b", 2),
        lambda: checks.starts_action_under_lease(2.9, "b", "runner-1"),
        lambda: checks.starts_action_under_lease(3.0 + ACTION_DELIVERY_S - 0.01, "b", "runner-1"),
        lambda: checks.starts_action_under_lease(0.6, "a", "runner-2"),
    ):
        with pytest.raises(InvariantError):
            violate()


def test_last_line_counts_what_was_explored(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(explore, "MUTANTS", ())
    assert explore.main(0.5, 1) == 0
    assert capsys.readouterr().out.splitlines()[-1].startswith("explore: states=")
