"""The membership protocol of one process: SWIM with Lifeguard's additions. Pure: fed datagrams and time.

What happens in a probe period: the next member of a shuffled round is sent a ping. Without an answer in the
probe timeout, a few others are asked to ping it. Without any answer by the end of the period it is suspect,
and is declared dead unless it refutes that in time. Updates ride on all datagrams.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import structlog

from .codec import Cursor, DecodeError, Draft, Kind, Message, Update, decode, encode_update, valid_address
from .local_health import LocalHealth
from .member import Member, MemberState, Role, check_member
from .member_states import Knowledge
from .probing import Probe, Relays
from .seeds import Seeds
from .settings import SwimSettings
from .synchronisation import Synchronisation

log = structlog.get_logger()

LEAVE_COPIES = 8  # members told of a planned end at once; they pass it on
SEQUENCE_MASK = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class Datagram:
    """To be sent to `address` ("host:port")."""

    address: str
    data: bytes


class Swim:
    """One process's part in the protocol.

    `receive` and `tick` return the datagrams to send; `tick` must be called every 0.1 s. Times are seconds on
    a clock that goes on while the process is frozen. Raises InvalidMemberError if `me` cannot be described.
    """

    def __init__(self, me: Member, settings: SwimSettings, random: Random) -> None:
        check_member(me)
        self._settings = settings
        self._random = random
        self._health = LocalHealth(settings.max_local_health_score)
        self._knowledge = Knowledge(me, settings, random, self._health)
        self._table = self._knowledge.table
        self._seeds = Seeds(settings, random)
        self._pull = Synchronisation(settings, random)
        self._relays = Relays()
        self._probe: Probe | None = None
        self._failed_sequence: int | None = None
        self._sequence = random.getrandbits(32)
        self._ran_at: float | None = None
        self._probe_at = 0.0
        self._gossip_at = 0.0
        self._dead_probe_at = 0.0
        self._reconnect_at = 0.0
        self._last_call_at = 0.0
        self._out: list[Datagram] = []

    @property
    def me(self) -> Member:
        """This process, with the refutations it had to make."""
        return self._knowledge.me

    @property
    def on_change(self) -> Callable[[Member], None] | None:
        """Called with each member whose state changed, and with both lives where an address has a new one."""
        return self._knowledge.on_change

    @on_change.setter
    def on_change(self, callback: Callable[[Member], None] | None) -> None:
        self._knowledge.on_change = callback

    @property
    def health_score(self) -> int:
        """How much this process doubts itself: 0 (not at all) up to the settings' limit."""
        return self._health.score

    def members(self, role: Role | None = None) -> list[Member]:
        """Alive and suspect members, this process among them."""
        return self._table.present(role)

    def count(self, role: Role) -> int:
        """Alive and suspect processes of that role, this one among them."""
        return self._table.count(role)

    def dead(self, role: Role | None = None) -> list[Member]:
        """Members that ended without leaving, for some minutes."""
        return [member for member in self._knowledge.dead() if role is None or member.role == role]

    def join(self, addresses: Sequence[str]) -> None:
        """Sets the seeds, in place of those before. They are asked from the next ticks on."""
        self._seeds.set([address for address in addresses if valid_address(address)])

    def leave(self, now: float) -> list[Datagram]:
        """Tells some members that this process ends by plan. Nothing is sent after that."""
        self._knowledge.leave()
        for address in self._peers(LEAVE_COPIES):
            self._send(address, Kind.GOSSIP, self._next_sequence())
        return self._flush()

    def receive(self, now: float, sender: str, data: bytes) -> list[Datagram]:
        """A datagram came from `sender`. Bytes that are none of this protocol are ignored."""
        if self.me.state is MemberState.LEFT:
            return []
        try:
            message = decode(data)
        except DecodeError as error:
            log.debug(
                "membership.datagram_undecodable", size_bytes=len(data), address=sender, error=str(error)
            )
            return []
        self._notice_freeze(now)
        if message.sender.address == self.me.address and message.sender.incarnation <= self.me.incarnation:
            return []
        source = message.sender.address
        self._knowledge.hear(now, Update(message.sender), source)
        if message.kind is Kind.PAGE:
            self._receive_page(now, sender, message)
        else:
            for update in message.updates:
                self._knowledge.hear(now, update, source)
        self._handle(now, sender, message)
        return self._flush()

    def tick(self, now: float) -> list[Datagram]:
        """Lets time pass."""
        if self.me.state is MemberState.LEFT:
            return []
        self._notice_freeze(now)
        self._knowledge.tick(now)
        self._tick_relays(now)
        self._tick_probe(now)
        self._tick_last_call(now)
        self._tick_doubts(now)
        self._tick_seeds(now)
        self._tick_pull(now)
        self._tick_dead(now)
        self._tick_gossip(now)
        return self._flush()

    def _handle(self, now: float, sender: str, message: Message) -> None:
        if message.kind is Kind.PING:
            self._send(sender, Kind.ACK, message.sequence, about=self._table.get(message.sender.address))
        elif message.kind is Kind.ACK:
            self._receive_ack(message.sequence, now)
        elif message.kind is Kind.NACK:
            self._receive_nack(message.sequence)
        elif message.kind is Kind.PING_REQUEST:
            self._relay(now, sender, message)
        elif message.kind is Kind.PULL:
            self._send_page(sender, message)
        if message.kind in (Kind.PING, Kind.ACK) and message.digest != self._table.digest:
            self._pull.differs(now, sender)

    # Probes

    def _tick_probe(self, now: float) -> None:
        probe = self._probe
        if probe is not None and now >= probe.ends_at:
            self._probe = None
            self._fail(now, probe)
        elif probe is not None and not probe.asked and now >= probe.helpers_at:
            self._ask_helpers(probe)
        if self._probe is None and now >= self._probe_at:
            self._start_probe(now)

    def _start_probe(self, now: float) -> None:
        address = self._knowledge.order.next(self._is_present_peer)
        member = None if address is None else self._table.get(address)
        if member is None:
            return
        stretch = self._health.multiplier
        period = self._settings.probe_period_s * stretch
        sequence = self._next_sequence()
        helpers_at = now + self._settings.probe_timeout_s * stretch
        self._probe = Probe(sequence, member.address, member.incarnation, helpers_at, now + period)
        self._probe_at = now + period * self._random.uniform(0.95, 1.05)
        self._send(member.address, Kind.PING, sequence, about=member)

    def _ask_helpers(self, probe: Probe) -> None:
        probe.asked = True
        for helper in self._peers(self._settings.indirect_probes, probe.address):
            probe.helpers += 1
            self._send(helper, Kind.PING_REQUEST, probe.sequence, target=probe.address)

    def _fail(self, now: float, probe: Probe) -> None:
        self._failed_sequence = probe.sequence
        in_doubt = self._health.in_doubt(now)
        missing_nacks = probe.helpers - probe.nacks
        self._health.worsen(missing_nacks if probe.helpers else 1)
        if not in_doubt:
            self._knowledge.suspect(now, probe.address, probe.incarnation)

    def _receive_ack(self, sequence: int, now: float) -> None:
        probe = self._probe
        if probe is not None and probe.sequence == sequence:
            self._probe = None
            if now < probe.helpers_at:
                self._health.improve()
            return
        if sequence == self._failed_sequence:  # this process, or its link, is slow
            self._failed_sequence = None
            self._health.worsen()
            return
        relayed = self._relays.answered(sequence)
        if relayed is not None:
            self._send(relayed[0], Kind.ACK, relayed[1])

    def _receive_nack(self, sequence: int) -> None:
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe.nacks += 1

    def _relay(self, now: float, origin: str, message: Message) -> None:
        sequence = self._next_sequence()
        nack_at = now + self._settings.nack_delay_s
        if self._relays.add(sequence, origin, message.sequence, nack_at, now + self._settings.probe_period_s):
            self._send(message.target, Kind.PING, sequence, about=self._table.get(message.target))

    def _tick_relays(self, now: float) -> None:
        for origin, sequence in self._relays.overdue(now):
            self._send(origin, Kind.NACK, sequence)

    def _tick_last_call(self, now: float) -> None:
        """A refutation may have been lost on its way here: a ping brings the member's own word."""
        if now < self._last_call_at:
            return
        address = self._knowledge.suspicions.last_call(now)
        if address is not None:
            self._last_call_at = now + self._settings.verification_period_s
            self._send(address, Kind.PING, self._next_sequence(), about=self._table.get(address))

    def _tick_doubts(self, now: float) -> None:
        dead = self._knowledge.death_to_ask_about(now)
        if dead is not None:
            self._send(dead.address, Kind.PING, self._next_sequence(), about=dead)

    def _notice_freeze(self, now: float) -> None:
        gap = 0.0 if self._ran_at is None else now - self._ran_at
        self._ran_at = now
        if gap <= self._settings.freeze_threshold_s:
            return
        # failed probes of that time are this process's own fault
        log.info("membership.process_paused", pause_s=round(gap, 1))
        self._probe = None
        self._relays.clear()
        self._health.froze(now, self._settings.freeze_recovery_s)
        self._knowledge.postpone(gap)

    # Seeds, synchronisation, dead members, gossip

    def _tick_seeds(self, now: float) -> None:
        alone = self._table.present_count() <= 1
        seed = self._seeds.due(now, alone, self._is_present)
        if seed is not None:
            self._pull.begin(now, seed, tries=1)

    def _tick_pull(self, now: float) -> None:
        request = self._pull.due(now, self._next_sequence())
        if request is not None:
            self._send(request.address, Kind.PULL, request.sequence, cursor=request.cursor)

    def _send_page(self, to: str, pull: Message) -> None:
        draft = Draft(Message(Kind.PAGE, pull.sequence, self.me, self._table.digest))
        last = pull.cursor or Cursor()
        for member in self._table.differing(pull.buckets, last):
            if not draft.add(encode_update(Update(member))):
                draft.message.cursor = last
                break
            last = self._table.cursor_at(member.address)
        self._out.append(Datagram(to, draft.finish()))

    def _receive_page(self, now: float, sender: str, page: Message) -> None:
        news = [self._knowledge.compare(now, update, page.sender.address) for update in page.updates]
        peer = self._peers(1)[0] if self._table.present_count() > 1 else sender
        self._pull.page(now, page.sequence, page.cursor, any(news), peer)

    def _tick_dead(self, now: float) -> None:
        if now >= self._reconnect_at and self._knowledge.reconnect:
            self._reconnect_at = now + self._settings.reconnect_period_s
            address = next(iter(self._knowledge.reconnect))
            del self._knowledge.reconnect[address]
            self._send(address, Kind.PING, self._next_sequence(), about=self._table.get(address))
        if now >= self._dead_probe_at:
            self._dead_probe_at = now + self._settings.dead_probe_period_s * self._random.uniform(0.5, 1.5)
            dead = self._knowledge.dead()
            if dead:
                chosen = self._random.choice(dead)
                self._send(chosen.address, Kind.PING, self._next_sequence(), about=chosen)

    def _tick_gossip(self, now: float) -> None:
        if now < self._gossip_at or not self._knowledge.news:
            return
        self._gossip_at = now + self._settings.gossip_period_s
        for address in self._peers(1):
            self._send(address, Kind.GOSSIP, self._next_sequence())

    # Sending

    def _send(
        self,
        to: str,
        kind: Kind,
        sequence: int,
        about: Member | None = None,
        target: str = "",
        cursor: Cursor | None = None,
    ) -> None:
        """With a report on the receiver in front, so that it can refute it, and as many updates as fit."""
        message = Message(kind, sequence, self.me, self._table.digest, target, cursor=cursor)
        if kind is Kind.PULL:
            message.buckets = tuple(self._table.buckets)
        if about is not None and about.state is not MemberState.ALIVE:
            message.updates.append(Update(about))
        draft = Draft(message)
        for record in self._knowledge.news.take(draft.room, self._table.present_count()):
            draft.add(record)
        self._out.append(Datagram(to, draft.finish()))

    def _flush(self) -> list[Datagram]:
        out, self._out = self._out, []
        return out

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) & SEQUENCE_MASK
        return self._sequence

    def _peers(self, number: int, besides: str = "") -> list[str]:
        return self._table.sample(number, frozenset((self.me.address, besides)))

    def _is_present(self, address: str) -> bool:
        member = self._table.get(address)
        return member is not None and member.is_present

    def _is_present_peer(self, address: str) -> bool:
        return address != self.me.address and self._is_present(address)
