"""How loaded a runner is: this dispatcher's own requests, and others' as the runner last reported."""

from __future__ import annotations

import math
from dataclasses import dataclass

REPORT_DECAY_S = 1.0  # time constant of a report's weight: about as long as one generation runs
MAX_REPORT_AGE_S = 5.0  # after this nothing is left of a report


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """One `X-Runner-Load` header.

    Attributes:
        at: When it came, in seconds of the monotonic clock.
        running: Requests of all callers that the runner runs.
        waiting: Requests of all callers in its queue.
        slots: Requests that it can run at once.
        own: Requests of this dispatcher that were at the runner then.
    """

    at: float
    running: int
    waiting: int
    slots: int
    own: int

    def others(self, now: float) -> float:
        """Estimates the requests of other callers; the estimate decays as the report ages."""
        if now - self.at > MAX_REPORT_AGE_S:
            return 0.0
        others = max(0, self.running + self.waiting - self.own)
        return others * math.exp(-(now - self.at) / REPORT_DECAY_S)


class ReportedLoads:
    """The newest reported load of each runner."""

    def __init__(self) -> None:
        """Begins without a report."""
        self._reports: dict[str, ReportedLoad] = {}

    def update(self, now: float, runner: str, running: int, waiting: int, slots: int, own: int) -> None:
        """Takes a report in that came while `own` requests of this dispatcher were at the runner."""
        self._reports[runner] = ReportedLoad(now, running, waiting, max(1, slots), own)

    def newest(self, runner: str) -> ReportedLoad | None:
        """Returns the runner's last report; None if it made none."""
        return self._reports.get(runner)

    def requests(self, now: float, runner: str, own: int) -> float:
        """Estimates the requests of all callers at the runner, of which `own` are this dispatcher's."""
        report = self._reports.get(runner)
        return own + (report.others(now) if report else 0.0)

    def forget(self, runner: str) -> None:
        """Drops the report of a runner that is gone."""
        self._reports.pop(runner, None)
