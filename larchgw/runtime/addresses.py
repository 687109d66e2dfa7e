"""Addresses for communication between processes. All machines of a deployment use the same ports.

The port constants are offsets into the range of spare ports.
"""

from __future__ import annotations

from ..configuration.settings import NodeSettings
from ..identifiers import RpcAddress

RPC_PORT = 0  # TCP, RPC of a control process
CONTROL_GOSSIP_PORT = 1  # UDP, membership of a control process
EDGE_GOSSIP_PORT = 2  # UDP, membership of an edge


def rpc_address(settings: NodeSettings) -> RpcAddress:
    """Returns the RPC address of this machine's control process."""
    return RpcAddress(f"{settings.ip}:{settings.port(RPC_PORT)}")


def seed_hosts(settings: NodeSettings) -> list[str]:
    """Returns the hosts of the seed list, in its order."""
    return [seed.rpartition(":")[0] for seed in settings.seed_list]


def seed_rpc_addresses(settings: NodeSettings) -> list[RpcAddress]:
    """Returns the seeds' RPC addresses, in the order of the seed list."""
    return [RpcAddress(f"{host}:{settings.port(RPC_PORT)}") for host in seed_hosts(settings)]


def seed_gossip_addresses(settings: NodeSettings) -> list[str]:
    """Returns the seeds' membership addresses, in the order of the seed list."""
    return [f"{host}:{settings.port(CONTROL_GOSSIP_PORT)}" for host in seed_hosts(settings)]
