"""Applying an operator's "replace" and "change" requests to the current configuration."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchgw.configuration.change import (
    CHANGE,
    REPLACE,
    apply_change,
    canonical_json,
    evaluate_order,
    order_digest,
)
from larchgw.configuration.errors import (
    ConfigurationError,
    InvalidConfigurationError,
    MalformedConfigurationError,
    StaleConfigurationError,
)
from larchgw.configuration.json_decoding import MAX_NESTING
from larchgw.configuration.model import Configuration
from larchgw.configuration.validation import parse_configuration
from tests.support.configurations import EXAMPLE, body, configurations, example, routes_of, with_value

CURRENT = parse_configuration(EXAMPLE)
ADDED = {
    "name": "r-new",
    "hostname": "desk.example",
    "path_start": "/new/",
    "kind": "writing",
    "deadline_ms": 100,
    "service": "lookups",
}


def change(**fields: object) -> bytes:
    return body({"config_version": 9, **fields})


@pytest.mark.parametrize("operation", [REPLACE, CHANGE])
@pytest.mark.parametrize("base_version", [0, 6, 8])
def test_request_based_on_another_than_the_current_version_is_stale(
    operation: str, base_version: int
) -> None:
    with pytest.raises(StaleConfigurationError) as caught:
        evaluate_order(CURRENT, operation, base_version, body(example(config_version=9)))
    assert caught.value.status == 412


@pytest.mark.parametrize("version", [1, 6, 7])
@pytest.mark.parametrize("base_version", [7, -1])
def test_version_that_is_not_above_the_current_one_is_rejected(version: int, base_version: int) -> None:
    for operation in (REPLACE, CHANGE):
        with pytest.raises(InvalidConfigurationError, match="config_version"):
            evaluate_order(CURRENT, operation, base_version, body(example(config_version=version)))


def test_first_configuration_is_based_on_version_0() -> None:
    assert evaluate_order(None, REPLACE, 0, body(EXAMPLE)) == CURRENT
    with pytest.raises(StaleConfigurationError):
        evaluate_order(None, REPLACE, 3, body(EXAMPLE))


def test_change_adds_replaces_and_removes_items_by_name() -> None:
    replaced = {**EXAMPLE["routes"][0], "deadline_ms": 1}
    request = change(add={"routes": [replaced, ADDED]}, remove={"routes": ["r-note", "r-never-was"]})
    new = evaluate_order(CURRENT, CHANGE, 7, request)
    assert [route.name for route in new.routes] == ["r-plan", "r-level", "r-new"]
    assert new.raw["routes"] == [replaced, EXAMPLE["routes"][2], ADDED]
    assert (new.config_version, new.services, new.limits) == (9, CURRENT.services, CURRENT.limits)
    assert CURRENT.raw["routes"] == EXAMPLE["routes"]


def test_removed_route_may_be_added_in_the_same_change() -> None:
    new = evaluate_order(
        CURRENT,
        CHANGE,
        7,
        change(add={"routes": [ADDED | {"name": "r-plan"}]}, remove={"routes": ["r-plan"]}),
    )
    assert [route.path_start for route in new.routes] == ["/note/", "/level/", "/new/"]


def test_change_of_limits_keeps_the_other_limits() -> None:
    for request in (change(limits={"idle_ms": 1}), change(add={"limits": {"idle_ms": 1}})):
        limits = evaluate_order(CURRENT, CHANGE, 7, request).limits
        assert (limits.idle_ms, limits.header_ms) == (1.0, 3000.0)


@pytest.mark.parametrize(
    "fields",
    [
        {"remove": {"services": ["models"]}},
        {"add": {"routes": [ADDED | {"service": "nobody"}]}},
        {"add": {"routes": [ADDED | {"path_start": "/plan/"}]}},
        {"add": {"routes": [ADDED | {"deadline_ms": 0}]}},
        {"add": {"routes": [ADDED, ADDED]}},
        {"add": {"routes": ADDED}},
        {"add": {"routes": ["r"]}},
        {"add": {"routes": [{"hostname": "a"}]}},
        {"add": []},
        {"remove": ["routes"]},
        {"remove": {"routes": "r-plan"}},
        {"remove": {"routes": [3]}},
        {"remove": {"limits": ["idle_ms"]}},
        {"config_version": None},
        {"limits": 3},
    ],
)
def test_change_to_an_invalid_configuration_is_rejected(fields: dict[str, Any]) -> None:
    with pytest.raises(ConfigurationError):
        evaluate_order(CURRENT, CHANGE, 7, change(**fields))


def test_unknown_operation_is_rejected() -> None:
    with pytest.raises(InvalidConfigurationError, match="operation"):
        evaluate_order(CURRENT, "patch", 7, change())


def test_digest_is_equal_for_equal_requests_only() -> None:
    requests = [(REPLACE, 7, b"{}"), (CHANGE, 7, b"{}"), (REPLACE, 8, b"{}"), (REPLACE, 7, b"{} ")]
    assert len({order_digest(*request) for request in requests}) == len(requests)
    assert order_digest(REPLACE, 7, body(EXAMPLE)) == order_digest(REPLACE, 7, body(example()))


def test_canonical_json_does_not_depend_on_the_order_of_fields() -> None:
    reversed_fields = dict(reversed(EXAMPLE.items()))
    assert canonical_json(reversed_fields) == canonical_json(EXAMPLE)
    assert json.loads(canonical_json(EXAMPLE)) == EXAMPLE
    assert canonical_json(with_value(EXAMPLE, "routes.0.rank", 1)) != canonical_json(EXAMPLE)


@settings(max_examples=60)
@given(configurations(), st.data())
def test_change_is_read_back_as_it_was_requested(raw: dict[str, Any], data: st.DataObject) -> None:
    before = copy.deepcopy(raw)
    services = [service["name"] for service in raw["services"]]
    removed = data.draw(
        st.lists(st.sampled_from([r["name"] for r in raw["routes"]] or ["r-none"]), unique=True)
    )
    route = data.draw(routes_of(services)) | {"name": "r-added", "hostname": "added.example"}
    request = {
        "config_version": raw["config_version"] + 2,
        "add": {"routes": [route]},
        "remove": {"routes": removed},
    }
    new = evaluate_order(parse_configuration(raw), CHANGE, raw["config_version"], body(request))
    by_name = {r["name"]: r for r in before["routes"] if r["name"] not in removed} | {"r-added": route}
    read_back = json.loads(canonical_json(new.raw))
    assert {r["name"]: r for r in read_back["routes"]} == by_name
    assert read_back["config_version"] == request["config_version"]
    assert parse_configuration(read_back) == new
    assert raw == before


@given(configurations())
def test_empty_change_changes_the_version_only(raw: dict[str, Any]) -> None:
    number = raw["config_version"] + 1
    assert apply_change(raw, {"config_version": number}) == raw | {"config_version": number}


def test_items_whose_names_are_not_strings_are_ignored_by_a_change() -> None:
    current = parse_configuration({**EXAMPLE, "notes": [{"name": ["x"]}, {"name": {}}, 7]})
    for request in (change(add={"notes": [{"name": "a"}]}), change(remove={"notes": ["a"]})):
        notes = evaluate_order(current, CHANGE, 7, request).raw["notes"]
        assert isinstance(notes, list)
        assert notes[:3] == current.raw["notes"]


def test_allowed_nesting_does_not_depend_on_the_depth_of_the_caller() -> None:
    def nested(levels: int) -> bytes:
        text = json.dumps({**EXAMPLE, "notes": 0})
        return text.replace('"notes": 0', '"notes": ' + "[" * levels + "]" * levels).encode()

    def below(frames: int, request: bytes) -> Configuration:
        return below(frames - 1, request) if frames else evaluate_order(None, REPLACE, 0, request)

    deepest = nested(MAX_NESTING - 1)  # the request's own object is one level
    assert evaluate_order(None, REPLACE, 0, deepest) == below(600, deepest)
    for levels in (MAX_NESTING, 850, 100_000):
        for frames in (0, 600):
            with pytest.raises(MalformedConfigurationError):
                below(frames, nested(levels))


def test_number_that_json_cannot_represent_is_rejected_in_any_field() -> None:
    request = json.dumps({**EXAMPLE, "notes": 0}).replace('"notes": 0', '"notes": -1e999').encode()
    with pytest.raises(MalformedConfigurationError, match="1e999"):
        evaluate_order(None, REPLACE, 0, request)
