"""Whether rules with a bound on time hold for a machine at a moment.

They do while it was undisturbed, and so was the core.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .records import Trouble


class Touch:
    """Answers from the list of what was done to the machines. `contact_s`: how long calm must have lasted."""

    def __init__(self, troubles: Iterable[Trouble], contact_s: float) -> None:
        self._troubles = list(troubles)
        self._contact_s = contact_s

    def machine(self, address: str, at: float) -> bool:
        """Whether this machine is in touch."""
        return self.core_is_stable(at) and not self._disturbed(at, lambda one: one.machine == address)

    def core_is_stable(self, at: float) -> bool:
        """Whether nothing has been done to the core."""
        return not self._disturbed(at, lambda one: one.core)

    def between(self, address: str, begin: float, end: float) -> bool:
        """Whether the machine is in touch from `begin` to `end`."""
        return self.machine(address, begin) and not any(
            (one.core or one.machine == address) and begin <= one.at <= end for one in self._troubles
        )

    def unplanned(self, begin: float, end: float) -> bool:
        """Whether anything unplanned was done in this time or `contact_s` before it."""
        return any(
            not one.planned and one.at <= end and one.until >= begin - self._contact_s
            for one in self._troubles
        )

    def _disturbed(self, at: float, concerns: Callable[[Trouble], bool]) -> bool:
        return any(
            concerns(one) and one.at <= at and one.until >= at - self._contact_s for one in self._troubles
        )
