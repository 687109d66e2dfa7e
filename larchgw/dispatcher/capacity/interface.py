"""Interface between the scheduler and the capacity planner, and an implementation without reservations."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from ..scheduling.records import Attempt, Job, Worker


class ReservationPolicy(Protocol):
    """Consulted by the scheduler before each send, and notified of every event of an attempt.

    Times are seconds on the scheduler's clock. The records belong to the scheduler and are read-only here.
    """

    def admits(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether this job may take slots at this worker now; False if they are reserved for another job."""

    def reserved_slots(self, now: float, job: Job) -> float:
        """Slots of the in-flight window that this job may not use."""

    def reserved_worker(self, now: float, job: Job) -> Worker | None:
        """The worker at which slots are reserved for this job."""

    def due_job(self, now: float, worker: Worker) -> Job | None:
        """The queued job reserved at this worker, if it must be sent before others now."""

    def request_reservation(self, now: float, job: Job, workers: Sequence[Worker]) -> None:
        """Called when this job fits no worker now; `workers` may run it and can contain duplicates."""

    def is_infeasible(self, job: Job) -> bool:
        """Whether every worker last passed to `request_reservation` is known to be too small for this job."""

    def infeasible_reason(self, request: int) -> str:
        """Why a request is infeasible; empty if it is not."""

    def on_sent(self, now: float, attempt: Attempt) -> None:
        """An attempt has been sent."""

    def on_started(self, now: float, attempt: Attempt) -> None:
        """An attempt has started to run."""

    def on_ended(self, now: float, attempt: Attempt, status: int, free: float) -> None:
        """An attempt has ended; `free` is the number of free slots reported with it, negative if none was."""

    def on_worker_lost(self, worker: Worker) -> None:
        """A worker is draining, restarted or gone; its reservation and learned state are discarded."""

    def on_job_closed(self, job: Job) -> None:
        """A job has its final response, or its client has disconnected."""


class NoReservations:
    """Makes no reservations: every job that fits is admitted."""

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
