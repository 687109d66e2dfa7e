"""Entry point of `larchgw edge`."""

from __future__ import annotations

from ..runtime import process
from .node import EdgeNode


def run() -> int:
    """Serves until SIGTERM. Returns the exit status."""
    return process.run(EdgeNode)
