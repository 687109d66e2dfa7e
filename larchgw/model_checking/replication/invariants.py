"""Invariants of every explored run, under any faults of messages, processes and disks."""

from __future__ import annotations

from ...replication.lease_actions import ACTION_DELIVERY_S
from ..errors import InvariantError


class InvariantChecker:
    """Checks a run by the effects that members return to their callers, not by their internal state.

    Each method is called for the event that it is named after. It raises InvariantError if the event
    violates an invariant.

    Attributes:
        lease_action_count: Number of actions started under leases.
    """

    def __init__(self, lease_term_s: float) -> None:
        """`lease_term_s` is the term of all leases."""
        self._lease_term_s = lease_term_s
        self._committed: dict[int, bytes] = {}  # index -> record that a replica delivered as committed
        self._acknowledged: dict[int, bytes] = {}
        self._acknowledged_by_base: dict[int, bytes] = {}  # base version -> acknowledged change
        self._primaries: dict[int, str] = {}  # epoch -> acting primary
        self._highest_fencing_token = 0
        self._holder_of: dict[int, str] = {}  # fencing token -> holder
        self._promised: dict[str, int] = {}  # identity -> highest epoch that it promised to another member
        self._snapshots: dict[bytes, int] = {}  # content -> version
        self._action_starts: dict[str, dict[str, float]] = {}  # target -> holder -> start of its last action
        self.lease_action_count = 0

    @property
    def newest_acknowledged(self) -> int:
        """The highest acknowledged index; 0 if there is none."""
        return max(self._acknowledged, default=0)

    def committed(self, member: str, index: int, record: bytes) -> None:
        """A replica delivers a record as committed."""
        known = self._committed.setdefault(index, record)
        if known != record:
            raise InvariantError(
                f"{member} delivers {record!r} at index {index}, where another replica delivered {known!r}"
            )

    def acknowledged(self, index: int, version: int, record: bytes) -> None:
        """A proposal based on `version` is acknowledged."""
        committed_record = self._committed.get(index)
        if committed_record != record:
            raise InvariantError(
                f"{record!r} was acknowledged at index {index}; the committed record is {committed_record!r}"
            )
        other = self._acknowledged_by_base.setdefault(version, record)
        if other != record:
            raise InvariantError(f"{record!r} and {other!r} were both acknowledged on base version {version}")
        self._acknowledged[index] = record

    def read(self, member: str, acknowledged_before: int, index: int) -> None:
        """A read that began when `acknowledged_before` was the newest is confirmed at `index`."""
        if index < acknowledged_before:
            raise InvariantError(
                f"{member} confirmed a read at index {index}; {acknowledged_before} was acknowledged before"
            )

    def made_snapshot(self, version: int, content: bytes) -> None:
        """A replica provides its state for a snapshot."""
        self._snapshots.setdefault(content, version)

    def installed(self, member: str, index: int, content: bytes) -> int:
        """A replica installs a snapshot; returns the version of that state."""
        version = self._snapshots.get(content)
        if version is None:
            raise InvariantError(f"{member} installs the snapshot {content!r}, which no replica provided")
        if version != index:
            raise InvariantError(f"{member} installs the state of version {version} for that of {index}")
        return version

    def promised(self, member: str, epoch: int) -> None:
        """A member has promised another to accept no view below `epoch`."""
        self._promised[member] = max(self._promised.get(member, 0), epoch)

    def accepted(self, member: str, epoch: int) -> None:
        """A member has confirmed to another that it accepted the view of `epoch`."""
        if epoch < self._promised.get(member, 0):
            raise InvariantError(f"{member} accepted view {epoch} after it promised {self._promised[member]}")

    def becomes_primary(self, member: str, epoch: int) -> None:
        """A member becomes primary of `epoch`."""
        if epoch < self._promised.get(member, 0):
            raise InvariantError(f"{member} leads view {epoch} after it promised {self._promised[member]}")

    def acts(self, member: str, epoch: int) -> None:
        """A member acts as primary of `epoch`; `member` names one incarnation of its process."""
        first = self._primaries.setdefault(epoch, member)
        if first != member:
            raise InvariantError(f"{member} and {first} both act as primary of epoch {epoch}")

    def holds_lease(self, holder: str, fencing_token: int) -> None:
        """A member holds a lease."""
        if fencing_token < self._highest_fencing_token:
            raise InvariantError(
                f"{holder} holds token {fencing_token} after {self._highest_fencing_token} was in use"
            )
        if self._holder_of.setdefault(fencing_token, holder) != holder:
            raise InvariantError(
                f"{holder} holds token {fencing_token}, which is {self._holder_of[fencing_token]}'s"
            )
        self._highest_fencing_token = fencing_token

    def starts_action_under_lease(self, now: float, holder: str, target: str) -> None:
        """A member starts an action on `target` under a lease.

        The action may arrive up to `ACTION_DELIVERY_S` from now.
        """
        acted_by = self._action_starts.setdefault(target, {})
        for other, at in acted_by.items():
            if other != holder and now - at < self._lease_term_s + ACTION_DELIVERY_S:
                raise InvariantError(
                    f"{holder} starts an action on {target} {now - at:.3f} s after {other}; the term is "
                    f"{self._lease_term_s} s, an action may arrive {ACTION_DELIVERY_S} s later"
                )
        acted_by[holder] = now
        self.lease_action_count += 1
