"""The dispatcher embedded in a Flask program."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

import pytest
from flask import Flask

from larchgw.dispatcher.core import AnswerKind
from larchgw.wsgi import DispatchMiddleware, EmbeddedDispatcher
from tests.support.stand_ins import Discovery, Runner, settings, until


@pytest.fixture
def parts() -> Iterator[tuple[Flask, EmbeddedDispatcher, Runner]]:
    runner, discovery = Runner("s-1"), Discovery()
    discovery.tell("s-1", addr=runner.address)
    dispatcher = EmbeddedDispatcher({"discovery": discovery.address, "settings": settings()})
    app = Flask("t")
    app.add_url_rule("/hello", view_func=lambda: "hello")
    middleware = DispatchMiddleware(app.wsgi_app, dispatcher, {"/jobs/release": "release"})
    app.wsgi_app = middleware  # type: ignore[method-assign]  # as documented by Flask
    dispatcher.start()
    until(lambda: "larchgw_lists_total_full" in dispatcher.figures())
    yield app, dispatcher, runner
    runner.release.set()
    dispatcher.stop()
    runner.close()
    discovery.close()


def test_chosen_paths_go_to_the_boxes_and_the_rest_to_the_application(
    parts: tuple[Flask, EmbeddedDispatcher, Runner],
) -> None:
    app, _, runner = parts
    client = app.test_client()
    assert client.get("/hello").data == b"hello"
    answer = client.post("/jobs/release?plant=2", data=b"art", headers={"X-Request-Id": "abc", "X-Key": "7f"})
    assert (answer.status_code, answer.data) == (200, b"s-1:art")
    assert runner.seen == [("abc", "/jobs/release?plant=2", b"art")]
    assert client.get("/jobs/release").status_code == 405
    assert client.post("/jobs/release", headers={"X-Deadline-Ms": "soon"}).status_code == 400
    assert client.post("/jobs/release", data=b"x" * 65537).status_code == 413
    runner.how = "cut"
    assert client.post("/jobs/release", data=b"cut").status_code == 500
    assert runner.runs[b"cut"] == 1


def test_a_refusal_carries_retry_after(parts: tuple[Flask, EmbeddedDispatcher, Runner]) -> None:
    app, _, runner = parts
    runner.how = "full"
    answer = app.test_client().post("/jobs/release", data=b"art", headers={"X-Deadline-Ms": "25000"})
    assert answer.status_code == 503
    assert float(answer.headers["Retry-After"]) > 0


def test_futures_can_be_cancelled_and_stop_answers_what_is_open(
    parts: tuple[Flask, EmbeddedDispatcher, Runner],
) -> None:
    _, dispatcher, runner = parts
    runner.how = lambda name: "hang" if name == "left" else "hold"
    left = dispatcher.submit("release", b"1", name="left")
    until(lambda: runner.seen)
    assert left.cancel()
    assert until(lambda: runner.gave_up) == [True]
    kept = dispatcher.submit("release", b"2")
    until(lambda: runner.runs[b"2"])
    runner.release.set()
    dispatcher.stop()
    assert kept.result(0).kind is AnswerKind.SERVED
    with pytest.raises(RuntimeError):
        dispatcher.submit("release", b"3")


def test_a_future_that_is_cancelled_before_its_job_is_taken_is_never_sent(
    parts: tuple[Flask, EmbeddedDispatcher, Runner],
) -> None:
    _, dispatcher, runner = parts
    assert dispatcher.submit("proof", b"warm").result(20).kind is AnswerKind.SERVED
    time.sleep(0.1)  # an idle connection to the worker, on which the next job is sent at once
    asleep, awake = threading.Event(), threading.Event()

    def sleep() -> None:
        asleep.set()
        awake.wait(20)

    dispatcher._node.loop.call_soon(sleep)
    assert asleep.wait(20)  # the dispatcher's thread is blocked
    left = [dispatcher.submit("proof", b"left") for _ in range(3)]
    assert all(future.cancel() for future in left)
    kept = dispatcher.submit("proof", b"kept")
    awake.set()
    assert kept.result(20).kind is AnswerKind.SERVED
    assert [body for _, _, body in runner.seen] == [b"warm", b"kept"]


def test_an_unknown_class_is_said_at_once(parts: tuple[Flask, EmbeddedDispatcher, Runner]) -> None:
    app, dispatcher, _ = parts
    with pytest.raises(KeyError):
        DispatchMiddleware(app.wsgi_app, dispatcher, {"/x": "nosuch"})
