"""Random walks over single steps, without a common time.

Any message may be delivered next, late, twice or never; any clock may jump ahead; any process may end between
two steps or during a write. Leases depend on timing, so only the fault injection runs check them.
"""

from __future__ import annotations

from ...replication.messages import Envelope
from ..links import no_link_is_cut
from .cluster import SimulatedCluster
from .machine import Machine, Wakeup

CLOCK_LEAPS_S = (0.02, 0.02, 0.05, 0.12, 0.12, 0.55, 0.7)  # by which a clock jumps before a tick
MAX_PENDING = 60  # messages in transit; when there are more, the oldest is lost


class RandomWalk(SimulatedCluster):
    """A cluster without a common time: a machine's clock advances only when the walk selects it.

    Attributes:
        pending: Messages in transit with their destination addresses, oldest first.
    """

    def __init__(self, seed: int, machines: int, seeds: int, survive: int) -> None:
        """Starts all machines; see SimulatedCluster."""
        super().__init__(seed, machines, seeds, survive)
        self.has_leases = False
        self.links.corruption_rate = 0.03 * (seed % 2)
        self.pending: list[tuple[str, Envelope]] = []
        for address in self.machines:
            self.start(address, first_boot=True)

    def _push(self, after: float, address: str, message: Envelope | Wakeup | None) -> None:
        if message is None or isinstance(message, Wakeup):
            return
        self.pending.append((address, message))
        if len(self.pending) > MAX_PENDING:
            del self.pending[0]

    def walk(self, steps: int) -> None:
        """Executes `steps` random steps."""
        for _ in range(steps):
            self._step()

    def _step(self) -> None:
        choice = self.random.random()
        if choice < 0.86 and self.pending:
            self._deliver()
        elif choice < 0.92:
            self._tick()
        elif choice < 0.985:
            self._operate()
        elif choice < 0.996:
            self._start_or_stop()
        elif choice < 0.9985:
            self._partition_or_heal()
        else:
            self._lose_a_disk()
        for machine in self.running:
            self.end_if_left(machine.address)

    def deliver(self, number: int) -> None:
        """Delivers the message at index `number` of `pending`."""
        address, message = self.pending.pop(number)
        self._event(self.machines[address], message)

    def tick(self, machine: Machine, leap_s: float) -> None:
        """Advances the machine's clock by `leap_s` seconds and lets its process tick."""
        machine.clock_offset += leap_s
        self._event(machine, None)

    def _deliver(self) -> None:
        number = self.random.randrange(len(self.pending))
        if self.random.random() < 0.6:
            number = min(number, 2)
        address, message = self.pending[number]
        drawn = self.random.random()
        if drawn < 0.97:
            del self.pending[number]
        if drawn > 0.04:
            self._event(self.machines[address], message)

    def _tick(self) -> None:
        if self.running:
            self.tick(self.random.choice(self.running), self.random.choice(CLOCK_LEAPS_S))

    def _operate(self) -> None:
        for machine in self.primaries():
            if self.random.random() < 0.5:
                self.change(machine)
            else:
                self.read(machine)

    def _start_or_stop(self) -> None:
        machine = self.random.choice(list(self.machines.values()))
        if machine.address in self.removed_addresses:
            return
        if machine.member is None:
            self.start(machine.address)
        else:
            self._stop(machine)

    def _stop(self, machine: Machine) -> None:
        drawn = self.random.randrange(6)
        if drawn == 0:
            self.kill(machine.address)
        elif drawn == 1:
            self.lose_power(machine.address)
        elif drawn == 2:
            machine.disk.writes_until_crash = self.random.randrange(4)
        elif drawn == 3:
            self.step_down(machine)
        elif drawn == 4:
            self.leave(machine.address)
        else:
            self.kill(machine.address)
            self.start(machine.address)

    def _partition_or_heal(self) -> None:
        """Partitions one machine, preferably a primary, from the others, or ends all partitions."""
        candidates = self.primaries() or self.running
        if self.random.random() < 0.5 or not candidates:
            self.links.is_cut = no_link_is_cut
            return
        alone = self.random.choice(candidates).address
        self.links.is_cut = lambda sender, receiver: alone in (sender, receiver)

    def _lose_a_disk(self) -> None:
        machine = self.random.choice(list(self.machines.values()))
        if machine.address in self.removed_addresses or not self.may_lose_a_disk():
            return
        if self.random.random() < 0.5:
            self.wipe(machine.address)
        else:
            self.destroy(machine.address)
            self.start(self.new_machine().address)
