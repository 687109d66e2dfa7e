"""Estimates the prefill rate of a service's runners from the time until responses start."""

from __future__ import annotations

INITIAL_TOKENS_PER_S = 30_000.0  # typical of a mid-sized engine; observations soon replace it
LEARNING_RATE = 0.05  # weight of a new observation
MIN_OBSERVED_TOKENS = 1000  # below this, network and batching dominate the time


class PrefillRates:
    """Exponentially weighted mean of prefill rates, in tokens a second, by service."""

    def __init__(self) -> None:
        """Starts with the initial rate for each service."""
        self._rates: dict[str, float] = {}

    def observe(self, service: str, tokens: int, seconds: float) -> None:
        """Updates the estimate with one observation.

        Args:
            service: The service of the runner.
            tokens: Tokens that were prefilled before the response started.
            seconds: Duration of the prefill.
        """
        if tokens < MIN_OBSERVED_TOKENS or seconds <= 0.0:
            return
        rate = self.rate(service)
        self._rates[service] = rate + LEARNING_RATE * (tokens / seconds - rate)

    def rate(self, service: str) -> float:
        """Returns the estimated rate in tokens a second."""
        return self._rates.get(service, INITIAL_TOKENS_PER_S)
