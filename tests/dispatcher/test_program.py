"""The real program with simulated clients, runners and discovery."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from larchgw.dispatcher.config.settings_file import load_fronts
from larchgw.dispatcher.config.startup import ConfigError
from larchgw.dispatcher.core import Core
from larchgw.dispatcher.fronts.platform import PlatformFront
from larchgw.dispatcher.scheduling.interface import JobClass, Settings, Tenant
from larchgw.dispatcher.workers import discovery as net_discovery
from larchgw.dispatcher.workers.pool import RunnerPool
from larchgw.net.loop import Loop
from larchgw.net.timers import Clock, Deadlines
from tests.support.stand_ins import (
    PATIENCE,
    ROOT,
    Discovery,
    Program,
    Runner,
    job_class,
    running,
    settings,
    until,
)


def raw(program: Program, *parts: bytes) -> bytes:
    """Sends the parts and returns all data received until the program closes the connection."""
    with socket.create_connection(program.address(), timeout=PATIENCE) as s:
        for part in parts:
            s.sendall(part)
        return b"".join(iter(lambda: s.recv(65536), b""))


def post(name: str, body: bytes = b"", more: str = "", path: str = "/proof") -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\nX-Deadline-Ms: 9000\r\n"
        f"{more}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def test_a_job_is_served_with_its_own_result_over_one_kept_connection(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner) as (program, _):
        for n in range(5):
            assert program.job(f"id{n}", b"art%d" % n, "/proof/x?y=1") == (200, b"s-1:art%d" % n)
            time.sleep(
                0.05
            )  # a connection is only reused after a pause in which a close would have been noticed
        assert runner.seen[0] == ("id0", "/proof/x?y=1", b"art0")
        assert runner.opened <= 2  # guards keep-alive, which was lost once when the parser reset its flag
        counted = program.counters()
    assert counted['larchgw_taken_total{front="platform",job_class="proof"}'] == 5
    assert counted['larchgw_answered_total{front="platform",job_class="proof",outcome="served"}'] == 5


KEYED = {
    "classes": [
        job_class("proof", "idempotent", 10.0),
        job_class("booking", "deduplicated", 6.0) | {"group": "cell", "memorySpan": 10.0},
    ]
}


def test_a_keyed_job_keeps_its_key_and_one_without_or_with_two_is_bad_input(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner, settings=KEYED) as (program, _):
        once = "Connection: close\r\nIdempotency-Key: 5c0f, 6e1a\r\n"
        assert raw(program, post("k1", b"x", once, "/booking")).startswith(b"HTTP/1.1 200")
        assert runner.headers[-1]["idempotency-key"] == "5c0f, 6e1a"
        for more in ("", "Idempotency-Key: \r\n", "Idempotency-Key: 1\r\nIdempotency-Key: 1\r\n"):
            bad = post("k2", b"x", "Connection: close\r\n" + more, "/booking")
            assert raw(program, bad).startswith(b"HTTP/1.1 400"), more
        assert raw(program, post("k3", b"x", once)).startswith(b"HTTP/1.1 200")
        assert program.job("k4", b"x")[0] == 200
    assert [h.get("idempotency-key") for h in runner.headers] == ["5c0f, 6e1a", "5c0f, 6e1a", None]


@pytest.mark.parametrize(
    "text",
    [b"util=0.25,qps=3.1,x0=5.5", b"busy=0.25, rate=3.1, x0=5.5\n", b'{"util": 0.25, "qps": 3.1, "x0": 5.5}'],
)
def test_a_report_is_read_from_the_body_that_answers_a_probe(tmp_path: Path, text: bytes) -> None:
    runners = RunnerPool(None, SimpleNamespace(list_listeners=[]), {"report": PULLED}, 8)  # type: ignore[arg-type]
    assert tuple(runners.reports.parse_body(text)) == (0.25, 3.1, 5.5)
    for bad in (b"", b"x", b"[1]", b"util=much", b'{"util": {}}', b"\xff\x00", b"7"):
        assert not any(runners.reports.parse_body(bad)), bad


PULLED = {"via": "pull", "fields": ["busy", "rate", "x0"]}


def test_boxes_that_report_when_asked_are_probed_and_one_that_falls_silent_is_left(tmp_path: Path) -> None:
    one, two = Runner("s-1"), Runner("s-2")
    one.report = two.report = b"util=0.1,qps=0,x0=6"
    probes = settings()["allowed"] | {"probes": True}
    told = {"report": PULLED, "allowed": probes, "familyInfo": {"reportX0": "free slots"}}
    with running(tmp_path, one, two, settings=told) as (program, _):
        until(lambda: one.probes and two.probes, "a probe of each")
        assert set(one.probes + two.probes) == {"/-/load"}
        assert all(program.job(f"p{n}", b"x")[0] == 200 for n in range(4))
        two.report = b""  # makes its probes fail with 503
        until(lambda: program.stats()["cluster_unhealthy"] == 1, "the silent one to be avoided")
        assert all(program.job(f"q{n}", b"x")[1] == b"s-1:x" for n in range(6))


def test_settings_that_no_code_reads_are_named_in_one_line(tmp_path: Path) -> None:
    more = {"novel": {"x": 1}, "report": {"via": "silent", "fields": [], "odd": 1}}
    with running(tmp_path, Runner("s-1"), settings=more) as (program, _):
        lines = until(lambda: program.logged("event=settings.unread"), "the line")
    assert len(lines) == 1
    assert "novel" in lines[0]
    assert "report.odd" in lines[0]
    assert "requestClasses" not in lines[0]
    assert "report.via" not in lines[0]


def test_a_cost_hint_counts_in_microseconds(tmp_path: Path) -> None:
    with running(tmp_path, Runner("s-1")) as (program, _):
        for hint in ("200000", "2e6", "9000000"):  # read as seconds, each would be infeasible or out of range
            more = f"Connection: close\r\nX-Cost-Hint: {hint}\r\n"
            assert raw(program, post("h" + hint, b"x", more)).startswith(b"HTTP/1.1 200"), hint


def test_the_module_hears_which_tenant_a_job_is_of(tmp_path: Path) -> None:
    clock, deadlines = Clock(), Deadlines()
    loop, tenants = Loop(clock, deadlines), [Tenant("a", 0.5, 10.0), Tenant("b", 0.5, 10.0)]
    core = Core(Settings([JobClass("proof", 4.0, 10.0)]), 1, clock, deadlines)
    front = PlatformFront(loop, core, ("127.0.0.1", 0), 8, 1 << 20, lambda: True)
    heard: dict[bytes, int] = {}
    core.dispatcher.on_request = (  # type: ignore[method-assign]
        lambda now, request, *rest: heard.update({core.receive.open[request.id].name: request.tenant})
    )
    core.reload(Settings(core.settings.classes, tenants))
    for name, more in (
        (b"1", {b"x-tenant": b"b"}),
        (b"2", {b"x-tenant": b"a"}),
        (b"3", {b"x-tenant": b"nobody"}),
        (b"4", {}),
    ):
        exchange = SimpleNamespace(
            path=b"/proof",
            target=b"/proof",
            method=b"POST",
            body=b"",
            received_at=clock.now(),
            handler_data=None,
            headers={b"x-request-id": name, b"x-deadline-ms": b"9000"} | more,
        )
        front.on_exchange(exchange)  # type: ignore[arg-type]
    loop.close()
    assert heard == {b"1": 1, b"2": 0, b"3": 2, b"4": 2}  # 2: counts against no tenant's share


@pytest.mark.parametrize("how", ["fail", "lost", "cut", "reset", "stranger"])
def test_a_release_that_may_have_run_fails_and_is_not_sent_again(tmp_path: Path, how: str) -> None:
    runners = Runner("s-1", how), Runner("s-2", how)
    with running(tmp_path, *runners) as (program, _):
        status, body = program.job("r1", b"press", "/release")
        assert status == 500
        assert b"s-" not in body
        assert sum(r.runs[b"press"] for r in runners) == 1


@pytest.mark.parametrize("how", ["full", "returned", "refused"])
def test_a_release_that_never_ran_goes_to_another_box(tmp_path: Path, how: str) -> None:
    bad, good = Runner("s-1", how), Runner("s-2")
    if how == "refused":
        bad.close()
    with running(tmp_path, bad, good) as (program, _):
        answers = [program.job(f"r{n}", b"press%d" % n, "/release") for n in range(4)]
        assert answers == [(200, b"s-2:press%d" % n) for n in range(4)]
        assert all(good.runs[b"press%d" % n] == 1 for n in range(4))


def test_a_safe_job_is_cancelled_at_a_silent_box_and_served_by_another(tmp_path: Path) -> None:
    runners = [Runner(f"s-{n}") for n in range(4)]
    first: list[str] = []

    def once(name: str) -> str:
        first.append(name)
        return "hang" if name == "p1" and first.count("p1") == 1 else "done"

    for runner in runners:
        runner.how = once
    with running(tmp_path, *runners) as (program, _):
        assert program.job("p1", b"proof")[0] == 200
        assert until(lambda: sum((r.gave_up for r in runners), []), "the cancelled connection") == [True]


def test_no_answer_comes_at_its_deadline_and_not_as_a_refusal_when_it_may_have_run(tmp_path: Path) -> None:
    runner = Runner("s-1", "hang")
    with running(tmp_path, runner) as (program, _):
        assert program.job("r1", b"press", "/release", wait=700)[0] == 500
        assert until(lambda: runner.gave_up) == [True]
        assert runner.runs[b"press"] == 1


def test_a_refusal_says_when_to_come_back(tmp_path: Path) -> None:
    runners = Runner("s-1", "full"), Runner("s-2", "full")
    with running(tmp_path, *runners) as (program, _):
        response, _body = program.exchange("POST", "/release", b"x", X_Request_Id="r", X_Deadline_Ms="25000")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        assert sum(r.runs[b"x"] for r in runners) <= 3


def test_a_client_that_leaves_takes_its_attempt_along(tmp_path: Path) -> None:
    runner = Runner("s-1", "hang")
    with running(tmp_path, runner) as (program, _):
        with socket.create_connection(program.address(), timeout=PATIENCE) as s:
            s.sendall(post("gone", b"art"))
            until(lambda: runner.seen)
        assert until(lambda: runner.gave_up) == [True]
        until(lambda: program.counters().get('larchgw_gone_total{front="platform"}') == 1)


def test_nothing_goes_to_a_box_that_drains(tmp_path: Path) -> None:
    one, two = Runner("s-1"), Runner("s-2")
    with running(tmp_path, one, two) as (program, discovery):
        discovery.tell("s-1", "DRAINING", one.address)
        until(lambda: program.counters().get('larchgw_lists_total{kind="full"}', 0) >= 2)
        before = len(one.seen)
        assert all(program.job(f"d{n}", b"x")[1] == b"s-2:x" for n in range(6))
        assert len(one.seen) == before


def test_bad_or_silent_discovery_keeps_the_old_list_and_is_asked_again(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner) as (program, discovery):
        discovery.bad = True
        discovery.tell("s-1", addr=runner.address)
        until(lambda: program.logged("event=discovery.down"))
        assert program.job("a", b"x") == (200, b"s-1:x")
        asked = discovery.asked
        until(lambda: discovery.asked > asked + 1, "another try")
        discovery.bad = False
        until(lambda: program.logged("event=discovery.up"))


def test_where_lists_are_asked_for_one_call_at_a_time_goes_out_and_brings_what_has_changed(
    tmp_path: Path,
) -> None:
    """A start once made two calls, and a failure made another call at once besides the timed retry."""
    runner, discovery = Runner("s-1"), Discovery()
    discovery.overbooked = 3
    known = {
        "version": 1,
        "full": True,
        "servers": [{"id": "s-1", "addr": runner.address, "zone": "a", "kind": "m", "state": "SERVING"}],
    }
    program = Program(tmp_path, discovery.address, known=known, settings={"registryMode": "subscribe"})
    try:
        assert program.job("a", b"x") == (200, b"s-1:x")  # the list from the configuration is used meanwhile
        until(lambda: len(discovery.paths) >= 5, "the fifth call")
        assert all(path.startswith("/api/targets?after=1&") for path in discovery.paths)
        # The first watch, three calls without a wait after three failures, and another watch.
        short = [path.endswith("wait_ms=0") for path in discovery.paths[:5]]
        assert short == [False, True, True, True, False]
        until(lambda: program.logged("event=discovery.up"))
        program.stop()
    finally:
        program.process.kill()
        discovery.close()
        runner.close()


class Later:
    """Fake deadlines that only record when they are due."""

    def __init__(self) -> None:
        self.at: list[float] = []

    def add(self, at: float, action: object) -> None:
        self.at.append(at)

    def cancel(self, entry: object) -> None:
        pass


def retries(seed: int, instances: int, most: int) -> list[float]:
    """Returns the times at which one dispatcher retries while every call fails at once."""
    told = Settings([JobClass("proof", 1.0, 5.0)], instances=instances, must_subscribe=True)
    core = Core(told, seed, Clock(), Deadlines())
    later, clock = Later(), SimpleNamespace(now=lambda: 0.0)
    loop: Any = SimpleNamespace(deadlines=later, clock=clock)
    discovery = net_discovery.Discovery(
        loop, core, ("127.0.0.1", 1), net_discovery.ListReader({}), lambda worker, address: None, seed
    )
    at = [0.0]
    for _ in range(most):
        clock.now = lambda: at[-1]
        discovery._failed("status 503")
        at.append(later.at[-1])
    return at[1:]


@pytest.mark.parametrize("instances", [40, 200])
def test_the_whole_fleet_together_does_not_call_a_crowded_discovery_without_end(instances: int) -> None:
    """Guards against overload: with a retry every 1.5 s, calls came faster than they could be answered."""
    calls = sorted(at for seed in range(instances) for at in retries(seed, instances, 8) if at < 40.0)
    assert len(calls) <= 4 * instances
    assert all(sum(start <= at < start + 1 for at in calls) <= 20 for start in range(1, 40))
    assert len(set(calls)) == len(calls)  # retries are not synchronized


def test_one_that_is_alone_asks_again_soon() -> None:
    assert retries(1, 1, 1)[0] <= 0.2


def test_it_starts_from_the_known_list_while_discovery_is_away(tmp_path: Path) -> None:
    runner = Runner("s-1")
    known = {
        "version": 1,
        "full": True,
        "servers": [
            {
                "id": "s-1",
                "addr": runner.address,
                "zone": "a",
                "kind": "m",
                "state": "SERVING",
                "started_ms": 0,
            }
        ],
    }
    with socket.create_server(("127.0.0.1", 0)) as mute:
        program = Program(tmp_path, f"127.0.0.1:{mute.getsockname()[1]}", known=known)
        program.ready()
        assert program.job("a", b"x") == (200, b"s-1:x")
        program.stop()
    runner.close()


def test_a_reload_asks_the_new_discovery_for_the_whole_list_and_open_jobs_go_on(tmp_path: Path) -> None:
    old, new, other = Runner("s-1", "hold"), Runner("s-2"), Discovery()
    other.tell("s-2", addr=new.address)
    with running(tmp_path, old) as (program, discovery), ThreadPoolExecutor(1) as pool:
        assert discovery.version == other.version  # a watch from this version would return nothing new
        slow = pool.submit(program.job, "slow", b"1", "/release")
        until(lambda: old.seen)
        assert "event=reload.done" in program.reload(discovery=other.address)
        until(lambda: other.asked > 1, "the next watch")
        assert other.paths[0] == "/api/targets"
        assert program.job("next", b"2") == (200, b"s-2:2")
        old.release.set()
        assert slow.result(PATIENCE) == (200, b"s-1:1")
    for server in (new, other):
        server.close()


def test_a_reload_takes_new_settings(tmp_path: Path) -> None:
    runner, changed = Runner("s-1", "full"), settings()
    changed["allowed"] |= {"maxAttempts": 1, "maxRetryAfter": 0.125}
    with running(tmp_path, runner) as (program, _):
        assert "event=reload.done" in program.reload(settings=changed)
        response, _body = program.exchange("POST", "/release", b"x", X_Request_Id="r", X_Deadline_Ms="25000")
        assert (response.status, response.headers["Retry-After"]) == (503, "0.125")


@pytest.mark.parametrize(
    ("field", "text", "changes"),
    [
        ("PROXY_CONFIG", "{", {}),
        ("discovery", "", {"discovery": "nowhere"}),
        ("listen", "", {"listen": "127.0.0.1:1"}),
        ("settings.requestClasses", "", {"settings": settings(classes=settings()["requestClasses"][::-1])}),
    ],
)
def test_a_bad_reload_is_logged_and_changes_nothing(
    tmp_path: Path, field: str, text: str, changes: dict[str, Any]
) -> None:
    with running(tmp_path, Runner("s-1")) as (program, discovery):
        line = program.reload(text, **changes)
        assert f'event=reload.refused error="{field}: ' in line
        assert program.job("a", b"x") == (200, b"s-1:x")
        assert not program.logged("discovery.down")


def test_pipelined_and_dribbled_requests_are_answered_in_order(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner) as (program, _):
        text = post("a", b"1") + post("b", b"2") + post("c", b"3", "Connection: close\r\n")
        got = raw(program, *(text[i : i + 7] for i in range(0, len(text), 7)))
        assert [got.count(b"s-1:%d" % n) for n in (1, 2, 3)] == [1, 1, 1]
        assert got.index(b"s-1:1") < got.index(b"s-1:2") < got.index(b"s-1:3")


def test_space_around_a_header_is_not_part_of_it(tmp_path: Path) -> None:
    runner = Runner("s-1", lambda name: "full" if name == "full" else "done")
    with running(tmp_path, runner, Runner("s-2")) as (program, _):
        text = post("a", b"1", "Connection: close\r\n").replace(b": a\r\n", b":\t a \t\r\n")
        got = raw(program, *(bytes([byte]) for byte in text.replace(b" 9000", b"  9000 \t ")))
        assert got.startswith(b"HTTP/1.1 200 ")
        assert ("a", "/proof", b"1") in runner.seen
        assert program.job("full", b"2", "/release") == (200, b"s-2:2")  # workers may send such headers, too


def test_answers_that_a_client_is_slow_to_read_come_whole(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner) as (program, _), socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.settimeout(PATIENCE)
        s.connect(program.address())
        bodies = [b"%d" % n * 60_000 for n in range(8)]
        for n, body in enumerate(bodies):
            s.sendall(post(f"big{n}", body, "Connection: close\r\n" if n == 7 else ""))
        until(lambda: len(runner.seen) == 8)
        got = b"".join(iter(lambda: s.recv(4096), b""))
        assert all(got.count(b"s-1:" + body) == 1 for body in bodies)


def test_a_request_that_never_comes_whole_is_timed_out(tmp_path: Path) -> None:
    with running(tmp_path, Runner("s-1")) as (program, _):
        assert raw(program, post("slow", b"body")[:-2]).startswith(b"HTTP/1.1 408 ")


def test_a_request_that_still_comes_in_pieces_is_waited_for(tmp_path: Path) -> None:
    with running(tmp_path, Runner("s-1")) as (program, _), ThreadPoolExecutor(1) as pool:
        text = post("slow", b"body", "Connection: close\r\n")
        with socket.create_connection(program.address(), timeout=PATIENCE) as s:
            silent = pool.submit(raw, program, text[:-1])  # it began no later, and times out
            for n in range(len(text) - 1):
                if not silent.done():
                    time.sleep(0.05)
                s.sendall(text[n : n + 1])
            assert silent.result(PATIENCE).startswith(b"HTTP/1.1 408 ")
            s.sendall(text[-1:])
            assert s.recv(4096).startswith(b"HTTP/1.1 200 ")


def test_who_says_nothing_or_half_a_request_holds_no_descriptor_for_long(tmp_path: Path) -> None:
    with running(tmp_path, Runner("s-1"), limits={"sockets": 128}) as (program, _):
        assert raw(program) == b""  # closed although no request was sent
        socks = [socket.create_connection(program.address(), timeout=PATIENCE) for _ in range(150)]
        for n, s in enumerate(socks):
            s.sendall(post(f"half{n}", b"body")[:-2])
        assert program.job("a", b"x")[0] == 200
        assert program.counters()['larchgw_caps_total{cap="platform_idle"}'] > 0
        for s in socks:
            s.close()


def test_the_id_of_an_open_request_is_not_sent_a_second_time(tmp_path: Path) -> None:
    runner = Runner("s-1", "hold")
    with running(tmp_path, runner) as (program, _), ThreadPoolExecutor(1) as pool:
        first = pool.submit(program.job, "same", b"1", "/release")
        until(lambda: runner.seen)
        assert program.job("same", b"2")[0] == 500
        runner.release.set()
        assert first.result(PATIENCE) == (200, b"s-1:1")
        assert len(runner.seen) == 1
        assert program.job("same", b"3") == (200, b"s-1:3")


def test_bodies_that_come_in_are_held_to_the_memory_that_is_left(tmp_path: Path) -> None:
    with running(tmp_path, Runner("s-1"), limits={"sockets": 256, "memory_mb": 24}) as (program, _):
        socks = [socket.create_connection(program.address(), timeout=PATIENCE) for _ in range(20)]
        for n, s in enumerate(socks):
            s.sendall(post(f"big{n}", b"x" * 65536)[:-2])
        until(lambda: program.logged("event=cap.bodies"))
        got = [s.recv(65536) for s in socks]  # the others time out
        assert any(g.startswith(b"HTTP/1.1 503 ") and b"Retry-After: " in g for g in got)
        for s in socks:
            s.close()
        assert program.job("a", b"x")[0] == 200


BAD = [
    (b"nonsense\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost x\r\n\r\n", 400),
    (post("a", b"", "Content-Length: 5\r\n"), 400),
    (post("a", b"", "Transfer-Encoding: chunked\r\n"), 400),
    (post("a").replace(b"X-Request-Id: a\r\n", b"Connection: close\r\n"), 400),
    (post("a", b"", "Connection: close\r\n").replace(b"9000", b"soon"), 400),
    (post("a", b"", "Connection: close\r\n").replace(b"9000", b"0"), 400),
    (post("a", b"", "Connection: close\r\nX-Extras: slots=nan\r\n"), 400),
    (post("a", b"", "Connection: close\r\n", "/nosuch"), 404),
    (post("a", b"", "Connection: close\r\n").replace(b"POST", b"PUT"), 405),
    (post("a", b"", "Connection: close\r\nX-Request-Id: b\r\n"), 400),
    (post("a", b"", "Connection: close\r\nX-Cost-Hint: much\r\n"), 400),
    (post("a", b"", "Connection: close\r\nIdempotency-Key: 1\r\nIdempotency-Key: 2\r\n"), 400),
    (post("a", b"x" * 65537), 413),
    (post("a", b"", "X-Long: " + "y" * 20000 + "\r\n"), 431),
    (b"POST /proof HTTP/1.1\r\nX: " + b"y" * 100_000, 400),
    (post("a").replace(b"Host: x", b"Transfer-Encoding: identity"), 400),
]


def test_bad_input_is_answered_and_reaches_neither_the_module_nor_the_next_client(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner) as (program, _):
        for text, status in BAD:
            assert raw(program, text).startswith(b"HTTP/1.1 %d " % status), text[:80]
        assert not runner.seen
        assert program.job("good", b"x" * 65536)[0] == 200
        assert program.counters()['larchgw_taken_total{front="platform",job_class="proof"}'] == 1


def test_a_kept_connection_is_closed_before_the_runners_machine_would(tmp_path: Path) -> None:
    runner, allowed = Runner("s-1"), settings()["allowed"] | {"idleClose": 1.0}
    with running(tmp_path, runner, settings={"allowed": allowed}) as (program, _):
        assert program.job("a")[0] == 200
        until(lambda: runner.closed == 1)
        assert program.job("b")[0] == 200
        assert runner.opened == 2


def test_a_release_never_rides_on_a_kept_connection_that_may_be_dead(tmp_path: Path) -> None:
    runner = Runner("s-1", "done-then-reset")
    with running(tmp_path, runner) as (program, _):
        for n in range(4):  # each idle connection is reset at its next request
            assert program.job(f"r{n}", b"press%d" % n, "/release") == (200, b"s-1:press%d" % n)
            time.sleep(0.05)


def test_a_kept_connection_that_proved_dead_lowers_the_time_that_others_are_trusted(tmp_path: Path) -> None:
    runner = Runner("s-1", "done-then-reset")
    with running(tmp_path, runner, Runner("s-2", "done-then-reset")) as (program, _):
        for n in range(12):
            assert program.job(f"p{n}", b"proof%d" % n, key="7")[0] == 200
            time.sleep(0.05)
        assert 0 < program.counters()["larchgw_dead_connections_total"] <= 4


def test_many_clients_get_one_answer_each(tmp_path: Path) -> None:
    runners = [Runner(f"s-{n}") for n in range(4)]
    with running(tmp_path, *runners) as (program, _), ThreadPoolExecutor(16) as pool:
        paths = ("/proof", "/release")
        got = list(pool.map(lambda n: program.job(f"m{n}", b"%d" % n, paths[n % 2]), range(120)))
        served = [n for n, (status, body) in enumerate(got) if status == 200]
        assert {status for status, _ in got} <= {200, 503}
        assert len(served) > 60
        assert all(got[n][1].endswith(b":%d" % n) for n in served)
        assert all(sum(r.runs[b"%d" % n] for r in runners) <= 1 for n in range(1, 120, 2))


def test_sigterm_answers_what_is_open_and_what_still_comes(tmp_path: Path) -> None:
    runner = Runner("s-1", lambda name: "hold" if name == "slow" else "done")
    with running(tmp_path, runner) as (program, _), ThreadPoolExecutor(1) as pool:
        slow = pool.submit(program.job, "slow", b"1", "/release")
        until(lambda: runner.seen)
        program.process.terminate()
        until(lambda: program.logged("event=stop.begin"))
        assert program.job("late", b"2") == (200, b"s-1:2")
        assert program.ask("GET", "/-/ready")[0] == 503
        runner.release.set()
        assert slow.result(PATIENCE) == (200, b"s-1:1")
        assert program.process.wait(PATIENCE) == 0
        until(lambda: program.logged("larchgw_answered_total_platform_served_proof=1"))


def test_what_comes_long_after_sigterm_on_a_busy_connection_is_refused(tmp_path: Path) -> None:
    runner = Runner("s-1", "hold")
    with running(tmp_path, runner) as (program, _):
        address = program.address()
        with socket.create_connection(address, timeout=PATIENCE) as s:
            s.sendall(post("slow", b"1", path="/release"))
            until(lambda: runner.seen)
            program.process.terminate()

            def refused() -> bool:
                with socket.socket() as probe:
                    return probe.connect_ex(address) != 0

            until(refused, "the listener's end")
            s.sendall(post("late", b"2"))
            runner.release.set()
            got = b"".join(iter(lambda: s.recv(65536), b""))
        assert b"s-1:1" in got
        assert b"HTTP/1.1 503 " in got
        assert b"Retry-After: " in got
        assert [body for _, _, body in runner.seen] == [b"1"]
        assert program.process.wait(PATIENCE) == 0


def test_counters_are_told_on_sigusr1_and_health_and_agent_check_answer(tmp_path: Path) -> None:
    one, two = Runner("s-1"), Runner("s-2")
    with running(tmp_path, one, two) as (program, discovery):
        program.job("a")
        program.process.send_signal(signal.SIGUSR1)
        until(lambda: any("larchgw_sent_total_http=1" in x for x in program.logged("event=counters")))
        paths = ("/ready", "/alive", "/other")
        assert [program.ask("GET", path, front="ops")[0] for path in paths] == [200, 200, 404]

        def agent() -> bytes:
            with socket.create_connection(program.address("agent_check"), timeout=PATIENCE) as s:
                return b"".join(iter(lambda: s.recv(64), b""))

        assert agent() == b"up ready 100%\n"
        discovery.tell("s-1", "DRAINING")
        until(lambda: agent() == b"up ready 50%\n")
        discovery.tell("s-2", "DRAINING")
        until(lambda: agent() == b"down\n")


def test_a_fault_in_one_connection_leaves_the_others_alone(tmp_path: Path) -> None:
    runner = Runner("s-1")
    with running(tmp_path, runner, limits={"sockets": 128}) as (program, _):
        socks = [socket.create_connection(program.address(), timeout=PATIENCE) for _ in range(150)]
        assert program.job("a", b"x")[0] == 200  # idle connections are closed to make room
        assert program.counters()['larchgw_caps_total{cap="platform_idle"}'] > 0
        for s in socks:
            s.close()


@pytest.mark.parametrize(
    ("field", "change"),
    [
        ("discovery", {"discovery": "nowhere"}),
        ("admin", {"admin": "nowhere"}),
        ("limits.sockets", {"limits": {"sockets": 3}}),
        ("settings.classes", {"settings": settings(classes=[])}),
        ("settings", {"settings": 3}),
        ("settings.rank", {"settings": settings(rank="x")}),
        ("known", {"known": {"servers": [{}]}}),
        ("seed", {"seed": "xyz"}),
        ("listen", {"listen": "no.such:1"}),
        ("settings.allowed.idleClose", {"settings": settings() | {"allowed": {"idleClose": "x"}}}),
        ("settings.report.via", {"settings": settings(report={"via": "shout"})}),
        ("settings.report.fields", {"settings": settings(report={"via": "pull", "fields": "x0"})}),
        ("settings.nInstances", {"settings": settings(nInstances="many")}),
        ("settings.tenants[0].quotaPerS", {"settings": settings(tenants=[{"name": "a", "quotaPerS": "x"}])}),
        ("settings.requestClasses[0].effect", {"settings": settings(classes=[job_class("p", "maybe", 1.0)])}),
        ("settings.requestClasses[0].aim", {"settings": settings(classes=[{"name": "p", "deadline": 1}])}),
    ],
)
def test_bad_configuration_is_one_line_with_the_field_and_exit_2(
    tmp_path: Path, field: str, change: dict[str, Any]
) -> None:
    config = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()} | change
    (tmp_path / "c.json").write_text(json.dumps(config))
    done = subprocess.run(
        [sys.executable, "-m", "larchgw"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=os.environ | {"PROXY_CONFIG": str(tmp_path / "c.json")},
        timeout=PATIENCE,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert done.stderr.startswith(f"larchgw: {field}")


@pytest.mark.parametrize(
    ("field", "text"),
    [
        ("gearman.listen", "[gearman]"),
        ("ops.listen", '[ops]\nlisten = "x"'),
        ("nosuch", "[nosuch]"),
        ("gearman.remember_s", '[gearman]\nlisten = "127.0.0.1:1"\nremember_s = 0'),
        ("[^:]*fronts.toml", "[["),
    ],
)
def test_a_bad_fronts_file_is_one_line_that_names_the_field(tmp_path: Path, field: str, text: str) -> None:
    path = tmp_path / "fronts.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=f"^{field}: "):
        load_fronts(path)
    assert load_fronts(ROOT / "deploy" / "fronts.toml").remember == 900.0


def test_a_silent_port_is_given_up_after_the_dial_time(tmp_path: Path) -> None:
    good = Runner("s-2")
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    with full, running(tmp_path, good) as (program, discovery):
        fillers = [
            socket.socket() for _ in range(4)
        ]  # the accept queue is full, so further connections are never established
        for s in fillers:
            s.setblocking(False)
            s.connect_ex(full.getsockname())
        discovery.tell("s-1", addr=f"127.0.0.1:{full.getsockname()[1]}")
        until(lambda: program.counters().get('larchgw_lists_total{kind="full"}', 0) >= 2)
        threads = [
            threading.Thread(target=program.job, args=(f"r{n}", b"%d" % n, "/release")) for n in range(3)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(PATIENCE)
        assert [good.runs[b"%d" % n] for n in range(3)] == [1, 1, 1]
        for s in fillers:
            s.close()
