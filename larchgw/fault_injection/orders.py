"""What a test orders the links of one process to do, and how that is written on the wire to the process."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field

MOST_BYTES = 65536  # of one message on the wire


@dataclass(frozen=True, slots=True)
class Link:
    """How one process reaches one host. The default is a link without faults.

    What is held is kept and comes later, as with a network that loses packets and sends them again.
    """

    hold_sent: bool = False  # what this process writes; its datagrams are lost
    hold_received: bool = False  # what the host answers on connections of this process
    delay_ms: float = 0.0  # of what this process sends
    loss: float = 0.0  # share of the datagrams that this process sends

    @property
    def connects(self) -> bool:
        """Whether a connection can be opened: that takes both directions."""
        return not (self.hold_sent or self.hold_received)


HEALTHY = Link()


@dataclass(frozen=True, slots=True)
class Order:
    """The links by host that hold from now on, all others being healthy; and hosts whose connections are
    reset now."""

    links: Mapping[str, Link] = field(default_factory=dict)
    reset: Iterable[str] = ()

    def encode(self) -> bytes:
        """Its form on the wire."""
        links = {host: asdict(link) for host, link in self.links.items()}
        return json.dumps({"links": links, "reset": list(self.reset)}).encode()

    @classmethod
    def decode(cls, message: bytes) -> Order:
        """Reads what `encode` has made. Raises ValueError, KeyError or TypeError for anything else."""
        raw = json.loads(message)
        return cls({host: Link(**link) for host, link in raw["links"].items()}, tuple(raw["reset"]))
