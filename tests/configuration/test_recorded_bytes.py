"""Compatibility with settings files, configurations and requests recorded with an earlier release.

Field names, packed and canonical JSON, the digests that identify repeated requests, and the messages for
operators are part of the interface, and must equal the recorded ones.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import asdict
from pathlib import Path
from typing import Any

import pytest

from larchgw.configuration.change import canonical_json, evaluate_order, order_digest
from larchgw.configuration.errors import ConfigurationError
from larchgw.configuration.json_decoding import decode_object
from larchgw.configuration.model import Configuration
from larchgw.configuration.packing import pack, unpack
from larchgw.configuration.settings import parse_settings
from larchgw.configuration.settings_check import settings_faults
from larchgw.configuration.validation import (
    check_configuration,
    parse_committed,
    parse_configuration,
)
from tests.support.configurations import EXAMPLE, with_value

FIXTURES = Path(__file__).parents[1] / "fixtures" / "configuration"
COMPRESSION_LEVEL = 6


def load_cases(name: str) -> list[Any]:
    return [pytest.param(case, id=case["id"]) for case in json.loads((FIXTURES / name).read_text())]


def values_of(configuration: Configuration) -> dict[str, Any]:
    """Returns all fields except `raw`, in their order, as JSON values."""
    fields = asdict(configuration)
    del fields["raw"]
    values: dict[str, Any] = json.loads(json.dumps(fields))
    return values


def describe_error(error: ConfigurationError) -> dict[str, Any]:
    return {
        "status": error.status,
        "field": error.field,
        "problem": error.problem,
        "remedy": error.remedy,
        "message": str(error),
    }


def read_settings(raw: dict[str, Any]) -> dict[str, Any]:
    try:
        settings = parse_settings(raw)
    except ConfigurationError as error:
        return {"error": describe_error(error)}
    values = json.loads(json.dumps(asdict(settings)))
    return {"values": values, "faults": [describe_error(fault) for fault in settings_faults(settings)]}


def read_configuration(raw: dict[str, Any]) -> dict[str, Any]:
    result = check_configuration(raw)
    configuration = result.configuration
    return {
        "values": None if configuration is None else values_of(configuration),
        "faults": [describe_error(fault) for fault in result.faults],
    }


def take_order(current: dict[str, Any] | None, operation: str, built_on: int, body: str) -> dict[str, Any]:
    try:
        known = None if current is None else parse_configuration(current)
        return {"raw": evaluate_order(known, operation, built_on, body.encode()).raw}
    except ConfigurationError as error:
        return {"error": describe_error(error)}


def read_body(body: str) -> dict[str, Any]:
    try:
        return {"raw": decode_object(body.encode())}
    except ConfigurationError as error:
        return {"error": describe_error(error)}


def assert_same_json(found: object, expected: object) -> None:
    """Compares as text, so that the order of fields and the types of numbers matter."""
    assert json.dumps(found, indent=1) == json.dumps(expected, indent=1)


@pytest.mark.parametrize("case", load_cases("settings.json"))
def test_settings_file_is_read_to_the_recorded_values_and_faults(case: dict[str, Any]) -> None:
    assert_same_json(read_settings(case["raw"]), case["expected"])


@pytest.mark.parametrize("case", load_cases("configurations.json"))
def test_configuration_is_read_to_the_recorded_values_and_faults(case: dict[str, Any]) -> None:
    raw = case["raw"] if "raw" in case else with_value(EXAMPLE, case["path"], case.get("value", ...))
    assert_same_json(read_configuration(raw), case["expected"])


@pytest.mark.parametrize("case", load_cases("orders.json"))
def test_order_gives_the_recorded_configuration_or_error(case: dict[str, Any]) -> None:
    found = take_order(case["current"], case["operation"], case["built_on"], case["body"])
    assert_same_json(found, case["expected"])
    assert order_digest(case["operation"], case["built_on"], case["body"].encode()) == case["digest"]


@pytest.mark.parametrize("case", load_cases("bodies.json"))
def test_body_is_decoded_to_the_recorded_object_or_error(case: dict[str, Any]) -> None:
    assert_same_json(read_body(case["body"]), case["expected"])


@pytest.mark.parametrize("case", load_cases("packed.json"))
def test_packed_configuration_is_read_and_written_as_recorded(case: dict[str, Any]) -> None:
    packed, text = bytes.fromhex(case["packed"]), case["text"].encode()
    assert unpack(packed) == text
    assert_same_json(values_of(parse_committed(unpack(packed), None)), case["values"])
    assert pack(case["raw"]) == zlib.compress(text, COMPRESSION_LEVEL)
    assert canonical_json(case["raw"]).decode() == case["canonical"]
