"""Route look-up: a wrong result would send a request to another service."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchgw.configuration.model import Configuration, Route
from larchgw.configuration.route_table import RouteTable, normalised_host
from larchgw.configuration.validation import parse_configuration
from tests.support.configurations import configurations, example


def route_table(*places: tuple[str, str]) -> RouteTable:
    template = example()["routes"][2]
    routes = [
        template | {"name": f"{host}{start}", "hostname": host, "path_start": start} for host, start in places
    ]
    return RouteTable(parse_configuration(example(routes=routes)))


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a", "/x/1", "a/x/"),
        ("A:8144", "/x/", "a/x/"),
        (" a ", "/x/y/1", "a/x/y/"),
        ("a", "/x/y", "a/x/"),
        ("a", "/x", None),
        ("a", "/xy/1", None),
        ("a", "/X/1", None),
        ("b", "/x/1", "b/"),
        ("b", "/", "b/"),
        ("b", "", None),
        ("b", "/?a=/x/", "b/"),
        ("a", "/x?/y/", None),
        ("a", "/x/?q=/y/", "a/x/"),
        ("c", "/x/1", None),
        ("", "/x/1", None),
        ("[::1]:80", "/z", "[::1]/"),
        ("a", "/x//y/", "a/x/"),
    ],
)
def test_longest_prefix_on_a_slash_boundary_is_found(host: str, path: str, name: str | None) -> None:
    found = route_table(("a", "/x/"), ("a", "/x/y/"), ("b", "/"), ("[::1]", "/")).find(host, path)
    assert (found.name if found else None) == name


def find_linearly(configuration: Configuration, host: str, path: str) -> Route | None:
    """Reference implementation of `RouteTable.find`."""
    path = path.split("?")[0]
    matching = [
        route
        for route in configuration.routes
        if route.hostname == host and path.startswith(route.path_start)
    ]
    return max(matching, key=lambda route: len(route.path_start), default=None)


@settings(max_examples=100)
@given(
    configurations(),
    st.sampled_from(["a.example", "b.example", "c.example"]),
    st.lists(st.sampled_from(["", "a", "b", "aa", "a-b", "?"])),
)
def test_table_finds_the_same_route_as_a_linear_search(
    raw: dict[str, Any], host: str, steps: list[str]
) -> None:
    configuration = parse_configuration(raw)
    path = "/" + "/".join(steps)
    for asked in (host, host.upper() + ":8144"):
        assert RouteTable(configuration).find(asked, path) == find_linearly(configuration, host, path)


def test_host_is_compared_without_port_and_case() -> None:
    assert [normalised_host(h) for h in ("A.B:1", "[::1]", "[FE80::1]:80")] == ["a.b", "[::1]", "[fe80::1]"]
