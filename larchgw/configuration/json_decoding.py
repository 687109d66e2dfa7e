"""Decodes the body of a request into a JSON object, more strictly than the standard library.

All replicas must agree on which bodies are valid, and a value must be read back as it was sent. So a field
given twice, a number that is not finite, half of a surrogate pair and deep nesting are rejected.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any, NoReturn

from .errors import MalformedConfigurationError
from .json_values import abbreviate

ROOT_PATH = "configuration"
"""The path that errors name where no single field is at fault."""
MAX_NESTING = 64
"""Levels of JSON. Python's own limit depends on how deep the caller is."""
_SURROGATE_ESCAPE = b"\\ud"


def decode_object(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a body.

    Raises:
        MalformedConfigurationError: The body is not one whole JSON object.
    """
    try:
        raw = json.loads(
            body.decode(),
            object_pairs_hook=_reject_repeated_fields,
            parse_constant=_reject_constant,
            parse_float=_parse_finite,
        )
        if _SURROGATE_ESCAPE in body.lower():  # half of a pair would fail later, wherever text is sent on
            json.dumps(raw, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise not_json(error) from None
    if _is_too_deep(raw):
        problem = f"is nested over {MAX_NESTING} levels deep"
        raise MalformedConfigurationError(ROOT_PATH, problem, "send it flatter")
    return require_object(raw)


def not_json(error: Exception) -> MalformedConfigurationError:
    """Returns the error for a body that cannot be decoded."""
    problem = f"is not JSON ({error})"
    return MalformedConfigurationError(ROOT_PATH, problem, "send one whole JSON object")


def require_object(value: object) -> dict[str, Any]:
    """Returns a decoded body that is a JSON object.

    Raises:
        MalformedConfigurationError: It is something else.
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
    """The objects and lists directly in a decoded one."""
    items: Iterable[object] = ()
    if isinstance(value, dict):
        items = value.values()
    elif isinstance(value, list):
        items = value
    return [item for item in items if isinstance(item, dict | list)]


def _reject_repeated_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Makes a JSON object; which of two fields of one name counts would be a guess."""
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
