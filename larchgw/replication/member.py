"""One member of the replicated control state: its log, its votes and its leases behind one interface."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from math import inf
from random import Random

import structlog

from ..identifiers import MemberId
from .effects import Effects, PendingCall, Role
from .errors import MessageDecodeError, NotPrimaryError
from .leadership import Leadership
from .lease import Lease
from .lease_actions import ActionHistory
from .member_parts import assemble
from .message_codec import decode
from .message_router import MessageRouter
from .messages import Envelope
from .ports import Ports
from .settings import MemberSettings
from .view import View

log = structlog.get_logger()


class Member:
    """A member of the replicated control state: takes messages and the time, returns effects for the caller.

    The state is a log of records, replicated from a primary to its backups. Each member has three functions
    that are independent of one another:

    - A replica, in the role that the last accepted view gives it: primary (appends, sends and acknowledges
      records), backup (in sync: holds every acknowledged record) or learner (lags behind, or has no data;
      asks to join).
    - A witness, if the view lists it as one: it promises epochs, accepts views and grants leases. A majority
      of the witnesses is a quorum.
    - A candidate, while it tries to form a view: a backup that no longer hears the primary, or the primary
      when it changes its backups or witnesses.

    How the members work together:

    1. A record is appended at the primary, synced, and sent to the backups. It is acknowledged once it is
       durable at the primary and at every backup of the view, that is at `tolerated_failures` + 1 members at
       least. So every member of the in-sync set holds every acknowledged record, and none is lost whichever
       of them becomes the next primary.
    2. A new view leaves out a backup that is silent, and adds a member that has caught up.
    3. A primary that is silent is replaced: a backup asks a quorum whether they have not heard it either
       (pre-vote), and then forms a view in two phases (`view_changes.ViewChanges`).
    4. A read is confirmed by a heartbeat that a quorum grants after the read began. If another view had been
       formed before, a witness of that quorum would have promised its epoch and refused the heartbeat.

    Every call ends with the same steps: the member's own votes are counted, records that have enough copies
    are acknowledged, acknowledged records are delivered to the caller, and the calls that wait for them are
    completed. A message that relies on a failed write is never sent.

    Not thread safe. Times are seconds on a monotonic clock that also counts the time for which the machine is
    suspended.

    Source: Viewstamped Replication Revisited (Liskov and Cowling, 2012); Paxos Made Simple (Lamport, 2001)
    for the choice of views; Leases (Gray and Cheriton, 1989).

    Attributes:
        disk_error: The last failed write; None if no write has failed.
    """

    def __init__(
        self, settings: MemberSettings, ports: Ports, snapshot: Callable[[], bytes], random_source: Random
    ) -> None:
        """Reads the durable state, and creates an identity if there is none.

        Args:
            settings: Settings of the member.
            ports: Its durable storage.
            snapshot: Returns the caller's state as of the last record that an Effects has delivered. It is
                called at the beginning of a tick; the caller must have handled all earlier Effects by then.
            random_source: Source of the random delays that keep candidates from colliding.

        Raises:
            OSError: A new identity cannot be stored.
        """
        self._settings = settings
        self._timing = settings.timing
        self._parts = assemble(settings, ports, snapshot, random_source)
        self._member_id = self._parts.identity.id
        self._router = MessageRouter(self._member_id, self._parts)
        self._contacts: tuple[str, ...] = settings.seeds
        self._last_call_at = 0.0
        self.disk_error: OSError | None = None

    # ---- state ----

    @property
    def id(self) -> MemberId:
        """The durable identity of this member."""
        return self._member_id

    @property
    def is_primary(self) -> bool:
        """Whether this member acts as primary and has acknowledged all records of earlier views.

        It may have been replaced without knowing it; only a completed call proves that it was not.
        """
        leadership = self._parts.role.leadership
        return leadership is not None and leadership.is_ready

    @property
    def primary(self) -> str | None:
        """The RPC address of the primary; None if it is not known or was not heard recently."""
        if self._parts.role.leadership is not None:
            return self._settings.address
        view = self._parts.witness.view
        if view is None or view.primary == self._member_id:
            return None
        if not self._parts.follower.has_recent_primary(self._last_call_at):
            return None
        return self._parts.outbound.address_of(view.primary)

    @property
    def view(self) -> View | None:
        """The view in which this member acts as primary, or else the last view that it has accepted."""
        return self._parts.views.view

    @property
    def committed_index(self) -> int:
        """Index of the newest record known to be acknowledged."""
        return self._parts.replica.committed

    @property
    def last_index(self) -> int:
        """Index of the newest record of the log, acknowledged or not."""
        return self._parts.replica.last_index

    @property
    def has_left(self) -> bool:
        """Whether this member may shut down, after `leave`.

        No acknowledgement needs its copy, it is not primary, and the others are a quorum without it.
        """
        return self._parts.role.leadership is None and self._parts.graceful_leave.is_complete(
            self._parts.witness.view
        )

    @property
    def acting_epoch(self) -> int | None:
        """The epoch in which this member acts as primary; None if it does not."""
        leadership = self._parts.role.leadership
        return None if leadership is None else leadership.view.epoch

    @property
    def discarded_snapshots(self) -> int:
        """Number of received snapshots that were complete but did not match their checksum."""
        return self._parts.follower.incoming.discarded

    def volatile_state(self) -> tuple[object, ...]:
        """The state that is kept in memory only, without times; the model checker compares it."""
        return (
            self._parts.replica.committed,
            *self._parts.views.volatile_state(),
            *self._parts.graceful_leave.volatile_state(),
        )

    def validate_state(self) -> None:
        """Checks the invariants that hold between any two calls. Cheap; only tests call it.

        Raises:
            AssertionError: An invariant does not hold; the message names it.
        """
        parts = self._parts
        view, replica, leadership = parts.witness.view, parts.replica, parts.role.leadership
        assert view is None or view.epoch <= parts.witness.promised, (
            "the accepted view is above the promised epoch"
        )
        assert replica.committed <= replica.last_index, "an acknowledged record is missing from the log"
        assert parts.effects.delivered <= replica.committed, "an unacknowledged record was delivered"
        assert replica.first_index <= replica.committed + 1, "an unacknowledged record was compacted"
        if leadership is not None:
            assert leadership.view.primary == self._member_id, (
                "the member acts as primary of another member's view"
            )
            assert leadership.takeover_index <= replica.last_index, (
                "records of earlier views are missing from the log"
            )

    # ---- calls ----

    def start(self, now: float) -> Effects:
        """Starts the member, before any other call. Delivers the snapshot on the disk, if there is one."""
        parts = self._parts
        self._last_call_at = now
        parts.follower.start(now)
        index, _, snapshot = parts.replica.snapshot()
        parts.effects.start_from(index, snapshot)
        view = parts.witness.view
        if view is not None:
            parts.addresses.update_from_view(view)
        if not parts.identity.is_new:
            parts.lease_acceptor.observe_restart(now)
        elif view is not None and view.primary == self._member_id:
            parts.role.lead(now, view)
        return self._finish(now)

    def receive(self, now: float, envelope: Envelope) -> Effects:
        """Handles a message of another member; drops it if it is invalid or meant for another receiver."""
        self._observe_time(now)
        if envelope.receiver not in ("", self._member_id) or envelope.sender == self._member_id:
            return self._finish(now)
        try:
            message, address = decode(envelope.kind, envelope.body)
        except MessageDecodeError as error:
            log.warning("replication.message_undecodable", error=str(error))
            return self._finish(now)
        self._parts.addresses.record_sender(envelope.sender, address, self.view)
        return self._guarded(now, lambda: self._router.handle(now, envelope.sender, message))

    def tick(self, now: float) -> Effects:
        """Runs timers; must be called at least every 20 ms."""
        self._observe_time(now)
        return self._guarded(now, lambda: self._run_timers(now))

    def propose(self, now: float, record: bytes) -> tuple[PendingCall, Effects]:
        """Appends a record. Until the call is done the record may or may not become acknowledged.

        Raises:
            NotPrimaryError: This member is not primary, or has not yet acknowledged all records of earlier
                views.
            OSError: The record cannot be stored, and is not sent to any member.
        """
        self._observe_time(now)
        leadership = self._parts.role.leadership
        if leadership is None or not leadership.is_ready:
            raise NotPrimaryError(self._member_id, self.primary)
        try:
            index = self._parts.replica.append(leadership.view.epoch, record)
        except OSError as error:
            self._handle_disk_error(now, error)
            raise
        call = self._parts.effects.add_proposal(index)
        leadership.replicate(now)
        return call, self._finish_call(now)

    def confirm(self, now: float) -> tuple[PendingCall, Effects]:
        """Begins a read; done once it is proven that no other primary acknowledged a record before this call.

        Raises:
            NotPrimaryError: This member is not primary.
            OSError: One of this member's own votes cannot be stored; then the read is not confirmed.
        """
        self._observe_time(now)
        leadership = self._parts.role.leadership
        if leadership is None:
            raise NotPrimaryError(self._member_id, self.primary)
        leadership.heartbeat(now)
        call = self._parts.effects.add_read(leadership.round)
        return call, self._finish_call(now)

    def step_down(self, now: float) -> Effects:
        """Hands the primary role to a backup, gives up all leases, and seeks neither for some seconds.

        Proposals that are not acknowledged yet fail as possibly committed.
        """
        self._observe_time(now)
        return self._guarded(now, lambda: self._give_up_roles(now, self._timing.step_down_pause_s))

    def leave(self, now: float) -> Effects:
        """Prepares a planned shutdown. Call `tick` until `has_left`; it is safe to stop earlier.

        Hands over as `step_down` does, but permanently, and asks to be left out of the in-sync set. The
        member keeps its vote.
        """
        self._observe_time(now)
        self._parts.graceful_leave.begin()
        return self._guarded(now, lambda: self._begin_leaving(now))

    def lease(self, now: float, name: str) -> Lease | None:
        """The lease, if it is held and actions under it are allowed now.

        Otherwise this member starts to request the lease, unless it is leaving.
        """
        if self._parts.graceful_leave.has_begun:
            return None
        return self._parts.leases.lease(now, name)

    def announce(self, now: float, name: str, targets: Sequence[str]) -> tuple[PendingCall, Effects]:
        """Announces an action on `targets` under the lease `name`.

        Once the call is done, `action_permitted_until` returns until when the action may be started. The call
        fails if the lease is not held or no quorum of witnesses answers.

        Raises:
            OSError: This member is one of the witnesses and cannot store the lease.
        """
        self._observe_time(now)
        call = self._parts.leases.announce(now, name, targets, self._parts.witness.view)
        return call, self._finish_call(now)

    def action_permitted_until(self, now: float, name: str, target: str) -> float:
        """Until when an action on `target` may be started; minus infinity if it may not.

        Must be checked before each action.
        """
        return self._parts.leases.action_permitted_until(now, name, target)

    def target_free_at(self, name: str, target: str) -> float:
        """From when on this holder may act on `target`, on which another holder may have acted recently."""
        return self._parts.leases.target_free_at(name, target)

    def action_history(self, name: str) -> ActionHistory:
        """The actions under the lease before this member held it, as far as witnesses remember them."""
        return self._parts.leases.action_history(name)

    def set_contacts(self, addresses: Iterable[str]) -> None:
        """Sets further RPC addresses, besides the seeds, at which this member may ask to join."""
        self._contacts = tuple(dict.fromkeys((*addresses, *self._settings.seeds)))

    # ---- time ----

    def _run_timers(self, now: float) -> None:
        parts = self._parts
        leadership = parts.role.leadership
        is_sending_snapshot = leadership is not None and leadership.is_sending_snapshot
        parts.compaction.tick(now, parts.effects.delivered, is_sending_snapshot)
        parts.views.tick(now, self._contacts, parts.graceful_leave.has_begun)
        if parts.graceful_leave.has_begun:
            parts.graceful_leave.request(now, parts.witness.view)
        parts.leases.tick(now, parts.witness.view, self._router.lease_rank)

    def _observe_time(self, now: float) -> None:
        """Records the time. After a pause of this process the silence of other members proves nothing."""
        if self._last_call_at and now - self._last_call_at > self._timing.process_pause_s:
            self._parts.views.restart_timeouts(now)
        self._last_call_at = now

    def _begin_leaving(self, now: float) -> None:
        self._give_up_roles(now, inf)
        self._parts.graceful_leave.request(now, self._parts.witness.view)

    def _give_up_roles(self, now: float, pause_s: float) -> None:
        self._parts.role.step_down(now, pause_s)
        self._parts.leases.give_up_all(now, self.view, pause_s)

    # ---- after every call ----

    def _finish(self, now: float) -> Effects:
        parts = self._parts
        self._process_own_messages(now)
        leadership = parts.role.leadership
        if leadership is not None:
            self._advance_commit(now, leadership)
        parts.effects.deliver()
        if leadership is not None:
            parts.effects.complete_calls(leadership, parts.witness.promised <= leadership.view.epoch)
        parts.effects.update_role(self._current_role())
        return parts.effects.take(parts.outbound)

    def _finish_call(self, now: float) -> Effects:
        """Like `_finish`, but raises an OSError to the caller after handling it."""
        try:
            return self._finish(now)
        except OSError as error:
            self._handle_disk_error(now, error)
            raise

    def _process_own_messages(self, now: float) -> None:
        """Handles this member's messages to itself, and advances its view change as far as possible."""
        while True:
            own_messages = self._parts.outbound.drain_to_self()
            for message in own_messages:
                self._router.handle(now, self._member_id, message)
            if not self._parts.views.advance(now) and not own_messages:
                return

    def _advance_commit(self, now: float, leadership: Leadership) -> None:
        """Acknowledges the records that have enough copies, and informs the backups."""
        index = leadership.commit_index()
        if index > self._parts.replica.committed:
            self._parts.replica.committed = index
            leadership.heartbeat(now)

    def _current_role(self) -> Role:
        if self.is_primary:
            return Role.PRIMARY
        view = self._parts.witness.view
        if view is not None and self._member_id in view.in_sync:
            return Role.BACKUP
        return Role.LEARNER

    def _guarded(self, now: float, work: Callable[[], None]) -> Effects:
        """Runs `work`; after a failed write, drops the messages that rely on it."""
        try:
            work()
            return self._finish(now)
        except OSError as error:
            self._handle_disk_error(now, error)
        return self._parts.effects.take(self._parts.outbound)

    def _handle_disk_error(self, now: float, error: OSError) -> None:
        if now >= self._parts.role.no_candidacy_until:
            log.error(
                "disk.write_failed", error=str(error), remedy="free space in data_dir or replace the disk"
            )
        self.disk_error = error
        self._parts.outbound.drain_to_self()
        self._give_up_roles(now, self._timing.step_down_pause_s)
        self._parts.outbound.drain_to_self()
