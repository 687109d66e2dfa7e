"""Faults that a runner draws for each of its answers, as long as they last."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnswerFaults:
    """How often a runner spoils its answers.

    Attributes:
        random: Draws which answers are spoilt.
        rejected: Share of requests that are rejected although there is room.
        repeated: Share of answers, rejections too, that are sent a second time once the next request has
            come on their connection.
        doubled: Share of answers, rejections too, that are sent a second time at once.
        spoilt: Share of answers that are cut, garbled, reset or followed by another request's answer.
        carried_on: Share of requests that run on, or begin to run, although their connection has closed.
        early: Share of answers that come before the body of their request is read (runners without models).
        rejected_early: Share of requests with long bodies that are rejected before the body is read.
        forgotten_after_s: Idle time of a connection after which whatever is sent on it is reset.
    """

    random: random.Random
    rejected: float = 0.0
    repeated: float = 0.0
    doubled: float = 0.0
    spoilt: float = 0.0
    carried_on: float = 0.0
    early: float = 0.0
    rejected_early: float = 0.0
    forgotten_after_s: float = float("inf")

    def rejects(self) -> bool:
        """Whether the next request is rejected."""
        return self.random.random() < self.rejected

    def repeats(self) -> bool:
        """Whether the answer just sent comes again with the next request."""
        return self.random.random() < self.repeated

    def doubles(self) -> bool:
        """Whether the answer just sent comes again at once."""
        return self.random.random() < self.doubled

    def carries_on(self) -> bool:
        """Whether a request whose connection has closed is run all the same."""
        return self.random.random() < self.carried_on

    def answers_early(self) -> bool:
        """Whether the next request is answered before its body is read."""
        return self.random.random() < self.early

    def rejects_early(self) -> bool:
        """Whether the next request, which has a long body, is rejected before that is read."""
        return self.random.random() < self.rejected_early

    def spoils(self) -> bool:
        """Whether the next answer is spoilt."""
        return self.random.random() < self.spoilt
