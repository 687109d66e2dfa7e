"""A witness's side of leases.

Durable: the highest fencing token of each lease and who acted last. In memory: whom it granted to, and until
when.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from .messages import LeaseRelease, LeaseReply, LeaseRequest
from .ports import Cell
from .view import View

NOBODY = ""  # this witness was there from the first boot on and has seen nobody act
UNKNOWN = "?"  # this witness came later: others may have acted


@dataclass(frozen=True, slots=True)
class StoredLease:
    """What is durable of one lease. A fencing token belongs to one holder.

    Attributes:
        fencing_token: The highest that was granted.
        holder: The member that it was granted to; empty if this witness does not know.
        acting_token: The highest under which a holder acted, as far as this witness was asked.
        actor: Who acted under it: a member, NOBODY or UNKNOWN.
    """

    fencing_token: int = 0
    holder: str = ""
    acting_token: int = 0
    actor: str = UNKNOWN

    def to_json(self) -> dict[str, Any]:
        """As it is stored; the keys never change."""
        return {
            "fence": self.fencing_token,
            "holder": self.holder,
            "acting_fence": self.acting_token,
            "actor": self.actor,
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> StoredLease:
        """Reads what `to_json` gave."""
        return cls(value["fence"], value["holder"], value["acting_fence"], value["actor"])


@dataclass(slots=True)
class _Grant:
    holder: str
    fencing_token: int
    expires_at: float


class LeaseAcceptor:
    """Grants each lease to one holder at a time, for one term. Times are seconds of the member's clock.

    After a restart, or as a new witness, it grants nothing for one whole term to a member other than the
    stored
    holder: it may have forgotten a grant, or counts now in place of a witness that made one. Without this,
    two members could each have a quorum of grants within one term.
    """

    def __init__(self, cell: Cell, term_s: float) -> None:
        """Reads what is stored.

        Args:
            cell: Where the leases are stored.
            term_s: For how long a grant is good.
        """
        self._cell = cell
        self._term_s = term_s
        self._grants: dict[str, _Grant] = {}
        self._closed_until = 0.0
        stored = cell.load()
        value: dict[str, Any] = {"from_first_boot": False, "leases": {}}
        if stored is not None:
            value = json.loads(stored)
        self._from_first_boot = bool(value["from_first_boot"])
        self._leases = {name: StoredLease.from_json(lease) for name, lease in value["leases"].items()}

    def reset(self, from_first_boot: bool) -> None:
        """Begins anew with a new identity. `from_first_boot`: no lease can have been granted before."""
        self._from_first_boot = from_first_boot
        self._store({})

    def observe_restart(self, now: float) -> None:
        """Grants made before are forgotten: for one term only the holder stored last is granted to."""
        self._closed_until = now + self._term_s

    def join_as_witness(self, now: float) -> None:
        """Becomes a witness of a view: grants of those who decided before are not known here for one term."""
        self._closed_until = now + self._term_s
        self._grants = {}
        self._store({name: replace(lease, holder="") for name, lease in self._leases.items()})

    def handle_request(self, now: float, sender: str, request: LeaseRequest, view: View | None) -> LeaseReply:
        """Grants, renews or refuses. What is granted is stored before the call returns."""
        stored = self._leases.get(request.name, self._default)
        stale = view is not None and request.view_epoch < view.epoch
        remaining = self._remaining(now, request.name, sender, stored)
        known = request.is_renewal and (sender, request.fencing_token) == (
            stored.holder,
            stored.fencing_token,
        )
        granted = not stale and remaining <= 0.0 and (known or request.fencing_token > stored.fencing_token)
        if granted:
            self._record(request, sender, stored)
            self._grants[request.name] = _Grant(sender, request.fencing_token, now + self._term_s)
        return LeaseReply(
            request.name,
            request.attempt,
            granted,
            stored.fencing_token,
            stored.actor,
            stored.acting_token,
            max(0.0, remaining),
            view if stale else None,
        )

    def release(self, sender: str, release: LeaseRelease) -> None:
        """The holder gives its lease up."""
        grant = self._grants.get(release.name)
        if grant is not None and grant.holder == sender and grant.fencing_token <= release.fencing_token:
            del self._grants[release.name]

    @property
    def _default(self) -> StoredLease:
        return StoredLease(actor=NOBODY if self._from_first_boot else UNKNOWN)

    def _remaining(self, now: float, name: str, sender: str, stored: StoredLease) -> float:
        """Seconds for which another may hold the lease."""
        grant = self._grants.get(name)
        if grant is not None:
            return 0.0 if grant.holder == sender else grant.expires_at - now
        if sender == stored.holder:
            return 0.0
        return self._closed_until - now

    def _record(self, request: LeaseRequest, sender: str, stored: StoredLease) -> None:
        lease = replace(stored, fencing_token=request.fencing_token, holder=sender)
        if request.is_acting:
            lease = replace(lease, acting_token=request.fencing_token, actor=sender)
        if lease != stored:
            self._store({**self._leases, request.name: lease})

    def _store(self, leases: dict[str, StoredLease]) -> None:
        value = {
            "from_first_boot": self._from_first_boot,
            "leases": {name: lease.to_json() for name, lease in leases.items()},
        }
        self._cell.store(json.dumps(value).encode())
        self._leases = leases
