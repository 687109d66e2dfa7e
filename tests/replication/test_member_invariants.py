"""The invariants of a member (`Member.validate_state`) hold after every call, whatever faults occur."""

from __future__ import annotations

from collections.abc import Callable
from typing import Concatenate, ParamSpec, TypeVar

import pytest

from larchgw.model_checking.replication.runs import play_faults, play_random_walk
from larchgw.replication.member import Member

ArgumentsT = ParamSpec("ArgumentsT")
ResultT = TypeVar("ResultT")


@pytest.fixture
def validated_calls(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The names of the calls after which the state of a member was validated."""
    calls: list[str] = []

    def validated(
        name: str, original: Callable[Concatenate[Member, ArgumentsT], ResultT]
    ) -> Callable[Concatenate[Member, ArgumentsT], ResultT]:
        def call(member: Member, *arguments: ArgumentsT.args, **options: ArgumentsT.kwargs) -> ResultT:
            result = original(member, *arguments, **options)
            member.validate_state()
            calls.append(name)
            return result

        return call

    for name in ("start", "receive", "tick", "propose", "confirm", "step_down", "leave"):
        monkeypatch.setattr(Member, name, validated(name, getattr(Member, name)))
    return calls


@pytest.mark.parametrize("seed", range(2))
def test_state_is_valid_after_every_call_of_a_run_with_faults(seed: int, validated_calls: list[str]) -> None:
    play_faults(seed)
    assert len(validated_calls) > 1000
    assert {"start", "receive", "tick", "propose", "confirm"} <= set(validated_calls)


@pytest.mark.parametrize("seed", range(4))
def test_state_is_valid_after_every_call_of_a_random_walk(seed: int, validated_calls: list[str]) -> None:
    play_random_walk(seed)
    assert len(validated_calls) > 1000


def test_validation_finds_a_record_handed_out_before_it_is_acknowledged(validated_calls: list[str]) -> None:
    cluster = play_random_walk(0)
    member = next(machine.member for machine in cluster.machines.values() if machine.member is not None)
    member._parts.effects.delivered = member.committed_index + 1
    with pytest.raises(AssertionError, match="an unacknowledged record was delivered"):
        member.validate_state()
