"""Binary codec of the simulator's protocol: frames, records and JSON settings."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from typing import Any, get_args

from ..scheduling.interface import (
    Effect,
    JobClass,
    Member,
    Note,
    Outcome,
    Request,
    Settings,
    Status,
    Tenant,
)


class WireError(ValueError):
    """The simulator sent data that violates the protocol."""


SPAWN, SYNC, ORDER, HEADERS, RESOLVED, CANCELLED, FIRED, PINGED, INBOX, EXIT, LEDGER, UPDATE = range(12)

_LENGTH = struct.Struct("<I")
_BATCH = struct.Struct("<dI")
_RECORD = struct.Struct("<BI")
_ENTRY = struct.Struct("<BdH6sBfH")
_FIXED = {
    SPAWN: struct.Struct("<HQI"),
    SYNC: struct.Struct("<HBIH"),
    ORDER: struct.Struct("<HIQHfddfBH"),
    HEADERS: struct.Struct("<HIH6sd"),
    RESOLVED: struct.Struct("<HIB6sBHHdB"),
    CANCELLED: struct.Struct("<HI"),
    FIRED: struct.Struct("<HI"),
    PINGED: struct.Struct("<H6sHdB"),
    INBOX: struct.Struct("<HHH"),
    EXIT: struct.Struct("<H"),
    LEDGER: struct.Struct("<HI"),
    UPDATE: struct.Struct("<HIf6sBH"),
}
_STATUS = {
    100: Status.OK,
    301: Status.ERROR,
    302: Status.FULL,
    303: Status.TIMEOUT,
    304: Status.CONNECT_FAILED,
    305: Status.RESET,
    306: Status.CANCELLED,
    307: Status.MOOT,
}
EFFECTS: dict[str, Effect] = {
    effect: effect for effect in get_args(Effect)
}  # the protocol uses the same names

Event = tuple[int, int, Any]  # code, instance (or list number), content


def read_frame(stream: Any) -> bytes | None:
    """Reads the next frame and returns its content; None at the end of input."""
    head = stream.read(4)
    if not head:
        return None
    if len(head) < 4:
        raise WireError("input ends inside a frame's length")
    size = _LENGTH.unpack(head)[0]
    body: bytes = stream.read(size)
    if len(body) < size:
        raise WireError(f"input ends inside a frame: {len(body)} of {size} bytes")
    if size < _BATCH.size:
        raise WireError(f"a frame of {size} bytes cannot hold a batch header")
    return body


def decode(frame: bytes) -> tuple[float, Iterator[Event]]:
    """Returns the time of a batch and its events, in order."""
    now, count = _BATCH.unpack_from(frame)
    return now, _records(frame, count)


def _records(frame: bytes, count: int) -> Iterator[Event]:
    at, end, status = _BATCH.size, len(frame), _STATUS
    for _ in range(count):
        if at + 5 > end:
            raise WireError("frame ends inside a record's head")
        code, size = _RECORD.unpack_from(frame, at)
        at += 5
        shape = _FIXED.get(code)
        if shape is None:
            raise WireError(f"unknown event code {code}")
        if size < shape.size or at + size > end:
            raise WireError(f"record of code {code} with a bad length {size}")
        f = shape.unpack_from(frame, at)
        rest = at + shape.size
        at += size
        content: Any = None
        tail = 0
        if code == RESOLVED:
            tail = 4 * f[8]
            load = struct.unpack_from(f"<{f[8]}f", frame, rest) if f[8] and rest + tail <= at else ()
            if f[5] not in status:
                raise WireError(f"unknown state code {f[5]}")
            content = Outcome(f[1], f[6], f[3], status[f[5]], f[4] != 0, f[7], load)
        elif code == UPDATE:
            content = Note(f[1], f[5], f[3], f[4] == 1, f[2])
        elif code == ORDER:
            flags = f[8]
            content = Request(
                f[1], f[6], f[3], f[2], f[9], f[7] or 1.0, f[4], f[5] if flags & 1 else 0.0, flags & 2 != 0
            )
        elif code in (FIRED, CANCELLED):
            content = f[1]
        elif code == HEADERS:
            content = (f[1], f[2])
        elif code == PINGED:
            tail = 4 * f[4]
            load = struct.unpack_from(f"<{f[4]}f", frame, rest) if rest + tail <= at else ()
            content = (f[1], status.get(f[2], Status.ERROR), f[3], load)
        elif code == SYNC:
            content = (f[1], f[3])
        elif code == SPAWN:
            tail = f[2]
            content = (f[1], frame[rest : rest + tail])
        elif code == INBOX:
            tail = f[2]
            content = (f[1], frame[rest : rest + tail])
        elif code == LEDGER:
            tail = _ENTRY.size * f[1]
            if rest + tail <= at:
                content = tuple(
                    Member(w, state, up, kind, zone, cell, weight)
                    for state, up, kind, w, zone, weight, cell in _ENTRY.iter_unpack(
                        frame[rest : rest + tail]
                    )
                )
        if rest + tail != at:
            raise WireError(f"record of code {code} does not fill its length")
        yield code, f[0], content
    if at != end:
        raise WireError(f"{end - at} bytes after the last record")


def decode_settings(text: bytes) -> Settings:
    """Parses the JSON settings of a SPAWN event; unknown keys are ignored."""
    try:
        top = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings: {type(error).__name__}: {error}") from error
    return read_settings(top)


def read_settings(top: Any) -> Settings:
    """Converts a parsed JSON object to settings.

    Raises:
        WireError: A required key is missing or a value has the wrong type.
    """
    try:
        family, allowed, rules = top.get("familyInfo", {}), top.get("allowed", {}), top.get("obligations", {})
        prices, report = top.get("charges", {}), top.get("report", {})
        fields = report.get("fields", []) if report.get("via", "silent") != "silent" else []
        shown = {"x0": family.get("reportX0"), "x1": family.get("reportX1")}
        named = [shown.get(name) or name for name in fields]
        classes = []
        for index, c in enumerate(top["requestClasses"]):

            def per_class(name: str, default: Any, index: int = index) -> Any:
                values = family.get(name) or []
                return values[index] if index < len(values) else default

            stretch = per_class("classStretch", 0.0) or c.get("aimStretch", 0.0)
            classes.append(
                JobClass(
                    c.get("name", ""),
                    c["aim"],
                    c["deadline"],
                    c.get("points", 1.0),
                    c.get("lateWorth", 0.0),
                    stretch,
                    EFFECTS[c["effect"]],
                    c.get("group", "all"),
                    c.get("memorySpan", 0.0),
                    per_class("classKind", -1),
                    per_class("classPriority", 0),
                    c.get("stream", False),
                )
            )
        tenants = [
            Tenant(t.get("name", ""), t.get("share", 0.0), t.get("quotaPerS", 0.0))
            for t in top.get("tenants") or []
        ]
        return Settings(
            classes,
            tenants,
            top.get("nInstances", 1),
            top.get("zone", 0),
            len(top.get("areas") or [0]),
            len(top.get("shapes") or [0]),
            top.get("period", 0.005),
            allowed.get("maxAttempts", 1),
            allowed.get("secondCopies", False),
            allowed.get("cancel", False),
            allowed.get("probes", False),
            top.get("registryMode") == "subscribe",
            rules.get("askWithin", 10.0),
            allowed.get("maxRetryAfter", 0.0) if allowed.get("retryAfter") else 0.0,
            rules.get("drainGrace", 0.0),
            rules.get("coldFrom", 1.0),
            rules.get("warmUp", 0.0),
            rules.get("tipMultiple", 1.0),
            rules.get("fall", 1.0),
            top.get("overShareWorth", 1.0),
            top.get("worthBy") == "work",
            family.get("tellsStart", False),
            family.get("progress", 0.0),
            named.index("free slots") if "free slots" in named else -1,
            named.index("q") if "q" in named else -1,
            named.index("fail_rate") if "fail_rate" in named else -1,
            family.get("queueOrder") == "fifo",
            prices.get("crossZone", 0.0),
            prices.get("origin", 0.0),
            prices.get("probe", 0.0),
            prices.get("waste", 0.0),
            prices.get("lateFail", 0.0),
            top.get("weightSource") == "live",
            report.get("via") == "pull",
            top.get("rank", -1),
            top.get("weightSource") in ("nominal", "rough"),
            float(allowed.get("dialTimeout", 0.25)) or 0.25,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise WireError(f"settings: {type(error).__name__}: {error}") from error


_SEND = struct.Struct("<BIHI6sd")
_REFUSE = struct.Struct("<BIHId")
_FAIL = struct.Struct("<BIHI")
_CANCEL = struct.Struct("<BIHIH")
_TIMER = struct.Struct("<BIHdI")
_PROBE = struct.Struct("<BIH6s")
_TEXT = struct.Struct("<BIHH")
_SUBSCRIBE = struct.Struct("<BIHB")


class WireActions:
    """Encodes the actions of one instance as records and appends them to the batch's shared list."""

    __slots__ = ("out", "instance")

    def __init__(self, out: list[bytes], instance: int) -> None:
        self.out = out
        self.instance = instance

    def send(self, request: int, worker: bytes, timeout: float) -> None:
        self.out.append(_SEND.pack(0, 20, self.instance, request, worker, timeout))

    def refuse(self, request: int, retry_after: float) -> None:
        self.out.append(_REFUSE.pack(1, 14, self.instance, request, retry_after))

    def fail(self, request: int) -> None:
        self.out.append(_FAIL.pack(2, 6, self.instance, request))

    def cancel(self, request: int, attempt: int) -> None:
        self.out.append(_CANCEL.pack(3, 8, self.instance, request, attempt))

    def timer(self, at: float, token: int) -> None:
        self.out.append(_TIMER.pack(4, 14, self.instance, at, token))

    def probe(self, worker: bytes) -> None:
        self.out.append(_PROBE.pack(5, 8, self.instance, worker))

    def subscribe(self) -> None:
        self.out.append(_SUBSCRIBE.pack(10, 3, self.instance, 1))

    def log(self, text: str, code: int = 8) -> None:
        """Writes a line to the simulator's report; with code 9, an error that ends the run."""
        body = text.encode()[:2000]
        self.out.append(_TEXT.pack(code, 4 + len(body), self.instance, len(body)) + body)


def encode_reply(records: list[bytes]) -> bytes:
    """Encodes a reply frame with these records."""
    body = b"".join(records)
    return struct.pack("<II", len(body) + 4, len(records)) + body
