"""Requests, attempts and outcomes, independent of the transport."""

from typing import TYPE_CHECKING, Any

from .outcomes import Answer, AnswerKind, End
from .requests import Attempt, Front, Request, Transport

if TYPE_CHECKING:
    from .dispatch import Core

__all__ = ["Answer", "AnswerKind", "Attempt", "Core", "End", "Front", "Request", "Transport"]


def __getattr__(name: str) -> Any:
    """Loads `Core` on first access: the system's roles need only the counters and deadlines."""
    if name == "Core":
        from .dispatch import Core

        return Core
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
