"""Exploration of the edge's attempts: no run breaks a rule, and every mutant is caught."""

from __future__ import annotations

import pytest

from larchgw.model_checking.attempts import main as explore
from larchgw.model_checking.attempts.ledger import Ledger
from larchgw.model_checking.attempts.mutants import MUTANTS
from larchgw.model_checking.attempts.run import play
from larchgw.model_checking.errors import InvariantError
from larchgw.model_checking.mutants import Mutant, is_caught


@pytest.mark.parametrize("block", range(6))
def test_no_run_refuses_what_ran_or_runs_twice_what_may_run_once(block: int) -> None:
    # Guards against REFUSED and TWICE of incidents 67 and 71.
    finished = rejections = runs = 0
    for seed in range(100 * block, 100 * block + 100):
        run = play(seed)
        finished += run.finished
        rejections += run.ledger.rejections
        runs += sum(run.ledger.runs.values())
    assert min(finished, rejections, runs) > 300


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_every_mutant_of_attempts_is_caught(mutant: Mutant) -> None:
    assert is_caught(mutant)


def test_a_run_is_repeated_by_its_seed() -> None:
    first, second = play(3).ledger, play(3).ledger
    assert first.runs == second.runs
    assert first.answers == second.answers


def test_last_line_counts_what_was_explored(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(explore, "MUTANTS", ())
    assert explore.main(0.5, 1) == 0
    counts, last = capsys.readouterr().out.splitlines()
    assert "rejections=" in counts
    assert last.startswith("explore: states=")


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_run_after_a_promise_is_a_violation(status: int) -> None:
    ledger = Ledger()
    ledger.asked(b"id1", idempotent=False)
    ledger.answered(b"id1", status, b"")
    with pytest.raises(InvariantError, match=f"REFUSED.*the client gets {status}; i-1 runs it"):
        ledger.ran(b"id1", "i-1")


def test_a_second_run_is_a_violation_unless_the_request_is_idempotent() -> None:
    ledger = Ledger()
    for name, idempotent in ((b"once", False), (b"often", True)):
        ledger.asked(name, idempotent)
        ledger.ran(name, "i-1")
    ledger.ran(b"often", "i-2")
    with pytest.raises(InvariantError, match="TWICE"):
        ledger.ran(b"once", "i-2")


def test_another_requests_answer_and_a_run_of_what_nobody_asked_are_violations() -> None:
    ledger = Ledger()
    ledger.asked(b"id1", idempotent=True)
    with pytest.raises(InvariantError, match="MIXED"):
        ledger.answered(b"id1", 200, b"id2 ran")
    with pytest.raises(InvariantError, match="UNASKED"):
        ledger.ran(b"id2", "i-1")
