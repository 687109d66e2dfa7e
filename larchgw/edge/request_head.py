"""Parses the headers that describe a client's request."""

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
# A duplicate of one of these is ambiguous: another reader may pick the other value and see another request.
SINGLE_VALUED = frozenset((b"host", ATTEMPT_ID, TIME_LEFT, b"x-model", b"content-length"))
# Replaced for every attempt.
REWRITTEN_FIELDS = frozenset((ATTEMPT_ID, TIME_LEFT, TARGET, PRIORITY))


def attempt_id(headers: Mapping[bytes, bytes]) -> bytes:
    """Returns the client's id of this attempt. Raises BadRequestError without one."""
    name = headers.get(ATTEMPT_ID, b"")
    if not name:
        raise BadRequestError("X-Attempt-Id is missing", "give every try an id of its own")
    return name


def check_single(fields: Fields) -> None:
    """Raises BadRequestError if a field that must be unique occurs more than once."""
    counts = Counter(name.lower() for name, _ in fields)
    for name in SINGLE_VALUED:
        if counts[name] > 1:
            raise BadRequestError(f"{name.decode()} comes {counts[name]} times", "send it once")


def time_left(headers: Mapping[bytes, bytes], maximum: float) -> float:
    """Returns how many seconds the client still waits, at most `maximum`, the default."""
    try:
        seconds = float(headers[TIME_LEFT]) / 1000.0
    except (KeyError, ValueError):
        return maximum
    return min(max(seconds, 0.0), maximum) if seconds == seconds else maximum


def model_of(headers: Mapping[bytes, bytes]) -> tuple[str, str]:
    """Returns model and adapter; each is empty if not given."""
    model, _, adapter = headers.get(b"x-model", b"").decode("latin-1").partition("/")
    return model.strip(), adapter.strip()


def tokens_of(headers: Mapping[bytes, bytes]) -> tuple[int, int]:
    """Returns the prompt tokens and the maximum of output tokens; 0 if not given."""
    tokens_in, _, tokens_out = headers.get(b"x-token-count", b"").partition(b",")
    return _count(tokens_in), _count(tokens_out)


def parts_of(headers: Mapping[bytes, bytes]) -> tuple[PromptPart, ...]:
    """Returns the parts of the prompt, in order."""
    parts = []
    for item in headers.get(b"x-prompt-start", b"").split(b","):
        name, colon, tokens = item.strip().partition(b":")
        if colon:
            parts.append(PromptPart(name.decode("latin-1"), _count(tokens)))
    return tuple(parts)


def forwarded_fields(fields: Fields, dropped: frozenset[bytes] = frozenset()) -> Fields:
    """Returns the fields that are forwarded to a runner unchanged, without those in `dropped`."""
    return end_to_end(fields, REWRITTEN_FIELDS | dropped)


def _count(text: bytes) -> int:
    text = text.strip()
    return int(text) if text.isdigit() else 0
