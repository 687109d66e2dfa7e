"""Rendezvous hashing: all dispatchers prefer the same runner for a prefix without talking to each other.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from .interface import RequestTraits

_MASK = (1 << 64) - 1
_MULTIPLIER = 0xBF58476D1CE4E5B9  # of splitmix64: spreads any two inputs that differ in a bit


def stable_hash(*words: str) -> int:
    """Returns 64 bits that are the same in every process."""
    return int.from_bytes(blake2b("\0".join(words).encode(), digest_size=8).digest(), "big")


def shared_prefix_hash(request: RequestTraits) -> int:
    """Identifies what the request's prompt shares with others: all parts but the last, which is its own."""
    shared = request.parts[:-1] or request.parts
    return stable_hash(*request.key, *(part.id for part in shared))


class Rendezvous:
    """Weights of runners for a prefix; the highest is preferred.

    A lost runner moves only its own prefixes.
    """

    def __init__(self) -> None:
        """Begins with no runner's hash computed; each is kept until `forget`."""
        self._seeds: dict[str, int] = {}

    def weight(self, prefix: int, runner: str) -> int:
        """The runner's weight for the prefix."""
        seed = self._seeds.get(runner)
        if seed is None:
            seed = self._seeds[runner] = stable_hash(runner)
        mixed = ((prefix ^ seed) * _MULTIPLIER) & _MASK
        return ((mixed ^ (mixed >> 31)) * _MULTIPLIER) & _MASK

    def preferred(self, prefix: int, runners: Sequence[str]) -> str:
        """The runner with the highest weight.

        Raises:
            ValueError: `runners` is empty.
        """
        return max(runners, key=lambda runner: self.weight(prefix, runner))

    def forget(self, runner: str) -> None:
        """Drops what is kept of a runner that is gone."""
        self._seeds.pop(runner, None)
