"""Parts of an event loop iteration: the order of events, and detection of unresponsive watches."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from larchgw.dispatcher.assembly import DISCOVERY_HEAD_START_S, Node
from larchgw.dispatcher.config.startup import Config, read
from larchgw.dispatcher.core import Core
from larchgw.dispatcher.scheduling.interface import JobClass, Settings, Status
from larchgw.dispatcher.workers import discovery as net_discovery
from larchgw.dispatcher.workers.connection import RunnerConnection
from larchgw.dispatcher.workers.pool import RunnerPool
from larchgw.net import client_connection
from larchgw.net.connection_outcome import ConnectionOutcome
from larchgw.net.http_server import Exchange, HttpServer
from larchgw.net.listener import Listener
from larchgw.net.loop import CLIENTS, FIRST, LISTENERS, READ, WORKERS, Loop
from larchgw.net.timers import Clock, Deadlines
from tests.support.stand_ins import delivered, settings, until


def turn_until(loop: Loop, condition: Callable[[], Any]) -> None:
    """Runs iterations of the loop until the condition holds."""

    def turned() -> Any:
        loop.run_once()
        return condition()

    until(turned)


def test_a_turn_hears_lists_and_clients_before_workers_and_newcomers() -> None:
    """An answer frees a slot: by then it must be known whether the next client left or the worker drains."""
    loop = Loop(Clock(), Deadlines())
    heard: list[int] = []
    pairs = []

    def hear(rank: int, ours: socket.socket) -> Callable[[int], None]:
        def ready(mask: int) -> None:
            heard.append(rank)
            ours.recv(1)

        return ready

    for rank in (LISTENERS, WORKERS, CLIENTS, FIRST):
        ours, theirs = socket.socketpair()
        pairs += [ours, theirs]
        loop.watch(ours, READ, hear(rank, ours), rank)
        theirs.send(b"x")
    loop.run_once()
    for sock in pairs:
        loop.unwatch(sock)
        sock.close()
    loop.close()
    assert heard == [FIRST, CLIENTS, WORKERS, LISTENERS]


def test_what_one_loop_was_told_of_its_listeners_is_not_every_loops() -> None:
    shared, alone = Loop(Clock(), Deadlines()), Loop(Clock(), Deadlines())
    shared.reuse_port = True
    core = Core(Settings([JobClass("proof", 4.0, 10.0)]), 1, Clock(), Deadlines())
    listeners = [
        Listener(loop, core.counters, "x", ("127.0.0.1", 0), 4, lambda s: None, lambda: 0, lambda: False)
        for loop in (shared, alone)
    ]
    asked = [x.sock.getsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT) for x in listeners]
    for listener, loop in zip(listeners, (shared, alone), strict=True):
        listener.close()
        loop.close()
    assert asked == [1, 0]


# A watch that becomes unresponsive


class FakeConnector:
    """Replaces connections to discovery; records each call and its time."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.calls: list[tuple[float, str, Any]] = []

    def connect(self, loop: Any, address: Any, owner: Any, *rank: int) -> Any:
        def write(data: bytes) -> None:
            self.calls.append((self.now(), data.decode().split()[1], owner))

        return SimpleNamespace(write=write, close=lambda: None)


def answered(owner: Any, version: int) -> None:
    body = json.dumps({"version": version, "full": True, "servers": []}).encode()
    owner.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


@pytest.mark.parametrize(("pushed", "silent"), [(True, 1), (True, 2), (True, 3), (False, 1)])
@pytest.mark.parametrize("seed", range(5))
def test_what_a_silent_watch_misses_is_asked_for_before_it_counts_as_told(
    monkeypatch: pytest.MonkeyPatch, pushed: bool, silent: int, seed: int
) -> None:
    """Missed changes count as known 6 s after the watch became unresponsive, or 2 s after its wait if later.

    If lists are pushed, further calls may go unanswered, too. If all dispatchers request lists from one
    service, the call after the unanswered one is answered in its turn.
    """
    now = 100.0
    clock, deadlines = SimpleNamespace(now=lambda: now), Deadlines()
    told = Settings([JobClass("proof", 1.0, 5.0)], instances=4, must_subscribe=not pushed)
    core = Core(told, seed, clock, deadlines)  # type: ignore[arg-type]
    connector = FakeConnector(lambda: now)
    monkeypatch.setattr(net_discovery, "connect", connector.connect)
    watched = net_discovery.Discovery(
        SimpleNamespace(clock=clock, deadlines=deadlines),  # type: ignore[arg-type]
        core,
        ("127.0.0.1", 1),
        net_discovery.ListReader({}),
        lambda worker, address: None,
        seed,
    )
    watched.start()
    answered(connector.calls[-1][2], 1)
    fell = now  # the watch sent now gets no answer
    path = connector.calls[-1][1]
    wait = float(path.split("wait_ms=")[1]) / 1000.0
    before = len(connector.calls)
    while len(connector.calls) < before + silent:
        due = deadlines.earliest()
        assert due is not None
        now = max(now, due)
        deadlines.run_due(now)
    answered(connector.calls[-1][2], 2)
    assert watched.version == 2
    assert now - fell <= max(6.0, wait + 2.0) - 0.5  # half a second remains for the answer


@pytest.mark.parametrize("pushed", [True, False])
def test_ready_waits_for_what_the_agent_holds_but_not_for_one_that_is_silent(pushed: bool) -> None:
    """What the agent holds counts as known from the start; the list in the configuration may be older."""
    known = {
        "version": 1,
        "full": True,
        "servers": [{"id": "s-1", "addr": "127.0.0.1:1", "zone": "a", "kind": "m", "state": "SERVING"}],
    }
    node = Node(_config(known=known, settings=settings(registryMode="automatic" if pushed else "subscribe")))
    begun = node.loop.clock.now()
    node.loop.clock.now = lambda: begun + 0.01  # type: ignore[method-assign]
    assert node.ready() is not pushed
    node.loop.clock.now = lambda: begun + DISCOVERY_HEAD_START_S + 0.1  # type: ignore[method-assign]
    assert node.ready()
    node.loop.clock.now = lambda: begun + 0.01  # type: ignore[method-assign]
    node.discovery.asked = True
    assert node.ready()
    node.close()


def _config(**changes: Any) -> Config:
    told = {"discovery": "127.0.0.1:1", "seed": "1", "settings": settings()}
    return read(told | changes, need_listen=False)


# A client connection that is about to be closed


class RecordingHandler:
    """Records requests and answers them at once, unless it is set to hold them."""

    name = "told"

    def __init__(self) -> None:
        self.heard: list[bytes] = []
        self.hold = False
        self.held: list[Exchange] = []

    def on_exchange(self, exchange: Exchange) -> None:
        self.heard.append(exchange.target)
        if self.hold:
            self.held.append(exchange)
        else:
            exchange.reply(200, b"made " + exchange.target)

    def on_client_gone(self, exchange: Exchange) -> None:
        pass


@pytest.fixture
def served() -> Any:
    loop, handler = Loop(Clock(), Deadlines()), RecordingHandler()
    core = Core(Settings([JobClass("proof", 4.0, 10.0)]), 1, loop.clock, loop.deadlines)
    server = HttpServer(loop, core.counters, ("127.0.0.1", 0), handler, 8, 1 << 20)
    sock = socket.create_connection(server.listener.address, timeout=20)
    sock.sendall(b"GET /1 HTTP/1.1\r\n\r\n")
    turn_until(loop, lambda: handler.heard)
    assert sock.recv(4096).endswith(b"made /1")
    yield loop, server, handler, sock
    sock.close()
    for link in list(server.connections):
        link.connection.close()
    server.listener.close()
    loop.close()


def send(sock: socket.socket, text: bytes) -> None:
    sock.sendall(text)
    until(lambda: delivered(sock))


@pytest.mark.parametrize("end", ["stop", "idle", "crowd"])
def test_a_request_that_lies_unread_when_its_connection_is_to_end_is_answered(served: Any, end: str) -> None:
    loop, server, handler, sock = served
    send(sock, b"GET /2 HTTP/1.1\r\n\r\n")
    link = next(iter(server.connections))
    if end == "stop":
        server.close_idle()
    elif end == "idle":
        link._expire(ConnectionOutcome.IDLE)
    else:
        server.resize(0, 1 << 20)
    assert sock.recv(4096).endswith(b"made /2")
    assert handler.heard == [b"/1", b"/2"]


def test_where_the_oldest_has_just_asked_the_next_one_makes_room(served: Any) -> None:
    """Guards against delays: new connections waited for the listener's pause each time that this happened."""
    loop, server, handler, sock = served
    with socket.create_connection(server.listener.address, timeout=20) as second:
        send(second, b"GET /a HTTP/1.1\r\n\r\n")
        turn_until(loop, lambda: b"/a" in handler.heard)
        assert second.recv(4096).endswith(b"made /a")
        handler.hold = True
        send(sock, b"GET /2 HTTP/1.1\r\n\r\n")
        server.resize(1, 1 << 20)
        assert second.recv(4096) == b""
        assert len(server.connections) == 1
        handler.held[0].reply(200, b"made /2")
        assert sock.recv(4096).endswith(b"made /2")


@pytest.mark.parametrize("later", ["linger", "at once"])
def test_what_comes_after_the_shutdown_is_not_handled_and_takes_no_answer_with_it(
    served: Any, later: str
) -> None:
    """Closing a socket with unread data resets the connection, which discards an answer not yet read."""
    loop, server, handler, sock = served
    handler.hold = True
    send(sock, b"GET /2 HTTP/1.1\r\n\r\n")
    turn_until(loop, lambda: handler.held)
    link = next(iter(server.connections))
    handler.held[0].keep_alive = False
    handler.held[0].reply(200, b"x" * 50_000)
    send(sock, b"GET /3 HTTP/1.1\r\n\r\n" * 3)
    if later == "linger":
        loop.run_once()
    else:
        link.connection.close()
    got = b"".join(iter(lambda: sock.recv(65536), b""))  # an orderly close, not a reset
    assert got.endswith(b"x" * 50_000)
    assert handler.heard == [b"/1", b"/2"]


def test_a_client_that_is_not_read_is_looked_at_for_its_end_every_tenth_of_a_second() -> None:
    # requests on its connection may still be sent up to 0.3 s after the client has left
    assert client_connection.PEER_CHECK_INTERVAL_S <= 0.15


# A probe that receives the response to a job


@pytest.mark.parametrize("body", [b'{"id":"a","state":"done","result":"x"}\n', b"util=0.1,x0=5"])
def test_a_late_second_answer_is_no_report(body: bytes) -> None:
    probed: list[Any] = []
    core = SimpleNamespace(list_listeners=[], probed=lambda *told: probed.append(told))
    told = {"report": {"via": "pull", "fields": ["busy", "x0"]}, "allowed": {}}
    loop = Loop(Clock(), Deadlines())
    pool = RunnerPool(loop, core, told, 8)  # type: ignore[arg-type]
    ours, theirs = socket.socketpair()
    link = RunnerConnection(pool, b"s-1", ("127.0.0.1", 1), ours)
    pool.links.add(link)
    link.begin_probe()
    link.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    link.close()
    theirs.close()
    loop.close()
    assert len(probed) == 1
    assert probed[0][1] == (Status.RESET if b"state" in body else Status.OK)
    assert b"state" in body or probed[0][3] == [0.1, 5.0]
