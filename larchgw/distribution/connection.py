"""A connection to another process, as this package needs it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Connection(Protocol):
    """A connection to one process; rpc.client.RpcClient is the real one."""

    async def call(self, method: str, argument: object, timeout_s: float) -> object:
        """Calls an rpc method with its one argument and returns the answer.

        Raises:
            RpcError: There was no answer within `timeout_s` seconds, or it was an error.
        """

    def close(self) -> None:
        """Closes the connection."""


Connect = Callable[[str], Connection]
"""Opens a connection to an rpc address."""
