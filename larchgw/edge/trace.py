"""Debug lines about one request: why it waited, what each attempt at a runner came to, what was answered.

They are written at level DEBUG only; at other levels a request has no trace and pays one test for it.
Times are milliseconds since the request came.
"""

from __future__ import annotations

import logging

from ..routing.interface import AttemptOutcome, RequestTraits

log = logging.getLogger(__name__)


class RequestTrace:
    """What one request met, by time."""

    def __init__(self, traits: RequestTraits, name: bytes) -> None:
        self._name, self._traits = name.decode("latin-1"), traits
        self._reason = ""
        self._sent_at = self._began_at = 0.0

    @classmethod
    def of(cls, traits: RequestTraits, name: bytes) -> RequestTrace | None:
        """The trace of a request; None unless debug lines are written."""
        return cls(traits, name) if log.isEnabledFor(logging.DEBUG) else None

    def waits(self, now: float, reason: str) -> None:
        """It waits; only a new reason is written."""
        if reason != self._reason:
            self._reason = reason
            traits = self._traits
            log.debug(
                "request %s waits at %.0f: %s, %s model %s/%s",
                self._name,
                self._ms(now),
                reason,
                traits.route.name,
                traits.model,
                traits.adapter,
            )

    def sent(self, now: float) -> None:
        """It goes to a runner."""
        self._sent_at, self._began_at, self._reason = now, 0.0, ""

    def began(self, now: float) -> None:
        """The runner's answer has begun."""
        self._began_at = now

    def ended(self, now: float, runner: str, outcome: AttemptOutcome) -> None:
        """The attempt at the runner is over."""
        traits = self._traits
        began = f"{self._ms(self._began_at):.0f}" if self._began_at else "-"
        log.debug(
            "request %s ended at %.0f: %s at %s, sent at %.0f, began at %s, %s model %s/%s tokens %d,%d",
            self._name,
            self._ms(now),
            outcome.name,
            runner,
            self._ms(self._sent_at),
            began,
            traits.route.name,
            traits.model,
            traits.adapter,
            traits.prompt_tokens,
            traits.output_tokens,
        )

    def answered(self, now: float, status: int, reason: str) -> None:
        """The dispatcher itself gave the final answer."""
        log.debug("request %s answered at %.0f: %d %s", self._name, self._ms(now), status, reason)

    def _ms(self, at: float) -> float:
        return (at - self._traits.arrived_at) * 1000.0
