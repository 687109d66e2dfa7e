"""Run time estimates from few samples: each class starts from a prior that its samples outweigh."""

from __future__ import annotations

from collections.abc import Sequence

from ..scheduling.interface import JobClass

PRIOR_WEIGHT = 3.0  # number of samples that the prior counts as
MAX_WEIGHT = 200.0  # number of samples beyond which older ones decay


class ShrunkMean:
    """A mean that starts at a prior; its error falls with the number of samples."""

    __slots__ = ("value", "weight")

    def __init__(self, prior: float, weight: float = PRIOR_WEIGHT) -> None:
        self.value, self.weight = prior, weight

    def add(self, sample: float) -> None:
        self.weight = min(self.weight + 1.0, MAX_WEIGHT)
        self.value += (sample - self.value) / self.weight


class WorkEstimates:
    """Slot seconds per job, by class and as the mean over the mix of jobs at this dispatcher."""

    def __init__(self, classes: Sequence[JobClass]) -> None:
        self.by_class = [ShrunkMean(c.aim) for c in classes]
        self._arrivals = [1.0] * len(classes)

    def on_arrival(self, job_class: int) -> None:
        """Counts the arrival of a job of this class."""
        self._arrivals[job_class] += 1.0

    def on_run(self, job_class: int, run: float, slots: float) -> None:
        """Records the run time in seconds of a job of this class and its number of slots."""
        self.by_class[job_class].add(run * slots)

    def mean(self) -> float:
        """Mean slot seconds per job over the mix."""
        return sum(n * r.value for n, r in zip(self._arrivals, self.by_class, strict=True)) / sum(
            self._arrivals
        )

    def size_dispersion(self) -> float:
        """Mean square of the class sizes divided by the square of the mean: 1 if all sizes are equal."""
        squares = sum(n * r.value**2 for n, r in zip(self._arrivals, self.by_class, strict=True))
        return squares / sum(self._arrivals) / max(self.mean(), 1e-6) ** 2


class WarmThroughput:
    """Measured slot seconds per second of a warm worker, a lower bound on its capacity."""

    def __init__(self) -> None:
        self.value = 0.0
        self._work_done, self._updated_at = 0.0, 0.0

    def on_run(self, work: float) -> None:
        """Records the slot seconds of one of our jobs that a warm worker has completed."""
        self._work_done += work

    def update_due(self, now: float) -> bool:
        """Whether a second has passed since the last update."""
        return now - self._updated_at > 1.0

    def update(self, now: float, instances: int, warm: int) -> None:
        """Updates the estimate, given the number of dispatchers and the number of `warm` workers."""
        if self._updated_at and warm:
            seen = self._work_done / (now - self._updated_at) * instances / warm
            self.value += (0.1 if self.value else 1.0) * (seen - self.value)
        self._work_done, self._updated_at = 0.0, now
