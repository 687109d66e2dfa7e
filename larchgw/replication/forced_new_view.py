"""A new beginning after more was lost than the replicated state survives: one member that holds a snapshot.

The member written here is the only witness and the only one in sync of its view, so it becomes primary as
soon as it runs, and takes the others in as it does any empty disk: they have new identities. Records are
acknowledged again once `survive` of them are in sync.

Nothing of the former members may run beside it. Should one come back all the same, it stays without effect:
its view names witnesses that no longer run, and its epochs and fences are below those written here, which
count from the time of day. For the same reason dispatchers that went on running take what comes from the new
members for newer than all they have.
"""

from __future__ import annotations

from dataclasses import dataclass

from .identity import store_identity
from .lease_acceptor import LeaseAcceptor
from .ports import Ports
from .replica import Replica
from .view import View
from .witness import Witness

ANY_TERM = 0.0  # the lease term plays no part in what is stored


@dataclass(frozen=True, slots=True)
class ForcedView:
    """The first member, the epoch of its view, and the index that the snapshot stands for."""

    identity: str
    address: str
    epoch: int
    index: int


def plan_forced_view(
    identity: str, address: str, time_of_day: float, last_epoch: int, last_index: int
) -> ForcedView:
    """Epoch and index above all that the former members can have reached.

    These count changes one by one, never as many as seconds have passed since 1970. `last_epoch` and
    `last_index` are the highest known.
    """
    seconds = int(time_of_day)
    return ForcedView(identity, address, max(seconds, last_epoch + 1), max(seconds, last_index + 1))


def write_forced_view(ports: Ports, begin: ForcedView, snapshot: bytes) -> View:
    """Writes the first member into empty files, its identity last: until that stands, nothing counts.

    Raises OSError.
    """
    member_id = begin.identity
    view = View(begin.epoch, member_id, (), (member_id,), (member_id,), {member_id: begin.address})
    Replica(ports.journal).install(begin.index, begin.epoch, snapshot)
    LeaseAcceptor(ports.leases, ANY_TERM).reset(from_first_boot=False)
    Witness(ports.witness).reset(view)
    store_identity(ports.identity, member_id)
    return view
