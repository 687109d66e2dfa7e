"""Parses the HTTP headers of a job, and converts answers to HTTP responses."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from ..core import Answer, AnswerKind

JOB_NAME = re.compile(rb"[!-~]{1,128}")
IDEMPOTENCY_KEY = re.compile(rb"[ -~]{1,256}")
MAX_DEADLINE_MS = 3_600_000
HINT_UNIT_S = 1e-6  # seconds per unit of X-Cost-Hint (PROTOCOL, "Clients to dispatchers")
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class JobHeaders:
    name: bytes
    wait: float
    key: int
    slots: float
    memory: float
    hint: float  # seconds of work; 0 if not given
    repeat: bool
    once: bytes = b""  # Idempotency-Key, passed on unchanged
    tenant: bytes = b""


def read_job(headers: Mapping[bytes, bytes], deduplicated: bool = False) -> JobHeaders:
    """Parses the headers of a job.

    Args:
        headers: Values by lower-case name.
        deduplicated: Whether workers drop repeats of this class by Idempotency-Key, which is required then.

    Raises:
        ValueError: A header is missing or invalid; the message names it.
    """
    repeated = next((n for n, value in headers.items() if b"\n" in value), None)
    if repeated is not None:
        raise ValueError(f"{repeated.decode('latin-1')} is given twice")
    name, wait = headers.get(b"x-request-id", b""), headers.get(b"x-deadline-ms", b"")
    if not JOB_NAME.fullmatch(name):
        raise ValueError("X-Request-Id is missing or bad")
    if not wait.isdigit() or not 0 < int(wait[:12]) <= MAX_DEADLINE_MS:
        raise ValueError("X-Deadline-Ms is missing or bad")
    once = headers.get(b"idempotency-key", b"")
    if not IDEMPOTENCY_KEY.fullmatch(once) and (deduplicated or b"idempotency-key" in headers):
        raise ValueError("Idempotency-Key is missing or bad")
    parts = headers.get(b"x-extras", b"").decode("latin-1").split(",")
    pairs = [part.partition("=") for part in parts if part.strip()]
    try:
        extras = {n.strip(): float(value) for n, _, value in pairs}
        hint = float(headers.get(b"x-cost-hint", b"0")) * HINT_UNIT_S
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
    """Converts an affinity key to the scheduler's form: 64 bits, 0 for none."""
    if not text:
        return 0
    if re.fullmatch(rb"[0-9a-fA-F]{1,16}", text):
        return int(text, 16)
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "little")


def http_answer(answer: Answer) -> tuple[int, bytes, Headers]:
    """Returns the status, body and headers of the response."""
    if answer.kind is AnswerKind.SERVED:
        return 200, answer.result, ()
    reason = answer.reason.encode() + b"\n"
    if answer.kind is AnswerKind.REFUSED:
        return 503, reason, (("Retry-After", f"{answer.retry_after:g}"),)
    return 500, reason, ()
