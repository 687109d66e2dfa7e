"""Outlier ejection: a runner whose requests fail receives no further ones for some time.

The checks are passive: outcomes of requests are observed, and no health checks are sent. There are two
measures:

- Backoff, after a runner was full or a connection failed. Nothing ran. The runner gets no requests for a
  short time, which doubles with each repetition.
- Ejection, after responses were lost, truncated or invalid. Penalties add up and decay. Above a limit the
  runner is ejected for a time that doubles with each ejection; then one probe request at a time is sent to
  it (a half-open circuit breaker).

Source: outlier detection of Envoy; circuit breaker (Nygard, "Release It!").
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from .interface import AttemptOutcome

FULL_BACKOFF_S = 0.05  # about ten batch steps; a slot may be free by then
CONNECT_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
EJECTION_S = 1.0  # first ejection; a restart takes longer, a short stall less
MAX_EJECTION_S = 8.0
MAX_DOUBLINGS = 16  # enough to reach both maximum times; 2.0**1024 would overflow a float
PENALTY_LIMIT = 3.0
PENALTY_DECAY_S = 5.0
MAX_EJECTED_SHARE = 0.5  # of the runners; if more fail, the cause is probably not the runners
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
    """Health of one runner, computed from outcomes. Times are seconds on the monotonic clock.

    Attributes:
        penalty: Sum of decayed penalties at time `at`.
        at: Time at which `penalty` was computed.
        ejections: Number of ejections, up to MAX_DOUBLINGS.
        ejected_until: End of the ejection.
        backoffs: Number of consecutive backoffs, up to MAX_DOUBLINGS.
        backoff_until: End of the backoff.
        is_half_open: Whether it was ejected and has completed no request since.
        is_probe_sent: Whether the one probe request is in flight.
    """

    penalty: float = 0.0
    at: float = 0.0
    ejections: int = 0
    ejected_until: float = -math.inf
    backoffs: int = 0
    backoff_until: float = -math.inf
    is_half_open: bool = False
    is_probe_sent: bool = False

    def add(self, now: float, penalty: float) -> None:
        """Decays the sum of penalties and adds one."""
        self.penalty = self.penalty * math.exp(-(now - self.at) / PENALTY_DECAY_S) + penalty
        self.at = now

    def back_off(self, now: float, first_s: float) -> None:
        """Starts a backoff twice as long as the last one. Outcomes during a backoff do not extend it."""
        if now < self.backoff_until:
            return
        self.backoff_until = now + min(MAX_BACKOFF_S, first_s * 2.0**self.backoffs)
        self.backoffs = min(self.backoffs + 1, MAX_DOUBLINGS)

    def eject(self, now: float) -> None:
        """Ejects the runner for twice as long as the last time."""
        self.ejected_until = now + min(MAX_EJECTION_S, EJECTION_S * 2.0**self.ejections)
        self.ejections = min(self.ejections + 1, MAX_DOUBLINGS)
        self.is_half_open = True
        self.is_probe_sent = False

    def is_ejected(self, now: float) -> bool:
        """Whether the runner is ejected, or its probe request is in flight."""
        return now < self.ejected_until or (self.is_half_open and self.is_probe_sent)


class OutlierEjection:
    """Health of the runners at which an attempt has failed or was rejected."""

    def __init__(self) -> None:
        """Starts with every runner healthy."""
        self._runners: dict[str, RunnerHealth] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no runner has a record of failures or rejections, so that all may get requests."""
        return not self._runners

    def sent(self, now: float, runner: str) -> None:
        """Records a send; if the runner is half-open, the request is its probe."""
        health = self._runners.get(runner)
        if health and health.is_half_open and now >= health.ejected_until:
            health.is_probe_sent = True

    def succeeded(self, runner: str) -> None:
        """Records a completed request: the runner is no longer half-open, and its backoff is reset."""
        health = self._runners.get(runner)
        if health is None:
            return
        if health.is_half_open:
            health.penalty = 0.0
            health.is_half_open = False
            health.ejected_until = -math.inf
        health.is_probe_sent = False
        health.backoffs = 0
        health.backoff_until = -math.inf

    def ended(self, now: float, runner: str, outcome: AttemptOutcome) -> None:
        """Records the outcome of an attempt at the runner."""
        if outcome is AttemptOutcome.DONE:
            self.succeeded(runner)
            return
        health = self._runners.setdefault(runner, RunnerHealth(at=now))
        health.is_probe_sent = False
        if outcome is AttemptOutcome.FULL:
            health.back_off(now, FULL_BACKOFF_S)
        if outcome is AttemptOutcome.CONNECT_FAILED:
            health.back_off(now, CONNECT_BACKOFF_S)
        penalty = PENALTIES.get(outcome, 0.0)
        if not penalty:
            return
        health.add(now, penalty)
        if now >= health.ejected_until and (health.is_half_open or health.penalty >= PENALTY_LIMIT):
            health.eject(now)

    def backoff_until(self, runner: str) -> float:
        """Returns the end of the runner's backoff; minus infinity if there was none."""
        health = self._runners.get(runner)
        return health.backoff_until if health else -math.inf

    def is_ejected(self, now: float, runner: str) -> bool:
        """Whether the runner is ejected now, regardless of the limit on the ejected share."""
        health = self._runners.get(runner)
        return health is not None and health.is_ejected(now)

    def admitted(self, now: float, runners: Sequence[str]) -> list[str]:
        """Returns the runners that may get requests.

        These are the runners that are not ejected. If the ejected share exceeds `MAX_EJECTED_SHARE`, the
        ejected runners whose ejection ends first are included until it does not.
        """
        available = [runner for runner in runners if not self.is_ejected(now, runner)]
        min_admitted = len(runners) - int(len(runners) * MAX_EJECTED_SHARE)
        if len(available) >= min_admitted:
            return available
        ejected = [runner for runner in runners if self.is_ejected(now, runner)]
        ejected.sort(key=lambda runner: self._runners[runner].ejected_until)
        return available + ejected[: min_admitted - len(available)]

    def forget(self, runner: str) -> None:
        """Removes the health of a runner that no longer exists."""
        self._runners.pop(runner, None)
