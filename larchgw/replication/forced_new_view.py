"""Disaster recovery after the loss of too many members: writes a single new member from a snapshot.

The new member is the only witness and the only in-sync member of its view, so it becomes primary as soon as
it runs. Other members join it with empty disks and new identities. Records are acknowledged again once as
many of them are in sync as the setting `survive` requires.

No former member may run at the same time. If one comes back all the same, it has no effect: its view lists
witnesses that no longer run, and its epochs and fencing tokens are below those written here, which are
derived from the time of day. For the same reason dispatchers that kept running consider the data of the new
members newer than their own.
"""

from __future__ import annotations

from dataclasses import dataclass

from .identity import store_identity
from .lease_acceptor import LeaseAcceptor
from .ports import Ports
from .replica import Replica
from .view import View
from .witness import Witness

UNUSED_TERM_S = 0.0  # the stored state does not depend on the lease term


@dataclass(frozen=True, slots=True)
class ForcedView:
    """The first member, the epoch of its view, and the last index that the snapshot includes."""

    identity: str
    address: str
    epoch: int
    index: int


def plan_forced_view(
    identity: str, address: str, time_of_day: float, last_epoch: int, last_index: int
) -> ForcedView:
    """Chooses an epoch and an index above all that the former members can have reached.

    Epochs and indices increase by one per change, so they stay below the number of seconds since 1970.
    `last_epoch` and `last_index` are the highest known values.
    """
    seconds = int(time_of_day)
    return ForcedView(identity, address, max(seconds, last_epoch + 1), max(seconds, last_index + 1))


def write_forced_view(ports: Ports, plan: ForcedView, snapshot: bytes) -> View:
    """Writes the first member into empty files. The identity is last; without it the rest is ignored.

    Raises OSError.
    """
    member_id = plan.identity
    view = View(plan.epoch, member_id, (), (member_id,), (member_id,), {member_id: plan.address})
    Replica(ports.journal).install(plan.index, plan.epoch, snapshot)
    LeaseAcceptor(ports.leases, UNUSED_TERM_S).reset(from_first_boot=False)
    Witness(ports.witness).reset(view)
    store_identity(ports.identity, member_id)
    return view
