"""A random course of faults over a simulated set of machines, within what the system promises to survive, and
what must hold once the faults are over."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from .cluster import LEASE, TERM, Machine, World
from .invariants import Broken

STEP = 0.05  # seconds between two decisions
FIRST_BOOT = 0.35  # seconds in which the machines start for the first time
GRACE = 1.5  # seconds from the wish to end to the end by force
CALM = 2 * TERM + 4.0  # seconds after the last fault within which everything must work again


class Course:
    """Starts the world and plays faults on it. All choices come from the world's random generator."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._random = world.random
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
        end = self._world.now + seconds
        while self._world.now < end - seconds + FIRST_BOOT:
            self._step()
        while self._world.now < end:
            self._step()
            if self._random.random() < STEP / calm_between:
                self._random.choice(self._faults)()

    def recover(self) -> None:
        """Ends all faults and checks that everything works again."""
        self._end_faults()
        self._check_recovery()

    def _first_boot(self) -> None:
        late_left = min(self._world.survive, (len(self._world.seeds) - 1) // 2)
        for address in list(self._world.machines):
            late = self._random.random() < 0.1 and late_left > 0
            late_left -= late
            if not late:
                self._after(self._random.uniform(0.0, 0.3), partial(self._start, address, True))
            else:  # killed before it had said anything: its next start is not a first boot
                self._after(self._random.uniform(0.5, 3.0), partial(self._start, address))

    def _step(self) -> None:
        """Time passes, faults end, and the operator sends a few calls to whoever may be primary."""
        world = self._world
        world.run(self._random.uniform(0.1, 1.9) * STEP)
        ended = [end for at, end in self._due if at <= world.now]
        self._due = [(at, end) for at, end in self._due if at > world.now]
        for end in ended:
            end()
        for address in [address for address in self._leaving if world.end_if_left(address)]:
            self._leaving.pop(address)()
        for machine in world.primaries():
            if self._random.random() < 0.5:
                world.change(machine)
            if self._random.random() < 0.5:
                world.read(machine)

    def _after(self, seconds: float, end: Callable[[], None]) -> None:
        self._due.append((self._world.now + seconds, end))

    def _start(self, address: str, first_boot: bool = False) -> None:
        if address not in self._world.gone and self._world.machines[address].member is None:
            self._world.start(address, first_boot)

    def _restart_later(self, address: str) -> None:
        self._after(self._random.choice((0.05, 0.3, 1.0, 3.0)), partial(self._start, address))

    def _any(self) -> Machine | None:
        """A running machine; the primary half of the time."""
        candidates = self._world.primaries() if self._random.random() < 0.5 else []
        candidates = candidates or self._world.running
        return self._random.choice(candidates) if candidates else None

    # ---- faults ----

    def _kill(self) -> None:
        if (machine := self._any()) is not None:
            self._world.kill(machine.address)
            self._restart_later(machine.address)

    def _lose_power(self) -> None:
        if (machine := self._any()) is not None:
            self._world.lose_power(machine.address)
            self._restart_later(machine.address)

    def _break_in_a_write(self) -> None:
        if (machine := self._any()) is not None:
            machine.disk.crash_after = self._random.randrange(6)

    def _freeze(self) -> None:
        if (machine := self._any()) is not None:
            self._world.freeze(machine.address)
            self._after(self._random.choice((0.3, 0.8, 2.0, 5.0)), partial(self._world.thaw, machine.address))

    def _cut(self) -> None:
        side = self._side()
        self._world.cut = lambda sender, receiver: (sender in side) != (receiver in side)
        self._after(self._random.choice((0.3, 1.0, 4.0)), self._heal)

    def _side(self) -> set[str]:
        """One machine alone, or about half of them."""
        if self._random.random() < 0.5 and (machine := self._any()) is not None:
            return {machine.address}
        return {address for address in self._world.machines if self._random.random() < 0.5}

    def _cut_one_way(self) -> None:
        side = self._side()
        self._world.cut = lambda sender, receiver: sender in side and receiver not in side
        self._after(self._random.choice((0.3, 1.0, 4.0)), self._heal)

    def _heal(self) -> None:
        self._world.cut = lambda sender, receiver: False

    def _unreliable(self) -> None:
        self._world.loss, self._world.double = self._random.choice(((0.05, 0.05), (0.3, 0.1), (0.0, 0.5)))
        self._world.delay = self._random.choice(((0.0005, 0.004), (0.001, 0.2), (0.0, 0.03)))
        self._world.damage = self._random.choice((0.0, 0.0, 0.3))
        self._after(2.0, self._reliable)

    def _reliable(self) -> None:
        self._world.loss = self._world.double = self._world.damage = 0.0
        self._world.delay = (0.0005, 0.004)

    def _step_down(self) -> None:
        if (machine := self._any()) is not None:
            self._world.step_down(machine)

    def _leave(self) -> None:
        if (machine := self._any()) is not None:
            self._end_in_order(machine.address, partial(self._restart_later, machine.address))

    def _replace_in_order(self) -> None:
        """The new machine first, then the end of the old."""
        machine = self._any()
        if machine is not None and self._world.may_lose_a_disk():
            self._start(self._world.new_machine().address)
            ends_after = self._random.choice((0.0, 0.5, 2.0))
            self._after(ends_after, partial(self._take_away_in_order, machine.address))

    def _take_away_in_order(self, address: str) -> None:
        if address not in self._world.gone and self._world.may_lose_a_disk():
            self._end_in_order(address, partial(self._take_away, address))

    def _take_away(self, address: str) -> None:
        """Its disk goes too, unless others were lost meanwhile."""
        if self._world.may_lose_a_disk(address):
            self._world.destroy(address)
        else:
            self._restart_later(address)

    def _end_in_order(self, address: str, after: Callable[[], None]) -> None:
        """Asks the process to end, and ends it by force after GRACE."""
        if address not in self._leaving:
            self._world.leave(address)
            self._leaving[address] = after
            self._after(GRACE, partial(self._end_by_force, address))

    def _end_by_force(self, address: str) -> None:
        if address in self._leaving:
            self._world.kill(address)

    def _fill_disk(self) -> None:
        if (machine := self._any()) is not None:
            machine.disk.full = True
            self._after(self._random.uniform(0.2, 2.0), partial(self._free_disk, machine))

    def _free_disk(self, machine: Machine) -> None:
        machine.disk.full = False

    def _slow_disks(self) -> None:
        self._world.write_seconds = self._random.choice((0.02, 0.1))
        self._after(2.0, self._fast_disks)

    def _fast_disks(self) -> None:
        self._world.write_seconds = 0.001

    def _kill_all(self) -> None:
        for address in self._world.machines:
            self._world.kill(address)
            self._restart_later(address)

    def _power_off_all(self) -> None:
        for address in self._world.machines:
            self._world.lose_power(address)
            self._restart_later(address)

    # ---- losses of disks, no more than the system promises to survive ----

    def _wipe(self) -> None:
        machine = self._any()
        if machine is not None and self._world.may_lose_a_disk():
            self._world.wipe(machine.address)
            self._restart_later(machine.address)

    def _wipe_one_and_power_off(self) -> None:
        machine = self._any()
        if machine is not None and self._world.may_lose_a_disk():
            self._power_off_all()
            self._world.wipe(machine.address)

    def _replace(self) -> None:
        machine = self._any()
        if machine is not None and self._world.may_lose_a_disk():
            self._world.destroy(machine.address)
            self._restart_later(self._world.new_machine().address)

    # ---- afterwards ----

    def _end_faults(self) -> None:
        for address, after in self._leaving.items():
            self._world.kill(address)
            after()
        self._leaving = {}
        self._due = []
        self._heal()
        self._reliable()
        self._fast_disks()
        for machine in self._world.machines.values():
            machine.disk.full = False
            machine.disk.crash_after = None
            if machine.frozen:
                self._world.thaw(machine.address)
            self._start(machine.address)

    def _check_recovery(self) -> None:
        world = self._world
        end = world.now + CALM
        while world.now < end:
            self._step()
        before = world.acknowledged, world.confirmed
        for _ in range(20):
            self._step()
        if world.acknowledged == before[0] or world.confirmed == before[1]:
            raise Broken(f"no change or no read is taken {CALM} s after the last fault")
        self._check_members()

    def _check_members(self) -> None:
        world = self._world
        (view,) = [machine.member.view for machine in world.primaries() if machine.member is not None]
        outside = [machine.id for machine in world.running if view is None or machine.id not in view.in_sync]
        if outside:
            raise Broken(f"{outside} are not in sync {CALM} s after the last fault: {view}")
        if not any(
            machine.member is not None and machine.member.lease(world.clock(machine), LEASE)
            for machine in world.running
        ):
            raise Broken(f"nobody holds the lease {CALM} s after the last fault")
