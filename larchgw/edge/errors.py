"""Requests that the edge answers itself because they are no proper ones."""

from __future__ import annotations


class BadRequest(Exception):
    """A request that can't be understood. `remedy` says what its sender should change."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}: {remedy}")
        self.problem, self.remedy = problem, remedy
