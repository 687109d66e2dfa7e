"""The interface of a connection to another process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Connection(Protocol):
    """A connection to one process; implemented by rpc.client.RpcClient."""

    async def call(self, method: str, argument: object, timeout_s: float) -> object:
        """Calls an RPC method with its single argument and returns the reply.

        Raises:
            RpcError: There was no reply within `timeout_s` seconds, or it was an error.
        """

    def close(self) -> None:
        """Closes the connection."""


Connect = Callable[[str], Connection]
"""Opens a connection to an RPC address."""
