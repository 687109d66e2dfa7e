"""One process of the replicated control state: a witness, a replica and the leases behind one interface."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from random import Random

from .ballot import Ballot
from .candidate import Candidate
from .effects import Effects, NotPrimary, Role, Ticket
from .follower import Follower
from .identity import establish
from .leadership import Leadership
from .lease import Lease, LeaseHolder
from .lease_witness import LeaseWitness
from .messages import (
    Accept,
    Accepted,
    Append,
    AppendReply,
    DecodeError,
    Envelope,
    Heartbeat,
    HeartbeatReply,
    Install,
    Join,
    LeaseAnswer,
    LeaseAsk,
    LeaseRelease,
    Message,
    Prepare,
    Probe,
    ProbeReply,
    Promise,
    TakeOver,
    decode,
)
from .outbox import Outbox
from .planning import failover_view, next_view, same_view
from .ports import Ports
from .replica import Replica
from .settings import MemberSettings
from .tickets import Tickets
from .view import View
from .witness import Witness

log = logging.getLogger(__name__)

REVIEW_SECONDS = 0.05  # between two looks of the primary at whether the view should change
DISK_RETRY_SECONDS = 5.0  # after a failed compaction


class Member:
    """Fed messages and time; every call returns what the caller has to do. Not thread safe.

    `snapshot` gives the caller's state as of the last record that an Effects has handed to it; it is asked at
    the beginning of a tick, when all Effects returned before must have been carried out. Times are seconds on
    a monotonic clock that counts time spent frozen."""

    def __init__(self, settings: MemberSettings, ports: Ports, snapshot: Callable[[], bytes],
                 random: Random) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._snapshot = snapshot
        self._random = random
        self._witness = Witness(ports.witness)
        self._lease_witness = LeaseWitness(ports.leases, settings.lease_term)
        self._identity = establish(ports.identity, settings, self._witness, self._lease_witness)
        self._me = self._identity.id
        self._replica = Replica(ports.journal)
        self._outbox = Outbox(self._me, settings.address)
        self._candidate = Candidate(self._me, self._outbox, self._timing, random)
        self._follower = self._new_follower(0.0)
        self._leading: Leadership | None = None
        self._tickets = Tickets()
        self._holders: dict[str, LeaseHolder] = {}
        self._contacts: tuple[str, ...] = settings.seeds
        self._taken: set[str] = set()
        self._effects = Effects()
        self._role = Role.LEARNER
        self._delivered = 0
        self._now = 0.0
        self._review_at = 0.0
        self._compact_at = 0.0
        self._rests_until = 0.0
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
        return self._leading is not None and self._leading.is_ready

    @property
    def primary(self) -> str | None:
        """The rpc address of the primary, as far as it is known and was heard lately."""
        if self._leading is not None:
            return self._settings.address
        view = self._witness.view
        if view is None or view.primary == self._me or not self._follower.hears_primary(self._now):
            return None
        return self._outbox.address_of(view.primary)

    @property
    def view(self) -> View | None:
        """The last view that this member has accepted."""
        return self._leading.view if self._leading is not None else self._witness.view

    @property
    def committed_index(self) -> int:
        """The newest record known to be acknowledged."""
        return self._replica.committed

    @property
    def last_index(self) -> int:
        """The newest record of the log, acknowledged or not."""
        return self._replica.last_index

    @property
    def acting_epoch(self) -> int | None:
        """The epoch in which this member acts as primary; None if it does not."""
        return None if self._leading is None else self._leading.view.epoch

    def progress(self) -> tuple[object, ...]:
        """What is kept in memory only, times left out; for explorations that compare states."""
        ballot = self._candidate.ballot
        return (self._replica.committed, self._candidate.highest_epoch,
                None if ballot is None else ballot.progress(),
                None if self._leading is None else self._leading.progress())

    # ---- calls ----

    def start(self, now: float) -> Effects:
        """Once, before any other call. Hands out the snapshot on the disk, if there is one."""
        self._now = now
        self._follower = self._new_follower(now)
        index, _, snapshot = self._replica.snapshot()
        if index:
            self._effects.installed = (index, snapshot)
        self._delivered = index
        view = self._witness.view
        if view is not None:
            self._learn_addresses(view)
        if not self._identity.is_new:
            self._lease_witness.restarted(now)
        elif view is not None and view.primary == self._me:
            self._lead(now, view)
        return self._finish(now)

    def receive(self, now: float, envelope: Envelope) -> Effects:
        """A message from another member; what cannot be read or is not for this member is dropped."""
        self._observe(now)
        if envelope.receiver not in ("", self._me) or envelope.sender == self._me:
            return self._finish(now)
        try:
            message, address = decode(envelope.kind, envelope.body)
        except DecodeError as error:
            log.warning("dropping a message: %s", error)
            return self._finish(now)
        self._meet(envelope.sender, address)
        return self._guarded(now, lambda: self._handle(now, envelope.sender, message))

    def tick(self, now: float) -> Effects:
        """Timers; at least every 20 ms."""
        self._observe(now)
        return self._guarded(now, lambda: self._on_tick(now))

    def propose(self, now: float, record: bytes) -> tuple[Ticket, Effects]:
        """Appends a record. Raises NotPrimary, or OSError of the journal; then nothing is promised. Until the
        ticket is done the record may or may not become acknowledged."""
        self._observe(now)
        if self._leading is None or not self._leading.is_ready:
            raise NotPrimary(f"{self._me} is not primary; send this to {self.primary or 'another member'}")
        try:
            index = self._replica.append(self._leading.view.epoch, record)
        except OSError as error:
            self._disk_trouble(now, error)
            raise
        ticket = self._tickets.proposal(index)
        self._leading.replicate(now)
        return ticket, self._finish(now)

    def confirm(self, now: float) -> tuple[Ticket, Effects]:
        """Done once it is proven that nobody else has acknowledged anything before this call. Raises
        NotPrimary."""
        self._observe(now)
        if self._leading is None:
            raise NotPrimary(f"{self._me} is not primary; send this to {self.primary or 'another member'}")
        self._leading.heartbeat(now)
        ticket = self._tickets.read(self._leading.round)
        return ticket, self._finish(now)

    def step_down(self, now: float) -> Effects:
        """Hands the primary's role to a backup, gives up leases, and stands for neither for some seconds.
        What is proposed and not acknowledged fails as possibly taken."""
        self._observe(now)
        self._rest(now)
        return self._finish(now)

    def lease(self, now: float, name: str) -> Lease | None:
        """The lease, if it is held and may be acted on now; otherwise it is asked for from now on."""
        holder = self._holders.get(name)
        if holder is None:
            holder = LeaseHolder(name, self._me, self._settings, self._outbox, self._random)
            self._holders[name] = holder
        return holder.lease(now)

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
                self._on_heartbeat_reply(now, sender, message)
            case Append():
                self._follower.append(now, sender, message)
            case Install():
                self._on_install(now, sender, message)
            case AppendReply():
                if self._leading is not None:
                    self._leading.append_reply(now, sender, message)
            case Probe():
                self._on_probe(now, sender, message)
            case ProbeReply():
                self._on_probe_reply(now, sender, message)
            case Prepare():
                self._on_prepare(sender, message)
            case Promise():
                self._on_promise(now, sender, message)
            case Accept():
                self._on_accept(now, sender, message)
            case Accepted():
                self._on_accepted(sender, message)
            case Join():
                self._on_join(now, sender, message)
            case TakeOver():
                self._on_take_over(now, message)
            case LeaseAsk():
                answer = self._lease_witness.ask(now, sender, message, self._witness.view)
                self._outbox.send(sender, answer)
            case LeaseAnswer():
                self._on_lease_answer(now, sender, message)
            case LeaseRelease():
                self._on_lease_release(now, sender, message)

    def _on_heartbeat_reply(self, now: float, sender: str, reply: HeartbeatReply) -> None:
        self._candidate.see_epoch(reply.promised)
        if reply.view is not None:
            self._adopt(now, reply.view)
        if self._leading is not None:
            self._leading.heartbeat_reply(now, sender, reply)

    def _on_install(self, now: float, sender: str, message: Install) -> None:
        installed = self._follower.install(now, sender, message)
        if installed is not None:
            self._effects.installed = installed
            self._effects.committed = []
            self._delivered = installed[0]

    def _on_probe(self, now: float, sender: str, probe: Probe) -> None:
        view = self._witness.view
        granted = view is None or view.primary == sender or not self._follower.hears_primary(now)
        if self._leading is not None and sender != self._me and self._leading.has_contact(now):
            granted = False
        self._outbox.send(sender, ProbeReply(probe.round, granted, self._witness.promised, view))

    def _on_probe_reply(self, now: float, sender: str, reply: ProbeReply) -> None:
        self._candidate.see_epoch(reply.promised)
        if reply.view is not None:
            self._adopt(now, reply.view)
        if reply.granted and self._leading is None:
            self._candidate.probe_granted(now, sender, reply.round)

    def _on_prepare(self, sender: str, prepare: Prepare) -> None:
        granted = self._witness.promise(prepare.epoch, sender)
        self._candidate.see_epoch(self._witness.promised)
        self._outbox.send(sender, Promise(prepare.epoch, granted, self._witness.promised, self._witness.view))

    def _on_promise(self, now: float, sender: str, promise: Promise) -> None:
        self._candidate.see_epoch(promise.promised)
        ballot = self._candidate.ballot
        if ballot is None or ballot.epoch != promise.epoch:
            return
        if promise.granted:
            ballot.promise(now, sender, promise)
        elif promise.promised > ballot.epoch:
            self._candidate.abandon(now)

    def _on_accept(self, now: float, sender: str, message: Accept) -> None:
        granted = self._accept(now, message.view)
        self._outbox.send(sender, Accepted(message.view.epoch, granted, self._witness.promised))

    def _on_accepted(self, sender: str, reply: Accepted) -> None:
        self._candidate.see_epoch(reply.promised)
        ballot = self._candidate.ballot
        if ballot is not None and ballot.epoch == reply.epoch and reply.granted:
            ballot.accept(sender)

    def _on_join(self, now: float, sender: str, join: Join) -> None:
        self._meet(join.member, join.address)
        if self._leading is not None:
            self._leading.join(now, join.member)
        elif sender == join.member and self._follower.hears_primary(now) and self._witness.view is not None:
            self._outbox.send(self._witness.view.primary, join)

    def _on_take_over(self, now: float, message: TakeOver) -> None:
        view = self._witness.view
        if view is not None and view.epoch == message.epoch and self._may_stand(now, view):
            self._candidate.start(now, view)

    def _on_lease_answer(self, now: float, sender: str, answer: LeaseAnswer) -> None:
        if answer.view is not None:
            self._adopt(now, answer.view)
        holder = self._holders.get(answer.name)
        if holder is not None:
            holder.answer(now, sender, answer, self._rank())

    def _on_lease_release(self, now: float, sender: str, message: LeaseRelease) -> None:
        self._lease_witness.release(sender, message)
        holder = self._holders.get(message.name)
        if holder is not None and sender != self._me:
            holder.vacated(now, self._rank())

    # ---- views ----

    def _accept(self, now: float, view: View) -> bool:
        before = self._witness.view
        if not self._witness.accept(view):
            return False
        self._learn_addresses(view)
        if before is not None and before.epoch == view.epoch:
            return True
        if self._me in view.witnesses and (before is None or self._me not in before.former_witnesses):
            self._lease_witness.seated(now)
        if view.primary != self._me:
            self._resign(now, f"{view.primary} formed view {view.epoch}")
        return True

    def _adopt(self, now: float, view: View) -> None:
        """A view that another member has accepted."""
        self._candidate.see_epoch(view.epoch)
        if self._witness.view is None or view.epoch > self._witness.view.epoch:
            self._accept(now, view)

    def _lead(self, now: float, view: View) -> None:
        self._candidate.ballot = None
        self._leading = Leadership(self._me, view, self._replica, self._outbox, self._settings, now,
                                   self._leading)
        log.info("primary of view %d with backups %s, witnesses %s", view.epoch, view.backups, view.witnesses)
        self._leading.heartbeat(now)
        self._leading.replicate(now)

    def _resign(self, now: float, reason: str) -> None:
        if self._leading is None:
            return
        log.info("no longer primary of view %d: %s", self._leading.view.epoch, reason)
        self._leading = None
        self._candidate.abandon(now)
        self._tickets.fail(reason, self._effects)
        self._follower.heard_at = now

    def _may_stand(self, now: float, view: View) -> bool:
        return self._me in view.in_sync and now >= self._rests_until and self._leading is None \
            and self._candidate.ballot is None

    def _rest(self, now: float) -> None:
        self._rests_until = now + self._timing.rest
        if self._leading is not None:
            successor = self._leading.successor(now)
            if successor is not None:
                self._outbox.send(successor, TakeOver(self._leading.view.epoch))
            self._resign(now, "stepped down")
        for holder in self._holders.values():
            holder.release(now, self.view, self._timing.rest)

    # ---- time ----

    def _on_tick(self, now: float) -> None:
        self._compact(now)
        self._candidate.tick(now)
        view = self._witness.view
        if self._leading is not None:
            self._tick_leading(now, self._leading)
        elif view is None or self._me not in view.in_sync:
            self._follower.ask_to_join(now, self._contacts)
        elif self._may_stand(now, view) and now >= self._follower.suspects_at(view):
            self._candidate.see_epoch(self._witness.promised)
            self._candidate.probe(now, view)
        for holder in self._holders.values():
            holder.tick(now, self._witness.view, self._rank())

    def _tick_leading(self, now: float, leading: Leadership) -> None:
        if not leading.has_contact(now):
            self._resign(now, "a quorum of the witnesses has not answered for long")
            return
        leading.tick(now)
        if self._candidate.ballot is None and now >= self._review_at:
            self._review_at = now + REVIEW_SECONDS
            self._review(now, leading)

    def _review(self, now: float, leading: Leadership) -> None:
        """Begins a ballot if the view should change, or if another's promise stands in its way."""
        overruled = leading.refused_since is not None and now - leading.refused_since >= self._timing.refused
        standing = leading.standing(now, frozenset(self._taken))
        change = next_view(leading.view.epoch + 1, leading.view, standing, self._settings.survive + 1)
        if change is None and not overruled:
            return
        self._candidate.see_epoch(self._witness.promised)
        self._candidate.start(now, leading.view)

    def _rank(self) -> int:
        view = self._witness.view
        if view is None:
            return 0
        return view.in_sync.index(self._me) if self._me in view.in_sync else len(view.in_sync)

    def _compact(self, now: float) -> None:
        records, size = self._replica.size
        if records < self._settings.compact_records and size < self._settings.compact_bytes:
            return
        if now < self._compact_at or self._delivered < self._replica.first_kept:
            return
        self._compact_at = now + DISK_RETRY_SECONDS
        self._replica.compact(self._delivered, self._snapshot())
        self._compact_at = now

    # ---- after every call ----

    def _finish(self, now: float) -> Effects:
        self._settle(now)
        self._advance(now)
        self._deliver()
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
            if not self._progress_ballot(now) and not own:
                return

    def _progress_ballot(self, now: float) -> bool:
        ballot = self._candidate.ballot
        if ballot is None:
            return False
        if ballot.may_propose(now):
            self._propose_view(now, ballot)
            return True
        if ballot.is_chosen and ballot.proposal is not None:
            self._lead(now, ballot.proposal)
            return True
        return False

    def _propose_view(self, now: float, ballot: Ballot) -> None:
        base = ballot.base
        if self._me not in base.in_sync:
            self._candidate.abandon(now)
            self._resign(now, f"view {base.epoch} was formed without this member")
            return
        view = self._compose(now, ballot)
        if self._leading is not None:
            self._leading.propose(view)
        self._candidate.propose(view)

    def _compose(self, now: float, ballot: Ballot) -> View:
        minimum = self._settings.survive + 1
        leading = self._leading
        if leading is None or ballot.base.epoch != leading.view.epoch:
            return failover_view(ballot.epoch, self._me, ballot.base, ballot.promised, minimum)
        standing = leading.standing(now, frozenset(self._taken))
        change = next_view(ballot.epoch, leading.view, standing, minimum)
        return change if change is not None else same_view(ballot.epoch, leading.view)

    def _advance(self, now: float) -> None:
        """Acknowledges what has enough copies, and reads that are proven."""
        leading = self._leading
        if leading is None:
            return
        commit = leading.commit_index()
        if commit > self._replica.committed:
            self._replica.committed = commit
            leading.heartbeat(now)
        self._tickets.acknowledge(self._replica.committed, self._effects)
        if self._tickets.has_reads and leading.is_ready:
            self_granted = self._witness.promised <= leading.view.epoch
            self._tickets.confirm(leading.proven_round(self_granted), self._replica.committed, self._effects)

    def _deliver(self) -> None:
        if self._replica.committed > self._delivered:
            self._effects.committed.extend(self._replica.read(self._delivered + 1, self._replica.committed))
            self._delivered = self._replica.committed

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
        if now >= self._rests_until:
            log.error("the disk refuses writes (%s): free space in data_dir or replace the disk", error)
        self.disk_error = error
        self._outbox.drain_own()
        self._rest(now)
        self._outbox.drain_own()

    def _new_follower(self, now: float) -> Follower:
        return Follower(self._me, self._settings.address, self._witness, self._replica, self._outbox,
                        self._timing, now)

    def _observe(self, now: float) -> None:
        """Notes the time. After a pause of the process itself, silence of others means nothing."""
        if self._now and now - self._now > self._timing.pause:
            if self._leading is not None:
                self._leading.forgive_silence(now)
            if self._follower.heard_at is not None:
                self._follower.heard_at = now
        self._now = now

    def _meet(self, member: str, address: str) -> None:
        """A member not known before, at an address that was another's, has taken its place: the other's disk
        is gone."""
        if self._outbox.address_of(member) is None:
            self._taken.update(other for other in self._known_at(address) if other != member)
            self._outbox.learn(member, address)
        elif member not in self._taken:
            self._outbox.learn(member, address)

    def _known_at(self, address: str) -> list[str]:
        view = self.view
        if view is None:
            return []
        return [member for member, known in view.addresses.items() if known == address]

    def _learn_addresses(self, view: View) -> None:
        for member, address in view.addresses.items():
            if self._outbox.address_of(member) is None:
                self._outbox.learn(member, address)
