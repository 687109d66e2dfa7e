"""The operator client sends a call unchanged until it gets a definite response, and not again after it."""

from __future__ import annotations

import random

import pytest

from larchgw.cli.errors import NoAnswerError, UnclearOutcomeError
from larchgw.cli.operator_client import Call, OperatorClient, Reply, RetryPolicy

CALL = Call("POST", "/Config.Replace", {"X-Built-On": "3"}, b'{"config_version": 4}')
ADDRESSES = ["10.0.0.1:8146", "10.0.0.2:8146", "10.0.0.3:8146"]


class ScriptedTransport:
    """Returns the answers in turn, then raises NoAnswerError. Time passes only while the client sleeps."""

    def __init__(self, *answers: Reply | None) -> None:
        self.answers = list(answers)
        self.sent: list[tuple[str, Call]] = []
        self.now = 0.0
        self.pauses: list[float] = []

    def send(self, address: str, call: Call) -> Reply:
        self.sent.append((address, call))
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            raise NoAnswerError(address, "silence")
        return answer

    def sleep(self, seconds: float) -> None:
        self.now += seconds
        self.pauses.append(seconds)

    def client(self, give_up_after_s: float = 30.0) -> OperatorClient:
        policy = RetryPolicy(lambda: self.now, self.sleep, random.Random(1), give_up_after_s)
        return OperatorClient(ADDRESSES, self, policy)

    @property
    def asked(self) -> list[str]:
        return [address for address, _ in self.sent]


def redirect(location: str) -> Reply:
    return Reply(307, b"", location)


def test_a_call_without_a_definite_response_is_sent_unchanged_to_the_other_processes() -> None:
    transport = ScriptedTransport(None, Reply(503), Reply(429), Reply(408), Reply(200, b"{}"))
    assert transport.client().call(CALL) == Reply(200, b"{}")
    assert transport.asked == [*ADDRESSES, *ADDRESSES[:2]]
    assert {call.body for _, call in transport.sent} == {CALL.body}
    assert all(call == CALL for _, call in transport.sent)


def test_pauses_grow_to_avoid_overloading_the_system() -> None:
    transport = ScriptedTransport()
    with pytest.raises(UnclearOutcomeError):
        transport.client().call(CALL)
    first, last = transport.pauses[0], transport.pauses[-1]
    assert first < 0.11
    assert last > 0.9
    assert len(transport.sent) < 40
    assert transport.now < 30.0


def test_a_refusal_is_final_at_once() -> None:
    for status in (400, 409, 412, 413, 422):
        transport = ScriptedTransport(Reply(status, b"why"), Reply(200))
        assert transport.client().call(CALL).status == status
        assert len(transport.sent) == 1


def test_another_4xx_is_final_only_at_the_third_time() -> None:
    transport = ScriptedTransport(Reply(404), Reply(404), Reply(200))
    assert transport.client().call(CALL).status == 200
    transport = ScriptedTransport(Reply(404), Reply(503), Reply(404), Reply(404), Reply(200))
    assert transport.client().call(CALL).status == 404


def test_a_redirect_keeps_method_and_body_and_is_followed_twice() -> None:
    transport = ScriptedTransport(
        redirect("http://10.0.0.8:8146/Config.Replace"),
        redirect("http://10.0.0.9:8146/Config.Replace"),
        Reply(200),
    )
    assert transport.client().call(CALL).status == 200
    assert transport.asked == [ADDRESSES[0], "10.0.0.8:8146", "10.0.0.9:8146"]
    assert all(call == CALL for _, call in transport.sent)


def test_a_redirect_loop_is_abandoned_for_another_process() -> None:
    there, back = redirect("http://10.0.0.8:8146/x"), redirect(f"http://{ADDRESSES[0]}/x")
    transport = ScriptedTransport(there, back, there, Reply(200))
    assert transport.client().call(CALL).status == 200
    assert transport.asked[-1] == ADDRESSES[1]


def test_a_redirect_without_an_address_is_retried_like_a_missing_response() -> None:
    transport = ScriptedTransport(redirect("/elsewhere"), Reply(200))
    assert transport.client().call(CALL).status == 200


def test_an_unclear_outcome_names_the_last_problem() -> None:
    transport = ScriptedTransport(Reply(503), Reply(503))
    with pytest.raises(UnclearOutcomeError, match="status 503"):
        transport.client(0.2).call(CALL)
