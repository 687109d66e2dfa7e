"""How long a job will run, by its class and its client's hint, which may be off by any factor or say nothing.

For each class a straight line is fitted through running times over hints. A hint that is off by a factor
turns the line, one that says little flattens it, and what adds to every run (what it fetched or waited for,
unseen) lifts it.
"""

from __future__ import annotations

from ..scheduling.records import Mean

PRIOR = 4.0  # jobs that the belief "all hints are off by the factor of the first" counts as
SPREAD = 0.5  # spread of hints, over the first one, that it counts with
OLD = 300.0  # jobs from which on older ones fade
TINY = 1e-5


class Line:
    """Running times over hints, both in seconds."""

    __slots__ = ("n", "x", "y", "xx", "xy")

    def __init__(self) -> None:
        self.n = self.x = self.y = self.xx = self.xy = 0.0

    def add(self, hint: float, run: float) -> None:
        """A job with this hint ran for so long."""
        if not self.n:  # until the first end, the hint is taken at its word
            self.x, self.y = hint, run
            self.xx, self.xy = (SPREAD * hint) ** 2, SPREAD * hint * SPREAD * run
        self.n = min(self.n + 1.0, OLD)
        gain = 1.0 / (self.n + PRIOR)
        dx, dy = hint - self.x, run - self.y
        self.x += gain * dx
        self.y += gain * dy
        self.xx += gain * (dx * (hint - self.x) - self.xx)
        self.xy += gain * (dx * (run - self.y) - self.xy)

    def least(self, hint: float) -> float:
        """Seconds that a job with this hint runs where nothing else adds to it."""
        return max(self.xy, 0.0) / max(self.xx, TINY * TINY) * hint if self.n else hint

    def run(self, hint: float) -> float:
        """Seconds that a job with this hint is expected to run on a usual worker, with what adds to it."""
        if not self.n:
            return hint
        slope = max(self.xy, 0.0) / max(self.xx, TINY * TINY)
        return max(self.y + slope * (hint - self.x), 0.1 * self.y, TINY)


class Works:
    """One line for each class."""

    def __init__(self, classes: int) -> None:
        self.lines = [Line() for _ in range(classes)]

    def of(self, job_class: int, hint: float, mean: Mean) -> tuple[float, float]:
        """Expected run, and the run where nothing adds to it; without a hint, by the class's mean run.

        Of a class that has not been seen to end, nobody knows that its jobs cannot be short.
        """
        if not hint:
            return mean.value, mean.value if mean.count else 0.0
        line = self.lines[job_class]
        return line.run(hint), line.least(hint)

    def ended(self, job_class: int, hint: float, run: float) -> None:
        """A job that neither waited nor fetched, as far as we know, ran for so long, as on a usual worker."""
        self.lines[job_class].add(hint, run)
