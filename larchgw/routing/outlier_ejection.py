"""Outlier ejection: runners that are not sent to for a while because of what came of requests sent there.

It is passive: no health checks are sent, requests themselves show what a runner does. Two kinds of reasons:

- backoff: it said that it is full, or no connection came up. Nothing ran; it gets no requests for a short
  time that doubles with each repetition.
- ejection: answers were lost, truncated or wrong. Penalties add up and decay; above a limit the runner is
  ejected for a time that doubles with each ejection, then one request at a time tries it (a half-open
  circuit breaker).

Source: outlier detection of Envoy; circuit breaker (Nygard, "Release It!").
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from .interface import AttemptOutcome

FULL_BACKOFF_S = 0.05  # about ten batch steps: a slot may have come free
CONNECT_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
EJECTION_S = 1.0  # first ejection; a restart takes longer, a hiccup less
MAX_EJECTION_S = 8.0
MAX_DOUBLINGS = 16  # beyond both of the longest times; a float holds no more than 1,023
PENALTY_LIMIT = 3.0
PENALTY_DECAY_S = 5.0
MAX_EJECTED_SHARE = 0.5  # at most: if more fail, the cause is not the runners
PENALTIES = {
    AttemptOutcome.CONNECT_FAILED: 1.5,
    AttemptOutcome.RESET: 1.0,
    AttemptOutcome.CUT: 1.0,
    AttemptOutcome.GARBLED: 0.5,
    AttemptOutcome.SILENT: 2.0,
    AttemptOutcome.RUNNER_ERROR: 0.5,
}


@dataclass(slots=True)
class RunnerHealth:
    """What one runner's outcomes have come to. Times are seconds of the monotonic clock.

    Attributes:
        penalty: Sum of decayed penalties, as of `at`.
        at: When `penalty` was computed.
        ejections: How often it was ejected.
        ejected_until: End of the ejection.
        backoffs: Consecutive backoffs.
        backoff_until: End of the backoff.
        on_trial: It was ejected and has not answered since.
        trial_sent: The one request that tries it is on its way.
    """

    penalty: float = 0.0
    at: float = 0.0
    ejections: int = 0
    ejected_until: float = -math.inf
    backoffs: int = 0
    backoff_until: float = -math.inf
    on_trial: bool = False
    trial_sent: bool = False

    def add(self, now: float, penalty: float) -> None:
        """Adds a penalty to what is left of the earlier ones."""
        self.penalty = self.penalty * math.exp(-(now - self.at) / PENALTY_DECAY_S) + penalty
        self.at = now

    def back_off(self, now: float, first_s: float) -> None:
        """Backs off, twice as long as the last time. Outcomes during a backoff do not prolong it."""
        if now < self.backoff_until:
            return
        self.backoff_until = now + min(MAX_BACKOFF_S, first_s * 2.0**self.backoffs)
        self.backoffs = min(self.backoffs + 1, MAX_DOUBLINGS)

    def eject(self, now: float) -> None:
        """Ejects it, twice as long as the last time."""
        self.ejected_until = now + min(MAX_EJECTION_S, EJECTION_S * 2.0**self.ejections)
        self.ejections = min(self.ejections + 1, MAX_DOUBLINGS)
        self.on_trial = True
        self.trial_sent = False

    def is_ejected(self, now: float) -> bool:
        """Whether it is ejected, or its trial is under way."""
        return now < self.ejected_until or (self.on_trial and self.trial_sent)


class OutlierEjection:
    """The health of all runners that requests were sent to."""

    def __init__(self) -> None:
        """Begins with every runner healthy."""
        self._runners: dict[str, RunnerHealth] = {}

    @property
    def is_clean(self) -> bool:
        """Whether no runner has failed or rejected: all may be sent to."""
        return not self._runners

    def sent(self, now: float, runner: str) -> None:
        """A request goes there; if the runner is on trial, it is the trial."""
        health = self._runners.get(runner)
        if health and health.on_trial and now >= health.ejected_until:
            health.trial_sent = True

    def answered(self, runner: str) -> None:
        """The runner answered properly: it is no longer on trial, and backoff begins anew."""
        health = self._runners.get(runner)
        if health is None:
            return
        if health.on_trial:
            health.penalty = 0.0
            health.on_trial = False
            health.ejected_until = -math.inf
        health.trial_sent = False
        health.backoffs = 0
        health.backoff_until = -math.inf

    def ended(self, now: float, runner: str, outcome: AttemptOutcome) -> None:
        """An attempt at the runner is over."""
        if outcome is AttemptOutcome.DONE:
            self.answered(runner)
            return
        health = self._runners.setdefault(runner, RunnerHealth(at=now))
        health.trial_sent = False
        if outcome is AttemptOutcome.FULL:
            health.back_off(now, FULL_BACKOFF_S)
        if outcome is AttemptOutcome.CONNECT_FAILED:
            health.back_off(now, CONNECT_BACKOFF_S)
        penalty = PENALTIES.get(outcome, 0.0)
        if not penalty:
            return
        health.add(now, penalty)
        if now >= health.ejected_until and (health.on_trial or health.penalty >= PENALTY_LIMIT):
            health.eject(now)

    def backoff_until(self, runner: str) -> float:
        """Returns when its backoff ends; in the past if there is none."""
        health = self._runners.get(runner)
        return health.backoff_until if health else -math.inf

    def is_ejected(self, now: float, runner: str) -> bool:
        """Whether it is ejected now, whatever the bound on the ejected share."""
        health = self._runners.get(runner)
        return health is not None and health.is_ejected(now)

    def admitted(self, now: float, runners: Sequence[str]) -> list[str]:
        """The runners that may be sent to.

        They are those that are not ejected; where more than `MAX_EJECTED_SHARE` are, also the ones whose
        ejection ends first, as many as are above that share.
        """
        available = [runner for runner in runners if not self.is_ejected(now, runner)]
        min_admitted = len(runners) - int(len(runners) * MAX_EJECTED_SHARE)
        if len(available) >= min_admitted:
            return available
        ejected = [runner for runner in runners if self.is_ejected(now, runner)]
        ejected.sort(key=lambda runner: self._runners[runner].ejected_until)
        return available + ejected[: min_admitted - len(available)]

    def forget(self, runner: str) -> None:
        """Drops the health of a runner that is gone."""
        self._runners.pop(runner, None)
