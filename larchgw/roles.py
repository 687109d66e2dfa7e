"""Starts the roles `larchgw edge` and `larchgw control` without loading a command line library."""

from __future__ import annotations

from importlib import import_module

ROLES = ("edge", "control")


def run_role(role: str) -> int:
    """Runs one of ROLES until it is stopped. Loads only the modules that the role needs.

    Returns:
        The exit status.
    """
    return int(import_module(f"larchgw.{role}.main").run())
