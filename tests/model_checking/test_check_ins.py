"""Exploration of check-ins: short runs violate no invariant, and every mutant is caught."""

from __future__ import annotations

import pytest

from larchgw.model_checking.check_ins import main as explore
from larchgw.model_checking.check_ins.cluster import SimulatedCluster
from larchgw.model_checking.check_ins.mutants import MUTANTS
from larchgw.model_checking.check_ins.runs import play_faults
from larchgw.model_checking.mutants import Mutant, Patch, is_caught


@pytest.mark.parametrize("seed", range(8))
def test_no_run_of_partitions_freezes_and_restarts_violates_an_invariant(seed: int) -> None:
    checks = play_faults(seed).checks
    assert checks.acknowledged
    assert len(checks.states) > 50


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_every_mutant_of_contact_is_caught(mutant: Mutant) -> None:
    assert is_caught(mutant)


def test_a_run_of_check_ins_is_repeated_by_its_seed() -> None:
    first, second = play_faults(3).checks, play_faults(3).checks
    assert first.acknowledged == second.acknowledged
    assert first.states == second.states


def test_last_line_counts_what_was_explored(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(explore, "MUTANTS", ())
    assert explore.main(0.5, 1) == 0
    assert capsys.readouterr().out.splitlines()[-1].startswith("explore: states=")


def test_a_missed_mutant_is_named_and_fails_the_exploration(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    unchanged = Patch(SimulatedCluster, "configure", lambda original: original)
    harmless = Mutant("changes nothing", play_faults, 0, (unchanged,))
    monkeypatch.setattr(explore, "MUTANTS", (harmless,))
    assert explore.main(0.1, 1) == 1
    assert "mutant not caught: changes nothing" in capsys.readouterr().out
