"""How fast the runners of a service read prompts, learned from the time until answers begin."""

from __future__ import annotations

PRIOR_TOKENS_PER_S = 30_000.0  # of a mid-sized engine; sights outweigh it
LEARNING_SHARE = 0.05  # of a new sight
LEAST_TOKENS = 1000  # below this the time is that of the network and the batch


class PrefillPace:
    """Tokens a second, by service."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def seen(self, service: str, tokens: int, seconds: float) -> None:
        """So many tokens, all that was to be read before the answer, took so long."""
        if tokens < LEAST_TOKENS or seconds <= 0.0:
            return
        rate = self.rate(service)
        self._rates[service] = rate + LEARNING_SHARE * (tokens / seconds - rate)

    def rate(self, service: str) -> float:
        """Tokens a second."""
        return self._rates.get(service, PRIOR_TOKENS_PER_S)
