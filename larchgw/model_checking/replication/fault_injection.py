"""A random course of faults over a simulated set of machines, within what the system promises to survive, and
what must hold once the faults are over."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..errors import InvariantError
from .cluster import LEASE_NAME, LEASE_TERM_S, Machine, SimulatedCluster

STEP = 0.05  # seconds between two decisions
FIRST_BOOT = 0.35  # seconds in which the machines start for the first time
GRACE = 1.5  # seconds from the wish to end to the end by force
CALM = 2 * LEASE_TERM_S + 4.0  # seconds after the last fault within which everything must work again


class FaultInjector:
    """Starts the cluster and plays faults on it. All choices come from the cluster's random generator."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self._random = cluster.random
        self._due: list[tuple[float, Callable[[], None]]] = []  # ends of faults
        self._leaving: dict[str, Callable[[], None]] = {}  # address -> what follows its end
        self._faults: list[Callable[[], None]] = [
            self._kill,
            self._lose_power,
            self._break_in_a_write,
            self._freeze,
            self._cut,
            self._cut_one_way,
            self._unreliable,
            self._wipe,
            self._wipe_one_and_power_off,
            self._kill_all,
            self._power_off_all,
            self._replace,
            self._step_down,
            self._fill_disk,
            self._slow_disks,
            self._leave,
            self._replace_in_order,
        ]

    def play(self, seconds: float, calm_between: float) -> None:
        """Plays faults, on average one in `calm_between` seconds."""
        self._first_boot()
        end = self._cluster.now + seconds
        while self._cluster.now < end - seconds + FIRST_BOOT:
            self._step()
        while self._cluster.now < end:
            self._step()
            if self._random.random() < STEP / calm_between:
                self._random.choice(self._faults)()

    def recover(self) -> None:
        """Ends all faults and checks that everything works again."""
        self._end_faults()
        self._check_recovery()

    def _first_boot(self) -> None:
        late_left = min(self._cluster.survive, (len(self._cluster.seeds) - 1) // 2)
        for address in list(self._cluster.machines):
            late = self._random.random() < 0.1 and late_left > 0
            late_left -= late
            if not late:
                self._after(self._random.uniform(0.0, 0.3), partial(self._start, address, True))
            else:  # killed before it had said anything: its next start is not a first boot
                self._after(self._random.uniform(0.5, 3.0), partial(self._start, address))

    def _step(self) -> None:
        """Time passes, faults end, and the operator sends a few calls to whoever may be primary."""
        cluster = self._cluster
        cluster.run(self._random.uniform(0.1, 1.9) * STEP)
        ended = [end for at, end in self._due if at <= cluster.now]
        self._due = [(at, end) for at, end in self._due if at > cluster.now]
        for end in ended:
            end()
        for address in [address for address in self._leaving if cluster.end_if_left(address)]:
            self._leaving.pop(address)()
        for machine in cluster.primaries():
            if self._random.random() < 0.5:
                cluster.change(machine)
            if self._random.random() < 0.5:
                cluster.read(machine)

    def _after(self, seconds: float, end: Callable[[], None]) -> None:
        self._due.append((self._cluster.now + seconds, end))

    def _start(self, address: str, first_boot: bool = False) -> None:
        if address not in self._cluster.removed_addresses and self._cluster.machines[address].member is None:
            self._cluster.start(address, first_boot)

    def _restart_later(self, address: str) -> None:
        self._after(self._random.choice((0.05, 0.3, 1.0, 3.0)), partial(self._start, address))

    def _any(self) -> Machine | None:
        """A running machine; the primary half of the time."""
        candidates = self._cluster.primaries() if self._random.random() < 0.5 else []
        candidates = candidates or self._cluster.running
        return self._random.choice(candidates) if candidates else None

    # ---- faults ----

    def _kill(self) -> None:
        if (machine := self._any()) is not None:
            self._cluster.kill(machine.address)
            self._restart_later(machine.address)

    def _lose_power(self) -> None:
        if (machine := self._any()) is not None:
            self._cluster.lose_power(machine.address)
            self._restart_later(machine.address)

    def _break_in_a_write(self) -> None:
        if (machine := self._any()) is not None:
            machine.disk.crash_after = self._random.randrange(6)

    def _freeze(self) -> None:
        if (machine := self._any()) is not None:
            self._cluster.freeze(machine.address)
            self._after(
                self._random.choice((0.3, 0.8, 2.0, 5.0)), partial(self._cluster.thaw, machine.address)
            )

    def _cut(self) -> None:
        side = self._side()
        self._cluster.is_cut = lambda sender, receiver: (sender in side) != (receiver in side)
        self._after(self._random.choice((0.3, 1.0, 4.0)), self._heal)

    def _side(self) -> set[str]:
        """One machine alone, or about half of them."""
        if self._random.random() < 0.5 and (machine := self._any()) is not None:
            return {machine.address}
        return {address for address in self._cluster.machines if self._random.random() < 0.5}

    def _cut_one_way(self) -> None:
        side = self._side()
        self._cluster.is_cut = lambda sender, receiver: sender in side and receiver not in side
        self._after(self._random.choice((0.3, 1.0, 4.0)), self._heal)

    def _heal(self) -> None:
        self._cluster.is_cut = lambda sender, receiver: False

    def _unreliable(self) -> None:
        self._cluster.loss_rate, self._cluster.duplication_rate = self._random.choice(
            ((0.05, 0.05), (0.3, 0.1), (0.0, 0.5))
        )
        self._cluster.delay_range_s = self._random.choice(((0.0005, 0.004), (0.001, 0.2), (0.0, 0.03)))
        self._cluster.corruption_rate = self._random.choice((0.0, 0.0, 0.3))
        self._after(2.0, self._reliable)

    def _reliable(self) -> None:
        self._cluster.loss_rate = self._cluster.duplication_rate = self._cluster.corruption_rate = 0.0
        self._cluster.delay_range_s = (0.0005, 0.004)

    def _step_down(self) -> None:
        if (machine := self._any()) is not None:
            self._cluster.step_down(machine)

    def _leave(self) -> None:
        if (machine := self._any()) is not None:
            self._end_in_order(machine.address, partial(self._restart_later, machine.address))

    def _replace_in_order(self) -> None:
        """The new machine first, then the end of the old."""
        machine = self._any()
        if machine is not None and self._cluster.may_lose_a_disk():
            self._start(self._cluster.new_machine().address)
            ends_after = self._random.choice((0.0, 0.5, 2.0))
            self._after(ends_after, partial(self._take_away_in_order, machine.address))

    def _take_away_in_order(self, address: str) -> None:
        if address not in self._cluster.removed_addresses and self._cluster.may_lose_a_disk():
            self._end_in_order(address, partial(self._take_away, address))

    def _take_away(self, address: str) -> None:
        """Its disk goes too, unless others were lost meanwhile."""
        if self._cluster.may_lose_a_disk(address):
            self._cluster.destroy(address)
        else:
            self._restart_later(address)

    def _end_in_order(self, address: str, after: Callable[[], None]) -> None:
        """Asks the process to end, and ends it by force after GRACE."""
        if address not in self._leaving:
            self._cluster.leave(address)
            self._leaving[address] = after
            self._after(GRACE, partial(self._end_by_force, address))

    def _end_by_force(self, address: str) -> None:
        if address in self._leaving:
            self._cluster.kill(address)

    def _fill_disk(self) -> None:
        if (machine := self._any()) is not None:
            machine.disk.full = True
            self._after(self._random.uniform(0.2, 2.0), partial(self._free_disk, machine))

    def _free_disk(self, machine: Machine) -> None:
        machine.disk.full = False

    def _slow_disks(self) -> None:
        self._cluster.write_s = self._random.choice((0.02, 0.1))
        self._after(2.0, self._fast_disks)

    def _fast_disks(self) -> None:
        self._cluster.write_s = 0.001

    def _kill_all(self) -> None:
        for address in self._cluster.machines:
            self._cluster.kill(address)
            self._restart_later(address)

    def _power_off_all(self) -> None:
        for address in self._cluster.machines:
            self._cluster.lose_power(address)
            self._restart_later(address)

    # ---- losses of disks, no more than the system promises to survive ----

    def _wipe(self) -> None:
        machine = self._any()
        if machine is not None and self._cluster.may_lose_a_disk():
            self._cluster.wipe(machine.address)
            self._restart_later(machine.address)

    def _wipe_one_and_power_off(self) -> None:
        machine = self._any()
        if machine is not None and self._cluster.may_lose_a_disk():
            self._power_off_all()
            self._cluster.wipe(machine.address)

    def _replace(self) -> None:
        machine = self._any()
        if machine is not None and self._cluster.may_lose_a_disk():
            self._cluster.destroy(machine.address)
            self._restart_later(self._cluster.new_machine().address)

    # ---- afterwards ----

    def _end_faults(self) -> None:
        for address, after in self._leaving.items():
            self._cluster.kill(address)
            after()
        self._leaving = {}
        self._due = []
        self._heal()
        self._reliable()
        self._fast_disks()
        for machine in self._cluster.machines.values():
            machine.disk.full = False
            machine.disk.crash_after = None
            if machine.is_frozen:
                self._cluster.thaw(machine.address)
            self._start(machine.address)

    def _check_recovery(self) -> None:
        cluster = self._cluster
        end = cluster.now + CALM
        while cluster.now < end:
            self._step()
        before = cluster.acknowledged, cluster.confirmed
        for _ in range(20):
            self._step()
        if cluster.acknowledged == before[0] or cluster.confirmed == before[1]:
            raise InvariantError(f"no change or no read is taken {CALM} s after the last fault")
        self._check_members()

    def _check_members(self) -> None:
        cluster = self._cluster
        (view,) = [machine.member.view for machine in cluster.primaries() if machine.member is not None]
        outside = [
            machine.id for machine in cluster.running if view is None or machine.id not in view.in_sync
        ]
        if outside:
            raise InvariantError(f"{outside} are not in sync {CALM} s after the last fault: {view}")
        if not any(
            machine.member is not None and machine.member.lease(cluster.clock(machine), LEASE_NAME)
            for machine in cluster.running
        ):
            raise InvariantError(f"nobody holds the lease {CALM} s after the last fault")
