"""Status of processes: it must be correct in any state of a process, and reading it must change nothing."""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import tempfile
from typing import Any

import tornado.web
from testtools import TestCase
from tornado.testing import AsyncHTTPTestCase

from larchgw.configuration.model import Configuration
from larchgw.configuration.settings import NodeSettings, TimeLimits
from larchgw.configuration.validation import parse_configuration
from larchgw.control.node import ControlNode
from larchgw.control.status import StatusService, StatusSources, to_json
from larchgw.distribution.keys import PLACER_KEY
from larchgw.distribution.pull_settings import PullSettings
from larchgw.distribution.puller import Puller
from larchgw.distribution.registry import Registry
from larchgw.edge.status import EdgeStatus
from larchgw.membership.member import Member
from larchgw.membership.settings import SwimSettings
from larchgw.membership.swim import Swim
from larchgw.placement.demand_tracker import DemandTracker
from larchgw.placement.load_rate_limit import LoadRateLimiter
from larchgw.placement.model import Order, OrderAction, PlacementSettings
from larchgw.placement.reconciler import Reconciler
from larchgw.placement.service import PlacementService
from larchgw.placement.service_runtime import PlacementRuntime
from larchgw.placement.summary import summarise
from larchgw.routing.retry_budget import START_DISPATCHERS, RetryBudget
from larchgw.rpc.codec import decode_struct, encode_struct
from larchgw.rpc.generated import ttypes
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord
from larchgw.runner_directory.runner_view import RunnerView
from larchgw.runtime import http_status
from tests.support.asyncio_tests import on_loop
from tests.support.configurations import example
from tests.support.edge_stand_ins import Edge
from tests.support.stand_ins import ROOT

ADDRESS = "127.0.0.1:7660"


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def models_configuration() -> tuple[Configuration, str, str]:
    raw = example()
    service = next(service for service in raw["services"] if service.get("runtime"))
    return parse_configuration(raw), service["name"], service["runtime"]["models"][0]["name"]


class ControlStatusTest(TestCase):
    """The status of a control process that was created but not started."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = NodeSettings(
            "core-1",
            "127.0.0.1",
            "a",
            spare_ports=[7660, 7675],
            first_boot=True,
            seed_list=["127.0.0.1:8146"],
            data_dir=folder.name,
        )
        self.components = ControlNode(settings).components
        self.placed: Any = None
        self.service = StatusService(
            StatusSources(
                "core-1",
                self.components.replication.member,
                self.components.replication.state,
                self.components.swim,
                self.components.distribution.registry,
                self.components.runners.directory,
                self.components.replication.disk,
                self.components.distribution.contact,
                lambda: self.placed,
            )
        )

    def test_status_of_a_fresh_process_is_empty(self) -> None:
        status = self.service.read()
        assert (
            status.node_name,
            status.role,
            status.config_version,
            status.placer,
            status.placer_fence,
            status.runners,
        ) == ("core-1", "backup", 0, "", 0, {})
        assert [process.name for process in status.processes] == ["core-1"]
        assert (status.disk.first_index, status.disk.last_index) == (1, 0)

    def test_status_reports_the_placer_and_the_runners_in_the_registry(self) -> None:
        placer = json.dumps({"address": "10.0.0.3:7660"}).encode()
        self.components.distribution.registry.put(PLACER_KEY, placer, 70_001)
        self.components.runners.directory.check_in(RunnerRecord("i-1", "s", "10.0.0.9:1", "a", call_count=1))
        status = self.service.read()
        assert (status.placer, status.placer_fence) == ("10.0.0.3:7660", 70001)
        assert status.runners == {"ready": 1}

    def test_reserve_is_reported_only_while_it_exists(self) -> None:
        assert not self.service.read().disk.has_reserve
        self.components.replication.disk.refill_reserve()
        assert self.service.read().disk.has_reserve

    def test_placement_is_reported_only_on_request_and_only_by_the_placer(self) -> None:
        ask = ttypes.StatusRequest(placement=True)
        assert asyncio.run(self.service.status(ask)).placement is None
        service = PlacementService(PlacementRuntime(Clock(), lambda: None, None))  # type: ignore[arg-type]
        assert service.summary() is None
        demand, reconciler = (
            DemandTracker(Clock()),
            Reconciler(PlacementSettings(), LoadRateLimiter(2.0, 5.0, 1.1)),
        )
        self.placed = summarise(1000.0, 7, demand, reconciler)
        assert asyncio.run(self.service.status(ask)).placement.fence == 7
        assert asyncio.run(self.service.status(ttypes.StatusRequest(False))).placement is None

    def test_status_is_json_and_its_values_are_metrics(self) -> None:
        assert json.loads(json.dumps(self.service.as_json()))["node_name"] == "core-1"
        text = self.service.metrics().decode()
        for line in (
            "larchgw_control_config_version 0.0",
            "larchgw_control_is_primary 0.0",
            'larchgw_control_processes{role="control"} 1.0',
        ):
            assert line in text


def test_fields_that_are_not_set_are_left_out_of_the_json() -> None:
    status = ttypes.ControlStatus(node_name="a", processes=[ttypes.ProcessStatus(name="b")])
    assert to_json(status) == {"node_name": "a", "processes": [{"name": "b"}]}


def test_status_is_decoded_as_encoded_with_and_without_optional_fields() -> None:
    bare = ttypes.ControlStatus(
        "a",
        "a#1",
        "learner",
        None,
        0,
        0,
        True,
        [],
        "",
        0,
        {"ready": 2},
        ttypes.DiskStatus(1, 2, 3, 4, -1, False),
    )
    full = ttypes.ControlStatus("a", view=ttypes.View(1, "a", [], ["a"], {"a": "10.0.0.1:1"}))
    full.placement = ttypes.PlacementStatus(
        9,
        13,
        12,
        [ttypes.ModelStatus("s", "m", 0.5, 1, 2, ["i"], [])],
        [ttypes.OrderStatus("i", "loading", "m", 40, True)],
    )
    for status in (bare, full):
        assert decode_struct(ttypes.ControlStatus, encode_struct(status)) == status


def test_summary_reports_holders_loads_in_flight_and_available_loads() -> None:
    configuration, service, model = models_configuration()
    clock = Clock()
    demand, reconciler = DemandTracker(clock), Reconciler(PlacementSettings(), LoadRateLimiter(2.0, 5.0, 1.1))
    reconciler.configure(configuration)
    held = (HeldModel(model),)
    reconciler.update_runner(clock(), RunnerRecord("i-1", service, "10.0.0.1:1", "z", models=held))
    reconciler.update_runner(clock(), RunnerRecord("i-2", service, "10.0.0.2:1", "z"))
    line = ttypes.ModelDemand(service, model, "", arrivals=5, waiting=2, in_flight=1, urgency_ms=900)
    line.worth = 5.0
    demand.receive_report(ttypes.DemandReport("edge-1", 250, [line]))
    reconciler.start_order(clock(), Order("i-2", "10.0.0.2:1", OrderAction.LOADING, model))
    found = summarise(clock() + 0.5, 9, demand, reconciler)
    (placed,) = [line for line in found.models if line.model == model]
    assert (placed.holders, placed.loading, placed.waiting, placed.in_flight) == (("i-1",), ("i-2",), 2, 1)
    assert placed.requests_per_s > 0.0
    assert len(found.models) == len(reconciler.capacities[service].models)
    (order,) = found.orders
    assert (order.runner_id, order.name, order.age_s, order.is_accepted) == ("i-2", model, 0.5, False)
    assert found.available_loads == found.load_limit - 1


@on_loop
async def test_edge_status_reports_configuration_source_runners_and_remaining_retries() -> None:
    edge = Edge()
    registry = Registry("edge-1/1")
    configuration, service, _ = models_configuration()
    registry.put("runner/i-1", RunnerRecord("i-1", service, "10.0.0.1:1", "z").encode(), 1)
    puller = Puller(
        registry,
        lambda address: None,
        list,  # type: ignore[arg-type, return-value]
        PullSettings.from_time_limits(TimeLimits()),
        random.Random(1),
    )
    budget = RetryBudget(TimeLimits(), random.Random(1))
    swim = Swim(Member("edge-1", "10.0.0.1:7662", "edge", 1), SwimSettings(), random.Random(1))
    status = EdgeStatus(
        "edge-1", lambda: False, lambda: configuration, puller, RunnerView(registry), swim, edge.proxy, budget
    )
    reported = json.loads(json.dumps(status.read()))
    assert reported["config_version"] == configuration.config_version
    assert not reported["ready"]
    assert reported["runners"][service] == {"ready": 1}
    assert reported["control"] == {"source": "", "changes": 0, "silent_s": None}
    assert (reported["dispatchers"], reported["open_requests"], reported["retries_left"]) == (1, 0, {})
    budget.record_request(edge.loop.clock.now(), service)
    assert status.read()["retries_left"][service] > 0


def test_reading_the_retry_budget_does_not_start_the_period_in_which_more_dispatchers_are_assumed() -> None:
    read, unread = (
        RetryBudget(TimeLimits(retry_extra=START_DISPATCHERS * 2), random.Random(1)) for _ in range(2)
    )
    read.remaining_by_service(0.0, 1)
    for budget in (read, unread):
        budget.record_request(100.0, "s")
    assert read.remaining(100.1, "s", 1) == unread.remaining(100.1, "s", 1)
    assert read.may_retry(100.1, "s", 1) == (read.remaining(100.1, "s", 1) > 0)


class StatusPagesTest(AsyncHTTPTestCase):
    """The pages `/status` and `/metrics`, which every role serves in addition to its own."""

    def get_app(self) -> tornado.web.Application:
        return tornado.web.Application(http_status.rules(lambda: {"node_name": "core-1"}, lambda: b"a 7.0\n"))

    def test_the_status_is_json_and_the_metrics_are_text(self) -> None:
        status = self.fetch("/status")
        assert json.loads(status.body) == {"node_name": "core-1"}
        assert status.headers["Content-Type"].startswith("application/json")
        assert self.fetch("/metrics").body == b"a 7.0\n"
        assert self.fetch("/metrics").headers["Content-Type"].startswith("text/plain")
        assert self.fetch("/status/x").code == 404


def test_a_control_process_starts_without_the_metrics_library() -> None:
    program = "import larchgw.control.main, sys; print('prometheus_client' in sys.modules)"
    done = subprocess.run([sys.executable, "-c", program], cwd=ROOT, text=True, capture_output=True)
    assert done.stdout == "False\n"
