"""Estimates from few sights: what they may never say, and what dispatchers that see little do with them."""

import random
from collections.abc import Callable, Sequence
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchgw import Dispatcher, Settings
from larchgw.dispatcher.estimates import ColdStartLimiter, Fleet, Loads, Reports, ShrunkMean, WorkEstimates
from larchgw.dispatcher.estimates.keys import KeyShares
from larchgw.dispatcher.estimates.mixing import mix
from larchgw.dispatcher.estimates.quotas import Quotas
from larchgw.dispatcher.estimates.reports import (
    MAX_PROBE_INTERVAL,
    MAX_PROBE_RATE,
    PROBE_BUDGET,
    REPROBE_DELAY,
)
from larchgw.dispatcher.estimates.works import HintRegression
from larchgw.dispatcher.scheduling.interface import (
    JobClass,
    ListKind,
    Member,
    Request,
    Status,
    Tenant,
)
from larchgw.dispatcher.scheduling.records import IN_FLIGHT, Worker
from tests.support.bench import Recorder, Rig

SAFE = JobClass("proof", 1.0, 10.0, stretch=2.0, effect="idempotent")
RELEASE = JobClass("release", 4.0, 25.0, worth=8.0, stretch=2.0, effect="at_most_once")


def boxes(count: int, kind: int = 0) -> list[Worker]:
    workers = [Worker(Member(b"box%d" % n, kind=kind), 1.0) for n in range(count)]
    for w in workers:
        w.ready, w.kind = True, kind
    return workers


def weight(held: float, size: float = 9.0, cores: float = 5) -> float:
    return size / (1.0 + held / cores)


def listed(loads: Loads, now: float, workers: list[Worker], held: Sequence[int]) -> None:
    loads.on_weights(now, [(w, weight(h)) for w, h in zip(workers, held, strict=True)])
    loads.level_load(now, workers, 1.0)


def test_a_weight_tells_what_all_have_at_a_box() -> None:
    loads, workers = Loads(), boxes(4)
    listed(loads, 10.0, workers, [0, 1, 7, 20])
    assert loads.cores == 5.0
    assert [round(loads.requests_of_others(10.0, w), 6) for w in workers] == [0.0, 1.0, 7.0, 20.0]


def test_a_dispatcher_that_starts_when_no_box_is_idle_learns_better_as_soon_as_one_is() -> None:
    loads, workers = Loads(), boxes(6)
    listed(loads, 10.0, workers, [3, 4, 5, 7, 8, 9])
    assert loads.cores != 5.0  # the emptiest box passes for an idle one
    listed(loads, 10.8, workers, [0, 1, 2, 7, 8, 9])
    assert loads.cores == 5.0
    listed(loads, 11.6, workers, [2, 2, 2, 7, 8, 9])  # none has just one request
    listed(loads, 12.4, workers, [0, 1, 1, 7, 8, 9])
    assert loads.cores == 5.0
    assert loads.requests_of_others(12.4, workers[3]) == pytest.approx(7.0)


def test_our_own_slots_there_are_not_taken_for_others() -> None:
    loads, workers = Loads(), boxes(3)
    workers[0].pending_slots = 2.0
    listed(loads, 10.0, workers, [3, 1, 0])
    assert loads.requests_of_others(10.0, workers[0]) == pytest.approx(1.0)
    # What we sent just before the list came is not in it yet.
    workers[0].pending_slots = 3.0
    loads.on_own_slots(10.9, workers[0].id, 1.0)
    listed(loads, 11.0, workers, [3, 1, 0])
    assert loads.requests_of_others(11.0, workers[0]) == pytest.approx(1.0)


def test_what_a_list_said_of_one_box_fades_into_what_is_usual() -> None:
    loads, workers = Loads(), boxes(8)
    listed(loads, 10.0, workers, [0, 1, 1, 1, 9, 9, 9, 10])
    seen = [loads.requests_of_others(10.0 + age, workers[7]) for age in (0, 1, 3, 9, 60)]
    assert seen == sorted(seen, reverse=True)
    assert seen[-1] == pytest.approx(5.0, abs=0.1)


@given(st.lists(st.integers(0, 40), min_size=1, max_size=30), st.floats(0, 30), st.integers(0, 8))
def test_parts_lie_between_none_and_all_and_what_is_poured_is_what_comes(
    held: Sequence[int], age: float, own: int
) -> None:
    loads, workers = Loads(), boxes(len(held))
    listed(loads, 5.0, workers, held)
    sights = [loads.by_worker[w.id] for w in workers]
    assert sum(s.headroom for s in sights) == pytest.approx(sum(s.even_share for s in sights))
    for w in workers:
        w.pending_slots = float(own)
        assert 0.0 <= loads.acceptance_share(5.0 + age, w) <= 1.0
        assert loads.requests_of_others(5.0 + age, w) >= 0.0
    # Whoever holds less for the same speed never gets less.
    ranked = sorted(zip(held, (s.headroom for s in sights), strict=True))
    assert all(a[1] >= b[1] - 1e-9 for a, b in zip(ranked, ranked[1:], strict=False))


@given(st.lists(st.floats(0.01, 50.0), min_size=2, max_size=60))
def test_sights_outweigh_a_prior_and_the_same_sights_give_the_same(samples: list[float]) -> None:
    first, second = ShrunkMean(1.0), ShrunkMean(1.0)
    for sample in samples:
        before = first.weight
        first.add(sample)
        second.add(sample)
        assert first.weight > before
    assert first.value == second.value
    assert min(samples + [1.0]) - 1e-9 <= first.value <= max(samples + [1.0]) + 1e-9


def test_a_key_that_was_seen_once_is_taken_for_a_rare_one() -> None:
    keys = KeyShares()
    keys.on_arrival(7)
    assert keys.share(7) == 0.0
    for n in range(100):
        keys.on_arrival(9 if n % 4 == 0 else 1000 + n)
    assert 0.1 < keys.share(9) < 0.25
    for n in range(100_000):
        keys.on_arrival(n + 1)
    assert len(keys._counts) <= 1025


def settings(instances: int, **more: Any) -> Settings:
    return Settings(
        [SAFE, RELEASE],
        instances=instances,
        max_attempts=3,
        can_cancel=True,
        tells_start=True,
        cold_from=0.15,
        warm_up=22.0,
        tip_multiple=2.5,
        tip_span=3.0,
        max_retry_after=2.0,
        live_weights=True,
        **more,
    )


@pytest.mark.parametrize("seed", range(3))
def test_two_hundred_dispatchers_use_cold_boxes_and_together_push_none_over(seed: int) -> None:
    """Each of them has one job a second; what each saves up for a box alone would never come to a turn."""
    dice, s, cores, mean_job, jobs = random.Random(seed), settings(200), 5.0, 1.6, 200.0
    cold = boxes(30)
    for w in cold:
        w.up_since, w.warm_at = 100.0, 122.0
    turns = [ColdStartLimiter(s, n, lambda w: cores, lambda: mean_job, lambda: jobs) for n in range(200)]
    for t in turns:
        for w in cold:
            t.on_worker_started(100.0, w)
    sent: dict[bytes, list[float]] = {w.id: [] for w in cold}
    now, number = 100.0, 0
    while now < 121.0:
        now += dice.expovariate(jobs)
        number += 1
        one = turns[min(int(dice.paretovariate(1.5) * 20) - 20, 199)]  # some have several times the mean
        lot = mix(number + seed)
        worker = one.next_worker(now, lot, lambda w: True)
        # Whoever has another lot does not get in on this one's turn, as by a key that has its home there.
        assert worker is None or not one.may_send(now, worker, lot + 1, 1.0)
        if worker is not None and one.may_send(now, worker, lot, 1.0):
            one.on_sent(now, worker, 1.0)
            sent[worker.id].append(now)
    early = sum(at < 110.0 for times in sent.values() for at in times)
    assert early > 40  # of 2,000 that came: 30 boxes that can do 0.5 to 1.5 jobs a second each
    for w in cold:
        for at in sent[w.id]:
            within = sum(at <= x < at + s.tip_span for x in sent[w.id])
            rule = s.tip_multiple * cores * turns[0].warm_share(at, w) * s.tip_span / mean_job
            assert within <= rule + 1.0  # one job is the slack for chance


class Thin(Rig):
    """One of 200 dispatchers, whose list bears live weights."""

    def __init__(self, seed: int = 0, held: Sequence[int] = (0, *[2] * 29)) -> None:
        self.actions, self.now, self.next = Recorder(), 1000.0, 0
        self.d = Dispatcher(settings(200), seed, self.actions)
        self.list(held)

    def list(self, held: Sequence[int]) -> None:
        members = [Member(bytes([n]) * 6, size=weight(h)) for n, h in enumerate(held)]
        self.ids = [m.worker for m in members]
        self.members(*members, kind=ListKind.FULL)

    def ask(self, deadline: float = 10.0, **more: Any) -> int:
        self.next += 1
        self.d.on_request(self.now, Request(self.next, self.now + deadline, **more))
        return self.next


def always(value: float) -> Callable[[], float]:
    return lambda: value


@pytest.mark.parametrize("number", [40, 200])
def test_by_rota_cold_boxes_are_used_from_the_start_and_none_is_pushed_over(number: int) -> None:
    """Lots left a box that had just started a sixth of what it can do; the rota gives it a third or more."""
    dice, cores, mean_job, jobs = random.Random(number), 5.0, 1.6, 150.0
    cold = boxes(30)
    for w in cold:
        w.up_since, w.warm_at = 100.0, 122.0
    # No two estimate alike.
    guesses = [(dice.uniform(1.4, 1.8), dice.uniform(120.0, 180.0)) for _ in range(number)]
    turns = [
        ColdStartLimiter(settings(number, rank=n), n, lambda w: cores, always(m), always(f))
        for n, (m, f) in enumerate(guesses)
    ]
    for t in turns:
        for w in cold:
            t.on_worker_started(100.0, w)
    sent: dict[bytes, list[tuple[float, float]]] = {w.id: [] for w in cold}
    now = 100.0
    while now < 121.0:
        now += dice.expovariate(jobs)
        one = turns[dice.randrange(number)]
        size = dice.choice([0.3, 0.3, 0.5, 0.6, 3.0])  # in mean jobs, about
        worker = one.next_worker(now, 0, lambda w: True)
        if worker is not None and one.may_send(now, worker, 0, size):
            one.on_sent(now, worker, size)
            assert not one.may_send(now, worker, 0, size)  # a turn is one job
            sent[worker.id].append((now, size))
    early = sum(size for times in sent.values() for at, size in times if at < 106.0)
    can = sum(0.25 * 6.0 * cores / mean_job for _ in cold)  # mean jobs that they can do by then
    assert early > 0.3 * can
    for w in cold:
        for at, _ in sent[w.id]:
            within = sum(size for x, size in sent[w.id] if at <= x < at + 3.0)
            assert within <= 2.5 * cores * turns[0].warm_share(at, w) * 3.0 / mean_job


def test_two_processes_of_one_rank_do_not_both_take_its_turn_and_no_turn_outlives_its_box() -> None:
    worker = boxes(1)[0]
    worker.up_since, worker.warm_at = 100.0, 122.0
    turns = ColdStartLimiter(settings(40, rank=3), 1, lambda w: 5.0, lambda: 1.6, lambda: 120.0)
    turns.on_worker_started(100.0, worker)
    at = next(t / 10 for t in range(1000, 1220) if turns.own_turn(t / 10, worker))
    assert turns.next_worker(at, 0, lambda w: True) is worker
    assert turns.may_send(at, worker, 0, 0.5)
    turns.processes = 2  # an upgrade
    assert not turns.uses_rotation()
    assert not turns.may_send(at, worker, 0, 0.5)
    turns.processes = 1
    turns.on_sent(at, worker, 0.5)
    assert not turns.own_turn(at, worker)
    assert len(turns._used_turns) == 1
    turns.on_worker_started(at, worker)  # it has started anew
    assert turns.own_turn(at, worker)
    turns.on_sent(at, worker, 0.5)
    turns.remove(worker)
    assert not turns._used_turns


def test_cold_boxes_get_less_where_jobs_are_of_unlike_sizes() -> None:
    worker = boxes(1)[0]
    worker.up_since, worker.warm_at = 100.0, 122.0
    rates = [
        ColdStartLimiter(settings(200), 1, lambda w: 5.0, lambda: 1.6, lambda: 200.0, always(u)).rate(
            105.0, worker
        )
        for u in (1.0, 1.5, 2.0, 4.0)
    ]
    assert rates == sorted(rates, reverse=True)
    assert rates[-1] < 0.7 * rates[0]
    runs = WorkEstimates([SAFE, RELEASE])
    for _ in range(50):
        runs.on_arrival(0)
        runs.on_arrival(1)
        runs.on_run(0, 1.0, 1.0)
        runs.on_run(1, 5.0, 1.0)
    assert 1.3 < runs.size_dispersion() < 1.6


def test_dispatchers_that_never_saw_a_key_send_it_to_the_same_box() -> None:
    """Each sees a key once or twice; were they to pick for themselves, every one would have it fetched."""
    places = set()
    for seed in range(12):
        rig = Thin(seed)
        places.add(rig.where(rig.ask(key=77)))
    assert len(places) == 1


def test_a_crowded_home_is_passed_by_and_not_by_all_for_the_same_box() -> None:
    rig = Thin()
    home = rig.ids.index(rig.where(rig.ask(key=77)))
    places = set()
    for seed in range(40):
        rig = Thin(seed, [30 if n == home else 2 + n % 5 for n in range(30)])
        places.add(rig.ids.index(rig.where(rig.ask(key=77))))
    assert home not in places
    assert len(places) > 1


def test_a_job_that_stands_behind_others_is_not_taken_for_silence() -> None:
    rig = Thin(held=[8] * 30)
    job = rig.ask()
    assert rig.where(job) in rig.ids
    rig.wait(1.4)
    assert ("cancel", job, 0) not in rig.actions.log


def test_the_last_attempt_of_a_job_is_let_run_however_silent_its_box() -> None:
    rig = Thin()
    job = rig.ask()
    for _ in range(80):
        rig.wait(0.1)
        cancelled = [x[2] for x in rig.actions.log if x[0] == "cancel" and x[1] == job]
        for attempt in cancelled:
            if job in rig.d.jobs and rig.d.jobs[job].attempts[attempt].state == IN_FLIGHT:
                rig.end(job, Status.CANCELLED, attempt)
    assert len(rig.actions.sends[job]) == 3
    assert ("cancel", job, 1) in rig.actions.log
    assert ("cancel", job, 2) not in rig.actions.log
    assert rig.answers(job) == []


def test_no_release_goes_to_a_box_that_is_empty_among_busy_ones_list_after_list() -> None:
    for seed in range(20):
        rig = Thin(seed, [0, 5, 5])
        for _ in range(6):
            rig.wait(0.8)
            rig.list([0, 5, 5])
        release = rig.ask(25.0, job_class=1)
        assert rig.actions.sends.get(release, [rig.ids[1]])[0] != rig.ids[0]


def test_without_live_weights_nothing_is_read_out_of_them() -> None:
    rig = Rig(3, instances=200)
    job = rig.request(key=5)
    worker = rig.d.workers[rig.where(job)]
    assert rig.d.fleet.expected_delay(rig.now, rig.d.jobs[job], worker) == 0.0
    assert rig.d.fleet.relative_speed(worker) == 1.0
    assert not rig.d.fleet.is_underused(rig.now, worker)


@pytest.mark.parametrize("factor", [0.01, 1.0, 250.0])
def test_a_hint_that_is_off_by_any_factor_is_learned_and_makes_no_job_hopeless(factor: float) -> None:
    draw, line = random.Random(3), HintRegression()
    for _ in range(200):
        work = draw.uniform(0.1, 0.5)
        line.add(work * factor, work * 1.3 * draw.uniform(0.8, 1.25))
    for work in (0.1, 0.5):
        assert line.expected_run(work * factor) == pytest.approx(1.3 * work, rel=0.25)
        assert line.min_run(work * factor) < 1.4 * work
    assert line.expected_run(0.0) > 0.0


def test_a_hint_that_says_nothing_leaves_the_mean_and_what_adds_to_every_run_is_no_part_of_the_least() -> (
    None
):
    draw, noise, late = random.Random(4), HintRegression(), HintRegression()
    for _ in range(300):
        noise.add(draw.expovariate(1.0), draw.uniform(0.2, 0.4))
        work = draw.uniform(0.02, 0.4)
        late.add(work, work + 0.5)
    assert noise.expected_run(0.05) == pytest.approx(noise.expected_run(3.0), rel=0.35)
    assert late.expected_run(0.1) == pytest.approx(0.6, rel=0.1)
    assert late.min_run(0.1) < 0.13


ALL = (-1, -1)  # zones and kinds


def told_by_probes(**changes: Any) -> Settings:
    return Settings(
        [JobClass("p", 1.0, 5.0, effect="idempotent")],
        instances=4,
        can_probe=True,
        pull=True,
        slot_reports=0,
        price_probe=0.002,
        **changes,
    )


def test_probes_keep_to_their_price_and_to_what_a_box_takes_from_all_dispatchers() -> None:
    for jobs in (0, 40, 4000):
        reports, workers, sent = Reports(told_by_probes(), 5), boxes(10), 0
        for step in range(2000):
            now = step * 0.02
            for _ in range(round(jobs * 0.02)):
                reports.on_arrival(now)
            for name in reports.due_probes(now, workers):
                sent += 1
                reports.on_report(now, next(b for b in workers if b.id == name), (float(step % 7),))
        rate = sent / 40.0
        assert 0 < rate <= 10 * MAX_PROBE_RATE / 4 * 1.1, jobs
        assert jobs < 40 or rate * 0.002 / jobs <= 1.3 * PROBE_BUDGET


def test_a_box_that_does_not_answer_is_asked_again_at_once_and_then_no_oftener_than_others() -> None:
    reports, box = Reports(told_by_probes(), 5), boxes(1)[0]
    assert reports.due_probes(0.0, [box]) == [box.id]
    assert reports.due_probes(0.1, [box]) == []
    assert reports.on_probe_failed(0.2, box.id) == 1
    assert reports.due_probes(0.2 + REPROBE_DELAY, [box]) == [box.id]
    assert reports.on_probe_failed(0.5, box.id) == 2
    assert reports.due_probes(0.5 + REPROBE_DELAY, [box]) == []
    assert reports.due_probes(0.5 + 2 * MAX_PROBE_INTERVAL, [box]) == [box.id]
    reports.on_report(3.0, box, (3.0,))
    assert reports.due_probes(3.0 + 2 * MAX_PROBE_INTERVAL, [box]) == [box.id]
    assert reports.on_probe_failed(9.0, box.id) == 1


def test_what_others_have_is_what_reports_show_less_ours_and_fades_when_none_comes() -> None:
    reports, box = Reports(told_by_probes(), 5), boxes(1)[0]
    reports.due_probes(0.0, [box])
    reports.on_report(0.0, box, (8.0,))
    box.pending_slots = 2.0
    reports.on_own_slots(0.1, box.id, 2.0)
    for n in range(1, 30):
        reports.on_report(1.0 + n * 0.5, box, (3.0 + 0.01 * n,))
    assert reports.slots(box) == 8.0
    assert reports.slots_of_others(15.5, box) == pytest.approx(3.0, abs=0.5)
    assert reports.expected_delay(15.5, box, 1.0, 0.5) == 0.0
    assert reports.expected_delay(15.5, box, 1.0, 0.5, share=0.2) > 0.0  # it is cold
    box.pending_slots = 9.0
    assert reports.expected_delay(15.5, box, 1.0, 0.5) > 0.0
    box.pending_slots = 2.0
    assert reports.slots_of_others(60.0, box) < 0.01  # a report that is old shuts nobody out
    reports.on_report(61.0, box, ())  # nor does an answer that tells nothing
    reports.on_report(61.0, box, (-5.0,))
    assert reports.slots_of_others(61.0, box) <= 8.0


def test_all_dispatchers_look_for_a_key_at_the_same_boxes_and_a_frequent_one_has_more_of_them() -> None:
    workers = boxes(16)
    fleets = [Fleet(told_by_probes(rank=seed), seed) for seed in range(4)]
    for fleet in fleets:
        fleet.on_member_list(0.0, [], workers)
    rare = {tuple(w.id for w in fleet.ranked_workers(77, ALL, workers)) for fleet in fleets}
    assert len(rare) == 1
    assert len(next(iter(rare))) == 2
    for fleet in fleets:
        for n in range(400):
            fleet.on_arrival(0.0, 0, 5 if n % 4 == 0 else 1000 + n)
    firsts = {fleet.ranked_workers(5, ALL, workers)[0].id for fleet in fleets}
    assert len(firsts) == 4  # each dispatcher keeps to one of its homes ...
    homes = {tuple(sorted(w.id for w in fleet.ranked_workers(5, ALL, workers))) for fleet in fleets}
    assert len(homes) == 1  # ... of the same
    elsewhere = Fleet(told_by_probes(rank=2, zone=1, zones=2), 9)
    for w in workers:
        w.zone = int(w.id != next(iter(firsts)))
    elsewhere.on_member_list(0.0, [], workers)
    for n in range(400):
        elsewhere.on_arrival(0.0, 0, 5 if n % 4 == 0 else 1000 + n)
    assert elsewhere.ranked_workers(5, ALL, workers)[0].zone == 1  # and to one of its own zone first
    spread = [fleets[1].ranked_workers(key, ALL, workers)[0].id for key in range(1, 3000)]
    assert max(map(spread.count, set(spread))) < 1.4 * 3000 / 16
    gone = workers[0]
    before = {key: fleets[2].ranked_workers(key, ALL, workers)[0].id for key in range(1, 500)}
    fleets[2].clear_rankings()
    after = {key: fleets[2].ranked_workers(key, ALL, workers[1:])[0].id for key in range(1, 500)}
    assert all(after[key] == home for key, home in before.items() if home != gone.id)  # the rest stay


def test_the_homes_of_a_key_among_boxes_of_one_kind_are_none_for_a_class_that_runs_on_another() -> None:
    classes = [JobClass(f"on{kind}", 1.0, 5.0, effect="idempotent", kind=kind) for kind in (0, 1)]
    actions = Recorder()
    dispatcher = Dispatcher(Settings(classes, kinds=2, can_probe=True, pull=True, slot_reports=0), 1, actions)
    dispatcher.on_members(1.0, ListKind.FULL, [Member(b"k%d%d" % (n % 2, n), kind=n % 2) for n in range(8)])
    for n in range(16):  # the same keys, first by one class and then by the other
        dispatcher.on_request(1.0, Request(n, 9.0, job_class=n % 2, key=1 + n // 2))
    assert {request % 2 for request in actions.sends} == {0, 1}
    assert len(actions.sends) > 12
    assert all(worker.startswith(b"k%d" % (request % 2)) for request, (worker,) in actions.sends.items())


def test_what_a_box_says_that_waits_there_counts_with_what_runs() -> None:
    """A full queue and a short one look alike by free slots: both have none."""
    told = told_by_probes()
    told.queue_reports = 1
    reports, box = Reports(told, 5), boxes(1)[0]
    reports.due_probes(0.0, [box])
    reports.on_report(0.0, box, (8.0, 0.0))
    for n in range(1, 30):
        reports.on_report(n * 0.5, box, (0.01 * n, 12.0))
    assert reports.slots_of_others(14.5, box) == pytest.approx(20.0, abs=0.5)


def test_a_box_that_turned_a_job_away_is_taken_for_crowded_and_that_fades() -> None:
    reports, box = Reports(told_by_probes(), 5), boxes(1)[0]
    reports.on_full(0.0, box)  # never probed: nothing is known, nothing is held against it
    assert reports.slots_of_others(0.0, box) == 0.0
    reports.due_probes(0.0, [box])
    reports.on_report(0.0, box, (8.0,))
    reports.on_full(1.0, box)
    assert reports.slots_of_others(1.0, box) == 16.0
    assert reports.expected_delay(1.0, box, 1.0, 0.5) > 0.0
    assert reports.slots_of_others(60.0, box) < 0.01


def test_without_keys_the_box_with_less_of_others_work_is_taken() -> None:
    told = Settings([SAFE], slot_reports=0, pull=True, can_probe=True, instances=4, tells_start=True)
    actions, now = Recorder(), 100.0
    d = Dispatcher(told, 3, actions)
    d.on_members(now, ListKind.FULL, [Member(b"box%d" % n) for n in range(2)])
    d.fleet.reports.due_probes(now, d.workers.values())
    for n, free in enumerate((8.0, 7.0)):
        d.on_probe_result(now, b"box%d" % n, Status.OK, 0.01, (free,))
    took = []
    for n in range(20):
        d.on_request(now, Request(n + 1, now + 10.0, key=0))
        took += actions.sends[n + 1]
        d.on_client_gone(now, n + 1)
        for worker in d.workers.values():
            worker.pending_slots = 0.0
    assert took.count(b"box0") >= 15  # two are compared, and a sample may hold one box twice


@pytest.mark.parametrize(("sized", "share"), [(True, 0.75), (False, 0.5)])
def test_jobs_go_by_the_sizes_that_the_list_tells_where_the_settings_say_that_it_does(
    sized: bool, share: float
) -> None:
    took = 0.0
    for seed in range(12):
        d, now = Dispatcher(Settings([SAFE], sized=sized, instances=40), seed, Recorder()), 100.0
        members = [Member(b"%06d" % (97 * n + seed), size=6.0 if n % 2 else 2.0) for n in range(40)]
        d.on_members(now, ListKind.FULL, members)
        places, workers = d._ring(-1, -1)
        took += sum(w.id in {m.worker for m in members if m.size == 6.0} for w in workers) / len(workers)
    assert took / 12 == pytest.approx(share, abs=0.04)


def test_sizes_that_cannot_be_believed_shut_nobody_out() -> None:
    d, now = Dispatcher(Settings([SAFE], sized=True), 1, Recorder()), 100.0
    d.on_members(
        now, ListKind.FULL, [Member(b"%06d" % n, size=size) for n, size in enumerate((0.0, -1.0, 1.0, 1e9))]
    )
    assert {w.id for w in d._ring(-1, -1)[1]} == set(d.workers)
    d.on_members(now, ListKind.FULL, [Member(b"%06d" % n, size=0.0) for n in range(3)])
    assert len({w.id for w in d._ring(-1, -1)[1]}) == 3


def test_a_tenant_is_over_its_quota_beyond_two_seconds_of_it_and_less_so_with_time() -> None:
    tenants = [Tenant("free"), Tenant("small", quota=4.0), Tenant("large", quota=40.0)]
    quotas = Quotas(Settings([SAFE], tenants=tenants, instances=4))
    over = [[quotas.exceeds(100.0, tenant) for _ in range(30)].index(True) for tenant in (1, 2)]
    assert over == [3, 20]  # three jobs at least, and two seconds of 10 jobs
    assert not any(quotas.exceeds(100.0, tenant) for tenant in (0, 3) for _ in range(30)), (
        "they have no quota"
    )
    assert [quotas.exceeds(101.0, 1) for _ in range(2)] == [False, True], "one has drained in a second"
    assert not quotas.exceeds(200.0, 2)
