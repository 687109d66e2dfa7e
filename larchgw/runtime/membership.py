"""Builds the membership protocol of this process from its settings."""

from __future__ import annotations

from random import Random

from ..configuration.settings import NodeSettings
from ..identifiers import RpcAddress
from ..membership.member import NO_RPC_ADDRESS, Member, Role
from ..membership.settings import SwimSettings
from ..membership.swim import Swim
from .addresses import CONTROL_GOSSIP_PORT, EDGE_GOSSIP_PORT, seed_gossip_addresses

GOSSIP_PORTS: dict[Role, int] = {"control": CONTROL_GOSSIP_PORT, "edge": EDGE_GOSSIP_PORT}


def make_swim(
    settings: NodeSettings,
    role: Role,
    process_start_ms: int,
    random_source: Random,
    address_rpc: RpcAddress = NO_RPC_ADDRESS,
) -> Swim:
    """Returns the membership protocol of this process, which joins through the seeds in the settings.

    Args:
        settings: Name, addresses, zone and seeds.
        role: Role of the process.
        process_start_ms: Wall-clock time of the process start in milliseconds, its first SWIM incarnation.
        random_source: Selects the members to probe and to query.
        address_rpc: RPC address of the process; empty if it serves no RPC.
    """
    address = f"{settings.ip}:{settings.port(GOSSIP_PORTS[role])}"
    me = Member(settings.node_name, address, role, process_start_ms, settings.zone, address_rpc)
    swim = Swim(me, SwimSettings(), random_source)
    swim.join(seed_gossip_addresses(settings))
    return swim
