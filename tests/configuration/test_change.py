"""What an order of the operator makes of the current configuration."""

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


def change(**fields: Any) -> bytes:
    return body({"config_version": 9, **fields})


@pytest.mark.parametrize("operation", [REPLACE, CHANGE])
@pytest.mark.parametrize("built_on", [0, 6, 8])
def test_of_two_orders_on_one_version_the_second_is_stale(operation: str, built_on: int) -> None:
    with pytest.raises(StaleConfigurationError) as caught:
        evaluate_order(CURRENT, operation, built_on, body(example(config_version=9)))
    assert caught.value.status == 412


@pytest.mark.parametrize("version", [1, 6, 7])
@pytest.mark.parametrize("built_on", [7, -1])
def test_a_version_that_does_not_rise_is_refused(version: int, built_on: int) -> None:
    for operation in (REPLACE, CHANGE):
        with pytest.raises(InvalidConfigurationError, match="config_version"):
            evaluate_order(CURRENT, operation, built_on, body(example(config_version=version)))


def test_the_first_configuration_builds_on_nothing() -> None:
    assert evaluate_order(None, REPLACE, 0, body(EXAMPLE)) == CURRENT
    with pytest.raises(StaleConfigurationError):
        evaluate_order(None, REPLACE, 3, body(EXAMPLE))


def test_a_change_adds_replaces_and_removes_by_name() -> None:
    replaced = {**EXAMPLE["routes"][0], "deadline_ms": 1}
    order = change(add={"routes": [replaced, ADDED]}, remove={"routes": ["r-note", "r-never-was"]})
    wanted = evaluate_order(CURRENT, CHANGE, 7, order)
    assert [route.name for route in wanted.routes] == ["r-plan", "r-level", "r-new"]
    assert wanted.raw["routes"] == [replaced, EXAMPLE["routes"][2], ADDED]
    assert (wanted.config_version, wanted.services, wanted.limits) == (9, CURRENT.services, CURRENT.limits)
    assert CURRENT.raw["routes"] == EXAMPLE["routes"]


def test_a_removed_route_may_be_added_anew_in_the_same_change() -> None:
    wanted = evaluate_order(
        CURRENT,
        CHANGE,
        7,
        change(add={"routes": [ADDED | {"name": "r-plan"}]}, remove={"routes": ["r-plan"]}),
    )
    assert [route.path_start for route in wanted.routes] == ["/note/", "/level/", "/new/"]


def test_limits_in_a_change_keep_those_that_it_does_not_name() -> None:
    for order in (change(limits={"idle_ms": 1}), change(add={"limits": {"idle_ms": 1}})):
        limits = evaluate_order(CURRENT, CHANGE, 7, order).limits
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
def test_a_change_that_leads_to_an_invalid_whole_is_refused(fields: dict[str, Any]) -> None:
    with pytest.raises(ConfigurationError):
        evaluate_order(CURRENT, CHANGE, 7, change(**fields))


def test_an_unknown_operation_is_refused() -> None:
    with pytest.raises(InvalidConfigurationError, match="operation"):
        evaluate_order(CURRENT, "patch", 7, change())


def test_two_orders_never_share_a_digest_but_the_same_order_does() -> None:
    orders = [(REPLACE, 7, b"{}"), (CHANGE, 7, b"{}"), (REPLACE, 8, b"{}"), (REPLACE, 7, b"{} ")]
    assert len({order_digest(*order) for order in orders}) == len(orders)
    assert order_digest(REPLACE, 7, body(EXAMPLE)) == order_digest(REPLACE, 7, body(example()))


def test_the_canonical_form_does_not_depend_on_the_order_of_fields() -> None:
    turned = dict(reversed(EXAMPLE.items()))
    assert (
        canonical_json(turned) == canonical_json(EXAMPLE) and json.loads(canonical_json(EXAMPLE)) == EXAMPLE
    )
    assert canonical_json(with_value(EXAMPLE, "routes.0.rank", 1)) != canonical_json(EXAMPLE)


@settings(max_examples=60)
@given(configurations(), st.data())
def test_what_a_change_asks_for_is_what_is_read_back(raw: dict[str, Any], data: st.DataObject) -> None:
    before = copy.deepcopy(raw)
    services = [service["name"] for service in raw["services"]]
    gone = data.draw(st.lists(st.sampled_from([r["name"] for r in raw["routes"]] or ["r-none"]), unique=True))
    route = data.draw(routes_of(services)) | {"name": "r-added", "hostname": "added.example"}
    order = {
        "config_version": raw["config_version"] + 2,
        "add": {"routes": [route]},
        "remove": {"routes": gone},
    }
    wanted = evaluate_order(parse_configuration(raw), CHANGE, raw["config_version"], body(order))
    by_name = {r["name"]: r for r in before["routes"] if r["name"] not in gone} | {"r-added": route}
    read_back = json.loads(canonical_json(wanted.raw))
    assert {r["name"]: r for r in read_back["routes"]} == by_name
    assert read_back["config_version"] == order["config_version"]
    assert parse_configuration(read_back) == wanted and raw == before


@given(configurations())
def test_an_empty_change_changes_the_version_alone(raw: dict[str, Any]) -> None:
    number = raw["config_version"] + 1
    assert apply_change(raw, {"config_version": number}) == raw | {"config_version": number}


def test_items_whose_names_are_no_text_are_passed_over_and_refuse_nothing() -> None:
    current = parse_configuration({**EXAMPLE, "notes": [{"name": ["x"]}, {"name": {}}, 7]})
    for order in (change(add={"notes": [{"name": "a"}]}), change(remove={"notes": ["a"]})):
        assert evaluate_order(current, CHANGE, 7, order).raw["notes"][:3] == current.raw["notes"]


def test_how_deep_an_order_may_nest_does_not_depend_on_how_deep_the_caller_is() -> None:
    def nested(levels: int) -> bytes:
        text = json.dumps({**EXAMPLE, "notes": 0})
        return text.replace('"notes": 0', '"notes": ' + "[" * levels + "]" * levels).encode()

    def below(frames: int, order: bytes) -> Any:
        return below(frames - 1, order) if frames else evaluate_order(None, REPLACE, 0, order)

    at_most = nested(MAX_NESTING - 1)  # the order itself is one level
    assert evaluate_order(None, REPLACE, 0, at_most) == below(600, at_most)
    for levels in (MAX_NESTING, 850, 100_000):
        for frames in (0, 600):
            with pytest.raises(MalformedConfigurationError):
                below(frames, nested(levels))


def test_a_number_that_json_cannot_give_back_is_refused_in_any_field() -> None:
    order = json.dumps({**EXAMPLE, "notes": 0}).replace('"notes": 0', '"notes": -1e999').encode()
    with pytest.raises(MalformedConfigurationError, match="1e999"):
        evaluate_order(None, REPLACE, 0, order)
