"""Checks the scheduler settings."""

from typing import get_args

from ..scheduling.interface import Effect, Settings


def check_settings(s: Settings) -> None:
    """Checks the settings.

    Raises:
        ValueError: A setting is invalid; the message names it.
    """
    if not s.classes:
        raise ValueError("classes: at least one is needed")
    for c in s.classes:
        if c.aim <= 0 or c.deadline <= 0:
            raise ValueError(f"classes: {c.name!r} needs aim and deadline above 0")
        if c.effect not in get_args(Effect):
            raise ValueError(f"classes: {c.name!r} has the unknown effect {c.effect!r}")
        if c.group not in ("all", "zone", "cell"):
            raise ValueError(f"classes: {c.name!r} has the unknown group {c.group!r}")
    for name in ("instances", "tick", "max_attempts", "tip_multiple", "tip_span"):
        if not getattr(s, name) > 0:
            raise ValueError(f"{name}: must be above 0")
    if not isinstance(s.rank, int):
        raise ValueError("rank: must be a whole number")
    for name in ("warm_up", "cold_from", "drain_grace", "max_retry_after", "progress"):
        if getattr(s, name) < 0:
            raise ValueError(f"{name}: must not be negative")
