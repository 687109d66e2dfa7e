"""Entry point of the command `larchgw control`."""

from __future__ import annotations

from ..runtime import process
from .node import ControlNode


def run() -> int:
    """Runs a control process until SIGTERM; returns the exit status."""
    return process.run(ControlNode)
