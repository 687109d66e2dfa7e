"""Size and time limits for the clients of an HTTP server."""

from __future__ import annotations

from dataclasses import dataclass

MAX_BODY_BYTES = 65536  # default of servers without limits of their own
MAX_HEAD_BYTES = 16384


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of requests and connections. The defaults are those of the deployments of `larchgw serve`.

    The time limits keep clients that send nothing, or part of a request, from using up file descriptors.
    """

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES
    first_byte_timeout_s: float = 2.0  # for the first byte of a connection
    # For a complete request, from its first byte; for the first request, from the start of the connection.
    request_timeout_s: float = 2.6
    chunk_timeout_s: float = 1.0  # after `request_timeout_s`, for each next piece of a request
    max_request_s: float = 10.0  # for a complete request, even while pieces keep arriving
    idle_timeout_s: float = 300.0  # between requests

    @property
    def raw_bytes(self) -> int:
        """The maximum size of a request on the wire, which includes the overhead of small chunks."""
        return self.head_bytes + 8 * self.body_bytes
