"""What a client's request says of itself, read from its headers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from ..net.heads import Fields, end_to_end
from ..routing.interface import PromptPart
from .errors import BadRequestError

ATTEMPT_ID = b"x-attempt-id"
TIME_LEFT = b"x-time-left-ms"
TARGET = b"x-target-runner"
PRIORITY = b"priority"
LAST_EVENT_ID = b"last-event-id"
EXPECT_VERSION = b"expect-version"
# Given twice, one of these is two requests in one: whoever reads the other value sees another request.
SINGLE = frozenset((b"host", ATTEMPT_ID, TIME_LEFT, b"x-model", b"content-length"))
# Written anew for every send.
OURS = frozenset((ATTEMPT_ID, TIME_LEFT, TARGET, PRIORITY))


def attempt_id(headers: Mapping[bytes, bytes]) -> bytes:
    """The id that the client gave this try. Raises BadRequestError without one."""
    name = headers.get(ATTEMPT_ID, b"")
    if not name:
        raise BadRequestError("X-Attempt-Id is missing", "give every try an id of its own")
    return name


def check_single(fields: Fields) -> None:
    """Raises BadRequestError where a field that names the request comes twice."""
    counts = Counter(name.lower() for name, _ in fields)
    for name in SINGLE:
        if counts[name] > 1:
            raise BadRequestError(f"{name.decode()} comes {counts[name]} times", "send it once")


def time_left(headers: Mapping[bytes, bytes], longest: float) -> float:
    """Seconds that the client waits yet; `longest` where it doesn't tell."""
    try:
        told = float(headers[TIME_LEFT]) / 1000.0
    except (KeyError, ValueError):
        return longest
    return min(max(told, 0.0), longest) if told == told else longest


def model_of(headers: Mapping[bytes, bytes]) -> tuple[str, str]:
    """Model and adapter; each is empty where it isn't told."""
    model, _, adapter = headers.get(b"x-model", b"").decode("latin-1").partition("/")
    return model.strip(), adapter.strip()


def tokens_of(headers: Mapping[bytes, bytes]) -> tuple[int, int]:
    """Tokens of the prompt, and the most that may come out; 0 where it isn't told."""
    tokens_in, _, tokens_out = headers.get(b"x-token-count", b"").partition(b",")
    return _whole(tokens_in), _whole(tokens_out)


def parts_of(headers: Mapping[bytes, bytes]) -> tuple[PromptPart, ...]:
    """The parts of its prompt, in order."""
    parts = []
    for item in headers.get(b"x-prompt-start", b"").split(b","):
        name, colon, tokens = item.strip().partition(b":")
        if colon:
            parts.append(PromptPart(name.decode("latin-1"), _whole(tokens)))
    return tuple(parts)


def passed_on(fields: Fields, more: frozenset[bytes] = frozenset()) -> Fields:
    """The fields that go to a runner as they came."""
    return end_to_end(fields, OURS | more)


def _whole(text: bytes) -> int:
    text = text.strip()
    return int(text) if text.isdigit() else 0
