"""Open-loop clients: requests begin when they are due, and latency counts from then, whoever is slow."""

from __future__ import annotations

import asyncio
import itertools
import random
from bisect import bisect
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate

from .clientlink import ClientLink
from .histogram import Histogram
from .ingress import Ingress
from .records import PROMISES, Records, Try
from .rig import Machine
from .site import HOST, ZONE_NAMES, RequestClass, Site

ZIPF = 1.1  # of the models: most requests go to a few
ADAPTER_SHARE = 0.2  # of the requests for a model that has adapters
SESSIONS = 40
NEW_CONNECTION_SHARE = 0.2  # of first tries; the others use a kept one where there is one
FINAL = (400, 401, 404, 413, 431)  # after these, no client tries again
HONOURED = 1 / 3  # of the time left, as the longest Retry-After that is kept to
LEAST_SILENCE_S, SILENCE_TARGETS, SILENCE_GAPS = 2.0, 4.0, 8.0  # after which a stream is given up
MOST_REST_S = 12.0  # of a kept connection before it is used again; edges close it after 15 s
WATCH_S = 0.1
IMPATIENT_RETRIES = 4  # of a client that doesn't wait
IMPATIENT_SHARE = 0.5  # of its retries come at once
PROBE = 999_999  # number of a request that no user wants


@dataclass(slots=True)
class Intent:
    """One request that a user wants served, over all its tries."""

    number: int
    wanted: RequestClass
    due: float  # seconds of the trial's clock
    zone: str
    model: str = ""
    session: int = 0


@dataclass(slots=True)
class ClassResult:
    """What came of one class."""

    asked: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    tries: int = 0
    latency: Histogram = field(default_factory=Histogram)  # to the first event, or to the whole answer


def draw(
    site: Site, seconds: float, rng: random.Random, popularity: Callable[[float], list[str]]
) -> list[Intent]:
    """All requests of a trial, due from 0 on. `popularity` gives the models at a time, most wanted first."""
    shares = list(accumulate(one.share for one in site.classes))
    weights = list(accumulate(1.0 / (rank + 1) ** ZIPF for rank in range(site.models)))
    catalogue = site.catalogue()
    intents: list[Intent] = []
    due = rng.expovariate(site.rate)
    while due < seconds:
        wanted = site.classes[bisect(shares, rng.random() * shares[-1])]
        intent = Intent(len(intents), wanted, due, rng.choice(ZONE_NAMES), session=rng.randrange(SESSIONS))
        if wanted.is_stream:
            names = popularity(due)
            if wanted.wants_rare_models:
                name = rng.choice(names[len(names) // 2 :])
            else:
                name = names[bisect(weights, rng.random() * weights[-1])]
            adapters = catalogue[name].adapters
            has_adapter = adapters and rng.random() < ADAPTER_SHARE
            intent.model = f"{name}/a{rng.randint(1, adapters)}" if has_adapter else name
        intents.append(intent)
        due += rng.expovariate(site.rate)
    return intents


class Clients:
    """Plays requests against the edges and writes down every try."""

    def __init__(
        self,
        ingress: Ingress,
        records: Records,
        now: Callable[[], float],
        rng: random.Random,
        services: Callable[[str, str], tuple[str, ...]],
        stays: bool = False,
        repeats: bool = False,
        impatient: bool = False,
    ) -> None:
        """Creates clients without connections.

        `stays`: first tries go to any edge that a connection is open to, ready or not. `repeats`: a request
        that ends without an answer is sent again under its id, as some libraries do by themselves; the
        protocol doesn't allow it. `impatient`: half of the retries don't wait as told, and come more often.
        """
        self._ingress, self._records, self._now, self._random = ingress, records, now, rng
        self._services, self._stays, self._repeats = services, stays, repeats
        self._impatient = impatient
        self.results: dict[str, ClassResult] = defaultdict(ClassResult)
        self.open = 0
        self._stopped = False
        self._ids = itertools.count(1)
        self._kept: dict[str, list[ClientLink]] = defaultdict(list)  # by edge

    async def play(self, intents: list[Intent], start: float) -> None:
        """Begins each request when it is due, until `stop`; returns when all have ended."""
        async with asyncio.TaskGroup() as group:
            for intent in intents:
                await asyncio.sleep(max(start + intent.due - self._now(), 0.0))
                if self._stopped:
                    break
                group.create_task(self._play(intent, start + intent.due))

    def stop(self) -> None:
        """No further requests."""
        self._stopped = True

    def close(self) -> None:
        """Ends kept connections."""
        for links in self._kept.values():
            for link in links:
                link.close()

    async def probe(self, edge: Machine, wanted: RequestClass) -> Try:
        """One request at this edge, whatever its state; it counts in no result."""
        now = self._now()
        intent = Intent(PROBE, wanted, now, edge.place.zone)
        return await self._try(intent, edge, now + wanted.deadline_ms / 1000.0, fresh=True)

    async def _play(self, intent: Intent, due: float) -> None:
        wanted, result = intent.wanted, self.results[intent.wanted.name]
        deadline = due + wanted.deadline_ms / 1000.0
        result.asked += 1
        self.open += 1
        last: Try | None = None
        retries = IMPATIENT_RETRIES if self._impatient else wanted.retries
        for number in range(1 + retries):
            if last is not None and not await self._may_retry(wanted, last, deadline):
                break
            edge = self._pick(intent.zone, fresh=number > 0)
            last = await self._try(intent, edge, deadline, fresh=number > 0)
            result.tries += 1
            if last.whole and 200 <= last.status < 300:
                break
        self.open -= 1
        assert last is not None
        self._count(result, wanted, last, due)

    def _pick(self, zone: str, fresh: bool) -> Machine:
        """The edge of a try: one with an open connection, for clients that stay, else any."""
        if self._stays and not fresh and self._random.random() >= NEW_CONNECTION_SHARE:
            open_edges = [
                edge
                for edge in self._ingress.edges(zone)
                if any(link.usable for link in self._kept.get(edge.ip, ()))
            ]
            if open_edges:
                return self._random.choice(open_edges)
        return self._ingress.pick(zone)

    async def _may_retry(self, wanted: RequestClass, last: Try, deadline: float) -> bool:
        """Whether it is tried again, once the time that it was asked to wait is over."""
        if last.status in FINAL or not (wanted.idempotent or last.status in PROMISES or not last.read):
            return False
        if self._impatient and self._random.random() < IMPATIENT_SHARE:
            return self._now() < deadline
        left = deadline - self._now()
        await asyncio.sleep(max(min(last.retry_after, left * HONOURED), 0.0))
        return self._now() < deadline

    def _count(self, result: ClassResult, wanted: RequestClass, last: Try, due: float) -> None:
        if last.whole and 200 <= last.status < 300:
            first = last.first_at if wanted.is_stream else last.ended_at
            result.served += 1
            result.in_time += first <= due + wanted.target_ms / 1000.0
            result.latency.add(first - due)
        elif last.status in PROMISES:
            result.refused += 1
        else:
            result.failed += 1

    async def _try(self, intent: Intent, edge: Machine, deadline: float, fresh: bool) -> Try:
        wanted = intent.wanted
        target = f"{wanted.path_start}{intent.number}?s={intent.session}"
        now = self._now()
        one = Try(
            f"{next(self._ids):08x}",
            wanted.kind,
            HOST,
            target,
            wanted.body(intent.number),
            edge.ip,
            now,
            deadline,
            tries=wanted.tries if wanted.idempotent else 1,
            idempotent=wanted.idempotent,
            resumable=wanted.can_resume,
            services=self._services(HOST, target),
        )
        if not await self._send(one, intent, edge, deadline, fresh):
            one.read, one.ended_at = False, self._now()
            return one
        if self._repeats and not (fresh or one.status or one.gave_up):
            self._records.repeated_requests += 1
            await self._send(one, intent, self._ingress.pick(intent.zone), deadline, fresh=True)
        return one

    async def _send(self, one: Try, intent: Intent, edge: Machine, deadline: float, fresh: bool) -> bool:
        """Sends the request and takes its answer. Returns False without a connection."""
        try:
            link = await self._link(edge.front, edge.ip, fresh)
        except (OSError, TimeoutError):
            return False
        self._records.tries[one.id] = one
        one.edge, one.sent_at = edge.ip, self._now()
        over = link.ask(self._request(one, intent, deadline), one)
        await self._watch(link, over, one, intent.wanted)
        one.ended_at = self._now()
        if link.usable:
            self._kept[edge.ip].append(link)
        return True

    async def _link(self, address: str, edge: str, fresh: bool) -> ClientLink:
        kept = self._kept[edge]
        while kept and not fresh and self._random.random() >= NEW_CONNECTION_SHARE:
            link = kept.pop()
            if link.usable and self._now() < link.last_used_at + MOST_REST_S:
                return link
            link.close()
        return await ClientLink.connect(
            address, self._now, lambda: self._records.strays.append((edge, self._now()))
        )

    async def _watch(
        self, link: ClientLink, over: asyncio.Future[None], one: Try, wanted: RequestClass
    ) -> None:
        """Waits for the end of the answer; leaves at the deadline, or a stream that has fallen silent."""
        silence = max(
            LEAST_SILENCE_S,
            SILENCE_TARGETS * wanted.target_ms / 1000.0,
            SILENCE_GAPS * wanted.gap_aim_ms / 1000.0,
        )
        while not over.done():
            await asyncio.wait([over], timeout=WATCH_S)
            silent = wanted.is_stream and self._now() - link.last_used_at > silence
            if not over.done() and (silent or self._now() >= one.deadline_at):
                one.gave_up = True
                link.close()
                return

    def _request(self, one: Try, intent: Intent, deadline: float) -> bytes:
        fields = {
            "Host": one.host,
            "X-Attempt-Id": one.id,
            "Content-Length": str(len(one.body)),
            "X-Time-Left-Ms": str(max(int(1000.0 * (deadline - self._now())), 1)),
        }
        wanted = intent.wanted
        if wanted.is_stream:
            shared, own = wanted.prompt
            fields["X-Model"] = intent.model
            fields["X-Token-Count"] = f"{shared + own},{wanted.output_tokens}"
            fields["X-Prompt-Start"] = f"{_hexed(wanted.name)}:{shared},{intent.session:04x}:{own}"
        lines = [f"{one.method} {one.target} HTTP/1.1", *(f"{name}: {text}" for name, text in fields.items())]
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + one.body


def _hexed(name: str) -> str:
    return name.encode().hex()[:8]
