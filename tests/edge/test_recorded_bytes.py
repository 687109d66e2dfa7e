"""Demand reports are byte for byte the same as those recorded with commit 0d35ed7."""

from __future__ import annotations

import json
from pathlib import Path

from larchgw.configuration.model import Route
from larchgw.edge.demand import DemandCounter
from larchgw.edge.expected_returns import AwaitedLoad
from larchgw.routing.interface import RequestTraits
from larchgw.rpc.codec import decode_struct, encode_struct
from larchgw.rpc.generated.ttypes import DemandReport

FIXTURES = Path(__file__).parents[1] / "fixtures" / "edge"
NAME = "demand_reports.json"
NOW_S = 100.0


def traits(number: int, rank: int, model: str, adapter: str = "") -> RequestTraits:
    route = Route(
        "r", "chat.example", "/", "streaming", 8000.0, target_ms=800.0, rank=rank, service="chat", pinned=True
    )
    deadline_at = NOW_S + 2.0 + number / 8
    return RequestTraits(number, route, "chat", NOW_S, deadline_at, NOW_S + 0.8, model, adapter)


def recordings(folder: Path) -> dict[str, str]:
    """Returns reports with arrivals and waiting requests, with adapters summed up, and empty."""
    tally = DemandCounter()
    requests = [
        traits(0, 0, "m1"),
        traits(1, 1, "m1"),
        traits(2, 2, "m1", "a1"),
        traits(3, 0, "mod\u00e8le"),
        traits(4, 0, ""),
    ]
    for request in requests:
        tally.arrived(request)
    awaited = [AwaitedLoad(request.key, request.deadline_at) for request in requests]
    many = {("chat", f"m{number % 3}", f"a{number}"): 2 for number in range(120)}
    reports = [
        tally.collect(NOW_S, awaited[1:4], {("chat", "m2", ""): 3, ("chat", "m1", ""): 1}),
        tally.collect(NOW_S + 3.0, awaited[:1], many),
        tally.collect(NOW_S + 4.0, (), {}),
    ]
    encoded = [
        encode_struct(DemandReport(node_name="edge-1", interval_ms=500, models=models)).hex()
        for models in reports
    ]
    return {NAME: json.dumps(encoded, indent=1)}


def test_demand_reports_are_the_recorded_bytes(tmp_path: Path) -> None:
    assert recordings(tmp_path) == {NAME: (FIXTURES / NAME).read_text(encoding="utf-8")}


def test_the_first_recorded_report_has_the_requested_models() -> None:
    report = decode_struct(DemandReport, bytes.fromhex(json.loads((FIXTURES / NAME).read_text())[0]))
    assert (report.node_name, report.interval_ms) == ("edge-1", 500)
    lines = {(line.service_name, line.model, line.adapter): line for line in report.models}
    assert set(lines) == {
        ("chat", "m1", ""),
        ("chat", "m1", "a1"),
        ("chat", "m2", ""),
        ("chat", "mod\u00e8le", ""),
    }
    asked = lines["chat", "m1", ""]
    assert (asked.arrivals, asked.waiting, asked.in_flight, asked.urgency_ms) == (2, 1, 1, 2125)
    assert [line.worth for line in report.models] == [1.5, 1 / 3, 0.0, 1.0]
