"""Injects random faults that the system tolerates, and checks that the cluster recovers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..errors import InvariantError
from ..links import cut_off, cut_off_one_way, no_link_is_cut
from .cluster import LEASE_NAME, LEASE_TERM_S, SimulatedCluster
from .machine import Machine

STEP_S = 0.05  # mean, between two decisions
FIRST_BOOT_S = 0.35  # during which the machines are started
GRACE_S = 1.5  # from the request of a graceful leave to a kill
CONVERGENCE_S = 2 * LEASE_TERM_S + 4.0  # from the last fault until the cluster must have recovered
RESTART_DELAYS_S = (0.05, 0.3, 1.0, 3.0)
FREEZE_DURATIONS_S = (0.3, 0.8, 2.0, 5.0)
PARTITION_DURATIONS_S = (0.3, 1.0, 4.0)
UNRELIABLE_S = 2.0
SLOW_DISKS_S = 2.0
DISK_FULL_RANGE_S = (0.2, 2.0)
NORMAL_WRITE_S = 0.001
SLOW_WRITES_S = (0.02, 0.1)


class FaultInjector:
    """Starts the cluster and injects faults. All choices come from the cluster's random generator."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        """Takes a cluster that is not started."""
        self._cluster = cluster
        self._random = cluster.random
        self._scheduled: list[tuple[float, Callable[[], None]]] = []  # ends of faults
        self._after_leave: dict[str, Callable[[], None]] = {}  # address -> called once the process has ended
        self._faults: list[Callable[[], None]] = [
            self._kill,
            self._lose_power,
            self._crash_within_a_write,
            self._freeze,
            self._partition,
            self._partition_one_way,
            self._make_links_unreliable,
            self._wipe,
            self._wipe_and_power_off_all,
            self._kill_all,
            self._power_off_all,
            self._replace,
            self._step_down,
            self._fill_disk,
            self._make_disks_slow,
            self._restart_gracefully,
            self._replace_gracefully,
        ]

    def play(self, seconds: float, mean_interval_s: float) -> None:
        """Injects faults for `seconds`, on average one every `mean_interval_s`."""
        self._first_boot()
        end = self._cluster.now + seconds
        while self._cluster.now < end - seconds + FIRST_BOOT_S:
            self._step()
        while self._cluster.now < end:
            self._step()
            if self._random.random() < STEP_S / mean_interval_s:
                self._random.choice(self._faults)()

    def recover(self) -> None:
        """Ends all faults and checks that the cluster recovers."""
        self._end_faults()
        self._check_recovery()

    def _first_boot(self) -> None:
        late_starts_left = min(self._cluster.survive, (len(self._cluster.seeds) - 1) // 2)
        for address in list(self._cluster.machines):
            late = self._random.random() < 0.1 and late_starts_left > 0
            late_starts_left -= late
            if not late:
                self._schedule(self._random.uniform(0.0, 0.3), partial(self._start, address, True))
            else:  # killed before it sent a message; its next start is not a first boot
                self._schedule(self._random.uniform(0.5, 3.0), partial(self._start, address))

    def _step(self) -> None:
        """Advances time, ends faults that are due, and sends operator calls to possible primaries."""
        cluster = self._cluster
        cluster.run(self._random.uniform(0.1, 1.9) * STEP_S)
        ended = [end for at, end in self._scheduled if at <= cluster.now]
        self._scheduled = [(at, end) for at, end in self._scheduled if at > cluster.now]
        for end in ended:
            end()
        for address in [address for address in self._after_leave if cluster.end_if_left(address)]:
            self._after_leave.pop(address)()
        for machine in cluster.primaries():
            if self._random.random() < 0.5:
                cluster.change(machine)
            if self._random.random() < 0.5:
                cluster.read(machine)

    def _schedule(self, seconds: float, end: Callable[[], None]) -> None:
        self._scheduled.append((self._cluster.now + seconds, end))

    def _start(self, address: str, first_boot: bool = False) -> None:
        if address not in self._cluster.removed_addresses and self._cluster.machines[address].member is None:
            self._cluster.start(address, first_boot)

    def _restart_later(self, address: str) -> None:
        self._schedule(self._random.choice(RESTART_DELAYS_S), partial(self._start, address))

    def _pick_machine(self) -> Machine | None:
        """Picks a running machine; a primary half of the time."""
        candidates = self._cluster.primaries() if self._random.random() < 0.5 else []
        candidates = candidates or self._cluster.running
        return self._random.choice(candidates) if candidates else None

    # ---- faults ----

    def _kill(self) -> None:
        if (machine := self._pick_machine()) is not None:
            self._cluster.kill(machine.address)
            self._restart_later(machine.address)

    def _lose_power(self) -> None:
        if (machine := self._pick_machine()) is not None:
            self._cluster.lose_power(machine.address)
            self._restart_later(machine.address)

    def _crash_within_a_write(self) -> None:
        if (machine := self._pick_machine()) is not None:
            machine.disk.writes_until_crash = self._random.randrange(6)

    def _freeze(self) -> None:
        if (machine := self._pick_machine()) is not None:
            self._cluster.freeze(machine.address)
            self._schedule(
                self._random.choice(FREEZE_DURATIONS_S), partial(self._cluster.thaw, machine.address)
            )

    def _partition(self) -> None:
        self._cluster.links.is_cut = cut_off(self._draw_side())
        self._schedule(self._random.choice(PARTITION_DURATIONS_S), self._heal_partition)

    def _draw_side(self) -> set[str]:
        """Draws one side of a partition: a single machine or about half of them."""
        if self._random.random() < 0.5 and (machine := self._pick_machine()) is not None:
            return {machine.address}
        return {address for address in self._cluster.machines if self._random.random() < 0.5}

    def _partition_one_way(self) -> None:
        self._cluster.links.is_cut = cut_off_one_way(self._draw_side())
        self._schedule(self._random.choice(PARTITION_DURATIONS_S), self._heal_partition)

    def _heal_partition(self) -> None:
        self._cluster.links.is_cut = no_link_is_cut

    def _make_links_unreliable(self) -> None:
        links = self._cluster.links
        links.become_unreliable(self._random)
        links.corruption_rate = self._random.choice((0.0, 0.0, 0.3))
        self._schedule(UNRELIABLE_S, links.become_reliable)

    def _step_down(self) -> None:
        if (machine := self._pick_machine()) is not None:
            self._cluster.step_down(machine)

    def _restart_gracefully(self) -> None:
        if (machine := self._pick_machine()) is not None:
            self._leave_gracefully(machine.address, partial(self._restart_later, machine.address))

    def _replace_gracefully(self) -> None:
        """Adds a new machine first, and then removes the old one."""
        machine = self._pick_machine()
        if machine is not None and self._cluster.may_lose_a_disk():
            self._start(self._cluster.new_machine().address)
            ends_after = self._random.choice((0.0, 0.5, 2.0))
            self._schedule(ends_after, partial(self._remove_gracefully, machine.address))

    def _remove_gracefully(self, address: str) -> None:
        if address not in self._cluster.removed_addresses and self._cluster.may_lose_a_disk():
            self._leave_gracefully(address, partial(self._destroy_or_restart, address))

    def _destroy_or_restart(self, address: str) -> None:
        """Destroys the machine, or restarts it if others were lost meanwhile."""
        if self._cluster.may_lose_a_disk(address):
            self._cluster.destroy(address)
        else:
            self._restart_later(address)

    def _leave_gracefully(self, address: str, after: Callable[[], None]) -> None:
        """Asks the process to leave, and kills it after GRACE_S."""
        if address not in self._after_leave:
            self._cluster.leave(address)
            self._after_leave[address] = after
            self._schedule(GRACE_S, partial(self._kill_if_still_leaving, address))

    def _kill_if_still_leaving(self, address: str) -> None:
        if address in self._after_leave:
            self._cluster.kill(address)

    def _fill_disk(self) -> None:
        if (machine := self._pick_machine()) is not None:
            machine.disk.is_full = True
            self._schedule(self._random.uniform(*DISK_FULL_RANGE_S), partial(self._free_disk, machine))

    def _free_disk(self, machine: Machine) -> None:
        machine.disk.is_full = False

    def _make_disks_slow(self) -> None:
        self._cluster.write_s = self._random.choice(SLOW_WRITES_S)
        self._schedule(SLOW_DISKS_S, self._make_disks_fast)

    def _make_disks_fast(self) -> None:
        self._cluster.write_s = NORMAL_WRITE_S

    def _kill_all(self) -> None:
        for address in self._cluster.machines:
            self._cluster.kill(address)
            self._restart_later(address)

    def _power_off_all(self) -> None:
        for address in self._cluster.machines:
            self._cluster.lose_power(address)
            self._restart_later(address)

    # ---- losses of disks, only as many as are tolerated ----

    def _wipe(self) -> None:
        machine = self._pick_machine()
        if machine is not None and self._cluster.may_lose_a_disk():
            self._cluster.wipe(machine.address)
            self._restart_later(machine.address)

    def _wipe_and_power_off_all(self) -> None:
        machine = self._pick_machine()
        if machine is not None and self._cluster.may_lose_a_disk():
            self._power_off_all()
            self._cluster.wipe(machine.address)

    def _replace(self) -> None:
        machine = self._pick_machine()
        if machine is not None and self._cluster.may_lose_a_disk():
            self._cluster.destroy(machine.address)
            self._restart_later(self._cluster.new_machine().address)

    # ---- recovery ----

    def _end_faults(self) -> None:
        for address, after in self._after_leave.items():
            self._cluster.kill(address)
            after()
        self._after_leave = {}
        self._scheduled = []
        self._heal_partition()
        self._cluster.links.become_reliable()
        self._make_disks_fast()
        for machine in self._cluster.machines.values():
            machine.disk.is_full = False
            machine.disk.writes_until_crash = None
            if machine.is_frozen:
                self._cluster.thaw(machine.address)
            self._start(machine.address)

    def _check_recovery(self) -> None:
        cluster = self._cluster
        end = cluster.now + CONVERGENCE_S
        while cluster.now < end:
            self._step()
        before = cluster.acknowledged, cluster.confirmed
        for _ in range(20):
            self._step()
        if cluster.acknowledged == before[0] or cluster.confirmed == before[1]:
            raise InvariantError(f"no change or no read is accepted {CONVERGENCE_S} s after the last fault")
        self._check_members()

    def _check_members(self) -> None:
        cluster = self._cluster
        (view,) = [machine.member.view for machine in cluster.primaries() if machine.member is not None]
        outside = [
            machine.id for machine in cluster.running if view is None or machine.id not in view.in_sync
        ]
        if outside:
            raise InvariantError(f"{outside} are not in sync {CONVERGENCE_S} s after the last fault: {view}")
        if not any(
            machine.member is not None and machine.member.lease(cluster.clock(machine), LEASE_NAME)
            for machine in cluster.running
        ):
            raise InvariantError(f"no member holds the lease {CONVERGENCE_S} s after the last fault")
