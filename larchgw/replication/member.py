"""One process of the replicated control state: a witness, a replica and the leases behind one interface."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf
from random import Random

import structlog

from .candidate import Candidate
from .compaction import Compaction
from .effects import Effects, NotPrimary, Role, Ticket
from .follower import Follower
from .graceful_leave import Departure
from .identity import establish
from .lease import Lease
from .lease_acceptor import LeaseWitness
from .lease_table import Leases
from .member_addresses import Roster
from .message_codec import DecodeError, decode
from .messages import (
    Accept,
    Accepted,
    Append,
    AppendReply,
    Envelope,
    Heartbeat,
    HeartbeatReply,
    Install,
    InstallReply,
    Join,
    LeaseAnswer,
    LeaseAsk,
    LeaseRelease,
    Leave,
    Left,
    Message,
    Prepare,
    Probe,
    ProbeReply,
    Promise,
    TakeOver,
)
from .outbound_messages import Outbox
from .pending_proposals import Tickets
from .ports import Ports
from .replica import Replica
from .settings import MemberSettings
from .view import View
from .view_changes import ViewChanges
from .witness import Witness

log = structlog.get_logger()


class Member:
    """Fed messages and time; every call returns what the caller has to do. Not thread safe.

    `snapshot` gives the caller's state as of the last record that an Effects has handed to it; it is asked at
    the beginning of a tick, when all Effects returned before must have been carried out. Times are seconds on
    a monotonic clock that counts time spent frozen."""

    def __init__(
        self, settings: MemberSettings, ports: Ports, snapshot: Callable[[], bytes], random: Random
    ) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._witness = Witness(ports.witness)
        self._lease_witness = LeaseWitness(ports.leases, settings.lease_term)
        self._identity = establish(ports.identity, settings, self._witness, self._lease_witness)
        self._me = self._identity.id
        self._replica = Replica(ports.journal)
        self._outbox = Outbox(self._me, settings.address)
        self._roster = Roster(self._outbox)
        self._follower = Follower(
            self._me, settings.address, self._witness, self._replica, self._outbox, self._timing
        )
        candidate = Candidate(self._me, self._outbox, self._timing, random)
        self._views = ViewChanges(
            self._me,
            settings,
            self._witness,
            self._lease_witness,
            self._replica,
            self._outbox,
            self._roster,
            self._follower,
            candidate,
            self._fail_tickets,
        )
        self._leases = Leases(self._me, self._lease_witness, settings, self._outbox, random)
        self._compaction = Compaction(self._replica, settings, snapshot)
        self._departure = Departure(self._me, self._outbox, self._timing)
        self._tickets = Tickets()
        self._contacts: tuple[str, ...] = settings.seeds
        self._effects = Effects()
        self._role = Role.LEARNER
        self._delivered = 0
        self._now = 0.0
        self.disk_error: OSError | None = None

    # ---- what is known ----

    @property
    def id(self) -> str:
        """The durable identity of this member."""
        return self._me

    @property
    def is_primary(self) -> bool:
        """Whether this member acts as primary and everything it took over is acknowledged. It may have been
        replaced without knowing: only a done ticket proves anything."""
        return self._views.leading is not None and self._views.leading.is_ready

    @property
    def primary(self) -> str | None:
        """The rpc address of the primary, as far as it is known and was heard lately."""
        if self._views.leading is not None:
            return self._settings.address
        view = self._witness.view
        if view is None or view.primary == self._me or not self._follower.hears_primary(self._now):
            return None
        return self._outbox.address_of(view.primary)

    @property
    def view(self) -> View | None:
        """The last view that this member has accepted."""
        return self._views.view

    @property
    def committed_index(self) -> int:
        """The newest record known to be acknowledged."""
        return self._replica.committed

    @property
    def last_index(self) -> int:
        """The newest record of the log, acknowledged or not."""
        return self._replica.last_index

    @property
    def has_left(self) -> bool:
        """Whether, after `leave`, no acknowledgement needs this member's copy, it has no role, and the others
        are enough to decide without it."""
        return self._views.leading is None and self._departure.is_over(self._witness.view)

    @property
    def acting_epoch(self) -> int | None:
        """The epoch in which this member acts as primary; None if it does not."""
        return None if self._views.leading is None else self._views.leading.view.epoch

    @property
    def discarded_snapshots(self) -> int:
        """Snapshots that came whole and did not agree with their checksum."""
        return self._follower.incoming.discarded

    def progress(self) -> tuple[object, ...]:
        """What is kept in memory only, times left out; for explorations that compare states."""
        return (self._replica.committed, *self._views.progress(), *self._departure.progress())

    # ---- calls ----

    def start(self, now: float) -> Effects:
        """Once, before any other call. Hands out the snapshot on the disk, if there is one."""
        self._now = now
        self._follower.start(now)
        index, _, snapshot = self._replica.snapshot()
        if index:
            self._effects.installed = (index, snapshot)
        self._delivered = index
        view = self._witness.view
        if view is not None:
            self._roster.learn(view)
        if not self._identity.is_new:
            self._lease_witness.restarted(now)
        elif view is not None and view.primary == self._me:
            self._views.lead(now, view)
        return self._finish(now)

    def receive(self, now: float, envelope: Envelope) -> Effects:
        """A message from another member; what cannot be read or is not for this member is dropped."""
        self._observe(now)
        if envelope.receiver not in ("", self._me) or envelope.sender == self._me:
            return self._finish(now)
        try:
            message, address = decode(envelope.kind, envelope.body)
        except DecodeError as error:
            log.warning("replication.message_undecodable", error=str(error))
            return self._finish(now)
        self._roster.meet(envelope.sender, address, self.view)
        return self._guarded(now, lambda: self._handle(now, envelope.sender, message))

    def tick(self, now: float) -> Effects:
        """Timers; at least every 20 ms."""
        self._observe(now)
        return self._guarded(now, lambda: self._on_tick(now))

    def propose(self, now: float, record: bytes) -> tuple[Ticket, Effects]:
        """Appends a record. Raises NotPrimary, or OSError of the journal; then nothing is promised. Until the
        ticket is done the record may or may not become acknowledged."""
        self._observe(now)
        if self._views.leading is None or not self._views.leading.is_ready:
            raise NotPrimary(f"{self._me} is not primary; send this to {self.primary or 'another member'}")
        try:
            index = self._replica.append(self._views.leading.view.epoch, record)
        except OSError as error:
            self._disk_trouble(now, error)
            raise
        ticket = self._tickets.proposal(index)
        self._views.leading.replicate(now)
        return ticket, self._finish(now)

    def confirm(self, now: float) -> tuple[Ticket, Effects]:
        """Done once it is proven that nobody else has acknowledged anything before this call. Raises
        NotPrimary."""
        self._observe(now)
        if self._views.leading is None:
            raise NotPrimary(f"{self._me} is not primary; send this to {self.primary or 'another member'}")
        self._views.leading.heartbeat(now)
        ticket = self._tickets.read(self._views.leading.round)
        return ticket, self._finish(now)

    def step_down(self, now: float) -> Effects:
        """Hands the primary's role to a backup, gives up leases, and stands for neither for some seconds.
        What is proposed and not acknowledged fails as possibly taken."""
        self._observe(now)
        self._rest(now, self._timing.rest)
        return self._finish(now)

    def leave(self, now: float) -> Effects:
        """A planned end is ahead: hands over as `step_down` does, for good, and asks to be left out of the
        in-sync set until `has_left`. The vote stays. To be followed by ticks; safe to be cut short."""
        self._observe(now)
        self._departure.begin()
        self._rest(now, inf)
        self._departure.ask(now, self._witness.view)
        return self._finish(now)

    def lease(self, now: float, name: str) -> Lease | None:
        """The lease, if it is held and may be acted on now; otherwise it is asked for from now on, unless
        this member leaves."""
        if self._departure.has_begun:
            return None
        return self._leases.lease(now, name)

    def set_contacts(self, addresses: Iterable[str]) -> None:
        """Rpc addresses of other members known from elsewhere, to be asked for admission besides the
        seeds."""
        self._contacts = tuple(dict.fromkeys((*addresses, *self._settings.seeds)))

    # ---- messages ----

    def _handle(self, now: float, sender: str, message: Message) -> None:
        match message:
            case Heartbeat():
                self._follower.heartbeat(now, sender, message)
            case HeartbeatReply():
                self._views.heartbeat_reply(now, sender, message)
            case Append():
                self._follower.append(now, sender, message)
            case Install():
                self._on_install(now, sender, message)
            case InstallReply():
                if self._views.leading is not None:
                    self._views.leading.install_reply(now, sender, message)
            case AppendReply():
                if self._views.leading is not None:
                    self._views.leading.append_reply(now, sender, message)
            case Probe():
                self._views.probe(now, sender, message)
            case ProbeReply():
                self._views.probe_reply(now, sender, message)
            case Prepare():
                self._views.prepare(sender, message)
            case Promise():
                self._views.promise(now, sender, message)
            case Accept():
                self._views.accept(now, sender, message)
            case Accepted():
                self._views.accepted(sender, message)
            case Join():
                self._on_join(now, sender, message)
            case Leave():
                self._views.leave(now, sender, message)
            case Left():
                self._departure.agreed(message)
            case TakeOver():
                self._views.take_over(now, message)
            case LeaseAsk():
                self._leases.ask(now, sender, message, self._witness.view)
            case LeaseAnswer():
                if message.view is not None:
                    self._views.adopt(now, message.view)
                self._leases.answer(now, sender, message, self._rank())
            case LeaseRelease():
                self._leases.release(now, sender, message, self._rank())

    def _on_install(self, now: float, sender: str, message: Install) -> None:
        installed = self._follower.install(now, sender, message)
        if installed is not None:
            self._effects.installed = installed
            self._effects.committed = []
            self._delivered = installed[0]

    def _on_join(self, now: float, sender: str, join: Join) -> None:
        self._roster.meet(join.member, join.address, self.view)
        self._views.join(now, join)
        if self._views.leading is not None:
            return
        if sender == join.member and self._follower.hears_primary(now) and self._witness.view is not None:
            self._outbox.send(self._witness.view.primary, join)

    # ---- time ----

    def _on_tick(self, now: float) -> None:
        leading = self._views.leading
        is_sending = leading is not None and leading.is_sending_snapshot
        self._compaction.tick(now, self._delivered, is_sending)
        self._views.tick(now, self._contacts, self._departure.has_begun)
        if self._departure.has_begun:
            self._departure.ask(now, self._witness.view)
        self._leases.tick(now, self._witness.view, self._rank())

    def _rank(self) -> int:
        view = self._witness.view
        if view is None:
            return 0
        return view.in_sync.index(self._me) if self._me in view.in_sync else len(view.in_sync)

    def _rest(self, now: float, seconds: float) -> None:
        self._views.rest(now, seconds)
        self._leases.rest(now, self.view, seconds)

    def _fail_tickets(self, reason: str) -> None:
        self._tickets.fail(reason, self._effects)

    # ---- after every call ----

    def _finish(self, now: float) -> Effects:
        self._settle(now)
        self._advance(now)
        self._deliver()
        self._complete()
        self._note_role()
        effects, self._effects = self._effects, Effects()
        effects.messages = self._outbox.drain()
        return effects

    def _settle(self, now: float) -> None:
        """Own votes, and the ballot as far as it has come."""
        while True:
            own = self._outbox.drain_own()
            for message in own:
                self._handle(now, self._me, message)
            if not self._views.progress_ballot(now) and not own:
                return

    def _advance(self, now: float) -> None:
        """Counts as acknowledged what has enough copies."""
        leading = self._views.leading
        if leading is None:
            return
        commit = leading.commit_index()
        if commit > self._replica.committed:
            self._replica.committed = commit
            leading.heartbeat(now)

    def _deliver(self) -> None:
        """Hands out acknowledged records, a few at a time where the state is large: the caller needs time for
        each, and heartbeats must go on meanwhile."""
        if self._delivered >= self._replica.committed:
            return
        most = max(1, self._settings.deliver_bytes // max(1, self._replica.state_bytes))
        last = min(self._replica.committed, self._delivered + most)
        self._effects.committed.extend(self._replica.read(self._delivered + 1, last))
        self._delivered = last

    def _complete(self) -> None:
        """Ends the calls whose records have been handed out, and the reads that are proven."""
        leading = self._views.leading
        if leading is None:
            return
        self._tickets.acknowledge(self._delivered, self._effects)
        has_all = leading.is_ready and self._delivered == self._replica.committed
        if self._tickets.has_reads and has_all:
            self_granted = self._witness.promised <= leading.view.epoch
            self._tickets.confirm(leading.proven_round(self_granted), self._replica.committed, self._effects)

    def _note_role(self) -> None:
        view = self._witness.view
        if self.is_primary:
            role = Role.PRIMARY
        elif view is not None and self._me in view.in_sync:
            role = Role.BACKUP
        else:
            role = Role.LEARNER
        if role is not self._role:
            self._role = self._effects.role = role

    def _guarded(self, now: float, work: Callable[[], None]) -> Effects:
        """Nothing that a failed write was to make durable is sent."""
        try:
            work()
            return self._finish(now)
        except OSError as error:
            self._disk_trouble(now, error)
        effects, self._effects = self._effects, Effects()
        effects.messages = self._outbox.drain()
        return effects

    def _disk_trouble(self, now: float, error: OSError) -> None:
        if now >= self._views.rests_until:
            log.error(
                "disk.write_failed", error=str(error), remedy="free space in data_dir or replace the disk"
            )
        self.disk_error = error
        self._outbox.drain_own()
        self._rest(now, self._timing.rest)
        self._outbox.drain_own()

    def _observe(self, now: float) -> None:
        """Notes the time. After a pause of the process itself, silence of others means nothing."""
        if self._now and now - self._now > self._timing.pause:
            self._views.forgive_silence(now)
        self._now = now
