"""Orders that set the state of one process's links, and their JSON encoding."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field

MAX_MESSAGE_BYTES = 65536  # of one encoded order


@dataclass(frozen=True, slots=True)
class Link:
    """State of the link from one process to one host; by default without faults.

    Held data is delivered later, as by a network that loses packets and retransmits them.

    Attributes:
        hold_sent: Whether data that this process sends is held; its datagrams are dropped.
        hold_received: Whether data from the host on connections opened by this process is held.
        delay_ms: Delay of data that this process sends.
        loss: Share of the sent datagrams that are dropped.
    """

    hold_sent: bool = False
    hold_received: bool = False
    delay_ms: float = 0.0
    loss: float = 0.0

    @property
    def is_connectable(self) -> bool:
        """Whether a connection can be opened, which requires both directions."""
        return not (self.hold_sent or self.hold_received)


HEALTHY = Link()


@dataclass(frozen=True, slots=True)
class Order:
    """The state of all links of one process.

    Attributes:
        links: The links by host; all other links are healthy.
        reset: Hosts whose connections are reset once, when the order is applied.
    """

    links: Mapping[str, Link] = field(default_factory=dict)
    reset: Iterable[str] = ()

    def encode(self) -> bytes:
        """Returns the order as JSON."""
        links = {host: asdict(link) for host, link in self.links.items()}
        return json.dumps({"links": links, "reset": list(self.reset)}).encode()

    @classmethod
    def decode(cls, message: bytes) -> Order:
        """Decodes the result of `encode`.

        Raises:
            ValueError: The message is not JSON.
            KeyError: A JSON member is missing.
            TypeError: A JSON member has a wrong type, or a link has unknown members.
        """
        raw = json.loads(message)
        return cls({host: Link(**link) for host, link in raw["links"].items()}, tuple(raw["reset"]))
