"""Estimates the contents of runners' prefix caches from this dispatcher's own requests.

An engine keeps the KV cache of prompt parts that it has prefilled. A prompt that starts with the same parts
does not need to prefill them again.

Source: Kwon et al., "Efficient memory management for large language model serving with PagedAttention"
(2023).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from .interface import PromptPart

OTHER_TRAFFIC_SHARE = 0.5  # of the cache, used by other dispatchers' requests and by running ones


def prefix_ids(model: str, adapter: str, parts: Sequence[PromptPart]) -> list[int]:
    """Returns an id for each prefix of the parts; a cached part is usable only after all parts before it."""
    prefix_id = hash((model, adapter))
    result = []
    for part in parts:
        prefix_id = hash((prefix_id, part.id))
        result.append(prefix_id)
    return result


class RunnerPrefixCache:
    """Least-recently-used model of one runner's prefix cache.

    Attributes:
        capacity_tokens: Maximum number of tokens that it caches for this dispatcher.
    """

    def __init__(self, capacity_tokens: float) -> None:
        """Starts with an empty cache."""
        self.capacity_tokens = capacity_tokens
        self._prefixes: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def cached_tokens(self, prefixes: Sequence[int], parts: Sequence[PromptPart]) -> int:
        """Returns the number of tokens at the start of the prompt that are cached."""
        tokens = 0
        for prefix, part in zip(prefixes, parts, strict=True):
            if prefix not in self._prefixes:
                break
            tokens += part.tokens
        return tokens

    def add(self, prefixes: Sequence[int], parts: Sequence[PromptPart]) -> None:
        """Records that the runner has prefilled these parts.

        The first parts become the most recently used, so that later parts are evicted before them.
        """
        for prefix, part in reversed(list(zip(prefixes, parts, strict=True))):
            if prefix in self._prefixes:
                self._prefixes.move_to_end(prefix)
                continue
            self._prefixes[prefix] = part.tokens
            self._tokens += part.tokens
        while self._tokens > self.capacity_tokens and self._prefixes:
            self._tokens -= self._prefixes.popitem(last=False)[1]


class PrefixCaches:
    """The estimated prefix caches of all runners that requests were sent to."""

    def __init__(self) -> None:
        """Starts without caches."""
        self._caches: dict[str, RunnerPrefixCache] = {}

    def cached_tokens(self, runner: str, prefixes: Sequence[int], parts: Sequence[PromptPart]) -> int:
        """Returns the number of tokens at the start of the prompt that the runner has cached."""
        cache = self._caches.get(runner)
        return cache.cached_tokens(prefixes, parts) if cache else 0

    def add(
        self, runner: str, prefixes: Sequence[int], parts: Sequence[PromptPart], cache_tokens: float
    ) -> None:
        """Records that the runner has prefilled this prompt.

        Args:
            runner: The runner's id.
            prefixes: `prefix_ids` of the prompt's parts.
            parts: The prompt's parts.
            cache_tokens: Capacity of the runner's KV cache, in tokens.
        """
        cache = self._caches.get(runner)
        if cache is None:
            cache = self._caches[runner] = RunnerPrefixCache(0.0)
        cache.capacity_tokens = cache_tokens * (1.0 - OTHER_TRAFFIC_SHARE)
        cache.add(prefixes, parts)

    def forget(self, runner: str) -> None:
        """Removes the estimate of a runner that no longer exists or has lost its cache."""
        self._caches.pop(runner, None)
