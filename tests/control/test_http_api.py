"""The HTTP API of a control process for the operator and for runners."""

import asyncio
import json

from tornado.testing import AsyncHTTPTestCase

from larchgw.control import http_api
from larchgw.control.http_api import application
from larchgw.control.operator_service import OperatorResponse
from larchgw.runner_directory.errors import CheckInError

ADDRESS = "10.0.0.1:8146"


class ScriptedService:
    def __init__(self):
        self.calls = []
        self.answer = OperatorResponse(200, b'{"config_version": 7}')
        self.acknowledges = True
        self.error = None

    async def operator_call(self, operation, base_version, body):
        self.calls.append((operation, base_version, body))
        return self.answer

    async def check_in(self, runner, body):
        self.calls.append(("checkin", runner, body))
        if self.error is not None:
            raise self.error
        return self.acknowledges

    async def leave(self, runner):
        self.calls.append(("leave", runner))
        return self.acknowledges


class ControlHttpTest(AsyncHTTPTestCase):
    def get_app(self):
        self.service = ScriptedService()
        return application(self.service, self.service, ADDRESS)

    def get_httpserver_options(self):
        return http_api.SERVER_OPTIONS

    def post(self, path, body=b"{}", **headers):
        return self.fetch(path, method="POST", body=body, headers=headers)

    def raw(self, data, closes_early=False):
        """Sends these bytes; returns everything received until the connection closes."""

        async def exchange():
            reader, writer = await asyncio.open_connection("127.0.0.1", self.get_http_port())
            writer.write(data)
            if closes_early:
                writer.write_eof()
            answer = await reader.read()
            writer.close()
            return answer

        return self.io_loop.run_sync(exchange, timeout=20.0)

    def test_configuration_is_passed_to_the_service_with_its_base_version(self):
        answer = self.post("/Config.Replace", b'{"config_version": 7}', **{"X-Built-On": "5"})
        assert (answer.code, answer.body) == (200, b'{"config_version": 7}')
        assert self.service.calls == [("replace", 5, b'{"config_version": 7}')]

    def test_change_without_a_base_version_is_marked_as_such(self):
        self.post("/Config.Change", b"{}")
        assert self.service.calls == [("change", -1, b"{}")]

    def test_base_version_that_is_no_number_is_rejected(self):
        assert self.post("/Config.Change", b"{}", **{"X-Built-On": "five"}).code == 400
        assert self.service.calls == []

    def test_text_that_only_pythons_int_accepts_is_no_base_version(self):
        for text in ("-1", "+5", "1_0", "5,5", "5.0", "\xb2", "9" * 19, "9" * 5000):
            assert self.post("/Config.Replace", b"{}", **{"X-Built-On": text}).code == 400, text[:30]
        assert self.service.calls == []

    def test_base_version_may_have_leading_zeros_and_the_largest_valid_value(self):
        self.post("/Config.Replace", **{"X-Built-On": "007"})
        self.post("/Config.Replace", **{"X-Built-On": str(2**63 - 1)})
        assert [base_version for _, base_version, _ in self.service.calls] == [7, 2**63 - 1]

    def test_body_over_the_size_limit_is_rejected(self):
        answer = self.raw(
            b"POST /Config.Replace HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
            % (http_api.MAX_BODY_BYTES + 1)
        )
        assert answer.startswith(b"HTTP/1.1 400 "), answer
        assert self.service.calls == []

    def test_truncated_body_is_not_passed_to_the_service(self):
        self.raw(
            b'POST /Config.Replace HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\n{"config_version"',
            closes_early=True,
        )
        assert self.service.calls == []

    def test_rejected_and_unconfirmed_responses_keep_their_status(self):
        for status in (400, 412, 503):
            self.service.answer = OperatorResponse(status, b"{}")
            assert status == self.post("/Config.Replace").code

    def test_read_returns_the_complete_configuration(self):
        self.service.answer = OperatorResponse(200, b'{"routes": []}')
        assert self.fetch("/Config.Read").body == b'{"routes": []}'

    def test_acknowledgement_names_this_process_for_the_next_check_in(self):
        answer = self.post("/Runners.Checkin/i-1", b'{"service": "s"}')
        assert json.loads(answer.body) == {"beat_to": ADDRESS}
        assert self.service.calls == [("checkin", "i-1", b'{"service": "s"}')]

    def test_runner_gets_503_where_it_must_not_be_acknowledged(self):
        self.service.acknowledges = False
        assert self.post("/Runners.Checkin/i-1").code == 503
        assert self.post("/Runners.Leave/i-1").code == 503

    def test_response_to_an_invalid_check_in_names_the_fault(self):
        self.service.error = CheckInError("service", "is missing", "send it")
        answer = self.post("/Runners.Checkin/i-1")
        assert answer.code == 400
        assert "service" in json.loads(answer.body)["error"]

    def test_other_paths_and_methods_are_rejected(self):
        assert self.fetch("/Config").code == 404
        assert self.fetch("/Config.Replace").code == 405
