"""The core: runs requests through the stages and is the decision module's `Actions`."""

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

ANSWER_GRACE = 0.02  # after a request's time, for the module to have answered it
log = structlog.get_logger()


def _numbers(settings: Settings) -> dict[bytes, int]:
    return {t.name.encode(): index for index, t in enumerate(settings.tenants)}


class Core:
    """Whatever comes in is queued and told to the module one by one.

    The module acts while it is told something, and what it starts may end at once. Were that told to it
    there and then, it would be entered a second time in the middle of a decision.
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
        """Takes other settings; they count from the next decision on."""
        self.settings, self._tenants = settings, _numbers(settings)
        self._run_event(lambda: self.dispatcher.on_settings(settings))

    def tenant(self, name: bytes) -> int:
        """The number of the tenant that a client named; one past the last for who is not in the settings."""
        return self._tenants.get(name, len(self._tenants))

    def add_transport(self, transport: Transport) -> None:
        """Transports are asked in the order of their adding."""
        self.sender.transports.append(transport)

    def open_requests(self) -> int:
        return len(self.receive.open)

    def current(self) -> int:
        """Requests that are owed an answer."""
        return sum(not request.is_closed() for request in self.receive.open.values())

    def avoided(self) -> int:
        """Listed boxes that get no work, or hardly any: taken out by hand, or by the module's choice."""
        avoided = {*self.workers.banned, *self.dispatcher.avoided_workers(self.clock.now())}
        return len(avoided & self.workers.listed.keys())

    # From fronts

    def submit(self, request: Request) -> None:
        """A request has come in whole; its front hears the answer, perhaps at once."""
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
        """The client has left before its answer."""
        if not request.is_closed():
            self.counters.gone.labels(request.front.name).inc()
            self._withdraw(request)

    def _withdraw(self, request: Request) -> None:
        request.client_gone = True
        self._run_event(lambda: self._report_client_gone(request), request)

    # From and to another process

    def adopt(self, request: Request, taken_at: float, give_up_at: float) -> None:
        """Goes on with a request and its attempts, all of which but the last have ended."""
        self.counters.moved.labels("in").inc()
        self.receive.enter(request, taken_at, give_up_at)
        request.deadline = self.deadlines.add(give_up_at + ANSWER_GRACE, lambda: self._overdue(request))
        for attempt in request.attempts:
            if not attempt.ended:
                self.sender.resume(attempt)
        self._run_event(lambda: self.route.run(self.clock.now(), request), request)

    def handed_over(self, request: Request) -> None:
        """Another process goes on with it."""
        self.counters.moved.labels("out").inc()
        self._withdraw(request)

    # From operators

    def ban_worker(self, worker: WorkerId, at: float) -> None:
        """From now on this box counts as draining, whatever discovery lists."""
        self._apply_operator_change(self.workers.ban(worker, at))

    def unban_worker(self, worker: WorkerId) -> None:
        """Discovery rules this box again; it is taken for newly started."""
        self._apply_operator_change(self.workers.unban(worker, self.clock.now()))

    def set_sibling_load(self, pending: Mapping[WorkerId, float], others: int) -> None:
        """What other processes of this dispatcher have out, and how many they are."""
        self._run_event(lambda: self.dispatcher.on_sibling_load(pending, others))

    def _apply_operator_change(self, member: Member | None) -> None:
        self._apply_change(member)
        for told_too in self.list_listeners:
            told_too()

    # From transports

    def may_start_attempt(self, attempt: Attempt) -> bool:
        """Whether the first byte of an attempt may go out now, some time after it was decided on."""
        request = attempt.request
        return (
            not request.is_closed()
            and self.workers.takes_work(attempt.worker)
            and (self.dispatcher.may_start_attempt(self.clock.now(), request.id, attempt.index))
        )

    def written(self, attempt: Attempt) -> None:
        """The last byte of the attempt has gone to its box."""
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
        """An attempt has ended. Only the first end of an attempt counts."""
        if not self.record.close(attempt, end):
            return
        if end.status == Status.OK:
            self.relay.run(attempt.request, Answer(AnswerKind.SERVED, end.result))
        self._run_event(lambda: self.record.run(self.clock.now(), attempt, end), attempt.request)

    def probed(self, worker: WorkerId, status: Status, latency: float, report: Sequence[float]) -> None:
        self._run_event(
            lambda: self.dispatcher.on_probe_result(self.clock.now(), worker, status, latency, report)
        )

    # From whoever knows the boxes

    def listed(self, kind: ListKind, members: Iterable[Member]) -> None:
        """Discovery's list, or a change to it."""
        told = [] if kind == ListKind.FAILED else self.workers.take_list(kind, members)
        self._run_event(lambda: self.dispatcher.on_members(self.clock.now(), kind, told))
        for told_too in self.list_listeners:
            told_too()

    def worker_connected(self, worker: WorkerId, restarted: bool) -> None:
        """A box has connected to us; `restarted`: its process may be new."""
        self._apply_change(self.workers.connect(worker, self.clock.now(), restarted))

    def worker_disconnected(self, worker: WorkerId) -> None:
        """A box has closed its last connection to us."""
        self._apply_change(self.workers.disconnect(worker))

    def _apply_change(self, member: Member | None) -> None:
        if member is not None:
            self._run_event(lambda: self.dispatcher.on_members(self.clock.now(), ListKind.DELTA, [member]))

    # The module's actions

    def send(self, request: int, worker: WorkerId, timeout: float) -> None:
        found = self.receive.open.get(request)
        if found is None:
            log.error("send.unknown", request=request)
            return
        attempt = self.sender.run(self.clock.now(), found, worker, timeout)
        if found.is_closed():
            # Its client's leaving is still queued, so the module counts this send: it needs an end, too, or
            # the box's pending count would never fall again.
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
        """Whoever follows the list asks for it by himself: a call here would be a second one beside his."""

    # Within

    def _run_event(self, tell: Callable[[], None], request: Request | None = None) -> None:
        self._queue.append((tell, request))
        if self._running:
            return
        self._running = True
        try:
            while self._queue:
                step, of = self._queue.popleft()
                try:
                    step()
                except Exception:  # a fault of ours in one decision must not take the others' answers along
                    self.counters.faults.labels("decision").inc()
                    log.exception("fault.decision", request=of.name.decode("latin-1") if of else None)
                if of is not None:
                    self._to_settle.append(of)
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
        for attempt in request.attempts:  # where the module may not cancel, nobody waits for them either
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
        """The time of an attempt is over."""
        self._give_up(attempt, late=True)

    def _overdue(self, request: Request) -> None:
        """The module should have answered by now. A failure is true whatever has run."""
        if request.is_closed():
            return
        log.error("answer.overdue", request=request.name.decode("latin-1"))
        self.counters.faults.labels("overdue").inc()
        for attempt in request.attempts:
            self._give_up(attempt, late=True)
        if self.relay.run(request, Answer(AnswerKind.FAILED, reason="its time is over")):
            self._run_event(lambda: self.dispatcher.on_client_gone(self.clock.now(), request.id), request)
