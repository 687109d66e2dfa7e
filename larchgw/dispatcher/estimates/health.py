"""Which workers fail what they get, by what was seen of them and how long ago."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..scheduling.interface import Settings
from ..scheduling.records import Worker

BLAME, CLEAR = 0.5, 0.7  # what one failure adds to a worker's share of failures, and what one success leaves
MEND = 8.0  # seconds in which what was seen of failures comes to count half
SICK = 0.1  # share of failures from which a worker is sick; in health it is under 0.001
TRIAL = 4.0  # seconds between trials of a worker that fails everything
EPS = 0.2  # errors a second in a worker's report that count as a failure seen


class Health:
    """Shares of failures. They fade, so that whoever mends is tried again."""

    def __init__(self, settings: Settings) -> None:
        self.s = settings

    def share(self, now: float, worker: Worker) -> float:
        """The share of jobs that this worker fails."""
        return float(worker.bad * 0.5 ** ((now - worker.bad_at) / MEND)) if worker.bad else 0.0

    def sick(self, now: float, worker: Worker) -> bool:
        return self.share(now, worker) > SICK

    def served(self, now: float, worker: Worker) -> None:
        """It has served a job."""
        if worker.bad:
            worker.bad, worker.bad_at = CLEAR * self.share(now, worker), now

    def failed(self, now: float, worker: Worker, workers: Iterable[Worker]) -> None:
        """It has failed a job. If half of the workers are sick, it is the jobs and not they."""
        ready = [w for w in workers if w.ready]
        if 2 * (sum(self.sick(now, w) for w in ready if w is not worker) + 1) > len(ready) + 1:
            return
        share = self.share(now, worker)
        worker.bad, worker.bad_at = share + BLAME * (1.0 - share), now
        worker.off_until = max(worker.off_until, now + TRIAL * worker.bad)

    def heard(self, now: float, worker: Worker, report: Sequence[float], workers: Iterable[Worker]) -> None:
        """A load report. It comes with every answer and is renewed seldom: the same one again is no news."""
        if tuple(report) == worker.report:
            return
        worker.report = tuple(report)
        index = self.s.fail_reports
        if 0 <= index < len(report) and report[index] > EPS and not self.sick(now, worker):
            self.failed(now, worker, workers)
