"""The settings of room planning; `deploy/room.toml` explains them to operators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ReservationSettings:
    """Shares are parts of 1, times are seconds."""

    smallest: float = 2.0  # slots from which a job may have room held for it
    boxes_share: float = 0.34  # of the ready boxes, where room may be held at the same time
    certainty: float = 0.6  # share of runs that end within the time that is counted on
    margin: float = 0.3  # before the latest start in time, when room must be there
    lead: float = 3.0  # before the latest start, when a large job goes before those worth more for their work
    favour: float = 1.0  # a large job's worth counts so many times where it is weighed against others
    pass_over: float = 0.5  # share of its time to start that a small job may be kept from held room
    most: int = 256  # reservations at the same time
    waiting: int = 10_000  # large jobs that wait and are looked at again
    sample: int = 16  # boxes that are looked at for one reservation
    replan: float = 0.25  # between two looks for a better box

    def check(self) -> None:
        """Raises ValueError, `field: what is wrong with it`."""
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
