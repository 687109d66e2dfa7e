"""Every decision of the dispatcher. Its interface (settings, events, actions) is in `interface.py`.

The ordinary path is the pod selection of "LLM Instance Gateway": a job goes to a worker that holds its key,
the holder with the MOST own pending still under a threshold; else it spills to the worker with the fewest
active keys, then least total pending; ties at random. The rest are exceptions; comments name the danger.
"""

from __future__ import annotations

import random
from bisect import bisect, insort
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from itertools import islice

from ..capacity.interface import NOTHING_HELD, Room
from ..estimates import Fleet
from ..estimates.mixing import MASK, mix
from ..estimates.quotas import Quotas
from ..simulator_protocol.checks import check_settings
from .interface import Actions, ListKind, Member, Note, Outcome, Presence, Request, Settings, Status, WorkerId
from .records import MAYBE_RAN, NEVER_RAN, OUT, Attempt, Job, Mean, Pair, Worker
from .retry_rules import may_refuse, may_send, window_end

Try = tuple[WorkerId, float, float, int | None]  # worker, when sent and begun, how it ended if it has
PROOFS = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)  # outcomes that prove an attempt never ran
POINTS = 8  # places of a usual worker on the ring that samples are drawn from; evens out the gaps
SAMPLE = 8  # places looked at by key for one spill, and as many by chance where those have no room
WIDTH = 2  # workers with room that are compared
KEEP = 5.0  # seconds that an idle key counts as held, for each use it has seen ...
KEEP_USES = 12  # ... up to so many: a key asked for once soon stops crowding the table
PATIENT = 0.3  # share of the aim that a start may take before a worker counts as crowded
GUESS = 4.0  # slots a worker may have, until it is learned
LEAST, CUT, RAISE = 0.25, 0.7, 0.25  # the threshold's floor, its cut, and its step, in fair parts
OPEN, CLOSE = 0.1, 0.2  # steps of the window: it settles where one in three ends late (if that is worth 0)
FETCHES_SAVED = 0.15  # fetches that one home in the fleet saves for each job that crosses zones to it
TRUST = 2.0  # seconds after which half of what was seen of a worker's pace is still trusted
ORDER = 0.5  # seconds between two sends to a worker from which they come there in that order
TICK = 0.02


class Dispatcher:
    """Decides for one dispatcher. Same events, same actions; nothing is shared between instances."""

    def __init__(self, settings: Settings, seed: int, actions: Actions, room: Room = NOTHING_HELD) -> None:
        check_settings(settings)
        self.s, self.act, self.room = settings, actions, room
        self.random = random.Random(seed)
        self.fair = max(GUESS / settings.instances, 1.0)  # our part of a worker, one slot at the least
        self.workers: dict[WorkerId, Worker] = {}
        self.ready = 0
        self.rings: dict[tuple[int, int], tuple[list[int], list[Worker]]] = {}
        self.holders: dict[int, list[Pair]] = {}
        self.jobs: dict[int, Job] = {}
        self.held: list[tuple[tuple[float, int], Job]] = []
        self.watch: list[deque[tuple[float, Attempt]]] = [deque() for _ in range(len(settings.classes) + 2)]
        self.silent: dict[WorkerId, Worker] = {}
        self.runs = [Mean(c.aim) for c in settings.classes]
        self.fetch = Mean(0.4 * settings.classes[0].aim)
        self.wait = Mean(settings.classes[0].aim / 4)
        self.quotas = Quotas(settings)
        self.fleet = Fleet(settings, seed ^ MASK)  # estimates of what all dispatchers do
        self.hedges = 2.0
        self.active, self.window = 0.0, float("inf")  # slots out on workers that answer, and how many may be
        self.crowd = 0.0  # share of attempts that came back full or late
        self.beside: Mapping[WorkerId, float] = {}  # slots that our other processes have out ...
        self.ticking, self.serial, self.asks = False, 0, 0
        self.ask_at = 0.0 if settings.must_subscribe else float("inf")

    def on_settings(self, settings: Settings) -> None:
        """Other settings for the same classes. Jobs that are open keep the class that they came with."""
        check_settings(settings)
        self.s = settings
        self.fleet.configure(settings)
        self.fair = max(GUESS / settings.instances, 1.0)
        self.quotas = Quotas(settings)

    # The worker list

    def on_members(self, now: float, kind: int, members: Iterable[Member]) -> None:
        """The worker list, or a change to it."""
        if kind == ListKind.FAILED:
            # The list service is down for everybody: asking again at once, all together, keeps it down.
            self.ask_at = now + min(0.5 * 2**self.asks, 8.0) * self.random.uniform(0.5, 1.0)
            self.asks = min(self.asks + 1, 4)  # 8 s; a float holds no power above 1,023
            self._tick_soon(now)
            return
        if kind != ListKind.CACHED:
            self.asks = 0
        named, weights = set(), []
        for m in members:
            named.add(m.worker)
            worker = self.workers.get(m.worker)
            if worker is None:
                worker = self.workers[m.worker] = Worker(m, self.fair)
            if m.presence == Presence.READY and m.up_since > worker.up_since:
                # A restarted worker holds nothing and can do little; what was known of it is void.
                self._forget(worker)
                worker.reset(self.fair)
                self.silent.pop(worker.id, None)
                worker.up_since, worker.warm_at = m.up_since, m.up_since + self.s.warm_up
                self.fleet.started(now, worker)
            if (worker.zone, worker.kind, worker.cell) != (m.zone, m.kind, m.cell):
                worker.zone, worker.kind, worker.cell = m.zone, m.kind, m.cell
                self.rings.clear()
                self.fleet.unsettled()
            self._set_ready(worker, m.presence == Presence.READY)
            if m.presence == Presence.GONE:
                self.fleet.gone(worker)
                del self.workers[m.worker]
            else:
                weights.append((worker, m.size))
        if kind != ListKind.DELTA:
            for worker in [w for w in self.workers.values() if w.id not in named]:
                self._set_ready(worker, False)
                self.fleet.gone(worker)
                del self.workers[worker.id]
        self.fleet.listed(now, weights, self.workers.values())
        if self.ask_at == 0.0:
            self.ask_at = float("inf")
            self.act.subscribe()
        self._tick_soon(now)
        self._pump(now, 8)

    def _set_ready(self, worker: Worker, ready: bool) -> None:
        if ready != worker.ready:
            worker.ready = ready
            self.rings.clear()
            self.fleet.unsettled()
            self.ready += 1 if ready else -1
            if not ready:
                self._forget(worker)
                self.silent.pop(worker.id, None)

    def _forget(self, worker: Worker) -> None:
        self.room.lost(worker)
        for pair in list(worker.keys.values()):
            self._drop_pair(pair)

    def _drop_pair(self, pair: Pair) -> None:
        if pair.worker.keys.get(pair.key) is pair:
            del pair.worker.keys[pair.key]
            pairs = self.holders[pair.key]
            pairs.remove(pair)
            if not pairs:
                del self.holders[pair.key]

    # Requests

    def on_request(self, now: float, request: Request, came: float = 0.0, tries: Iterable[Try] = ()) -> None:
        """A job has arrived, perhaps tried by another process so far: send it, hold it or refuse it."""
        cls = self.s.classes[request.job_class]
        job = self.jobs[request.id] = Job(request, cls)
        mean = self.runs[request.job_class]
        run, least = self.fleet.works.of(request.job_class, request.hint, mean)
        job.work = run
        came = came or now
        first = min(came, request.give_up_at - cls.deadline) if request.repeat else came
        last = request.give_up_at - 0.05
        aim = first + cls.aim + cls.stretch * run
        job.aim_at = aim - run
        # A job that cannot be done before its client, or the dispatcher, is gone is refused at once.
        job.late_at = min(last - least, aim - least if cls.late_worth <= 0 else max(aim, last - least))
        slack = max(job.late_at - now, 0.0)
        job.spill_at = now + max(min(self.fetch.value, 0.5 * slack), self.crowd * slack)
        job.value = cls.worth / (1.0 if self.s.worth_by_work else mean.value * request.slots)
        if self.quotas.over(now, request.tenant):
            job.value *= self.s.over_share_worth
        self.hedges = min(self.hedges + 0.1, 20.0)
        self.fleet.came(now, request.job_class, request.key)
        for tried in tries:
            self._resume(now, job, *tried)
        if job.out():
            return
        if now >= job.late_at:
            self._finish(now, job)
        elif not self._place(now, job):
            self._hold(now, job)

    def _resume(
        self, now: float, job: Job, name: WorkerId, sent: float, begun: float, status: int | None
    ) -> None:
        """Counts an attempt of another process, which ended so or is still out, like one of ours."""
        worker = self.workers.get(name) or Worker(Member(name), self.fair)
        state = OUT if status is None else NEVER_RAN if status in PROOFS else MAYBE_RAN
        attempt = Attempt(job, len(job.attempts), worker, None, sent)
        attempt.state, attempt.begun, attempt.sign = state, begun, begun
        job.attempts.append(attempt)
        if state == OUT:
            worker.pending += job.request.slots
            self.active += job.request.slots
            self.watch[self._watch_of(job)].append((now + self._patience(job), attempt))
            self._tick_soon(now)

    def _place(self, now: float, job: Job) -> bool:
        """Sends a job if the window is open and a worker has room for it."""
        open_ = (
            self.fleet.reports.on
            or self.active <= 0
            or (  # they tell of their room, or are to show it
                self.active + job.request.slots + self.room.kept(now, job) <= self.window
            )
        )
        worker = self._choose(now, job) if open_ else None
        if worker is None:
            self.room.wait(now, job, self._ring(-1, job.cls.kind)[1])
        return worker is not None and self._send(now, job, worker)

    def _choose(self, now: float, job: Job) -> Worker | None:
        key = job.request.key
        holders = [p for p in self.holders.get(key, ()) if job.cls.kind in (-1, p.worker.kind)]
        best, most, ties = None, -1.0, 1
        for pair in holders:
            if pair.pending >= most and self._has_room(now, job, pair.worker):
                if pair.pending > most:
                    best, most, ties = pair.worker, pair.pending, 1
                else:
                    ties += 1
                    if self.random.random() * ties < 1.0:
                        best = pair.worker
        if best is not None:
            return best
        sick = self.fleet.health.sick
        if now < job.spill_at and any(p.worker.ready and not sick(now, p.worker) for p in holders):
            # A spill makes another worker fetch the key, in slots that jobs need, from a store that all
            # share: while that takes longer than waiting for a holder, wait. But not for one that is sick.
            return None
        if (kept := self.room.place(now, job)) and self._has_room(now, job, kept):
            return kept
        new = self.fleet.turn(now, job, lambda w: self._well(now, w))
        if new is not None and self._has_room(now, job, new):
            return new
        first, second = self.s.zone, -1
        run = self.runs[job.request.job_class].value
        if key and self.fetch.value * FETCHES_SAVED > self.s.price_cross * run:
            first, second = second, first  # one home in the fleet rather than one in each zone
        best = self._spill(now, job, first)
        if best is None and self.s.zones > 1:
            best = self._spill(now, job, second)
        return best

    def _well(self, now: float, w: Worker) -> bool:
        return w.ready and now >= w.off_until and not w.doubts and not w.bad

    def _ring(self, zone: int, kind: int) -> tuple[list[int], list[Worker]]:
        ring = self.rings.get((zone, kind))
        if ring is None:
            places = sorted(
                (mix(w.point + i & MASK), w.id)
                for w in self.workers.values()
                if w.ready and zone in (-1, w.zone) and kind in (-1, w.kind)
                for i in range(round(POINTS * self.fleet.speed(w)) or 1)
            )
            ring = self.rings[zone, kind] = ([p for p, _ in places], [self.workers[w] for _, w in places])
        return ring

    def _spill(self, now: float, job: Job, zone: int) -> Worker | None:
        """Fewest active keys, then least pending, among a sample.

        On a large fleet a scan for each job costs too much, and every dispatcher would find the same fresh
        worker. The sample is drawn by the key: dispatchers that share nothing look in the same few places.
        """
        places, workers = self._ring(zone, job.cls.kind)
        if not places:
            return None
        key, bits = job.request.key, self.random.getrandbits
        if key and self.fleet.reports.on:  # a home that would have to fetch it gets it where none waits
            return next(
                (
                    w
                    for w in self.fleet.order(key, (zone, job.cls.kind), workers)
                    if self._has_room(now, job, w) and not self.fleet.wait(now, job, w)
                ),
                None,
            )
        homes = self.fleet.homes(key, SAMPLE) if key else ()
        for i in homes:
            # Dispatchers that see little of a key send it where all others do: it is held there, as far as
            # anybody can tell who has sent it nowhere himself.
            worker = workers[bisect(places, mix(key + i * 0x9E3779B97F4A7C15 & MASK)) % len(places)]
            if self._has_room(now, job, worker) and self.fleet.draw(now, job, worker):
                return worker
        best, rank, ties, seen = None, (0.0, 0.0, 0.0), 1, 0
        for i in range(2 * SAMPLE):
            at = mix(key + i * 0x9E3779B97F4A7C15 & MASK) if key and not homes and i < SAMPLE else bits(64)
            worker = workers[bisect(places, at) % len(places)]
            if worker is not best and self._has_room(now, job, worker) and self.fleet.draw(now, job, worker):
                own = (len(worker.keys), worker.pending, self.fleet.load(now, worker))
                seen += 1
                if best is None or own < rank:
                    best, rank, ties = worker, own, 1
                elif own == rank:
                    ties += 1
                    if self.random.random() * ties < 1.0:
                        best = worker
                if seen >= WIDTH:
                    break
        return best

    def _has_room(self, now: float, job: Job, w: Worker) -> bool:
        """Whether this worker is under its threshold, in health, and open to this job."""
        there = w.pending + self.beside.get(w.id, 0.0)
        full = there > 0 and there + job.request.slots > w.limit and not self.fleet.reports.on
        if not w.ready or now < w.off_until or full or job.cls.kind not in (-1, w.kind):
            return False
        if w.pace > 1.0 and now < job.aim_at:
            # A machine shared with another program still starts jobs and ends them late. What was seen of it
            # counts for less the longer ago it was, or it would never be tried again.
            slow = (w.pace - 1.0) * TRUST / (TRUST + now - w.pace_at)
            if now + slow * job.work > job.aim_at:
                return False
        if job.cls.effect == "at_most_once" and (w.doubts or self.fleet.strange(now, w)):
            return False  # a doubtful worker is tried with jobs that may be repeated
        if w.bad and self.fleet.health.sick(now, w) and (w.pending > 0 or job.cls.effect == "at_most_once"):
            # A worker that fails fast has room at all times and draws job after job: one at a time, and none
            # that a failure would end.
            return False
        if now < w.warm_at and not self.fleet.may_warm(now, job, w):
            return False
        if self.fleet.crowded(now, job, w):
            return False
        return may_send(self.s, now, job, w) and self.room.may_take(now, job, w)

    def may_begin(self, now: float, request: int, attempt: int) -> bool:
        """Whether the first byte of an attempt may still go out, though its connection came up late."""
        job = self.jobs.get(request)
        if job is None or job.done or attempt >= len(job.attempts):
            return False
        return job.attempts[attempt].worker.ready and now < window_end(job, attempt)

    # Sending and answering

    def _send(self, now: float, job: Job, worker: Worker) -> bool:
        request = job.request
        if not may_send(self.s, now, job, worker):
            return False
        pair = self._hold_key(now, request.key, worker) if request.key else None
        attempt = Attempt(job, len(job.attempts), worker, pair, now)
        attempt.queued = self.fleet.queued(now, job, worker)
        attempt.waits = self.fleet.wait(now, job, worker)
        job.attempts.append(attempt)
        worker.pending += request.slots
        self.active += request.slots
        if pair:
            pair.pending += request.slots
        self.fleet.sent(now, job, worker)
        if worker.limit < 1.0:
            # On a big fleet our fair part of a worker is under one slot: leave it alone in between.
            worker.off_until = now + self.runs[request.job_class].value / worker.limit
        if worker.doubts:
            worker.off_until = now + self._patience(job) * (1 + worker.doubts)
        self.room.sent(now, attempt)
        self.act.send(request.id, worker.id, 0.0)
        self.watch[self._watch_of(job)].append((now + self._patience(job), attempt))
        self._tick_soon(now)
        return True

    def _hold_key(self, now: float, key: int, worker: Worker) -> Pair:
        pair = worker.keys.pop(key, None)
        if pair is None:
            for old in list(islice(worker.keys.values(), 2)):
                if old.pending <= 0 and (
                    len(worker.keys) >= self.fleet.kept(worker)
                    or now - old.used > KEEP * min(old.uses, KEEP_USES)
                ):
                    self._drop_pair(old)
                else:
                    worker.keys[old.key] = worker.keys.pop(old.key)
            pair = Pair(key, worker)
            self.holders.setdefault(key, []).append(pair)
        worker.keys[key] = pair
        pair.used = now
        pair.uses += 1
        return pair

    def _hold(self, now: float, job: Job) -> None:
        """Keeps a job that nothing has room for, rather than burn its attempts."""
        if self.room.hopeless(job):
            self._finish(now, job)
        elif not job.held:
            job.held = True
            self.serial += 1
            job.order = (-job.value, self.serial)
            insort(self.held, (job.order, job), key=lambda item: item[0])
            self._tick_soon(now)

    def _finish(self, now: float, job: Job) -> None:
        """Our final answer: refused where that is true, failed otherwise."""
        if job.done:
            return
        job.done = True
        if may_refuse(job):
            self.act.refuse(job.request.id, min(self.s.max_retry_after, 0.25))
        else:
            self.act.fail(job.request.id)
        self._close(job)

    def _close(self, job: Job) -> None:
        job.done, job.held = True, False
        self.room.over(job)
        for a in job.attempts:
            if a.state == OUT and self.s.can_cancel:
                self.act.cancel(job.request.id, a.index)
        if not job.out():
            self.jobs.pop(job.request.id, None)

    def _retry(self, now: float, job: Job) -> None:
        """A job whose attempt failed goes on, waits, or is answered."""
        if job.done or job.out():
            return
        if len(job.attempts) >= self.s.max_attempts or now >= job.request.give_up_at - 0.01:
            self._finish(now, job)
        elif job.cls.effect == "at_most_once" and any(a.state != NEVER_RAN for a in job.attempts):
            self._finish(now, job)
        else:
            left = self.s.max_attempts - len(job.attempts)
            if left < self.s.max_attempts // 2:
                # Full everywhere: the attempts left are spread over the time left, not burnt in a moment.
                job.next_at = now + max(job.late_at - now, 0.0) / (left + 1)
            if job.next_at > now or not self._place(now, job):
                self._hold(now, job)

    def _pump(self, now: float, tries: int, freed: Worker | None = None) -> None:
        """Places held jobs, best worth for their work first; a freed worker looks for keys that it holds."""
        if freed is not None and (due := self.room.due(now, freed)) and self._has_room(now, due, freed):
            due.held = not self._send(now, due, freed)
        index = 0
        while index < min(len(self.held), 48) and tries > 0:
            job = self.held[index][1]
            if job.done or not job.held:
                del self.held[index]
                continue
            index += 1
            if now < job.next_at:
                continue
            if freed is not None and job.request.key in freed.keys:
                placed = self._has_room(now, job, freed) and self._send(now, job, freed)
            elif freed is not None and now < job.spill_at:
                continue
            else:
                placed = self._place(now, job)
            tries -= 1
            if placed:
                job.held = False
                index -= 1
                del self.held[index]

    # What is heard of attempts

    def _watch_of(self, job: Job) -> int:
        return 0 if self.s.tells_start else 2 + job.request.job_class

    def _patience(self, job: Job) -> float:
        """How long an attempt may show no sign of life, by what the fleet shows."""
        if self.s.tells_start:
            return max(self.wait.value + 6.0 * self.wait.dev, 0.5 * self.runs[0].value)
        run = self.runs[job.request.job_class]
        return max(run.value + 5.0 * run.dev, 1.5 * run.value)

    def on_note(self, now: float, note: Note) -> None:
        """An attempt has started or made progress."""
        job = self.jobs.get(note.request)
        if job is None or note.attempt >= len(job.attempts):
            return
        attempt = job.attempts[note.attempt]
        worker = attempt.worker
        self._alive(now, worker)
        if attempt.sign == 0.0 and self.s.tells_start:
            attempt.begun = now
            self.room.started(now, attempt)
            wait = now - attempt.sent
            worker.reached = max(worker.reached, attempt.sent)
            self.wait.add(min(wait, 3.0 * self._patience(job)))
            if wait > PATIENT * job.cls.aim:
                self._less(now, worker, 0.5 * min(wait, job.cls.aim), LEAST * self.fair)
            elif worker.pending >= worker.limit - 1.0:
                worker.limit += RAISE * self.fair
            for other in job.attempts:
                if other is not attempt and other.state == OUT and other.sign == 0.0 and self.s.can_cancel:
                    self.act.cancel(job.request.id, other.index)
        if attempt.sign == 0.0 and self.s.progress > 0:
            self.watch[1].append((now + 1.3 * self.s.progress, attempt))
        attempt.sign = now

    def _less(self, now: float, worker: Worker, off: float, least: float) -> None:
        """A late start or 'full' tells of others' jobs, which are hidden: a lower threshold, a step off."""
        worker.limit = max(min(least, worker.limit), CUT * min(worker.limit, worker.pending + 1.0))
        worker.off_until = max(worker.off_until, now + off)

    def _steer(self, late: bool, slots: float, loss: float) -> None:
        """The window of jobs out: when a good part ends late, more at once only makes more of them late."""
        if late:
            floor = max(2.0, 2.0 * self.ready / self.s.instances)  # our part of two slots a worker
            self.window = max(min(self.window, self.active + slots) - CLOSE * slots * loss, floor)
        elif self.active + slots > 0.7 * self.window:
            self.window += OPEN * slots

    def _alive(self, now: float, worker: Worker) -> None:
        worker.sign_at, worker.breaks = now, 0
        if worker.doubts:
            worker.doubts = 0
            worker.off_until = now
            self.silent.pop(worker.id, None)

    def _suspect(self, now: float, worker: Worker, base: float) -> bool:
        """Silence where peers answer: stop sending, come back gently. If half are silent, it is not they."""
        if worker.id not in self.silent and 2 * (len(self.silent) + 1) > self.ready + 1:
            return False
        self.silent[worker.id] = worker
        worker.doubts = min(worker.doubts + 1, 5)
        worker.off_until = now + base * 2 ** (worker.doubts - 1)
        return True

    def on_outcome(self, now: float, o: Outcome) -> None:
        """An attempt has ended."""
        job = self.jobs.get(o.request)
        if job is None or o.attempt >= len(job.attempts):
            return
        attempt = job.attempts[o.attempt]
        if attempt.state != OUT:
            return
        worker, pair, status = attempt.worker, attempt.pair, o.status
        attempt.state = NEVER_RAN if status in PROOFS else MAYBE_RAN
        worker.pending -= job.request.slots
        self.fleet.ended(now, job, worker)
        if not attempt.lost:
            self.active -= job.request.slots
        if pair:
            pair.pending -= job.request.slots
            if (
                status != Status.OK
                and status != Status.CANCELLED
                and pair.pending <= 0
                and (status != Status.FULL or pair.uses <= 1)
            ):
                self._drop_pair(pair)
        free = o.report[self.s.slot_reports] if 0 <= self.s.slot_reports < len(o.report) else -1.0
        self.room.ended(now, attempt, status, free)
        if o.report:
            self.fleet.health.heard(now, worker, o.report, self.workers.values())
        if status in (Status.OK, Status.FULL):
            run = now - attempt.begun if attempt.begun else 0.0
            late = now - attempt.sent > job.cls.aim + job.cls.stretch * max(job.work, 0.6 * run)
            if status == Status.OK:
                self._steer(late and not attempt.lost, job.request.slots, 1.0 - job.cls.late_worth)
            bad = status == Status.FULL or late
            self.crowd += 0.02 * (bad - self.crowd)
        if status == Status.OK:
            self._alive(now, worker)
            worker.fulls = 0
            self.fleet.health.served(now, worker)
            if not self.s.tells_start and worker.pending >= worker.limit - 1.0:
                worker.limit += RAISE * self.fair
            begun = attempt.begun or attempt.sent
            self._learn_run(now, attempt, now - begun)
        elif status == Status.FULL:
            # Full by others' jobs: step off for about as long as a slot takes to come free.
            self._alive(now, worker)
            worker.fulls = min(worker.fulls + 1, 4)
            self.fleet.full(now, worker)
            self._less(now, worker, self.runs[0].value * min(0.15 * 2**worker.fulls, 2.0), self.fair)
        elif status in (Status.CONNECT_FAILED, Status.RESET):
            worker.breaks += 1
            if status == Status.CONNECT_FAILED or worker.breaks > 1:
                # It may have died or been replaced: it holds nothing, and comes back cold. One reset alone is
                # the network's as often: a worker that has died refuses the next connection.
                self._forget(worker)
                self._suspect(now, worker, 0.5)
        elif status == Status.ERROR:
            worker.sign_at = now
            self.fleet.health.failed(now, worker, self.workers.values())
        if o.closed or job.done:
            if not job.done:
                self._close(job)
            elif not job.out():
                self.jobs.pop(o.request, None)
        else:
            self._retry(now, job)
        if self.held and status != Status.FULL:
            self._pump(now, 3, worker)

    def _learn_run(self, now: float, attempt: Attempt, run: float) -> None:
        job, worker = attempt.job, attempt.worker
        mean = self.runs[job.request.job_class]
        run = max(run, 1e-3)
        self.fleet.ran(now, job, worker, run, self.workers)
        usual = job.work if job.request.hint else mean.value
        ratio = max(run - self.fetch.value * attempt.fresh, 0.0) / usual
        worker.pace += 0.3 * (min(ratio, 5.0) - worker.pace)
        worker.pace_at = now
        if attempt.fresh:
            self.fetch.add(max(run - usual, 0.0))
            if mean.count > 20:
                return
        mean.add(min(run, 5.0 * mean.value))
        if job.request.hint and not attempt.fresh and not attempt.waits:
            self.fleet.works.ended(job.request.job_class, job.request.hint, run)

    def on_gone(self, now: float, request: int) -> None:
        """The client has left; nothing is owed any more."""
        job = self.jobs.get(request)
        if job is not None and not job.done:
            self._close(job)

    def on_first(self, now: float, request: int, attempt: int) -> None:
        """A streamed answer has begun: the other copies are of no more use."""
        job = self.jobs.get(request)
        if job is not None and attempt < len(job.attempts):
            self._alive(now, job.attempts[attempt].worker)
            job.done = True

    def on_beside(self, pending: Mapping[WorkerId, float], others: int) -> None:
        """In an upgrade two processes serve as one dispatcher: together they keep to its part."""
        self.beside, self.fleet.cold.parts = pending, 1 + others

    def avoided(self, now: float) -> list[WorkerId]:
        """The workers that something is held against: they are silent, or fail their jobs."""
        sick = self.fleet.health.sick
        return [w.id for w in self.workers.values() if w.ready and (w.doubts or sick(now, w))]

    def on_probed(
        self, now: float, worker: WorkerId, status: int, latency: float, report: Sequence[float]
    ) -> None:
        """A worker answered a probe, or did not."""
        known = self.workers.get(worker)
        if known and status == Status.OK:
            self.fleet.reports.heard(now, known, report)
            self._alive(now, known)
        elif known and self.fleet.reports.failed(now, worker) > 1 and known.ready:
            self._suspect(now, known, 1.0)
            for attempt in [a for job in self.jobs.values() for a in job.attempts if a.worker is known]:
                self._check(now, attempt, self.watch[self._watch_of(attempt.job)])

    # Time

    def _tick_soon(self, now: float) -> None:
        if not self.ticking:
            self.ticking = True
            self.act.timer(now + TICK, 0)

    def on_timer(self, now: float, token: int) -> None:
        """One timer drives everything that waits."""
        self.ticking = False
        if now >= self.ask_at > 0.0:
            self.ask_at = float("inf")
            self.act.subscribe()
        for asked in self.fleet.reports.due(now, self.workers.values()):
            self.act.probe(asked)
        for watch in self.watch:
            while watch and watch[0][0] <= now:
                self._check(now, watch.popleft()[1], watch)
        if self.held:
            self._open(now)
            for item in self.held:
                job = item[1]
                if job.held and not job.out() and job.late_at <= now:
                    self._finish(now, job)
                elif job.aim_at <= now and job.value > 0 and item[0][0] == -job.value:
                    # It can only come late now: it must not make those late that still can be in time.
                    job.value *= job.cls.late_worth
                    job.order = (-job.value, job.order[1])
            left = [(j.order, j) for _, j in self.held if j.held and not j.done]
            self.held = sorted(left, key=lambda item: item[0])
            self._pump(now, 8)
        if self.held or self.ask_at < float("inf") or self.fleet.reports.on or any(self.watch):
            self._tick_soon(now)

    def _open(self, now: float) -> None:
        """Tries who has just started with the smallest job that waits: larger ones are over its budget."""
        waiting = [j for _, j in self.held if j.held and not j.done and now >= j.next_at]
        job = min(waiting, key=lambda j: j.work * j.request.slots, default=None)
        w = self.fleet.turn(now, job, lambda w: self._well(now, w)) if job else None
        if job and w and w.sign_at < w.up_since and not w.pending:
            if self._has_room(now, job, w) and self._send(now, job, w):
                job.held = False

    def _check(self, now: float, attempt: Attempt, watch: deque[tuple[float, Attempt]]) -> None:
        """An attempt should have shown life by now."""
        job, worker = attempt.job, attempt.worker
        if attempt.state != OUT:
            return
        if not attempt.sign and now < attempt.sent + attempt.queued:
            # Others' jobs stood before it, as the list told when it was sent: that it waits is no silence.
            watch.append((now + self._patience(job), attempt))
            return
        seen = attempt.sign if watch is self.watch[1] else attempt.sent
        if watch is self.watch[0] and attempt.sign:
            return
        if watch is self.watch[1] and now - seen < 1.2 * self.s.progress:
            watch.append((seen + 1.3 * self.s.progress, attempt))
            return
        if worker.sign_at <= seen and worker.ready:
            self._suspect(now, worker, 1.0)
        # Its queue is served in order: what has not begun when later ones have is not in it.
        # One that fetches its key says that it has begun only after that.
        order = ORDER + 3.0 * self.fetch.value
        overtaken = self.s.fifo and watch is self.watch[0] and attempt.sent + order < worker.reached
        silent = worker.doubts > 0 or not worker.ready or overtaken
        if silent and not attempt.lost:
            attempt.lost = True
            self.active -= job.request.slots
        if not silent and watch is self.watch[0] and self.s.fifo and job.cls.effect == "idempotent":
            watch.append((now + self._patience(job), attempt))  # others may still overtake it
        if job.done or job.out() > 1 or not silent or self.hedges < 1.0:
            return
        # Its worker has gone silent: a second copy where class, group and memory allow.
        if self.s.second_copies and self._place(now, job):
            self.hedges -= 1.0
        elif (
            not self.s.second_copies
            and self.s.can_cancel
            and job.cls.effect == "idempotent"
            and (len(job.attempts) < self.s.max_attempts and self._another(job))
        ):
            # The last one is let run, and one that nobody else can take: nothing could follow it.
            self.act.cancel(job.request.id, attempt.index)

    def _another(self, job: Job) -> bool:
        """Whether a worker takes work that has not had this job yet."""
        tried = {a.worker.id for a in job.attempts if a.state != NEVER_RAN and a.worker.ready}
        return self.ready > len(tried)
