"""The models of the emulator, the rules that it checks, and the same models on sockets."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from larchgw.emulator.box import Begun, Box, BoxSpec, Order, Said, Work
from larchgw.emulator.fleet import FleetSpec, capacity, draw
from larchgw.emulator.load import CLASSES, LoadSpec, arrivals, work_of
from larchgw.emulator.rules import Records, Sent, Try
from larchgw.emulator.timeline import Virtual
from larchgw.emulator.trial import Trial, TrialSpec
from larchgw.emulator.vault import Vault
from larchgw.emulator.virtual import Scenario, World, summary
from larchgw.experiments.mass import LOADS, Day, scenario_of

SPEC = BoxSpec("b", slots=4, cores=4, speed=1.0, noise=0.0, queue=3)


class Stage:
    """One box in virtual time; `said` is what it has said of each job, with the time."""

    def __init__(self, spec: BoxSpec = SPEC, lanes: int = 1) -> None:
        self.time = Virtual()
        self.vault = Vault(self.time, lanes, 1.0)
        self.begun: list[Begun] = []
        self.box = Box(self.time, spec, self.vault, 1, self.begun.append)
        self.said: dict[str, list[tuple[str, float]]] = {}
        self.start = self.time.now()

    def offer(self, name: str, seconds: float = 1.0, slots: int = 1, key: int = 0, priority: int = 0) -> Work:
        def say(work: Work, said: Said) -> None:
            passed = round(self.time.now() - self.start, 3)
            self.said.setdefault(work.request, []).append((said.value, passed))

        work = Work(name, seconds, say, key, slots, priority)
        self.box.offer(work)
        return work

    def run(self, seconds: float) -> None:
        self.time.run(self.time.now() + seconds)

    def ends(self, name: str) -> str:
        return self.said[name][-1][0] if name in self.said else ""


@pytest.mark.parametrize(
    ("order", "first"), [(Order.FIFO, "large"), (Order.BACKFILL, "small"), (Order.PRIORITY, "large")]
)
def test_who_starts_first_depends_on_how_the_queue_is_served(order: Order, first: str) -> None:
    stage = Stage(replace(SPEC, order=order))
    stage.offer("running", 2.0, 3)
    stage.offer("large", 1.0, 4, priority=1)
    stage.offer("small", 1.0, 1)
    stage.run(10.0)
    starts = {name: said[0][1] for name, said in stage.said.items()}
    assert min(("large", "small"), key=lambda n: starts[n]) == first
    assert all(stage.ends(name) == "done" for name in ("running", "large", "small"))


def test_more_slots_than_cores_share_the_cores() -> None:
    stage = Stage(replace(SPEC, cores=2))
    stage.offer("a", 1.0, 2)
    stage.offer("b", 1.0, 2)
    stage.run(5.0)
    assert stage.said["a"][-1] == ("done", 2.0) == stage.said["b"][-1]


def test_a_full_queue_and_a_job_too_large_are_turned_away_unseen() -> None:
    stage = Stage()
    stage.offer("too large", 1.0, 5)
    for n in range(8):
        stage.offer(str(n), 1.0, 2)
    stage.run(0.1)
    assert stage.ends("too large") == "full"
    assert [stage.ends(str(n)) for n in range(8)].count("full") == 3
    assert not any(b.request == "too large" for b in stage.begun)


def test_a_key_is_fetched_once_and_the_fetch_holds_the_slots() -> None:
    stage = Stage()
    stage.offer("first", 1.0, 1, key=7)
    stage.run(3.0)
    stage.offer("second", 1.0, 1, key=7)
    stage.run(3.0)
    assert stage.said["first"][-1] == ("done", 2.0)
    assert stage.said["second"][-1] == ("done", 4.0)
    assert stage.vault.fetches == 1


def test_the_vault_serves_so_many_at_a_time() -> None:
    stage = Stage(lanes=2)
    for n in range(4):
        stage.offer(str(n), 1.0, 1, key=n + 1)
    stage.run(6.0)
    assert [stage.said[str(n)][-1][1] for n in range(4)] == [2.0, 2.0, 3.0, 3.0]


def test_a_drain_hands_back_what_has_not_begun_and_takes_nothing() -> None:
    stage = Stage()
    stage.offer("runs", 2.0, 4)
    stage.offer("waits", 1.0)
    stage.box.drain()
    stage.offer("new", 1.0)
    stage.run(5.0)
    assert [stage.ends(n) for n in ("runs", "waits", "new")] == ["done", "full", "full"]


def test_a_slow_box_takes_longer_and_a_hung_one_says_nothing_until_it_wakes() -> None:
    stage = Stage()
    stage.offer("slowed", 2.0)
    stage.run(1.0)
    stage.box.set_slow(4.0)
    stage.run(4.5)
    assert stage.said["slowed"][-1] == ("done", 5.0)
    stage.box.set_slow(1.0)
    stage.box.set_hung(True)
    stage.offer("hung", 1.0)
    stage.run(10.0)
    assert "hung" not in stage.said
    stage.box.set_hung(False)
    stage.run(2.0)
    assert stage.ends("hung") == "done"


def test_work_given_up_stops_and_its_slots_are_used_again() -> None:
    stage = Stage()
    given_up = stage.offer("given up", 100.0, 4)
    stage.offer("next", 1.0, 4)
    stage.box.cancel(given_up)
    stage.run(2.0)
    assert stage.ends("next") == "done"
    assert stage.ends("given up") == "started"
    assert stage.box.used == 0


def test_a_crash_loses_all_and_a_cold_box_can_be_pushed_over() -> None:
    stage = Stage()
    stage.offer("lost", 100.0)
    stage.box.crash()
    assert stage.ends("lost") == "lost"
    stage.box.start()
    assert stage.box.warm() == pytest.approx(SPEC.cold_from)
    for n in range(40):
        stage.offer(f"j{n}", 3.0)
    assert len(stage.box.fell) == 1
    assert not stage.box.up


def records(**changes: object) -> Records:
    """One release, sent once and served."""
    kept = Records()
    kept.tries["r"] = Try("r", True, 0.0, 25.0, [(5.0, "served")])
    kept.sent["r"] = [Sent("r", "b1", 0.1, until=5.0)]
    kept.begun["r"] = [Begun("r", 0.2, "b1")]
    return kept


def test_the_checkers_find_each_broken_rule_and_nothing_where_all_is_well() -> None:
    assert records().broken() == []
    twice = records()
    twice.tries["r"].answers.append((6.0, "failed"))
    unanswered = records()
    unanswered.tries["r"].answers.clear()
    late = records()
    late.tries["r"].answers[0] = (26.0, "served")
    ran_again = records()
    ran_again.sent["r"].append(Sent("r", "b2", 6.0, until=7.0))
    ran_again.begun["r"].append(Begun("r", 6.1, "b2"))
    out_twice = records()
    out_twice.tries["r"].at_most_once = False
    out_twice.sent["r"].append(Sent("r", "b2", 4.0, until=7.0))
    four = records()
    four.tries["r"].at_most_once = False
    four.sent["r"] = [Sent("r", "b1", float(n), until=n + 0.5) for n in range(4)]
    refused = records()
    refused.tries["r"].answers[0] = (5.0, "refused")
    invented = records()
    invented.begun.clear()
    drained = records()
    drained.drain_told("n1", "b1", 10.0)
    drained.sent_by.append(("n1", "b1", 11.2))
    fallen = records()
    fallen.boxes.append(Stage().box)
    fallen.boxes[0].fell.append(3.0)
    words = {
        "2 final answers": twice,
        "no answer": unanswered,
        "late": late,
        "ran 2 times": ran_again,
        "out twice": out_twice,
        "4 attempts": four,
        "refused and may have run": refused,
        "no box had it": invented,
        "after its drain": drained,
        "pushed over": fallen,
    }
    for word, broken in words.items():
        assert any(word in line for line in broken.broken()), word
    drained.ready_told("n1", "b1", 11.0)
    assert drained.broken() == []


def test_the_same_seed_gives_the_same_day_and_another_seed_another() -> None:
    def day(seed: int) -> list[tuple[object, ...]]:
        world = World(Scenario(FleetSpec(4), LoadSpec(CLASSES, 12.0, keys=16), 2, seconds=6.0), seed)
        world.run()
        return [(j.due, j.ended, j.served_at, tuple(j.tries)) for j in world.jobs]

    assert day(1) == day(1) != day(2)


def test_load_is_as_it_was_asked_for() -> None:
    jobs = arrivals(LoadSpec(CLASSES, 50.0), 0.0, 200.0, 3, 1)
    assert len(jobs) / 200.0 == pytest.approx(50.0, rel=0.05)
    assert sum(j.work * j.slots for j in jobs) / len(jobs) == pytest.approx(work_of(CLASSES), rel=0.1)
    boxes = draw(FleetSpec(100), 1)
    assert 100 * 5 * 1.0 < capacity(boxes) < 100 * 5 * 1.8


def test_an_idle_fleet_serves_every_job_in_virtual_time() -> None:
    world = World(Scenario(FleetSpec(6), LoadSpec(CLASSES, 4.0, keys=8), 1, seconds=20.0), 2)
    world.run()
    figures = summary(world)
    assert world.records.broken() == []
    assert figures["failed"] == figures["given_up"] == 0.0
    assert figures["in_time_proof"] > 0.9


def test_the_real_program_keeps_the_rules_among_emulated_boxes_on_sockets() -> None:
    outcome = asyncio.run(Trial(TrialSpec(5, 0.6, 4.0, 15.0, 2)).run())
    assert outcome.broken == []
    assert outcome.exit_status == 0
    assert outcome.counts["served"] > 20
    assert not outcome.interrupted
    assert not [line for line in outcome.log if "event=fault" in line]


def test_an_interrupted_trial_ends_the_dispatcher_in_good_order() -> None:
    trial = Trial(TrialSpec(3, 0.5, 60.0, 1.0, 4, faults=False))

    async def go() -> None:
        running = asyncio.ensure_future(trial.run())
        while not trial.outcome.counts.get("served"):
            await asyncio.sleep(0.05)
        trial.interrupt()
        await running

    asyncio.run(asyncio.wait_for(go(), 60.0))
    assert trial.outcome.exit_status == 0
    assert trial.outcome.interrupted
    assert trial.outcome.broken == []


def test_a_box_that_falls_over_under_work_of_those_not_told_of_its_start_is_nobodys_broken_rule():
    for told, falls in ((True, 1), (False, 0)):
        time = Virtual()
        box = Box(time, BoxSpec("b", cold_from=0.2, cold_s=20.0), Vault(time, 4, 0.1), 1)
        box.start()
        for n in range(40):
            box.offer(Work(f"j{n}", 2.0, lambda work, said: None, told=told))
        assert not box.up
        assert (len(box.fell), box.surprised) == (falls, 1 - falls)


def test_lists_bring_weights_that_tell_what_boxes_hold_and_a_killed_dispatcher_is_back():
    scenario = Scenario(
        FleetSpec(boxes=6, zones=3),
        LoadSpec(rate=20.0),
        dispatchers=12,
        seconds=6.0,
        crashes=[(0, 2.0), (5, 2.0)],
        back_s=0.5,
        weights_s=0.5,
        weights_late_s=0.1,
    )
    world = World(scenario, 4)
    world.run()
    assert world.records.broken() == []
    assert all(d.alive for d in world.dispatchers)
    fleet = world.dispatchers[0].core.dispatcher.fleet
    assert fleet.reads_live_weights
    assert fleet.listed_loads.cores_known
    assert fleet.listed_loads.cores == 5.0


def test_the_days_of_many_dispatchers_keep_the_rules_and_are_the_same_for_the_same_seed():
    for name in LOADS:
        scenario = scenario_of(Day(name, 2, "on", 4.0, dispatchers=20, boxes=12))
        first, again = World(scenario, 2), World(scenario, 2)
        first.run()
        assert first.records.broken() == [], name
        if name == "join":
            again.run()
            assert again.records.sent_by == first.records.sent_by
