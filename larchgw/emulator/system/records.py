"""What the emulated clients, runners and operator of a trial write down. The judge reads nothing else.

All times are seconds of one clock, that of the trial's event loop. Machines are named by their IP address.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

PROMISES = (408, 421, 429, 503)  # statuses that promise that the request has not run and never will


@dataclass(slots=True)
class Try:
    """One request of a client under an attempt id of its own, and how it ended."""

    id: str
    kind: str
    host: str
    target: str
    body: bytes
    edge: str
    sent_at: float
    deadline_at: float
    method: str = "POST"
    tries: int = 1  # of its route: the most runners that it may run on
    idempotent: bool = False
    resumable: bool = False
    services: tuple[str, ...] = ()  # that its route names when it is sent
    first_at: float = 0.0  # when the first bytes of a body came
    ended_at: float = math.inf
    status: int = 0  # 0: no head of an answer came
    seal: str = ""
    answer_id: str = ""
    retry_after: float = 0.0  # seconds that the answer asks the client to wait
    answer: bytes = b""
    whole: bool = False
    gave_up: bool = False  # the client left before the answer ended
    read: bool = True  # the whole request was sent
    closed_before: bool = False  # its edge had closed the connection before the request was sent


@dataclass(slots=True)
class Arrival:
    """One request at a runner, and what the runner did with it."""

    id: str
    runner: str
    service: str
    at: float
    method: str = "POST"
    target: str = "/"
    body: bytes = b""
    body_whole: bool = True  # False where it was answered and the rest has not come
    ran: bool = False
    status: int = 0
    seal: str = ""
    answer: bytes = b""  # as far as it was written
    whole: bool = False
    broke_off: bool = False  # the runner ended the answer early, or sent what is none
    last_event: int = 0  # number of the last event of a stream; 0 for another answer
    ended_at: float = math.inf


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A runner's call, acknowledged by a control process."""

    runner: str
    control: str
    at: float
    sent_at: float = -math.inf
    tells_end: bool = True  # draining or leaving


@dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """A clear answer of one control process to one call of an operator, however the call goes on."""

    control: str
    sent_at: float
    at: float
    status: int


@dataclass(frozen=True, slots=True)
class ReadSeen:
    """A configuration that an operator has read; the version is 0 where there was none yet."""

    control: str
    sent_at: float
    at: float
    configuration: dict[str, Any]

    @property
    def version(self) -> int:
        """Its version."""
        return int(self.configuration.get("config_version", 0))


@dataclass(slots=True)
class ConfigurationCall:
    """One configuration or change of the operator's, however often it was sent.

    `configuration` is the whole configuration that it makes, None for one that must not be taken.
    """

    version: int
    built_on: int
    configuration: dict[str, Any] | None
    sent_at: float
    acknowledged_at: float = math.inf
    refused: bool = False
    refused_after_acknowledgement: bool = False


@dataclass(frozen=True, slots=True)
class OrderSeen:
    """An order that reached a runner."""

    runner: str
    owner: str  # "host:port" of the control process
    fence: int
    at: float
    status: int


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something done to a machine of the system.

    `planned` for a SIGTERM, after which it ends in good order.
    """

    machine: str
    at: float
    until: float
    planned: bool = False
    core: bool = False  # the machine belongs to the core
    ends_life: bool = True  # its process ended; False for a freeze
    cut_off: bool = False  # it reached no other machine of the system


@dataclass(slots=True)
class Records:
    """All that was written down in one trial."""

    tries: dict[str, Try] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    acknowledgements: list[Acknowledgement] = field(default_factory=list)
    checkins: list[Acknowledgement] = field(default_factory=list)  # those that tell no end
    configurations: list[ConfigurationCall] = field(default_factory=list)
    operator_answers: list[OperatorAnswer] = field(default_factory=list)
    reads: list[ReadSeen] = field(default_factory=list)
    orders: list[OrderSeen] = field(default_factory=list)
    loads: list[float] = field(default_factory=list)  # when loads from the weight store began
    overloads: list[tuple[str, float]] = field(default_factory=list)  # runner that fell under an order, when
    strays: list[tuple[str, float]] = field(default_factory=list)  # edge that sent bytes without a request
    troubles: list[Trouble] = field(default_factory=list)
    crashed: set[str] = field(default_factory=set)  # runners
    longest_lag_s: float = 0.0  # by which clients and runners were late to act, as this process got no time
    repeated_answers: int = 0  # that runners sent a second time
    repeated_requests: int = 0  # that clients sent a second time under their id
    loads_per_s: float = 0.0
    read_back: dict[str, Any] | None = None
    read_back_at: float = math.inf

    def arrivals_by_try(self) -> dict[str, list[Arrival]]:
        """The arrivals of each attempt id, in order."""
        found: dict[str, list[Arrival]] = {}
        for arrival in self.arrivals:
            found.setdefault(arrival.id, []).append(arrival)
        return found
