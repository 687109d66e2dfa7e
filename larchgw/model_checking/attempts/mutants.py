"""Mutants of the edge's attempts: each makes a request count as never run that may run, or mixes answers."""

from __future__ import annotations

from collections.abc import Callable, Collection

from ...edge import request
from ...edge.answer_parser import AnswerHead, AnswerParser
from ...edge.answers import Verdict
from ...edge.request import ProxiedRequest
from ...edge.runner_connection import RunnerConnection
from ...edge.runner_pool import RunnerPool
from ...routing.interface import AttemptOutcome
from ...runner_directory.runner_record import RunnerRecord
from ..mutants import Mutant, Patch, always
from .run import play

Acquire = Callable[[RunnerPool, RunnerRecord, bool, Collection[RunnerConnection]], RunnerConnection | None]


def _reuses_connections_that_carried_the_request(original: Acquire) -> Acquire:
    def acquire(
        self: RunnerPool, runner: RunnerRecord, idempotent: bool, used: Collection[RunnerConnection] = ()
    ) -> RunnerConnection | None:
        return original(self, runner, idempotent, ())

    return acquire


def _counts_as_sent_only_what_is_sent_whole(
    original: Callable[[RunnerConnection], bool],
) -> Callable[[RunnerConnection], bool]:
    def is_sent(self: RunnerConnection) -> bool:
        return original(self) and not self.connection.unsent  # type: ignore[union-attr]

    return is_sent


def _cancels_as_unsent(
    original: Callable[[RunnerConnection], AttemptOutcome],
) -> Callable[[RunnerConnection], AttemptOutcome]:
    def cancel(self: RunnerConnection) -> AttemptOutcome:
        original(self)
        return AttemptOutcome.UNSENT

    return cancel


def _withdraws_what_is_sent(
    original: Callable[[RunnerConnection], bool],
) -> Callable[[RunnerConnection], bool]:
    def withdraw_unsent(self: RunnerConnection) -> bool:
        if self._carried is None:
            return False
        self._fail(AttemptOutcome.UNSENT)
        return True

    return withdraw_unsent


def _accepts_answers_to_other_requests(
    original: Callable[[AnswerParser], None],
) -> Callable[[AnswerParser], None]:
    def on_headers_complete(self: AnswerParser) -> None:
        self._attempt_id = self.head.headers.get(b"x-attempt-id", b"")
        original(self)

    return on_headers_complete


def _trusts_rejections_without_not_run(
    original: Callable[[AnswerHead], Verdict],
) -> Callable[[AnswerHead], Verdict]:
    def classify(head: AnswerHead) -> Verdict:
        verdict = original(head)
        return Verdict.FULL if verdict is Verdict.MAY_HAVE_RUN else verdict

    return classify


def _promises_after_silence(
    original: Callable[[ProxiedRequest, AttemptOutcome], None],
) -> Callable[[ProxiedRequest, AttemptOutcome], None]:
    def end_attempt(self: ProxiedRequest, outcome: AttemptOutcome) -> None:
        original(self, outcome)
        if outcome is AttemptOutcome.SILENT:
            self._possible_runs -= 1

    return end_attempt


def _retries_what_may_have_run(
    original: Callable[[ProxiedRequest, int], bool],
) -> Callable[[ProxiedRequest, int], bool]:
    def may_run_again(self: ProxiedRequest, runs: int) -> bool:
        return runs < 2 or original(self, runs)

    return may_run_again


MUTANTS = (
    Mutant(
        "a connection carries the same request again",
        play,
        40,
        (Patch(RunnerPool, "acquire", _reuses_connections_that_carried_the_request),),
    ),
    Mutant(
        "a request that a runner has got in part counts as not sent",
        play,
        12,
        (Patch(RunnerConnection, "_is_sent", _counts_as_sent_only_what_is_sent_whole),),
    ),
    Mutant(
        "a cancelled attempt counts as not sent",
        play,
        2,
        (Patch(RunnerConnection, "cancel", _cancels_as_unsent),),
    ),
    Mutant(
        "a connection that fails before an answer counts as not sent",
        play,
        5,
        (Patch(RunnerConnection, "_loss_outcome", always(AttemptOutcome.CONNECT_FAILED)),),
    ),
    Mutant(
        "a request that was sent is withdrawn from a draining runner",
        play,
        2,
        (Patch(RunnerConnection, "withdraw_unsent", _withdraws_what_is_sent),),
    ),
    Mutant(
        "an answer to another request is taken",
        play,
        1,
        (Patch(AnswerParser, "on_headers_complete", _accepts_answers_to_other_requests),),
    ),
    Mutant(
        "a 503 without X-Not-Run counts as a rejection",
        play,
        3,
        (Patch(request, "classify", _trusts_rejections_without_not_run),),
    ),
    Mutant(
        "a silent runner counts as one that did not run the request",
        play,
        8,
        (Patch(ProxiedRequest, "_end_attempt", _promises_after_silence),),
    ),
    Mutant(
        "a request that may run once is sent again after it may have run",
        play,
        4,
        (Patch(ProxiedRequest, "_may_run_again", _retries_what_may_have_run),),
    ),
)
