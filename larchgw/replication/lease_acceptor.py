"""The witness's side of leases.

Durable state: the highest fencing token of each lease, and the holder that acted last. State in memory: the
holder of each grant, when the grant ends, and recently announced actions (`lease_actions`).
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import inf
from typing import Any

from .lease_actions import ActionMemory, separation_s
from .messages import LeaseRelease, LeaseReply, LeaseRequest
from .ports import Cell
from .view import View

NOBODY = ""  # this witness exists since the first boot and knows of no holder that acted
UNKNOWN = "?"  # this witness joined later: holders may have acted before
GRANT_SHARE = 1 / 3  # of a term, for a holder that announces its actions; then another may be elected

_ACTS_KEY = "acts"  # key in the cell, next to the leases


@dataclass(frozen=True, slots=True)
class StoredLease:
    """The durable state of one lease. Each fencing token belongs to one holder only.

    Attributes:
        fencing_token: The highest granted token.
        holder: The member that it was granted to; empty if this witness does not know.
        acting_token: The highest token under which a holder acted, as far as its requests told this witness.
        actor: The member that acted under that token, or NOBODY or UNKNOWN.
        is_announcing: Whether the actor announces its actions; members of earlier versions do not.
        is_sole_actor: Whether the actor has waited out the actions of all earlier holders.
    """

    fencing_token: int = 0
    holder: str = ""
    acting_token: int = 0
    actor: str = UNKNOWN
    is_announcing: bool = False
    is_sole_actor: bool = False

    def to_json(self) -> dict[str, Any]:
        """Converts the lease to the JSON that is stored; the keys must not change."""
        return {
            "fence": self.fencing_token,
            "holder": self.holder,
            "acting_fence": self.acting_token,
            "actor": self.actor,
        }

    def announcing_to_json(self) -> dict[str, Any]:
        """The JSON stored under a separate key next to that of `to_json`, which earlier versions ignore."""
        return {"announcing": self.is_announcing, "sole": self.is_sole_actor}

    @classmethod
    def from_json(cls, value: Mapping[str, Any], acts: Mapping[str, Any]) -> StoredLease:
        """Reads the output of both methods above; `acts` is empty if an earlier version wrote it."""
        return cls(
            value["fence"],
            value["holder"],
            value["acting_fence"],
            value["actor"],
            acts.get("announcing", False),
            acts.get("sole", False),
        )


@dataclass(slots=True)
class _Grant:
    """A grant in force.

    Attributes:
        holder: The member that holds the grant.
        fencing_token: The granted token.
        granted_at: When the grant was made or renewed.
        duration_s: For how long other members that announce their actions are refused.
    """

    holder: str
    fencing_token: int
    granted_at: float
    duration_s: float


class LeaseAcceptor:
    """Grants each lease to one holder at a time, and remembers announced actions.

    Times are seconds of the member's clock. A grant lasts `GRANT_SHARE` of a term, so that a lost holder is
    replaced soon. The announced actions (`lease_actions`) keep the actions of two holders on one target a
    term apart. A holder of an earlier version announces nothing: it may act on any target for a term, so its
    grant lasts a whole term.

    After a restart, or as a new witness, the acceptor grants nothing for one whole term to any member but the
    stored holder. It has forgotten, or never knew, who holds the lease, and that holder must keep it.
    """

    def __init__(self, cell: Cell, term_s: float, action_retention_s: float = 0.0) -> None:
        """Reads the stored leases.

        Args:
            cell: The storage of the leases.
            term_s: The time between actions of two holders on one target.
            action_retention_s: The least time for which announced actions are remembered.
        """
        self._retention_s = max(separation_s(term_s), action_retention_s)
        self._cell = cell
        self._term_s = term_s
        self._grants: dict[str, _Grant] = {}
        self._actions: dict[str, ActionMemory] = {}
        self._blocked_until = 0.0
        self._restarted_at = -inf
        self._joined_at = -inf
        stored = cell.load()
        value: dict[str, Any] = {"from_first_boot": False, "leases": {}}
        if stored is not None:
            value = json.loads(stored)
        self._from_first_boot = bool(value["from_first_boot"])
        acts = value.get(_ACTS_KEY, {})
        self._leases = {
            name: StoredLease.from_json(lease, acts.get(name, {})) for name, lease in value["leases"].items()
        }

    def reset(self, from_first_boot: bool) -> None:
        """Clears the leases for a new identity. `from_first_boot`: no lease can have been granted before."""
        self._from_first_boot = from_first_boot
        self._store({})

    def observe_restart(self, now: float) -> None:
        """Notes a restart, which has lost all grants and announcements.

        For one term only the stored holder is granted a lease.
        """
        self._blocked_until = now + self._term_s
        self._restarted_at = now

    def join_as_witness(self, now: float) -> None:
        """Becomes a witness of a view; grants and announcements of the earlier witnesses are not known."""
        self._blocked_until = now + self._term_s
        self._joined_at = now
        self._grants = {}
        self._store({name: replace(lease, holder="") for name, lease in self._leases.items()})

    def handle_request(self, now: float, sender: str, request: LeaseRequest, view: View | None) -> LeaseReply:
        """Grants, renews or refuses a lease. A grant is stored before the call returns.

        The first grant of a token reports the actions of other holders; after it this witness accepts no
        announcement under a lower token.
        """
        stored = self._leases.get(request.name, self._default)
        stale = view is not None and request.view_epoch < view.epoch
        remaining = self._remaining(now, request, sender, stored)
        is_current_token = request.is_renewal and (sender, request.fencing_token) == (
            stored.holder,
            stored.fencing_token,
        )
        granted = (
            not stale
            and remaining <= 0.0
            and (is_current_token or request.fencing_token > stored.fencing_token)
        )
        known_actions = None
        if granted:
            memory = self._actions.setdefault(request.name, ActionMemory(self._retention_s))
            if request.announcement is not None and not is_current_token:
                known_actions = memory.known_to(
                    now, sender, self._complete_since(sender, stored), self._remembered_since(stored)
                )
            self._record(request, sender, stored)
            self._record_announcement(now, request, sender, memory)
        return LeaseReply(
            request.name,
            request.attempt,
            granted,
            stored.fencing_token,
            stored.actor,
            stored.acting_token,
            max(0.0, remaining),
            view if stale else None,
            known_actions,
        )

    def release(self, sender: str, release: LeaseRelease) -> None:
        """Ends the grant of a holder that gives up its lease."""
        grant = self._grants.get(release.name)
        if grant is not None and grant.holder == sender and grant.fencing_token <= release.fencing_token:
            del self._grants[release.name]

    @property
    def _default(self) -> StoredLease:
        return StoredLease(actor=NOBODY if self._from_first_boot else UNKNOWN)

    def _remaining(self, now: float, request: LeaseRequest, sender: str, stored: StoredLease) -> float:
        """Seconds for which another member may still hold the lease.

        A sender of an earlier version does not consider announced actions, so it must wait a whole term after
        the grant.
        """
        grant = self._grants.get(request.name)
        if grant is not None:
            if grant.holder == sender:
                return 0.0
            duration_s = grant.duration_s if request.announcement is not None else self._term_s
            return grant.granted_at + duration_s - now
        if sender == stored.holder:
            return 0.0
        return self._blocked_until - now

    def _complete_since(self, sender: str, stored: StoredLease) -> float:
        """Since when this witness remembers every announcement that `sender` must know.

        A restart loses the announcements. This does not matter if nobody has acted, or if `sender` acted last
        and had waited out the actions of other holders. An actor that does not announce its actions may
        continue for a term.
        """
        has_only_own_acts = stored.actor == sender and stored.is_sole_actor
        return self._joined_at if has_only_own_acts else self._remembered_since(stored)

    def _remembered_since(self, stored: StoredLease) -> float:
        """Since when this witness remembers every announcement."""
        if stored.actor == NOBODY:
            return self._joined_at
        unannounced_s = 0.0 if stored.is_announcing else self._term_s
        return max(self._joined_at, self._restarted_at + unannounced_s)

    def _record_announcement(
        self, now: float, request: LeaseRequest, sender: str, memory: ActionMemory
    ) -> None:
        duration_s = self._term_s
        if request.announcement is not None:
            duration_s *= GRANT_SHARE
            memory.record(now, sender, request.announcement.targets)
        elif request.is_acting:
            memory.allow_unannounced(now + self._term_s)
        self._grants[request.name] = _Grant(sender, request.fencing_token, now, duration_s)

    def _record(self, request: LeaseRequest, sender: str, stored: StoredLease) -> None:
        lease = replace(stored, fencing_token=request.fencing_token, holder=sender)
        if request.is_acting:
            lease = replace(
                lease,
                acting_token=request.fencing_token,
                actor=sender,
                is_announcing=request.announcement is not None,
                is_sole_actor=request.announcement is not None and request.announcement.is_sole_actor,
            )
        if lease != stored:
            self._store({**self._leases, request.name: lease})

    def _store(self, leases: dict[str, StoredLease]) -> None:
        value: dict[str, Any] = {
            "from_first_boot": self._from_first_boot,
            "leases": {name: lease.to_json() for name, lease in leases.items()},
        }
        acts = {name: lease.announcing_to_json() for name, lease in leases.items() if lease.is_announcing}
        if acts:
            value[_ACTS_KEY] = acts
        self._cell.store(json.dumps(value).encode())
        self._leases = leases
