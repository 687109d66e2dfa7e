"""Deliberate mistakes: an exploration must catch each of its mutants, or it proves nothing.

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
    """A mistake for a `Patch`: the function returns `value`, whatever it is given."""

    def make(original: Callable[..., ReturnT]) -> Callable[..., ReturnT]:
        return lambda *arguments, **options: value

    return make


@dataclass(frozen=True, slots=True)
class Patch(Generic[OriginalT]):
    """Replaces one attribute of the code under test.

    Attributes:
        owner: The class or module that has the attribute itself, not by inheritance.
        attribute: Its name.
        make_replacement: Builds the replacement from the original.
    """

    owner: type | ModuleType
    attribute: str
    make_replacement: Callable[[OriginalT], OriginalT]

    @contextmanager
    def active(self) -> Iterator[None]:
        """The replacement is in place while this context lasts."""
        original: OriginalT = self.owner.__dict__[self.attribute]
        setattr(self.owner, self.attribute, self.make_replacement(original))
        try:
            yield
        finally:
            setattr(self.owner, self.attribute, original)


@dataclass(frozen=True, slots=True)
class Mutant:
    """One mistake, and a run that catches it.

    Attributes:
        name: What the mistaken code does.
        play: Plays the run for a seed; raises InvariantError if a property does not hold in it.
        seed: The first seed for which it does, once the mistake is in the code.
        patches: Where one line alone is not enough for the mistake, several.
    """

    name: str
    play: Callable[[int], object]
    seed: int
    patches: tuple[Patch[Any], ...]

    @contextmanager
    def active(self) -> Iterator[None]:
        """The mistake is in the code while this context lasts."""
        with ExitStack() as stack:
            for patch in self.patches:
                stack.enter_context(patch.active())
            yield


def is_caught(mutant: Mutant, max_runs: int = 1) -> bool:
    """Plays the mutant's run, and runs of the seeds that follow, until one of them violates an invariant.

    Args:
        mutant: The mistake to bring into the code meanwhile.
        max_runs: How many seeds are tried.
    """
    with mutant.active():
        return any(_violates(mutant, seed) for seed in range(mutant.seed, mutant.seed + max_runs))


def _violates(mutant: Mutant, seed: int) -> bool:
    try:
        mutant.play(seed)
    except InvariantError:
        return True
    return False
