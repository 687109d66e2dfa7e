"""How long a job will run, by its class and its client's hint, which may be off by any factor or say nothing.

For each class a straight line is fitted through running times over hints. A hint that is off by a factor
turns the line, one that says little flattens it, and what adds to every run (what it fetched or waited for,
unseen) lifts it.
"""

from __future__ import annotations

from ..scheduling.records import MovingAverage

PRIOR_WEIGHT = 4.0  # jobs that the belief "all hints are off by the factor of the first" counts as
PRIOR_SPREAD = 0.5  # spread of hints, over the first one, that it counts with
MAX_WEIGHT = 300.0  # jobs from which on older ones fade
MIN_SECONDS = 1e-5


class HintRegression:
    """Running times over hints, both in seconds."""

    __slots__ = ("weight", "mean_hint", "mean_run", "hint_variance", "covariance")

    def __init__(self) -> None:
        self.weight = self.mean_hint = self.mean_run = self.hint_variance = self.covariance = 0.0

    def add(self, hint: float, run: float) -> None:
        """A job with this hint ran for so long."""
        if not self.weight:  # until the first end, the hint is taken at its word
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
        """Seconds that a job with this hint runs where nothing else adds to it."""
        return (
            max(self.covariance, 0.0) / max(self.hint_variance, MIN_SECONDS * MIN_SECONDS) * hint
            if self.weight
            else hint
        )

    def expected_run(self, hint: float) -> float:
        """Seconds that a job with this hint is expected to run on a usual worker, with what adds to it."""
        if not self.weight:
            return hint
        slope = max(self.covariance, 0.0) / max(self.hint_variance, MIN_SECONDS * MIN_SECONDS)
        return max(self.mean_run + slope * (hint - self.mean_hint), 0.1 * self.mean_run, MIN_SECONDS)


class RunPredictor:
    """One line for each class."""

    def __init__(self, classes: int) -> None:
        self.lines = [HintRegression() for _ in range(classes)]

    def predict(self, job_class: int, hint: float, mean: MovingAverage) -> tuple[float, float]:
        """Expected run, and the run where nothing adds to it; without a hint, by the class's mean run.

        Of a class that has not been seen to end, nobody knows that its jobs cannot be short.
        """
        if not hint:
            return mean.value, mean.value if mean.sample_count else 0.0
        line = self.lines[job_class]
        return line.expected_run(hint), line.min_run(hint)

    def on_run(self, job_class: int, hint: float, run: float) -> None:
        """A job that neither waited nor fetched, as far as we know, ran for so long, as on a usual worker."""
        self.lines[job_class].add(hint, run)
