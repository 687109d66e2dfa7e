"""Selects the runner for a request.

A holder is a runner that has the requested model or adapter loaded. A request for a model or adapter goes to
the holder with the most pending requests for the same key among those below a threshold. If there is none, it
goes to the holder with the fewest active keys, then with the fewest pending requests. A request without a
model goes to the least loaded runner. Ties are broken at random. Other modules decide which holders are
available, and which of those with free capacity are preferred.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from ..configuration.model import Configuration
from ..runner_directory.runner_record import RunnerRecord, Stage
from .affinity import Rendezvous, shared_prefix_hash
from .interface import Attempt, AttemptOutcome, Choice, Reject, RequestTraits, Send, Wait
from .missing_model import MIN_SERVICE_S, RECHECK_S, choose_without_holder, retry_after_s
from .outlier_ejection import OutlierEjection
from .pending_requests import PendingRequests
from .prefill_rate import PrefillRates
from .prefix_cache import PrefixCaches, prefix_ids
from .priority import priority
from .reported_load import ReportedLoads
from .service_terms import DEFAULT_SLOTS, ServiceTerms, all_terms
from .stale_keys import StaleKeys
from .stream_timeouts import MIN_TIMEOUT_S, LastBytes, first_byte_timeout_s

RESPONSE_OUTCOMES = (
    AttemptOutcome.DONE,
    AttemptOutcome.RUNNER_ERROR,
    AttemptOutcome.FULL,
    AttemptOutcome.NOT_HELD,
)
PRUNE_INTERVAL_S = 2.0  # interval between removals of data about runners that no longer exist


@dataclass(frozen=True, slots=True)
class SelectionSettings:
    """Parameters of the selection.

    Attributes:
        threshold_share: Share of a runner's slots that this dispatcher's pending requests of one key may use
            before other holders are preferred.
        prefill_share: Share of the time until its latency target that a request may wait for the prefill of
            other prompts.
        shared_tokens: Prefixes of at least this many shared tokens may be sent to another zone.
        shed_targets: A request is rejected if it would wait for other prompts longer than this multiple of
            its latency target and at least half of the holders' slots are in use.
        free_share: A runner without models counts as free while at most this share of its slots is in use.
    """

    threshold_share: float = 0.125
    prefill_share: float = 0.1
    shared_tokens: int = 1024
    shed_targets: float = 2.0
    free_share: float = 0.5


class Selector:
    """The implementation of `interface.Selection` for one dispatcher."""

    def __init__(self, zone: str, random: Random, settings: SelectionSettings | None = None) -> None:
        """Starts without a configuration.

        Args:
            zone: This dispatcher's zone.
            random: Breaks ties.
            settings: Parameters; None for the defaults.
        """
        self._zone = zone
        self._random = random
        self._settings = settings or SelectionSettings()
        self._terms: dict[str, ServiceTerms] = {}
        self._pending = PendingRequests()
        self._stale_keys = StaleKeys()
        self._prefix_caches = PrefixCaches()
        self._rendezvous = Rendezvous()
        self._loads = ReportedLoads()
        self._ejection = OutlierEjection()
        self._prefill_rates = PrefillRates()
        self._last_bytes = LastBytes()
        self._records: dict[str, RunnerRecord] = {}
        self._pruned_at: dict[str, float] = {}

    def configure(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        self._terms = all_terms(configuration)

    def choose(
        self,
        now: float,
        request: RequestTraits,
        runners: Mapping[str, RunnerRecord],
        tried: Sequence[str],
        expected: Mapping[str, float],
    ) -> Choice:
        """See `interface.Selection`."""
        self._prune(now, request.service, runners)
        key = request.key
        holders = [
            record
            for record in runners.values()
            if self._stale_keys.is_held(record, key) and record.stage < Stage.DRAINING
        ]
        candidates = self._candidates(holders, tried)
        if not candidates:
            return self._wait_for_load(now, request, runners, tried, expected)
        available = self._responsive_runners(now, request, self._admitted(now, candidates))
        if not available:
            return self._wait_for_backoff(now, request, candidates, expected)
        chosen = (
            self._choose_holder(now, request, available)
            if request.model
            else self._choose_without_model(now, available)
        )
        self._records[chosen.id] = chosen
        if request.model and not tried:
            wait_s = self._expected_wait_s(now, request, chosen)
            if wait_s > self._max_queueing_s(now, request) and self._are_half_full(now, holders):
                return self._reject(now, request, now + wait_s, "overload")
        return Send(chosen, priority(request.route))

    def sent(self, attempt: Attempt) -> None:
        """See `interface.Selection`."""
        request = attempt.request
        cached = self._prefix_caches.cached_tokens(attempt.runner, self._prefix_ids(request), request.parts)
        self._pending.sent(attempt, max(0, request.prompt_tokens - cached))
        self._ejection.sent(attempt.sent_at, attempt.runner)

    def first_byte_received(self, now: float, attempt: Attempt) -> None:
        """Records that the prompt is prefilled and that the runner has cached its parts."""
        request = attempt.request
        self._last_bytes.observe(now, attempt.runner)
        total_prefill_tokens = self._pending.at(attempt.runner).prefill_tokens
        prefill_tokens = self._pending.began(attempt)
        if prefill_tokens is None:
            return
        if prefill_tokens == total_prefill_tokens:
            self._prefill_rates.observe(request.service, prefill_tokens, now - attempt.sent_at)
        if request.parts:
            self._prefix_caches.add(
                attempt.runner,
                self._prefix_ids(request),
                request.parts,
                self._service(request.service).cache_tokens,
            )

    def ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Records the outcome; a cancelled attempt at an unresponsive runner counts as timed out (SILENT)."""
        if outcome is AttemptOutcome.CANCELLED and self._is_unanswered(now, attempt):
            outcome = AttemptOutcome.SILENT
        self._pending.ended(attempt)
        if outcome in RESPONSE_OUTCOMES:
            self._last_bytes.observe(now, attempt.runner)
        self._ejection.ended(now, attempt.runner, outcome)
        record = self._records.get(attempt.runner)
        if outcome is AttemptOutcome.NOT_HELD and record is not None:
            self._stale_keys.mark(record, attempt.request.key)

    def observe_load(self, now: float, runner: str, running: int, waiting: int, slots: int) -> None:
        """Records the values of an `X-Runner-Load` header."""
        self._last_bytes.observe(now, runner)
        self._loads.update(now, runner, running, waiting, slots, self._pending.at(runner).total)

    def pending(self, service: str) -> int:
        """Returns the number of this dispatcher's pending requests at runners of the service."""
        return self._pending.by_service(service)

    def _service(self, name: str) -> ServiceTerms:
        return self._terms.get(name) or ServiceTerms()

    @staticmethod
    def _prefix_ids(request: RequestTraits) -> list[int]:
        return prefix_ids(request.model, request.adapter, request.parts)

    @staticmethod
    def _candidates(holders: Sequence[RunnerRecord], tried: Sequence[str]) -> list[RunnerRecord]:
        """Returns the ready holders not tried yet, else all ready ones, else other untried ones."""
        ready = [record for record in holders if record.stage is Stage.READY]
        untried = [record for record in ready if record.id not in tried]
        return untried or ready or [record for record in holders if record.id not in tried]

    def _admitted(self, now: float, candidates: Sequence[RunnerRecord]) -> list[RunnerRecord]:
        """Returns the candidates that are neither ejected nor in backoff."""
        if self._ejection.is_empty:
            return list(candidates)
        admitted = set(self._ejection.admitted(now, [record.id for record in candidates]))
        return [
            record
            for record in candidates
            if record.id in admitted and self._ejection.backoff_until(record.id) <= now
        ]

    def _responsive_runners(
        self, now: float, request: RequestTraits, runners: list[RunnerRecord]
    ) -> list[RunnerRecord]:
        """Returns the runners that are not unresponsive, or all runners if each one is."""
        if len(runners) < 2:
            return runners
        return [record for record in runners if not self._is_unresponsive(now, request, record.id)] or runners

    def _is_unresponsive(self, now: float, request: RequestTraits, runner: str) -> bool:
        """Whether requests wait at the runner and it has sent nothing for longer than the time-out."""
        counts = self._pending.at(runner)
        waiting_since = counts.waiting_since
        if waiting_since is None or now - waiting_since <= MIN_TIMEOUT_S:
            return False
        prefill_s = counts.prefill_tokens / self._prefill_rates.rate(request.service)
        return now - self._last_bytes.silent_since(runner, waiting_since) > first_byte_timeout_s(
            request, prefill_s
        )

    def _is_unanswered(self, now: float, attempt: Attempt) -> bool:
        """Whether a cancelled attempt got no byte, and its runner has sent nothing else since the send."""
        counts = self._pending.at(attempt.runner)
        if (attempt.request.number, attempt.number) not in counts.awaiting_prefill:
            return False
        return self._last_bytes.silent_since(
            attempt.runner, attempt.sent_at
        ) == attempt.sent_at and self._is_unresponsive(now, attempt.request, attempt.runner)

    def _choose_holder(
        self, now: float, request: RequestTraits, holders: Sequence[RunnerRecord]
    ) -> RunnerRecord:
        """Selects one of the available holders of the requested key."""
        if len(holders) == 1:
            return holders[0]
        warm = [record for record in holders if record.warm_up_left_ms <= 0.0] or list(holders)
        with_capacity = self._with_capacity(now, request, warm)
        if not with_capacity:
            return self._least_busy(holders)
        preferred_zone = self._prefer_own_zone(request, with_capacity)
        return self._busiest(request, self._prefer_cached_prefix(request, preferred_zone))

    def _with_capacity(
        self, now: float, request: RequestTraits, holders: Sequence[RunnerRecord]
    ) -> list[RunnerRecord]:
        """Returns the holders that are below the threshold for this key and can prefill the prompt soon."""
        key, share = request.key, self._settings.threshold_share
        max_prefill_s = self._settings.prefill_share * (request.target_at - request.arrived_at)
        max_prefill_tokens = max_prefill_s * self._prefill_rates.rate(request.service)
        result = []
        for record in holders:
            counts = self._pending.at(record.id)
            slots = self._slots(record)
            if counts.prefill_tokens > max_prefill_tokens or counts.by_key.get(key, 0) >= max(
                1.0, share * slots
            ):
                continue
            if self._loads.requests(now, record.id, counts.total) < slots:
                result.append(record)
        return result

    def _least_busy(self, holders: Sequence[RunnerRecord]) -> RunnerRecord:
        """Returns the holder with the fewest active keys, then with the fewest pending requests."""
        return min(
            holders,
            key=lambda record: (
                self._pending.at(record.id).active_keys,
                self._pending.at(record.id).total,
                self._random.random(),
            ),
        )

    def _prefer_own_zone(
        self, request: RequestTraits, holders: Sequence[RunnerRecord]
    ) -> Sequence[RunnerRecord]:
        """Returns the holders in this zone; all holders if there are none or if the shared prefix is long.

        For a long shared prefix, one cached copy for all zones saves more than staying in the zone.
        """
        if sum(part.tokens for part in request.parts[:-1]) >= self._settings.shared_tokens:
            return holders
        return [record for record in holders if record.zone == self._zone] or holders

    def _prefer_cached_prefix(
        self, request: RequestTraits, holders: Sequence[RunnerRecord]
    ) -> Sequence[RunnerRecord]:
        """Returns the holders with the most cached tokens, if these cover the shared parts of the prompt.

        Otherwise returns the holder that all dispatchers prefer for the shared prefix.
        """
        if not request.parts or len(holders) == 1:
            return holders
        prefixes = self._prefix_ids(request)
        shared = sum(part.tokens for part in request.parts[:-1])
        cached = [self._prefix_caches.cached_tokens(record.id, prefixes, request.parts) for record in holders]
        if max(cached) >= max(1, shared):
            return [record for record, tokens in zip(holders, cached, strict=True) if tokens == max(cached)]
        best = self._rendezvous.preferred(shared_prefix_hash(request), [record.id for record in holders])
        return [record for record in holders if record.id == best]

    def _expected_wait_s(self, now: float, request: RequestTraits, record: RunnerRecord) -> float:
        """Estimates how long the runner needs to prefill the prompts that are ahead of the request.

        Prompts of other dispatchers are assumed to be as long as this dispatcher's, on average.
        """
        counts = self._pending.at(record.id)
        others = self._loads.requests(now, record.id, counts.total) - counts.total
        tokens_ahead = counts.prefill_tokens + others * self._pending.mean_prefill_tokens(request.service)
        return tokens_ahead / self._prefill_rates.rate(request.service)

    def _max_queueing_s(self, now: float, request: RequestTraits) -> float:
        """Returns how long the request may queue; if it waited longer, it would only delay later requests."""
        target_s = request.target_at - request.arrived_at
        return min(self._settings.shed_targets * target_s, request.deadline_at - now)

    def _are_half_full(self, now: float, holders: Sequence[RunnerRecord]) -> bool:
        """Whether at least half of the holders' slots are in use; requests are shed only then."""
        requests = sum(
            self._loads.requests(now, record.id, self._pending.at(record.id).total) for record in holders
        )
        return requests >= 0.5 * sum(self._slots(record) for record in holders)

    def _busiest(self, request: RequestTraits, holders: Sequence[RunnerRecord]) -> RunnerRecord:
        """Returns the holder with the most pending requests for the key."""
        return max(
            holders,
            key=lambda record: (
                self._pending.at(record.id).by_key.get(request.key, 0),
                self._random.random(),
            ),
        )

    def _choose_without_model(self, now: float, runners: Sequence[RunnerRecord]) -> RunnerRecord:
        """Returns the least loaded runner; one in this zone as long as its load is at most `free_share`."""

        def rank(record: RunnerRecord) -> tuple[bool, float, bool, float, float]:
            requests = self._loads.requests(now, record.id, self._pending.at(record.id).total)
            load = requests / self._slots(record)
            excess_load = load if load > self._settings.free_share else 0.0
            return (
                record.warm_up_left_ms > 0.0,
                excess_load,
                record.zone != self._zone,
                load,
                self._random.random(),
            )

        return min(runners, key=rank)

    def _slots(self, record: RunnerRecord) -> int:
        """Returns the number of requests that the runner handles concurrently."""
        report = self._loads.newest(record.id)
        return (
            (report.slots if report else record.slots) or self._service(record.service).slots or DEFAULT_SLOTS
        )

    def _wait_for_load(
        self,
        now: float,
        request: RequestTraits,
        runners: Mapping[str, RunnerRecord],
        tried: Sequence[str],
        expected: Mapping[str, float],
    ) -> Choice:
        """Decides on a request whose model or adapter no available runner has loaded."""
        is_model_held = bool(request.adapter) and any(
            record.stage < Stage.DRAINING and record.holds(request.model, "") for record in runners.values()
        )
        return choose_without_holder(
            now,
            request,
            expected,
            self._service(request.service),
            is_model_held=is_model_held,
            is_first_send=not tried,
        )

    def _wait_for_backoff(
        self,
        now: float,
        request: RequestTraits,
        candidates: Sequence[RunnerRecord],
        expected: Mapping[str, float],
    ) -> Choice:
        """Waits until a holder leaves backoff or an ordered load completes; rejects if that is too late."""
        admitted = self._ejection.admitted(now, [record.id for record in candidates])
        available_at = min(max(now, self._ejection.backoff_until(id)) for id in admitted)
        if expected:
            available_at = min(available_at, max(now, min(expected.values())))
        if available_at + MIN_SERVICE_S < request.deadline_at:
            return Wait(min(max(available_at, now + 0.01), now + RECHECK_S), "holders_full")
        return self._reject(now, request, available_at, "holders_full")

    @staticmethod
    def _reject(now: float, request: RequestTraits, until: float, reason: str) -> Reject:
        """Returns a rejection that asks the client to retry at `until`."""
        return Reject(retry_after_s(now, request, until), reason)

    def _prune(self, now: float, service: str, runners: Mapping[str, RunnerRecord]) -> None:
        """Removes data about runners of the service that no longer exist."""
        if now - self._pruned_at.get(service, now - PRUNE_INTERVAL_S) < PRUNE_INTERVAL_S:
            return
        self._pruned_at[service] = now
        gone = [
            id
            for id, record in self._records.items()
            if record.service == service and (id not in runners or runners[id].stage is Stage.GONE)
        ]
        for id in gone:
            del self._records[id]
            for part in (
                self._stale_keys,
                self._prefix_caches,
                self._rendezvous,
                self._loads,
                self._ejection,
                self._last_bytes,
            ):
                part.forget(id)
