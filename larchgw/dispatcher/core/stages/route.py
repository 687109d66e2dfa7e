"""Route: passes a request to the scheduler."""

from __future__ import annotations

from ...scheduling import interface
from ...scheduling.scheduler import Dispatcher
from ..requests import Request


class Route:
    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def run(self, now: float, request: Request) -> None:
        """Passes the request on; earlier attempts exist only if it was taken over from another process."""
        tries = [(a.worker, a.sent_at, a.started_at, a.status) for a in request.attempts]
        self._dispatcher.on_request(
            now,
            interface.Request(
                id=request.id,
                give_up_at=request.give_up_at,
                job_class=request.job_class,
                key=request.key,
                tenant=request.tenant,
                slots=request.slots,
                memory=request.memory,
                hint=request.hint,
                repeat=request.repeat,
            ),
            request.taken_at,
            tries,
        )
