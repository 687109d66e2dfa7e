"""Schedule and progress of pulls, which compare member tables with another member.

A member that receives a digest different from its own pulls the differing records, bucket by bucket, one page
per tick. Pulls become less frequent while they bring no updates.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .messages import Cursor
from .settings import SwimSettings

PAGE_ATTEMPTS = 3  # how often the request for one page is sent


@dataclass(slots=True)
class PageRequest:
    """The request for one page.

    Attributes:
        address: Address of the member to ask.
        sequence: Sequence number of the last request sent for the page.
        cursor: The position after which the page starts.
    """

    address: str
    sequence: int
    cursor: Cursor


class PullProgress:
    """Schedule and progress of pulls, of which at most one is in progress.

    Times are seconds on the monotonic clock of the caller.
    """

    def __init__(self, settings: SwimSettings, random_source: Random) -> None:
        """Starts without a pull; `random_source` adds jitter to the time between pulls."""
        self._settings = settings
        self._random_source = random_source
        self._request: PageRequest | None = None
        self._due_at = 0.0
        self._attempts_left = 0
        self._period_s = settings.min_pull_period_s
        self._next_pull_at = float("-inf")
        self._has_updates = False

    def start_if_due(self, now: float, address: str) -> None:
        """Starts a pull from a member whose digest differs, unless one is in progress or was recent."""
        if self._request is None and now >= self._next_pull_at:
            self.start(now, address)

    def start(self, now: float, address: str, attempts: int = PAGE_ATTEMPTS) -> None:
        """Starts a pull, replacing any in progress.

        Args:
            now: Current time.
            address: Address of the member to pull from.
            attempts: How often the request for the first page may be sent.
        """
        self._request = PageRequest(address, 0, Cursor())
        self._due_at = now
        self._attempts_left = attempts
        self._has_updates = False
        self._schedule_next(now)

    def next_request(self, now: float, sequence: int) -> PageRequest | None:
        """Returns the request to send now with the number `sequence`, if one is due."""
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
        """Continues with the next page, or ends the pull.

        Args:
            now: Current time.
            sequence: Sequence number of the request that the page answers.
            next_cursor: The position after which the next page starts; None on the last page.
            has_updates: Whether the page has changed the local state.
            next_peer: Address of the member to ask for the next page. A different member each time keeps the
                load on seeds low, from which many processes pull when they join.
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
