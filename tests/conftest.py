"""Settings of all tests: fixed hypothesis examples, no log lines, and the tests that are known to fail."""

from collections.abc import MutableMapping
from typing import Any, NoReturn

import structlog
from hypothesis import settings

pytest_plugins = ["tests.support.known_red"]
settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=12)
settings.load_profile("fixed")


def drop_event(_logger: object, _method: str, _event: MutableMapping[str, Any]) -> NoReturn:
    """A structlog processor. `structlog.testing.capture_logs` takes its place where a test reads events."""
    raise structlog.DropEvent


structlog.configure(processors=[drop_event])
