"""Parses and validates a complete configuration.

A configuration with contradictory or meaningless values is rejected. Unknown fields are kept in
`Configuration.raw` and otherwise ignored.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from .errors import ConfigurationError
from .json_decoding import not_json_error, require_object
from .json_reader import JsonReader
from .model import Configuration, Limits, Route, Service
from .route_reader import read_route
from .route_table import normalised_host
from .service_reader import read_service

Item = TypeVar("Item", Route, Service)
ReadItem = Callable[[object, str, JsonReader], Item | None]
"""Reads one item at a path; returns None after adding errors if it is invalid."""


@dataclass(frozen=True, slots=True)
class ValidationResult:
    """Result of validating a configuration.

    Attributes:
        configuration: The configuration; None if there is any error.
        faults: All errors found.
    """

    configuration: Configuration | None
    faults: list[ConfigurationError]


def parse_configuration(raw: Mapping[str, Any], previous: Configuration | None = None) -> Configuration:
    """Returns the configuration in a decoded body.

    Args:
        raw: The JSON object.
        previous: A configuration that was parsed before. Its routes and services are reused where `raw`
            contains the identical JSON objects, as after `change.apply_change`.

    Raises:
        MalformedConfigurationError: A field is missing or has the wrong type.
        InvalidConfigurationError: The values contradict each other or violate a rule.
    """
    return _require_valid(
        _validate(
            raw,
            _reuse_identical(previous, "routes", read_route),
            _reuse_identical(previous, "services", read_service),
        )
    )


def parse_committed(body: bytes, previous: Configuration | None) -> Configuration:
    """Returns a configuration that was received from a control process, which has validated it.

    Routes and services that are equal in `previous` are reused. This is not safe for an operator's request,
    because JSON's true compares equal to 1.

    Raises:
        MalformedConfigurationError, InvalidConfigurationError: The body is corrupt.
    """
    try:
        raw = json.loads(body)
    except ValueError as error:
        raise not_json_error(error) from None
    return _require_valid(
        _validate(
            require_object(raw),
            _reuse_equal(previous, "routes", read_route),
            _reuse_equal(previous, "services", read_service),
        )
    )


def check_configuration(raw: Mapping[str, Any]) -> ValidationResult:
    """Validates the configuration in a decoded body, and finds all errors in it."""
    return _validate(raw, read_route, read_service)


def _require_valid(result: ValidationResult) -> Configuration:
    if result.configuration is None:
        raise result.faults[0]
    return result.configuration


def _validate(
    raw: Mapping[str, Any], read_one_route: ReadItem[Route], read_one_service: ReadItem[Service]
) -> ValidationResult:
    reader = JsonReader()
    version = _read_version(raw.get("config_version"), reader)
    services = _read_required_list(raw, "services", read_one_service, reader)
    are_services_known = not reader.faults  # else unread services would be reported as unknown
    routes = _read_required_list(raw, "routes", read_one_route, reader)
    limits = _read_limits(raw.get("limits"), reader)
    reader.require_unique_names("services", services)
    reader.require_unique_names("routes", routes)
    _check_unique_prefixes(routes, reader)
    if are_services_known:
        _check_services_exist(routes, {service.name for _, service in services}, reader)
    if reader.faults or version is None or limits is None:
        return ValidationResult(None, reader.faults)
    configuration = Configuration(
        version,
        tuple(route for _, route in routes),
        tuple(service for _, service in services),
        limits,
        dict(raw),
    )
    return ValidationResult(configuration, [])


def _items_with_json(previous: Configuration | None, field: str) -> list[tuple[dict[str, Any], Any]]:
    """Returns a configuration's routes or services, each with the JSON object that it was read from."""
    values = previous.raw.get(field) if previous else None
    if previous is None or not isinstance(values, list):
        return []
    return list(zip(values, getattr(previous, field), strict=True))


def _reuse_identical(previous: Configuration | None, field: str, read: ReadItem[Item]) -> ReadItem[Item]:
    """Wraps `read` to reuse the items of `previous` whose JSON objects are identical (`is`)."""
    # `previous` keeps its objects alive, so that no other object can have the same id.
    item_by_id: dict[int, Item] = {id(value): item for value, item in _items_with_json(previous, field)}
    return lambda value, path, reader: item_by_id.get(id(value)) or read(value, path, reader)


def _reuse_equal(previous: Configuration | None, field: str, read: ReadItem[Item]) -> ReadItem[Item]:
    """Wraps `read` to reuse the items of `previous` that have the same name and an equal JSON object."""
    item_by_name: dict[str, tuple[dict[str, Any], Item]] = {
        item.name: (value, item) for value, item in _items_with_json(previous, field)
    }

    def read_changed(value: object, path: str, reader: JsonReader) -> Item | None:
        """Returns the item of `previous` if its JSON object is equal, else reads it."""
        name = value.get("name") if isinstance(value, dict) else None
        before = item_by_name.get(name) if isinstance(name, str) else None
        if before is not None and before[0] == value:
            return before[1]
        return read(value, path, reader)

    return read_changed


def _read_version(value: object, reader: JsonReader) -> int | None:
    if value is None:
        reader.add_malformed("config_version", "is missing", "number the configuration")
        return None
    version = reader.read_integer(value, "config_version")
    reader.require(version != 0, "config_version", "is 0, which stands for none", "begin with 1")
    return version


def _read_required_list(
    raw: Mapping[str, Any], field: str, read: ReadItem[Item], reader: JsonReader
) -> list[tuple[str, Item]]:
    if raw.get(field) is None:
        reader.add_malformed(field, "is missing", "add the list, empty if there are none")
        return []
    return reader.read_items(raw[field], field, read)


def _read_limits(value: object, reader: JsonReader) -> Limits | None:
    if value is None:
        return Limits()
    raw = reader.read_object(value, "limits")
    limits = None if raw is None else reader.read_record(Limits, raw, "limits")
    if limits is not None:
        for name in Limits.__dataclass_fields__:
            is_valid = getattr(limits, name) > 0
            reader.require(is_valid, f"limits.{name}", "is 0", "give a limit above 0, or leave it out")
    return limits


def _check_unique_prefixes(routes: Iterable[tuple[str, Route]], reader: JsonReader) -> None:
    """Adds an error for each route with the same host and prefix as an earlier one."""
    paths: dict[tuple[str, str], str] = {}
    for path, route in routes:
        first = paths.setdefault((normalised_host(route.hostname), route.path_start), path)
        if first is not path:
            reader.add_invalid(
                f"{path}.path_start",
                f"shares its host and prefix with {first}",
                "give it another prefix or host, or drop one of them",
            )


def _check_services_exist(
    routes: Iterable[tuple[str, Route]], service_names: set[str], reader: JsonReader
) -> None:
    """Adds an error for each reference from a route to a service that does not exist."""
    for path, route in routes:
        if (route.service in service_names or not route.service) and all(
            share.service in service_names for share in route.shares
        ):
            continue
        references = [(f"{path}.service", route.service)] if route.service else []
        references += [(f"{path}.shares[{i}].service", share.service) for i, share in enumerate(route.shares)]
        for reference_path, name in references:
            is_known = name in service_names
            problem = f"service {name!r} is unknown"
            reader.require(is_known, reference_path, problem, "add the service, or name another")
