"""One client's request from its arrival to its final answer: where it is sent, how often, what is answered.

It is *waiting* for a runner, *at a runner*, or *finished*. `decide` takes it from waiting to a runner or to a
rejection; the end of an attempt takes it back to a decision, or to the final answer.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from http import HTTPStatus

import structlog

from ..net.http_server import Exchange
from ..net.timers import Deadline
from ..routing.interface import Attempt, AttemptOutcome, Reject, RequestTraits, Send, Wait
from ..runner_directory.runner_record import RunnerRecord, Stage
from .answer_parser import AnswerHead
from .answers import Verdict, classify, reported_load
from .context import ProxyContext
from .errors import EventTooLongError, StreamMismatchError
from .forwarding import request_bytes
from .relay import BufferedRelay
from .runner_connection import RunnerConnection
from .stream_relay import StreamRelay
from .stream_timeout import StreamTimeout, stream_timeout_s
from .trace import RequestTrace

DEADLINE_MARGIN_S = 0.02  # before the client gives up: the answer has to reach it
EXTRA_ATTEMPTS = 3  # beyond the route's `tries`, for attempts that certainly never ran
MIN_RETRY_AFTER_S = 0.05
MIN_WAIT_S = 0.005  # between two decisions on a request without a change
DEFAULT_RETRY_AFTER_S = 0.25  # where the decision names no time
RETRY_AFTER_SHARE = 1 / 3  # of the time left: clients honour no more
RETRY_AFTER_JITTER = 0.2  # of the time, by which it is lengthened at random: not all come back at once
HIGH_WATER_BYTES = 256 * 1024  # unsent bytes to a client at which its runner's answer is read no further
log = structlog.get_logger()


class ProxiedRequest:
    """Carries one request to its end.

    Every request ends in exactly one of `_reply`, `_truncate`, a complete answer of a runner, and
    `client_gone`.

    Attributes:
        name: The request's `X-Attempt-Id`.
        traits: What the selection knows of it.
    """

    def __init__(self, context: ProxyContext, exchange: Exchange, traits: RequestTraits, name: bytes) -> None:
        """Sets the timer of its deadline; `decide` begins."""
        self.name, self.traits = name, traits
        self._context, self._exchange = context, exchange
        self._tried: list[str] = []
        # Attempts made; those of which bytes reached a runner; those that may have run.
        self._attempts = self._arrivals = self._runs = 0
        self._is_finished = self._is_deciding = self._demand_reported = False
        self._attempt: Attempt | None = None
        self._send: Send | None = None
        self._connection: RunnerConnection | None = None
        self._verdict: AttemptOutcome | None = None  # of an answer that is not passed on
        self._head: AnswerHead | None = None
        self._relay: BufferedRelay | None = None
        self._stream: StreamRelay | None = None
        self._streaming = False  # whether the present answer goes to `_stream`
        self._wait_timer: Deadline | None = None
        self._trace = RequestTrace.of(traits, name)
        self._stream_timeout: StreamTimeout | None = None
        self._deadline_timer = context.loop.deadlines.add(
            max(traits.deadline_at - DEADLINE_MARGIN_S, traits.arrived_at), self._on_deadline
        )

    @property
    def at_runner(self) -> bool:
        """Whether it is at a runner, or on its way there."""
        return self._attempt is not None

    @property
    def started(self) -> bool:
        """Whether the client has got the beginning of an answer."""
        return (self._stream is not None and self._stream.started) or (
            self._relay is not None and self._relay.started
        )

    # Decisions

    def decide(self) -> bool:
        """Asks the selection where it goes, and sends or rejects it. Returns whether it waits no more."""
        if self._is_finished or self._attempt is not None or self._is_deciding:
            return True
        self._is_deciding = True
        try:
            return self._decide()
        finally:
            self._is_deciding = False

    def _decide(self) -> bool:
        """Attempts that fail at once lead to the next decision."""
        context, traits = self._context, self.traits
        while not self._is_finished and self._attempt is None:
            now = context.now()
            if now >= traits.deadline_at - DEADLINE_MARGIN_S:
                self._give_up(DEFAULT_RETRY_AFTER_S, "deadline", late=True)
                return True
            if self._arrivals and not context.budget.may_retry(now, traits.service, context.dispatchers()):
                self._give_up(DEFAULT_RETRY_AFTER_S, "budget")
                return True
            expected = context.expected(traits.service, traits.model, traits.adapter)
            choice = context.selection.choose(now, traits, self._candidates(), tuple(self._tried), expected)
            if isinstance(choice, Wait):
                self._wait(now, choice)
                return False
            self._stop_waiting()
            if isinstance(choice, Reject):
                self._reject(now, choice)
            else:
                self._send_to(now, choice)
        return True

    def _candidates(self) -> Mapping[str, RunnerRecord]:
        """The service's runners; for a stream that goes on, those known to have the same weights."""
        runners = self._context.runners(self.traits.service)
        stream, model = self._stream, self.traits.model
        if stream is None or not stream.started or not stream.version or not model:
            return runners
        version = int(stream.version) if stream.version.isdigit() else 0
        same = {
            name: runner
            for name, runner in runners.items()
            if any(held.name == model and held.config_version == version for held in runner.models)
        }
        return same or runners

    def _wait(self, now: float, choice: Wait) -> None:
        context = self._context
        if self._trace is not None:
            self._trace.waits(now, choice.reason)
        context.waiting.add(self)
        context.loop.deadlines.cancel(self._wait_timer)
        self._wait_timer = context.loop.deadlines.add(
            max(choice.until, now + MIN_WAIT_S), self._on_wait_timeout
        )
        self._report_missing_model()

    def _reject(self, now: float, choice: Reject) -> None:
        if choice.awaits_load:
            self._context.returns.add(now, self.traits, choice.retry_after)
            self._report_missing_model()
        self._give_up(choice.retry_after, choice.reason)

    def _report_missing_model(self) -> None:
        """Reports demand at once if no runner holds what it asks for."""
        context, traits = self._context, self.traits
        if not traits.model or self._demand_reported:
            return
        ready = [x for x in context.runners(traits.service).values() if x.stage < Stage.DRAINING]
        if not any(runner.holds(traits.model, traits.adapter) for runner in ready):
            self._demand_reported = True
            context.on_missing_model(traits.service, traits.model, traits.adapter)

    def _on_wait_timeout(self) -> None:
        self._wait_timer = None
        self.decide()

    def _stop_waiting(self) -> None:
        self._context.waiting.remove(self)
        self._context.loop.deadlines.cancel(self._wait_timer)
        self._wait_timer = None

    def _send_to(self, now: float, choice: Send) -> None:
        context, runner = self._context, choice.runner
        attempt = Attempt(self.traits, runner.id, self._attempts, now)
        self._attempts += 1
        if runner.id not in self._tried:
            self._tried.append(runner.id)
        self._attempt, self._send, self._verdict, self._head = attempt, choice, None, None
        self._restart_stream_timeout(now)
        context.selection.sent(attempt)
        if self._trace is not None:
            self._trace.sent(now)
        if self._arrivals:
            context.budget.record_retry(now, self.traits.service)
        connection = context.pool.acquire(runner, idempotent=self.traits.route.is_idempotent)
        if connection is None:
            self._on_attempt_failed(AttemptOutcome.UNSENT)
            return
        self._connection = connection
        connection.begin(self, self._exchange.method == b"HEAD")

    # Events of the connection

    def request(self) -> bytes | None:
        """The request's bytes for the present runner; None if it takes none any more."""
        attempt, choice = self._attempt, self._send
        if attempt is None or choice is None:
            return None
        runner = self._context.runners(self.traits.service).get(attempt.runner)
        if runner is None or runner.stage >= Stage.DRAINING or runner.address != choice.runner.address:
            return None
        left_s = self.traits.deadline_at - self._context.now()
        return request_bytes(self._exchange, self.name, attempt.runner, left_s, choice.priority, self._stream)

    def on_answer(self, head: AnswerHead) -> None:
        """The head of the runner's answer has come."""
        attempt = self._attempt
        assert attempt is not None
        self._head = head
        load = reported_load(head)
        if load is not None:
            self._context.selection.observe_load(self._context.now(), attempt.runner, *load)
        verdict = classify(head)
        self._streaming = verdict is Verdict.EVENTS
        if verdict is Verdict.EVENTS:
            self._stream_begins(head)
        elif self._stream is not None and self._stream.started and verdict is Verdict.ANSWER:
            self._verdict = AttemptOutcome.RUNNER_ERROR  # the client has the head of a stream already
        elif verdict is Verdict.ANSWER:
            self._relay = BufferedRelay(self._exchange, head)
            self._began(attempt)
        elif verdict is Verdict.NO_ANSWER:
            self._break_off(AttemptOutcome.GARBLED)
        else:
            self._verdict = {
                Verdict.FULL: AttemptOutcome.FULL,
                Verdict.NOT_HELD: AttemptOutcome.NOT_HELD,
                Verdict.UNPROVEN: AttemptOutcome.RUNNER_ERROR,
            }[verdict]

    def on_body(self, data: bytes) -> None:
        """Bytes of the runner's answer have come."""
        if self._verdict is not None:
            return
        if self._streaming:
            self._stream_bytes(data)
        elif self._relay is not None:
            self._relay.feed(data)
        if self._exchange.unsent > HIGH_WATER_BYTES and self._connection is not None:
            self._connection.pause(True)
            self._exchange.on_drained = self._drained

    def _drained(self) -> None:
        self._exchange.on_drained = None
        self._restart_stream_timeout(self._context.now())
        if self._connection is not None:
            self._connection.pause(False)

    def on_answer_end(self) -> None:
        """The runner's answer is complete."""
        self._connection = None
        if self._verdict is not None:
            self._on_attempt_failed(self._verdict)
            return
        relay = self._stream if self._streaming else self._relay
        assert relay is not None
        assert self._head is not None
        status = self._head.status
        try:
            relay.complete()
        except StreamMismatchError as error:
            self._reject_stream(error)
            return
        self._end_attempt(AttemptOutcome.DONE if status < 500 else AttemptOutcome.RUNNER_ERROR)
        self._context.counters.answers.labels(str(status), "runner").inc()
        self._finish("answered")

    def on_lost(self, outcome: AttemptOutcome) -> None:
        """There is no (more) answer from the runner."""
        self._connection = None
        self._on_attempt_failed(self._verdict if self._verdict is not None else outcome)

    # Streams

    def _stream_begins(self, head: AnswerHead) -> None:
        if self._stream is None:
            self._stream = StreamRelay(self._exchange)
        try:
            self._stream.begin(head)
        except StreamMismatchError as error:
            self._reject_stream(error)
            return
        route = self.traits.route
        if route.can_resume and self._stream_timeout is None:
            self._stream_timeout = StreamTimeout(
                self._context.loop, stream_timeout_s(route.gap_aim_ms), self._on_stream_timeout
            )

    def _stream_bytes(self, data: bytes) -> None:
        stream, attempt = self._stream, self._attempt
        assert stream is not None
        assert attempt is not None
        started, now = stream.started, self._context.now()
        self._restart_stream_timeout(now)
        try:
            stream.feed(data)
        except (StreamMismatchError, EventTooLongError) as error:
            self._reject_stream(error)
            return
        if stream.started and not started:
            self._began(attempt)
        elif self._trace is not None:
            self._trace.received(now)

    def _began(self, attempt: Attempt) -> None:
        """The runner's answer has begun: its head, or a stream's first event, has come."""
        now = self._context.now()
        if self._trace is not None:
            self._trace.began(now)
        self._context.selection.head(now, attempt)

    def _restart_stream_timeout(self, now: float) -> None:
        if self._stream_timeout is not None:
            self._stream_timeout.observe(now)

    def _reject_stream(self, error: Exception) -> None:
        log.warning("stream.invalid", error=str(error))
        self._break_off(AttemptOutcome.GARBLED)

    def _on_stream_timeout(self) -> None:
        """The runner sends nothing: the stream is resumed elsewhere, where it may be."""
        if self._attempt is None or not self.started or self._exchange.on_drained is not None:
            return  # nothing is awaited of a runner's stream now
        now, service = self._context.now(), self.traits.service
        allowed = self._context.budget.may_retry(now, service, self._context.dispatchers())
        if allowed and self._may_run_again(self._runs + 1) and self._has_another_runner(now):
            self._break_off(AttemptOutcome.SILENT)

    def _has_another_runner(self, now: float) -> bool:
        """Whether another runner would accept it now; without one, a time-out does not end the answer."""
        traits, attempt = self.traits, self._attempt
        expected = self._context.expected(traits.service, traits.model, traits.adapter)
        choice = self._context.selection.choose(now, traits, self._candidates(), tuple(self._tried), expected)
        return isinstance(choice, Send) and attempt is not None and choice.runner.id != attempt.runner

    # Ends of attempts

    def _break_off(self, outcome: AttemptOutcome) -> None:
        """We give the attempt up; `outcome` where it may have run."""
        connection, self._connection = self._connection, None
        never_sent = connection is not None and connection.cancel() is AttemptOutcome.UNSENT
        self._on_attempt_failed(AttemptOutcome.UNSENT if never_sent else outcome)

    def _end_attempt(self, outcome: AttemptOutcome) -> None:
        """Records the end of the attempt under way."""
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        now = self._context.now()
        if self._trace is not None:
            self._trace.ended(now, attempt.runner, outcome)
        self._context.selection.ended(now, attempt, outcome)
        self._context.counters.attempts.labels(outcome.name.lower()).inc()
        if outcome not in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.UNSENT):
            self._arrivals += 1
        if not outcome.never_ran:
            self._runs += 1
        self._context.waiting.runner_freed(attempt.runner)

    def _on_attempt_failed(self, outcome: AttemptOutcome) -> None:
        """An attempt ended without an answer: the request is retried, or given up."""
        self._end_attempt(outcome)
        if outcome.never_ran:
            may_retry = self._attempts < self.traits.route.tries + EXTRA_ATTEMPTS
        else:
            may_retry = self._may_run_again(self._runs)
        if may_retry and self.started and not outcome.never_ran:
            # Its first event has come: being late for that is no reason to shed the rest.
            self.traits = replace(self.traits, target_at=self.traits.deadline_at)
            self._context.counters.resumed.inc()
        if may_retry:
            self._relay = None
            self.decide()
        else:
            self._give_up(self._retry_after(), outcome.name.lower(), outcome is AttemptOutcome.SILENT)

    def _may_run_again(self, runs: int) -> bool:
        """Whether it may go to a further runner after it may have run so many times."""
        route = self.traits.route
        if not route.is_idempotent or runs >= route.tries:
            return False
        if not self.started:
            return True
        stream = self._stream
        return route.can_resume and stream is not None and stream.started and stream.can_resume_elsewhere

    def _retry_after(self) -> float:
        """Returns the `Retry-After` of the runner that rejected it, in seconds."""
        value = self._head.headers.get(b"retry-after", b"") if self._head is not None else b""
        try:
            return max(float(value), MIN_RETRY_AFTER_S)
        except ValueError:
            return DEFAULT_RETRY_AFTER_S

    # The final answer

    def _on_deadline(self) -> None:
        """The deadline has come."""
        if self._is_finished:
            return
        if self._attempt is not None:
            connection, self._connection = self._connection, None
            sent = connection is not None and connection.cancel() is not AttemptOutcome.UNSENT
            self._end_attempt((self._verdict or AttemptOutcome.SILENT) if sent else AttemptOutcome.UNSENT)
        self._give_up(DEFAULT_RETRY_AFTER_S, "deadline", late=True)

    def _give_up(self, retry_after: float, reason: str, late: bool = False) -> None:
        """Answers at once. 503 promises that it never ran and never will."""
        if self.started:
            self._truncate(reason)
        elif self._runs:
            self._reply(504 if late else 502, reason)
        else:
            left = max(self.traits.deadline_at - self._context.now(), 0.0)
            spread = 1.0 + RETRY_AFTER_JITTER * self._context.random.random()
            seconds = min(max(retry_after, MIN_RETRY_AFTER_S) * spread, left * RETRY_AFTER_SHARE)
            self._context.counters.refused.labels(reason).inc()
            self._reply(503, reason, (("Retry-After", f"{seconds:.3f}"),))

    def _reply(self, status: int, reason: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        self._context.counters.answers.labels(str(status), "edge").inc()
        if self._trace is not None:
            self._trace.answered(self._context.now(), status, reason)
        self._exchange.reply(status, reason.encode() + b"\n", headers)
        self._finish("refused" if status == HTTPStatus.SERVICE_UNAVAILABLE else "failed")

    def _truncate(self, reason: str) -> None:
        """The answer has begun and can't be completed: the client must see that it is incomplete."""
        self._context.counters.cut.inc()
        log.info("answer.truncated", reason=reason)
        self._exchange.end(complete=False)
        self._finish("truncated")

    def client_gone(self) -> None:
        """The client has left: no answer is due any more, and the runner may stop."""
        if self._is_finished:
            return
        self._context.counters.gone.inc()
        self._cancel()
        self._finish("left")

    def abandon(self) -> None:
        """The process ends: answers with what is known of the request now."""
        if not self._is_finished:
            self._cancel()
            self._give_up(DEFAULT_RETRY_AFTER_S, "stopping")

    def _cancel(self) -> None:
        """Gives up the attempt that is under way."""
        if self._attempt is not None:
            connection, self._connection = self._connection, None
            self._end_attempt(connection.cancel() if connection is not None else AttemptOutcome.UNSENT)

    def _finish(self, end: str) -> None:
        """No more happens to it; `end` says how it ended, for its trace."""
        self._is_finished = True
        self._stop_waiting()
        self._context.loop.deadlines.cancel(self._deadline_timer)
        if self._stream_timeout is not None:
            self._stream_timeout.stop()
        if self._trace is not None:
            self._trace.finished(self._context.now(), end)
        self._exchange.handler_data = self._exchange.on_drained = None  # lets its body go at once
        self._context.closed(self)
