"""A client of the operator's API: follows redirects, and sends a call again until it has a clear answer."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol
from urllib.parse import urlsplit

MOST_REDIRECTS = 2
MOST_OTHER_REFUSALS = 3  # a 4xx that is neither final nor passing is taken for final at the third
FINAL = frozenset({200, 400, 409, 412, 413, 422})
PASSING = frozenset({408, 429})  # not of this process: another one is asked
FIRST_PAUSE_S = 0.1
PAUSE_GROWTH = 1.6
LONGEST_PAUSE_S = 2.0


@dataclass(frozen=True, slots=True)
class Call:
    """One call of the operator's API, the same however often it is sent."""

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer; `location` is where a redirect leads."""

    status: int
    body: bytes = b""
    location: str = ""


class NoAnswer(Exception):
    """A process could not be reached, or stayed silent; whether it took the call is not known."""


class Unclear(Exception):
    """No process gave a clear answer in time: the call may or may not have been taken."""


class Transport(Protocol):
    """Sends one call to one address ("host:port"). Raises NoAnswer."""

    def send(self, address: str, call: Call) -> Reply:
        """The answer, redirects not followed."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """How long a call is tried, and how time passes."""

    clock: Callable[[], float]
    sleep: Callable[[float], None]
    random: Random
    patience_s: float


class OperatorClient:
    """Tries the addresses in turn."""

    def __init__(self, addresses: Sequence[str], transport: Transport, waiting: Waiting) -> None:
        self._addresses, self._transport, self._waiting = list(addresses), transport, waiting

    def call(self, call: Call) -> Reply:
        """The clear answer. Raises Unclear once the patience is over."""
        until = self._waiting.clock() + self._waiting.patience_s
        pause, refusals, turn = FIRST_PAUSE_S, 0, 0
        while True:
            address = self._addresses[turn % len(self._addresses)]
            try:
                reply = self._follow(address, call)
            except NoAnswer as error:
                problem = str(error)
            else:
                if _is_refusal(reply.status):
                    refusals += 1
                if reply.status in FINAL or refusals >= MOST_OTHER_REFUSALS:
                    return reply
                problem = f"{address}: status {reply.status}"
            wait = pause * self._waiting.random.uniform(0.5, 1.0)
            if self._waiting.clock() + wait >= until:
                raise Unclear(f"no clear answer in {self._waiting.patience_s:g} s; the last one: {problem}")
            self._waiting.sleep(wait)
            pause = min(pause * PAUSE_GROWTH, LONGEST_PAUSE_S)
            turn += 1

    def _follow(self, address: str, call: Call) -> Reply:
        """The answer at the end of the redirects. Raises NoAnswer where they lead too far or nowhere."""
        for _ in range(MOST_REDIRECTS):
            reply = self._transport.send(address, call)
            if reply.status != 307:
                return reply
            target = urlsplit(reply.location)
            if target.scheme != "http" or not target.netloc:
                raise NoAnswer(f"{address}: redirects to {reply.location!r}, which is no address")
            address = target.netloc
            call = Call(call.method, target.path or call.path, call.headers, call.body)
        reply = self._transport.send(address, call)
        if reply.status == 307:
            raise NoAnswer(f"{address}: redirects more than {MOST_REDIRECTS} times")
        return reply


def _is_refusal(status: int) -> bool:
    return 400 <= status < 500 and status not in PASSING
