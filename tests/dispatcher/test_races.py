"""Races between two events: the real program is paused until both are in its sockets, then resumed.

Each test checks what the peers received. docs/acceptance.md lists the pairs of events and their tests.
"""

from __future__ import annotations

import json
import select
import signal
import socket
import sys
import time
import tomllib
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.support.stand_ins import (
    CLOSED,
    PATIENCE,
    ROOT,
    Call,
    Desk,
    Discovery,
    Program,
    Runner,
    delivered,
    frozen,
    job_class,
    running,
    settings,
    state,
    until,
)

ALLOWED = settings()["allowed"]
SINGLE = {"nInstances": 8}  # the dispatcher's fair share of a worker is then one slot, so a second job waits


def post(name: str, path: str = "/proof", body: bytes = b"", wait: int = 9000, more: str = "") -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\nX-Deadline-Ms: {wait}\r\n"
        f"{more}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def client(program: Program, *parts: bytes) -> socket.socket:
    """Opens a client connection and sends the parts."""
    sock = socket.create_connection(program.address(), timeout=PATIENCE)
    for part in parts:
        sock.sendall(part)
    return sock


def release_out(program: Program, desk: Desk, wait: int = 9000) -> tuple[socket.socket, Call]:
    """Sends one release; returns the client and the worker connection on which the desk has read it."""
    asks = client(program, post("a", "/release", wait=wait, more="Connection: close\r\n"))
    call = desk.call()
    assert call.read() == "a"
    return asks, call


def leave(sock: socket.socket) -> None:
    """Closes a client connection; returns once the program's socket has received the end.

    The system acknowledges an end up to 40 ms late. A program that closes the connection before, because the
    end has come, resets it, and the end is never acknowledged.
    """
    sock.shutdown(socket.SHUT_WR)
    until(lambda: delivered(sock) or state(sock) == CLOSED, "the end to arrive")


def answer(sock: socket.socket) -> bytes:
    """Returns all data received until the program closes the connection."""
    return b"".join(iter(lambda: sock.recv(65536), b""))


def warm_up(program: Program) -> None:
    """Leaves an idle connection to a worker, on which the next job is sent at once."""
    assert program.job("warm")[0] == 200
    time.sleep(0.1)  # a connection that became idle more recently is not reused


def gone(program: Program) -> float:
    return program.counters().get('larchgw_gone_total{front="platform"}', 0.0)


# A client that leaves while its request waits


def test_what_waits_on_a_connection_that_is_not_read_is_not_sent_once_its_client_has_left(
    tmp_path: Path,
) -> None:
    desk = Desk("s-1")
    with running(tmp_path, desk) as (program, _):
        more = (
            post(f"p{n}", "/release", wait=25_000) for n in range(20)
        )  # more than the program reads ahead
        left = client(program, *more)
        call = desk.call()
        assert call.read() == "p0"
        until(lambda: delivered(left))
        leave(left)
        assert call.closed()  # the client has left, so the first job is cancelled, too
        good = client(program, post("good", more="Connection: close\r\n"))
        call = desk.call()
        assert call.read() == "good"
        call.serve("good")
        assert answer(good).startswith(b"HTTP/1.1 200 ")


def test_a_request_whose_clients_end_came_with_it_is_not_sent(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner) as (program, _):
        warm_up(program)
        with frozen(program):
            left = [client(program, post(f"gone{n}")) for n in range(10)]
            for sock in left:
                leave(sock)
        assert program.job("good", b"x") == (200, b"s-1:x")
        assert [name for name, _, _ in runner.seen] == ["warm", "good"]


@pytest.mark.parametrize("cancel", [True, False])
def test_a_connection_to_a_worker_that_comes_up_as_the_client_leaves_carries_nothing(
    tmp_path: Path, cancel: bool
) -> None:
    desk = Desk("s-1", shut=True)
    allowed = ALLOWED | {"dialTimeout": 15.0, "cancel": cancel}
    with running(tmp_path, desk, settings={"allowed": allowed}) as (program, _):
        left = client(program, post("left"))
        until(lambda: program.counters().get('larchgw_sent_total{transport="http"}') == 1, "the attempt")
        with frozen(program):
            desk.open()
            late = desk.call()  # established by the kernel, but not yet seen by the program
            leave(left)
        assert late.closed()
        good = client(program, post("good", more="Connection: close\r\n"))
        call = desk.call()
        assert call.read() == "good"
        call.serve("good")
        assert answer(good).startswith(b"HTTP/1.1 200 ")


def test_a_job_that_waits_for_a_slot_is_not_sent_when_its_client_leaves_as_the_slot_comes_free(
    tmp_path: Path,
) -> None:
    desk = Desk("s-1")
    with running(tmp_path, desk, settings=SINGLE) as (program, _):
        first = client(program, post("first", more="Connection: close\r\n"))
        call = desk.call()
        assert call.read() == "first"
        held = client(program, post("held"))
        until(
            lambda: program.counters().get('larchgw_taken_total{front="platform",job_class="proof"}') == 2,
            "the second job",
        )
        with frozen(program):
            call.serve("first")
            until(lambda: delivered(call.sock))
            leave(held)
        assert answer(first).startswith(b"HTTP/1.1 200 ")
        until(lambda: gone(program) == 1)
        last = client(program, post("last", more="Connection: close\r\n"))
        other = _next(desk, call)
        assert other.read() == "last"
        other.serve("last")
        assert answer(last).startswith(b"HTTP/1.1 200 ")


def _next(desk: Desk, kept: Call) -> Call:
    """Returns the connection that carries the next request: a new one or the idle one."""
    ready, _, _ = select.select([desk.sock, kept.sock], [], [], PATIENCE)
    assert ready, "waited in vain for a request"
    return desk.call() if desk.sock in ready else kept


def test_a_flood_of_clients_that_send_and_leave_costs_no_good_request(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner) as (program, _), ThreadPoolExecutor(8) as pool:
        warm_up(program)
        with frozen(program):
            flood = [client(program, *(post(f"f{c}-{n}") for n in range(6))) for c in range(120)]
            for sock in flood:
                leave(sock)
            silent = [client(program) for _ in range(60)]
            good = [
                client(program, post(f"good{n}", body=b"%d" % n, more="Connection: close\r\n"))
                for n in range(4)
            ]
        for n, got in enumerate(pool.map(answer, good)):
            assert got.startswith(b"HTTP/1.1 200 ")
            assert got.endswith(b"s-1:%d" % n)
        assert sorted(name for name, _, _ in runner.seen) == [*(f"good{n}" for n in range(4)), "warm"]
        for sock in (*flood, *silent, *good):
            sock.close()


# A worker that drains, or whose connection is established late


@contextmanager
def still_connecting(folder: Path) -> Iterator[tuple[Program, Discovery, Desk, Runner, Future[Any]]]:
    """Sends a release to a worker whose connection is not established; a second worker is not listed yet."""
    desk, other = Desk("s-1", shut=True), Runner("s-2")
    told = {"allowed": ALLOWED | {"dialTimeout": 15.0}}
    with running(folder, desk, settings=told) as (program, discovery), ThreadPoolExecutor(1) as pool:
        job = pool.submit(program.job, "job", b"x", "/release", "0", 12_000)
        until(lambda: program.counters().get('larchgw_sent_total{transport="http"}') == 1, "the attempt")
        yield program, discovery, desk, other, job
        other.close()


def test_a_job_whose_connection_has_not_come_up_leaves_a_worker_that_begins_to_drain(tmp_path: Path) -> None:
    with still_connecting(tmp_path) as (program, discovery, desk, other, job):
        discovery.tell("s-2", addr=other.address)
        discovery.tell("s-1", "DRAINING", desk.address)
        assert job.result(PATIENCE) == (200, b"s-2:x")  # long before the connection attempt would time out
        desk.open()
        assert all(call.closed() for call in desk.calls)


def test_a_connection_that_comes_up_as_its_worker_begins_to_drain_carries_nothing(tmp_path: Path) -> None:
    with still_connecting(tmp_path) as (program, discovery, desk, other, job):
        with frozen(program):
            desk.open()
            late = desk.call()
            asked = discovery.asked
            discovery.tell("s-2", addr=other.address)
            discovery.tell("s-1", "DRAINING", desk.address)
            until(lambda: discovery.told >= asked, "the list on its way")
        assert job.result(PATIENCE) == (200, b"s-2:x")
        assert late.closed()


# Repeats


BOOKING = [
    job_class("proof", "idempotent", 10.0),
    job_class("booking", "deduplicated", 9.0) | {"group": "all", "memorySpan": 2.0},
]


@pytest.mark.parametrize("dial", [1.0, 3.0])
def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_sent(tmp_path: Path, dial: float) -> None:
    """By then workers no longer remember the first attempt, and would run the job again."""
    first, second = Desk("s-1"), Desk("s-2", shut=True)
    told = {"allowed": ALLOWED | {"dialTimeout": dial}, "classes": BOOKING}
    with running(tmp_path, first, settings=told) as (program, discovery):
        asks = client(
            program, post("b1", "/booking", b"x", 3000, "Idempotency-Key: k1\r\nConnection: close\r\n")
        )
        call = first.call()
        assert call.read() == "b1"
        begun = time.monotonic()
        discovery.tell("s-2", addr=second.address)
        until(lambda: program.counters().get('larchgw_lists_total{kind="full"}', 0) >= 2, "the second worker")
        call.reset()
        until(lambda: program.counters().get('larchgw_ended_total{outcome="reset",transport="http"}') == 1)
        sent = program.counters()['larchgw_sent_total{transport="http"}']
        with frozen(program):
            second.open()
            if sent == 2:  # otherwise the time did not suffice for a second attempt
                second.calls.append(second.call())
            time.sleep(max(begun + 2.0 - time.monotonic(), 0.0))  # end of the window by the test's own clock
        assert all(call.closed() for call in second.calls)
        assert answer(asks).startswith((b"HTTP/1.1 500 ", b"HTTP/1.1 503 "))


# An at-most-once job whose connection is reset at each stage


@pytest.mark.parametrize("stage", ["read", "head", "started", "half a line", "running", "done, cut"])
def test_a_release_whose_connection_is_reset_after_its_last_byte_is_not_sent_again(
    tmp_path: Path, stage: str
) -> None:
    desks = Desk("s-1"), Desk("s-2")
    with running(tmp_path, *desks) as (program, _), ThreadPoolExecutor(1) as pool:
        job = pool.submit(program.job, "r1", b"x" * 3000, "/release")
        call = _whoever(desks)
        assert call.read() == "r1"
        if stage == "head":
            call.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        elif stage != "read":
            call.begin("r1")
        if stage == "half a line":
            call.sock.sendall(b'40\r\n{"id":"r1","state":"do')
        elif stage == "running":
            call.say(id="r1", state="running", share=0.5)
        elif stage == "done, cut":
            text = json.dumps({"id": "r1", "state": "done", "result": "made"}).encode()
            call.sock.sendall(b"%x\r\n%b" % (len(text) + 20, text))  # its line is incomplete
        call.reset()
        assert job.result(PATIENCE)[0] == 500
        program.stop()
        assert not any(_asked(desk) for desk in desks)


def test_a_release_whose_connection_is_refused_or_never_comes_up_goes_elsewhere_once(tmp_path: Path) -> None:
    shut, good = Desk("s-1", shut=True), Runner("s-2")
    with running(tmp_path, shut, good) as (program, _):
        assert [program.job(f"r{n}", b"%d" % n, "/release")[0] for n in range(3)] == [200] * 3
        assert [good.runs[b"%d" % n] for n in range(3)] == [1, 1, 1]
        shut.open()
        assert all(call.closed() for call in shut.calls)


def _whoever(desks: tuple[Desk, ...]) -> Call:
    """Returns the next connection to any of the desks."""
    for desk in desks:
        desk.sock.setblocking(False)
    found: list[Call] = []

    def come() -> bool:
        for desk in desks:
            try:
                found.append(Call(desk.sock.accept()[0]))
            except BlockingIOError:
                continue
        return bool(found)

    until(come, "a connection")
    return found[0]


def _asked(desk: Desk) -> bool:
    """Whether a request has arrived on another connection."""
    desk.sock.setblocking(False)
    try:
        return Call(desk.sock.accept()[0]).read() != ""
    except BlockingIOError:
        return False


# Idle connections to workers


@pytest.mark.parametrize(
    "what", ["a second answer", "an answer to no one", "half an answer", "its end", "a reset"]
)
def test_a_kept_connection_on_which_something_comes_with_the_next_job_is_not_used(
    tmp_path: Path, what: str
) -> None:
    desk = Desk("s-1")
    with running(tmp_path, desk) as (program, _):
        asks = client(program, post("a"))
        kept = desk.call()
        assert kept.read() == "a"
        kept.serve("a", "first")
        until(lambda: b"first" in asks.recv(65536))
        time.sleep(0.1)  # a connection that became idle more recently is not reused in any case
        with frozen(program):
            asks.sendall(post("b", more="Connection: close\r\n"))  # sent first, so that it is handled first
            until(lambda: delivered(asks))
            if what == "a reset":
                kept.reset()
            elif what == "its end":
                leave(kept.sock)
            else:
                name = "zz" if what == "an answer to no one" else "a"
                kept.begin(name)
                if what != "half an answer":
                    kept.end(name, "again")
                until(lambda: delivered(kept.sock))
        fresh = desk.call()
        assert fresh.read() == "b"
        fresh.serve("b", "second")
        got = answer(asks)
        assert got.startswith(b"HTTP/1.1 200 ")
        assert got.endswith(b"second")
        if what not in ("a reset", "its end"):
            assert kept.closed()


def test_done_and_the_close_in_one_read_serve_the_job_and_the_next_one_goes_elsewhere(tmp_path: Path) -> None:
    desk = Desk("s-1")
    with running(tmp_path, desk) as (program, _):
        asks = client(program, post("a"))
        call = desk.call()
        assert call.read() == "a"
        with frozen(program):
            call.serve("a", "first")
            leave(call.sock)
            asks.sendall(post("b", more="Connection: close\r\n"))
            until(lambda: delivered(asks))
        fresh = desk.call()
        assert fresh.read() == "b"
        fresh.serve("b", "second")
        got = answer(asks)
        assert got.count(b"HTTP/1.1 200 ") == 2
        assert got.index(b"first") < got.index(b"second")


def test_an_answer_that_never_ends_is_cut_off(tmp_path: Path) -> None:
    desk = Desk("s-1")
    with running(tmp_path, desk) as (program, _):
        asks, call = release_out(program, desk, wait=24_000)
        call.begin("a")
        with pytest.raises(OSError):
            for _ in range(1000):  # 64 MB
                for _ in range(64):
                    call.say(id="a", state="running", share=0.5, pad="x" * 1000)
        assert answer(asks).startswith(b"HTTP/1.1 500 ")


def test_signs_of_life_ahead_of_an_answer_are_none(tmp_path: Path) -> None:
    desk = Desk("s-1")
    with running(tmp_path, desk) as (program, _):
        asks, call = release_out(program, desk)
        call.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
        call.serve("a")
        assert answer(asks).endswith(b"made")


# Shutdown


def test_a_request_that_lies_in_our_socket_as_its_resting_connection_is_to_end_is_answered(
    tmp_path: Path,
) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner) as (program, _):
        rests = [client(program, post(f"a{n}")) for n in range(20)]
        for sock in rests:
            assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
        program.process.terminate()
        until(lambda: program.logged("event=stop.begin"))
        with frozen(program):
            time.sleep(1.0)  # its idle connections are due to be closed now
            for n, sock in enumerate(rests):
                sock.sendall(post(f"b{n}"))
                until(partial(delivered, sock))
        for sock in rests:
            got = answer(sock)
            assert got.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")), got
        assert program.process.wait(PATIENCE) == 0


def test_sigterm_and_a_request_in_one_turn(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner) as (program, _):
        rests = client(program, post("a"))
        assert rests.recv(65536).startswith(b"HTTP/1.1 200 ")
        with frozen(program):
            rests.sendall(post("b", "/release", b"x"))
            new = client(program, post("c", "/release", b"y"))
            until(lambda: delivered(new) and delivered(rests))
            program.process.terminate()
        assert answer(rests).startswith(b"HTTP/1.1 200 ")
        assert answer(new).startswith(b"HTTP/1.1 200 ")
        assert program.process.wait(PATIENCE) == 0
        assert (runner.runs[b"x"], runner.runs[b"y"]) == (1, 1)


def test_a_second_sigterm_and_a_sighup_in_the_midst_of_a_stop_change_nothing(tmp_path: Path) -> None:
    desk = Desk("s-1")
    with running(tmp_path, desk) as (program, _):
        asks, call = release_out(program, desk)
        with frozen(program):
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                program.process.send_signal(number)
        until(lambda: program.logged("event=reload.done"))
        program.process.terminate()
        call.serve("a")
        assert answer(asks).endswith(b"made")
        assert program.process.wait(PATIENCE) == 0
        assert len(program.logged("event=stop.begin")) == 1


# Signals during start-up


EARLY = """
import os, signal, sys
from larchgw.dispatcher.config import startup
whole = startup.load
def load(environ):
    told = whole(environ)
    if not os.environ.pop("hup", None):
        os.environ["hup"] = "1"
        os.kill(os.getpid(), signal.SIGHUP)
    return told
startup.load = load
"""


def test_a_sighup_while_the_configuration_is_read_is_followed_once_all_stands(tmp_path: Path) -> None:
    runner, discovery = Runner("s-1"), Discovery()
    discovery.tell("s-1", addr=runner.address)
    program = Program(tmp_path, discovery.address, before=EARLY)
    try:
        until(lambda: program.logged("event=reload.done"), "the reload")
        program.ready()
        assert program.job("a", b"x") == (200, b"s-1:x")
        program.stop()
    finally:
        program.process.kill()
        runner.close()
        discovery.close()


def test_a_sighup_before_python_runs_our_first_line_does_not_end_the_program(tmp_path: Path) -> None:
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    (tmp_path / "sitecustomize.py").write_text("import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\n")
    program = Program(
        tmp_path,
        "127.0.0.1:1",
        shell=run.replace(".venv/bin/python", sys.executable),
        environ={"PYTHONPATH": str(tmp_path)},
    )
    try:
        program.stop()
    finally:
        program.process.kill()


# Worker lists


def test_zones_that_a_reload_numbers_anew_are_read_anew(tmp_path: Path) -> None:
    """Workers are stored with the number of their zone, and that number would now mean another zone."""
    with running(tmp_path, Runner("s-1"), settings={"areas": ["a", "b"]}) as (program, discovery):
        asked = len(discovery.paths)
        assert "event=reload.done" in program.reload(settings=settings(areas=["b", "a"]))
        until(lambda: "/api/targets" in discovery.paths[asked:], "the whole list")


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
def test_a_watch_that_never_hears_again_is_opened_anew_and_what_it_missed_counts(
    tmp_path: Path, mode: str
) -> None:
    old, new = Runner("s-1"), Runner("s-2")
    with running(tmp_path, old, settings={"registryMode": mode}) as (program, discovery):
        until(lambda: discovery.asked >= 2, "the watch")
        discovery.mute = True  # the open watch gets no answer, but its connection stays open
        discovery.tell("s-2", addr=new.address)
        discovery.tell("s-1", "DRAINING", old.address)
        asked = len(discovery.paths)
        until(lambda: len(discovery.paths) > asked, "a new watch")
        until(lambda: program.counters().get('larchgw_lists_total{kind="full"}', 0) >= 2, "what it missed")
        assert program.job("a", b"x") == (200, b"s-2:x")
    new.close()


def test_other_classes_at_a_reload_are_refused_in_one_line_while_jobs_are_out(tmp_path: Path) -> None:
    desk = Desk("s-1")
    with running(tmp_path, desk) as (program, _):
        asks, call = release_out(program, desk)
        changed = settings(
            classes=[job_class("proof", "at_most_once", 10.0), job_class("release", "idempotent", 25.0)]
        )
        before = len(program.lines)
        line = program.reload(settings=changed)
        assert "event=reload.refused" in line
        assert "settings.requestClasses" in line
        assert len(program.logged("reload.")) == 1
        assert len(program.lines) == before + 1
        call.reset()  # if `release` had become idempotent, this job would be sent again
        assert answer(asks).startswith(b"HTTP/1.1 500 ")
        assert not _asked(desk)
