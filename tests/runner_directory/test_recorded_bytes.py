"""Compares parsed and stored check-ins with recordings.

The fixtures were recorded with commit 0d35ed7, before names in the code were changed.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from larchgw.distribution.registry import Registry
from larchgw.rpc.codec import decode_struct, encode_struct
from larchgw.rpc.generated.ttypes import Entry
from larchgw.runner_directory.check_in_parser import parse_check_in
from larchgw.runner_directory.directory import RunnerDirectory
from larchgw.runner_directory.errors import CheckInError
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage
from larchgw.runner_directory.runner_view import RunnerView

FIXTURES = Path(__file__).parents[1] / "fixtures" / "runner_directory"
HEARTBEAT_S = 1.0
FULL_CHECK_IN = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "state": "draining",
    "slots": 64,
    "config_version": "v7",
    "phase": "both",
    "cold_left_ms": 10.5,
    "left_ms": 900,
    "call_count": 4,
    "models": [{"name": "m1", "config_version": 3, "adapters": ["a1", "ä2"]}, {"name": "m2"}],
    "unknown": {"x": 1},
}
CHECK_INS = [
    FULL_CHECK_IN,
    {"service": "s", "address": "h:1"},
    {"service": "s", "address": "[::1]:80", "zone": 3, "config_version": 7, "phase": 1.5, "slots": 0},
    {"service": "s", "address": "h:1", "state": "ready", "cold_left_ms": -5, "left_ms": 0, "models": None},
]
REJECTED = [
    b"{",
    b"[]",
    b'{"address":"h:1"}',
    b'{"service":"","address":"h:1"}',
    b'{"service":"s","address":"nowhere"}',
    b'{"service":"s","address":"h:99999"}',
    b'{"service":"s","address":"h:1","state":"dead"}',
    b'{"service":"s","address":"h:1","state":[]}',
    b'{"service":"s","address":"h:1","slots":"many"}',
    b'{"service":"s","address":"h:1","zone":true}',
    b'{"service":"s","address":"h:1","call_count":1e20}',
    b'{"service":"s","address":"h:1","models":{"a":1}}',
    b'{"service":"s","address":"h:1","models":["m"]}',
    b'{"service":"s","address":"h:1","models":[{"adapters":[]}]}',
    b'{"service":"s","address":"h:1","models":[{"name":"m","adapters":[1]}]}',
]


def recorded(name: str) -> Any:
    return json.loads((FIXTURES / name).read_text(encoding="utf-8"))


def produce_check_ins() -> list[dict[str, str]]:
    """Returns the body of each check-in and the stored record."""
    bodies = [json.dumps(fields) for fields in CHECK_INS]
    return [
        {"body": body, "stored": parse_check_in("i-1", body.encode()).encode().decode()} for body in bodies
    ]


def produce_rejections() -> list[dict[str, str]]:
    """Returns the body of each rejected check-in and the text of the response."""
    answers = []
    for body in REJECTED:
        try:
            parse_check_in("i-1", body)
        except CheckInError as error:
            answers.append({"body": body.decode(), "error": str(error)})
    return answers


def produce_published_entries() -> list[str]:
    """Returns the entries that two control processes publish over the lifecycle of two runners, in order."""
    clock = [100.0]
    published: list[str] = []
    directories = []
    registries = [Registry("a.1"), Registry("b.1")]
    for registry in registries:
        registry.watch("runner/", lambda entry: published.append(encode_struct(entry).hex()))
        directories.append(RunnerDirectory(registry, lambda: clock[0], HEARTBEAT_S, registry.origin))

    def check_in(directory: int, runner: str, count: int, **changed: object) -> None:
        fields = {"service": "llm", "address": "10.0.0.9:8080", "call_count": count} | changed
        directories[directory].check_in(parse_check_in(runner, json.dumps(fields).encode()))

    check_in(0, "r-1", 1, models=[{"name": "m"}], cold_left_ms=500)
    check_in(0, "r-2", 1)
    check_in(0, "r-1", 2, models=[{"name": "m"}], cold_left_ms=100)
    check_in(0, "r-1", 3, models=[{"name": "m"}])
    for _ in range(8):
        clock[0] += 0.5
        for directory in directories:
            directory.tick(clock[0])
    check_in(0, "r-2", 9)
    registries[1].merge(list(registries[0].items()))
    check_in(1, "r-2", 10)
    check_in(1, "r-2", 11, state="draining")
    registries[0].merge(list(registries[1].items()))
    directories[0].leave("r-2")
    directories[1].leave("r-unknown")
    return published


def test_check_ins_are_stored_as_recorded() -> None:
    assert produce_check_ins() == recorded("check_ins.json")


def test_a_recorded_check_in_is_parsed_to_its_fields() -> None:
    saved = recorded("check_ins.json")[0]
    expected = RunnerRecord(
        "i-1", "llm", "10.0.0.9:8080", "z1", Stage.DRAINING, 64, "v7", "both", 10.5, 900.0, 4,
        (HeldModel("m1", 3, ("a1", "ä2")), HeldModel("m2")), "",
    )  # fmt: skip
    assert parse_check_in("i-1", saved["body"].encode()) == expected
    assert RunnerRecord.decode(saved["stored"].encode()) == expected


@pytest.mark.parametrize("number", range(len(CHECK_INS)))
def test_a_recorded_record_is_encoded_to_the_same_bytes(number: int) -> None:
    stored = recorded("check_ins.json")[number]["stored"].encode()
    assert RunnerRecord.decode(stored).encode() == stored


def test_a_rejected_check_in_is_answered_with_the_recorded_text() -> None:
    assert produce_rejections() == recorded("rejections.json")
    assert len(recorded("rejections.json")) == len(REJECTED)


def test_published_entries_are_those_recorded() -> None:
    assert produce_published_entries() == recorded("published_entries.json")


def test_recorded_entries_are_read_by_the_view_of_a_dispatcher() -> None:
    registry = Registry("edge.1")
    view = RunnerView(registry, lambda: 0.0)
    entries = [decode_struct(Entry, bytes.fromhex(data)) for data in recorded("published_entries.json")]
    registry.merge(entries)
    assert [(entry.key, entry.major, entry.minor) for entry in registry.items()] == [
        ("runner/r-1", 3, 1),
        ("runner/r-2", 2**62, 3),
        ("runner/r-unknown", 2**62, 3),
    ]
    assert {id: record.stage for id, record in view.by_service("llm").items()} == {"r-1": Stage.SILENT}


def test_numbers_of_stages_are_those_in_stored_records() -> None:
    assert {stage.name: int(stage) for stage in Stage} == {"READY": 0, "SILENT": 1, "DRAINING": 2, "GONE": 3}
