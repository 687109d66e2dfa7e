"""Rendezvous hashing: all dispatchers prefer the same runner for a prompt prefix without coordination.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from .interface import RequestTraits

_MASK = (1 << 64) - 1
_MIX_MULTIPLIER = 0xBF58476D1CE4E5B9  # from splitmix64; inputs that differ in one bit get unrelated outputs


def stable_hash(*words: str) -> int:
    """Returns a 64-bit hash of the words that is the same in every process."""
    return int.from_bytes(blake2b("\0".join(words).encode(), digest_size=8).digest(), "big")


def shared_prefix_hash(request: RequestTraits) -> int:
    """Returns a hash of the request's key and of all prompt parts but the last, which is rarely shared."""
    shared = request.parts[:-1] or request.parts
    return stable_hash(*request.key, *(part.id for part in shared))


class Rendezvous:
    """Ranks runners for a prefix by a hash of both; the highest weight is preferred.

    When a runner is removed, only the prefixes that preferred it move to other runners.
    """

    def __init__(self) -> None:
        """Starts with an empty cache of runner hashes; each entry is kept until `forget`."""
        self._runner_hashes: dict[str, int] = {}

    def weight(self, prefix: int, runner: str) -> int:
        """Returns the runner's weight for the prefix."""
        seed = self._runner_hashes.get(runner)
        if seed is None:
            seed = self._runner_hashes[runner] = stable_hash(runner)
        mixed_bits = ((prefix ^ seed) * _MIX_MULTIPLIER) & _MASK
        return ((mixed_bits ^ (mixed_bits >> 31)) * _MIX_MULTIPLIER) & _MASK

    def preferred(self, prefix: int, runners: Sequence[str]) -> str:
        """Returns the runner with the highest weight.

        Raises:
            ValueError: `runners` is empty.
        """
        return max(runners, key=lambda runner: self.weight(prefix, runner))

    def forget(self, runner: str) -> None:
        """Removes the cached hash of a runner that no longer exists."""
        self._runner_hashes.pop(runner, None)
