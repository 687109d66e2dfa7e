"""The admin address of the real program: readiness, statistics, and taking workers out and back."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from larchgw.dispatcher.core import End
from larchgw.dispatcher.scheduling.interface import ListKind, Member, Status
from tests.dispatcher.test_core import SAFE, Desk
from tests.support.stand_ins import PATIENCE, Program, Runner, running, until


def test_the_calls_say_yes_and_no(tmp_path: Path) -> None:
    with running(tmp_path, Runner("s-1")) as (program, _):
        assert program.call("readiness") == 200
        calls = [
            ("GET", "nosuch"),
            ("PUT", "runners/down/nobody"),
            ("PUT", "runners/up/nobody"),
            ("PUT", "runners/down/"),
            ("PUT", "readiness"),
            ("GET", "runners/down/s-1"),
        ]
        assert [program.call(path, method) for method, path in calls] == [404, 404, 404, 404, 405, 405]
        with socket.create_connection(program.address("admin"), timeout=PATIENCE) as s:
            s.sendall(b"nonsense\r\n\r\n")
            assert s.recv(4096).startswith(b"HTTP/1.1 400 ")
        with socket.create_connection(program.address("admin"), timeout=PATIENCE) as s:
            s.sendall(b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n" * 2)
            answer = b"".join(iter(lambda: s.recv(4096), b""))
            assert answer.count(b"HTTP/1.1 200 ") == 1
            assert b"Connection: close" in answer
        program.process.terminate()
        until(lambda: program.logged("event=stop.begin"))
        assert program.call("readiness") == 503


def test_a_call_is_answered_past_a_crowd_of_silent_callers_and_clients(tmp_path: Path) -> None:
    with running(tmp_path, Runner("s-1"), limits={"sockets": 128}) as (program, _):
        crowd = [
            socket.create_connection(program.address(front), timeout=PATIENCE)
            for front in ["platform"] * 150 + ["admin"] * 40
        ]
        for s in crowd[::2]:
            s.sendall(b"GET /ops/readi")
        assert program.call("readiness") == 200
        assert program.call("runners/down/s-1", "PUT") == 200
        for s in crowd:
            s.close()


def test_figures_count_jobs_by_class_from_0_and_attempts_written(tmp_path: Path) -> None:
    runner = Runner("s-1", lambda name: "hold" if name == "slow" else "done")
    with running(tmp_path, runner) as (program, _):
        zero = {
            f'{name}{{group="{c}"}}': 0
            for name in ("answered", "deferred", "errored")
            for c in ("proof", "release")
        }
        gauges = {"sends": 0, "current": 0, "cluster_size": 1, "cluster_unhealthy": 0}
        assert program.stats() == zero | gauges
        with ThreadPoolExecutor(1) as pool:
            slow = pool.submit(program.job, "slow", b"1", "/release")
            until(lambda: program.stats()["sends"] == 1)
            assert program.stats()["current"] == 1
            runner.release.set()
            assert slow.result(PATIENCE)[0] == program.job("p", b"2")[0] == 200
        served = {'answered{group="proof"}': 1, 'answered{group="release"}': 1, "sends": 2}
        assert program.stats() == zero | gauges | served


def test_refused_and_failed_jobs_are_told_apart(tmp_path: Path) -> None:
    runner = Runner("s-1", lambda name: "fail" if name == "bad" else "full")
    with running(tmp_path, runner) as (program, _):
        assert [program.job(name, b"x", "/release")[0] for name in ("bad", "late")] == [500, 503]
        told = program.stats()
        assert (told['errored{group="release"}'], told['deferred{group="release"}']) == (1, 1)


def test_a_box_taken_out_gets_nothing_until_it_is_put_back_whatever_discovery_lists(tmp_path: Path) -> None:
    one, two = Runner("s-1"), Runner("s-2")
    with running(tmp_path, one, two) as (program, discovery):
        assert program.call("runners/down/s-1", "PUT") == program.call("runners/down/s-1", "PUT") == 200
        discovery.tell("s-1", addr=one.address)
        until(lambda: program.counters().get('larchgw_lists_total{kind="full"}', 0) >= 2)
        assert {program.job(f"a{n}", b"x")[1] for n in range(6)} == {b"s-2:x"}
        assert not one.seen
        assert program.call("runners/down/s-2", "PUT") == program.call("runners/up/s-1", "PUT") == 200
        told = program.stats()
        assert (told["cluster_size"], told["cluster_unhealthy"]) == (2, 1)


def test_a_box_taken_out_stays_out_over_a_restart(tmp_path: Path) -> None:
    one, two = Runner("s-1"), Runner("s-2")
    with running(tmp_path, one, two) as (program, discovery):
        assert program.call("runners/down/s-1", "PUT") == 200
        program.process.kill()
        program.process.wait(PATIENCE)
        again = Program(tmp_path, discovery.address)
        again.ready()
        assert {again.job(f"b{n}", b"x")[1] for n in range(6)} == {b"s-2:x"}
        assert again.call("runners/up/s-1", "PUT") == 200
        again.stop()
        assert not one.seen


def test_the_module_sees_a_drain_and_then_a_box_that_has_just_started() -> None:
    desk = Desk([SAFE])
    desk.take()
    box = desk.sent[0].worker
    desk.core.ended(desk.sent[0], End(Status.ERROR))
    assert desk.core.avoided() == 1  # taken out by an operator
    desk.core.ban_worker(box, desk.clock.now())
    worker = desk.core.dispatcher.workers[box]
    for kind in (ListKind.FULL, ListKind.DELTA, ListKind.CACHED):
        desk.core.listed(kind, [Member(b"w%d" % n) for n in range(4)])
        assert not worker.ready
        assert not desk.core.workers.takes_work(box)
        assert desk.core.avoided() == 1
    desk.core.listed(ListKind.DELTA, [Member(box, 0)])
    desk.core.listed(ListKind.DELTA, [Member(box)])
    assert not desk.core.dispatcher.workers[box].ready
    desk.clock.time += 5.0
    desk.core.unban_worker(box)
    worker = desk.core.dispatcher.workers[box]
    assert worker.ready
    assert worker.failure_share == 0
    assert worker.up_since == desk.clock.now()
    # A list with the old start time changes nothing.
    desk.core.listed(ListKind.FULL, [Member(b"w%d" % n) for n in range(4)])
    assert worker.up_since == desk.clock.now()
    assert desk.core.avoided() == 0


def test_a_box_that_discovery_saw_restart_while_it_was_out_is_as_old_as_that() -> None:
    desk = Desk([SAFE])
    desk.core.ban_worker(b"w1", desk.clock.now())
    desk.clock.time += 5.0
    desk.core.listed(ListKind.DELTA, [Member(b"w1", up_since=1003.0)])
    desk.core.unban_worker(b"w1")
    assert desk.core.dispatcher.workers[b"w1"].up_since == 1003.0
