"""Errors of placement."""

from __future__ import annotations

from ..identifiers import RunnerId


class PlacementError(Exception):
    """Base class of the errors of this package."""


class InvalidStateError(PlacementError):
    """The state of a runner violates an invariant.

    Attributes:
        runner_id: The runner.
        rule: The invariant that is violated.
    """

    def __init__(self, runner_id: RunnerId, rule: str) -> None:
        """Builds the message from the two fields."""
        super().__init__(
            f"runner {runner_id}: {rule}; this invariant is violated by a bug in placement: report it"
        )
        self.runner_id, self.rule = runner_id, rule
