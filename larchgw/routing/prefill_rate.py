"""How fast the runners of a service read prompts, learned from the time until answers begin."""

from __future__ import annotations

PRIOR_TOKENS_PER_S = 30_000.0  # of a mid-sized engine; observations outweigh it
LEARNING_RATE = 0.05  # weight of a new observation
MIN_OBSERVED_TOKENS = 1000  # below this the time is that of the network and the batch


class PrefillRates:
    """Exponentially weighted mean of prefill rates, in tokens a second, by service."""

    def __init__(self) -> None:
        """Begins with the prior for each service."""
        self._rates: dict[str, float] = {}

    def observe(self, service: str, tokens: int, seconds: float) -> None:
        """Takes one observation in.

        Args:
            service: The service whose runner prefilled.
            tokens: All that was to be prefilled before the answer began.
            seconds: How long that took.
        """
        if tokens < MIN_OBSERVED_TOKENS or seconds <= 0.0:
            return
        rate = self.rate(service)
        self._rates[service] = rate + LEARNING_RATE * (tokens / seconds - rate)

    def rate(self, service: str) -> float:
        """Returns the estimated rate in tokens a second."""
        return self._rates.get(service, PRIOR_TOKENS_PER_S)
