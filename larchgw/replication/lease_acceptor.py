"""A witness's side of leases.

Durable: the highest fencing token of each lease and who acted last. In memory: whom it granted to, and until
when, and which acts were announced to it lately (`lease_actions`).
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

NOBODY = ""  # this witness was there from the first boot on and has seen nobody act
UNKNOWN = "?"  # this witness came later: others may have acted
GRANT_SHARE = 1 / 3  # of a term, to a holder that announces its acts: after that another may be elected

_ACTS_KEY = "acts"  # in the cell, beside the leases


@dataclass(frozen=True, slots=True)
class StoredLease:
    """What is durable of one lease. A fencing token belongs to one holder.

    Attributes:
        fencing_token: The highest that was granted.
        holder: The member that it was granted to; empty if this witness does not know.
        acting_token: The highest under which a holder acted, as far as this witness was asked.
        actor: Who acted under it: a member, NOBODY or UNKNOWN.
        is_announcing: Whether the actor announces its acts; members of earlier versions do not.
        is_sole_actor: Whether the actor has waited out the acts of all holders before it.
    """

    fencing_token: int = 0
    holder: str = ""
    acting_token: int = 0
    actor: str = UNKNOWN
    is_announcing: bool = False
    is_sole_actor: bool = False

    def to_json(self) -> dict[str, Any]:
        """As it is stored; the keys never change."""
        return {
            "fence": self.fencing_token,
            "holder": self.holder,
            "acting_fence": self.acting_token,
            "actor": self.actor,
        }

    def acts_to_json(self) -> dict[str, Any]:
        """What is stored of the actor's announcements, beside `to_json`: earlier versions skip it there."""
        return {"announcing": self.is_announcing, "sole": self.is_sole_actor}

    @classmethod
    def from_json(cls, value: Mapping[str, Any], acts: Mapping[str, Any]) -> StoredLease:
        """Reads what `to_json` and `acts_to_json` gave; `acts` is empty where an earlier version wrote it."""
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
        holder: Whom it was given to.
        fencing_token: The token that was granted.
        granted_at: When it was given or renewed.
        duration_s: For how long others that announce their acts are refused.
    """

    holder: str
    fencing_token: int
    granted_at: float
    duration_s: float


class LeaseAcceptor:
    """Grants each lease to one holder at a time, and remembers announced acts.

    Times are seconds of the member's clock. A grant lasts `GRANT_SHARE` of a term: a holder that is lost is
    soon succeeded, and the announced acts (`lease_actions`) keep two holders a term apart at each target. A
    holder of an earlier version announces nothing: it may act on anything for a term, and has its grant for
    a whole one.

    After a restart, or as a new witness, it grants nothing for one whole term to a member other than the
    stored holder: the holder, which it has forgotten or never knew, is to keep its lease.
    """

    def __init__(self, cell: Cell, term_s: float, action_retention_s: float = 0.0) -> None:
        """Reads what is stored.

        Args:
            cell: Where the leases are stored.
            term_s: The term that is kept between acts of two holders.
            action_retention_s: Announced acts are remembered for so long at least.
        """
        self._retention_s = max(separation_s(term_s), action_retention_s)
        self._cell = cell
        self._term_s = term_s
        self._grants: dict[str, _Grant] = {}
        self._acts: dict[str, ActionMemory] = {}
        self._closed_until = 0.0
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
        """Begins anew with a new identity. `from_first_boot`: no lease can have been granted before."""
        self._from_first_boot = from_first_boot
        self._store({})

    def observe_restart(self, now: float) -> None:
        """Grants and announcements made before are forgotten.

        For one term only the holder stored last is granted to.
        """
        self._closed_until = now + self._term_s
        self._restarted_at = now

    def join_as_witness(self, now: float) -> None:
        """Becomes a witness of a view: what those who decided before granted and heard is not known here."""
        self._closed_until = now + self._term_s
        self._joined_at = now
        self._grants = {}
        self._store({name: replace(lease, holder="") for name, lease in self._leases.items()})

    def handle_request(self, now: float, sender: str, request: LeaseRequest, view: View | None) -> LeaseReply:
        """Grants, renews or refuses. What is granted is stored before the call returns.

        The acts of others are told with the first grant of a token: from then on none can be announced.
        """
        stored = self._leases.get(request.name, self._default)
        stale = view is not None and request.view_epoch < view.epoch
        remaining = self._remaining(now, request, sender, stored)
        known = request.is_renewal and (sender, request.fencing_token) == (
            stored.holder,
            stored.fencing_token,
        )
        granted = not stale and remaining <= 0.0 and (known or request.fencing_token > stored.fencing_token)
        known_acts = None
        if granted:
            memory = self._acts.setdefault(request.name, ActionMemory(self._retention_s))
            if request.acts is not None and not known:
                known_acts = memory.known_to(
                    now, sender, self._complete_since(sender, stored), self._remembered_since(stored)
                )
            self._record(request, sender, stored)
            self._record_acts(now, request, sender, memory)
        return LeaseReply(
            request.name,
            request.attempt,
            granted,
            stored.fencing_token,
            stored.actor,
            stored.acting_token,
            max(0.0, remaining),
            view if stale else None,
            known_acts,
        )

    def release(self, sender: str, release: LeaseRelease) -> None:
        """The holder gives its lease up."""
        grant = self._grants.get(release.name)
        if grant is not None and grant.holder == sender and grant.fencing_token <= release.fencing_token:
            del self._grants[release.name]

    @property
    def _default(self) -> StoredLease:
        return StoredLease(actor=NOBODY if self._from_first_boot else UNKNOWN)

    def _remaining(self, now: float, request: LeaseRequest, sender: str, stored: StoredLease) -> float:
        """Seconds for which another may hold the lease.

        A member of an earlier version does not ask about acts: it waits until a whole term after the grant.
        """
        grant = self._grants.get(request.name)
        if grant is not None:
            if grant.holder == sender:
                return 0.0
            duration_s = grant.duration_s if request.acts is not None else self._term_s
            return grant.granted_at + duration_s - now
        if sender == stored.holder:
            return 0.0
        return self._closed_until - now

    def _complete_since(self, sender: str, stored: StoredLease) -> float:
        """Since when every announcement that `sender` must know of is remembered here.

        A restart forgets them. That matters unless nobody has acted, or `sender` itself acted last and had
        waited out the acts of others before. Where the actor did not announce its acts, it may go on for a
        term.
        """
        has_only_own_acts = stored.actor == sender and stored.is_sole_actor
        return self._joined_at if has_only_own_acts else self._remembered_since(stored)

    def _remembered_since(self, stored: StoredLease) -> float:
        """Since when every announcement is remembered here."""
        if stored.actor == NOBODY:
            return self._joined_at
        unannounced_s = 0.0 if stored.is_announcing else self._term_s
        return max(self._joined_at, self._restarted_at + unannounced_s)

    def _record_acts(self, now: float, request: LeaseRequest, sender: str, memory: ActionMemory) -> None:
        duration_s = self._term_s
        if request.acts is not None:
            duration_s *= GRANT_SHARE
            memory.record(now, sender, request.acts.targets)
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
                is_announcing=request.acts is not None,
                is_sole_actor=request.acts is not None and request.acts.is_sole_actor,
            )
        if lease != stored:
            self._store({**self._leases, request.name: lease})

    def _store(self, leases: dict[str, StoredLease]) -> None:
        value: dict[str, Any] = {
            "from_first_boot": self._from_first_boot,
            "leases": {name: lease.to_json() for name, lease in leases.items()},
        }
        acts = {name: lease.acts_to_json() for name, lease in leases.items() if lease.is_announcing}
        if acts:
            value[_ACTS_KEY] = acts
        self._cell.store(json.dumps(value).encode())
        self._leases = leases
