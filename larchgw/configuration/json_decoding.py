"""Decodes the body of a request into a JSON object, more strictly than the standard library.

All replicas must agree on which bodies are valid, and a value must be read back as it was sent. Duplicate
fields, non-finite numbers, unpaired surrogates and deep nesting are therefore rejected.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any, NoReturn

from .errors import MalformedConfigurationError
from .json_values import abbreviate

ROOT_PATH = "configuration"
"""The path in errors that concern no single field."""
MAX_NESTING = 64
"""Maximum depth of nested JSON. Python's recursion limit would depend on the caller's stack depth."""
_SURROGATE_ESCAPE = b"\\ud"


def decode_object(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a body.

    Raises:
        MalformedConfigurationError: The body is not exactly one JSON object.
    """
    try:
        raw = json.loads(
            body.decode(),
            object_pairs_hook=_reject_repeated_fields,
            parse_constant=_reject_constant,
            parse_float=_parse_finite,
        )
        if _SURROGATE_ESCAPE in body.lower():  # an unpaired surrogate would fail later, on encoding
            json.dumps(raw, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise not_json_error(error) from None
    if _is_too_deep(raw):
        problem = f"is nested over {MAX_NESTING} levels deep"
        raise MalformedConfigurationError(ROOT_PATH, problem, "send it flatter")
    return require_object(raw)


def not_json_error(error: Exception) -> MalformedConfigurationError:
    """Returns the error for a body that cannot be decoded."""
    problem = f"is not JSON ({error})"
    return MalformedConfigurationError(ROOT_PATH, problem, "send one whole JSON object")


def require_object(value: object) -> dict[str, Any]:
    """Returns the decoded body if it is a JSON object.

    Raises:
        MalformedConfigurationError: It is of another type.
    """
    if not isinstance(value, dict):
        problem = f"{abbreviate(value)} is no JSON object"
        raise MalformedConfigurationError(ROOT_PATH, problem, "send an object")
    return value


def _is_too_deep(value: object) -> bool:
    level = [value]
    for _ in range(MAX_NESTING):
        level = [inner for outer in level for inner in _containers_in(outer)]
        if not level:
            return False
    return True


def _containers_in(value: object) -> list[object]:
    """Returns the objects and lists that are direct children of a decoded value."""
    items: Iterable[object] = ()
    if isinstance(value, dict):
        items = value.values()
    elif isinstance(value, list):
        items = value
    return [item for item in items if isinstance(item, dict | list)]


def _reject_repeated_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds a JSON object; rejects duplicate fields, as it is ambiguous which of them applies."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise MalformedConfigurationError(repeated, "is given twice in one object", "keep one of them")
    return fields


def _parse_finite(text: str) -> float:
    number = float(text)
    if math.isinf(number):
        problem = f"holds {text}, which is too large"
        raise MalformedConfigurationError(ROOT_PATH, problem, "give a smaller number")
    return number


def _reject_constant(text: str) -> NoReturn:
    problem = f"holds {text}, which is not JSON"
    raise MalformedConfigurationError(ROOT_PATH, problem, "give a finite number")
