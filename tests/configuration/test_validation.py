"""Validation of configurations: which ones are accepted, and that all others are rejected."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchgw.configuration.errors import ConfigurationError, MalformedConfigurationError
from larchgw.configuration.json_decoding import decode_object
from larchgw.configuration.json_reader import JsonReader
from larchgw.configuration.route_reader import read_plain_route, read_route_by_dacite
from larchgw.configuration.validation import (
    check_configuration,
    parse_committed,
    parse_configuration,
)
from tests.support.configurations import EXAMPLE, body, configurations, example, with_value


def test_valid_configuration_is_read_with_every_field() -> None:
    read = parse_configuration(decode_object(body(EXAMPLE)))
    plan, note, level = read.routes
    assert (read.config_version, len(read.services), read.limits.idle_ms) == (7, 2, 15000.0)
    assert (plan.service, plan.deadline_ms, plan.gap_aim_ms, plan.is_idempotent) == (
        "models",
        15000,
        300,
        False,
    )
    assert [(share.service, share.weight) for share in note.split()] == [("models", 90.0), ("lookups", 10.0)]
    assert note.is_idempotent
    assert [share.service for share in level.split()] == ["lookups"]
    runtime = read.services[0].runtime
    assert runtime is not None
    assert runtime.model("m1") is not None
    assert runtime.weights_mb == 230000.0
    assert read.services[1].runtime is None


def test_unknown_fields_are_ignored_and_kept_in_raw() -> None:
    raw = with_value(example(later={"a": 1}), "routes.0.tenant", "t1")
    read = parse_configuration(decode_object(body(raw)))
    assert read.raw == raw
    assert read.routes == parse_configuration(EXAMPLE).routes


WRONG: list[tuple[str, Any]] = [
    ("config_version", ...),
    ("config_version", 0),
    ("config_version", -3),
    ("config_version", True),
    ("config_version", "7"),
    ("config_version", 7.5),
    ("config_version", 10**30),
    ("config_version", None),
    ("routes", ...),
    ("routes", {}),
    ("routes", None),
    ("routes.0", "r"),
    ("services", ...),
    ("services", 3),
    ("services.0", []),
    ("limits", []),
    ("limits.idle_ms", 0),
    ("limits.header_bytes", -1),
    ("limits.body_bytes", "many"),
    ("routes.0.name", ...),
    ("routes.0.name", ""),
    ("routes.0.name", 3),
    ("routes.1.name", "r-plan"),
    ("routes.0.hostname", ...),
    ("routes.0.hostname", ""),
    ("routes.0.hostname", ["a"]),
    ("routes.0.path_start", ...),
    ("routes.0.path_start", "plan/"),
    ("routes.0.path_start", "/plan"),
    ("routes.0.path_start", ""),
    ("routes.1.path_start", "/plan/"),
    ("routes.0.kind", ...),
    ("routes.0.kind", "batch"),
    ("routes.0.kind", 1),
    ("routes.0.deadline_ms", ...),
    ("routes.0.deadline_ms", 0),
    ("routes.0.deadline_ms", 0.0),
    ("routes.0.deadline_ms", -5),
    ("routes.0.deadline_ms", True),
    ("routes.0.deadline_ms", "5000"),
    ("routes.0.deadline_ms", 1e300),
    ("routes.0.target_ms", -1),
    ("routes.0.target_ms", [1]),
    ("routes.0.rank", -1),
    ("routes.0.rank", 0.5),
    ("routes.0.rank", False),
    ("routes.0.tries", 0),
    ("routes.0.tries", -1),
    ("routes.0.pinned", 1),
    ("routes.0.pinned", "yes"),
    ("routes.0.can_resume", 0),
    ("routes.0.gap_aim_ms", -0.5),
    ("routes.0.service", ...),
    ("routes.0.service", ""),
    ("routes.0.service", "nobody"),
    ("routes.0.service", 5),
    ("routes.1.service", "nobody"),
    ("routes.1.shares", []),
    ("routes.1.shares", "models"),
    ("routes.1.shares.0", "models"),
    ("routes.1.shares.0.service", "nobody"),
    ("routes.1.shares.0.service", ...),
    ("routes.1.shares.0.weight", -1),
    ("routes.1.shares.0.weight", True),
    ("routes.1.shares.0.weight", ...),
    ("routes.1.shares", [{"service": "models", "weight": 0}, {"service": "lookups", "weight": 0.0}]),
    ("services.0.name", ...),
    ("services.0.name", ""),
    ("services.1.name", "models"),
    ("services.0.max_conns", -1),
    ("services.0.max_conns", "many"),
    ("services.0.uses_tls", "no"),
    ("services.0.runtime", []),
    ("services.0.runtime.slots", 0.5),
    ("services.0.runtime.models", {"m1": {}}),
    ("services.0.runtime.models.0.name", ...),
    ("services.0.runtime.models.1.name", "m1"),
    ("services.0.runtime.models.0.weights_mb", -1),
    ("services.0.runtime.models.0.adapters", "a1"),
    ("services.0.runtime.loads_per_s", True),
]


@pytest.mark.parametrize(("path", "value"), WRONG)
def test_an_invalid_field_is_rejected_and_reported(path: str, value: object) -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(decode_object(body(with_value(EXAMPLE, path, value))))
    named, wrong = caught.value.field, path.replace(".0", "[0]").replace(".1", "[1]")
    assert named.startswith(wrong) or wrong.startswith(named)
    assert caught.value.status == 400
    assert caught.value.remedy
    assert str(caught.value).startswith(named)


@pytest.mark.parametrize(
    "damaged",
    [
        b"",
        b"[]",
        b"null",
        b"7",
        b"{",
        b'{"config_version":1',
        body(EXAMPLE)[:-1],
        body(EXAMPLE)[:400],
        body(EXAMPLE) + b"}",
        b"\xff\xfe{}",
        body(EXAMPLE).replace(b"15000", b"NaN"),
        body(EXAMPLE).replace(b"15000", b"-Infinity"),
        body(EXAMPLE).replace(b"15000", b"1e999"),
        body(EXAMPLE).replace(b'"rank": 0', b'"rank": 0, "rank": 1'),
        b'{"a":' * 200000,
        body(EXAMPLE).replace(b"15000", b"9" * 5000),
        body(EXAMPLE).replace(b'"r-plan"', b'"\\ud800"'),
    ],
)
def test_body_that_is_not_one_json_object_is_rejected(damaged: bytes) -> None:
    with pytest.raises(MalformedConfigurationError):
        parse_configuration(decode_object(damaged))


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("routes.0.target_ms", None),
        ("routes.0.shares", []),
        ("routes.0.shares", None),
        ("limits", ...),
        ("routes.1.shares.0.weight", 0),
        ("routes.0.deadline_ms", 0.25),
        ("routes.0.tries", 2.0),
        ("routes.0.path_start", "/"),
        ("routes.1.hostname", "other.example"),
        ("routes.0.target_ms", 99999),
        ("services.0.runtime", None),
        ("services.0.runtime.models", []),
        ("services.0.health_path", ...),
        ("routes", []),
        ("routes.1.service", "models"),
    ],
)
def test_allowed_value_is_accepted(path: str, value: object) -> None:
    assert parse_configuration(decode_object(body(with_value(EXAMPLE, path, value)))).config_version == 7


def test_hosts_that_differ_only_in_case_are_the_same() -> None:
    raw = with_value(EXAMPLE, "routes.1.path_start", "/plan/")
    raw = with_value(raw, "routes.1.hostname", "DESK.example")
    with pytest.raises(ConfigurationError, match=r"routes\[1\].path_start"):
        parse_configuration(raw)


def test_all_faults_are_reported_at_once() -> None:
    raw = with_value(with_value(EXAMPLE, "routes.0.kind", "batch"), "routes.2.deadline_ms", 0)
    raw = with_value(with_value(raw, "routes.1.shares.1.service", "nobody"), "routes.0.tries", 0)
    raw = with_value(with_value(raw, "routes.2.name", 3), "routes.2.hostname", ...)
    result = check_configuration(raw)
    assert result.configuration is None
    assert [fault.field for fault in result.faults] == [
        "routes[0].kind",
        "routes[0].tries",
        "routes[2].name",
        "routes[2].hostname",
        "routes[1].shares[1].service",
    ]


def test_services_of_routes_are_not_checked_while_services_cannot_be_read() -> None:
    faults = check_configuration(with_value(EXAMPLE, "services.0.max_conns", "many")).faults
    assert [fault.field for fault in faults] == ["services[0].max_conns"]


def test_route_is_read_again_unless_its_json_object_is_identical() -> None:
    known = parse_configuration(EXAMPLE)
    same = parse_configuration(example(routes=EXAMPLE["routes"]), known)
    assert all(one is other for one, other in zip(same.routes, known.routes, strict=True))
    with pytest.raises(ConfigurationError):
        parse_configuration(with_value(EXAMPLE, "routes.0.rank", False), known)


@pytest.mark.parametrize(
    "damaged",
    [
        b"{",
        b"\xff",
        body(with_value(EXAMPLE, "routes.0.name", ["r-plan"])),
        body(with_value(EXAMPLE, "routes.0", "r-plan")),
        body(with_value(EXAMPLE, "routes.0.tries", 0)),
    ],
)
def test_damaged_committed_configuration_is_rejected(damaged: bytes) -> None:
    with pytest.raises(ConfigurationError):
        parse_committed(damaged, parse_configuration(EXAMPLE))


@given(configurations(), configurations())
def test_previous_configuration_does_not_affect_a_committed_one(
    before: dict[str, Any], raw: dict[str, Any]
) -> None:
    assert (
        parse_committed(body(raw), parse_configuration(before))
        == parse_configuration(raw)
        == parse_committed(body(raw), None)
    )


def test_only_changed_routes_of_a_committed_configuration_are_read_again() -> None:
    known = parse_configuration(EXAMPLE)
    changed = parse_committed(body(with_value(EXAMPLE, "routes.1.rank", 3)), known)
    assert [route is before for route, before in zip(changed.routes, known.routes, strict=True)] == [
        True,
        False,
        True,
    ]
    assert changed.routes[1].rank == 3


def test_only_changed_services_of_a_committed_configuration_are_read_again() -> None:
    known = parse_configuration(EXAMPLE)
    changed = parse_committed(body(with_value(EXAMPLE, "services.0.max_conns", 7)), known)
    assert changed.services[0].max_conns == 7
    assert changed.services[1:]
    assert all(
        service is before for service, before in zip(changed.services[1:], known.services[1:], strict=True)
    )


@settings(max_examples=80)
@given(configurations())
def test_any_valid_configuration_is_accepted(raw: dict[str, Any]) -> None:
    read = parse_configuration(decode_object(body(raw)))
    assert read.raw == raw
    assert len(read.routes) == len(raw["routes"])


@settings(max_examples=60)
@given(configurations(), st.data())
def test_truncated_body_is_rejected(raw: dict[str, Any], data: st.DataObject) -> None:
    complete = body(raw)
    with pytest.raises(MalformedConfigurationError):
        parse_configuration(decode_object(complete[: data.draw(st.integers(0, len(complete) - 1))]))


@given(configurations(), st.sampled_from(["routes", "services"]), st.data())
def test_repeated_name_is_always_rejected(raw: dict[str, Any], field: str, data: st.DataObject) -> None:
    items = raw[field]
    if not items:
        return
    items.append(dict(data.draw(st.sampled_from(items)), hostname="another.example"))
    with pytest.raises(ConfigurationError):
        parse_configuration(raw)


@settings(max_examples=60)
@given(
    configurations(),
    st.data(),
    st.sampled_from(
        [
            ("kind", "x"),
            ("deadline_ms", 0),
            ("deadline_ms", True),
            ("path_start", "/x"),
            ("service", "no such"),
            ("tries", 0),
            ("pinned", "no"),
            ("hostname", 3),
            ("shares", [{"weight": 0}]),
        ]
    ),
)
def test_one_invalid_route_among_many_is_always_rejected(
    raw: dict[str, Any], data: st.DataObject, change: tuple[str, object]
) -> None:
    if not raw["routes"]:
        return
    data.draw(st.sampled_from(raw["routes"]))[change[0]] = change[1]
    with pytest.raises(ConfigurationError):
        parse_configuration(raw)


@given(configurations())
def test_fast_path_for_routes_gives_the_same_result_as_dacite(raw: dict[str, Any]) -> None:
    plain = [read_plain_route(route) for route in raw["routes"]]
    by_dacite = [read_route_by_dacite(route, "r", JsonReader()) for route in raw["routes"]]
    assert plain == by_dacite


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner)
        | st.dictionaries(st.sampled_from(["config_version", "routes", "services", "limits", "name"]), inner),
    )
)
def test_no_json_value_crashes_the_reader(value: object) -> None:
    status = 400
    try:
        parse_configuration(decode_object(json.dumps(value).encode()))
    except ConfigurationError as error:
        status = error.status
    assert status == 400
