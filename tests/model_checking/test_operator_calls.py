"""Exploration of operator calls: runs violate no invariant, and every mutant is caught."""

from __future__ import annotations

import json

import pytest

from larchgw.control.configuration_state import ConfigurationState
from larchgw.control.operator_order import OperatorOrder
from larchgw.model_checking.errors import InvariantError
from larchgw.model_checking.mutants import Mutant
from larchgw.model_checking.operator_calls import main as explore
from larchgw.model_checking.operator_calls.invariants import InvariantChecker, SentOrder
from larchgw.model_checking.operator_calls.mutants import MUTANTS
from larchgw.model_checking.operator_calls.runs import play_faults


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_run_violates_what_operators_rely_on(seed: int) -> None:
    assert play_faults(seed).checks.acknowledged


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_every_mutant_is_caught(mutant: Mutant) -> None:
    assert explore.is_caught(mutant)


def test_a_run_is_repeated_by_its_seed() -> None:
    first, second = play_faults(4), play_faults(4)
    assert first.checks.answers == second.checks.answers
    assert first.checks.acknowledged == second.checks.acknowledged
    assert len(first.states) == len(second.states)


def sent(version: int, base_version: int, service_name: str = "a", is_valid: bool = True) -> SentOrder:
    body = {"config_version": version, "routes": [], "services": [{"name": service_name}]}
    return SentOrder(OperatorOrder("replace", base_version, json.dumps(body).encode()), version, is_valid)


def in_force(*orders: SentOrder) -> ConfigurationState:
    state = ConfigurationState()
    for index, order in enumerate(orders):
        state.apply(index + 1, order.order.encode())
    return state


def test_checker_detects_each_kind_of_violation() -> None:
    first, rival, second = sent(1, 0), sent(1, 0, "rival"), sent(3, 1)
    rejected, invalid, never_sent = sent(5, 3), sent(6, 3, is_valid=False), sent(2, 1, "unseen")
    checks = InvariantChecker()
    for order in (first, rival, second, rejected, invalid):
        checks.sends(order)
    checks.in_force("a", in_force(first))
    checks.answered(first, 200)
    checks.in_force("a", in_force(first, second))
    checks.answered(rejected, 412)
    checks.answered(rival, 503)
    checks.read(1, 3)
    for violate in (
        lambda: checks.answered(rival, 200),
        lambda: checks.answered(first, 412),
        lambda: checks.answered(second, 409),  # in force, but not acknowledged yet
        lambda: checks.answered(rejected, 200),
        lambda: checks.answered(invalid, 200),
        lambda: checks.read(1, 0),
        lambda: checks.read(1, never_sent.version),
        lambda: checks.in_force("b", in_force(rival)),
        lambda: checks.in_force("b", in_force(first, second, rejected)),
        lambda: checks.in_force("b", in_force(first, second, invalid)),
    ):
        with pytest.raises(InvariantError):
            violate()


def test_last_line_counts_what_was_explored(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(explore, "MUTANTS", ())
    assert explore.main(0.5, 1) == 0
    assert capsys.readouterr().out.splitlines()[-1].startswith("explore: states=")
