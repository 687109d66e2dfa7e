"""Control processes with the production placement service and lease, and the runners that they control.

Time is virtual. The clock of a frozen process goes on, and once thawed it handles what arrived meanwhile. The
rates of two clocks differ by up to one per cent.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Generator, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from ...control.errors import ReplicationUnavailableError
from ...control.order_permits import PLACER_LEASE, LeaseOrderPermits
from ...identifiers import RunnerId
from ...placement.model import Order, OrderOutcome, PlacementSettings, RunnerReport
from ...placement.orders import outcome_of
from ...placement.service import PlacementService
from ...placement.service_runtime import PlacementRuntime
from ...replication.effects import Effects, PendingCall
from ...replication.lease import Lease
from ...replication.lease_actions import ACTION_DELIVERY_S
from ...replication.member import Member
from ..errors import SimulatedCrashError
from ..replication.cluster import LEASE_TERM_S, SimulatedCluster
from ..replication.machine import Machine, Wakeup
from .invariants import OrderChecker, ReceivedOrder
from .runners import (
    LOAD_RATE_FACTOR,
    LOAD_WINDOW_S,
    MAX_LOADS,
    REPORT_INTERVAL_S,
    draw_demand,
    make_configuration,
    make_runners,
    record_of,
)

MAX_CLOCK_RATE_ERROR = 0.005  # in each direction, so that two clocks differ by up to one per cent
ROUND_S = 0.05  # between two rounds of a placement service
CHECK_IN_INTERVAL_S = 1.0
LATE_ORDER_RATE = 0.1  # share of the orders with the longest permitted delay
LOST_ANSWER_RATE = 0.05
RUNNERS_ADDRESS = "runners"  # the address of events at runners, which no machine has

Call = Coroutine["Suspended", None, None]


@dataclass(frozen=True, slots=True)
class Suspended:
    """What a simulated coroutine waits for.

    Attributes:
        seconds: Time to wait, if `call` is None.
        call: Call of the replication member whose end is awaited.
    """

    seconds: float = 0.0
    call: PendingCall | None = None

    def __await__(self) -> Generator[Suspended, bool, bool]:
        """Suspends the coroutine; the result tells whether the call has succeeded."""
        return (yield self)


class SimulatedLog:
    """Replaces the ReplicatedLog of one process: announces actions and reports the lease."""

    def __init__(self, cluster: PlacementCluster, machine: Machine, member: Member) -> None:
        """Creates the log of the process of `member`."""
        self._cluster, self._machine = cluster, machine
        self.member = member

    def lease(self, name: str) -> Lease | None:
        """See ReplicatedLog."""
        return self.member.lease(self._cluster.clock(self._machine), name)

    async def announce(self, lease_name: str, targets: Sequence[str]) -> None:
        """See ReplicatedLog."""
        call = self._cluster.announce(self._machine, self.member, lease_name, targets)
        if call is None or not await Suspended(call=call):
            raise ReplicationUnavailableError("the action could not be announced")

    def action_permitted_until(self, lease_name: str, target: str) -> float:
        """See ReplicatedLog."""
        return self.member.action_permitted_until(self._cluster.clock(self._machine), lease_name, target)


class SimulatedCalls:
    """The calls of one process to the simulated runners."""

    def __init__(self, cluster: PlacementCluster, machine: Machine) -> None:
        """Creates the calls of the process on `machine`."""
        self._cluster, self._machine = cluster, machine

    async def order(self, order: Order, fencing_token: int, begin_by_s: float) -> OrderOutcome:
        """See RunnerCalls; once sent, an order arrives even if its sender ends."""
        if self._cluster.clock(self._machine) >= begin_by_s:
            return OrderOutcome.UNSENT
        answer = self._cluster.send_order(self._machine, order, fencing_token)
        await Suspended(seconds=answer.after_s)
        return answer.outcome()

    async def report(self, runner_id: RunnerId, address: str) -> RunnerReport | None:
        """See RunnerCalls."""
        runner = self._cluster.runners[runner_id]
        await Suspended(seconds=self._cluster.random.uniform(0.001, 0.02))
        runner.advance(self._cluster.now)
        seen = runner.report(self._cluster.now)
        return RunnerReport(seen.models, seen.occupied, seen.call_count)


@dataclass(slots=True)
class OrderAnswer:
    """The answer to an order in transit.

    Attributes:
        after_s: Seconds from sending the order until its sender has the answer or times out.
        status: The runner's status code, once the order has arrived.
        is_lost: Whether the answer is lost.
    """

    after_s: float
    is_lost: bool
    status: int = 0

    def outcome(self) -> OrderOutcome:
        """The outcome as the sender sees it."""
        return OrderOutcome.UNKNOWN if self.is_lost else outcome_of(self.status)


class PlacementCluster(SimulatedCluster):
    """A cluster whose processes place models.

    Attributes:
        runners: By id; faults of links between control processes do not affect their orders.
        order_checks: Checks the orders that runners receive.
        published: Expected loads by runner, as in the registry of every process.
    """

    def __init__(self, seed: int, machines: int, seeds: int, survive: int) -> None:
        """Creates a cluster that is not started; see SimulatedCluster."""
        super().__init__(seed, machines, seeds, survive)
        self.has_leases = False  # actions are checked at the runners instead
        self.action_retention_s = LOAD_WINDOW_S + 1.0
        self.configuration = make_configuration()
        self.runners = make_runners(self.configuration)
        self.order_checks = OrderChecker(LEASE_TERM_S, MAX_LOADS, LOAD_WINDOW_S)
        self.published: dict[RunnerId, dict[str, float]] = {}
        self._services: dict[str, PlacementService] = {}  # by address of the running process
        self._calls: dict[tuple[str, int], Call] = {}  # by address and number of the awaited call
        self._ended_calls: dict[tuple[str, int], bool] = {}  # results that are not awaited yet
        self._next_report_at = self._next_check_in_at = self.now

    def new_machine(self) -> Machine:
        """See SimulatedCluster."""
        machine = super().new_machine()
        self._set_clock_rate(machine)
        return machine

    def _set_clock_rate(self, machine: Machine) -> None:
        machine.clock_rate = 1.0 + self.random.uniform(-MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR)

    def start(self, address: str, first_boot: bool = False) -> None:
        """See SimulatedCluster; also starts the placement service."""
        for calls in (self._calls, self._ended_calls):
            for key in [key for key in calls if key[0] == address]:
                del calls[key]
        super().start(address, first_boot)
        machine = self.machines[address]
        if machine.member is None:
            return
        self._services[address] = self._make_service(machine, machine.member)
        self._schedule(machine, self.random.uniform(0.0, ROUND_S), partial(self._play_round, machine))

    def _make_service(self, machine: Machine, member: Member) -> PlacementService:
        log = SimulatedLog(self, machine, member)
        service = PlacementService(
            PlacementRuntime(
                clock=partial(self.clock, machine),
                lease=lambda: log.lease(PLACER_LEASE),
                calls=SimulatedCalls(self, machine),
                publish=self.published.__setitem__,
                spawn=partial(self._resume, machine),
                settings=PlacementSettings(LOAD_WINDOW_S, LOAD_RATE_FACTOR),
                random_source=self.random,
                expected_loads=lambda runner_id: self.published.get(runner_id, {}),
                permits=LeaseOrderPermits(log),
            )
        )
        service.configure(self.configuration)
        for runner in self.runners.values():
            service.update_runner(record_of(runner))
        return service

    def holders(self) -> list[Machine]:
        """Machines whose process holds the placer's lease now."""
        return [
            machine
            for machine in self.running
            if machine.member is not None and machine.member.lease(self.clock(machine), PLACER_LEASE)
        ]

    # ---- time ----

    def _play_next_event(self) -> None:
        super()._play_next_event()
        while self.now >= self._next_report_at:
            self._next_report_at += REPORT_INTERVAL_S
            report = draw_demand(self.random, self.now)
            for machine in self.running:
                self._services[machine.address].receive_demand_report(report)
        while self.now >= self._next_check_in_at:
            self._next_check_in_at += CHECK_IN_INTERVAL_S
            for runner in self.runners.values():
                runner.advance(self.now)
                for machine in self.running:
                    self._services[machine.address].update_runner(record_of(runner))

    def _play_round(self, machine: Machine) -> None:
        self._services[machine.address].step()
        self._schedule(machine, ROUND_S, partial(self._play_round, machine))

    def _schedule(self, machine: Machine, seconds: float, resume: Callable[[], None]) -> None:
        self._push(seconds, machine.address, Wakeup(machine.incarnation, resume))

    def _resume(self, machine: Machine, call: Coroutine[Any, Any, None], result: bool | None = None) -> None:
        """Runs a coroutine of a process until it suspends again."""
        try:
            suspended = call.send(result)
        except StopIteration:
            return
        if suspended.call is None:
            self._schedule(machine, suspended.seconds, partial(self._resume, machine, call, True))
            return
        key = (machine.address, suspended.call.number)
        if key in self._ended_calls:
            self._resume(machine, call, self._ended_calls.pop(key))
        else:
            self._calls[key] = call

    # ---- announcements ----

    def announce(
        self, machine: Machine, member: Member, lease_name: str, targets: Sequence[str]
    ) -> PendingCall | None:
        """Announces an action of a process; returns None if its disk fails or it crashes."""
        try:
            call, effects = member.announce(self.clock(machine), lease_name, targets)
        except OSError:
            return None
        except SimulatedCrashError:
            self._crash(machine)
            return None
        machine.announcements.add(call.number)
        self._carry_out(machine, effects)
        return call

    def _carry_out(self, machine: Machine, effects: Effects, written: float = 0.0) -> None:
        super()._carry_out(machine, effects, written)
        for call, is_done in [(done.call, True) for done in effects.done] + [
            (failed.call, False) for failed in effects.failed
        ]:
            waiting = self._calls.pop((machine.address, call.number), None)
            if waiting is not None:
                self._resume(machine, waiting, is_done)
            else:
                self._ended_calls[machine.address, call.number] = is_done

    # ---- orders ----

    def send_order(self, machine: Machine, order: Order, fencing_token: int) -> OrderAnswer:
        """Sends an order, which arrives within `ACTION_DELIVERY_S` even if its sender ends."""
        is_late = self.random.random() < LATE_ORDER_RATE
        delay_s = ACTION_DELIVERY_S if is_late else self.random.uniform(0.0005, 0.01)
        answer = OrderAnswer(delay_s + 0.001, self.random.random() < LOST_ANSWER_RATE)
        arrival = _Arrival(self, machine.address, order, fencing_token, answer)
        self._schedule_arrival(delay_s, arrival)
        return answer

    def _schedule_arrival(self, seconds: float, arrival: _Arrival) -> None:
        """Schedules an arrival at an address without a machine, which faults of machines do not affect."""
        self._push(seconds, RUNNERS_ADDRESS, Wakeup(0, arrival.arrive))

    def receive_order(self, holder: str, order: Order, fencing_token: int) -> int:
        """Lets a runner execute an order; returns the status code."""
        runner = self.runners[order.runner_id]
        self.order_checks.received(order.runner_id, ReceivedOrder(self.now, holder, fencing_token))
        loads_before = len(runner.store.begun)
        status = runner.order(
            self.now, order.runner_id, order.action, order.model, order.adapter, order.if_revision, 0
        )
        if len(runner.store.begun) > loads_before:
            self.order_checks.began_store_load(self.now)
        if runner.fallen:
            self.order_checks.overfilled(order.runner_id)
        return status


@dataclass(frozen=True, slots=True)
class _Arrival:
    cluster: PlacementCluster
    holder: str
    order: Order
    fencing_token: int
    answer: OrderAnswer

    def arrive(self) -> None:
        self.answer.status = self.cluster.receive_order(self.holder, self.order, self.fencing_token)
