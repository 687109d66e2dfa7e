"""A cluster of replication members in virtual time, on a simulated network and disks with injected faults.

A run is determined by its seed, so a run that violated an invariant can be repeated.
"""

from __future__ import annotations

import heapq
import json
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from math import inf
from random import Random

from ...replication.effects import Effects, OutgoingMessage
from ...replication.errors import NotPrimaryError
from ...replication.member import Member
from ...replication.message_codec import decode
from ...replication.messages import Accepted, Envelope, Promise
from ...replication.settings import MemberSettings
from ...replication.view import View
from ...rpc.codec import MAX_FRAME_BYTES
from ...rpc.generated.ttypes import PeerMessage
from ..errors import InvariantError, SimulatedCrashError
from ..links import Links
from ..simulated_disk import SimulatedDisk
from .invariants import InvariantChecker
from .machine import Machine, Proposal, Wakeup

TICK_S = 0.02
MAX_CLOCK_OFFSET_S = 50.0
LEASE_NAME = "placer"
LEASE_TERM_S = 3.0
ACTION_TARGETS = ("runner-1", "runner-2", "runner-3")
ACTION_RATE = 0.1  # share of the ticks at which the lease holder announces an action
CHUNK_BYTES = 16  # small, so that a snapshot is sent in several chunks
DELIVER_BYTES = 600  # small, so that records are delivered one to three at a time


@dataclass
class ReplicationLinks(Links):
    """Links that also limit the size and rate of messages and corrupt snapshots.

    Attributes:
        corruption_rate: Share of the snapshot chunks that arrive corrupted.
        corrupted_messages: Number of messages corrupted so far.
        bytes_per_s: Bandwidth of each link.
        max_body_bytes: Messages with a longer body are dropped.
    """

    corruption_rate: float = 0.0
    corrupted_messages: int = 0
    bytes_per_s: float = inf
    max_body_bytes: int = MAX_FRAME_BYTES

    def become_reliable(self) -> None:
        """See Links."""
        super().become_reliable()
        self.corruption_rate = 0.0


class SimulatedCluster:
    """The machines of one run, with their links and disks.

    Attributes:
        now: Simulated time in seconds; the clocks of machines differ from it and from one another.
        survive: How many disks may be lost at a time.
        seeds: Addresses of the seed members of the first boot.
        events: Number of processed messages and ticks.
        states: Hashes of the distinct states of the cluster.
        acknowledged: Number of acknowledged changes.
        confirmed: Number of confirmed reads.
        removed_addresses: Addresses of machines that were permanently removed.
        latest_view: The latest view in which a member acted as primary.
        write_s: Duration of a disk write.
        has_leases: Whether leases are checked; this requires a common time base.
        snapshot_padding_bytes: Padding added to the state in a snapshot.
        chunk_bytes: Size of the chunks in which a snapshot is sent.
        action_retention_s: Minimum time for which witnesses remember announced actions.
        compact_records: Number of records at which a log is compacted.
    """

    def __init__(self, seed: int, machines: int, seeds: int, survive: int) -> None:
        """Creates the machines without starting them.

        Args:
            seed: Seed of the random generator that makes all choices.
            machines: Initial number of machines.
            seeds: Number of machines that are seed members of the first boot.
            survive: How many disks may be lost at a time.
        """
        self.random = Random(seed)
        self.now = 100.0
        self.checks = InvariantChecker(LEASE_TERM_S)
        self.survive = survive
        self.machines: dict[str, Machine] = {}
        self.seeds = tuple(self.new_machine().address for _ in range(machines))[:seeds]
        self.events = 0
        self.states: set[int] = set()
        self.acknowledged = 0
        self.confirmed = 0
        self.removed_addresses: set[str] = set()
        self.latest_view: View | None = None
        self.write_s = 0.001
        self.has_leases = True
        self.links = ReplicationLinks()
        self.snapshot_padding_bytes = 120
        self.chunk_bytes = CHUNK_BYTES
        self.compact_records = 12
        self.action_retention_s = 0.0
        self._queue: list[tuple[float, int, str, Envelope | Wakeup | None]] = []
        self._order = 0

    # ---- machines ----

    def new_machine(self) -> Machine:
        """Adds a machine with an empty disk at a new address."""
        address = f"m{len(self.machines)}:1"
        self.machines[address] = Machine(
            address, SimulatedDisk(), self.random.uniform(0.0, MAX_CLOCK_OFFSET_S)
        )
        return self.machines[address]

    def start(self, address: str, first_boot: bool = False) -> None:
        """Starts the machine's process on its present disk."""
        machine = self.machines[address]
        machine.incarnation += 1
        settings = MemberSettings(
            address,
            self.seeds,
            first_boot,
            f"{address}#{machine.incarnation}",
            self.survive,
            LEASE_TERM_S,
            action_retention_s=self.action_retention_s,
            compact_records=self.compact_records,
            batch_bytes=200,
            chunk_bytes=self.chunk_bytes,
            deliver_bytes=DELIVER_BYTES,
        )
        machine.forget_process()
        try:
            machine.member = Member(
                settings, machine.disk.ports(), partial(self._snapshot, machine), self.random
            )
            if not first_boot:
                machine.member.set_contacts(self.machines)
            self._carry_out(machine, machine.member.start(self.clock(machine)))
        except SimulatedCrashError:
            machine.member = None
            return
        self._push(self.random.uniform(0.0, TICK_S), address, None)

    def kill(self, address: str) -> None:
        """Ends the process; its disk is unchanged."""
        self.machines[address].member = None

    def lose_power(self, address: str) -> None:
        """Ends the process; writes that were not synced may be lost."""
        machine = self.machines[address]
        machine.member = None
        machine.disk.lose_power(self.random)

    def destroy(self, address: str) -> None:
        """Permanently removes the machine and its disk."""
        self.wipe(address)
        self.removed_addresses.add(address)

    def wipe(self, address: str) -> None:
        """Ends the process and empties its disk."""
        machine = self.machines[address]
        machine.member = None
        machine.disk = SimulatedDisk()

    def freeze(self, address: str) -> None:
        """Freezes the process; its clock goes on."""
        self.machines[address].is_frozen = True

    def thaw(self, address: str) -> None:
        """Thaws the process and delivers the messages that arrived meanwhile."""
        machine = self.machines[address]
        machine.is_frozen = False
        if machine.member is not None:
            self._start_permitted_actions(machine, machine.member)
        inbox, machine.inbox = machine.inbox, []
        for message in inbox:
            self._push(0.0, address, message)

    def may_lose_a_disk(self, at: str = "") -> bool:
        """Returns whether the loss of one more disk, the one at `at` if given, is tolerated now.

        A member of the view without a disk counts as lost until it is replaced in the view, and so does a
        witness that is not in sync.
        """
        view = self.latest_view
        if view is None or min(len(view.witnesses), len(view.former_witnesses)) < 2 * self.survive + 1:
            return False  # machines were added, and count as lost until they are witnesses
        disks = {machine.id for machine in self.machines.values()}
        lost = [
            member
            for member in view.members
            if member not in disks or member in view.all_witnesses and member not in view.in_sync
        ]
        itself = self.machines[at].id if at else ""
        return len(set(lost) - {itself}) < self.survive

    @property
    def running(self) -> list[Machine]:
        """Machines with a running process that is not frozen."""
        return [
            machine
            for machine in self.machines.values()
            if machine.member is not None and not machine.is_frozen
        ]

    def primaries(self) -> list[Machine]:
        """Machines whose member considers itself primary."""
        return [
            machine for machine in self.running if machine.member is not None and machine.member.is_primary
        ]

    # ---- time ----

    def run(self, seconds: float) -> None:
        """Processes all events of the next `seconds`."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self._play_next_event()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Processes events up to and including the one that makes the condition true.

        Returns:
            Whether the condition became true within `limit_s` seconds.
        """
        end = self.now + limit_s
        while not condition():
            if not self._queue or self._queue[0][0] > end:
                self.now = end
                return False
            self._play_next_event()
        return True

    def _play_next_event(self) -> None:
        at, _, address, message = heapq.heappop(self._queue)
        self.now = max(self.now, at)
        if isinstance(message, Wakeup) and address not in self.machines:
            message.resume()  # an event outside the machines
        else:
            self._event(self.machines[address], message)

    def _event(self, machine: Machine, message: Envelope | Wakeup | None) -> None:
        if machine.member is None:
            return
        if machine.is_frozen:
            if message is not None:
                machine.inbox.append(message)
            else:
                self._push(TICK_S, machine.address, None)
            return
        self.events += 1
        if isinstance(message, Wakeup):
            if message.incarnation == machine.incarnation:
                message.resume()
        elif message is None:
            self._push(TICK_S, machine.address, None)
            self._call(machine, lambda member, clock: member.tick(clock))
            self._announce_action(machine)
        else:
            self._call(machine, lambda member, clock: member.receive(clock, message))

    def _call(self, machine: Machine, call: Callable[[Member, float], Effects]) -> None:
        assert machine.member is not None
        writes = machine.disk.write_count
        try:
            effects = call(machine.member, self.clock(machine))
        except SimulatedCrashError:
            self._crash(machine)
            return
        self._carry_out(machine, effects, self.write_s * (machine.disk.write_count - writes))
        self._observe(machine)

    def _crash(self, machine: Machine) -> None:
        if self.random.random() < 0.5:
            self.lose_power(machine.address)
        else:
            self.kill(machine.address)

    def clock(self, machine: Machine) -> float:
        """Returns the time of the machine's monotonic clock."""
        return self.now * machine.clock_rate + machine.clock_offset

    def _snapshot(self, machine: Machine) -> bytes:
        content = f"{machine.version} {machine.name} ".encode() + b"." * self.snapshot_padding_bytes
        self.checks.made_snapshot(machine.version, content)
        return content

    # ---- effects of members ----

    def _carry_out(self, machine: Machine, effects: Effects, written: float = 0.0) -> None:
        if effects.installed is not None:
            machine.version = self.checks.installed(
                machine.name, effects.installed.index, effects.installed.content
            )
        for committed in effects.committed:
            self.checks.committed(machine.name, committed.index, committed.record)
            if committed.index != machine.version + 1:
                raise InvariantError(
                    f"{machine.name} was given record {committed.index} after {machine.version}"
                )
            machine.version = committed.index
        for done in effects.done:
            if done.index > machine.version:
                raise InvariantError(
                    f"{machine.name} completes a call at {done.index}, but has applied {machine.version}"
                )
            if done.call.number in machine.proposals:
                proposal = machine.proposals.pop(done.call.number)
                self.checks.acknowledged(done.index, proposal.base_version, proposal.record)
                self.acknowledged += 1
            elif done.call.number in machine.announcements:
                machine.announcements.remove(done.call.number)
            else:
                self.checks.read(machine.name, machine.reads.pop(done.call.number), done.index)
                self.confirmed += 1
        for failed in effects.failed:
            machine.proposals.pop(failed.call.number, None)
            machine.reads.pop(failed.call.number, None)
            machine.announcements.discard(failed.call.number)
        for outgoing in effects.messages:
            self._transmit(machine, outgoing, written)

    def _observe(self, machine: Machine) -> None:
        member = machine.member
        assert member is not None
        if member.acting_epoch is not None:
            self.checks.acts(machine.name, member.acting_epoch)
            if member.acting_epoch not in machine.digest[2:3]:
                self.checks.becomes_primary(member.id, member.acting_epoch)
            if self.latest_view is None or member.acting_epoch > self.latest_view.epoch:
                self.latest_view = member.view
        self._start_permitted_actions(machine, member)
        if member.discarded_snapshots and not self.links.corrupted_messages:
            raise InvariantError(f"{machine.name} discarded a snapshot, though no message was corrupted")
        epoch = 0 if member.view is None else member.view.epoch
        machine.digest = (member.id, epoch, member.acting_epoch, member.committed_index, member.last_index)
        self.states.add(hash(tuple(other.digest for other in self.machines.values())))

    def _start_permitted_actions(self, machine: Machine, member: Member) -> None:
        """Starts every action that the lease permits now."""
        clock = self.clock(machine)
        lease = member.lease(clock, LEASE_NAME) if self.has_leases else None
        if lease is None:
            return
        self.checks.holds_lease(member.id, lease.fencing_token)
        for target in ACTION_TARGETS:
            if member.action_permitted_until(clock, LEASE_NAME, target) > clock:
                self.checks.starts_action_under_lease(self.now, member.id, target)

    def _announce_action(self, machine: Machine) -> None:
        """Announces an action on a free target at a share ACTION_RATE of the calls."""
        member, clock = machine.member, self.clock(machine)
        if member is None or machine.announcements or not self.has_leases:
            return
        if member.lease(clock, LEASE_NAME) is None or self.random.random() >= ACTION_RATE:
            return
        target = self.random.choice(ACTION_TARGETS)
        if member.target_free_at(LEASE_NAME, target) > clock:
            return
        try:
            call, effects = member.announce(clock, LEASE_NAME, (target,))
        except OSError:
            return
        except SimulatedCrashError:
            self._crash(machine)
            return
        machine.announcements.add(call.number)
        self._carry_out(machine, effects)

    def _transmit(self, machine: Machine, outgoing: OutgoingMessage, written: float) -> None:
        links = self.links
        self._check_vote(outgoing.message)
        if links.is_cut(machine.address, outgoing.address) or self.random.random() < links.loss_rate:
            return
        if outgoing.address not in self.machines or len(outgoing.message.body) > links.max_body_bytes:
            return
        copies = 2 if self.random.random() < links.duplication_rate else 1
        for _ in range(copies):
            message = self._corrupted_at_random(outgoing.message)
            sent = written + len(message.body) / links.bytes_per_s
            self._push(sent + self.random.uniform(*links.delay_range_s), outgoing.address, message)

    def _check_vote(self, message: Envelope) -> None:
        if message.kind not in ("promise", "accepted"):
            return
        vote, _ = decode(message.kind, message.body)
        if isinstance(vote, Promise) and vote.granted:
            self.checks.promised(message.sender, vote.epoch)
        elif isinstance(vote, Accepted) and vote.granted:
            self.checks.accepted(message.sender, vote.epoch)

    def _corrupted_at_random(self, message: PeerMessage) -> PeerMessage:
        """Returns the message as received: a snapshot chunk may be corrupted."""
        rate = self.links.corruption_rate
        if message.kind != "install" or not rate or self.random.random() >= rate:
            return message
        self.links.corrupted_messages += 1
        body = message.body[:-1] + bytes([message.body[-1] ^ 1])
        return PeerMessage(message.sender, message.receiver, message.kind, body)

    def _push(self, after: float, address: str, message: Envelope | Wakeup | None) -> None:
        self._order += 1
        heapq.heappush(self._queue, (self.now + after, self._order, address, message))

    # ---- the operator ----

    def change(self, machine: Machine) -> bool:
        """Submits an operator's change, based on the newest version that the machine knows.

        Returns:
            Whether the machine accepted the proposal.
        """
        member = machine.member
        if member is None or machine.is_frozen or not member.is_primary:
            return False
        base_version = member.last_index
        record = json.dumps([base_version, self.random.randrange(1 << 30)]).encode()
        clock = self.clock(machine)
        try:
            call, effects = member.propose(clock, record)
        except (NotPrimaryError, OSError):
            return False
        except SimulatedCrashError:
            self._crash(machine)
            return False
        machine.proposals[call.number] = Proposal(base_version, record)
        self._carry_out(machine, effects, 2 * self.write_s)
        return True

    def read(self, machine: Machine) -> bool:
        """Submits an operator's read; returns False if the machine accepts none now."""
        member = machine.member
        if member is None or machine.is_frozen:
            return False
        try:
            call, effects = member.confirm(self.clock(machine))
        except (NotPrimaryError, OSError):
            return False
        machine.reads[call.number] = self.checks.newest_acknowledged
        self._carry_out(machine, effects)
        return True

    def step_down(self, machine: Machine) -> None:
        """Makes the member give up the primary role, as an operator or a failing disk does."""
        self._call(machine, lambda member, clock: member.step_down(clock))

    def leave(self, address: str) -> None:
        """Asks the process to leave gracefully."""
        machine = self.machines[address]
        if machine.member is not None and not machine.is_frozen:
            self._call(machine, lambda member, clock: member.leave(clock))

    def end_if_left(self, address: str) -> bool:
        """Ends a process that has left, which no view may need; returns whether no process runs."""
        machine = self.machines[address]
        if machine.member is not None and not machine.is_frozen and machine.member.has_left:
            if self.latest_view is not None and machine.id in self.latest_view.in_sync:
                raise InvariantError(f"{machine.name} has left, but is still in sync in {self.latest_view}")
            self.kill(address)
        return machine.member is None
