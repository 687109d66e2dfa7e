"""Which port of a machine serves what between processes. Ports are alike on all machines of a deployment."""

from __future__ import annotations

from ..configuration.settings import NodeSettings

RPC_PORT = 0  # offsets into the machine's spare ports
CONTROL_GOSSIP_PORT = 1
EDGE_GOSSIP_PORT = 2


def rpc_address(settings: NodeSettings) -> str:
    """Where this machine's control process serves rpc."""
    return f"{settings.ip}:{settings.port(RPC_PORT)}"


def seed_hosts(settings: NodeSettings) -> list[str]:
    """The machines of the seed list, in its order."""
    return [seed.rpartition(":")[0] for seed in settings.seed_list]


def seed_rpc_addresses(settings: NodeSettings) -> list[str]:
    """The seeds' rpc addresses."""
    return [f"{host}:{settings.port(RPC_PORT)}" for host in seed_hosts(settings)]


def seed_gossip_addresses(settings: NodeSettings) -> list[str]:
    """The seeds' membership addresses."""
    return [f"{host}:{settings.port(CONTROL_GOSSIP_PORT)}" for host in seed_hosts(settings)]
