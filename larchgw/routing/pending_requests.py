"""What this dispatcher has at each runner: requests sent and not yet ended, by key and in total."""

from __future__ import annotations

from dataclasses import dataclass, field

from .interface import Attempt, ModelKey


@dataclass(slots=True)
class RunnerPending:
    """The counts at one runner.

    Attributes:
        total: Requests pending.
        tokens: Of their prompts and requested outputs.
        by_key: Requests pending by what they ask for.
        unread: (request, attempt) -> tokens to prefill and when it was sent, oldest first, until its answer
            begins.
        unread_tokens: The sum of those tokens.
    """

    total: int = 0
    tokens: int = 0
    by_key: dict[ModelKey, int] = field(default_factory=dict)
    unread: dict[tuple[int, int], tuple[int, float]] = field(default_factory=dict)
    unread_tokens: int = 0

    @property
    def waiting_since(self) -> float | None:
        """When the oldest request was sent of those whose answers have not begun."""
        return next((at for _, at in self.unread.values()), None)

    @property
    def active_keys(self) -> int:
        """Keys with at least one request pending."""
        return len(self.by_key)


_NOTHING = RunnerPending()


class PendingRequests:
    """Pending requests of this dispatcher, by runner."""

    def __init__(self) -> None:
        """Begins with nothing pending."""
        self._runners: dict[str, RunnerPending] = {}
        self._services: dict[str, int] = {}
        self._unread: dict[str, int] = {}

    def at(self, runner: str) -> RunnerPending:
        """The counts at this runner; to be read only."""
        return self._runners.get(runner, _NOTHING)

    def by_service(self, service: str) -> int:
        """Requests at all runners of the service."""
        return self._services.get(service, 0)

    def mean_unread(self, service: str) -> float:
        """Tokens yet to be read of each pending request at the service, on average."""
        return self._unread.get(service, 0) / max(1, self.by_service(service))

    def sent(self, attempt: Attempt, unread_tokens: int) -> None:
        """An attempt is on its way; the runner has this much of its prompt to prefill."""
        request = attempt.request
        counts = self._runners.setdefault(attempt.runner, RunnerPending())
        counts.total += 1
        counts.tokens += request.prompt_tokens + request.output_tokens
        counts.by_key[request.key] = counts.by_key.get(request.key, 0) + 1
        counts.unread[request.number, attempt.number] = (unread_tokens, attempt.sent_at)
        counts.unread_tokens += unread_tokens
        self._services[request.service] = self._services.get(request.service, 0) + 1
        self._unread[request.service] = self._unread.get(request.service, 0) + unread_tokens

    def began(self, attempt: Attempt) -> int | None:
        """The answer has begun, so the prompt is read.

        Returns:
            The tokens that were counted as unread for it; None if its answer had begun before.
        """
        counts = self._runners.get(attempt.runner)
        entry = counts.unread.pop((attempt.request.number, attempt.number), None) if counts else None
        if counts is None or entry is None:
            return None
        counts.unread_tokens -= entry[0]
        self._unread[attempt.request.service] -= entry[0]
        return entry[0]

    def ended(self, attempt: Attempt) -> None:
        """The attempt is over.

        Raises:
            ValueError: It was not sent, or has ended before: each attempt that was sent ends exactly once.
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
        self._services[request.service] -= 1
