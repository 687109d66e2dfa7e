"""Running times from few sights: each class has a prior, which its own ends outweigh one by one."""

from __future__ import annotations

from collections.abc import Sequence

from ..scheduling.interface import JobClass

PRIOR_WEIGHT = 3.0  # ends that a prior counts as
MAX_WEIGHT = 200.0  # ends from which on older ones fade


class ShrunkMean:
    """A mean that starts at a prior and moves off it as sights come; its error falls with their number."""

    __slots__ = ("value", "weight")

    def __init__(self, prior: float, weight: float = PRIOR_WEIGHT) -> None:
        self.value, self.weight = prior, weight

    def add(self, sample: float) -> None:
        self.weight = min(self.weight + 1.0, MAX_WEIGHT)
        self.value += (sample - self.value) / self.weight


class WorkEstimates:
    """Slot seconds that a job takes, by class, and of the mean job of the mix that this dispatcher sees."""

    def __init__(self, classes: Sequence[JobClass]) -> None:
        self.by_class = [ShrunkMean(c.aim) for c in classes]
        self._arrivals = [1.0] * len(classes)

    def on_arrival(self, job_class: int) -> None:
        """A job of this class has come in."""
        self._arrivals[job_class] += 1.0

    def on_run(self, job_class: int, run: float, slots: float) -> None:
        """A job of this class ran for so many seconds in so many slots."""
        self.by_class[job_class].add(run * slots)

    def mean(self) -> float:
        """Slot seconds of a job of the mix."""
        return sum(n * r.value for n, r in zip(self._arrivals, self.by_class, strict=True)) / sum(
            self._arrivals
        )

    def size_dispersion(self) -> float:
        """Mean square of the classes' sizes over the square of the mean: 1 where all are alike."""
        squares = sum(n * r.value**2 for n, r in zip(self._arrivals, self.by_class, strict=True))
        return squares / sum(self._arrivals) / max(self.mean(), 1e-6) ** 2


class WarmThroughput:
    """Slot seconds a second that warm workers are seen to do, which is the least that they can."""

    def __init__(self) -> None:
        self.value = 0.0
        self._work_done, self._updated_at = 0.0, 0.0

    def on_run(self, work: float) -> None:
        """A warm worker ended a job of ours of so many slot seconds."""
        self._work_done += work

    def update_due(self, now: float) -> bool:
        """Whether a second has passed since the last sum."""
        return now - self._updated_at > 1.0

    def update(self, now: float, instances: int, warm: int) -> None:
        """A second or more has passed; `warm` workers serve for so many dispatchers."""
        if self._updated_at and warm:
            seen = self._work_done / (now - self._updated_at) * instances / warm
            self.value += (0.1 if self.value else 1.0) * (seen - self.value)
        self._work_done, self._updated_at = 0.0, now
