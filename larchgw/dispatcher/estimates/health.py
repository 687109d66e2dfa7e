"""Which workers fail what they get, by what was seen of them and how long ago."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..scheduling.interface import Settings
from ..scheduling.records import Worker

# What one failure adds to a worker's share of failures, and what one success leaves
FAILURE_GAIN, SUCCESS_DECAY = 0.5, 0.7
FAILURE_HALF_LIFE = 8.0  # seconds in which what was seen of failures comes to count half
FAILING_SHARE = 0.1  # share of failures from which a worker is sick; in health it is under 0.001
TRIAL_INTERVAL = 4.0  # seconds between trials of a worker that fails everything
REPORTED_ERROR_RATE = 0.2  # errors a second in a worker's report that count as a failure seen


class Health:
    """Shares of failures. They fade, so that whoever mends is tried again."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings

    def failure_share(self, now: float, worker: Worker) -> float:
        """The share of jobs that this worker fails."""
        return (
            float(worker.failure_share * 0.5 ** ((now - worker.failure_share_at) / FAILURE_HALF_LIFE))
            if worker.failure_share
            else 0.0
        )

    def is_failing(self, now: float, worker: Worker) -> bool:
        return self.failure_share(now, worker) > FAILING_SHARE

    def on_success(self, now: float, worker: Worker) -> None:
        """It has served a job."""
        if worker.failure_share:
            worker.failure_share, worker.failure_share_at = (
                SUCCESS_DECAY * self.failure_share(now, worker),
                now,
            )

    def on_failure(self, now: float, worker: Worker, workers: Iterable[Worker]) -> None:
        """It has failed a job. If half of the workers are sick, it is the jobs and not they."""
        ready = [w for w in workers if w.ready]
        if 2 * (sum(self.is_failing(now, w) for w in ready if w is not worker) + 1) > len(ready) + 1:
            return
        share = self.failure_share(now, worker)
        worker.failure_share, worker.failure_share_at = share + FAILURE_GAIN * (1.0 - share), now
        worker.avoid_until = max(worker.avoid_until, now + TRIAL_INTERVAL * worker.failure_share)

    def on_report(
        self, now: float, worker: Worker, report: Sequence[float], workers: Iterable[Worker]
    ) -> None:
        """A load report. It comes with every answer and is renewed seldom: the same one again is no news."""
        if tuple(report) == worker.last_report:
            return
        worker.last_report = tuple(report)
        index = self.settings.fail_reports
        if (
            0 <= index < len(report)
            and report[index] > REPORTED_ERROR_RATE
            and not self.is_failing(now, worker)
        ):
            self.on_failure(now, worker, workers)
