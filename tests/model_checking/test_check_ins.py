"""The exploration of check-ins: bounded courses break nothing; every mistake put in on purpose is caught."""

from __future__ import annotations

import pytest

from larchgw.model_checking.check_ins import main as explore
from larchgw.model_checking.check_ins.mutants import MUTANTS
from larchgw.model_checking.replication.mutants import Mutant


@pytest.mark.parametrize("seed", range(8))
def test_no_course_of_cuts_freezes_and_restarts_breaks_a_property(seed: int) -> None:
    cluster = explore.course(seed)
    assert cluster.acknowledged and len(cluster.states) > 50


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_a_mistake_about_contact_put_in_on_purpose_is_caught(mutant: Mutant) -> None:
    assert explore.caught(mutant)


def test_a_course_is_repeated_by_its_seed() -> None:
    first, second = explore.course(3), explore.course(3)
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
    harmless = Mutant(
        "changes nothing", "course", 0, explore.SimulatedCluster, "_configure", lambda original: original
    )
    monkeypatch.setattr(explore, "MUTANTS", (harmless,))
    assert explore.main(0.1, 1) == 1
    assert "mutant not caught: changes nothing" in capsys.readouterr().out
