"""Structured logging: one event per line on standard error, as `key=value` pairs.

A line starts with `timestamp` (UTC), `level`, `node` and `event`, followed by the fields of the event.
Modules log through `structlog.get_logger()`; `docs/oncall.md` lists the events.
"""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Iterator, MutableMapping
from contextlib import contextmanager
from typing import Any

import structlog
from structlog.typing import Processor

LEVEL_VARIABLE = "LARCHGW_LOG"
"""Environment variable with the lowest level to log."""

DEFAULT_LEVEL = "INFO"  # at WARNING, starts and the settings in effect would not be logged


def configure(node_name: str) -> None:
    """Logs events of level INFO and above to standard error; LARCHGW_LOG sets another level.

    Args:
        node_name: Name of the process, included in every line as `node`.
    """
    level = _level()

    def add_node(_logger: object, _method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        event["node"] = node_name
        return event

    fields: list[Processor] = [
        add_node,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    renderer = structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "node", "event"])
    structlog.configure(
        processors=[*fields, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    _configure_libraries(level, fields, renderer)


def configure_command() -> None:
    """Configures logging for commands other than roles: only warnings and errors, on standard error."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


@contextmanager
def muted() -> Iterator[None]:
    """Disables logging inside the block, because simulations cause thousands of failures."""
    before = structlog.get_config()["wrapper_class"]
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)
        structlog.configure(wrapper_class=before)


def _level() -> int:
    name = os.environ.get(LEVEL_VARIABLE, DEFAULT_LEVEL).upper()
    levels = logging.getLevelNamesMapping()
    return levels.get(name, levels[DEFAULT_LEVEL])


def _configure_libraries(level: int, fields: list[Processor], renderer: Processor) -> None:
    """Applies the same format to libraries (asyncio, Tornado) that use the standard library's logging."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[structlog.stdlib.add_logger_name, *fields],
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
