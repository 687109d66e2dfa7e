"""Client of the operators' API: follows redirects, and retries a call until it gets a definite response.

Retries are safe: a call names the configuration version that it is based on, so it takes effect only once.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol
from urllib.parse import urlsplit

from .errors import NoAnswerError, UnclearOutcomeError

TEMPORARY_REDIRECT = 307
MAX_REDIRECTS = 2
MAX_OTHER_REFUSALS = 3  # any other 4xx is treated as final when it occurs for the third time
FINAL_STATUSES = frozenset({200, 400, 409, 412, 413, 422})
TRANSIENT_STATUSES = frozenset({408, 429})  # specific to one process: the next one is tried
FIRST_PAUSE_S = 0.1
PAUSE_GROWTH = 1.6
MAX_PAUSE_S = 2.0


@dataclass(frozen=True, slots=True)
class Call:
    """One call of the operators' API, identical in all attempts."""

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """A response; `location` is the target of a redirect."""

    status: int
    body: bytes = b""
    location: str = ""


class Transport(Protocol):
    """Sends one call to one address ("host:port")."""

    def send(self, address: str, call: Call) -> Reply:
        """Returns the response; does not follow redirects.

        Raises:
            NoAnswerError: The process was unreachable or did not respond in time.
        """


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Time limit of a call, with the clock and random source of the backoff.

    Attributes:
        clock: Returns monotonic time in seconds.
        sleep: Waits for the given number of seconds.
        random: Source of the jitter of the pauses.
        give_up_after_s: Time after which no further attempt is started.
    """

    clock: Callable[[], float]
    sleep: Callable[[float], None]
    random: Random
    give_up_after_s: float


class OperatorClient:
    """Sends a call to the control processes in turn, with backoff, until one gives a definite response."""

    def __init__(self, addresses: Sequence[str], transport: Transport, retry_policy: RetryPolicy) -> None:
        """Uses the control processes at these addresses ("host:port")."""
        self._addresses, self._transport = list(addresses), transport
        self._retry_policy = retry_policy

    def call(self, call: Call) -> Reply:
        """Returns the definite response to a call, whether the system accepted or refused it.

        Raises:
            UnclearOutcomeError: There was none within the time limit of the retry policy.
        """
        policy = self._retry_policy
        until = policy.clock() + policy.give_up_after_s
        pause_s, refusals, attempt = FIRST_PAUSE_S, 0, 0
        while True:
            address = self._addresses[attempt % len(self._addresses)]
            try:
                reply = self._follow(address, call)
            except NoAnswerError as error:
                problem = str(error)
            else:
                if _is_refusal(reply.status):
                    refusals += 1
                if reply.status in FINAL_STATUSES or refusals >= MAX_OTHER_REFUSALS:
                    return reply
                problem = f"{address}: status {reply.status}"
            jittered_s = pause_s * policy.random.uniform(0.5, 1.0)
            if policy.clock() + jittered_s >= until:
                raise UnclearOutcomeError(policy.give_up_after_s, problem)
            policy.sleep(jittered_s)
            pause_s = min(pause_s * PAUSE_GROWTH, MAX_PAUSE_S)
            attempt += 1

    def _follow(self, address: str, call: Call) -> Reply:
        """Sends a call and follows redirects. Raises NoAnswerError if they are invalid or too many."""
        for _ in range(MAX_REDIRECTS):
            reply = self._transport.send(address, call)
            if reply.status != TEMPORARY_REDIRECT:
                return reply
            target = urlsplit(reply.location)
            if target.scheme != "http" or not target.netloc:
                raise NoAnswerError(address, f"redirects to {reply.location!r}, which is not an http:// URL")
            address = target.netloc
            call = Call(call.method, target.path or call.path, call.headers, call.body)
        reply = self._transport.send(address, call)
        if reply.status == TEMPORARY_REDIRECT:
            raise NoAnswerError(address, f"redirects more than {MAX_REDIRECTS} times")
        return reply


def _is_refusal(status: int) -> bool:
    return 400 <= status < 500 and status not in TRANSIENT_STATUSES
