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
from .affinity import Rendezvous, shared_prefix
from .interface import Attempt, AttemptOutcome, Choice, Refuse, RequestTraits, Send, Wait
from .outlier_ejection import Ejection
from .pending_requests import PendingTable
from .prefill_rate import PrefillPace
from .prefix_cache import KeptParts, chains
from .reported_load import LoadTable
from .service_terms import UNKNOWN_SLOTS, ServiceTerms, all_terms
from .stale_keys import KeyMarks
from .stream_timeouts import LEAST_S as LEAST_SILENCE_S
from .stream_timeouts import Silence, limit_s

LEAST_PRIORITY = 9  # of the Priority header; 0 is the most urgent
ASK_AGAIN_S = 0.2  # a waiting request asks at least this often, should a change go unnoticed
LEAST_SERVICE_S = 0.03  # no answer comes sooner than this
LEAST_RETRY_S = 0.05  # shortest Retry-After
RETRY_SHARE = 1.0 / 3.0  # of the time left: clients honour Retry-After up to this
HOLD_SHARE = 0.45  # of a request's time that it is held with nothing in sight; more than half is dear
OVERDUE_S = 2.5  # after its expected end a load is no longer waited for: two check-ins would have told of it
HEARD = (AttemptOutcome.DONE, AttemptOutcome.RUNNER_ERROR, AttemptOutcome.FULL, AttemptOutcome.NOT_HELD)
PRUNE_S = 2.0  # how often runners that are gone are forgotten


@dataclass(frozen=True, slots=True)
class SelectionSettings:
    """What the operator of a dispatcher may set.

    `threshold_share`: of a runner's slots that this dispatcher's pending requests of one key may take before
    others are preferred. `prefill_share`: of the time until its aim that a request may wait behind prompts to
    be read. `shared_tokens`: a shared prefix of at least this many tokens is worth leaving the zone for.
    `shed_aims`: a request that would wait for more than so many times its aim behind other prompts is refused
    while half of the holders' slots are taken. `free_share`: of its slots up to which a runner without models
    counts as free.
    """

    threshold_share: float = 0.125
    prefill_share: float = 0.1
    shared_tokens: int = 1024
    shed_aims: float = 2.0
    free_share: float = 0.5


class Selector:
    """The implementation of `interface.Selection` for one dispatcher."""

    def __init__(self, zone: str, random: Random, settings: SelectionSettings | None = None) -> None:
        self._zone = zone
        self._random = random
        self._settings = settings or SelectionSettings()
        self._terms: dict[str, ServiceTerms] = {}
        self._pending = PendingTable()
        self._marks = KeyMarks()
        self._kept = KeptParts()
        self._rendezvous = Rendezvous()
        self._load = LoadTable()
        self._ejection = Ejection()
        self._pace = PrefillPace()
        self._silence = Silence()
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
            if self._marks.holds(record, key) and record.stage < Stage.DRAINING
        ]
        pool = self._pool(holders, tried)
        if not pool:
            return self._without_holder(now, request, expected)
        open_ones = self._responsive(now, request, self._open(now, pool))
        if not open_ones:
            return self._while_closed(now, request, pool, expected)
        chosen = self._keyed(now, request, open_ones) if request.model else self._unkeyed(now, open_ones)
        self._records[chosen.id] = chosen
        if request.model and not tried:
            wait_s = self._expected_wait_s(now, request, chosen)
            if wait_s > self._patience_s(now, request) and self._half_taken(now, holders):
                return self._refuse(now, request, now + wait_s, "overload")
        return Send(chosen, min(LEAST_PRIORITY, max(0, request.route.rank)))

    def sent(self, attempt: Attempt) -> None:
        """The attempt is on its way; it counts as pending."""
        request = attempt.request
        kept = self._kept.kept(attempt.runner, self._chains(request), request.parts)
        self._pending.sent(attempt, max(0, request.prompt_tokens - kept))
        self._ejection.sent(attempt.at, attempt.runner)

    def head(self, now: float, attempt: Attempt) -> None:
        """The answer has begun: the prompt is read, and its parts are kept there."""
        request = attempt.request
        self._silence.heard(now, attempt.runner)
        before = self._pending.at(attempt.runner).unread_tokens
        own = self._pending.began(attempt)
        if own is None:
            return
        if own == before:
            self._pace.seen(request.service, own, now - attempt.at)
        if request.parts:
            self._kept.read(
                attempt.runner,
                self._chains(request),
                request.parts,
                self._service(request.service).cache_tokens,
            )

    def ended(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """It is over; it is pending no more."""
        if outcome is AttemptOutcome.CANCELLED and self._unanswered(now, attempt):
            outcome = AttemptOutcome.SILENT
        self._pending.ended(attempt)
        if outcome in HEARD:
            self._silence.heard(now, attempt.runner)
        self._ejection.ended(now, attempt.runner, outcome)
        record = self._records.get(attempt.runner)
        if outcome is AttemptOutcome.NOT_HELD and record is not None:
            self._marks.unmark(record, attempt.request.key)

    def told_load(self, now: float, runner: str, running: int, waiting: int, slots: int) -> None:
        """From an X-Runner-Load header."""
        self._silence.heard(now, runner)
        self._load.told(now, runner, running, waiting, slots, self._pending.at(runner).total)

    def pending(self, service: str) -> int:
        """Requests of this dispatcher at runners of the service."""
        return self._pending.by_service(service)

    def _service(self, name: str) -> ServiceTerms:
        return self._terms.get(name) or ServiceTerms()

    @staticmethod
    def _chains(request: RequestTraits) -> list[int]:
        return chains(request.model, request.adapter, request.parts)

    @staticmethod
    def _pool(holders: Sequence[RunnerRecord], tried: Sequence[str]) -> list[RunnerRecord]:
        """The holders to look at: those ready and not tried, else those ready, else silent ones."""
        ready = [record for record in holders if record.stage is Stage.READY]
        fresh = [record for record in ready if record.id not in tried]
        return fresh or ready or [record for record in holders if record.id not in tried]

    def _open(self, now: float, pool: Sequence[RunnerRecord]) -> list[RunnerRecord]:
        """Those of the pool that are neither ejected nor left alone for a moment."""
        if self._ejection.untroubled:
            return list(pool)
        admitted = set(self._ejection.admitted(now, [record.id for record in pool]))
        return [
            record
            for record in pool
            if record.id in admitted and self._ejection.backoff_until(record.id) <= now
        ]

    def _responsive(
        self, now: float, request: RequestTraits, runners: list[RunnerRecord]
    ) -> list[RunnerRecord]:
        """Those that do not leave requests unanswered; all if none does."""
        if len(runners) < 2:
            return runners
        return [record for record in runners if not self._unresponsive(now, request, record.id)] or runners

    def _unresponsive(self, now: float, request: RequestTraits, runner: str) -> bool:
        """Whether nothing comes of the runner though requests wait there."""
        counts = self._pending.at(runner)
        waiting_since = counts.waiting_since
        if waiting_since is None or now - waiting_since <= LEAST_SILENCE_S:
            return False
        prefill_s = counts.unread_tokens / self._pace.rate(request.service)
        return now - self._silence.since(runner, waiting_since) > limit_s(request, prefill_s)

    def _unanswered(self, now: float, attempt: Attempt) -> bool:
        """Whether a cancelled attempt was left without a byte by a runner that said nothing else either."""
        counts = self._pending.at(attempt.runner)
        if (attempt.request.number, attempt.number) not in counts.unread:
            return False
        return self._silence.since(attempt.runner, attempt.at) == attempt.at and self._unresponsive(
            now, attempt.request, attempt.runner
        )

    def _keyed(self, now: float, request: RequestTraits, holders: Sequence[RunnerRecord]) -> RunnerRecord:
        """The design's path, among holders that are better by the terms."""
        if len(holders) == 1:
            return holders[0]
        warm = [record for record in holders if record.cold_left_ms <= 0.0] or list(holders)
        with_room = self._with_room(now, request, warm)
        if not with_room:
            return self._spill(holders)
        near = self._near(request, with_room)
        return self._busiest(request, self._most_kept(request, near))

    def _with_room(
        self, now: float, request: RequestTraits, holders: Sequence[RunnerRecord]
    ) -> list[RunnerRecord]:
        """The holders under the threshold for this key that can soon begin to read the prompt."""
        key, share = request.key, self._settings.threshold_share
        patience = self._settings.prefill_share * (request.target_at - request.arrived_at)
        most_unread = patience * self._pace.rate(request.service)
        result = []
        for record in holders:
            counts = self._pending.at(record.id)
            slots = self._slots(record)
            if counts.unread_tokens > most_unread or counts.by_key.get(key, 0) >= max(1.0, share * slots):
                continue
            if self._load.requests(now, record.id, counts.total) < slots:
                result.append(record)
        return result

    def _spill(self, holders: Sequence[RunnerRecord]) -> RunnerRecord:
        """The holder with the fewest active keys, then the least pending."""
        return min(
            holders,
            key=lambda record: (
                self._pending.at(record.id).active_keys,
                self._pending.at(record.id).total,
                self._random.random(),
            ),
        )

    def _near(self, request: RequestTraits, holders: Sequence[RunnerRecord]) -> Sequence[RunnerRecord]:
        """Those in the own zone, unless the prompt shares so much that one runner for all zones pays."""
        if sum(part.tokens for part in request.parts[:-1]) >= self._settings.shared_tokens:
            return holders
        return [record for record in holders if record.zone == self._zone] or holders

    def _most_kept(self, request: RequestTraits, holders: Sequence[RunnerRecord]) -> Sequence[RunnerRecord]:
        """Those that keep the most of the prompt; where none keeps any, the one all dispatchers prefer."""
        if not request.parts or len(holders) == 1:
            return holders
        prefixes = self._chains(request)
        shared = sum(part.tokens for part in request.parts[:-1])
        kept = [self._kept.kept(record.id, prefixes, request.parts) for record in holders]
        if max(kept) >= max(1, shared):
            return [record for record, tokens in zip(holders, kept, strict=True) if tokens == max(kept)]
        best = self._rendezvous.preferred(shared_prefix(request), [record.id for record in holders])
        return [record for record in holders if record.id == best]

    def _expected_wait_s(self, now: float, request: RequestTraits, record: RunnerRecord) -> float:
        """How long the prompts before it will be read at the runner. Others' are taken to be like our own."""
        counts = self._pending.at(record.id)
        others = self._load.requests(now, record.id, counts.total) - counts.total
        unread = counts.unread_tokens + others * self._pending.mean_unread(request.service)
        return unread / self._pace.rate(request.service)

    def _patience_s(self, now: float, request: RequestTraits) -> float:
        """How long it may wait before its answer begins, when those behind it would be late for it."""
        aim = request.target_at - request.arrived_at
        return min(self._settings.shed_aims * aim, request.deadline_at - now)

    def _half_taken(self, now: float, holders: Sequence[RunnerRecord]) -> bool:
        """Whether half of the holders' slots are taken: a refusal before that is dear."""
        taken = sum(
            self._load.requests(now, record.id, self._pending.at(record.id).total) for record in holders
        )
        return taken >= 0.5 * sum(self._slots(record) for record in holders)

    def _busiest(self, request: RequestTraits, holders: Sequence[RunnerRecord]) -> RunnerRecord:
        """The holder with the most pending of the key."""
        return max(
            holders,
            key=lambda record: (
                self._pending.at(record.id).by_key.get(request.key, 0),
                self._random.random(),
            ),
        )

    def _unkeyed(self, now: float, runners: Sequence[RunnerRecord]) -> RunnerRecord:
        """The least loaded runner; one in the own zone while it is free enough."""

        def rank(record: RunnerRecord) -> tuple[bool, float, bool, float, float]:
            requests = self._load.requests(now, record.id, self._pending.at(record.id).total)
            load = requests / self._slots(record)
            crowded = load if load > self._settings.free_share else 0.0
            return (
                record.cold_left_ms > 0.0,
                crowded,
                record.zone != self._zone,
                load,
                self._random.random(),
            )

        return min(runners, key=rank)

    def _slots(self, record: RunnerRecord) -> int:
        """Requests that the runner handles at once."""
        told = self._load.newest(record.id)
        return (told.slots if told else record.slots) or self._service(record.service).slots or UNKNOWN_SLOTS

    def _without_holder(self, now: float, request: RequestTraits, expected: Mapping[str, float]) -> Choice:
        """No runner holds the key. With a load under way it waits for that, if it ends in time."""
        held_until = request.arrived_at + HOLD_SHARE * (request.deadline_at - request.arrived_at)
        last_start = request.deadline_at - LEAST_SERVICE_S
        awaited = [at for at in expected.values() if at > now - OVERDUE_S]
        if awaited:
            done = min(awaited)
            if done < last_start:
                return Wait(min(max(done, now + LEAST_SERVICE_S), now + ASK_AGAIN_S), "loading")
            return self._refuse(now, request, done, "loads_too_late")
        soonest = now + self._service(request.service).least_load_s(request.model)
        if now < held_until and soonest < last_start:
            return Wait(min(held_until, now + ASK_AGAIN_S), "no_holder")
        return self._refuse(now, request, soonest, "no_holder")

    def _while_closed(
        self, now: float, request: RequestTraits, pool: Sequence[RunnerRecord], expected: Mapping[str, float]
    ) -> Choice:
        """All holders are left alone for a moment: they were full, or not to be reached."""
        admitted = self._ejection.admitted(now, [record.id for record in pool])
        opening = min(max(now, self._ejection.backoff_until(id)) for id in admitted)
        if expected:
            opening = min(opening, max(now, min(expected.values())))
        if opening + LEAST_SERVICE_S < request.deadline_at:
            return Wait(min(max(opening, now + 0.01), now + ASK_AGAIN_S), "holders_full")
        return self._refuse(now, request, opening, "holders_full")

    @staticmethod
    def _refuse(now: float, request: RequestTraits, until: float, reason: str) -> Refuse:
        """Refuses with the time after which it may be worth asking again."""
        most = RETRY_SHARE * max(0.0, request.deadline_at - now)
        return Refuse(min(max(LEAST_RETRY_S, until - now), max(LEAST_RETRY_S, most)), reason)

    def _prune(self, now: float, service: str, runners: Mapping[str, RunnerRecord]) -> None:
        """Forgets runners of the service that are gone."""
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
            for table in (
                self._marks,
                self._kept,
                self._rendezvous,
                self._load,
                self._ejection,
                self._silence,
            ):
                table.forget(id)
