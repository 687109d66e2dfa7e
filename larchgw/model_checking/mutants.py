"""Mutation testing: deliberate mistakes that show whether an exploration detects faults of this kind.

Source: DeMillo, Lipton, Sayward, "Hints on test data selection" (mutation testing), 1978.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from types import ModuleType
from typing import Any, Generic, TypeVar

from .errors import InvariantError

OriginalT = TypeVar("OriginalT")
ReturnT = TypeVar("ReturnT")


def always(value: ReturnT) -> Callable[[Callable[..., ReturnT]], Callable[..., ReturnT]]:
    """Makes a replacement for a `Patch`: a function that returns `value` for any arguments."""

    def make(original: Callable[..., ReturnT]) -> Callable[..., ReturnT]:
        return lambda *arguments, **options: value

    return make


@dataclass(frozen=True, slots=True)
class Patch(Generic[OriginalT]):
    """Replaces one attribute of the code under test.

    Attributes:
        owner: The class or module that defines the attribute itself, without inheritance.
        attribute: Name of the attribute.
        make_replacement: Builds the replacement from the original.
    """

    owner: type | ModuleType
    attribute: str
    make_replacement: Callable[[OriginalT], OriginalT]

    @contextmanager
    def active(self) -> Iterator[None]:
        """Context manager that installs the replacement and restores the original."""
        original: OriginalT = self.owner.__dict__[self.attribute]
        setattr(self.owner, self.attribute, self.make_replacement(original))
        try:
            yield
        finally:
            setattr(self.owner, self.attribute, original)


@dataclass(frozen=True, slots=True)
class Mutant:
    """A deliberate mistake, and a run that catches it.

    Attributes:
        name: Describes the mistake; printed if it is not caught.
        play: Executes the run of a seed; raises InvariantError if it violates an invariant.
        seed: The first seed whose run catches the mistake.
        patches: The changes that make up the mistake; several if one attribute is not enough.
    """

    name: str
    play: Callable[[int], object]
    seed: int
    patches: tuple[Patch[Any], ...]

    @contextmanager
    def active(self) -> Iterator[None]:
        """Context manager that applies all patches of the mutant."""
        with ExitStack() as stack:
            for patch in self.patches:
                stack.enter_context(patch.active())
            yield


def is_caught(mutant: Mutant, max_runs: int = 1) -> bool:
    """Whether the mutant's run, or a run of one of the next seeds, violates an invariant.

    Args:
        mutant: The mistake that is active during the runs.
        max_runs: Maximum number of seeds to try.
    """
    with mutant.active():
        return any(_violates(mutant, seed) for seed in range(mutant.seed, mutant.seed + max_runs))


def _violates(mutant: Mutant, seed: int) -> bool:
    try:
        mutant.play(seed)
    except InvariantError:
        return True
    return False
