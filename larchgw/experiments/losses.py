"""Where the value of requests is lost, by cause, from the dispatchers' debug lines. Pure.

A dispatcher at level DEBUG writes one line `request.ended` for each request (`larchgw/edge/trace.py`). Each
request that was not answered in time is given exactly one cause: what took the largest part of its time, or
what ended it. Values are those that placement uses: a request of rank 0 is worth 1, of rank 1 a half, of
rank 2 a third. A client's second try is a request of its own here, as a dispatcher cannot tell it from a
first one.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

LATE_SHARE = 0.3  # of its value that a late answer still earns, as the deployments at hand have it
WINDOW_S = 2.0
_FIELD = re.compile(r"(\w+)=(\S*)")
_EVENT = "event=request.ended"


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """One request's line. Times are milliseconds since it came, unless they say otherwise.

    Attributes:
        dispatcher: Who had it.
        route: The route that it came by.
        model: The model that it named; empty for none.
        adapter: The adapter; empty for none.
        rank: Of the route, 0 the most urgent.
        end: answered, refused, failed, truncated or left.
        outcomes: How its attempts at runners ended.
        waited_ms: Time in which it was not at a runner, by reason.
        failed_ms: Time in attempts that failed before the answer began.
        began_ms: When the answer began; None if it did not.
        longest_pause_ms: Between two reads of the answer.
        target_ms: Until when it would have been in time.
        gap_aim_ms: Longest pause that is in time; 0 for any.
        ended_ms: When it was over.
        arrived_s: When it came: seconds on the clock of the log.
    """

    dispatcher: str
    route: str
    model: str
    adapter: str
    rank: int
    end: str
    outcomes: tuple[str, ...]
    waited_ms: dict[str, float]
    failed_ms: float
    began_ms: float | None
    longest_pause_ms: float
    target_ms: float
    gap_aim_ms: float
    ended_ms: float
    arrived_s: float

    @property
    def value(self) -> float:
        """What it is worth in time."""
        return 1.0 / (1 + self.rank)

    @property
    def loss(self) -> float:
        """What of its value was lost."""
        if self.end != "answered" or (self.outcomes and self.outcomes[-1] != "DONE"):
            return self.value
        return 0.0 if self._is_in_time else self.value * (1.0 - LATE_SHARE)

    @property
    def _is_in_time(self) -> bool:
        began_in_time = self.began_ms is not None and self.began_ms <= self.target_ms
        return began_in_time and not self._has_long_pause

    @property
    def _has_long_pause(self) -> bool:
        return self.gap_aim_ms > 0.0 and self.longest_pause_ms > self.gap_aim_ms

    @property
    def cause(self) -> str:
        """What cost the value; empty if nothing is lost."""
        if self.loss == 0.0:
            return ""
        if self.end == "truncated" or self.began_ms is not None:
            return self._cause_after_begin()
        if self.end == "refused":
            return f"refused, {self._longest_part(with_runner=False)}"
        if self.end == "left":
            return f"client left, {self._longest_part(with_runner=True)}"
        return f"failed, {self.outcomes[-1].lower() if self.outcomes else 'not sent'}"

    def _cause_after_begin(self) -> str:
        if self.end != "answered":
            last = self.outcomes[-1].lower() if self.outcomes else ""
            return f"broken off in the answer, {self.end if self.end == 'left' else last}"
        if self.outcomes and self.outcomes[-1] != "DONE":
            return "answered with an error by the runner"
        if self.began_ms is not None and self.began_ms > self.target_ms:
            return f"late, {self._longest_part(with_runner=True)}"
        return "late, a pause in the answer"

    def _longest_part(self, with_runner: bool) -> str:
        """Returns what took the largest part of the time until the answer began, or until the end."""
        parts = dict(self.waited_ms)
        if self.failed_ms > 0.0:
            parts["attempts that failed"] = self.failed_ms
        if with_runner:
            until_ms = self.ended_ms if self.began_ms is None else self.began_ms
            parts["at the runner"] = until_ms - sum(parts.values())
            if self.end == "left" and self.outcomes and self.outcomes[-1] == "CANCELLED":
                # The client's end cut that attempt short: it did not fail by itself.
                parts["at the runner"] += parts.pop("attempts that failed", 0.0)
        return max(parts, key=lambda name: parts[name], default="at once")


def read_requests(lines: Iterable[str]) -> Iterator[EndedRequest]:
    """Reads the lines `request.ended` of a log, whatever stands around them."""
    for line in lines:
        if _EVENT not in line:
            continue
        fields = dict(_FIELD.findall(line))
        yield _request(line, fields)


def _request(line: str, fields: dict[str, str]) -> EndedRequest:
    ended_ms = float(fields["at_ms"])
    waits = (part.rpartition(":") for part in fields["waited_ms"].split(",") if part)
    began = fields["began_ms"]
    return EndedRequest(
        dispatcher=fields["node"],
        route=fields["route"],
        model=fields["model"],
        adapter=fields["adapter"],
        rank=int(fields["rank"]),
        end=fields["end"],
        outcomes=tuple(name for name in fields["outcomes"].split(",") if name),
        waited_ms={reason: float(ms) for reason, _, ms in waits},
        failed_ms=float(fields["failed_ms"]),
        began_ms=float(began) if began not in ("", "None") else None,
        longest_pause_ms=float(fields["longest_pause_ms"]),
        target_ms=float(fields["target_ms"]),
        gap_aim_ms=float(fields["gap_aim_ms"]),
        ended_ms=ended_ms,
        arrived_s=_seconds(fields["timestamp"]) - ended_ms / 1000.0,
    )


def _seconds(timestamp: str) -> float:
    """Returns the seconds of the day of an ISO time."""
    hours, minutes, seconds = timestamp.rstrip("Z").rpartition("T")[2].split(":")
    return int(hours) * 3600.0 + int(minutes) * 60.0 + float(seconds)


@dataclass(slots=True)
class Group:
    """Requests that are counted together.

    Attributes:
        requests: How many.
        owed: Their value.
        lost: What of it was lost, by cause.
        counts: Requests that lost value, by cause.
    """

    requests: int = 0
    owed: float = 0.0
    lost: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, request: EndedRequest) -> None:
        """Counts a request."""
        self.requests += 1
        self.owed += request.value
        if request.cause:
            self.lost[request.cause] += request.loss  # type: ignore[assignment]
            self.counts[request.cause] += 1

    @property
    def earned_share(self) -> float:
        """Value earned over value owed."""
        return 1.0 - sum(self.lost.values()) / self.owed if self.owed else 1.0


@dataclass(slots=True)
class Losses:
    """All requests of a log, together and by what they have in common."""

    total: Group = field(default_factory=Group)
    by_route: defaultdict[str, Group] = field(default_factory=lambda: defaultdict(Group))
    by_zone: defaultdict[str, Group] = field(default_factory=lambda: defaultdict(Group))
    by_window: defaultdict[float, Group] = field(default_factory=lambda: defaultdict(Group))


def zone_of(dispatcher: str) -> str:
    """Returns the zone that a dispatcher's name tells: its name without the role and the number."""
    return re.sub(r"^(edge|front)-|-\d+$", "", dispatcher)


def count(requests: Iterable[EndedRequest], window_s: float = WINDOW_S) -> Losses:
    """Counts requests by route, zone and window of their arrival; windows begin with the first arrival."""
    listed = list(requests)
    losses = Losses()
    first_s = min((request.arrived_s for request in listed), default=0.0)
    for request in listed:
        window = (request.arrived_s - first_s) // window_s * window_s
        groups = losses.by_route[request.route], losses.by_zone[zone_of(request.dispatcher)]
        for group in (losses.total, *groups, losses.by_window[window]):
            group.add(request)
    return losses
