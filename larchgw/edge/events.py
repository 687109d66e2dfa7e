"""Splits a `text/event-stream` into complete events, byte for byte.

Source: HTML Standard, section 9.2 (server-sent events).
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from .errors import EventTooLongError

MAX_EVENT_BYTES = 1 << 20
# Lines that end with a lone CR, which the format allows, aren't told apart: such a stream is one long event.
_END = re.compile(rb"\n\r?\n")
_NAMED = re.compile(rb"^(id|versions):[ ]?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Event:
    """One event as it came, with the empty line behind it.

    Attributes:
        raw: Its bytes.
        id: None where it names none or no whole number.
        version: Of the weights from this event on; empty where the event does not name it.
    """

    raw: bytes
    id: int | None
    version: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it holds only comments, which readers of the format skip."""
        return all(not line or line.startswith(b":") for line in self.raw.splitlines())


class EventSplitter:
    """Fed with bytes in any chunks, gives the events that are complete."""

    def __init__(self) -> None:
        """Begins between two events."""
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that these bytes complete.

        Raises:
            EventTooLongError: The event under way is over MAX_EVENT_BYTES.
        """
        data = self._rest + data if self._rest else data
        events, start = [], 0
        scan_from = max(len(self._rest) - 2, 0)
        while found := _END.search(data, max(start, scan_from)):
            events.append(parse(data[start : found.end()]))
            start = found.end()
        self._rest = data[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return events

    def rest(self) -> bytes:
        """Returns what came behind the last complete event."""
        return self._rest


def parse(raw: bytes) -> Event:
    """Reads one complete event."""
    number: int | None = None
    version = b""
    for name, value in _NAMED.findall(raw):
        if name == b"versions":
            version = value.strip()
        else:
            number = int(value) if value.strip().isdigit() else None
    return Event(raw, number, version)
