"""The roles of the system, `larchgw edge` and `larchgw control`, without any command line library."""

from __future__ import annotations

from importlib import import_module

ROLES = ("edge", "control")


def run_role(role: str) -> int:
    """Runs one of ROLES until it is told to end; its exit status. Only its own modules are loaded."""
    return int(import_module(f"larchgw.{role}.main").run())
