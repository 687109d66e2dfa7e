"""Splits a `text/event-stream` into complete events, byte for byte.

Source: HTML Standard, section 9.2 (server-sent events).
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from .errors import EventTooLongError

MAX_EVENT_BYTES = 1 << 20
# Lone CR line ends, which the format allows, are not recognized: such a stream counts as one long event.
_END = re.compile(rb"\n\r?\n")
_NAMED = re.compile(rb"^(id|versions):[ ]?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Event:
    """One event as received, including the empty line that ends it.

    Attributes:
        raw: The bytes as received.
        id: The event id; None if missing or not a whole number.
        version: The version of the weights from this event on; empty if the event does not state one.
    """

    raw: bytes
    id: int | None
    version: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it consists of comments only, which readers of the format ignore."""
        return all(not line or line.startswith(b":") for line in self.raw.splitlines())


class EventSplitter:
    """Splits bytes, received in chunks of any size, into complete events."""

    def __init__(self) -> None:
        """Starts at the beginning of an event."""
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events completed by these bytes.

        Raises:
            EventTooLongError: The incomplete event is longer than MAX_EVENT_BYTES.
        """
        data = self._rest + data if self._rest else data
        events, start = [], 0
        scan_from = max(len(self._rest) - 2, 0)
        while found := _END.search(data, max(start, scan_from)):
            events.append(parse(data[start : found.end()]))
            start = found.end()
        self._rest = data[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"event longer than {MAX_EVENT_BYTES} bytes")
        return events

    def rest(self) -> bytes:
        """Returns the bytes received after the last complete event."""
        return self._rest


def parse(raw: bytes) -> Event:
    """Parses one complete event."""
    number: int | None = None
    version = b""
    for name, value in _NAMED.findall(raw):
        if name == b"versions":
            version = value.strip()
        else:
            number = int(value) if value.strip().isdigit() else None
    return Event(raw, number, version)
