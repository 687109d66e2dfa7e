"""Parses the load reports of workers into values in the order that the settings define."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

# Names of report fields on the workers' wire, by the simulator's names that the settings use.
WORKER_FIELD_NAMES = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
SILENT = "silent"  # workers send no reports


class ReportReader:
    """Parses load reports; returns no values until `configure` is called."""

    def __init__(self) -> None:
        self._fields: list[str] = []

    def configure(self, settings: dict[str, Any]) -> None:
        """Applies the `report` section of the settings."""
        self._fields = settings.get("fields", []) if settings.get("via", SILENT) != SILENT else []

    def ordered_values(self, named: dict[str, Any]) -> Sequence[float]:
        """Returns the values in the order of the settings; empty if one is not a number."""
        try:
            return [float(named.get(WORKER_FIELD_NAMES.get(f, f), named.get(f, 0.0))) for f in self._fields]
        except (TypeError, ValueError):
            return ()

    def parse_header(self, value: bytes) -> Sequence[float]:
        """Parses the value of an `X-Load` header."""
        return self.ordered_values(dict(p.partition("=")[::2] for p in value.decode("latin-1").split(",")))

    def parse_body(self, body: bytes) -> Sequence[float]:
        """Parses the body of a probe response: a JSON object, or the format of the header."""
        try:
            named = json.loads(body)
        except ValueError:
            named = dict(p.strip().partition("=")[::2] for p in body.decode("latin-1").split(","))
        named = named.get("load", named) if isinstance(named, dict) else None
        return self.ordered_values(named) if isinstance(named, dict) and named else ()
