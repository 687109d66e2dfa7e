"""What a client may send to an HTTP server, and how long it may take."""

from __future__ import annotations

from dataclasses import dataclass

MAX_BODY_BYTES = 65536  # unless a server has other limits
MAX_HEAD_BYTES = 16384


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of requests and connections. The defaults are those of the deployments of `larchgw serve`.

    A client that sends nothing, or half a request, costs a descriptor that others need.
    """

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES
    first_byte_timeout_s: float = 2.0  # for a connection's first byte
    request_timeout_s: float = (
        2.6  # for a request to come in whole, from its first byte, or the connection's start
    )
    chunk_timeout_s: float = 1.0  # after that, for the next piece of one that still comes ...
    max_request_s: float = 10.0  # ... up to this
    idle_timeout_s: float = 300.0  # between two requests

    @property
    def raw_bytes(self) -> int:
        """The most bytes of a request on the wire, in chunks however small."""
        return self.head_bytes + 8 * self.body_bytes
