"""Converts decoded JSON to the dataclasses of the model, and collects the errors found."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Protocol, TypeVar, get_type_hints

import dacite

from .errors import ConfigurationError, InvalidConfigurationError, MalformedConfigurationError
from .json_values import STRICT_TYPE_HOOKS, InvalidValueError, abbreviate, check_integer

_STRICT = dacite.Config(type_hooks=STRICT_TYPE_HOOKS)


class Named(Protocol):
    """An item that is identified by its name."""

    @property
    def name(self) -> str:
        """The name, unique within the list that holds the item."""


RecordT = TypeVar("RecordT")
ItemT = TypeVar("ItemT")


@dataclasses.dataclass(frozen=True, slots=True)
class FieldProblem:
    """An error in one field that dacite would reject."""

    name: str
    problem: str
    remedy: str


class JsonReader:
    """Reads JSON values by type.

    Reading continues after an error, so that the operator gets all errors in one response. The `path` of a
    value, such as "routes[2].shares", is part of the messages.

    Attributes:
        faults: The errors found so far, in the order of reading.
    """

    def __init__(self) -> None:
        """Starts with an empty list of errors."""
        self.faults: list[ConfigurationError] = []

    def add_malformed(self, path: str, problem: str, remedy: str) -> None:
        """Adds an error for a field that is missing or has the wrong type."""
        self.faults.append(MalformedConfigurationError(path, problem, remedy))

    def add_invalid(self, path: str, problem: str, remedy: str) -> None:
        """Adds an error for a value that contradicts another value or a rule."""
        self.faults.append(InvalidConfigurationError(path, problem, remedy))

    def require(self, is_valid: bool, path: str, problem: str, remedy: str) -> None:
        """Adds an error, as `add_invalid` does, unless `is_valid`."""
        if not is_valid:
            self.add_invalid(path, problem, remedy)

    def require_unique_names(self, list_name: str, items: Sequence[tuple[str, Named]]) -> None:
        """Adds an error for each item with the name of an earlier one; `items` are (path, item) pairs."""
        paths: dict[str, str] = {}
        for path, item in items:
            first = paths.setdefault(item.name, path)
            if first is not path:
                problem = f"{item.name!r} is the name of {first} too"
                self.add_invalid(f"{path}.name", problem, f"rename one of these {list_name}")

    def read_object(self, value: object, path: str) -> Mapping[str, Any] | None:
        """Returns the value if it is a JSON object; otherwise adds an error and returns None."""
        if isinstance(value, dict):
            return value
        self.add_malformed(path, f"{abbreviate(value)} is no JSON object", "give an object")
        return None

    def read_list(self, value: object, path: str) -> list[Any]:
        """Returns the value if it is a JSON list; otherwise adds an error and returns an empty list."""
        if isinstance(value, list):
            return value
        self.add_malformed(path, f"{abbreviate(value)} is no list", "give a list")
        return []

    def read_integer(self, value: object, path: str) -> int | None:
        """Returns the value if it is an integer from 0 to MAX_NUMBER; otherwise adds an error."""
        try:
            return check_integer(value)
        except InvalidValueError as error:
            self.add_malformed(path, error.problem, error.remedy)
            return None

    def read_record(self, data_class: type[RecordT], raw: Mapping[str, Any], path: str) -> RecordT | None:
        """Returns an instance of `data_class`; None after adding an error for each invalid field.

        Null counts as absent, and unknown fields are ignored. Values of fields that hold dataclasses or
        tuples must already be converted.
        """
        present = {name: value for name, value in raw.items() if value is not None}
        try:
            return dacite.from_dict(data_class, present, _STRICT)
        except dacite.DaciteFieldError:
            for fault in _wrong_fields(data_class, present):
                self.add_malformed(f"{path}.{fault.name}", fault.problem, fault.remedy)
            return None

    def read_items(
        self, values: object, path: str, read: Callable[[object, str, JsonReader], ItemT | None]
    ) -> list[tuple[str, ItemT]]:
        """Returns the items of a list that could be read, each with its path.

        Args:
            values: The JSON list.
            path: Its path.
            read: Reads one item; returns None after adding errors if it cannot be read.
        """
        items = []
        for index, value in enumerate(self.read_list(values, path)):
            item_path = f"{path}[{index}]"
            item = read(value, item_path, self)
            if item is not None:
                items.append((item_path, item))
        return items


def _wrong_fields(data_class: type, present: Mapping[str, Any]) -> Iterator[FieldProblem]:
    """Yields an error for every field that dacite would reject; dacite itself stops at the first."""
    hints = get_type_hints(data_class)
    for field in dataclasses.fields(data_class):
        if field.name not in present:
            if field.default is dataclasses.MISSING:
                yield FieldProblem(field.name, "is missing", "add it")
            continue
        try:
            STRICT_TYPE_HOOKS.get(hints[field.name], lambda value: value)(present[field.name])
        except InvalidValueError as error:
            yield FieldProblem(field.name, error.problem, error.remedy)
