"""Keeps one RPC client per address that this process calls."""

from __future__ import annotations

from ..rpc.client import RpcClient


class RpcClients:
    """RPC clients by address ("host:port"), created on first use."""

    def __init__(self) -> None:
        """Starts without clients."""
        self._clients: dict[str, RpcClient] = {}

    def get(self, address: str) -> RpcClient:
        """Returns the client for this address."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(address)
        return client

    def all(self) -> list[RpcClient]:
        """Returns all clients created so far."""
        return list(self._clients.values())

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
