"""Client of the discovery service: fetches the full list of workers, then watches for changes."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools
import structlog

from ...net.address import parse_address
from ...net.connection import Connection, connect
from ...net.connection_outcome import ConnectionOutcome
from ...net.loop import FIRST, Loop
from ...net.timers import Deadline
from ..core import Core
from ..scheduling.interface import ListKind, Member, Presence, WorkerId

# A change that an unresponsive watch misses counts as known to us 6 s after the watch stopped responding, or
# 2 s after the end of its wait if that is later. Within that time the failure must be detected, and a new
# call made and answered. So a watch may exceed its wait by ANSWER_TIMEOUT_S or POLL_WATCH_TIMEOUT_S at most,
# and the call after it does not wait for changes.
PUSH_WATCH_S = 2.0  # wait of a watch if lists are pushed; waiting costs the service nothing there
ANSWER_TIMEOUT_S = 1.0  # beyond the wait, until discovery counts as unresponsive
# Replaces both after a failed call: a retry does not wait, so it should be answered soon.
RETRY_TIMEOUT_S = 0.4
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 0.3
# If lists must be requested, one service of fixed capacity answers all dispatchers, in the order of the
# calls. An abandoned call keeps its place in the queue, so calls that come faster than they are answered time
# out.
POLL_WATCH_S = 6.0  # wait of a watch there, less up to a fourth at random, to spread the calls
POLL_TIMEOUT_S = 3.0  # in place of ANSWER_TIMEOUT_S for a call that does not wait
POLL_WATCH_TIMEOUT_S = 1.2  # in place of ANSWER_TIMEOUT_S for a watch
WATCH_RETRY_SPACING_S = 0.01  # per dispatcher, after one broken watch, which does not suggest that all fail
RETRY_SPACING_S = 0.2  # per dispatcher, on the first retry; doubled on each further retry
MAX_BACKOFF_PATIENCES = 3.2  # times `list_patience`; after 4 times, changes in the list count as known to us
MAX_ANSWER_BYTES = 8 << 20
PRESENCE_BY_STATE = {"SERVING": Presence.READY, "DRAINING": Presence.DRAINING, "DELETED": Presence.GONE}
log = structlog.get_logger()


class Numbering:
    """Numbers zones or kinds: first in the order of the settings, then in order of appearance."""

    def __init__(self, names: list[str]) -> None:
        self._numbers = {name: index for index, name in enumerate(names)}

    def number(self, name: str) -> int:
        return self._numbers.setdefault(name, len(self._numbers))


@dataclass(slots=True)
class WorkerList:
    """A fully parsed answer of discovery; nothing is applied before the whole answer has been parsed."""

    version: int
    full: bool
    members: list[Member]
    addresses: dict[WorkerId, tuple[str, int] | None]


class ListReader:
    """Parses the answers of discovery."""

    def __init__(self, raw_settings: dict[str, Any]) -> None:
        self.zone_and_kind_names = (
            list(raw_settings.get("areas") or []),
            list(raw_settings.get("shapes") or []),
        )
        self._zones, self._kinds = (
            Numbering(self.zone_and_kind_names[0]),
            Numbering(self.zone_and_kind_names[1]),
        )

    def read(self, answer: Any) -> WorkerList:
        """Parses an answer.

        Raises:
            ValueError: It is not a list of workers.
        """
        try:
            listing = WorkerList(int(answer["version"]), bool(answer["full"]), [], {})
            for entry in answer["servers"]:
                worker = str(entry["id"]).encode()
                presence = PRESENCE_BY_STATE[entry["state"]]
                listing.members.append(
                    Member(
                        worker,
                        presence,
                        float(entry.get("started_ms") or 0) / 1000.0,
                        self._kinds.number(str(entry.get("kind", ""))),
                        self._zones.number(str(entry.get("zone", ""))),
                        int(entry.get("cell") or 0),
                        float(entry.get("weight", 1.0)),
                    )
                )
                address = entry.get("addr")
                listing.addresses[worker] = (
                    parse_address(address) if address and presence == Presence.READY else None
                )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a list of workers: {type(error).__name__}: {error}") from error
        return listing


class Discovery:
    """Keeps the list of workers up to date over one connection.

    After any failure the last list stays in use and the call is retried.
    """

    def __init__(
        self,
        loop: Loop,
        core: Core,
        address: tuple[str, int],
        reader: ListReader,
        locate: Callable[[WorkerId, tuple[str, int] | None], None],
        seed: int,
    ) -> None:
        self.loop, self.core, self.address, self.reader, self.locate = loop, core, address, reader, locate
        self.version: int | None = None
        self._listed_workers: set[WorkerId] = set()
        self._connection: Connection | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body = bytearray()
        self._complete = self._keep = False
        self._timer: Deadline | None = None
        self._failures = 0  # consecutive
        self.asked = False  # whether a call has been answered or has timed out since the start
        self._random = random.Random(seed)
        self._failing = self._stopped = False

    def start(self) -> None:
        self._connect()

    def stop(self) -> None:
        self._stopped = True
        self._disconnect()

    def reconfigure(self, address: tuple[str, int], reader: ListReader) -> None:
        """Changes the address and the reader after a reload.

        Versions are specific to an address: a watch with the old version might wait for ever at the new one,
        so the full list is requested. Until it arrives the old list stays in use. The full list is also
        requested if zones and kinds are numbered differently, because the numbers in the old list are then
        wrong.
        """
        same, self.reader = reader.zone_and_kind_names == self.reader.zone_and_kind_names, reader
        if address == self.address and same:
            return
        self.address, self.version, self._failures = address, None, 0
        if not self._stopped:
            self._connect()

    def apply(self, listing: WorkerList, kind: ListKind) -> None:
        """Applies a full list or a change to it."""
        if kind != ListKind.DELTA:
            for worker in self._listed_workers - set(listing.addresses):
                self.locate(worker, None)
            self._listed_workers = set()
        self._listed_workers.update(listing.addresses)
        for worker, address in listing.addresses.items():
            self.locate(worker, address)
        if kind == ListKind.CACHED and self.core.settings.must_subscribe:
            self.version = listing.version  # the first call then returns only later changes
        self.core.counters.lists.labels(kind.name.lower()).inc()
        self.core.listed(kind, listing.members)

    def _connect(self) -> None:
        self._disconnect()
        opened = connect(self.loop, self.address, self, FIRST)
        if isinstance(opened, ConnectionOutcome):
            self.on_end(opened)
            return
        self._connection = opened
        self._send_request()

    def _send_request(self) -> None:
        if self._connection is None:
            return
        path, wait = "/api/targets", self._watch_wait_s()
        limit = wait + self._answer_timeout_s(wait)
        if self.version is not None:
            path += f"?after={self.version}&wait_ms={round(1000 * wait)}"
        self._parser, self._complete = httptools.HttpResponseParser(self), False
        self._body.clear()
        self.loop.deadlines.cancel(self._timer)
        self._timer = self.loop.deadlines.add(self.loop.clock.now() + limit, lambda: self._failed("silent"))
        host = f"{self.address[0]}:{self.address[1]}"
        self._connection.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def _watch_wait_s(self) -> float:
        """Seconds that the next call may wait for changes; 0 after a failure: changes may be pending."""
        if self.version is None or self._failures:
            return 0.0
        return (
            POLL_WATCH_S * self._random.uniform(0.75, 1.0)
            if self.core.settings.must_subscribe
            else PUSH_WATCH_S
        )

    def _answer_timeout_s(self, wait: float) -> float:
        """Seconds beyond its wait after which a call counts as unanswered."""
        if self.core.settings.must_subscribe:
            return POLL_WATCH_TIMEOUT_S if wait else POLL_TIMEOUT_S
        return RETRY_TIMEOUT_S if self._failures else ANSWER_TIMEOUT_S

    def _disconnect(self) -> None:
        self.loop.deadlines.cancel(self._timer)
        self._timer = None
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _failed(self, why: str) -> None:
        """Keeps the old list and schedules a retry, with growing and randomized delays."""
        self._disconnect()
        if self._stopped:
            return
        self.asked |= why == "silent"
        if not self._failing:
            self._failing = True
            log.warning("discovery.down", why=why)
        self.core.counters.lists.labels("failed").inc()
        if self.core.settings.must_subscribe:
            self.core.listed(ListKind.FAILED, ())
        self._timer = self.loop.deadlines.add(self.loop.clock.now() + self._backoff(), self._connect)

    def _backoff(self) -> float:
        """Returns the delay before the next try and counts the failure."""
        settings = self.core.settings
        first, last, times = MIN_BACKOFF_S, MAX_BACKOFF_S, self._failures
        if settings.must_subscribe:
            last, times = MAX_BACKOFF_PATIENCES * settings.list_patience, max(times - 1, 0)
            watched = self.version is not None and not self._failures
            first = max(first, (WATCH_RETRY_SPACING_S if watched else RETRY_SPACING_S) * settings.instances)
        wait: float = min(first * 2 ** min(times, 16), last) * self._random.uniform(0.5, 1.0)
        self._failures += 1
        return wait

    def _on_answer(self) -> None:
        parser, self._complete = self._parser, False
        if parser is None or parser.get_status_code() != 200:
            self._failed(f"status {parser.get_status_code() if parser else 0}")
            return
        try:
            listing = self.reader.read(json.loads(bytes(self._body)))
        except ValueError as error:
            self._failed(f"bad answer: {error}")
            return
        if not listing.full and self.version is None:
            self._failed("got changes in answer to a request for the full list")
            return
        if not listing.full and self.version is not None and listing.version < self.version:
            self.version = None  # the service has restarted its count, so our version means nothing to it
            self._failed("list version decreased")
            return
        if self._failing:
            self._failing = False
            log.info("discovery.up", version=listing.version)
        self._failures, self.asked = 0, True
        self.version = listing.version
        # Send the next watch before applying the list: after a gap of 200 ms it would count as a new watch.
        if self._keep:
            self._send_request()
        else:
            self._connect()
        if listing.full or listing.members:
            self.apply(listing, ListKind.FULL if listing.full else ListKind.DELTA)

    # Callbacks of the connection

    def on_open(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._failed("answer is not valid HTTP")
            return
        if len(self._body) > MAX_ANSWER_BYTES:
            self._failed("answer is too long")
        elif self._complete:
            self._on_answer()

    def on_written(self) -> None:
        pass

    def on_end(self, ending: ConnectionOutcome) -> None:
        self._failed(ending.value)

    # Callbacks of the parser

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._complete = True
        if self._parser is not None:
            self._keep = self._parser.should_keep_alive()  # only valid during this callback
