"""Debug log of one request: why it waited, the outcome of each attempt, and how it ended.

It is written at level DEBUG only; at other levels requests have no trace, at the cost of one check each.
Times are milliseconds since the request's arrival. `larchgw losses` reads the last line of each request,
`request.ended`.
"""

from __future__ import annotations

import logging

import structlog

from ..routing.interface import AttemptOutcome, RequestTraits

log = structlog.get_logger()


class RequestTrace:
    """Records the events of one request."""

    def __init__(self, traits: RequestTraits, name: bytes) -> None:
        """Creates a trace; `name` is the request's `X-Attempt-Id`."""
        self._name, self._traits = name.decode("latin-1"), traits
        self._waiting_since: float | None = None
        self._reason = ""
        self._waited_s: dict[str, float] = {}  # by reason
        self._sent_at = self._began_at = 0.0
        self._answer_began_at: float | None = None
        self._last_byte_at: float | None = None
        self._longest_pause_s = 0.0
        self._attempts_s = 0.0  # spent on attempts that failed before the response began
        self._outcomes: list[str] = []

    @classmethod
    def of(cls, traits: RequestTraits, name: bytes) -> RequestTrace | None:
        """Returns a trace for a request; None unless debug logging is enabled."""
        return cls(traits, name) if log.is_enabled_for(logging.DEBUG) else None

    def waits(self, now: float, reason: str) -> None:
        """Logs that the request waits, if the reason is new."""
        if reason == self._reason:
            return
        self._stop_waiting(now)
        self._reason, self._waiting_since = reason, now
        log.debug("request.waiting", reason=reason, **self._request(now))

    def sent(self, now: float) -> None:
        """Records that the request was sent to a runner."""
        self._stop_waiting(now)
        self._sent_at, self._began_at = now, 0.0

    def began(self, now: float) -> None:
        """Records the beginning of the runner's response."""
        self._began_at = self._last_byte_at = now
        if self._answer_began_at is None:
            self._answer_began_at = now

    def received(self, now: float) -> None:
        """Records that more of the runner's response was received."""
        if self._last_byte_at is not None:
            self._longest_pause_s = max(self._longest_pause_s, now - self._last_byte_at)
            self._last_byte_at = now

    def ended(self, now: float, runner: str, outcome: AttemptOutcome) -> None:
        """Logs the end of an attempt."""
        traits = self._traits
        self._outcomes.append(outcome.name)
        if self._answer_began_at is None:
            self._attempts_s += now - self._sent_at
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
        """Logs a final response that the dispatcher itself gave."""
        log.debug("request.answered", status=status, reason=reason, **self._request(now))

    def finished(self, now: float, end: str) -> None:
        """Logs a summary of the request after it ended.

        Args:
            now: Seconds of the monotonic clock.
            end: `answered` by a runner, `refused` or `failed` by the dispatcher, `truncated`, or `left` by
                the client.
        """
        traits = self._traits
        self._stop_waiting(now)
        began_at = self._answer_began_at
        log.debug(
            "request.ended",
            end=end,
            outcomes=",".join(self._outcomes),
            waited_ms=",".join(f"{name}:{round(s * 1000.0)}" for name, s in self._waited_s.items()),
            failed_ms=round(self._attempts_s * 1000.0),
            sent_ms=self._ms(self._sent_at) if self._sent_at else None,
            began_ms=self._ms(began_at) if began_at is not None else None,
            longest_pause_ms=round(self._longest_pause_s * 1000.0),
            target_ms=self._ms(traits.target_at),
            deadline_ms=self._ms(traits.deadline_at),
            gap_aim_ms=traits.route.gap_aim_ms,
            rank=traits.route.rank,
            **self._request(now),
        )

    def _stop_waiting(self, now: float) -> None:
        if self._waiting_since is not None:
            self._waited_s[self._reason] = self._waited_s.get(self._reason, 0.0) + now - self._waiting_since
        self._waiting_since, self._reason = None, ""

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
