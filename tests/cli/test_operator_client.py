"""The operator's client: a call is sent unchanged until it has a clear answer, and never twice after one."""

from __future__ import annotations

import random

from testtools import TestCase

from larchgw.cli.operator_client import Call, NoAnswer, OperatorClient, Reply, Unclear, Waiting

CALL = Call("POST", "/Config.Replace", {"X-Built-On": "3"}, b'{"config_version": 4}')
ADDRESSES = ["10.0.0.1:8146", "10.0.0.2:8146", "10.0.0.3:8146"]


class Script:
    """Answers in turn; after the last one there is silence. Time passes only while the client sleeps."""

    def __init__(self, *answers: Reply | None) -> None:
        self.answers = list(answers)
        self.sent: list[tuple[str, Call]] = []
        self.now = 0.0
        self.pauses: list[float] = []

    def send(self, address: str, call: Call) -> Reply:
        self.sent.append((address, call))
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            raise NoAnswer(f"{address}: silence")
        return answer

    def sleep(self, seconds: float) -> None:
        self.now += seconds
        self.pauses.append(seconds)

    def client(self, patience_s: float = 30.0) -> OperatorClient:
        waiting = Waiting(lambda: self.now, self.sleep, random.Random(1), patience_s)
        return OperatorClient(ADDRESSES, self, waiting)

    @property
    def asked(self) -> list[str]:
        return [address for address, _ in self.sent]


def redirect(location: str) -> Reply:
    return Reply(307, b"", location)


class OperatorClientTest(TestCase):
    def test_a_call_without_a_clear_answer_is_sent_unchanged_to_the_other_processes(self) -> None:
        script = Script(None, Reply(503), Reply(429), Reply(408), Reply(200, b"{}"))
        self.assertEqual(Reply(200, b"{}"), script.client().call(CALL))
        self.assertEqual([*ADDRESSES, *ADDRESSES[:2]], script.asked)
        self.assertEqual({CALL.body}, {call.body for _, call in script.sent})
        self.assertTrue(all(call == CALL for _, call in script.sent))

    def test_pauses_grow_so_that_a_system_in_trouble_is_not_pressed(self) -> None:
        script = Script()
        self.assertRaises(Unclear, script.client().call, CALL)
        first, last = script.pauses[0], script.pauses[-1]
        self.assertLess(first, 0.11)
        self.assertGreater(last, 0.9)
        self.assertLess(len(script.sent), 40)
        self.assertLess(script.now, 30.0)

    def test_a_refusal_is_final_at_once(self) -> None:
        for status in (400, 409, 412, 413, 422):
            script = Script(Reply(status, b"why"), Reply(200))
            self.assertEqual(status, script.client().call(CALL).status)
            self.assertEqual(1, len(script.sent))

    def test_another_4xx_is_final_only_at_the_third_time(self) -> None:
        script = Script(Reply(404), Reply(404), Reply(200))
        self.assertEqual(200, script.client().call(CALL).status)
        script = Script(Reply(404), Reply(503), Reply(404), Reply(404), Reply(200))
        self.assertEqual(404, script.client().call(CALL).status)

    def test_a_redirect_keeps_method_and_body_and_is_followed_twice(self) -> None:
        script = Script(
            redirect("http://10.0.0.8:8146/Config.Replace"),
            redirect("http://10.0.0.9:8146/Config.Replace"),
            Reply(200),
        )
        self.assertEqual(200, script.client().call(CALL).status)
        self.assertEqual([ADDRESSES[0], "10.0.0.8:8146", "10.0.0.9:8146"], script.asked)
        self.assertTrue(all(call == CALL for _, call in script.sent))

    def test_processes_that_redirect_in_a_circle_are_left_for_another(self) -> None:
        there, back = redirect("http://10.0.0.8:8146/x"), redirect(f"http://{ADDRESSES[0]}/x")
        script = Script(there, back, there, Reply(200))
        self.assertEqual(200, script.client().call(CALL).status)
        self.assertEqual(ADDRESSES[1], script.asked[-1])

    def test_a_redirect_to_no_address_is_no_answer(self) -> None:
        script = Script(redirect("/elsewhere"), Reply(200))
        self.assertEqual(200, script.client().call(CALL).status)

    def test_the_end_of_patience_names_the_last_problem(self) -> None:
        script = Script(Reply(503), Reply(503))
        error = self.assertRaises(Unclear, script.client(0.2).call, CALL)
        self.assertIn("status 503", str(error))
