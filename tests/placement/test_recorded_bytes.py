"""Compares the encoding, decoding and decisions of placement with recordings of commit 0d35ed7.

The fixtures were recorded with that commit: `wire.json` with the functions below, the decisions with
`ScriptedPlay` and the arguments in the parameters of its test.
"""

import asyncio
import json
import math
import re
from pathlib import Path
from typing import Any

import pytest

from larchgw.identifiers import RunnerId
from larchgw.placement.demand_tracker import DemandTracker
from larchgw.placement.model import Order, OrderAction, OrderOutcome, RunnerReport
from larchgw.placement.orders import OrderClient, decode_report, encode_order, outcome_of
from larchgw.rpc.codec import decode_struct, encode_struct
from larchgw.rpc.generated.ttypes import DemandReport, ModelDemand

from .scripted_play import ScriptedPlay

ATTEMPT_ID_LINE = re.compile(
    r"X-Attempt-Id: [0-9a-f]+-[0-9]+\r\n"
)  # since incident 67; not in what was recorded
FIXTURES = Path(__file__).parent.parent / "fixtures" / "placement"
TICKS = 440
RUNNER_ID = RunnerId("i-7")

ORDERS = [
    Order(RUNNER_ID, "10.0.0.1:80", OrderAction.LOADING, "m"),
    Order(RUNNER_ID, "10.0.0.1:80", OrderAction.LOADING, "m", "a3", 2),
    Order(RUNNER_ID, "10.0.0.1:80", OrderAction.UNLOADING, "m", "", 0, "n/a1"),
    Order(RUNNER_ID, "10.0.0.1:80", OrderAction.UNLOADING, "modèle", "a\u201d", 12),
]
REPORTS = [
    '{"phase":"both","models":[{"name":"d","config_version":1,"adapters":["a1","a2"]},{"name":"e"}],'
    '"occupied":true,"call_count":2,"queued":1,"in_progress":12,"cache_used":1,"takes":0}',
    '{"models":[],"occupied":0,"call_count":"3"}',
    '{"models":[{"adapters":[]}],"occupied":false,"call_count":1}',
    '{"models":[],"call_count":1}',
    '{"models":[],"occupied":false}',
    "[]",
]
DEMAND_REPORTS = [
    DemandReport(
        "edge-1",
        100,
        [
            ModelDemand("chat", "m0", "", 4, 2, 3, 1500, 7.5),
            ModelDemand("chat", "m0", "a1", 1, 0, 1, 0, 0.0),
            ModelDemand("code", "m1", "", 0, 1, 0, 0, 0.0),
        ],
    ),
    DemandReport("edge-2", 2500, [ModelDemand("chat", "m2", "", 9, -1, -1, 10, 1.0)]),
    DemandReport("edge-1", 100, []),
]


@pytest.fixture
def recorded() -> Any:
    return json.loads((FIXTURES / "wire.json").read_text())


def order_bodies() -> list[str]:
    return [encode_order(order, "node-7", 41).decode("latin-1") for order in ORDERS]


def statuses() -> dict[str, str]:
    return {str(status): outcome_of(status).name for status in range(100, 600)}


def report_values() -> list[list[Any] | None]:
    return [report_fields(decode_report(body.encode())) for body in REPORTS]


def report_fields(report: RunnerReport | None) -> list[Any] | None:
    if report is None:
        return None
    models = {name: sorted(adapters) for name, adapters in report.models.items()}
    return [models, report.is_occupied, report.order_count, report.queued, report.in_progress]


def demand_report_bytes() -> list[str]:
    return [encode_struct(report).hex() for report in DEMAND_REPORTS]


def demand_values(reports: list[str]) -> list[Any]:
    """Returns the state of the demand tracker one second after each report."""
    now = [100.0]
    demand = DemandTracker(lambda: now[0])
    values: list[Any] = []
    for encoded in reports:
        demand.receive_report(decode_struct(DemandReport, bytes.fromhex(encoded)))
        now[0] += 1.0
        models = {
            f"{service}/{name}": [
                model.requests_per_s,
                model.request_value,
                model.waiting,
                model.in_flight,
                str(model.deadline_s),
            ]
            for service in ("chat", "code")
            for name, model in demand.by_model(service).items()
        }
        adapter = ("chat", "m0", "a1")
        values.append(
            [models, demand.adapters("chat", "m0"), demand.requests_per_s(adapter), demand.in_flight(adapter)]
        )
    return values


async def requests_on_the_wire() -> list[str]:
    """Returns the bytes that a runner gets for an order and for a report; its address is replaced."""
    seen: list[bytes] = []

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(
            (int(line[16:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length")), 0
        )
        seen.append(head + await reader.readexactly(length))
        writer.write(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    client = OrderClient("control-1")
    try:
        assert (
            await client.order(Order(RUNNER_ID, address, OrderAction.LOADING, "m", "a1", 2), 41, math.inf)
            is OrderOutcome.ACCEPTED
        )
        assert await client.report(RUNNER_ID, address) is None
    finally:
        client.close()
        server.close()
    return [request.replace(address.encode(), b"ADDRESS").decode() for request in seen]


def test_order_bodies_are_the_recorded_ones(recorded: Any) -> None:
    assert order_bodies() == recorded["order_bodies"]


def test_requests_to_runners_are_the_recorded_ones_and_an_id_of_their_own(recorded: Any) -> None:
    requests = asyncio.run(requests_on_the_wire())
    ids = [ATTEMPT_ID_LINE.findall(request) for request in requests]
    assert [ATTEMPT_ID_LINE.sub("", request) for request in requests] == recorded["requests"]
    assert [len(found) for found in ids] == [1, 1]
    assert ids[0] != ids[1]


def test_each_status_is_read_as_the_recorded_outcome(recorded: Any) -> None:
    assert statuses() == recorded["statuses"]


def test_reports_are_read_as_the_recorded_values(recorded: Any) -> None:
    assert report_values() == recorded["reports"]
    assert isinstance(decode_report(REPORTS[0].encode()), RunnerReport)


def test_demand_reports_are_the_recorded_bytes_and_are_read_as_the_recorded_demand(recorded: Any) -> None:
    assert demand_report_bytes() == recorded["demand_reports"]
    assert demand_values(recorded["demand_reports"]) == recorded["demand"]


@pytest.mark.parametrize(
    ("fixture", "arguments"),
    [("decisions.json", (7, TICKS)), ("decisions_by_value.json", (11, TICKS, 8.0, 0.03))],
)
def test_scripted_play_makes_the_recorded_orders_polls_and_publications_to_the_digit(
    fixture: str, arguments: tuple[Any, ...]
) -> None:
    recorded = json.loads((FIXTURES / fixture).read_text())
    played = json.loads(json.dumps(ScriptedPlay(*arguments).play()))
    assert len(played) == len(recorded)
    for now, before in zip(played, recorded, strict=True):
        assert now == before
