"""What workers tell of their load, in the order and by the names that the settings give."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

# The settings name the report's fields by the simulator's words, the sockets by these.
FIELD = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
SILENT = "silent"  # workers that report nothing


class ReportReader:
    """Reads reports; before `configure` there are none."""

    def __init__(self) -> None:
        self._fields: list[str] = []

    def configure(self, settings: dict[str, Any]) -> None:
        """`report` of the settings."""
        self._fields = settings.get("fields", []) if settings.get("via", SILENT) != SILENT else []

    def figures(self, named: dict[str, Any]) -> Sequence[float]:
        """The report's figures in the order of the settings; empty if there is none."""
        try:
            return [float(named.get(FIELD.get(f, f), named.get(f, 0.0))) for f in self._fields]
        except (TypeError, ValueError):
            return ()

    def in_header(self, value: bytes) -> Sequence[float]:
        """The report that is the value of `X-Load`."""
        return self.figures(dict(p.partition("=")[::2] for p in value.decode("latin-1").split(",")))

    def in_body(self, body: bytes) -> Sequence[float]:
        """The report that is the body of a probe's answer: an object, or written as in the header."""
        try:
            named = json.loads(body)
        except ValueError:
            named = dict(p.strip().partition("=")[::2] for p in body.decode("latin-1").split(","))
        named = named.get("load", named) if isinstance(named, dict) else None
        return self.figures(named) if isinstance(named, dict) and named else ()
