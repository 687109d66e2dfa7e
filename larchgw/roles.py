"""Runs the roles of the system, `larchgw edge` and `larchgw control`, without any command line library."""

from __future__ import annotations

from importlib import import_module

ROLES = ("edge", "control")


def run_role(role: str) -> int:
    """Runs one of ROLES until it is told to end. Only its own modules are loaded.

    Returns:
        The exit status.
    """
    return int(import_module(f"larchgw.{role}.main").run())
