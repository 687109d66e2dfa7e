"""The ordinary path, exactly: holder, threshold, spill, ties, and what counts as held and pending."""

import pytest

from larchgw import Dispatcher
from larchgw.dispatcher.scheduling.interface import JobClass, ListKind, Member, Settings, Status
from tests.support.bench import Rig


def test_a_key_stays_with_its_holder() -> None:
    rig = Rig(20)
    first = rig.request(key=7)
    rig.end(first)
    for _ in range(5):
        again = rig.request(key=7)
        assert rig.where(again) == rig.where(first)
        rig.end(again)


def test_the_holder_with_most_pending_under_the_threshold_is_taken() -> None:
    rig = Rig(20)
    jobs = [rig.request(key=7) for _ in range(4)]
    a = rig.where(jobs[0])
    assert all(rig.where(j) == a for j in jobs)  # four slots are the first threshold of a lone dispatcher
    fifth = rig.request(key=7)
    assert fifth not in rig.actions.sends  # it waits for the holder as long as a fetch would take
    rig.wait(0.25)
    b = rig.where(fifth)
    assert b != a
    for job in jobs:
        rig.end(job)
    assert rig.where(rig.request(key=7)) == b  # a has none pending, b has one


def test_spill_takes_fewest_keys_then_least_pending() -> None:
    rig = Rig(2)
    first = rig.request(key=1)
    rig.end(first)
    second = rig.request(key=2)
    assert rig.where(second) != rig.where(first)
    rig.request(key=2)
    third = rig.request(key=3)  # one key each; only the second has work pending
    assert rig.where(third) == rig.where(first)


def test_ties_break_at_random() -> None:
    assert len({Rig(4, seed=s).d.rng.random() for s in range(3)}) == 3
    places = set()
    for seed in range(30):
        rig = Rig(4, seed=seed)
        places.add(rig.where(rig.request()))
    assert len(places) == 4


@pytest.mark.parametrize("status", list(Status))
def test_pending_is_freed_after_every_outcome(status: Status) -> None:
    rig = Rig(3)
    job = rig.request(key=5, slots=2.0)
    worker = rig.d.workers[rig.where(job)]
    assert worker.pending_slots == 2.0
    rig.end(job, status, attempt=0)
    # What never ran goes on at once, and by chance to the same worker.
    again = len(rig.actions.sends[job]) > 1 and rig.where(job) == worker.id
    assert worker.pending_slots == (2.0 if again else 0.0)
    held = any(p.worker is worker for p in rig.d.key_holders.get(5, []))
    assert held == (again or status in (Status.OK, Status.CANCELLED))


def test_impossible_settings_name_the_field() -> None:
    with pytest.raises(ValueError, match="classes"):
        Dispatcher(Settings([]), 1, Rig().actions)
    with pytest.raises(ValueError, match="warm_up"):
        Dispatcher(Settings([JobClass("a", 1, 2)], warm_up=-1.0), 1, Rig().actions)


def test_same_events_same_actions() -> None:
    logs = []
    for _ in range(2):
        rig = Rig(9, seed=5)
        for n in range(40):
            rig.request(key=n % 7)
            rig.wait(0.03)
        logs.append(rig.actions.log)
    assert logs[0] == logs[1]


def test_a_draining_worker_gets_nothing_new() -> None:
    rig = Rig(2)
    job = rig.request(key=1)
    rig.drain(rig.where(job))
    assert rig.where(rig.request(key=1)) != rig.where(job)


def test_an_empty_list_holds_and_then_answers_in_time() -> None:
    rig = Rig(0)
    job = rig.request()
    rig.wait(4.99)
    assert rig.answers(job) == ["refuse"]
    rig.members(Member(b"lateer"))
    assert job not in rig.actions.sends


@pytest.mark.parametrize("window", [0.6, 1.5])
@pytest.mark.parametrize("early", [True, False])
def test_a_repeat_is_decided_on_while_its_connection_can_come_up_within_the_window(
    window: float, early: bool
) -> None:
    """Whole seconds were kept free at the window's end: one of 0.6 s never allowed a repeat at all."""
    rig = Rig(4, effect="deduplicated", window=window, dial_timeout=0.25, second_copies=False)
    job = rig.request()
    rig.wait(window - 0.25 - (0.1 if early else 0.04))
    rig.end(job, Status.RESET)
    assert len(rig.actions.sends[job]) == (2 if early else 1)


def test_a_repeat_whose_connection_is_late_may_begin_up_to_the_windows_end_and_not_after() -> None:
    rig = Rig(4, effect="deduplicated", window=1.5, dial_timeout=0.25)
    job = rig.request()
    sent = rig.now
    rig.wait(0.5)
    rig.end(job, Status.RESET)
    assert rig.d.may_start_attempt(sent + 1.4, job, 1)
    assert not rig.d.may_start_attempt(
        sent + 1.46, job, 1
    )  # its last byte would come when the first is forgotten
    assert rig.d.may_start_attempt(sent + 1.46, job, 0)  # the first is no repeat
    rig.drain(rig.where(job))
    assert not rig.d.may_start_attempt(sent + 1.0, job, 1)
    assert not rig.d.may_start_attempt(sent + 1.0, job, 2)
    assert not rig.d.may_start_attempt(sent + 1.0, job + 1, 0)


def test_what_never_ran_opens_no_window() -> None:
    rig = Rig(4, effect="deduplicated", window=0.6, dial_timeout=0.25)
    job = rig.request()
    rig.end(job, Status.CONNECT_FAILED)
    rig.wait(1.0)
    rig.end(job, Status.FULL)
    rig.wait(1.0)
    assert len(rig.actions.sends[job]) == 3
    assert rig.d.may_start_attempt(rig.now, job, 2)


@pytest.mark.parametrize(("workers", "cancelled"), [(1, 0), (2, 1)])
def test_an_attempt_at_a_silent_worker_is_cancelled_only_where_another_can_follow(
    workers: int, cancelled: int
) -> None:
    """With one worker, a job that took a moment longer than usual was cancelled, and refused later."""
    rig = Rig(workers, second_copies=False)
    for _ in range(5):
        rig.end(rig.request())
    job = rig.request()
    rig.wait(2.0)
    assert sum(a[:2] == ("cancel", job) for a in rig.actions.log) == cancelled


def test_a_list_that_fails_for_hours_is_asked_for_every_few_seconds() -> None:
    """After 1,024 failures in a row the wait was out of a float's range, and nothing more was asked for."""
    rig = Rig(1, must_subscribe=True)
    for _ in range(2000):
        rig.members(kind=ListKind.FAILED)
        assert 0.25 <= rig.d.subscribe_at - rig.now <= 8.0
    assert rig.d.subscribe_at - rig.now >= 4.0


def test_a_worker_that_is_full_all_day_is_left_for_a_short_time_each_time() -> None:
    rig = Rig(1)
    worker = rig.d.workers[rig.ids[0]]
    for _ in range(2000):
        rig.end(rig.request(), Status.FULL)
        assert rig.now < worker.avoid_until <= rig.now + 2.0 * rig.d.run_times[0].value
        rig.now = worker.avoid_until
