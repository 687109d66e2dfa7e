"""Jobs to come: classes, arrivals, keys. Open loop: a job is due when it is due, whoever is slow."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from math import exp, log, pi, sin, sqrt
from statistics import NormalDist

from ..dispatcher.scheduling.interface import Effect

LONGEST = 0.6  # of the give-up time


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """One class of jobs as its clients know it; times are seconds."""

    name: str
    share: float
    work: float  # mean running time at speed 1
    aim: float
    stretch: float
    deadline: float
    worth: float
    effect: Effect
    spread: float = 1.1  # coefficient of variation of the running time
    slots: tuple[tuple[int, float], ...] = ((1, 1.0),)  # slots, and the share of the class that takes them
    priority: int = 0

    def longest(self) -> float:
        """No job is longer, seconds at speed 1: clients do not ask for what no box ends before they leave."""
        return LONGEST * self.deadline

    def mean_work(self) -> float:
        """What remains of `work` on average under that bound."""
        sigma = sqrt(log(1.0 + self.spread * self.spread))
        top = (log(self.longest() / self.work) + sigma * sigma / 2.0) / sigma
        normal = NormalDist()
        return self.work * normal.cdf(top - sigma) + self.longest() * (1.0 - normal.cdf(top))

    def mean_slots(self) -> float:
        return sum(slots * share for slots, share in self.slots) / sum(share for _, share in self.slots)


# The classes that Lakeshore's dispatchers serve, in the middle of their ranges.
PROOF = ClassSpec("proof", 0.48, 0.82, 1.0, 2.5, 10.0, 1.0, "idempotent")
QUOTE = ClassSpec("quote", 0.29, 0.40, 0.8, 2.0, 5.0, 5.0, "idempotent", slots=((1, 0.8), (2, 0.2)))
RELEASE = ClassSpec(
    "release", 0.23, 4.8, 4.0, 2.0, 25.0, 8.0, "at_most_once", slots=((1, 0.8), (2, 0.2)), priority=1
)
CLASSES = (PROOF, QUOTE, RELEASE)


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """How jobs come."""

    classes: Sequence[ClassSpec] = CLASSES
    rate: float = 37.0  # jobs a second on average
    swing: float = 0.25  # share by which the rate goes up and down ...
    swing_s: float = 20.0  # ... over so many seconds
    keys: int = 60
    zipf: float = 0.9
    retries: int = 1
    backoff_s: float = 0.15
    hot_key: float = 0.0  # share of jobs that bear one and the same key


@dataclass(slots=True)
class Job:
    """One job, and what became of it, by its client's and the boxes' own records."""

    number: int
    job_class: int
    due: float
    work: float
    slots: int
    key: int
    zone: int
    in_time_by: float
    tries: list[str] = field(default_factory=list)
    served_at: float = 0.0
    began_at: float = 0.0  # when a box first began it
    ended: str = ""  # "served", "refused", "failed" or "gave up"

    def in_time(self) -> bool:
        return 0.0 < self.served_at <= self.in_time_by


def arrivals(spec: LoadSpec, start: float, seconds: float, zones: int, seed: int) -> list[Job]:
    """All jobs that come within so many seconds, in order; the same for the same seed."""
    rng = random.Random(seed)
    shares = list(accumulate(c.share for c in spec.classes))
    popular = list(accumulate(1.0 / (rank + 1) ** spec.zipf for rank in range(spec.keys)))
    names = [rng.getrandbits(63) | 1 for _ in range(spec.keys)]
    phase = rng.random() * spec.swing_s
    highest = spec.rate * (1.0 + spec.swing)
    jobs: list[Job] = []
    now = 0.0
    while True:
        # Thinning: candidates at the highest rate, each kept with the share that the present rate is of it.
        now += rng.expovariate(highest)
        if now >= seconds:
            return jobs
        present = spec.rate * (1.0 + spec.swing * sin(2.0 * pi * (now + phase) / spec.swing_s))
        if rng.random() * highest > present:
            continue
        index = bisect(shares, rng.random() * shares[-1])
        cls = spec.classes[index]
        sizes = list(accumulate(share for _, share in cls.slots))
        slots = cls.slots[bisect(sizes, rng.random() * sizes[-1])][0]
        work = min(_lognormal(rng, cls.work, cls.spread), cls.longest())
        key = names[0] if rng.random() < spec.hot_key else names[bisect(popular, rng.random() * popular[-1])]
        jobs.append(
            Job(
                len(jobs),
                index,
                start + now,
                work,
                slots,
                key,
                rng.randrange(zones),
                start + now + cls.aim + cls.stretch * work,
            )
        )


def _lognormal(rng: random.Random, mean: float, spread: float) -> float:
    """A running time with this mean and coefficient of variation, 20 ms at the least."""
    sigma = sqrt(log(1.0 + spread * spread))
    return max(mean * exp(sigma * rng.gauss(0.0, 1.0) - sigma * sigma / 2.0), 0.02)


def work_of(classes: Sequence[ClassSpec]) -> float:
    """Slot seconds at speed 1 of a mean job."""
    total = sum(c.share for c in classes)
    return sum(c.share * c.mean_work() * c.mean_slots() for c in classes) / total
