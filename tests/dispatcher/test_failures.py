"""Regression tests for failures of the scheduler, without the other parts of the dispatcher."""

from typing import Any

from larchgw.dispatcher.scheduling.interface import Member, Note, Outcome, Request, Status
from tests.support.bench import Rig


def end_after(rig: Rig, request: int, run: float) -> None:
    """Reports that a job started at once and ended after `run` seconds."""
    worker = rig.where(request)
    rig.d.on_attempt_progress(rig.now, Note(request, 0, worker))
    rig.now += run
    rig.end(request)


def test_a_slow_machine_that_still_starts_jobs_is_passed_over_for_a_while() -> None:
    rig = Rig(2)
    for n in range(20):
        job = rig.request(key=n + 1)
        end_after(rig, job, 0.2)
    slow = rig.request(key=100)
    worker = rig.where(slow)
    end_after(rig, slow, 2.0)
    assert rig.d.workers[worker].run_time_ratio > 1.5
    rig.d.workers[worker].run_time_ratio = 5.0  # as after a few more slow runs
    assert all(rig.where(rig.request(key=200 + n)) != worker for n in range(4))
    rig.now += 60.0
    assert worker in {rig.where(rig.request(key=300 + n)) for n in range(8) if rig.d.active_slots < 8}


def test_a_silent_worker_is_left_and_a_safe_job_goes_elsewhere() -> None:
    rig = Rig(6)
    job = rig.request(key=3)
    rig.wait(1.0)
    sends = rig.actions.sends[job]
    assert len(sends) == 2
    assert sends[0] != sends[1]
    later = rig.request(key=3)
    rig.wait(0.3)
    assert rig.where(later) != sends[0]


def test_when_most_are_silent_it_is_not_the_workers() -> None:
    rig = Rig(4)
    for n in range(8):
        rig.request(key=n + 1)
    rig.wait(1.0)
    assert len(rig.d.suspects) <= 2


def test_late_ends_close_the_window_and_jobs_wait() -> None:
    rig = Rig(4)
    for _ in range(20):
        jobs = [rig.request(key=n + 1) for n in range(12)]
        rig.now += 1.5
        for job in jobs:
            if job in rig.actions.sends:
                rig.end(job)
    assert rig.d.window < 24
    before = sum(map(len, rig.actions.sends.values()))
    for n in range(40):
        rig.request(key=n + 1)
    assert sum(map(len, rig.actions.sends.values())) - before < 40
    assert rig.d.queue


def test_full_steps_off_and_attempts_are_not_burnt() -> None:
    rig = Rig(3)
    job = rig.request(key=1)
    for _ in range(4):
        if job in rig.actions.sends and rig.d.jobs[job].in_flight():
            rig.end(job, Status.FULL)
    assert len(rig.actions.sends[job]) < rig.settings.max_attempts  # some attempts are left for later


def test_an_old_outcome_does_not_unhold_a_key_learned_anew() -> None:
    rig = Rig(1)
    job = rig.request(key=4)
    rig.members(Member(rig.ids[0], up_since=rig.now))  # restarted, so its keys are discarded
    rig.d.workers[rig.ids[0]].warm_at = 0.0
    again = rig.request(key=4)
    rig.end(job, Status.RESET)
    rig.end(again)
    assert rig.d.workers[rig.ids[0]].pending_slots == 0.0


def test_a_subscription_is_asked_for_at_once_and_again_later_after_a_failure() -> None:
    rig = Rig(2, must_subscribe=True)
    assert rig.actions.log.count(("subscribe",)) == 1
    rig.members(kind=3)
    assert rig.actions.log.count(("subscribe",)) == 1
    rig.wait(1.0)
    assert rig.actions.log.count(("subscribe",)) == 2


def test_a_repeat_that_can_only_come_late_is_refused_at_once() -> None:
    rig = Rig(2)
    late = Request(999, rig.now + 1.0, repeat=True)  # four of its five seconds have passed
    rig.d.on_request(rig.now, late)
    assert rig.answers(999) == ["refuse"]
    assert 999 not in rig.actions.sends


def test_a_worker_that_failed_a_job_gets_none_that_may_not_be_repeated_until_it_has_mended() -> None:
    rig = Rig(4, effect="at_most_once")
    first = rig.request()
    bad = rig.where(first)
    rig.end(first, Status.ERROR)
    rig.wait(8.0)  # after the back-off, when a job that may be repeated could be sent as a trial
    jobs = [rig.request() for _ in range(9)]
    assert bad not in {rig.where(j) for j in jobs}
    for job in jobs:
        rig.end(job)
    rig.wait(60.0)
    assert bad in {rig.where(rig.request()) for _ in range(16)}


def test_a_worker_that_fails_fast_does_not_draw_the_jobs() -> None:
    rig = Rig(4)
    bad, tried = rig.ids[0], 0
    for _ in range(200):
        job = rig.request()
        while rig.where(job) == bad:
            tried += 1
            rig.end(job, Status.ERROR)
        rig.wait(0.05)
        rig.end(job)
    assert 1 <= tried <= 6


def test_if_half_fail_it_is_not_they() -> None:
    rig = Rig(4)
    for _ in range(12):
        job = rig.request()
        rig.end(job, Status.ERROR)
        rig.d.on_client_gone(rig.now, job)
    assert rig.request() in rig.actions.sends
    assert sum(rig.d.fleet.health.is_failing(rig.now, w) for w in rig.d.workers.values()) <= 2


def test_a_report_of_errors_counts_as_a_failure_seen_and_the_same_report_once() -> None:
    rig = Rig(4, effect="at_most_once", fail_reports=0)
    job = rig.request()
    bad = rig.where(job)
    rig.d.on_outcome(rig.now, Outcome(job, 0, bad, Status.OK, True, 0.1, (3.0, 1.0)))
    worker = rig.d.workers[bad]
    assert worker.failure_share > 0
    rig.wait(60.0)
    worker.failure_share = 0.0
    later = next(j for j in (rig.request() for _ in range(16)) if rig.where(j) == bad)
    rig.d.on_outcome(rig.now, Outcome(later, 0, bad, Status.OK, True, 0.1, (3.0, 1.0)))
    assert worker.failure_share == 0.0


def test_nobody_waits_for_a_holder_that_is_sick() -> None:
    rig = Rig(4)
    held, failed = rig.request(key=7), rig.request(key=7)
    bad = rig.where(held)
    rig.end(failed, Status.ERROR)
    again = rig.request(key=7)
    assert again in rig.actions.sends
    assert rig.where(again) != bad


def test_one_reset_where_others_live_is_not_held_against_a_worker_but_two_are() -> None:
    rig = Rig(4)
    first, second, third = (rig.request(key=7) for _ in range(3))
    worker = rig.d.workers[rig.where(first)]
    rig.end(first, Status.RESET)
    assert not worker.suspicion
    assert 7 in worker.held_keys
    rig.end(second, Status.RESET)
    assert worker.suspicion
    assert 7 not in worker.held_keys
    rig.end(third)
    assert not worker.suspicion
    assert worker.connection_failures == 0


def test_a_safe_job_that_later_ones_have_overtaken_in_a_queue_in_order_goes_elsewhere() -> None:
    rig = Rig(4, fifo=True)
    lost = rig.request(key=7)
    worker = rig.where(lost)
    for _ in range(8):
        rig.wait(0.2)
        end_after(
            rig, rig.request(key=7), 0.01
        )  # the worker responds, so the lack of an answer alone proves nothing
        assert rig.where(rig.next) == worker
    rig.wait(1.0)
    assert len(rig.actions.sends[lost]) == 2
    assert rig.where(lost) != worker


def test_a_job_that_cannot_be_done_in_the_time_it_has_is_refused_at_once() -> None:
    rig = Rig(4, effect="at_most_once")
    for _ in range(8):
        end_after(rig, rig.request(), 2.0)
    rig.next += 1
    rig.d.on_request(
        rig.now, Request(rig.next, rig.now + 1.0)
    )  # for example because the dispatcher stops then
    assert rig.next not in rig.actions.sends
    assert rig.answers(rig.next) == ["refuse"]
    assert rig.request() in rig.actions.sends


def probing(**changes: Any) -> Rig:
    """Sets up boxes that report their slots only to probes, and do not report starts."""
    return Rig(can_probe=True, pull=True, slot_reports=0, tells_start=False, **changes)


def test_a_box_that_does_not_answer_probes_loses_its_safe_jobs_to_others_before_they_are_late() -> None:
    rig = probing(workers=4)
    job = rig.request(key=3)
    rig.wait(0.1)
    asked = [a[1] for a in rig.actions.log if a[0] == "probe"]
    assert set(asked) == set(rig.ids)
    for worker in rig.ids:
        rig.d.on_probe_result(rig.now, worker, Status.OK, 0.01, (6.0,))
    silent = rig.where(job)
    for _ in range(40):
        rig.wait(0.02)
        for a in [a for a in rig.actions.log if a[0] == "probe"]:
            rig.actions.log.remove(a)
            status = Status.TIMEOUT if a[1] == silent else Status.OK
            rig.d.on_probe_result(rig.now, a[1], status, 0.01, () if a[1] == silent else (6.0,))
    assert rig.d.workers[silent].suspicion
    assert rig.where(job) != silent
    later = rig.request(key=3)
    assert rig.where(later) != silent
    rig.d.on_probe_result(rig.now, silent, Status.OK, 0.01, (6.0,))
    assert not rig.d.workers[silent].suspicion  # one answer makes it usable again


def test_a_class_that_nobody_has_seen_end_is_tried_however_long_its_wanted_time_says_it_runs() -> None:
    """Guards against refusing a class for ever: without a stretch, the first run time estimate is the aim."""
    rig = Rig(2)
    rig.settings.classes[0].stretch = 0.0
    assert rig.request() in rig.actions.sends


def test_the_first_progress_of_a_job_is_no_late_start_where_starts_are_not_told() -> None:
    rig = probing(workers=2, progress=2.0)
    job = rig.request()
    worker = rig.d.workers[rig.where(job)]
    limit = worker.slot_limit
    rig.now += 2.0
    rig.d.on_attempt_progress(rig.now, Note(job, 0, worker.id, started=False, share=0.3))
    assert worker.slot_limit == limit
    assert not worker.avoid_until
