"""One rpc client for each address that this process calls."""

from __future__ import annotations

from ..rpc.client import RpcClient


class RpcClients:
    """Clients by address ("host:port"), made when first asked for."""

    def __init__(self) -> None:
        """Begins without any."""
        self._clients: dict[str, RpcClient] = {}

    def get(self, address: str) -> RpcClient:
        """Returns the client for this address."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(address)
        return client

    def all(self) -> list[RpcClient]:
        """Returns the clients that were asked for."""
        return list(self._clients.values())

    def close(self) -> None:
        """Ends all connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
