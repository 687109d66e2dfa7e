"""Record: reports each attempt's outcome to the scheduler once, and removes finished requests."""

from __future__ import annotations

from ....net.counters import Counters
from ....net.timers import Deadlines
from ...scheduling.interface import Outcome
from ...scheduling.scheduler import Dispatcher
from ..outcomes import End
from ..requests import Attempt, Request
from .receive import Receive


class Record:
    def __init__(
        self, counters: Counters, deadlines: Deadlines, dispatcher: Dispatcher, receive: Receive
    ) -> None:
        self._counters, self._deadlines = counters, deadlines
        self._dispatcher, self._receive = dispatcher, receive

    def close(self, attempt: Attempt, end: End) -> bool:
        """Marks the attempt as ended; returns False for a duplicate end, which is only counted."""
        if attempt.ended:
            self._counters.late.labels("end").inc()
            return False
        attempt.ended, attempt.status, attempt.why = True, end.status, end.why
        self._deadlines.cancel(attempt.deadline)
        self._counters.ended.labels(attempt.transport.name, end.status.name.lower()).inc()
        return True

    def run(self, now: float, attempt: Attempt, end: End) -> None:
        request = attempt.request
        self._dispatcher.on_outcome(
            now,
            Outcome(
                request.id,
                attempt.index,
                attempt.worker,
                end.status,
                request.is_closed(),
                now - attempt.sent_at,
                end.report,
            ),
        )

    def settle(self, request: Request) -> None:
        """Removes a request that is closed and whose attempts have all ended."""
        if request.is_closed() and all(a.ended for a in request.attempts):
            self._deadlines.cancel(request.deadline)
            self._receive.release(request)
