"""`larchgw control`."""

from __future__ import annotations

from ..runtime import process
from .node import ControlNode


def run() -> int:
    """Serves until SIGTERM; returns the exit status."""
    return process.run(ControlNode)
