"""Reads decoded JSON into the dataclasses of the model, and collects what is wrong with it."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Protocol, TypeVar, get_type_hints

import dacite

from .errors import ConfigurationError, InvalidConfigurationError, MalformedConfigurationError
from .json_values import STRICT_TYPE_HOOKS, InvalidValueError, abbreviate, check_integer

_STRICT = dacite.Config(type_hooks=STRICT_TYPE_HOOKS)


class Named(Protocol):
    """An item that is known by its name."""

    @property
    def name(self) -> str:
        """Unique among the items of its list."""


RecordT = TypeVar("RecordT")
ItemT = TypeVar("ItemT")


@dataclasses.dataclass(frozen=True, slots=True)
class FieldFault:
    """A field that dacite would reject."""

    name: str
    problem: str
    remedy: str


class JsonReader:
    """Reads JSON values by type.

    Reading goes on after a fault, so that the operator learns of all at once. The `path` of a value, such as
    "routes[2].shares", goes into the messages.

    Attributes:
        faults: What was found to be wrong so far, in the order of reading.
    """

    def __init__(self) -> None:
        """Starts without faults."""
        self.faults: list[ConfigurationError] = []

    def add_malformed(self, path: str, problem: str, remedy: str) -> None:
        """Adds the fault of a field that is missing or of another type."""
        self.faults.append(MalformedConfigurationError(path, problem, remedy))

    def add_invalid(self, path: str, problem: str, remedy: str) -> None:
        """Adds the fault of a value that contradicts another or a rule."""
        self.faults.append(InvalidConfigurationError(path, problem, remedy))

    def require(self, is_valid: bool, path: str, problem: str, remedy: str) -> None:
        """Adds a fault, as `add_invalid` does, unless `is_valid`."""
        if not is_valid:
            self.add_invalid(path, problem, remedy)

    def require_unique_names(self, list_name: str, items: Sequence[tuple[str, Named]]) -> None:
        """Adds a fault for each item with the name of an earlier one; `items` come with their paths."""
        paths: dict[str, str] = {}
        for path, item in items:
            first = paths.setdefault(item.name, path)
            if first is not path:
                problem = f"{item.name!r} is the name of {first} too"
                self.add_invalid(f"{path}.name", problem, f"rename one of these {list_name}")

    def read_object(self, value: object, path: str) -> Mapping[str, Any] | None:
        """Returns a JSON object; None, and a fault, where it is something else."""
        if isinstance(value, dict):
            return value
        self.add_malformed(path, f"{abbreviate(value)} is no JSON object", "give an object")
        return None

    def read_list(self, value: object, path: str) -> list[Any]:
        """Returns a JSON list; an empty one, and a fault, where it is something else."""
        if isinstance(value, list):
            return value
        self.add_malformed(path, f"{abbreviate(value)} is no list", "give a list")
        return []

    def read_integer(self, value: object, path: str) -> int | None:
        """Returns a whole number from 0 to MAX_NUMBER; None, and a fault, where it is something else."""
        try:
            return check_integer(value)
        except InvalidValueError as error:
            self.add_malformed(path, error.problem, error.remedy)
            return None

    def read_record(self, data_class: type[RecordT], raw: Mapping[str, Any], path: str) -> RecordT | None:
        """Returns an instance of `data_class`; None, and a fault for each wrong field, if there is any.

        A field that is null counts as left out, and unknown ones are ignored. Fields that are dataclasses or
        tuples must have been made before.
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
        """Returns the items of a list that can be read, each with its path.

        Args:
            values: The JSON list.
            path: Its path.
            read: Reads one item; None where it cannot be read, after adding the faults.
        """
        items = []
        for index, value in enumerate(self.read_list(values, path)):
            item_path = f"{path}[{index}]"
            item = read(value, item_path, self)
            if item is not None:
                items.append((item_path, item))
        return items


def _wrong_fields(data_class: type, present: Mapping[str, Any]) -> Iterator[FieldFault]:
    """Yields every field that dacite would reject; dacite itself stops at the first."""
    hints = get_type_hints(data_class)
    for field in dataclasses.fields(data_class):
        if field.name not in present:
            if field.default is dataclasses.MISSING:
                yield FieldFault(field.name, "is missing", "add it")
            continue
        try:
            STRICT_TYPE_HOOKS.get(hints[field.name], lambda value: value)(present[field.name])
        except InvalidValueError as error:
            yield FieldFault(field.name, error.problem, error.remedy)
