"""Which runner a request goes to.

The ordinary path: a request for a model or adapter goes to the holder with the most pending of that key that
is still under a threshold; if none is, to the holder with the fewest active keys, then the least pending.
A request without a model goes to the least loaded runner. Ties are broken at random. The terms around it,
each in a module of its own, say which holders may be asked at all and which are better among those with room.
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
from .service_terms import UNKNOWN_SLOTS, ServiceTerms, all_terms
from .stale_keys import StaleKeys
from .stream_timeouts import MIN_TIMEOUT_S, LastBytes, first_byte_timeout_s

ANSWERED = (AttemptOutcome.DONE, AttemptOutcome.RUNNER_ERROR, AttemptOutcome.FULL, AttemptOutcome.NOT_HELD)
PRUNE_S = 2.0  # how often runners that are gone are forgotten


@dataclass(frozen=True, slots=True)
class SelectionSettings:
    """Parameters of the selection.

    Attributes:
        threshold_share: Share of a runner's slots that this dispatcher's pending requests of one key may take
            before other holders are preferred.
        prefill_share: Share of the time until its latency target that a request may wait behind prompts to
            be read.
        shared_tokens: A shared prefix of at least this many tokens is worth leaving the zone for.
        shed_targets: A request that would wait longer than so many times its latency target behind other
            prompts is shed while half of the holders' slots are taken.
        free_share: Share of its slots up to which a runner without models counts as free.
    """

    threshold_share: float = 0.125
    prefill_share: float = 0.1
    shared_tokens: int = 1024
    shed_targets: float = 2.0
    free_share: float = 0.5


class Selector:
    """The implementation of `interface.Selection` for one dispatcher."""

    def __init__(self, zone: str, random: Random, settings: SelectionSettings | None = None) -> None:
        """Begins without a configuration.

        Args:
            zone: This dispatcher's zone.
            random: Breaks ties.
            settings: Parameters, if not the default ones.
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
        """A configuration is in force."""
        self._terms = all_terms(configuration)

    def choose(
        self,
        now: float,
        request: RequestTraits,
        runners: Mapping[str, RunnerRecord],
        tried: Sequence[str],
        expected: Mapping[str, float],
    ) -> Choice:
        """Where the request goes; see `interface.Selection`."""
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
        available = self._responsive(now, request, self._admitted(now, candidates))
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
        """The attempt is on its way; it counts as pending."""
        request = attempt.request
        cached = self._prefix_caches.cached_tokens(attempt.runner, self._prefix_ids(request), request.parts)
        self._pending.sent(attempt, max(0, request.prompt_tokens - cached))
        self._ejection.sent(attempt.sent_at, attempt.runner)

    def first_byte_received(self, now: float, attempt: Attempt) -> None:
        """The answer has begun: the prompt is read, and its parts are cached there."""
        request = attempt.request
        self._last_bytes.observe(now, attempt.runner)
        before = self._pending.at(attempt.runner).unread_tokens
        unread_tokens = self._pending.began(attempt)
        if unread_tokens is None:
            return
        if unread_tokens == before:
            self._prefill_rates.observe(request.service, unread_tokens, now - attempt.sent_at)
        if request.parts:
            self._prefix_caches.add(
                attempt.runner,
                self._prefix_ids(request),
                request.parts,
                self._service(request.service).cache_tokens,
            )

    def ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """The attempt is over; it is pending no more."""
        if outcome is AttemptOutcome.CANCELLED and self._unanswered(now, attempt):
            outcome = AttemptOutcome.SILENT
        self._pending.ended(attempt)
        if outcome in ANSWERED:
            self._last_bytes.observe(now, attempt.runner)
        self._ejection.ended(now, attempt.runner, outcome)
        record = self._records.get(attempt.runner)
        if outcome is AttemptOutcome.NOT_HELD and record is not None:
            self._stale_keys.mark(record, attempt.request.key)

    def observe_load(self, now: float, runner: str, running: int, waiting: int, slots: int) -> None:
        """An `X-Runner-Load` header has come."""
        self._last_bytes.observe(now, runner)
        self._loads.update(now, runner, running, waiting, slots, self._pending.at(runner).total)

    def pending(self, service: str) -> int:
        """Requests of this dispatcher at runners of the service."""
        return self._pending.by_service(service)

    def _service(self, name: str) -> ServiceTerms:
        return self._terms.get(name) or ServiceTerms()

    @staticmethod
    def _prefix_ids(request: RequestTraits) -> list[int]:
        return prefix_ids(request.model, request.adapter, request.parts)

    @staticmethod
    def _candidates(holders: Sequence[RunnerRecord], tried: Sequence[str]) -> list[RunnerRecord]:
        """The holders to choose from: those ready and not tried, else those ready, else silent ones."""
        ready = [record for record in holders if record.stage is Stage.READY]
        fresh = [record for record in ready if record.id not in tried]
        return fresh or ready or [record for record in holders if record.id not in tried]

    def _admitted(self, now: float, candidates: Sequence[RunnerRecord]) -> list[RunnerRecord]:
        """The candidates that are neither ejected nor in backoff."""
        if self._ejection.is_clean:
            return list(candidates)
        admitted = set(self._ejection.admitted(now, [record.id for record in candidates]))
        return [
            record
            for record in candidates
            if record.id in admitted and self._ejection.backoff_until(record.id) <= now
        ]

    def _responsive(
        self, now: float, request: RequestTraits, runners: list[RunnerRecord]
    ) -> list[RunnerRecord]:
        """Those that are not unresponsive; all if each one is."""
        if len(runners) < 2:
            return runners
        return [record for record in runners if not self._unresponsive(now, request, record.id)] or runners

    def _unresponsive(self, now: float, request: RequestTraits, runner: str) -> bool:
        """Whether the runner has sent nothing for longer than the time-out while requests wait there."""
        counts = self._pending.at(runner)
        waiting_since = counts.waiting_since
        if waiting_since is None or now - waiting_since <= MIN_TIMEOUT_S:
            return False
        prefill_s = counts.unread_tokens / self._prefill_rates.rate(request.service)
        return now - self._last_bytes.silent_since(runner, waiting_since) > first_byte_timeout_s(
            request, prefill_s
        )

    def _unanswered(self, now: float, attempt: Attempt) -> bool:
        """Whether a cancelled attempt got no byte from a runner that sent nothing else either."""
        counts = self._pending.at(attempt.runner)
        if (attempt.request.number, attempt.number) not in counts.unread:
            return False
        return self._last_bytes.silent_since(
            attempt.runner, attempt.sent_at
        ) == attempt.sent_at and self._unresponsive(now, attempt.request, attempt.runner)

    def _choose_holder(
        self, now: float, request: RequestTraits, holders: Sequence[RunnerRecord]
    ) -> RunnerRecord:
        """The ordinary path, among the holders that the terms around it prefer."""
        if len(holders) == 1:
            return holders[0]
        warm = [record for record in holders if record.warm_up_left_ms <= 0.0] or list(holders)
        with_room = self._with_room(now, request, warm)
        if not with_room:
            return self._least_busy(holders)
        near = self._prefer_own_zone(request, with_room)
        return self._busiest(request, self._prefer_cached_prefix(request, near))

    def _with_room(
        self, now: float, request: RequestTraits, holders: Sequence[RunnerRecord]
    ) -> list[RunnerRecord]:
        """The holders under the threshold for this key that can soon begin to read the prompt."""
        key, share = request.key, self._settings.threshold_share
        max_prefill_s = self._settings.prefill_share * (request.target_at - request.arrived_at)
        max_unread_tokens = max_prefill_s * self._prefill_rates.rate(request.service)
        result = []
        for record in holders:
            counts = self._pending.at(record.id)
            slots = self._slots(record)
            if counts.unread_tokens > max_unread_tokens or counts.by_key.get(key, 0) >= max(
                1.0, share * slots
            ):
                continue
            if self._loads.requests(now, record.id, counts.total) < slots:
                result.append(record)
        return result

    def _least_busy(self, holders: Sequence[RunnerRecord]) -> RunnerRecord:
        """The holder with the fewest active keys, then the least pending."""
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
        """Those in this zone, unless the prompt shares so much that one runner for all zones pays."""
        if sum(part.tokens for part in request.parts[:-1]) >= self._settings.shared_tokens:
            return holders
        return [record for record in holders if record.zone == self._zone] or holders

    def _prefer_cached_prefix(
        self, request: RequestTraits, holders: Sequence[RunnerRecord]
    ) -> Sequence[RunnerRecord]:
        """Those with the most of the prompt cached; where none has any, the one all dispatchers prefer."""
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
        """How long the prompts before it will be read at the runner. Others' are taken to be like our own."""
        counts = self._pending.at(record.id)
        others = self._loads.requests(now, record.id, counts.total) - counts.total
        unread = counts.unread_tokens + others * self._pending.mean_unread(request.service)
        return unread / self._prefill_rates.rate(request.service)

    def _max_queueing_s(self, now: float, request: RequestTraits) -> float:
        """The longest that it may wait before its answer begins: beyond it, it only delays those behind."""
        target_s = request.target_at - request.arrived_at
        return min(self._settings.shed_targets * target_s, request.deadline_at - now)

    def _are_half_full(self, now: float, holders: Sequence[RunnerRecord]) -> bool:
        """Whether half of the holders' slots are taken: to shed requests before that costs too much."""
        requests = sum(
            self._loads.requests(now, record.id, self._pending.at(record.id).total) for record in holders
        )
        return requests >= 0.5 * sum(self._slots(record) for record in holders)

    def _busiest(self, request: RequestTraits, holders: Sequence[RunnerRecord]) -> RunnerRecord:
        """The holder with the most pending of the key."""
        return max(
            holders,
            key=lambda record: (
                self._pending.at(record.id).by_key.get(request.key, 0),
                self._random.random(),
            ),
        )

    def _choose_without_model(self, now: float, runners: Sequence[RunnerRecord]) -> RunnerRecord:
        """The least loaded runner; one in this zone while it is free enough."""

        def rank(record: RunnerRecord) -> tuple[bool, float, bool, float, float]:
            requests = self._loads.requests(now, record.id, self._pending.at(record.id).total)
            load = requests / self._slots(record)
            crowded = load if load > self._settings.free_share else 0.0
            return (
                record.warm_up_left_ms > 0.0,
                crowded,
                record.zone != self._zone,
                load,
                self._random.random(),
            )

        return min(runners, key=rank)

    def _slots(self, record: RunnerRecord) -> int:
        """Requests that the runner handles at once."""
        report = self._loads.newest(record.id)
        return (
            (report.slots if report else record.slots) or self._service(record.service).slots or UNKNOWN_SLOTS
        )

    def _wait_for_load(
        self,
        now: float,
        request: RequestTraits,
        runners: Mapping[str, RunnerRecord],
        tried: Sequence[str],
        expected: Mapping[str, float],
    ) -> Choice:
        """No runner holds the key."""
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
        """All holders are in backoff: they were full, or no connection came up."""
        admitted = self._ejection.admitted(now, [record.id for record in candidates])
        opening = min(max(now, self._ejection.backoff_until(id)) for id in admitted)
        if expected:
            opening = min(opening, max(now, min(expected.values())))
        if opening + MIN_SERVICE_S < request.deadline_at:
            return Wait(min(max(opening, now + 0.01), now + RECHECK_S), "holders_full")
        return self._reject(now, request, opening, "holders_full")

    @staticmethod
    def _reject(now: float, request: RequestTraits, until: float, reason: str) -> Reject:
        """Rejects with the time after which it may be worth asking again."""
        return Reject(retry_after_s(now, request, until), reason)

    def _prune(self, now: float, service: str, runners: Mapping[str, RunnerRecord]) -> None:
        """Drops what is known of runners of the service that are gone."""
        if now - self._pruned_at.get(service, now - PRUNE_S) < PRUNE_S:
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
