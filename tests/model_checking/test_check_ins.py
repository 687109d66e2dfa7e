"""The exploration of check-ins: bounded courses break nothing; every mistake put in on purpose is caught."""

from __future__ import annotations

import pytest

from larchgw.model_checking.check_ins import main as explore
from larchgw.model_checking.check_ins.cluster import SimulatedCluster
from larchgw.model_checking.check_ins.mutants import MUTANTS
from larchgw.model_checking.check_ins.runs import play_faults
from larchgw.model_checking.mutants import Mutant, Patch, is_caught


@pytest.mark.parametrize("seed", range(8))
def test_no_course_of_cuts_freezes_and_restarts_breaks_a_property(seed: int) -> None:
    checks = play_faults(seed).checks
    assert checks.acknowledged
    assert len(checks.states) > 50


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_a_mistake_about_contact_put_in_on_purpose_is_caught(mutant: Mutant) -> None:
    assert is_caught(mutant)


def test_a_course_is_repeated_by_its_seed() -> None:
    first, second = play_faults(3).checks, play_faults(3).checks
    assert first.acknowledged == second.acknowledged
    assert first.states == second.states


def test_the_last_line_tells_what_was_explored(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(explore, "MUTANTS", ())
    assert explore.main(0.5, 1) == 0
    assert capsys.readouterr().out.splitlines()[-1].startswith("explore: states=")


def test_a_missed_mistake_is_named_and_fails_the_run(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    unchanged = Patch(SimulatedCluster, "configure", lambda original: original)
    harmless = Mutant("changes nothing", play_faults, 0, (unchanged,))
    monkeypatch.setattr(explore, "MUTANTS", (harmless,))
    assert explore.main(0.1, 1) == 1
    assert "mutant not caught: changes nothing" in capsys.readouterr().out
