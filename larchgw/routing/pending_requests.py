"""Counts this dispatcher's pending requests (sent and not yet ended) at each runner, by key and in total."""

from __future__ import annotations

from dataclasses import dataclass, field

from .interface import Attempt, ModelKey


@dataclass(slots=True)
class RunnerPending:
    """Counts of pending requests at one runner.

    Attributes:
        total: Number of pending requests.
        tokens: Total tokens of their prompts and maximum outputs.
        by_key: Number of pending requests by model key.
        awaiting_prefill: (request, attempt) -> tokens to prefill and time of the send, oldest first. An entry
            is removed when the response starts.
        prefill_tokens: Sum of the tokens to prefill.
    """

    total: int = 0
    tokens: int = 0
    by_key: dict[ModelKey, int] = field(default_factory=dict)
    awaiting_prefill: dict[tuple[int, int], tuple[int, float]] = field(default_factory=dict)
    prefill_tokens: int = 0

    @property
    def waiting_since(self) -> float | None:
        """Send time of the oldest request whose response has not started; None if there is none."""
        return next((at for _, at in self.awaiting_prefill.values()), None)

    @property
    def active_keys(self) -> int:
        """Number of model keys with at least one pending request."""
        return len(self.by_key)


_NO_REQUESTS = RunnerPending()


class PendingRequests:
    """Pending requests of this dispatcher, by runner."""

    def __init__(self) -> None:
        """Starts with no pending requests."""
        self._runners: dict[str, RunnerPending] = {}
        self._requests_by_service: dict[str, int] = {}
        self._prefill_tokens_by_service: dict[str, int] = {}

    def at(self, runner: str) -> RunnerPending:
        """Returns the counts at this runner; callers must not change them."""
        return self._runners.get(runner, _NO_REQUESTS)

    def by_service(self, service: str) -> int:
        """Returns the number of pending requests at all runners of the service."""
        return self._requests_by_service.get(service, 0)

    def mean_prefill_tokens(self, service: str) -> float:
        """Returns the mean number of tokens still to prefill per pending request of the service."""
        return self._prefill_tokens_by_service.get(service, 0) / max(1, self.by_service(service))

    def sent(self, attempt: Attempt, prefill_tokens: int) -> None:
        """Records an attempt that was sent, and how many prompt tokens the runner has to prefill."""
        request = attempt.request
        counts = self._runners.setdefault(attempt.runner, RunnerPending())
        counts.total += 1
        counts.tokens += request.prompt_tokens + request.output_tokens
        counts.by_key[request.key] = counts.by_key.get(request.key, 0) + 1
        counts.awaiting_prefill[request.number, attempt.number] = (prefill_tokens, attempt.sent_at)
        counts.prefill_tokens += prefill_tokens
        self._requests_by_service[request.service] = self._requests_by_service.get(request.service, 0) + 1
        self._prefill_tokens_by_service[request.service] = (
            self._prefill_tokens_by_service.get(request.service, 0) + prefill_tokens
        )

    def began(self, attempt: Attempt) -> int | None:
        """Records that the response has started, so that the prefill is complete.

        Returns:
            The tokens to prefill that were counted for the attempt; None if its response had started before.
        """
        counts = self._runners.get(attempt.runner)
        entry = (
            counts.awaiting_prefill.pop((attempt.request.number, attempt.number), None) if counts else None
        )
        if counts is None or entry is None:
            return None
        counts.prefill_tokens -= entry[0]
        self._prefill_tokens_by_service[attempt.request.service] -= entry[0]
        return entry[0]

    def ended(self, attempt: Attempt) -> None:
        """Records the end of an attempt.

        Raises:
            ValueError: The attempt was not sent, or has ended before; each attempt must end exactly once.
        """
        self.began(attempt)
        request = attempt.request
        counts = self._runners.get(attempt.runner)
        if counts is None or request.key not in counts.by_key:
            raise ValueError(f"attempt at {attempt.runner} ended without being sent; call sent() first")
        counts.total -= 1
        counts.tokens -= request.prompt_tokens + request.output_tokens
        counts.by_key[request.key] -= 1
        if not counts.by_key[request.key]:
            del counts.by_key[request.key]
        if not counts.total:
            del self._runners[attempt.runner]
        self._requests_by_service[request.service] -= 1
