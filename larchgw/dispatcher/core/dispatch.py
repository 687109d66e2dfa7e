"""The core: runs requests through the stages and implements the scheduler's `Actions`."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence

import structlog

from ...net.counters import Counters
from ...net.timers import Clock, Deadlines
from ..capacity.interface import NO_RESERVATIONS, ReservationPolicy
from ..scheduling.interface import ListKind, Member, Note, Settings, Status, WorkerId
from ..scheduling.scheduler import Dispatcher
from .boxes import WorkerRegistry
from .figures import DispatcherMetrics
from .outcomes import Answer, AnswerKind, End
from .requests import Attempt, JobMessage, Request, Transport
from .stages import Admit, Receive, Record, Relay, Route, Send

ANSWER_GRACE = 0.02  # seconds the scheduler has, after a request's deadline, to answer it
log = structlog.get_logger()


def _numbers(settings: Settings) -> dict[bytes, int]:
    return {t.name.encode(): index for index, t in enumerate(settings.tenants)}


class Core:
    """Queues every incoming event and passes the events to the scheduler one at a time.

    The scheduler takes actions while it handles an event, and an attempt that it starts may end immediately.
    Reporting that end without the queue would re-enter the scheduler in the middle of a decision.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        deadlines: Deadlines,
        max_open: int = 1000,
        max_body_bytes: int = 32 << 20,
        room: ReservationPolicy = NO_RESERVATIONS,
    ) -> None:
        self.settings, self.clock, self.deadlines = settings, clock, deadlines
        self._tenants = _numbers(settings)
        self.counters = Counters()
        self.workers = WorkerRegistry(clock.now(), settings.warm_up)
        self.list_listeners: list[Callable[[], None]] = []
        self._queue: deque[tuple[Callable[[], None], Request | None]] = deque()
        self._running = False
        self._to_settle: list[Request] = []
        self.dispatcher = Dispatcher(settings, seed, self, room)
        classes = [c.name for c in settings.classes]
        self.metrics = DispatcherMetrics(
            self.counters,
            classes,
            {
                "current": self.current,
                "cluster_size": lambda: len(self.workers.listed),
                "cluster_unhealthy": self.avoided,
            },
        )
        self.receive = Receive(self.counters, classes)
        self.admit = Admit(self.counters, self.receive, max_open, max_body_bytes)
        self.route = Route(self.dispatcher)
        self.sender = Send(self.counters, deadlines, self.expire)
        self.relay = Relay(self.counters, deadlines, classes)
        self.record = Record(self.counters, deadlines, self.dispatcher, self.receive)

    def reload(self, settings: Settings) -> None:
        """Replaces the settings; the new ones apply from the next decision on."""
        self.settings, self._tenants = settings, _numbers(settings)
        self._run_event(lambda: self.dispatcher.on_settings(settings))

    def tenant(self, name: bytes) -> int:
        """Index of the named tenant in the settings; one past the last index for an unknown tenant."""
        return self._tenants.get(name, len(self._tenants))

    def add_transport(self, transport: Transport) -> None:
        """Adds a transport; transports are tried in the order in which they were added."""
        self.sender.transports.append(transport)

    def open_requests(self) -> int:
        return len(self.receive.open)

    def current(self) -> int:
        """Number of requests that still await an answer."""
        return sum(not request.is_closed() for request in self.receive.open.values())

    def avoided(self) -> int:
        """Number of listed workers with little or no work: banned, or avoided by the scheduler."""
        avoided = {*self.workers.banned, *self.dispatcher.avoided_workers(self.clock.now())}
        return len(avoided & self.workers.listed.keys())

    # From fronts

    def submit(self, request: Request) -> None:
        """Handles a completely received request; its front may get the answer before this call returns."""
        now = self.clock.now()
        self.receive.run(now, request)
        answer = self.admit.run(request)
        if answer is not None:
            self.relay.run(request, answer)
            self.record.settle(request)
            return
        request.deadline = self.deadlines.add(
            request.give_up_at + ANSWER_GRACE, lambda: self._overdue(request)
        )
        self._run_event(lambda: self.route.run(self.clock.now(), request), request)

    def client_gone(self, request: Request) -> None:
        """Handles a client that disconnected before its answer."""
        if not request.is_closed():
            self.counters.gone.labels(request.front.name).inc()
            self._withdraw(request)

    def _withdraw(self, request: Request) -> None:
        request.client_gone = True
        self._run_event(lambda: self._report_client_gone(request), request)

    # From and to another process

    def adopt(self, request: Request, taken_at: float, give_up_at: float) -> None:
        """Takes over another process's request and attempts; only the last attempt may still run."""
        self.counters.moved.labels("in").inc()
        self.receive.enter(request, taken_at, give_up_at)
        request.deadline = self.deadlines.add(give_up_at + ANSWER_GRACE, lambda: self._overdue(request))
        for attempt in request.attempts:
            if not attempt.ended:
                self.sender.resume(attempt)
        self._run_event(lambda: self.route.run(self.clock.now(), request), request)

    def handed_over(self, request: Request) -> None:
        """Closes a request that another process has taken over."""
        self.counters.moved.labels("out").inc()
        self._withdraw(request)

    # From operators

    def ban_worker(self, worker: WorkerId, at: float) -> None:
        """Treats this worker as draining from now on, whatever discovery reports."""
        self._apply_operator_change(self.workers.ban(worker, at))

    def unban_worker(self, worker: WorkerId) -> None:
        """Lets discovery decide on this worker again; the worker is assumed to be newly started."""
        self._apply_operator_change(self.workers.unban(worker, self.clock.now()))

    def set_sibling_load(self, pending: Mapping[WorkerId, float], others: int) -> None:
        """Reports the pending load of this dispatcher's other processes, and their number."""
        self._run_event(lambda: self.dispatcher.on_sibling_load(pending, others))

    def _apply_operator_change(self, member: Member | None) -> None:
        self._apply_change(member)
        for listener in self.list_listeners:
            listener()

    # From transports

    def may_start_attempt(self, attempt: Attempt) -> bool:
        """Whether a previously scheduled attempt may still send its first byte."""
        request = attempt.request
        return (
            not request.is_closed()
            and self.workers.takes_work(attempt.worker)
            and (self.dispatcher.may_start_attempt(self.clock.now(), request.id, attempt.index))
        )

    def written(self, attempt: Attempt) -> None:
        """Records that the last byte of the attempt has been written to its worker."""
        if not attempt.written:
            attempt.written = True
            self.counters.written.labels(attempt.transport.name).inc()

    def started(self, attempt: Attempt) -> None:
        attempt.started_at = attempt.started_at or self.clock.now()
        self._report_progress(attempt, True, 0.0)

    def progress(self, attempt: Attempt, share: float) -> None:
        self._report_progress(attempt, False, share)

    def relay_message(self, attempt: Attempt, kind: JobMessage, data: bytes) -> None:
        if attempt.ended:
            self.counters.late.labels("news").inc()
        else:
            self.relay.relay_message(attempt.request, kind, data)

    def ended(self, attempt: Attempt, end: End) -> None:
        """Handles the end of an attempt. Only the first end of an attempt counts."""
        if not self.record.close(attempt, end):
            return
        if end.status == Status.OK:
            self.relay.run(attempt.request, Answer(AnswerKind.SERVED, end.result))
        self._run_event(lambda: self.record.run(self.clock.now(), attempt, end), attempt.request)

    def probed(self, worker: WorkerId, status: Status, latency: float, report: Sequence[float]) -> None:
        self._run_event(
            lambda: self.dispatcher.on_probe_result(self.clock.now(), worker, status, latency, report)
        )

    # From discovery and worker connections

    def listed(self, kind: ListKind, members: Iterable[Member]) -> None:
        """Handles a full worker list from discovery, or a change to it."""
        reported = [] if kind == ListKind.FAILED else self.workers.take_list(kind, members)
        self._run_event(lambda: self.dispatcher.on_members(self.clock.now(), kind, reported))
        for listener in self.list_listeners:
            listener()

    def worker_connected(self, worker: WorkerId, restarted: bool) -> None:
        """Handles a worker that has connected; `restarted` says that its process may be new."""
        self._apply_change(self.workers.connect(worker, self.clock.now(), restarted))

    def worker_disconnected(self, worker: WorkerId) -> None:
        """Handles a worker that has closed its last connection."""
        self._apply_change(self.workers.disconnect(worker))

    def _apply_change(self, member: Member | None) -> None:
        if member is not None:
            self._run_event(lambda: self.dispatcher.on_members(self.clock.now(), ListKind.DELTA, [member]))

    # Actions that the scheduler calls

    def send(self, request: int, worker: WorkerId, timeout: float) -> None:
        found = self.receive.open.get(request)
        if found is None:
            log.error("send.unknown", request=request)
            return
        attempt = self.sender.run(self.clock.now(), found, worker, timeout)
        if found.is_closed():
            # The client-gone event is still queued, so the scheduler counts this send as pending.
            # Without an end, the worker's pending count would never fall again.
            self.ended(attempt, End(Status.MOOT))

    def refuse(self, request: int, retry_after: float) -> None:
        reason = self.dispatcher.reservations.infeasible_reason(request) or "no room in time"
        self._answer(request, Answer(AnswerKind.REFUSED, retry_after=retry_after, reason=reason))

    def fail(self, request: int) -> None:
        self._answer(request, Answer(AnswerKind.FAILED, reason="it may have run, and gave no answer"))

    def cancel(self, request: int, attempt: int) -> None:
        found = self.receive.open.get(request)
        if found is not None and attempt < len(found.attempts):
            self._give_up(found.attempts[attempt], late=False)

    def timer(self, at: float, token: int) -> None:
        self.deadlines.add(
            at, lambda: self._run_event(lambda: self.dispatcher.on_timer(self.clock.now(), token))
        )

    def probe(self, worker: WorkerId) -> None:
        for transport in self.sender.transports:
            if any(transport.reach(worker, c) for c in range(len(self.settings.classes))):
                transport.probe(worker)
                return
        self.probed(worker, Status.CONNECT_FAILED, 0.0, ())

    def subscribe(self) -> None:
        """Does nothing: the discovery client subscribes by itself, and a call here would subscribe twice."""

    # Internal

    def _run_event(self, tell: Callable[[], None], request: Request | None = None) -> None:
        self._queue.append((tell, request))
        if self._running:
            return
        self._running = True
        try:
            while self._queue:
                event, request_of_event = self._queue.popleft()
                try:
                    event()
                except Exception:  # a bug in one decision must not prevent the answers to other requests
                    self.counters.faults.labels("decision").inc()
                    log.exception(
                        "fault.decision",
                        request=request_of_event.name.decode("latin-1") if request_of_event else None,
                    )
                if request_of_event is not None:
                    self._to_settle.append(request_of_event)
        finally:
            self._running = False
        unsettled, self._to_settle = self._to_settle, []
        for request_ in unsettled:
            self.record.settle(request_)

    def _report_progress(self, attempt: Attempt, started: bool, share: float) -> None:
        if attempt.ended:
            self.counters.late.labels("note").inc()
            return
        note = Note(attempt.request.id, attempt.index, attempt.worker, started, share)
        self._run_event(lambda: self.dispatcher.on_attempt_progress(self.clock.now(), note))

    def _report_client_gone(self, request: Request) -> None:
        self.dispatcher.on_client_gone(self.clock.now(), request.id)
        # Also gives up attempts that the scheduler may not cancel: no client awaits them.
        for attempt in request.attempts:
            self._give_up(attempt, late=False)

    def _answer(self, request: int, answer: Answer) -> None:
        found = self.receive.open.get(request)
        if found is not None:
            self.relay.run(found, answer)
            self._to_settle.append(found)

    def _give_up(self, attempt: Attempt, late: bool) -> None:
        if not attempt.ended:
            self.ended(attempt, End(attempt.transport.give_up(attempt, late)))

    def expire(self, attempt: Attempt) -> None:
        """Gives up an attempt that has reached its timeout."""
        self._give_up(attempt, late=True)

    def _overdue(self, request: Request) -> None:
        """Fails a request that the scheduler left unanswered; FAILED is correct whether or not it ran."""
        if request.is_closed():
            return
        log.error("answer.overdue", request=request.name.decode("latin-1"))
        self.counters.faults.labels("overdue").inc()
        for attempt in request.attempts:
            self._give_up(attempt, late=True)
        if self.relay.run(request, Answer(AnswerKind.FAILED, reason="its time is over")):
            self._run_event(lambda: self.dispatcher.on_client_gone(self.clock.now(), request.id), request)
