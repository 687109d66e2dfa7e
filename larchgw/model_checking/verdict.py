"""What every exploration ends with: it runs, its mutants are tried, and the last line counts both."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

from ..runtime.logs import muted


class Seen(Protocol):
    """What an exploration has seen."""

    states: int
    broken: list[str]

    def counts(self) -> str:
        """A line of further counts."""


class Named(Protocol):
    """A mutant."""

    @property
    def name(self) -> str:
        """What the mistake is."""


MutantT = TypeVar("MutantT", bound=Named)


def print_verdict(
    explore: Callable[[], Seen], mutants: Iterable[MutantT], caught: Callable[[MutantT], bool]
) -> int:
    """Explores, tries the mutants and prints what came of it; 0 if nothing is broken and every mutant is
    caught. Nothing is logged meanwhile."""
    tried = list(mutants)
    with muted():
        found = explore()
        missed = [mutant.name for mutant in tried if not caught(mutant)]
    print(found.counts())
    for reason in found.broken:
        print(f"broken: {reason}")
    for name in missed:
        print(f"mutant not caught: {name}")
    score = f"{len(tried) - len(missed)}/{len(tried)}"
    print(f"explore: states={found.states} broken={len(found.broken)} mutants={score}")
    return 1 if found.broken or missed else 0
