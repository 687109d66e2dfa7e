"""Errors of placement."""

from __future__ import annotations

from ..identifiers import RunnerId


class PlacementError(Exception):
    """Any error of this package."""


class InvalidStateError(PlacementError):
    """What is known of a runner contradicts itself.

    Attributes:
        runner_id: The runner concerned.
        rule: What should hold and does not.
    """

    def __init__(self, runner_id: RunnerId, rule: str) -> None:
        """Makes the message from the two fields."""
        super().__init__(f"runner {runner_id}: {rule}; this is a fault of the placement code: report it")
        self.runner_id, self.rule = runner_id, rule
