"""A control process stores, publishes and answers the same bytes as earlier versions.

The fixtures were written by this program before its identifiers were renamed. Replace one only for an
intended change of a format that other versions can read.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import tornado.web
from tornado.testing import AsyncHTTPTestCase

from larchgw.configuration.packing import pack
from larchgw.configuration.settings import NodeSettings
from larchgw.control import departure_store, http_api, restore
from larchgw.control.configuration_state import ConfigurationState
from larchgw.control.disk import ControlDisk
from larchgw.control.errors import ReplicationUnavailableError
from larchgw.control.latest_view import LatestView
from larchgw.control.node import ControlNode
from larchgw.control.operator_calls import OperatorCallRouter
from larchgw.control.operator_order import OperatorOrder
from larchgw.control.operator_service import OperatorResponse, OperatorService
from larchgw.control.publication import ConfigurationPublisher
from larchgw.control.replicated_log import ReplicatedLog
from larchgw.control.runner_ownership import owner_name
from larchgw.control.status import (
    PROCESS_STATE_NAMES,
    ROLE_NAMES,
    STAGE_NAMES,
    StatusService,
    StatusSources,
)
from larchgw.distribution.placer_entry import publish_placer
from larchgw.distribution.registry import Registry
from larchgw.identifiers import RunnerId
from larchgw.membership.member import Member as Process
from larchgw.membership.member import MemberState
from larchgw.membership.settings import SwimSettings
from larchgw.membership.swim import Swim
from larchgw.placement.summary import OpenOrder, PlacedModel, PlacementSummary
from larchgw.replication.effects import Role
from larchgw.replication.forced_new_view import ForcedView
from larchgw.replication.lease import Lease
from larchgw.replication.member import Member
from larchgw.replication.settings import MemberSettings
from larchgw.replication.view import View
from larchgw.rpc.codec import encode_struct
from larchgw.rpc.generated import ttypes
from larchgw.runner_directory.directory import GONE_MAJOR, RunnerDirectory
from larchgw.runner_directory.errors import CheckInError
from larchgw.runner_directory.runner_record import RunnerRecord, Stage
from larchgw.runtime.rpc_clients import RpcClients
from tests.support.faulty_files import FaultyFiles

FIXTURES = Path(__file__).parent.parent / "fixtures" / "control"
ADDRESS = "10.0.0.1:7660"
ROUTE = {
    "name": "r",
    "hostname": "h.example",
    "path_start": "/a/",
    "kind": "writing",
    "deadline_ms": 1000,
    "service": "s",
    "tries": 1,
}
CONFIGURATION = {"config_version": 5, "routes": [ROUTE], "services": [{"name": "s"}], "note": "h\u00e9"}
FIRST = OperatorOrder("replace", 0, json.dumps(CONFIGURATION).encode())
SECOND = OperatorOrder("change", 5, b'{"config_version": 7,\n "add": {"services": [{"name": "t"}]}}')
UNREADABLE = OperatorOrder("replace", -1, b"\x00\xff\n{")
VIEW = View(7, "a#1", ("b#2",), ("a#1", "b#2", "c#3"), ("a#1",), {"a#1": ADDRESS, "b#2": "b:1", "c#3": "c:1"})


def fixture(name: str) -> dict[str, Any] | list[Any]:
    return json.loads((FIXTURES / name).read_bytes())


def state_with_both_orders() -> ConfigurationState:
    state = ConfigurationState()
    state.apply(3, FIRST.encode())
    state.apply(4, UNREADABLE.encode())
    state.apply(9, SECOND.encode())
    return state


# ---- Stored data ----


def written_records() -> list[dict[str, str]]:
    return [
        {"record": order.encode().hex(), "digest": order.digest()} for order in (FIRST, SECOND, UNREADABLE)
    ]


def test_operator_orders_are_written_and_read_as_recorded() -> None:
    recorded = fixture("log_records.json")
    assert written_records() == recorded
    decoded = [OperatorOrder.decode(bytes.fromhex(line["record"])) for line in recorded]
    assert decoded == [FIRST, SECOND, UNREADABLE]


def written_snapshots() -> dict[str, str]:
    return {
        "empty": ConfigurationState().snapshot().hex(),
        "both orders": state_with_both_orders().snapshot().hex(),
    }


def test_snapshots_are_written_and_read_as_recorded() -> None:
    recorded = fixture("snapshots.json")
    assert written_snapshots() == recorded
    empty, state = ConfigurationState(), ConfigurationState()
    empty.restore(bytes.fromhex(recorded["empty"]))
    assert (empty.current, empty.record_index, empty.version) == (None, 0, 0)
    state.restore(bytes.fromhex(recorded["both orders"]))
    assert (state.record_index, state.version) == (9, 7)
    assert [state.is_accepted(order) for order in (FIRST, SECOND, UNREADABLE)] == [True, True, False]
    assert state.snapshot().hex() == recorded["both orders"]


def written_departures() -> list[str]:
    record = RunnerRecord(RunnerId("i-1"), "s", "10.0.0.9:80", "a", Stage.DRAINING, call_count=4, owner="o/1")
    draining = ttypes.Entry("runner/i-1", 4, int(Stage.DRAINING), "core-1.ab", 9, record.encode())
    gone = ttypes.Entry("runner/i-2", GONE_MAJOR, int(Stage.GONE), "core-2.cd", 1, b"\x00\xff")
    return [record.hex() for record in departure_store.encode_records([draining, gone])]


def test_departures_are_written_and_read_as_recorded() -> None:
    recorded = fixture("departures.json")
    assert written_departures() == recorded
    entries = departure_store.decode_record(bytes.fromhex(str(recorded[0])))
    assert [(entry.key, entry.major, entry.minor, entry.origin, entry.sequence) for entry in entries] == [
        ("runner/i-1", 4, int(Stage.DRAINING), "core-1.ab", 9),
        ("runner/i-2", GONE_MAJOR, int(Stage.GONE), "core-2.cd", 1),
    ]
    assert RunnerRecord.decode(entries[0].value).stage is Stage.DRAINING
    assert entries[1].value == b"\x00\xff"


def folder_contents(folder: Path) -> dict[str, str]:
    return {
        str(
            path.relative_to(folder)
        ): f"{path.stat().st_size} {hashlib.sha256(path.read_bytes()).hexdigest()}"
        for path in sorted(folder.rglob("*"))
        if path.is_file()
    }


def written_folder(source: Path, folder: Path) -> dict[str, Any]:
    restorable = restore.read_source(source)
    restore.write_folder(
        folder, restorable, ForcedView(f"{ADDRESS}#anew", ADDRESS, 1_800_000_000, 1_800_000_000)
    )
    return {"found": restore.describe(restorable), "files": folder_contents(folder)}


def test_a_restore_writes_and_reads_the_folder_as_recorded(tmp_path: Path) -> None:
    written = written_folder(FIXTURES / "restore.json", tmp_path / "data")
    assert written == fixture("restored_folder.json")
    restorable = restore.read_source(FIXTURES / "restored_folder")
    assert (restorable.last_epoch, restorable.last_index) == (1_800_000_000, 1_800_000_000)
    assert restorable.configuration.raw == CONFIGURATION


# ---- Published entries ----


def published_entries() -> dict[str, Any]:
    """Returns major, minor and value by key of all entries that control puts into the registry itself."""
    registry, state = Registry("a.1"), state_with_both_orders()
    ConfigurationPublisher(state, registry, lambda: True).on_committed(1.0)
    LatestView(lambda: VIEW, registry).publish()
    publish_placer(registry, ADDRESS, 70_001)
    owner = owner_name(ADDRESS, 1_700_000_000_123)
    directory = RunnerDirectory(registry, lambda: 0.0, 1.0, owner, lambda other: True)
    directory.check_in(RunnerRecord("i-1", "s", "10.0.0.9:1", "a", call_count=1))
    entries = list(registry.items(""))
    return {entry.key: [entry.major, entry.minor, entry.value.hex()] for entry in entries}


def test_registry_entries_are_as_recorded() -> None:
    recorded = fixture("registry_entries.json")
    assert published_entries() == recorded
    assert bytes.fromhex(recorded["configuration"][2]) == pack(state_with_both_orders().current.raw)  # type: ignore[union-attr]


def published_by_node(folder: Path) -> dict[str, Any]:
    """Returns the entries that a node publishes while it holds the placer lease."""
    settings = NodeSettings(
        "core-1", "10.0.0.1", "a", spare_ports=[7660, 7675], first_boot=True, data_dir=str(folder)
    )
    node = ControlNode(settings)
    lease = Lease("placer", 70_001, 1e12)
    placer, registry = node.components.runners.placer, node.components.distribution.registry
    placer._lease = lambda name: lease if name == "placer" else None
    node.components.periodic_work.update_contacts()
    placer.publish_expected_loads("i-1", {"m": 12.5})
    placer.publish_expected_loads("i-1", {})
    entries = list(registry.items(""))
    return {entry.key: [entry.major, entry.minor, entry.value.hex()] for entry in entries}


def test_entries_of_a_placer_are_as_recorded(tmp_path: Path) -> None:
    assert published_by_node(tmp_path) == fixture("placer_entries.json")


def test_a_recorded_view_is_read() -> None:
    entry = fixture("registry_entries.json")["view"]
    registry = Registry("b.1")
    latest = LatestView(lambda: None, registry)
    registry.put("view", bytes.fromhex(entry[2]), entry[0])
    assert latest.get() == VIEW


# ---- Status and metrics ----


def scripted_status() -> StatusService:
    """Returns the status service of a single member, the primary, with a runner and an open order."""
    state = ConfigurationState()
    disk = ControlDisk.open(FaultyFiles(), "no-such-folder")
    settings = MemberSettings(ADDRESS, (ADDRESS,), True, f"{ADDRESS}#0", 0, 3.0)
    member = Member(settings, disk.ports, state.snapshot, random.Random(1))
    now = 100.0
    log = ReplicatedLog(member, state, RpcClients(), lambda: None, lambda: now)
    log.start()
    for _ in range(100):
        now += 0.02
        log.tick()
    asyncio.run(log.propose(FIRST.encode()))
    registry = Registry("a.1")
    publish_placer(registry, ADDRESS, 70_001)
    directory = RunnerDirectory(registry, lambda: 0.0, 1.0, "a/1", lambda other: True)
    directory.check_in(RunnerRecord("i-1", "s", "10.0.0.9:1", "a", call_count=1))
    me = Process("core-1", "10.0.0.1:7661", "control", 1, "a", ADDRESS)
    swim = Swim(me, SwimSettings(), random.Random(1))
    contact: Any = SimpleNamespace(is_isolated=lambda: True)
    models = (PlacedModel("s", "m", 0.5, 1, 2, ("i-1",), ("i-2",)),)
    orders = (OpenOrder("i-2", "loading", "m", 0.0404, True),)
    summary = PlacementSummary(9, 13, 12, models, orders)
    return StatusService(
        StatusSources("core-1", member, state, swim, registry, directory, disk, contact, lambda: summary)
    )


def test_the_status_is_as_recorded() -> None:
    assert json.dumps(scripted_status().as_json(), indent=1) + "\n" == (FIXTURES / "status.json").read_text()


def test_each_role_stage_and_process_state_has_its_name_in_the_status() -> None:
    assert list(ROLE_NAMES) == [Role.PRIMARY, Role.BACKUP, Role.LEARNER]
    assert set(ROLE_NAMES) == set(Role)
    assert list(ROLE_NAMES.values()) == ["primary", "backup", "learner"]
    assert [STAGE_NAMES[stage] for stage in Stage] == ["ready", "silent", "draining", "gone"]
    assert [PROCESS_STATE_NAMES[state] for state in MemberState] == ["alive", "suspect", "dead", "left"]


def test_the_status_with_placement_is_as_recorded_over_rpc() -> None:
    status = asyncio.run(scripted_status().status(ttypes.StatusRequest(True)))
    assert encode_struct(status).hex() + "\n" == (FIXTURES / "status_rpc.hex").read_text()


def test_the_metrics_are_as_recorded() -> None:
    assert scripted_status().metrics() == (FIXTURES / "metrics.txt").read_bytes()


# ---- Answers to operators and runners ----


class ScriptedReplication:
    def __init__(self, state: ConfigurationState) -> None:
        self.state, self.index, self.problem = state, 0, ""

    async def wait_until_decided(self) -> None:
        return None

    async def confirm_primary(self) -> None:
        if self.problem:
            raise ReplicationUnavailableError(self.problem)

    async def propose(self, record: bytes) -> int:
        self.index += 1
        self.state.apply(self.index, record)
        return self.index


async def operator_answers() -> list[dict[str, Any]]:
    state = ConfigurationState()
    replication = ScriptedReplication(state)
    service = OperatorService(state, replication)
    refused = [
        OperatorOrder("replace", 5, FIRST.body),
        OperatorOrder("replace", 0, b'{"config_version": 9, "routes": [], "services": []}'),
        OperatorOrder("replace", -1, b"{}"),
        OperatorOrder("replace", -1, b"["),
        UNREADABLE,
    ]
    answers = [await service.read()]
    answers += [await service.submit(order) for order in (FIRST, SECOND, FIRST, *refused)]
    answers.append(await service.read())
    replication.problem = "a#1 is not primary"
    answers += [await service.read(), await service.submit(SECOND)]
    primary: Any = SimpleNamespace(is_primary=False, primary=None, id="a#1")
    calls = OperatorCallRouter(primary, service, RpcClients())
    answers.append(await calls.operator_call("replace", 1, bytes((7 << 20) + 1)))
    answers.append(await calls.operator_call("read", -1, b""))
    rejected = await calls.serve_forwarded(ttypes.OperatorCall("read", -1, b""))
    answers.append(OperatorResponse(rejected.status, rejected.body))
    return [{"status": answer.status, "body": answer.body.decode()} for answer in answers]


def test_answers_to_operators_are_as_recorded() -> None:
    assert asyncio.run(operator_answers()) == fixture("operator_answers.json")


class ScriptedControl:
    """The services behind the HTTP API; records their calls."""

    def __init__(self) -> None:
        self.calls: list[list[Any]] = []
        self.acknowledges = True
        self.error: Exception | None = None

    async def operator_call(self, operation: str, base_version: int, body: bytes) -> OperatorResponse:
        self.calls.append([operation, base_version, body.decode()])
        if operation == "change":
            return OperatorResponse(503, b'{"error": "scripted"}')
        return OperatorResponse(200)

    async def check_in(self, runner: str, body: bytes) -> bool:
        self.calls.append(["checkin", runner, body.decode()])
        if self.error is not None:
            raise self.error
        return self.acknowledges

    async def leave(self, runner: str) -> bool:
        self.calls.append(["leave", runner])
        return self.acknowledges


def http_answers(service: ScriptedControl, fetch: Callable[..., Any]) -> dict[str, Any]:
    """Returns all answers of the HTTP API without headers that differ between runs, and the service calls."""
    answers: list[dict[str, Any]] = []

    def call(path: str, body: str | None = "{}", **headers: str) -> None:
        method = "GET" if body is None else "POST"
        answer = fetch(path, method=method, body=body, headers=headers)
        kept = {
            name: value for name, value in sorted(answer.headers.get_all()) if name not in ("Date", "Server")
        }
        shown = answer.body.decode() if answer.code not in (404, 405) else ""
        answers.append({"call": path, "status": answer.code, "headers": kept, "body": shown})

    call("/Config.Replace", "{}", **{"X-Built-On": " 007 "})
    call("/Config.Replace")
    call("/Config.Replace", "{}", **{"X-Built-On": "-1"})
    call("/Config.Change", "{}", **{"X-Built-On": "9"})
    call("/Config.Read", None)
    call("/Runners.Checkin/i-1")
    call("/Runners.Leave/i-1")
    service.acknowledges = False
    call("/Runners.Checkin/i-1")
    call("/Runners.Leave/i-1")
    service.error = CheckInError("service", "is missing", "send it")
    call("/Runners.Checkin/i-1")
    call("/Config")
    call("/Config.Replace", None)
    return {"answers": answers, "calls": service.calls}


class HttpAnswersTest(AsyncHTTPTestCase):
    def get_app(self) -> tornado.web.Application:
        self.service = ScriptedControl()
        return http_api.application(self.service, self.service, ADDRESS)

    def test_http_answers_are_as_recorded(self) -> None:
        assert http_answers(self.service, self.fetch) == fixture("http_answers.json")
