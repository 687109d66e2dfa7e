"""How attempts end, and how requests are answered."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from ..scheduling.interface import Status


@dataclass(frozen=True, slots=True)
class End:
    """How one attempt ended; `result` is what the box made, if it was served."""

    status: Status
    result: bytes = b""
    report: Sequence[float] = ()
    why: str = ""


class AnswerKind(Enum):
    """The three final answers."""

    SERVED = "served"
    REFUSED = "refused"  # it has not run, a retry is harmless
    FAILED = "failed"  # no promise about its effect


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    kind: AnswerKind
    result: bytes = b""
    retry_after: float = 0.0
    reason: str = ""
