"""Operator calls are forwarded to the primary by any process, or are answered as unconfirmed in time."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from larchgw.control.operator_calls import CALL_TIMEOUT_S, OperatorCallRouter
from larchgw.control.operator_order import OperatorOrder
from larchgw.control.operator_service import OperatorResponse
from larchgw.emulator.virtual_loop import run
from larchgw.rpc.errors import RpcConnectionError
from larchgw.rpc.generated.ttypes import OperatorAnswer, OperatorCall

PRIMARY, OTHER = "10.0.0.1:7660", "10.0.0.2:7660"


class ScriptedMember:
    id = "me"

    def __init__(self, *primaries: str | None) -> None:
        """Takes the address of the primary for each successive read; the last one is repeated."""
        self.primaries = list(primaries)
        self.is_primary = False

    @property
    def primary(self) -> str | None:
        return self.primaries.pop(0) if len(self.primaries) > 1 else self.primaries[0]


class ScriptedService:
    """Returns scripted answers in order as the primary's own service, and records the submitted orders."""

    def __init__(self, *answers: OperatorResponse) -> None:
        self.answers = list(answers)
        self.orders: list[OperatorOrder] = []

    async def submit(self, order: OperatorOrder) -> OperatorResponse:
        self.orders.append(order)
        return self.answers.pop(0)

    async def read(self) -> OperatorResponse:
        return self.answers.pop(0)


class ScriptedPeers:
    """RPC clients by address; a peer without further scripted answers is unreachable."""

    def __init__(self, **answers: list[int]) -> None:
        self.answers = {PRIMARY: answers.get("primary", []), OTHER: answers.get("other", [])}
        self.called: list[str] = []

    def get(self, address: str) -> object:
        peers = self

        class Client:
            async def call(self, method: str, call: OperatorCall, timeout_s: float) -> OperatorAnswer:
                peers.called.append(address)
                if not peers.answers[address]:
                    raise RpcConnectionError("gone")
                return OperatorAnswer(peers.answers[address].pop(0), call.body, address)

        return Client()


def new_router(member: ScriptedMember, service: object, peers: object) -> OperatorCallRouter:
    return OperatorCallRouter(member, service, peers)


class OperatorCallsTest(TestCase):
    def test_backup_forwards_call_and_returns_the_primarys_response(self) -> None:
        for status in (200, 412, 400):
            peers = ScriptedPeers(primary=[status])
            answer = run(new_router(ScriptedMember(PRIMARY), None, peers).operator_call("replace", 1, b"x"))
            assert (status, b"x", [PRIMARY]) == (answer.status, answer.body, peers.called)

    def test_call_waits_for_the_next_primary_and_is_forwarded_there(self) -> None:
        peers = ScriptedPeers(other=[503, 200])
        member = ScriptedMember(PRIMARY, None, None, OTHER)
        answer = run(new_router(member, None, peers).operator_call("change", 1, b"x"))
        assert (answer.status, peers.called) == (200, [PRIMARY, OTHER, OTHER])

    def test_process_that_becomes_primary_meanwhile_serves_the_call_itself(self) -> None:
        member, service = ScriptedMember(PRIMARY), ScriptedService(OperatorResponse(200, b"mine"))

        class Deposed(ScriptedPeers):
            def get(self, address: str) -> object:
                member.is_primary = True
                return super().get(address)

        answer = run(new_router(member, service, Deposed()).operator_call("replace", 4, b"x"))
        assert (answer.status, answer.body) == (200, b"mine")
        assert [(order.operation, order.base_version, order.body) for order in service.orders] == [
            ("replace", 4, b"x")
        ]

    def test_call_without_a_primary_is_unconfirmed_before_the_operator_times_out(self) -> None:
        async def timed() -> tuple[int, float]:
            loop = asyncio.get_running_loop()
            began = loop.time()
            answer = await new_router(ScriptedMember(None), None, ScriptedPeers()).operator_call(
                "read", -1, b""
            )
            return answer.status, loop.time() - began

        status, seconds = run(timed())
        assert status == 503
        assert seconds <= CALL_TIMEOUT_S + 0.001
        assert CALL_TIMEOUT_S < 1.0

    def test_forwarded_call_ends_when_its_forwarder_has_timed_out(self) -> None:
        class SilentService:
            async def submit(self, order: OperatorOrder) -> OperatorResponse:
                await asyncio.Event().wait()
                raise AssertionError

        async def timed() -> tuple[int, float]:
            member = ScriptedMember(PRIMARY)
            member.is_primary = True
            call = OperatorCall("replace", 1, b"x")
            answer = await new_router(member, SilentService(), None).serve_forwarded(call)
            return answer.status, asyncio.get_running_loop().time()

        assert run(timed()) == (503, CALL_TIMEOUT_S)

    def test_call_forwarded_to_a_non_primary_is_unconfirmed_and_not_accepted(self) -> None:
        service = ScriptedService(OperatorResponse(200))
        member = ScriptedMember(PRIMARY)
        answer = run(new_router(member, service, None).serve_forwarded(OperatorCall("replace", 1, b"x")))
        assert (answer.status, service.orders) == (503, [])
        member.is_primary = True
        answer = run(new_router(member, service, None).serve_forwarded(OperatorCall("replace", 1, b"x")))
        assert (answer.status, answer.primary, len(service.orders)) == (200, "me", 1)
