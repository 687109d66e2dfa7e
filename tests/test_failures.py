"""A small test for each failure found: the module alone, no bench."""

from bench import Rig

from larchgw.interface import Member, Note, Request, Status


def end_after(rig: Rig, request: int, run: float) -> None:
    """Starts a job at once and ends it after `run` seconds."""
    worker = rig.where(request)
    rig.d.on_note(rig.now, Note(request, 0, worker))
    rig.now += run
    rig.end(request)


def test_a_slow_machine_that_still_starts_jobs_is_passed_over_for_a_while():
    rig = Rig(2)
    for n in range(20):
        job = rig.request(key=n + 1)
        end_after(rig, job, 0.2)
    slow = rig.request(key=100)
    worker = rig.where(slow)
    end_after(rig, slow, 2.0)
    assert rig.d.workers[worker].pace > 1.5
    rig.d.workers[worker].pace = 5.0  # as after a few more
    assert all(rig.where(rig.request(key=200 + n)) != worker for n in range(4))
    rig.now += 60.0
    assert worker in {rig.where(rig.request(key=300 + n)) for n in range(8) if rig.d.active < 8}


def test_a_silent_worker_is_left_and_a_safe_job_goes_elsewhere():
    rig = Rig(6)
    job = rig.request(key=3)
    rig.wait(1.0)
    sends = rig.actions.sends[job]
    assert len(sends) == 2 and sends[0] != sends[1]
    later = rig.request(key=3)
    rig.wait(0.5)
    assert rig.where(later) != sends[0]


def test_when_most_are_silent_it_is_not_the_workers():
    rig = Rig(4)
    for n in range(8):
        rig.request(key=n + 1)
    rig.wait(1.0)
    assert len(rig.d.silent) <= 2


def test_late_ends_close_the_window_and_jobs_wait():
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
    assert sum(map(len, rig.actions.sends.values())) - before < 40 and rig.d.held


def test_full_steps_off_and_attempts_are_not_burnt():
    rig = Rig(3)
    job = rig.request(key=1)
    for _ in range(4):
        if job in rig.actions.sends and rig.d.jobs[job].out():
            rig.end(job, Status.FULL)
    assert len(rig.actions.sends[job]) < rig.settings.max_attempts  # some are kept for later


def test_an_old_outcome_does_not_unhold_a_key_learned_anew():
    rig = Rig(1)
    job = rig.request(key=4)
    rig.members(Member(rig.ids[0], up_since=rig.now))  # restarted: its keys are forgotten
    rig.d.workers[rig.ids[0]].warm_at = 0.0
    again = rig.request(key=4)
    rig.end(job, Status.RESET)
    rig.end(again)
    assert rig.d.workers[rig.ids[0]].pending == 0.0


def test_a_subscription_is_asked_for_at_once_and_again_later_after_a_failure():
    rig = Rig(2, must_subscribe=True)
    assert rig.actions.log.count(("subscribe",)) == 1
    rig.members(kind=3)
    assert rig.actions.log.count(("subscribe",)) == 1
    rig.wait(1.0)
    assert rig.actions.log.count(("subscribe",)) == 2


def test_a_repeat_that_can_only_come_late_is_refused_at_once():
    rig = Rig(2)
    late = Request(999, rig.now + 1.0, repeat=True)  # four of its five seconds are gone
    rig.d.on_request(rig.now, late)
    assert rig.answers(999) == ["refuse"] and 999 not in rig.actions.sends
