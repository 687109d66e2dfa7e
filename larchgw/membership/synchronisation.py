"""When to compare tables with another member, and the walk through the pages of its answer.

A member that sees another digest than its own in a datagram pulls what differs, bucket by bucket, one page
a tick. Pulls become rare while they bring nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .codec import Cursor
from .settings import SwimSettings

PAGE_TRIES = 3  # sends of the request for one page


@dataclass(slots=True)
class PageRequest:
    """A page to ask for."""

    address: str
    sequence: int
    cursor: Cursor


class Synchronisation:
    """At most one pull at a time."""

    def __init__(self, settings: SwimSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._request: PageRequest | None = None
        self._due_at = 0.0
        self._tries_left = 0
        self._period = settings.min_pull_period_s
        self._next_pull_at = float("-inf")
        self._news = False

    def differs(self, now: float, address: str) -> None:
        """Another digest was seen there: pulls from it, unless a pull is under way or was lately."""
        if self._request is None and now >= self._next_pull_at:
            self.begin(now, address)

    def begin(self, now: float, address: str, tries: int = PAGE_TRIES) -> None:
        """Pulls from there now, in place of a pull under way. `tries` is for the first page."""
        self._request = PageRequest(address, 0, Cursor())
        self._due_at = now
        self._tries_left = tries
        self._news = False
        self._schedule(now)

    def due(self, now: float, sequence: int) -> PageRequest | None:
        """The request to send now, if any; it will carry `sequence`."""
        request = self._request
        if request is None or now < self._due_at:
            return None
        if self._tries_left == 0:
            self._request = None
            return None
        self._tries_left -= 1
        self._due_at = now + self._settings.page_timeout_s
        request.sequence = sequence
        return request

    def page(self, now: float, sequence: int, following: Cursor | None, news: bool, peer: str) -> None:
        """A page has come. `following` is where the next one begins, None after the last.

        The next one is asked of `peer`, so that those that many join by (seeds) carry little of it.
        """
        request = self._request
        if request is None or request.sequence != sequence:
            return
        self._news = self._news or news
        if following is None:
            self._request = None
            self._adapt(now)
            return
        request.address = peer
        request.cursor = following
        self._tries_left = PAGE_TRIES
        self._due_at = now

    def _adapt(self, now: float) -> None:
        settings = self._settings
        doubled = min(self._period * 2, settings.max_pull_period_s)
        self._period = settings.min_pull_period_s if self._news else doubled
        self._schedule(now)

    def _schedule(self, now: float) -> None:
        self._next_pull_at = now + self._period * self._random.uniform(0.75, 1.25)
