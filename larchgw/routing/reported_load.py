"""Estimates the load of a runner from this dispatcher's own requests and the runner's last load report."""

from __future__ import annotations

import math
from dataclasses import dataclass

REPORT_DECAY_S = 1.0  # time constant of the decay: about the duration of one generation
MAX_REPORT_AGE_S = 5.0  # an older report is ignored


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """One `X-Runner-Load` header.

    Attributes:
        at: Time of receipt, in seconds on the monotonic clock.
        running: Requests of all dispatchers that the runner is running.
        waiting: Requests of all dispatchers in its queue.
        slots: Number of requests that it can run concurrently.
        own: Requests of this dispatcher at the runner at the time of receipt.
    """

    at: float
    running: int
    waiting: int
    slots: int
    own: int

    def others(self, now: float) -> float:
        """Estimates the requests of other dispatchers; the estimate decays as the report ages."""
        if now - self.at > MAX_REPORT_AGE_S:
            return 0.0
        others = max(0, self.running + self.waiting - self.own)
        return others * math.exp(-(now - self.at) / REPORT_DECAY_S)


class ReportedLoads:
    """The last load report of each runner."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._reports: dict[str, ReportedLoad] = {}

    def update(self, now: float, runner: str, running: int, waiting: int, slots: int, own: int) -> None:
        """Stores a report that arrived while `own` requests of this dispatcher were at the runner."""
        self._reports[runner] = ReportedLoad(now, running, waiting, max(1, slots), own)

    def newest(self, runner: str) -> ReportedLoad | None:
        """Returns the runner's last report; None if there is none."""
        return self._reports.get(runner)

    def requests(self, now: float, runner: str, own: int) -> float:
        """Estimates the requests of all dispatchers at the runner, of which `own` are this dispatcher's."""
        report = self._reports.get(runner)
        return own + (report.others(now) if report else 0.0)

    def forget(self, runner: str) -> None:
        """Removes the report of a runner that no longer exists."""
        self._reports.pop(runner, None)
