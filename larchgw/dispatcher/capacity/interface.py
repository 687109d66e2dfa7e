"""What the decision module asks of room planning, and the answer of a dispatcher that plans none."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from ..scheduling.records import Attempt, Job, Worker


class ReservationPolicy(Protocol):
    """Asked by the decision module for each send, and told of all that happens to attempts.

    Times are seconds on the module's clock; records are the module's own, to be read and not changed.
    """

    def admits(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether this job may take room at this worker now, or that room is held for another."""

    def reserved_slots(self, now: float, job: Job) -> float:
        """Slots of the window of jobs out that are kept from this job."""

    def reserved_worker(self, now: float, job: Job) -> Worker | None:
        """Where room is held for this job."""

    def due_job(self, now: float, worker: Worker) -> Job | None:
        """The waiting job that room is held for at this worker, if it must go before others now."""

    def request_reservation(self, now: float, job: Job, workers: Sequence[Worker]) -> None:
        """Nothing has room for this job; `workers` are those that may run it, some named more than once."""

    def is_infeasible(self, job: Job) -> bool:
        """Whether no worker that `wait` was told of has as many slots as this job takes."""

    def infeasible_reason(self, request: int) -> str:
        """Why a request is hopeless; empty if it is not."""

    def on_sent(self, now: float, attempt: Attempt) -> None:
        """An attempt has been sent."""

    def on_started(self, now: float, attempt: Attempt) -> None:
        """An attempt has begun to run."""

    def on_ended(self, now: float, attempt: Attempt, status: int, free: float) -> None:
        """An attempt has ended; `free` slots were reported with it (negative: nothing was reported)."""

    def on_worker_lost(self, worker: Worker) -> None:
        """A worker drains, restarted or is gone; nothing that was held or learned there counts."""

    def on_job_closed(self, job: Job) -> None:
        """A job has its final answer, or its client has left."""


class NoReservations:
    """No room is held: whatever fits may go."""

    def admits(self, now: float, job: Job, worker: Worker) -> bool:
        return True

    def reserved_slots(self, now: float, job: Job) -> float:
        return 0.0

    def reserved_worker(self, now: float, job: Job) -> Worker | None:
        return None

    def due_job(self, now: float, worker: Worker) -> Job | None:
        return None

    def request_reservation(self, now: float, job: Job, workers: Sequence[Worker]) -> None: ...

    def is_infeasible(self, job: Job) -> bool:
        return False

    def infeasible_reason(self, request: int) -> str:
        return ""

    def on_sent(self, now: float, attempt: Attempt) -> None: ...

    def on_started(self, now: float, attempt: Attempt) -> None: ...

    def on_ended(self, now: float, attempt: Attempt, status: int, free: float) -> None: ...

    def on_worker_lost(self, worker: Worker) -> None: ...

    def on_job_closed(self, job: Job) -> None: ...


NO_RESERVATIONS: ReservationPolicy = NoReservations()
