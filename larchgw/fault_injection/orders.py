"""What a test orders the links of one process to do, and the wire form of such an order (JSON)."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field

MAX_MESSAGE_BYTES = 65536  # of one message on the wire


@dataclass(frozen=True, slots=True)
class Link:
    """How one process reaches one host. The default is a link without faults.

    What is held is kept and delivered later, as with a network that loses packets and retransmits them.

    Attributes:
        hold_sent: Holds what this process writes; its datagrams are lost.
        hold_received: Holds what the host answers on connections of this process.
        delay_ms: Of what this process sends.
        loss: Share of the datagrams that this process sends.
    """

    hold_sent: bool = False
    hold_received: bool = False
    delay_ms: float = 0.0
    loss: float = 0.0

    @property
    def connects(self) -> bool:
        """Whether a connection can be opened: that takes both directions."""
        return not (self.hold_sent or self.hold_received)


HEALTHY = Link()


@dataclass(frozen=True, slots=True)
class Order:
    """The state of all links of one process.

    Attributes:
        links: The links by host; all others are healthy.
        reset: Hosts whose connections are reset now.
    """

    links: Mapping[str, Link] = field(default_factory=dict)
    reset: Iterable[str] = ()

    def encode(self) -> bytes:
        """Its form on the wire."""
        links = {host: asdict(link) for host, link in self.links.items()}
        return json.dumps({"links": links, "reset": list(self.reset)}).encode()

    @classmethod
    def decode(cls, message: bytes) -> Order:
        """Reads what `encode` has made.

        Raises:
            ValueError: It is not JSON.
            KeyError: A member is missing.
            TypeError: A member is of another type, or a link has unknown members.
        """
        raw = json.loads(message)
        return cls({host: Link(**link) for host, link in raw["links"].items()}, tuple(raw["reset"]))
