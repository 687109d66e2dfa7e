"""Which parts of prompts are kept in a runner's cache, as far as this dispatcher's own sends tell."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from .interface import PromptPart

# Tokens that other dispatchers' requests and running ones take from the cache, as a share of it.
OTHERS_SHARE = 0.5


def chains(model: str, adapter: str, parts: Sequence[PromptPart]) -> list[int]:
    """One identity for each prefix of the parts: a part is of use only behind all parts before it."""
    identity = hash((model, adapter))
    result = []
    for part in parts:
        identity = hash((identity, part.id))
        result.append(identity)
    return result


class RunnerCache:
    """A model of one runner's cache: prefixes unused longest give way."""

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self._prefixes: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def kept(self, prefixes: Sequence[int], parts: Sequence[PromptPart]) -> int:
        """Tokens at the prompt's start that need not be prefilled."""
        tokens = 0
        for prefix, part in zip(prefixes, parts, strict=True):
            if prefix not in self._prefixes:
                break
            tokens += part.tokens
        return tokens

    def read(self, prefixes: Sequence[int], parts: Sequence[PromptPart]) -> None:
        """The runner has read these. The first parts are marked last: they outlive those behind them."""
        for prefix, part in reversed(list(zip(prefixes, parts, strict=True))):
            if prefix in self._prefixes:
                self._prefixes.move_to_end(prefix)
                continue
            self._prefixes[prefix] = part.tokens
            self._tokens += part.tokens
        while self._tokens > self.capacity_tokens and self._prefixes:
            self._tokens -= self._prefixes.popitem(last=False)[1]


class KeptParts:
    """The caches of all runners that were sent to."""

    def __init__(self) -> None:
        self._caches: dict[str, RunnerCache] = {}

    def kept(self, runner: str, prefixes: Sequence[int], parts: Sequence[PromptPart]) -> int:
        """Tokens of the prompt's start that the runner keeps."""
        cache = self._caches.get(runner)
        return cache.kept(prefixes, parts) if cache else 0

    def read(
        self, runner: str, prefixes: Sequence[int], parts: Sequence[PromptPart], cache_tokens: float
    ) -> None:
        """The runner has read this prompt; `cache_tokens` is what its memory holds."""
        cache = self._caches.get(runner)
        if cache is None:
            cache = self._caches[runner] = RunnerCache(0.0)
        cache.capacity_tokens = cache_tokens * (1.0 - OTHERS_SHARE)
        cache.read(prefixes, parts)

    def forget(self, runner: str) -> None:
        """The runner is gone or has lost what it kept."""
        self._caches.pop(runner, None)
