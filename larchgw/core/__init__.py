"""Requests, attempts and outcomes, whatever wire they come over."""

from .dispatch import Core
from .outcomes import Answer, AnswerKind, End
from .requests import Attempt, Front, Request, Transport

__all__ = ["Answer", "AnswerKind", "Attempt", "Core", "End", "Front", "Request", "Transport"]
