"""Whom to probe next, and the state of the probe under way and of probes made for others."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

RELAYS_MAX = 64  # probes made for others at a time; more are not taken on


class RoundRobin:
    """Every address once a round, in an order shuffled anew each round; new ones join at a random place."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._order: list[str] = []
        self._known: set[str] = set()
        self._next = 0

    def add(self, address: str) -> None:
        """Takes its turn at a place drawn at random among those still to come in this round."""
        if address in self._known:
            return
        self._known.add(address)
        place = self._random.randint(self._next, len(self._order))
        self._order.insert(place, address)

    def next(self, wanted: Callable[[str], bool]) -> str | None:
        """The next address that is still wanted; the others are dropped."""
        while self._order:
            if self._next >= len(self._order):
                self._random.shuffle(self._order)
                self._next = 0
            address = self._order[self._next]
            if wanted(address):
                self._next += 1
                return address
            del self._order[self._next]
            self._known.discard(address)
        return None


@dataclass(slots=True)
class Probe:
    """A probe of one life of a member. `helpers` were asked to probe it too, and `nacks` of them answered."""

    sequence: int
    address: str
    incarnation: int
    helpers_at: float
    ends_at: float
    helpers: int = 0
    nacks: int = 0
    asked: bool = False


@dataclass(slots=True)
class _Relay:
    origin: str
    sequence: int
    nack_at: float
    ends_at: float
    nacked: bool = False


class Relays:
    """Probes that this process makes because another one got no answer."""

    def __init__(self) -> None:
        self._relays: dict[int, _Relay] = {}

    def add(self, own_sequence: int, origin: str, sequence: int, nack_at: float, ends_at: float) -> bool:
        """Whether it was taken on."""
        if len(self._relays) >= RELAYS_MAX:
            return False
        self._relays[own_sequence] = _Relay(origin, sequence, nack_at, ends_at)
        return True

    def answered(self, own_sequence: int) -> tuple[str, int] | None:
        """Whom to tell, under which sequence."""
        relay = self._relays.pop(own_sequence, None)
        return None if relay is None else (relay.origin, relay.sequence)

    def overdue(self, now: float) -> list[tuple[str, int]]:
        """Origins that must be told that there is no answer yet, each once; ended relays are dropped."""
        told: list[tuple[str, int]] = []
        for own_sequence, relay in list(self._relays.items()):
            if not relay.nacked and relay.nack_at <= now:
                relay.nacked = True
                told.append((relay.origin, relay.sequence))
            if relay.ends_at <= now:
                del self._relays[own_sequence]
        return told

    def clear(self) -> None:
        """Forgets all that is under way."""
        self._relays.clear()
