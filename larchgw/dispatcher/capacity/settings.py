"""Settings of the capacity planner; `deploy/room.toml` explains them to operators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ReservationSettings:
    """Settings of reservations. Shares are fractions of 1, times are in seconds."""

    smallest: float = 2.0  # minimum slots of a job that may have a reservation
    boxes_share: float = 0.34  # maximum share of the ready workers with a reservation at the same time
    certainty: float = 0.6  # quantile of the run time distribution used to predict when jobs end
    margin: float = 0.3  # safety margin subtracted from a job's latest start
    lead: float = 3.0  # this long before its latest start, a large job precedes more valuable ones
    favour: float = 1.0  # factor on a large job's value when compared with small jobs
    pass_over: float = 0.5  # share of its time until the target start for which a small job may be refused
    most: int = 256  # maximum number of reservations at the same time
    waiting: int = 10_000  # maximum number of waiting large jobs kept for reconsideration
    sample: int = 16  # workers examined per search on a large fleet
    replan: float = 0.25  # minimum time between two searches for a better worker

    def check(self) -> None:
        """Raises ValueError with the message `field: problem` if a setting is invalid."""
        for name in ("boxes_share", "certainty", "pass_over"):
            if not 0 < getattr(self, name) <= 1:
                raise ValueError(f"{name}: must be above 0 and at most 1")
        if self.smallest <= 1:
            raise ValueError("smallest: must be above 1, or every job would have room held for it")
        for name in ("margin", "lead"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")
        if self.favour <= 0:
            raise ValueError("favour: must be above 0")
        for name in ("most", "waiting", "sample"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be 1 or more")
        if self.replan <= 0:
            raise ValueError("replan: must be above 0")
