"""Scheduling decisions of the dispatcher. The settings, events and actions are defined in `interface.py`.

The default path follows the pod selection of "LLM Instance Gateway": a job goes to a worker that holds its
key, preferring the holder with the MOST pending slots of that key that is still under its limit. Otherwise it
spills to the worker with the fewest active keys, then the least total pending; ties are broken at random.
All other rules are exceptions to this path; their comments name the failure that they prevent.
"""

from __future__ import annotations

import random
from bisect import bisect, insort
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from itertools import islice

from ..capacity.interface import NO_RESERVATIONS, ReservationPolicy
from ..estimates import Fleet
from ..estimates.mixing import MASK, mix
from ..estimates.quotas import Quotas
from ..simulator_protocol.checks import check_settings
from .interface import (
    Actions,
    ListKind,
    Member,
    Note,
    Outcome,
    Presence,
    Request,
    Settings,
    Status,
    WorkerId,
)
from .records import IN_FLIGHT, MAYBE_RAN, NEVER_RAN, Attempt, HeldKey, Job, MovingAverage, Worker
from .retry_rules import may_refuse, may_send, window_end

PriorAttempt = tuple[WorkerId, float, float, int | None]  # worker, sent at, started at, status if it ended
NEVER_RAN_STATUSES = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)
RING_POINTS = 8  # Hash ring points of a worker of average speed; several points even out the gaps.
SAMPLE = 8  # Ring points sampled by key per spill, and again at random if none has room.
COMPARED_WORKERS = 2  # Candidates with room that are compared per spill.
KEY_RETENTION = 5.0  # Seconds that an idle key counts as held, per use seen.
MAX_RETENTION_USES = 12  # Upper limit on counted uses; keys used once expire early and do not fill the table.
SLOW_START_SHARE = 0.3  # A start delay above this share of the aim marks a worker as overloaded.
INITIAL_SLOTS = 4.0  # Initial slot limit of a worker, before any feedback.
MIN_LIMIT, LIMIT_CUT, LIMIT_STEP = 0.25, 0.7, 0.25  # Minimum and step in fair shares; cut is a factor.
WINDOW_STEP, WINDOW_CUT = 0.1, 0.2  # In balance if one job in three is late and late jobs are worth 0.
FETCHES_SAVED = 0.15  # Fetches saved per cross-zone job by one holder for the whole fleet.
RUN_TIME_TRUST = 2.0  # Seconds after which an observed run-time ratio has half its weight.
SEND_ORDER_GAP = 0.5  # Sends to one worker that are this many seconds apart arrive in order.
TIMER_INTERVAL = 0.02


class Dispatcher:
    """Scheduler of one dispatcher. Deterministic for a given seed; instances share no state."""

    def __init__(
        self, settings: Settings, seed: int, actions: Actions, room: ReservationPolicy = NO_RESERVATIONS
    ) -> None:
        check_settings(settings)
        self.settings, self.actions, self.reservations = settings, actions, room
        self.rng = random.Random(seed)
        self.fair_slots = max(INITIAL_SLOTS / settings.instances, 1.0)  # Our share of a worker's slots.
        self.workers: dict[WorkerId, Worker] = {}
        self.ready_count = 0
        self.rings: dict[tuple[int, int], tuple[list[int], list[Worker]]] = {}
        self.key_holders: dict[int, list[HeldKey]] = {}
        self.jobs: dict[int, Job] = {}
        self.queue: list[tuple[tuple[float, int], Job]] = []
        self.liveness: list[deque[tuple[float, Attempt]]] = [
            deque() for _ in range(len(settings.classes) + 2)
        ]
        self.suspects: dict[WorkerId, Worker] = {}
        self.run_times = [MovingAverage(c.aim) for c in settings.classes]
        self.fetch_time = MovingAverage(0.4 * settings.classes[0].aim)
        self.start_delay = MovingAverage(settings.classes[0].aim / 4)
        self.quotas = Quotas(settings)
        self.fleet = Fleet(settings, seed ^ MASK)  # Estimates of the load from all dispatchers.
        self.copy_tokens = 2.0
        self.active_slots, self.window = (
            0.0,
            float("inf"),
        )  # Slots in use at responsive workers, and the limit on them.
        self.congestion = 0.0  # Moving average of the share of attempts that were full or late.
        self.sibling_slots: Mapping[WorkerId, float] = {}  # Slots used by sibling processes.
        self.timer_set, self.queue_serial, self.list_failures = False, 0, 0
        self.subscribe_at = 0.0 if settings.must_subscribe else float("inf")

    def on_settings(self, settings: Settings) -> None:
        """Applies new settings for the same classes. Open jobs keep the class object they arrived with."""
        check_settings(settings)
        self.settings = settings
        self.fleet.configure(settings)
        self.fair_slots = max(INITIAL_SLOTS / settings.instances, 1.0)
        self.quotas = Quotas(settings)

    # The worker list

    def on_members(self, now: float, kind: int, members: Iterable[Member]) -> None:
        """The worker list, or a change to it."""
        if kind == ListKind.FAILED:
            # The list service fails for all dispatchers at once: synchronized retries keep it down.
            self.subscribe_at = now + min(0.5 * 2**self.list_failures, 8.0) * self.rng.uniform(0.5, 1.0)
            # 4 failures reach the 8 s maximum; without a cap, 2**1024 would overflow a float.
            self.list_failures = min(self.list_failures + 1, 4)
            self._ensure_timer(now)
            return
        if kind != ListKind.CACHED:
            self.list_failures = 0
        named, weights = set(), []
        for m in members:
            named.add(m.worker)
            worker = self.workers.get(m.worker)
            if worker is None:
                worker = self.workers[m.worker] = Worker(m, self.fair_slots)
            if m.presence == Presence.READY and m.up_since > worker.up_since:
                # A restarted worker holds no keys and is still cold, so all learned state is discarded.
                self._forget_held_keys(worker)
                worker.reset(self.fair_slots)
                self.suspects.pop(worker.id, None)
                worker.up_since, worker.warm_at = m.up_since, m.up_since + self.settings.warm_up
                self.fleet.on_worker_started(now, worker)
            if (worker.zone, worker.kind, worker.cell) != (m.zone, m.kind, m.cell):
                worker.zone, worker.kind, worker.cell = m.zone, m.kind, m.cell
                self.rings.clear()
                self.fleet.clear_rankings()
            self._set_ready(worker, m.presence == Presence.READY)
            if m.presence == Presence.GONE:
                self.fleet.on_worker_gone(worker)
                del self.workers[m.worker]
            else:
                weights.append((worker, m.size))
        if kind != ListKind.DELTA:
            for worker in [w for w in self.workers.values() if w.id not in named]:
                self._set_ready(worker, False)
                self.fleet.on_worker_gone(worker)
                del self.workers[worker.id]
        self.fleet.on_member_list(now, weights, self.workers.values())
        if self.subscribe_at == 0.0:
            self.subscribe_at = float("inf")
            self.actions.subscribe()
        self._ensure_timer(now)
        self._place_queued(now, 8)

    def _set_ready(self, worker: Worker, ready: bool) -> None:
        if ready != worker.ready:
            worker.ready = ready
            self.rings.clear()
            self.fleet.clear_rankings()
            self.ready_count += 1 if ready else -1
            if not ready:
                self._forget_held_keys(worker)
                self.suspects.pop(worker.id, None)

    def _forget_held_keys(self, worker: Worker) -> None:
        self.reservations.on_worker_lost(worker)
        for pair in list(worker.held_keys.values()):
            self._drop_held_key(pair)

    def _drop_held_key(self, pair: HeldKey) -> None:
        if pair.worker.held_keys.get(pair.key) is pair:
            del pair.worker.held_keys[pair.key]
            pairs = self.key_holders[pair.key]
            pairs.remove(pair)
            if not pairs:
                del self.key_holders[pair.key]

    # Requests

    def on_request(
        self, now: float, request: Request, came: float = 0.0, tries: Iterable[PriorAttempt] = ()
    ) -> None:
        """Sends, queues or refuses a new job, which another process may have tried already."""
        cls = self.settings.classes[request.job_class]
        job = self.jobs[request.id] = Job(request, cls)
        mean = self.run_times[request.job_class]
        run, least = self.fleet.run_predictor.predict(request.job_class, request.hint, mean)
        job.expected_run = run
        came = came or now
        first = min(came, request.give_up_at - cls.deadline) if request.repeat else came
        last = request.give_up_at - 0.05
        aim = first + cls.aim + cls.stretch * run
        job.target_start = aim - run
        # Refuse at once a job that cannot finish before its client or the dispatcher is gone.
        job.latest_start = min(last - least, aim - least if cls.late_worth <= 0 else max(aim, last - least))
        slack = max(job.latest_start - now, 0.0)
        job.may_spill_at = now + max(min(self.fetch_time.value, 0.5 * slack), self.congestion * slack)
        job.value = cls.worth / (1.0 if self.settings.worth_by_work else mean.value * request.slots)
        if self.quotas.exceeds(now, request.tenant):
            job.value *= self.settings.over_share_worth
        self.copy_tokens = min(self.copy_tokens + 0.1, 20.0)
        self.fleet.on_arrival(now, request.job_class, request.key)
        for tried in tries:
            self._adopt_attempt(now, job, *tried)
        if job.in_flight():
            return
        if now >= job.latest_start:
            self._refuse_or_fail(now, job)
        elif not self._try_place(now, job):
            self._enqueue(now, job)

    def _adopt_attempt(
        self, now: float, job: Job, name: WorkerId, sent: float, begun: float, status: int | None
    ) -> None:
        """Records an attempt of another process, ended or still in flight, as one of our own."""
        worker = self.workers.get(name) or Worker(Member(name), self.fair_slots)
        state = IN_FLIGHT if status is None else NEVER_RAN if status in NEVER_RAN_STATUSES else MAYBE_RAN
        attempt = Attempt(job, len(job.attempts), worker, None, sent)
        attempt.state, attempt.started_at, attempt.last_seen = state, begun, begun
        job.attempts.append(attempt)
        if state == IN_FLIGHT:
            worker.pending_slots += job.request.slots
            self.active_slots += job.request.slots
            self.liveness[self._liveness_index(job)].append((now + self._liveness_timeout(job), attempt))
            self._ensure_timer(now)

    def _try_place(self, now: float, job: Job) -> bool:
        """Sends a job if the window is open and a worker has room for it."""
        open_ = (
            self.fleet.reports.enabled
            or self.active_slots <= 0
            or (  # Workers report their free slots, or none is in use yet.
                self.active_slots + job.request.slots + self.reservations.reserved_slots(now, job)
                <= self.window
            )
        )
        worker = self._choose_worker(now, job) if open_ else None
        if worker is None:
            self.reservations.request_reservation(now, job, self._ring(-1, job.cls.kind)[1])
        return worker is not None and self._send(now, job, worker)

    def _choose_worker(self, now: float, job: Job) -> Worker | None:
        key = job.request.key
        holders = [p for p in self.key_holders.get(key, ()) if job.cls.kind in (-1, p.worker.kind)]
        best, most, ties = None, -1.0, 1
        for pair in holders:
            if pair.pending_slots >= most and self._can_take(now, job, pair.worker):
                if pair.pending_slots > most:
                    best, most, ties = pair.worker, pair.pending_slots, 1
                else:
                    ties += 1
                    if self.rng.random() * ties < 1.0:
                        best = pair.worker
        if best is not None:
            return best
        sick = self.fleet.health.is_failing
        if now < job.may_spill_at and any(p.worker.ready and not sick(now, p.worker) for p in holders):
            # A spill makes another worker fetch the key, which occupies slots and loads the shared store.
            # Wait for a holder while that is faster than a fetch, but not for a failing one.
            return None
        if (kept := self.reservations.reserved_worker(now, job)) and self._can_take(now, job, kept):
            return kept
        new = self.fleet.next_cold_worker(now, job, lambda w: self._is_healthy(now, w))
        if new is not None and self._can_take(now, job, new):
            return new
        first, second = self.settings.zone, -1
        run = self.run_times[job.request.job_class].value
        if key and self.fetch_time.value * FETCHES_SAVED > self.settings.price_cross * run:
            first, second = second, first  # Prefer one holder in the fleet to one per zone.
        best = self._choose_spill_worker(now, job, first)
        if best is None and self.settings.zones > 1:
            best = self._choose_spill_worker(now, job, second)
        return best

    def _is_healthy(self, now: float, w: Worker) -> bool:
        return w.ready and now >= w.avoid_until and not w.suspicion and not w.failure_share

    def _ring(self, zone: int, kind: int) -> tuple[list[int], list[Worker]]:
        ring = self.rings.get((zone, kind))
        if ring is None:
            places = sorted(
                (mix(w.ring_hash + i & MASK), w.id)
                for w in self.workers.values()
                if w.ready and zone in (-1, w.zone) and kind in (-1, w.kind)
                for i in range(round(RING_POINTS * self.fleet.relative_speed(w)) or 1)
            )
            ring = self.rings[zone, kind] = ([p for p, _ in places], [self.workers[w] for _, w in places])
        return ring

    def _choose_spill_worker(self, now: float, job: Job, zone: int) -> Worker | None:
        """Picks the worker with the fewest active keys, then the least pending, from a sample.

        On a large fleet, scanning all workers per job is too slow, and all dispatchers would pick the same
        new worker. The sample depends on the key, so independent dispatchers examine the same few workers.
        """
        places, workers = self._ring(zone, job.cls.kind)
        if not places:
            return None
        key, bits = job.request.key, self.rng.getrandbits
        if key and self.fleet.reports.enabled:  # A key that must be fetched goes where no job waits.
            return next(
                (
                    w
                    for w in self.fleet.ranked_workers(key, (zone, job.cls.kind), workers)
                    if self._can_take(now, job, w) and not self.fleet.expected_delay(now, job, w)
                ),
                None,
            )
        homes = self.fleet.home_indices(key, SAMPLE) if key else ()
        for i in homes:
            # The ring position depends only on the key, so dispatchers that rarely see a key choose the same
            # workers as the others, where the key is most likely held.
            worker = workers[bisect(places, mix(key + i * 0x9E3779B97F4A7C15 & MASK)) % len(places)]
            if self._can_take(now, job, worker) and self.fleet.accepts(now, job, worker):
                return worker
        best, rank, ties, seen = None, (0.0, 0.0, 0.0), 1, 0
        for i in range(2 * SAMPLE):
            at = mix(key + i * 0x9E3779B97F4A7C15 & MASK) if key and not homes and i < SAMPLE else bits(64)
            worker = workers[bisect(places, at) % len(places)]
            if (
                worker is not best
                and self._can_take(now, job, worker)
                and self.fleet.accepts(now, job, worker)
            ):
                own = (len(worker.held_keys), worker.pending_slots, self.fleet.load_of_others(now, worker))
                seen += 1
                if best is None or own < rank:
                    best, rank, ties = worker, own, 1
                elif own == rank:
                    ties += 1
                    if self.rng.random() * ties < 1.0:
                        best = worker
                if seen >= COMPARED_WORKERS:
                    break
        return best

    def _can_take(self, now: float, job: Job, w: Worker) -> bool:
        """Returns whether this worker is below its limit, healthy and able to take this job."""
        there = w.pending_slots + self.sibling_slots.get(w.id, 0.0)
        full = there > 0 and there + job.request.slots > w.slot_limit and not self.fleet.reports.enabled
        if not w.ready or now < w.avoid_until or full or job.cls.kind not in (-1, w.kind):
            return False
        if w.run_time_ratio > 1.0 and now < job.target_start:
            # A worker on a shared machine starts jobs on time but finishes them late. Old observations
            # lose weight over time; otherwise the worker would never be tried again.
            slow = (w.run_time_ratio - 1.0) * RUN_TIME_TRUST / (RUN_TIME_TRUST + now - w.run_time_ratio_at)
            if now + slow * job.expected_run > job.target_start:
                return False
        if job.cls.effect == "at_most_once" and (w.suspicion or self.fleet.is_underused(now, w)):
            return False  # Only repeatable jobs are used to test a doubtful worker.
        if (
            w.failure_share
            and self.fleet.health.is_failing(now, w)
            and (w.pending_slots > 0 or job.cls.effect == "at_most_once")
        ):
            # A worker that fails fast always has room and would attract most jobs. Send it one at a time, and
            # none that could not be retried after a failure.
            return False
        if now < w.warm_at and not self.fleet.may_use_cold_worker(now, job, w):
            return False
        if self.fleet.is_too_slow(now, job, w):
            return False
        return may_send(self.settings, now, job, w) and self.reservations.admits(now, job, w)

    def may_start_attempt(self, now: float, request: int, attempt: int) -> bool:
        """Returns whether an attempt may still send its first byte after a slow connect."""
        job = self.jobs.get(request)
        if job is None or job.done or attempt >= len(job.attempts):
            return False
        return job.attempts[attempt].worker.ready and now < window_end(job, attempt)

    # Sending and answering

    def _send(self, now: float, job: Job, worker: Worker) -> bool:
        request = job.request
        if not may_send(self.settings, now, job, worker):
            return False
        pair = self._record_key_use(now, request.key, worker) if request.key else None
        attempt = Attempt(job, len(job.attempts), worker, pair, now)
        attempt.queue_allowance = self.fleet.queue_allowance(now, job, worker)
        attempt.expected_delay = self.fleet.expected_delay(now, job, worker)
        job.attempts.append(attempt)
        worker.pending_slots += request.slots
        self.active_slots += request.slots
        if pair:
            pair.pending_slots += request.slots
        self.fleet.on_sent(now, job, worker)
        if worker.slot_limit < 1.0:
            # In a large fleet our fair share of a worker is below one slot: pause between sends.
            worker.avoid_until = now + self.run_times[request.job_class].value / worker.slot_limit
        if worker.suspicion:
            worker.avoid_until = now + self._liveness_timeout(job) * (1 + worker.suspicion)
        self.reservations.on_sent(now, attempt)
        self.actions.send(request.id, worker.id, 0.0)
        self.liveness[self._liveness_index(job)].append((now + self._liveness_timeout(job), attempt))
        self._ensure_timer(now)
        return True

    def _record_key_use(self, now: float, key: int, worker: Worker) -> HeldKey:
        pair = worker.held_keys.pop(key, None)
        if pair is None:
            for old in list(islice(worker.held_keys.values(), 2)):
                if old.pending_slots <= 0 and (
                    len(worker.held_keys) >= self.fleet.key_capacity(worker)
                    or now - old.last_used_at > KEY_RETENTION * min(old.use_count, MAX_RETENTION_USES)
                ):
                    self._drop_held_key(old)
                else:
                    worker.held_keys[old.key] = worker.held_keys.pop(old.key)
            pair = HeldKey(key, worker)
            self.key_holders.setdefault(key, []).append(pair)
        worker.held_keys[key] = pair
        pair.last_used_at = now
        pair.use_count += 1
        return pair

    def _enqueue(self, now: float, job: Job) -> None:
        """Queues a job while no worker has room, instead of using up its attempts."""
        if self.reservations.is_infeasible(job):
            self._refuse_or_fail(now, job)
        elif not job.queued:
            job.queued = True
            self.queue_serial += 1
            job.queue_order = (-job.value, self.queue_serial)
            insort(self.queue, (job.queue_order, job), key=lambda item: item[0])
            self._ensure_timer(now)

    def _refuse_or_fail(self, now: float, job: Job) -> None:
        """Sends the final answer: a refusal if the job is safe to retry, otherwise a failure."""
        if job.done:
            return
        job.done = True
        if may_refuse(job):
            self.actions.refuse(job.request.id, min(self.settings.max_retry_after, 0.25))
        else:
            self.actions.fail(job.request.id)
        self._close_job(job)

    def _close_job(self, job: Job) -> None:
        job.done, job.queued = True, False
        self.reservations.on_job_closed(job)
        for a in job.attempts:
            if a.state == IN_FLIGHT and self.settings.can_cancel:
                self.actions.cancel(job.request.id, a.index)
        if not job.in_flight():
            self.jobs.pop(job.request.id, None)

    def _retry_or_answer(self, now: float, job: Job) -> None:
        """Retries, queues or answers a job after a failed attempt."""
        if job.done or job.in_flight():
            return
        if len(job.attempts) >= self.settings.max_attempts or now >= job.request.give_up_at - 0.01:
            self._refuse_or_fail(now, job)
        elif job.cls.effect == "at_most_once" and any(a.state != NEVER_RAN for a in job.attempts):
            self._refuse_or_fail(now, job)
        else:
            left = self.settings.max_attempts - len(job.attempts)
            if left < self.settings.max_attempts // 2:
                # All workers are full: spread the remaining attempts over the remaining time.
                job.retry_at = now + max(job.latest_start - now, 0.0) / (left + 1)
            if job.retry_at > now or not self._try_place(now, job):
                self._enqueue(now, job)

    def _place_queued(self, now: float, tries: int, freed: Worker | None = None) -> None:
        """Places queued jobs by worth per unit of work; a freed worker prefers keys that it holds."""
        if (
            freed is not None
            and (due := self.reservations.due_job(now, freed))
            and self._can_take(now, due, freed)
        ):
            due.queued = not self._send(now, due, freed)
        index = 0
        while index < min(len(self.queue), 48) and tries > 0:
            job = self.queue[index][1]
            if job.done or not job.queued:
                del self.queue[index]
                continue
            index += 1
            if now < job.retry_at:
                continue
            if freed is not None and job.request.key in freed.held_keys:
                placed = self._can_take(now, job, freed) and self._send(now, job, freed)
            elif freed is not None and now < job.may_spill_at:
                continue
            else:
                placed = self._try_place(now, job)
            tries -= 1
            if placed:
                job.queued = False
                index -= 1
                del self.queue[index]

    # Attempt events

    def _liveness_index(self, job: Job) -> int:
        return 0 if self.settings.tells_start else 2 + job.request.job_class

    def _liveness_timeout(self, job: Job) -> float:
        """Returns how long an attempt may be silent, based on delays observed across the fleet."""
        if self.settings.tells_start:
            return max(
                self.start_delay.value + 6.0 * self.start_delay.deviation, 0.5 * self.run_times[0].value
            )
        run = self.run_times[job.request.job_class]
        return max(run.value + 5.0 * run.deviation, 1.5 * run.value)

    def on_attempt_progress(self, now: float, note: Note) -> None:
        """Handles the start or progress of an attempt."""
        job = self.jobs.get(note.request)
        if job is None or note.attempt >= len(job.attempts):
            return
        attempt = job.attempts[note.attempt]
        worker = attempt.worker
        self._mark_responsive(now, worker)
        if attempt.last_seen == 0.0 and self.settings.tells_start:
            attempt.started_at = now
            self.reservations.on_started(now, attempt)
            wait = now - attempt.sent_at
            worker.last_started = max(worker.last_started, attempt.sent_at)
            self.start_delay.add(min(wait, 3.0 * self._liveness_timeout(job)))
            if wait > SLOW_START_SHARE * job.cls.aim:
                self._back_off(now, worker, 0.5 * min(wait, job.cls.aim), MIN_LIMIT * self.fair_slots)
            elif worker.pending_slots >= worker.slot_limit - 1.0:
                worker.slot_limit += LIMIT_STEP * self.fair_slots
            for other in job.attempts:
                if (
                    other is not attempt
                    and other.state == IN_FLIGHT
                    and other.last_seen == 0.0
                    and self.settings.can_cancel
                ):
                    self.actions.cancel(job.request.id, other.index)
        if attempt.last_seen == 0.0 and self.settings.progress > 0:
            self.liveness[1].append((now + 1.3 * self.settings.progress, attempt))
        attempt.last_seen = now

    def _back_off(self, now: float, worker: Worker, off: float, least: float) -> None:
        """Lowers the limit and pauses sends: a late start or 'full' reveals load from other dispatchers."""
        worker.slot_limit = max(
            min(least, worker.slot_limit), LIMIT_CUT * min(worker.slot_limit, worker.pending_slots + 1.0)
        )
        worker.avoid_until = max(worker.avoid_until, now + off)

    def _adjust_window(self, late: bool, slots: float, loss: float) -> None:
        """Adapts the window of slots in use: if many jobs end late, more concurrency makes more late."""
        if late:
            floor = max(
                2.0, 2.0 * self.ready_count / self.settings.instances
            )  # Our share of 2 slots per worker.
            self.window = max(min(self.window, self.active_slots + slots) - WINDOW_CUT * slots * loss, floor)
        elif self.active_slots + slots > 0.7 * self.window:
            self.window += WINDOW_STEP * slots

    def _mark_responsive(self, now: float, worker: Worker) -> None:
        worker.last_contact_at, worker.connection_failures = now, 0
        if worker.suspicion:
            worker.suspicion = 0
            worker.avoid_until = now
            self.suspects.pop(worker.id, None)

    def _mark_suspect(self, now: float, worker: Worker, base: float) -> bool:
        """Backs off from a silent worker, unless half the fleet is silent: then the cause lies elsewhere."""
        if worker.id not in self.suspects and 2 * (len(self.suspects) + 1) > self.ready_count + 1:
            return False
        self.suspects[worker.id] = worker
        worker.suspicion = min(worker.suspicion + 1, 5)
        worker.avoid_until = now + base * 2 ** (worker.suspicion - 1)
        return True

    def on_outcome(self, now: float, o: Outcome) -> None:
        """An attempt has ended."""
        job = self.jobs.get(o.request)
        if job is None or o.attempt >= len(job.attempts):
            return
        attempt = job.attempts[o.attempt]
        if attempt.state != IN_FLIGHT:
            return
        worker, pair, status = attempt.worker, attempt.held_key, o.status
        attempt.state = NEVER_RAN if status in NEVER_RAN_STATUSES else MAYBE_RAN
        worker.pending_slots -= job.request.slots
        self.fleet.on_attempt_ended(now, job, worker)
        if not attempt.presumed_lost:
            self.active_slots -= job.request.slots
        if pair:
            pair.pending_slots -= job.request.slots
            if (
                status != Status.OK
                and status != Status.CANCELLED
                and pair.pending_slots <= 0
                and (status != Status.FULL or pair.use_count <= 1)
            ):
                self._drop_held_key(pair)
        free = (
            o.report[self.settings.slot_reports] if 0 <= self.settings.slot_reports < len(o.report) else -1.0
        )
        self.reservations.on_ended(now, attempt, status, free)
        if o.report:
            self.fleet.health.on_report(now, worker, o.report, self.workers.values())
        if status in (Status.OK, Status.FULL):
            run = now - attempt.started_at if attempt.started_at else 0.0
            late = now - attempt.sent_at > job.cls.aim + job.cls.stretch * max(job.expected_run, 0.6 * run)
            if status == Status.OK:
                self._adjust_window(
                    late and not attempt.presumed_lost, job.request.slots, 1.0 - job.cls.late_worth
                )
            bad = status == Status.FULL or late
            self.congestion += 0.02 * (bad - self.congestion)
        if status == Status.OK:
            self._mark_responsive(now, worker)
            worker.full_count = 0
            self.fleet.health.on_success(now, worker)
            if not self.settings.tells_start and worker.pending_slots >= worker.slot_limit - 1.0:
                worker.slot_limit += LIMIT_STEP * self.fair_slots
            begun = attempt.started_at or attempt.sent_at
            self._learn_run_time(now, attempt, now - begun)
        elif status == Status.FULL:
            # Full with other dispatchers' jobs: back off for about the time until a slot frees up.
            self._mark_responsive(now, worker)
            worker.full_count = min(worker.full_count + 1, 4)
            self.fleet.on_full(now, worker)
            self._back_off(
                now,
                worker,
                self.run_times[0].value * min(0.15 * 2**worker.full_count, 2.0),
                self.fair_slots,
            )
        elif status in (Status.CONNECT_FAILED, Status.RESET):
            worker.connection_failures += 1
            if status == Status.CONNECT_FAILED or worker.connection_failures > 1:
                # The worker may have died or been replaced, so it holds no keys and restarts cold. One reset
                # alone is as often a network fault: a dead worker refuses the next connection.
                self._forget_held_keys(worker)
                self._mark_suspect(now, worker, 0.5)
        elif status == Status.ERROR:
            worker.last_contact_at = now
            self.fleet.health.on_failure(now, worker, self.workers.values())
        if o.closed or job.done:
            if not job.done:
                self._close_job(job)
            elif not job.in_flight():
                self.jobs.pop(o.request, None)
        else:
            self._retry_or_answer(now, job)
        if self.queue and status != Status.FULL:
            self._place_queued(now, 3, worker)

    def _learn_run_time(self, now: float, attempt: Attempt, run: float) -> None:
        job, worker = attempt.job, attempt.worker
        mean = self.run_times[job.request.job_class]
        run = max(run, 1e-3)
        self.fleet.on_run(now, job, worker, run, self.workers)
        usual = job.expected_run if job.request.hint else mean.value
        ratio = max(run - self.fetch_time.value * attempt.fetches_key, 0.0) / usual
        worker.run_time_ratio += 0.3 * (min(ratio, 5.0) - worker.run_time_ratio)
        worker.run_time_ratio_at = now
        if attempt.fetches_key:
            self.fetch_time.add(max(run - usual, 0.0))
            if mean.sample_count > 20:
                return
        mean.add(min(run, 5.0 * mean.value))
        if job.request.hint and not attempt.fetches_key and not attempt.expected_delay:
            self.fleet.run_predictor.on_run(job.request.job_class, job.request.hint, run)

    def on_client_gone(self, now: float, request: int) -> None:
        """Closes a job whose client has disconnected."""
        job = self.jobs.get(request)
        if job is not None and not job.done:
            self._close_job(job)

    def on_answer_started(self, now: float, request: int, attempt: int) -> None:
        """Marks a job as done when its streamed answer begins; other attempts are no longer needed."""
        job = self.jobs.get(request)
        if job is not None and attempt < len(job.attempts):
            self._mark_responsive(now, job.attempts[attempt].worker)
            job.done = True

    def on_sibling_load(self, pending: Mapping[WorkerId, float], others: int) -> None:
        """Counts sibling load: during an upgrade, two processes together keep to one dispatcher's share."""
        self.sibling_slots, self.fleet.cold_start.processes = pending, 1 + others

    def avoided_workers(self, now: float) -> list[WorkerId]:
        """Returns the ready workers that are suspect (silent) or failing their jobs."""
        sick = self.fleet.health.is_failing
        return [w.id for w in self.workers.values() if w.ready and (w.suspicion or sick(now, w))]

    def on_probe_result(
        self, now: float, worker: WorkerId, status: int, latency: float, report: Sequence[float]
    ) -> None:
        """Handles the result of a probe."""
        known = self.workers.get(worker)
        if known and status == Status.OK:
            self.fleet.reports.on_report(now, known, report)
            self._mark_responsive(now, known)
        elif known and self.fleet.reports.on_probe_failed(now, worker) > 1 and known.ready:
            self._mark_suspect(now, known, 1.0)
            for attempt in [a for job in self.jobs.values() for a in job.attempts if a.worker is known]:
                self._check_liveness(now, attempt, self.liveness[self._liveness_index(attempt.job)])

    # Timers

    def _ensure_timer(self, now: float) -> None:
        if not self.timer_set:
            self.timer_set = True
            self.actions.timer(now + TIMER_INTERVAL, 0)

    def on_timer(self, now: float, token: int) -> None:
        """Runs all periodic work: resubscription, probes, liveness checks and the queue."""
        self.timer_set = False
        if now >= self.subscribe_at > 0.0:
            self.subscribe_at = float("inf")
            self.actions.subscribe()
        for asked in self.fleet.reports.due_probes(now, self.workers.values()):
            self.actions.probe(asked)
        for watch in self.liveness:
            while watch and watch[0][0] <= now:
                self._check_liveness(now, watch.popleft()[1], watch)
        if self.queue:
            self._try_new_worker(now)
            for item in self.queue:
                job = item[1]
                if job.queued and not job.in_flight() and job.latest_start <= now:
                    self._refuse_or_fail(now, job)
                elif job.target_start <= now and job.value > 0 and item[0][0] == -job.value:
                    # The job will be late anyway: lower its rank so it does not delay jobs still on time.
                    job.value *= job.cls.late_worth
                    job.queue_order = (-job.value, job.queue_order[1])
            left = [(j.queue_order, j) for _, j in self.queue if j.queued and not j.done]
            self.queue = sorted(left, key=lambda item: item[0])
            self._place_queued(now, 8)
        if self.queue or self.subscribe_at < float("inf") or self.fleet.reports.enabled or any(self.liveness):
            self._ensure_timer(now)

    def _try_new_worker(self, now: float) -> None:
        """Tries a newly started worker with the smallest queued job; larger ones exceed its budget."""
        waiting = [j for _, j in self.queue if j.queued and not j.done and now >= j.retry_at]
        job = min(waiting, key=lambda j: j.expected_run * j.request.slots, default=None)
        w = self.fleet.next_cold_worker(now, job, lambda w: self._is_healthy(now, w)) if job else None
        if job and w and w.last_contact_at < w.up_since and not w.pending_slots:
            if self._can_take(now, job, w) and self._send(now, job, w):
                job.queued = False

    def _check_liveness(self, now: float, attempt: Attempt, watch: deque[tuple[float, Attempt]]) -> None:
        """Checks an attempt whose liveness timeout has passed."""
        job, worker = attempt.job, attempt.worker
        if attempt.state != IN_FLIGHT:
            return
        if not attempt.last_seen and now < attempt.sent_at + attempt.queue_allowance:
            # The worker list showed other jobs queued ahead at send time, so waiting is expected.
            watch.append((now + self._liveness_timeout(job), attempt))
            return
        seen = attempt.last_seen if watch is self.liveness[1] else attempt.sent_at
        if watch is self.liveness[0] and attempt.last_seen:
            return
        if watch is self.liveness[1] and now - seen < 1.2 * self.settings.progress:
            watch.append((seen + 1.3 * self.settings.progress, attempt))
            return
        if worker.last_contact_at <= seen and worker.ready:
            self._mark_suspect(now, worker, 1.0)
        # A FIFO queue starts jobs in order: if a later job has started, this one is not in the queue.
        # An attempt that fetches its key reports its start only after the fetch.
        order = SEND_ORDER_GAP + 3.0 * self.fetch_time.value
        overtaken = (
            self.settings.fifo and watch is self.liveness[0] and attempt.sent_at + order < worker.last_started
        )
        silent = worker.suspicion > 0 or not worker.ready or overtaken
        if silent and not attempt.presumed_lost:
            attempt.presumed_lost = True
            self.active_slots -= job.request.slots
        if not silent and watch is self.liveness[0] and self.settings.fifo and job.cls.effect == "idempotent":
            watch.append((now + self._liveness_timeout(job), attempt))  # Later jobs may still overtake it.
        if job.done or job.in_flight() > 1 or not silent or self.copy_tokens < 1.0:
            return
        # The worker is silent: send a second copy if class, group and memory window allow it.
        if self.settings.second_copies and self._try_place(now, job):
            self.copy_tokens -= 1.0
        elif (
            not self.settings.second_copies
            and self.settings.can_cancel
            and job.cls.effect == "idempotent"
            and (len(job.attempts) < self.settings.max_attempts and self._has_untried_worker(job))
        ):
            # The last attempt, or one no other worker can take, keeps running: nothing could replace it.
            self.actions.cancel(job.request.id, attempt.index)

    def _has_untried_worker(self, job: Job) -> bool:
        """Returns whether the fleet has a ready worker that this job has not been tried on."""
        tried = {a.worker.id for a in job.attempts if a.state != NEVER_RAN and a.worker.ready}
        return self.ready_count > len(tried)
