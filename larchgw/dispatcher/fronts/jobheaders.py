"""What HTTP says of a job, in headers; and what an answer looks like in HTTP."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from ..core import Answer, AnswerKind

NAME = re.compile(rb"[!-~]{1,128}")
ONCE = re.compile(rb"[ -~]{1,256}")
LONGEST_WAIT_MS = 3_600_000
MICRO = 1e-6  # seconds; the unit of X-Cost-Hint (PROTOCOL, "Clients to dispatchers")
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class JobHeaders:
    name: bytes
    wait: float
    key: int
    slots: float
    memory: float
    hint: float  # seconds of work; 0: not told
    repeat: bool
    once: bytes = b""  # Idempotency-Key: passed on unchanged
    tenant: bytes = b""


def read_job(headers: Mapping[bytes, bytes], deduplicated: bool = False) -> JobHeaders:
    """From headers by their names in small letters; ValueError names the one that is wrong.

    `deduplicated`: its class's workers drop repeats by Idempotency-Key: a job without one cannot be sent on.
    """
    twice = next((n for n, value in headers.items() if b"\n" in value), None)
    if twice is not None:
        raise ValueError(f"{twice.decode('latin-1')} is given twice")
    name, wait = headers.get(b"x-request-id", b""), headers.get(b"x-deadline-ms", b"")
    if not NAME.fullmatch(name):
        raise ValueError("X-Request-Id is missing or bad")
    if not wait.isdigit() or not 0 < int(wait[:12]) <= LONGEST_WAIT_MS:
        raise ValueError("X-Deadline-Ms is missing or bad")
    once = headers.get(b"idempotency-key", b"")
    if not ONCE.fullmatch(once) and (deduplicated or b"idempotency-key" in headers):
        raise ValueError("Idempotency-Key is missing or bad")
    parts = headers.get(b"x-extras", b"").decode("latin-1").split(",")
    pairs = [part.partition("=") for part in parts if part.strip()]
    try:
        extras = {n.strip(): float(value) for n, _, value in pairs}
        hint = float(headers.get(b"x-cost-hint", b"0")) * MICRO
    except ValueError:
        raise ValueError("X-Extras or X-Cost-Hint is no figure") from None
    slots, memory = extras.get("slots", 1.0), extras.get("memory", 0.0)
    if not all(0.0 <= figure < 1e6 for figure in (hint, slots, memory)):
        raise ValueError("X-Extras or X-Cost-Hint is out of range")
    return JobHeaders(
        name,
        int(wait) / 1000.0,
        key_number(headers.get(b"x-key", b"")),
        slots or 1.0,
        memory,
        hint,
        headers.get(b"x-retry") == b"1",
        once,
        headers.get(b"x-tenant", b""),
    )


def key_number(text: bytes) -> int:
    """A key as the module wants it: 64 bits, and 0 for none."""
    if not text:
        return 0
    if re.fullmatch(rb"[0-9a-fA-F]{1,16}", text):
        return int(text, 16)
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "little")


def http_answer(answer: Answer) -> tuple[int, bytes, Headers]:
    """Status, body and headers."""
    if answer.kind is AnswerKind.SERVED:
        return 200, answer.result, ()
    reason = answer.reason.encode() + b"\n"
    if answer.kind is AnswerKind.REFUSED:
        return 503, reason, (("Retry-After", f"{answer.retry_after:g}"),)
    return 500, reason, ()
