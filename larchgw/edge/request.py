"""One client request from arrival to final response: runner selection, retries and the response.

A request is *waiting* for a runner, *at a runner*, or *finished*. `decide` sends a waiting request to a
runner or rejects it. When an attempt ends, the request is decided again or gets its final response.
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
from .failed_attempts import NO_CONNECTION, FailedAttempt, FailedAttempts
from .forwarding import SerializedRequest, serialize_request
from .relay import BufferedRelay
from .runner_connection import RunnerConnection
from .stream_relay import StreamRelay
from .stream_timeout import StreamTimeout, stream_timeout_s
from .trace import RequestTrace

DEADLINE_MARGIN_S = 0.02  # before the deadline, so that the response reaches the client in time
EXTRA_ATTEMPTS = 3  # in addition to the route's `tries`, for attempts that certainly never ran
MIN_RETRY_AFTER_S = 0.05
MIN_WAIT_S = 0.005  # between decisions on a waiting request when nothing has changed
DEFAULT_RETRY_AFTER_S = 0.25  # where neither the decision nor the runner gives a time
RETRY_AFTER_SHARE = 1 / 3  # of the time left until the deadline; clients ignore a larger value
RETRY_AFTER_JITTER = 0.2  # relative; added at random so that clients do not all retry at the same time
HIGH_WATER_BYTES = 256 * 1024  # unsent bytes to a client above which reading from its runner pauses
log = structlog.get_logger()


class ProxiedRequest:
    """Handles one request until it ends.

    Every request ends in exactly one of four ways: `_reply`, `_truncate`, a complete response of a runner, or
    `client_gone`.

    Attributes:
        name: The request's `X-Attempt-Id`.
        traits: The properties of the request that runner selection uses.
    """

    def __init__(self, context: ProxyContext, exchange: Exchange, traits: RequestTraits, name: bytes) -> None:
        """Starts the deadline timer; call `decide` to start processing."""
        self.name, self.traits = name, traits
        self._context, self._exchange = context, exchange
        self._tried: list[str] = []
        self._connections: list[RunnerConnection] = []  # one for each attempt that got one
        self._failed_attempts = FailedAttempts(name, traits.route)
        # Attempts made, attempts that sent bytes to a runner, and attempts that may have run.
        self._attempts = self._deliveries = self._possible_runs = 0
        self._is_finished = self._is_deciding = self._demand_reported = False
        self._attempt: Attempt | None = None
        self._choice: Send | None = None
        self._connection: RunnerConnection | None = None
        self._connection_number = NO_CONNECTION  # of the last attempt
        self._rejected_as: AttemptOutcome | None = None  # set once the response will not be forwarded
        self._head: AnswerHead | None = None
        self._relay: BufferedRelay | None = None
        self._stream: StreamRelay | None = None
        self._streaming = False  # whether the current response goes to `_stream`
        self._wait_timer: Deadline | None = None
        self._trace = RequestTrace.of(traits, name)
        self._stream_timeout: StreamTimeout | None = None
        self._deadline_timer: Deadline | None = context.loop.deadlines.add(
            max(traits.deadline_at - DEADLINE_MARGIN_S, traits.arrived_at), self._on_deadline
        )

    @property
    def at_runner(self) -> bool:
        """Whether an attempt at a runner is in progress."""
        return self._attempt is not None

    @property
    def started(self) -> bool:
        """Whether any part of a response has been sent to the client."""
        return (self._stream is not None and self._stream.started) or (
            self._relay is not None and self._relay.started
        )

    # Decisions

    def decide(self) -> bool:
        """Selects a runner, then sends, rejects or queues the request. Returns False if it still waits."""
        if self._is_finished or self._attempt is not None or self._is_deciding:
            return True
        self._is_deciding = True
        try:
            return self._decide()
        finally:
            self._is_deciding = False

    def _decide(self) -> bool:
        """Decides repeatedly, since an attempt may fail immediately."""
        context, traits = self._context, self.traits
        while not self._is_finished and self._attempt is None:
            now = context.now()
            if now >= traits.deadline_at - DEADLINE_MARGIN_S:
                self._give_up(DEFAULT_RETRY_AFTER_S, "deadline", late=True)
                return True
            if self._deliveries and not context.budget.may_retry(now, traits.service, context.dispatchers()):
                self._give_up(DEFAULT_RETRY_AFTER_S, "budget")
                return True
            expected = context.expected_loads(traits.service, traits.model, traits.adapter)
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
        """Returns the service's runners; to resume a stream, those known to hold the same weights, if any."""
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
            self._context.expected_returns.add(now, self.traits, choice.retry_after)
            self._report_missing_model()
        self._give_up(choice.retry_after, choice.reason)

    def _report_missing_model(self) -> None:
        """Reports demand immediately if no runner holds the requested model and adapter."""
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
        self._attempt, self._choice, self._rejected_as, self._head = attempt, choice, None, None
        self._restart_stream_timeout(now)
        context.selection.sent(attempt)
        if self._trace is not None:
            self._trace.sent(now)
        if self._deliveries:
            context.budget.record_retry(now, self.traits.service)
        idempotent = self.traits.route.is_idempotent
        connection = context.pool.acquire(runner, idempotent, self._connections)
        self._connection_number = connection.number if connection is not None else NO_CONNECTION
        self._failed_attempts.log_further_attempt(runner.id, self._connection_number)
        if connection is None:
            self._on_attempt_failed(AttemptOutcome.UNSENT)
            return
        self._connections.append(connection)
        self._connection = connection
        connection.begin(self, self._exchange.method == b"HEAD")

    # Called by the runner connection

    def request(self) -> SerializedRequest | None:
        """Returns the request for the current runner; None if it no longer accepts requests."""
        attempt, choice = self._attempt, self._choice
        if attempt is None or choice is None:
            return None
        runner = self._context.runners(self.traits.service).get(attempt.runner)
        if runner is None or runner.stage >= Stage.DRAINING or runner.address != choice.runner.address:
            return None
        left_s = self.traits.deadline_at - self._context.now()
        return serialize_request(
            self._exchange, self.name, attempt.runner, left_s, choice.priority, self._stream
        )

    def on_answer(self, head: AnswerHead) -> None:
        """Handles the head of the runner's response."""
        attempt = self._attempt
        assert attempt is not None
        self._head = head
        load = reported_load(head)
        if load is not None:
            self._context.selection.observe_load(self._context.now(), attempt.runner, *load)
        verdict = classify(head)
        self._streaming = verdict is Verdict.EVENTS
        if verdict is Verdict.EVENTS:
            self._begin_stream(head)
        elif self._stream is not None and self._stream.started and verdict is Verdict.ANSWER:
            self._rejected_as = AttemptOutcome.RUNNER_ERROR  # the client already has the head of a stream
        elif verdict is Verdict.ANSWER:
            self._relay = BufferedRelay(self._exchange, head)
            self._on_answer_began(attempt)
        elif verdict is Verdict.UNSEALED:
            self._abort_attempt(AttemptOutcome.GARBLED)
        else:
            self._rejected_as = {
                Verdict.FULL: AttemptOutcome.FULL,
                Verdict.NOT_HELD: AttemptOutcome.NOT_HELD,
                Verdict.MAY_HAVE_RUN: AttemptOutcome.RUNNER_ERROR,
            }[verdict]

    def on_body(self, data: bytes) -> None:
        """Handles body bytes of the runner's response."""
        if self._rejected_as is not None:
            return
        if self._streaming:
            self._feed_stream(data)
        elif self._relay is not None:
            self._relay.feed(data)
        if self._exchange.unsent > HIGH_WATER_BYTES and self._connection is not None:
            self._connection.pause(True)
            self._exchange.on_drained = self._on_client_drained

    def _on_client_drained(self) -> None:
        self._exchange.on_drained = None
        self._restart_stream_timeout(self._context.now())
        if self._connection is not None:
            self._connection.pause(False)

    def on_answer_end(self) -> None:
        """Handles the end of a complete runner response."""
        self._connection = None
        if self._rejected_as is not None:
            self._on_attempt_failed(self._rejected_as)
            return
        relay = self._stream if self._streaming else self._relay
        assert relay is not None
        assert self._head is not None
        status = self._head.status
        try:
            relay.complete()
        except StreamMismatchError as error:
            self._abort_invalid_stream(error)
            return
        self._end_attempt(AttemptOutcome.DONE if status < 500 else AttemptOutcome.RUNNER_ERROR)
        self._context.counters.answers.labels(str(status), "runner").inc()
        self._finish("answered")

    def on_lost(self, outcome: AttemptOutcome) -> None:
        """Handles an attempt that ended without a complete response."""
        self._connection = None
        self._on_attempt_failed(self._rejected_as if self._rejected_as is not None else outcome)

    # Streams

    def _begin_stream(self, head: AnswerHead) -> None:
        if self._stream is None:
            self._stream = StreamRelay(self._exchange)
        try:
            self._stream.begin(head)
        except StreamMismatchError as error:
            self._abort_invalid_stream(error)
            return
        route = self.traits.route
        if route.can_resume and self._stream_timeout is None:
            self._stream_timeout = StreamTimeout(
                self._context.loop, stream_timeout_s(route.gap_aim_ms), self._on_stream_timeout
            )

    def _feed_stream(self, data: bytes) -> None:
        stream, attempt = self._stream, self._attempt
        assert stream is not None
        assert attempt is not None
        started, now = stream.started, self._context.now()
        self._restart_stream_timeout(now)
        try:
            stream.feed(data)
        except (StreamMismatchError, EventTooLongError) as error:
            self._abort_invalid_stream(error)
            return
        if stream.started and not started:
            self._on_answer_began(attempt)
        elif self._trace is not None:
            self._trace.received(now)

    def _on_answer_began(self, attempt: Attempt) -> None:
        """Records that the response has begun: its head, or the first event of a stream, was received."""
        now = self._context.now()
        if self._trace is not None:
            self._trace.began(now)
        self._context.selection.first_byte_received(now, attempt)

    def _restart_stream_timeout(self, now: float) -> None:
        if self._stream_timeout is not None:
            self._stream_timeout.observe(now)

    def _abort_invalid_stream(self, error: Exception) -> None:
        log.warning("stream.invalid", error=str(error))
        self._abort_attempt(AttemptOutcome.GARBLED)

    def _on_stream_timeout(self) -> None:
        """Resumes a stream at another runner, if allowed, because its runner has sent nothing."""
        if self._attempt is None or not self.started or self._exchange.on_drained is not None:
            return  # no stream data is expected from a runner now
        now, service = self._context.now(), self.traits.service
        allowed = self._context.budget.may_retry(now, service, self._context.dispatchers())
        if allowed and self._may_run_again(self._possible_runs + 1) and self._has_another_runner(now):
            self._abort_attempt(AttemptOutcome.SILENT)

    def _has_another_runner(self, now: float) -> bool:
        """Whether another runner would accept the request now; otherwise the silent one is kept."""
        traits, attempt = self.traits, self._attempt
        expected = self._context.expected_loads(traits.service, traits.model, traits.adapter)
        choice = self._context.selection.choose(now, traits, self._candidates(), tuple(self._tried), expected)
        return isinstance(choice, Send) and attempt is not None and choice.runner.id != attempt.runner

    # End of an attempt

    def _abort_attempt(self, outcome: AttemptOutcome) -> None:
        """Cancels the attempt and handles its failure: `outcome` if anything was sent, else UNSENT."""
        connection, self._connection = self._connection, None
        never_sent = connection is not None and connection.cancel() is AttemptOutcome.UNSENT
        self._on_attempt_failed(AttemptOutcome.UNSENT if never_sent else outcome)

    def _end_attempt(self, outcome: AttemptOutcome) -> None:
        """Records the end of the current attempt."""
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        now = self._context.now()
        if self._trace is not None:
            self._trace.ended(now, attempt.runner, outcome)
        self._context.selection.ended(now, attempt, outcome)
        self._context.counters.attempts.labels(outcome.name.lower()).inc()
        if outcome not in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.UNSENT):
            self._deliveries += 1
        if not outcome.never_ran:
            self._possible_runs += 1
        if outcome.never_ran:
            self._failed_attempts.add(FailedAttempt(attempt.runner, outcome, self._connection_number))
        self._context.waiting.runner_freed(attempt.runner)

    def _on_attempt_failed(self, outcome: AttemptOutcome) -> None:
        """Retries or gives up the request after an attempt without a usable response."""
        self._end_attempt(outcome)
        if outcome.never_ran:
            may_retry = self._attempts < self.traits.route.tries + EXTRA_ATTEMPTS
        else:
            may_retry = self._may_run_again(self._possible_runs)
        if may_retry and self.started and not outcome.never_ran:
            # The first event was already delivered, so a missed target must not get the rest shed.
            self.traits = replace(self.traits, target_at=self.traits.deadline_at)
            self._context.counters.resumed.inc()
        if may_retry:
            self._relay = None
            self.decide()
        else:
            self._give_up(self._retry_after(), outcome.name.lower(), outcome is AttemptOutcome.SILENT)

    def _may_run_again(self, runs: int) -> bool:
        """Whether the request may be sent again after `runs` attempts that may have run."""
        route = self.traits.route
        if not route.is_idempotent or runs >= route.tries:
            return False
        if not self.started:
            return True
        stream = self._stream
        return route.can_resume and stream is not None and stream.started and stream.can_resume_elsewhere

    def _retry_after(self) -> float:
        """Returns the last runner's `Retry-After` in seconds, or the default."""
        value = self._head.headers.get(b"retry-after", b"") if self._head is not None else b""
        try:
            return max(float(value), MIN_RETRY_AFTER_S)
        except ValueError:
            return DEFAULT_RETRY_AFTER_S

    # Final response

    def _on_deadline(self) -> None:
        """Gives the request up at its deadline."""
        if self._is_finished:
            return
        if self._attempt is not None:
            connection, self._connection = self._connection, None
            sent = connection is not None and connection.cancel() is not AttemptOutcome.UNSENT
            self._end_attempt((self._rejected_as or AttemptOutcome.SILENT) if sent else AttemptOutcome.UNSENT)
        self._give_up(DEFAULT_RETRY_AFTER_S, "deadline", late=True)

    def _give_up(self, retry_after: float, reason: str, late: bool = False) -> None:
        """Sends the final response. 503 guarantees that the request never ran and never will."""
        if self.started:
            self._truncate(reason)
        elif self._possible_runs:
            self._reply(504 if late else 502, reason)
        else:
            left = max(self.traits.deadline_at - self._context.now(), 0.0)
            spread = 1.0 + RETRY_AFTER_JITTER * self._context.random.random()
            seconds = min(max(retry_after, MIN_RETRY_AFTER_S) * spread, left * RETRY_AFTER_SHARE)
            self._context.counters.refused.labels(reason).inc()
            self._failed_attempts.log_refusal(reason)
            self._reply(503, reason, (("Retry-After", f"{seconds:.3f}"),))

    def _reply(self, status: int, reason: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        self._context.counters.answers.labels(str(status), "edge").inc()
        if self._trace is not None:
            self._trace.answered(self._context.now(), status, reason)
        self._exchange.reply(status, reason.encode() + b"\n", headers)
        self._finish("refused" if status == HTTPStatus.SERVICE_UNAVAILABLE else "failed")

    def _truncate(self, reason: str) -> None:
        """Ends a response that cannot be completed, so that the client detects the truncation."""
        self._context.counters.cut.inc()
        log.info("answer.truncated", reason=reason)
        self._exchange.end(complete=False)
        self._finish("truncated")

    def client_gone(self) -> None:
        """Cancels the request after its client disconnected."""
        if self._is_finished:
            return
        self._context.counters.gone.inc()
        self._cancel()
        self._finish("left")

    def abandon(self) -> None:
        """Sends the final response now, because the process is about to end."""
        if not self._is_finished:
            self._cancel()
            self._give_up(DEFAULT_RETRY_AFTER_S, "stopping")

    def _cancel(self) -> None:
        """Cancels the current attempt, if any."""
        if self._attempt is not None:
            connection, self._connection = self._connection, None
            self._end_attempt(connection.cancel() if connection is not None else AttemptOutcome.UNSENT)

    def _finish(self, end: str) -> None:
        """Releases all resources of the request; `end` is how it ended, for the trace."""
        self._is_finished = True
        self._stop_waiting()
        self._context.loop.deadlines.cancel(self._deadline_timer)
        self._deadline_timer = None  # it refers to this object
        if self._stream_timeout is not None:
            self._stream_timeout.stop()
            self._stream_timeout = None
        if self._trace is not None:
            self._trace.finished(self._context.now(), end)
        self._exchange.handler_data = self._exchange.on_drained = None  # likewise
        self._exchange.body = b""
        self._context.on_request_ended(self)
