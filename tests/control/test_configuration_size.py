"""An order that makes the configuration too large to store or replicate is rejected before it is proposed."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchgw.configuration.change import evaluate_order
from larchgw.control.configuration_size import (
    MAX_CONFIGURATION_BYTES,
    ConfigurationSizeLimit,
    encode_json,
)
from larchgw.control.configuration_state import MAX_REMEMBERED_ORDERS, ConfigurationState
from larchgw.control.errors import ConfigurationTooLargeError
from larchgw.control.operator_order import OperatorOrder
from larchgw.control.operator_service import MAX_ORDER_BYTES, OperatorResponse, OperatorService
from larchgw.replication.compaction import POSTPONED_FACTOR, Compaction
from larchgw.replication.replica import Replica
from larchgw.replication.settings import MemberSettings
from larchgw.replication.snapshot_transfer import MAX_SNAPSHOT_BYTES
from larchgw.storage.log import DEFAULT_LIMIT_BYTES, Log
from larchgw.storage.segments import MAX_RECORD_BYTES
from tests.control.test_operator_service import ScriptedReplication
from tests.support.faulty_files import FaultyFiles

DISK_BYTES = 128 * 1000 * 1000  # the smallest disk of a control machine
SMALL_LIMIT = 2000


def route(name: str, filling: int = 0) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": f"{name}.example",
        "path_start": "/" + "x" * filling + "/",
        "kind": "read_only",
        "deadline_ms": 1000,
        "service": "s",
        "tries": 1,
    }


def replacement(version: int, routes: int, filling: int) -> OperatorOrder:
    body = {
        "config_version": version,
        "services": [{"name": "s"}],
        "routes": [route(f"r{number}", filling) for number in range(routes)],
    }
    return OperatorOrder("replace", -1, json.dumps(body).encode())


def addition(version: int, name: str, filling: int) -> OperatorOrder:
    body = {"config_version": version, "add": {"routes": [route(name, filling)]}}
    return OperatorOrder("change", -1, json.dumps(body).encode())


def submit(service: OperatorService, order: OperatorOrder) -> OperatorResponse:
    return asyncio.run(service.submit(order))


def test_small_order_that_exceeds_the_total_limit_is_rejected_before_it_is_proposed() -> None:
    state = ConfigurationState()
    replication = ScriptedReplication(state)
    service = OperatorService(state, replication)
    assert submit(service, replacement(1, 6, 1_100_000)).status == 200
    assert submit(service, addition(2, "a", 1 << 20)).status == 200
    accepted = replication.index
    refused = submit(service, addition(3, "b", 1 << 20))
    detail = json.loads(refused.body)
    assert (refused.status, detail["field"], detail["config_version"]) == (413, "configuration", 2)
    assert str(MAX_CONFIGURATION_BYTES) in detail["error"]
    assert "remove" in detail["error"]
    assert replication.index == accepted
    shrunk = {
        "config_version": 3,
        "remove": {"routes": ["r0", "r1"]},
        "add": {"routes": [route("b", 1 << 20)]},
    }
    assert submit(service, OperatorOrder("change", -1, json.dumps(shrunk).encode())).status == 200


def test_size_is_measured_only_where_the_bound_exceeds_the_limit() -> None:
    limit = ConfigurationSizeLimit(SMALL_LIMIT)
    current = None
    for version in range(1, 6):
        order = replacement(version, 1, 10)
        wanted = evaluate_order(current, order.operation, order.base_version, order.body)
        limit.check(current, order.body, wanted)
        current = wanted
    assert limit.measurements <= 2


JSON = st.recursive(
    st.none() | st.booleans() | st.floats(allow_nan=False, allow_infinity=False) | st.integers() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=20,
)


@given(JSON, st.sampled_from(["1e15", "-9E15", "0.1e16", "1E0", "12e14"]))
def test_no_order_grows_beyond_the_bound(value: object, number: str) -> None:
    """The bound is derived from the size of the order, so that no oversized result passes unmeasured."""
    body = f'{{"config_version":1,"routes":[],"services":[],"other":[{json.dumps(value)},{number}]}}'.encode()
    raw = json.loads(body)
    assert len(encode_json(raw)) <= 4 * len(body) + 64


@given(st.text(st.characters(exclude_categories=()), max_size=20))
def test_any_text_of_a_configuration_survives_a_snapshot(text: str) -> None:
    assert json.loads(encode_json({"text": text})) == {"text": text}


def test_a_configuration_at_the_limit_passes_and_one_byte_more_does_not() -> None:
    order = replacement(1, 1, 1000)
    wanted = evaluate_order(None, order.operation, order.base_version, order.body)
    size = len(encode_json(wanted.raw))
    ConfigurationSizeLimit(size).check(None, order.body, wanted)
    with pytest.raises(ConfigurationTooLargeError):
        ConfigurationSizeLimit(size - 1).check(None, order.body, wanted)


def test_size_limits_of_order_record_snapshot_and_disk_are_consistent() -> None:
    """The largest order fits in a record, and the largest state in a snapshot that fits on the disk."""
    accepted = {"f" * 64: 10**15}
    max_accepted_bytes = MAX_REMEMBERED_ORDERS * len(encode_json(accepted))
    assert MAX_ORDER_BYTES <= MAX_CONFIGURATION_BYTES
    assert MAX_ORDER_BYTES + 4096 <= MAX_RECORD_BYTES
    snapshot = MAX_CONFIGURATION_BYTES + max_accepted_bytes + 4096
    assert snapshot <= MAX_SNAPSHOT_BYTES
    settings = MemberSettings("a", ("a",), True, "", 1, 3.0)
    log = POSTPONED_FACTOR * settings.compact_bytes + 2 * MAX_RECORD_BYTES
    assert snapshot + log <= DEFAULT_LIMIT_BYTES
    assert 2 * snapshot + log <= 0.6 * DISK_BYTES


def test_repeated_replacement_of_a_large_configuration_never_uses_half_of_the_disk() -> None:
    files = FaultyFiles(capacity=DISK_BYTES)
    log = Log.open(files, "data")
    replica = Replica(log)
    content = b"x" * (7 << 20)
    compaction = Compaction(replica, MemberSettings("a", ("a",), True, "", 1, 3.0), lambda: content)
    max_used_bytes = 0
    for number in range(20):
        replica.append(1, content[: 5 << 20])
        compaction.tick(float(number), replica.last_index, is_sending_snapshot=number % 2 == 0)
        max_used_bytes = max(max_used_bytes, files.used())
    assert replica.first_index > 10
    assert max_used_bytes <= DISK_BYTES // 2
