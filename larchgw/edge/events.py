"""Splits a `text/event-stream` into whole events, byte for byte."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT = 1 << 20  # bytes
# Lines that end with a lone CR, which the format allows, aren't told apart: such a stream is one long event.
_END = re.compile(rb"\n\r?\n")
_NAMED = re.compile(rb"^(id|versions):[ ]?([^\r\n]*)", re.MULTILINE)


class EventTooLong(Exception):
    """An event that has not ended after MAX_EVENT bytes."""


@dataclass(frozen=True, slots=True)
class Event:
    """One event as it came, with the empty line behind it.

    `id` is None where it names none or no whole number; `version` is of the weights from it on, empty where
    it isn't told.
    """

    raw: bytes
    id: int | None
    version: bytes

    @property
    def comment(self) -> bool:
        """Whether it says nothing: lines that readers of the format skip."""
        return all(not line or line.startswith(b":") for line in self.raw.splitlines())


class EventSplitter:
    """Fed with bytes in any pieces, gives the events that are whole."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """The events that these bytes complete. Raises EventTooLong."""
        data = self._rest + data if self._rest else data
        events, start = [], 0
        scan_from = max(len(self._rest) - 2, 0)
        while found := _END.search(data, max(start, scan_from)):
            events.append(parse(data[start : found.end()]))
            start = found.end()
        self._rest = data[start:]
        if len(self._rest) > MAX_EVENT:
            raise EventTooLong(f"an event of over {MAX_EVENT} bytes")
        return events

    def rest(self) -> bytes:
        """What came behind the last whole event."""
        return self._rest


def parse(raw: bytes) -> Event:
    """One whole event."""
    number: int | None = None
    version = b""
    for name, value in _NAMED.findall(raw):
        if name == b"versions":
            version = value.strip()
        else:
            number = int(value) if value.strip().isdigit() else None
    return Event(raw, number, version)
