"""Follows discovery: the whole list first, then one watch after another."""

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

# What a watch that has fallen silent misses counts as told 6 s after it fell silent, or 2 s after its wait is
# over if that is later. By then it must be known to be silent, opened anew and answered: so no watch may take
# longer than its wait and ANSWER_TIME or WATCH_TIME, and the next call is a short one.
WAIT = 2.0  # seconds that a watch may wait where lists are pushed: it costs nobody anything
ANSWER_TIME = 1.0  # beyond that wait, until discovery counts as silent
AGAIN_TIME = 0.4  # in place of both after a call that failed: this one does not wait, and silence shows soon
FIRST_BACKOFF, LAST_BACKOFF = 0.1, 0.3
# Where lists must be asked for, one service of fixed capacity answers all dispatchers, each call in its turn.
# A call that we give up still has its turn, and calls that come faster than they are answered wait in vain.
ASK_WAIT = 6.0  # seconds that a watch waits there, less up to a fourth, so that not all end at once
TURN_TIME = 3.0  # in place of ANSWER_TIME, for a call that does not wait
WATCH_TIME = 1.2  # in place of ANSWER_TIME for a watch
FIRST_GAP = 0.01  # seconds between two calls of the whole fleet after a watch that broke: no sign of a crowd
GAP = 0.2  # seconds between two calls of the whole fleet, on the first retry; twice that on the next, ...
LATEST = 3.2  # times `list_patience`: after four times of it we count as told of what is in the list
MAX_ANSWER = 8 << 20
STATES = {"SERVING": Presence.READY, "DRAINING": Presence.DRAINING, "DELETED": Presence.GONE}
log = structlog.get_logger()


class Names:
    """Numbers for zones and kinds: the settings' order first, then as they turn up."""

    def __init__(self, names: list[str]) -> None:
        self._numbers = {name: index for index, name in enumerate(names)}

    def number(self, name: str) -> int:
        return self._numbers.setdefault(name, len(self._numbers))


@dataclass(slots=True)
class Listing:
    """One answer of discovery, read whole before any of it counts."""

    version: int
    full: bool
    members: list[Member]
    addresses: dict[WorkerId, tuple[str, int] | None]


class ListReader:
    """Reads discovery's form."""

    def __init__(self, raw_settings: dict[str, Any]) -> None:
        self.named = (list(raw_settings.get("areas") or []), list(raw_settings.get("shapes") or []))
        self._zones, self._kinds = Names(self.named[0]), Names(self.named[1])

    def read(self, said: Any) -> Listing:
        """ValueError if it is not a list of workers."""
        try:
            listing = Listing(int(said["version"]), bool(said["full"]), [], {})
            for entry in said["servers"]:
                worker = str(entry["id"]).encode()
                presence = STATES[entry["state"]]
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
    """One connection; whatever goes wrong on it, the old list stays and the watch is tried again."""

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
        self._known: set[WorkerId] = set()
        self._connection: Connection | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body = bytearray()
        self._complete = self._keep = False
        self._timer: Deadline | None = None
        self._failures = 0  # in a row
        self.asked = False  # whether a call has been answered, or was silent, since the start
        self._random = random.Random(seed)
        self._down = self._stopped = False

    def start(self) -> None:
        self._connect()

    def stop(self) -> None:
        self._stopped = True
        self._drop()

    def move(self, address: tuple[str, int], reader: ListReader) -> None:
        """Asks another address from now on.

        Versions are an address's own: a watch after the old one's could wait at the new one for ever, so the
        whole list is asked for. Until it comes the old list holds. So it is where zones and kinds are
        numbered anew: the numbers in the old list mean others.
        """
        same, self.reader = reader.named == self.reader.named, reader
        if address == self.address and same:
            return
        self.address, self.version, self._failures = address, None, 0
        if not self._stopped:
            self._connect()

    def apply(self, listing: Listing, kind: ListKind) -> None:
        """Takes a list over, or a change to it."""
        if kind != ListKind.DELTA:
            for worker in self._known - set(listing.addresses):
                self.locate(worker, None)
            self._known = set()
        self._known.update(listing.addresses)
        for worker, address in listing.addresses.items():
            self.locate(worker, address)
        if kind == ListKind.CACHED and self.core.settings.must_subscribe:
            self.version = listing.version  # one call then brings what has changed, and all that follows
        self.core.counters.lists.labels(kind.name.lower()).inc()
        self.core.listed(kind, listing.members)

    def _connect(self) -> None:
        self._drop()
        opened = connect(self.loop, self.address, self, FIRST)
        if isinstance(opened, ConnectionOutcome):
            self.on_end(opened)
            return
        self._connection = opened
        self._ask()

    def _ask(self) -> None:
        if self._connection is None:
            return
        path, wait = "/api/targets", self._wait()
        limit = wait + self._answer_time(wait)
        if self.version is not None:
            path += f"?after={self.version}&wait_ms={round(1000 * wait)}"
        self._parser, self._complete = httptools.HttpResponseParser(self), False
        self._body.clear()
        self.loop.deadlines.cancel(self._timer)
        self._timer = self.loop.deadlines.add(self.loop.clock.now() + limit, lambda: self._failed("silent"))
        host = f"{self.address[0]}:{self.address[1]}"
        self._connection.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def _wait(self) -> float:
        """Seconds that the next call may wait for news; 0 after one that failed: what was missed is there."""
        if self.version is None or self._failures:
            return 0.0
        return ASK_WAIT * self._random.uniform(0.75, 1.0) if self.core.settings.must_subscribe else WAIT

    def _answer_time(self, wait: float) -> float:
        """Seconds beyond its wait until a call counts as silent."""
        if self.core.settings.must_subscribe:
            return WATCH_TIME if wait else TURN_TIME
        return AGAIN_TIME if self._failures else ANSWER_TIME

    def _drop(self) -> None:
        self.loop.deadlines.cancel(self._timer)
        self._timer = None
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _failed(self, why: str) -> None:
        """Keeps the old list and tries again, later each time, and not in step with the others."""
        self._drop()
        if self._stopped:
            return
        self.asked |= why == "silent"
        if not self._down:
            self._down = True
            log.warning("discovery.down", why=why)
        self.core.counters.lists.labels("failed").inc()
        if self.core.settings.must_subscribe:
            self.core.listed(ListKind.FAILED, ())
        self._timer = self.loop.deadlines.add(self.loop.clock.now() + self._backoff(), self._connect)

    def _backoff(self) -> float:
        """Seconds until the next try, longer each time."""
        settings = self.core.settings
        first, last, times = FIRST_BACKOFF, LAST_BACKOFF, self._failures
        if settings.must_subscribe:
            last, times = LATEST * settings.list_patience, max(times - 1, 0)
            watched = self.version is not None and not self._failures
            first = max(first, (FIRST_GAP if watched else GAP) * settings.instances)
        wait: float = min(first * 2 ** min(times, 16), last) * self._random.uniform(0.5, 1.0)
        self._failures += 1
        return wait

    def _answered(self) -> None:
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
            self._failed("changes came where the whole list was asked for")
            return
        if not listing.full and self.version is not None and listing.version < self.version:
            self.version = None  # it counts anew: what we hold is of another count
            self._failed("its version has gone back")
            return
        if self._down:
            self._down = False
            log.info("discovery.up", version=listing.version)
        self._failures, self.asked = 0, True
        self.version = listing.version
        # The next watch goes out first: a gap of 200 ms would make it a new one.
        if self._keep:
            self._ask()
        else:
            self._connect()
        if listing.full or listing.members:
            self.apply(listing, ListKind.FULL if listing.full else ListKind.DELTA)

    # From the connection

    def on_open(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._failed("not HTTP")
            return
        if len(self._body) > MAX_ANSWER:
            self._failed("the answer is too long")
        elif self._complete:
            self._answered()

    def on_written(self) -> None:
        pass

    def on_end(self, ending: ConnectionOutcome) -> None:
        self._failed(ending.value)

    # From the parser

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._complete = True
        if self._parser is not None:
            self._keep = self._parser.should_keep_alive()  # the parser forgets it after this call
