"""This process's part in membership, as its settings say."""

from __future__ import annotations

from random import Random

from ..configuration.settings import NodeSettings
from ..membership.member import Member, Role
from ..membership.settings import SwimSettings
from ..membership.swim import Swim
from .addresses import CONTROL_GOSSIP_PORT, EDGE_GOSSIP_PORT, seed_gossip_addresses

GOSSIP_PORTS: dict[Role, int] = {"control": CONTROL_GOSSIP_PORT, "edge": EDGE_GOSSIP_PORT}


def make_swim(
    settings: NodeSettings, role: Role, life: int, random_source: Random, address_rpc: str = ""
) -> Swim:
    """A member that asks the seeds. `life` is the time of the start in milliseconds; `address_rpc` is where
    the process serves calls, empty if it does not.
    """
    address = f"{settings.ip}:{settings.port(GOSSIP_PORTS[role])}"
    me = Member(settings.node_name, address, role, life, settings.zone, address_rpc)
    swim = Swim(me, SwimSettings(), random_source)
    swim.join(seed_gossip_addresses(settings))
    return swim
