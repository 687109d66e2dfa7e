"""The attempts of a request that its runners did not run: what a further attempt and a 503 rest on."""

from __future__ import annotations

from dataclasses import dataclass

import structlog

from ..configuration.model import Route
from ..routing.interface import AttemptOutcome

REJECTIONS = (AttemptOutcome.FULL, AttemptOutcome.NOT_HELD)
NO_CONNECTION = 0  # the number of the connection of an attempt that got none
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that certainly did not run: the runner rejected it, or no byte of it was sent.

    Attributes:
        runner: The runner's id.
        outcome: One for which `never_ran` holds.
        connection: Number of the connection that carried the attempt, or was to carry it; NO_CONNECTION
            without one.
    """

    runner: str
    outcome: AttemptOutcome
    connection: int

    @property
    def is_rejection(self) -> bool:
        """Whether the runner answered that it did not run the request."""
        return self.outcome in REJECTIONS

    def __str__(self) -> str:
        """Returns the form in log lines: runner, outcome and connection, separated by colons."""
        return f"{self.runner}:{self.outcome.name}:{self.connection}"


class FailedAttempts:
    """The failed attempts of one request, in order; logs what rests on them if it may run only once."""

    def __init__(self, request: bytes, route: Route) -> None:
        """Starts empty; `request` is the `X-Attempt-Id`."""
        self._request, self._route = request, route
        self._attempts: list[FailedAttempt] = []

    def add(self, attempt: FailedAttempt) -> None:
        """Adds the last attempt."""
        self._attempts.append(attempt)

    def log_further_attempt(self, runner: str, connection: int) -> None:
        """Logs that the request goes to a runner again, if it had failed attempts."""
        if self._is_told():
            log.info(
                "request.sent_again",
                **self._fields(),
                runner=runner,
                connection=connection,
                attempts=str(self),
            )

    def log_refusal(self, reason: str) -> None:
        """Logs that the client is promised that the request never ran, if it had failed attempts."""
        if not self._is_told():
            return
        if any(attempt.is_rejection for attempt in self._attempts):
            log.info("request.refused_after_rejection", **self._fields(), reason=reason, rejections=str(self))
        else:
            log.info("request.refused_unsent", **self._fields(), reason=reason, attempts=str(self))

    def _is_told(self) -> bool:
        return bool(self._attempts) and not self._route.is_idempotent

    def _fields(self) -> dict[str, str]:
        """Returns the fields that each of the log lines has."""
        return {"request": self._request.decode("latin-1"), "route": self._route.name}

    def __str__(self) -> str:
        """Returns the form in log lines: the attempts, separated by commas."""
        return ",".join(str(attempt) for attempt in self._attempts)
