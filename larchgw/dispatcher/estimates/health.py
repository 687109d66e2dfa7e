"""Detects failing workers from decaying shares of failed jobs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..scheduling.interface import Settings
from ..scheduling.records import Worker

# Gain of one failure on the failure share of a worker, and the factor applied to it by one success
FAILURE_GAIN, SUCCESS_DECAY = 0.5, 0.7
FAILURE_HALF_LIFE = 8.0  # seconds after which a failure share counts half
FAILING_SHARE = 0.1  # failure share above which a worker is failing; for a healthy one it is under 0.001
TRIAL_INTERVAL = 4.0  # seconds between trials of a worker that fails everything
REPORTED_ERROR_RATE = 0.2  # errors per second in a report above which it counts as an observed failure


class Health:
    """Failure shares of workers. They decay, so that a worker that has recovered is tried again."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings

    def failure_share(self, now: float, worker: Worker) -> float:
        """Estimated share of jobs that fail at this worker, decayed by age."""
        return (
            float(worker.failure_share * 0.5 ** ((now - worker.failure_share_at) / FAILURE_HALF_LIFE))
            if worker.failure_share
            else 0.0
        )

    def is_failing(self, now: float, worker: Worker) -> bool:
        return self.failure_share(now, worker) > FAILING_SHARE

    def on_success(self, now: float, worker: Worker) -> None:
        """Records a job that succeeded."""
        if worker.failure_share:
            worker.failure_share, worker.failure_share_at = (
                SUCCESS_DECAY * self.failure_share(now, worker),
                now,
            )

    def on_failure(self, now: float, worker: Worker, workers: Iterable[Worker]) -> None:
        """Records a failed job. If half of the workers fail, the jobs are taken to be the cause."""
        ready = [w for w in workers if w.ready]
        if 2 * (sum(self.is_failing(now, w) for w in ready if w is not worker) + 1) > len(ready) + 1:
            return
        share = self.failure_share(now, worker)
        worker.failure_share, worker.failure_share_at = share + FAILURE_GAIN * (1.0 - share), now
        worker.avoid_until = max(worker.avoid_until, now + TRIAL_INTERVAL * worker.failure_share)

    def on_report(
        self, now: float, worker: Worker, report: Sequence[float], workers: Iterable[Worker]
    ) -> None:
        """Handles a load report. Answers repeat the same report until it is renewed; repeats are ignored."""
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
