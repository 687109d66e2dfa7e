"""Retry rules 1 to 4: whether and until when a job may be sent or resent, and whether it may be refused."""

from __future__ import annotations

from .interface import Settings
from .records import IN_FLIGHT, NEVER_RAN, Job, Worker

ARRIVAL_TIME = 0.05  # Seconds from sending the first byte of a request to the arrival of its last.


def may_send(s: Settings, now: float, job: Job, worker: Worker) -> bool:
    """Applies rules 1 to 3 to one attempt. Every send must pass this check."""
    if not job.attempts:
        return worker.ready and not job.done
    late = now >= job.request.give_up_at
    if job.done or late or not worker.ready or len(job.attempts) >= s.max_attempts:
        return False
    once = job.cls.effect == "at_most_once"
    for a in job.attempts:
        if a.state == NEVER_RAN:
            continue
        if a.worker is worker or (a.state == IN_FLIGHT and not s.second_copies) or once:
            return False
        if job.cls.effect == "deduplicated":
            group = job.cls.group
            if (group == "zone" and a.worker.zone != worker.zone) or (
                group == "cell" and a.worker.cell != worker.cell
            ):
                return False
    return now + s.dial_timeout < window_end(job)  # The connect may take up to the dial timeout.


def window_end(job: Job, before: int | None = None) -> float:
    """Returns the latest send time. Deduplication windows start at the first attempt that may have run."""
    ran = (a.sent_at for a in job.attempts[:before] if a.state != NEVER_RAN)
    first = next(ran, None) if job.cls.effect == "deduplicated" else None
    return float("inf") if first is None else first + job.cls.window - ARRIVAL_TIME


def may_refuse(job: Job) -> bool:
    """Returns whether the job may be refused: a refusal promises the client that a retry is harmless."""
    if job.cls.effect == "idempotent" or (job.cls.effect == "deduplicated" and job.cls.group == "all"):
        return True
    return all(a.state == NEVER_RAN for a in job.attempts)
