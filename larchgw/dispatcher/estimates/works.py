"""Predicts run times from the job class and the client's hint, which may be off by any factor or useless.

For each class a linear regression of run times on hints is fitted. Hints that are off by a factor change
the slope, uninformative hints flatten it, and unseen additions to every run (fetches or waits) raise the
intercept.
"""

from __future__ import annotations

from ..scheduling.records import MovingAverage

PRIOR_WEIGHT = 4.0  # jobs that the prior "all hints are off by the factor of the first" counts as
PRIOR_SPREAD = 0.5  # spread of hints in the prior, relative to the first hint
MAX_WEIGHT = 300.0  # number of jobs beyond which older ones decay
MIN_SECONDS = 1e-5


class HintRegression:
    """Linear regression of run times on hints, both in seconds."""

    __slots__ = ("weight", "mean_hint", "mean_run", "hint_variance", "covariance")

    def __init__(self) -> None:
        self.weight = self.mean_hint = self.mean_run = self.hint_variance = self.covariance = 0.0

    def add(self, hint: float, run: float) -> None:
        """Records the run time of a job with this hint."""
        if not self.weight:  # the first job sets the means; hints are used unchanged until then
            self.mean_hint, self.mean_run = hint, run
            self.hint_variance, self.covariance = (
                (PRIOR_SPREAD * hint) ** 2,
                PRIOR_SPREAD * hint * PRIOR_SPREAD * run,
            )
        self.weight = min(self.weight + 1.0, MAX_WEIGHT)
        gain = 1.0 / (self.weight + PRIOR_WEIGHT)
        dx, dy = hint - self.mean_hint, run - self.mean_run
        self.mean_hint += gain * dx
        self.mean_run += gain * dy
        self.hint_variance += gain * (dx * (hint - self.mean_hint) - self.hint_variance)
        self.covariance += gain * (dx * (run - self.mean_run) - self.covariance)

    def min_run(self, hint: float) -> float:
        """Predicted run time in seconds without unseen additions, such as fetches."""
        return (
            max(self.covariance, 0.0) / max(self.hint_variance, MIN_SECONDS * MIN_SECONDS) * hint
            if self.weight
            else hint
        )

    def expected_run(self, hint: float) -> float:
        """Predicted run time in seconds on a typical worker, with unseen additions."""
        if not self.weight:
            return hint
        slope = max(self.covariance, 0.0) / max(self.hint_variance, MIN_SECONDS * MIN_SECONDS)
        return max(self.mean_run + slope * (hint - self.mean_hint), 0.1 * self.mean_run, MIN_SECONDS)


class RunPredictor:
    """One regression for each job class."""

    def __init__(self, classes: int) -> None:
        self.lines = [HintRegression() for _ in range(classes)]

    def predict(self, job_class: int, hint: float, mean: MovingAverage) -> tuple[float, float]:
        """Expected and minimal run time; without a hint, both come from the mean run time of the class.

        The minimum is 0 for a class without completed jobs, since its jobs may be short.
        """
        if not hint:
            return mean.value, mean.value if mean.sample_count else 0.0
        line = self.lines[job_class]
        return line.expected_run(hint), line.min_run(hint)

    def on_run(self, job_class: int, hint: float, run: float) -> None:
        """Records a run time, scaled to a typical worker, of a job that had no known waits or fetches."""
        self.lines[job_class].add(hint, run)
