"""When to compare tables with another member, and how far the comparison under way has come.

A member that sees another digest than its own in a datagram pulls what differs, bucket by bucket, one page
a tick. Pulls become rare while they bring nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .messages import Cursor
from .settings import SwimSettings

PAGE_ATTEMPTS = 3  # sends of the request for one page


@dataclass(slots=True)
class PageRequest:
    """The page that is asked for.

    Attributes:
        address: Whom to ask.
        sequence: Number of the last request sent for it.
        cursor: The position behind which the page begins.
    """

    address: str
    sequence: int
    cursor: Cursor


class PullProgress:
    """Schedule and progress of pulls, of which one at most is under way.

    Times are seconds on the monotonic clock of the caller.
    """

    def __init__(self, settings: SwimSettings, random_source: Random) -> None:
        """Begins without a pull; `random_source` spreads pulls in time."""
        self._settings = settings
        self._random_source = random_source
        self._request: PageRequest | None = None
        self._due_at = 0.0
        self._attempts_left = 0
        self._period_s = settings.min_pull_period_s
        self._next_pull_at = float("-inf")
        self._has_updates = False

    def start_if_due(self, now: float, address: str) -> None:
        """Starts a pull from a member whose digest differs, unless one is under way or was lately."""
        if self._request is None and now >= self._next_pull_at:
            self.start(now, address)

    def start(self, now: float, address: str, attempts: int = PAGE_ATTEMPTS) -> None:
        """Starts a pull in place of one under way.

        Args:
            now: The time.
            address: Whom to pull from.
            attempts: Sends of the request for the first page.
        """
        self._request = PageRequest(address, 0, Cursor())
        self._due_at = now
        self._attempts_left = attempts
        self._has_updates = False
        self._schedule_next(now)

    def next_request(self, now: float, sequence: int) -> PageRequest | None:
        """Returns the request to send now under the number `sequence`, if one is due."""
        request = self._request
        if request is None or now < self._due_at:
            return None
        if self._attempts_left == 0:
            self._request = None
            return None
        self._attempts_left -= 1
        self._due_at = now + self._settings.page_timeout_s
        request.sequence = sequence
        return request

    def receive_page(
        self, now: float, sequence: int, next_cursor: Cursor | None, has_updates: bool, next_peer: str
    ) -> None:
        """Goes on to the next page, or ends the pull.

        Args:
            now: The time.
            sequence: Number of the request that the page answers.
            next_cursor: Where the next page begins, None after the last.
            has_updates: Whether the page changed anything here.
            next_peer: Whom to ask for the next page: another member, so that those that many join by (seeds)
                carry little of it.
        """
        request = self._request
        if request is None or request.sequence != sequence:
            return
        self._has_updates = self._has_updates or has_updates
        if next_cursor is None:
            self._request = None
            self._adapt_period(now)
            return
        request.address = next_peer
        request.cursor = next_cursor
        self._attempts_left = PAGE_ATTEMPTS
        self._due_at = now

    def _adapt_period(self, now: float) -> None:
        settings = self._settings
        doubled = min(self._period_s * 2, settings.max_pull_period_s)
        self._period_s = settings.min_pull_period_s if self._has_updates else doubled
        self._schedule_next(now)

    def _schedule_next(self, now: float) -> None:
        self._next_pull_at = now + self._period_s * self._random_source.uniform(0.75, 1.25)
