"""Debug lines about one request: why it waited, what each attempt at a runner came to, what was answered.

They are written at level DEBUG only; at other levels a request has no trace and pays one test for it.
Times are milliseconds since the request came.
"""

from __future__ import annotations

import logging

import structlog

from ..routing.interface import AttemptOutcome, RequestTraits

log = structlog.get_logger()


class RequestTrace:
    """What one request met, by time."""

    def __init__(self, traits: RequestTraits, name: bytes) -> None:
        """Begins a trace of the request with these traits; `name` is its `X-Attempt-Id`."""
        self._name, self._traits = name.decode("latin-1"), traits
        self._reason = ""
        self._sent_at = self._began_at = 0.0

    @classmethod
    def of(cls, traits: RequestTraits, name: bytes) -> RequestTrace | None:
        """The trace of a request; None unless debug lines are written."""
        return cls(traits, name) if log.is_enabled_for(logging.DEBUG) else None

    def waits(self, now: float, reason: str) -> None:
        """It waits; only a new reason is written."""
        if reason != self._reason:
            self._reason = reason
            log.debug("request.waiting", reason=reason, **self._request(now))

    def sent(self, now: float) -> None:
        """It goes to a runner."""
        self._sent_at, self._began_at, self._reason = now, 0.0, ""

    def began(self, now: float) -> None:
        """The runner's answer has begun."""
        self._began_at = now

    def ended(self, now: float, runner: str, outcome: AttemptOutcome) -> None:
        """The attempt at the runner is over."""
        traits = self._traits
        log.debug(
            "attempt.ended",
            runner=runner,
            outcome=outcome.name,
            sent_ms=self._ms(self._sent_at),
            began_ms=self._ms(self._began_at) if self._began_at else None,
            prompt_tokens=traits.prompt_tokens,
            output_tokens=traits.output_tokens,
            **self._request(now),
        )

    def answered(self, now: float, status: int, reason: str) -> None:
        """The dispatcher itself gave the final answer."""
        log.debug("request.answered", status=status, reason=reason, **self._request(now))

    def _request(self, now: float) -> dict[str, object]:
        traits = self._traits
        return {
            "request": self._name,
            "at_ms": self._ms(now),
            "route": traits.route.name,
            "model": traits.model,
            "adapter": traits.adapter,
        }

    def _ms(self, at: float) -> int:
        return round((at - self._traits.arrived_at) * 1000.0)
