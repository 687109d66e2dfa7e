"""How attempts end, and how requests are answered."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from ..scheduling.interface import Status


@dataclass(frozen=True, slots=True)
class End:
    """How one attempt ended; `result` is the worker's output if the job was served."""

    status: Status
    result: bytes = b""
    report: Sequence[float] = ()
    why: str = ""


class AnswerKind(Enum):
    """The three final answers."""

    SERVED = "served"
    REFUSED = "refused"  # the job has not run, so a retry is safe
    FAILED = "failed"  # the job may or may not have run


@dataclass(frozen=True, slots=True)
class Answer:
    """The only final answer to a request."""

    kind: AnswerKind
    result: bytes = b""
    retry_after: float = 0.0
    reason: str = ""
