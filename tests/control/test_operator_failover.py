"""Orders around the loss of a primary, with forced timing: real members, logs and calls in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from larchgw.control.configuration_state import ConfigurationState
from larchgw.control.operator_order import OperatorOrder
from larchgw.emulator import virtual_loop
from larchgw.model_checking.links import no_link_is_cut
from larchgw.model_checking.operator_calls.cluster import Process, SimulatedCluster

OPERATOR_TIMEOUT_S = 1.0  # time without an answer after which an operator's call counts as failed
FAILOVER_S = 2.0  # a new primary is active within this time
CATCH_UP_S = 6.0  # a process that returns has caught up within this time
UNCONFIRMED = 503


def order(version: int, base_version: int, mark: str, operation: str = "replace") -> OperatorOrder:
    services = [{"name": "s", "health_path": f"/{mark}"}]
    body = (
        {"config_version": version, "add": {"services": services}}
        if operation == "change"
        else {"config_version": version, "routes": [], "services": services}
    )
    return OperatorOrder(operation, base_version, json.dumps(body).encode())


FIRST, LOST, RIVAL = order(1, 0, "first"), order(3, 1, "lost"), order(3, 1, "rival")


class Scenario:
    """Control processes on a network that loses no answers."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster

    @classmethod
    async def begin(cls, machines: int) -> Scenario:
        scenario = cls(SimulatedCluster(7, machines))
        scenario.cluster.links.answer_loss_rate = 0.0
        for address in scenario.cluster.addresses:
            scenario.cluster.start(address, first_boot=True)
        await asyncio.sleep(FAILOVER_S)
        return scenario

    @property
    def primary(self) -> Process:
        (address,) = self.cluster.primaries
        return self.cluster.processes[address]

    def others(self, process: Process) -> list[str]:
        return [address for address in self.cluster.addresses if address != process.address]

    async def send(self, address: str, sent: OperatorOrder) -> int:
        answer = await self.cluster.call(
            address, sent.operation, sent.base_version, sent.body, OPERATOR_TIMEOUT_S
        )
        return UNCONFIRMED if answer is None else answer.status

    async def read(self, address: str) -> tuple[int, int]:
        answer = await self.cluster.call(address, "read", -1, b"", OPERATOR_TIMEOUT_S)
        if answer is None or answer.status != 200:
            return (UNCONFIRMED if answer is None else answer.status), 0
        return 200, json.loads(answer.body)["config_version"]

    def cut_off(self, process: Process) -> None:
        isolated = process.address
        self.cluster.links.is_cut = lambda sender, receiver: isolated in (sender, receiver)

    def heal(self) -> None:
        self.cluster.links.is_cut = no_link_is_cut

    def states(self) -> list[ConfigurationState]:
        return [process.state for process in self.cluster.processes.values()]

    async def isolate_primary_with_undecided_record(self) -> Process:
        """Isolates the primary just as it proposes LOST; the others elect a new primary."""
        old = self.primary
        propose = old.log.propose

        async def cut_and_propose(record: bytes) -> int:
            self.cut_off(old)
            return await propose(record)

        old.log.propose = cut_and_propose  # type: ignore[method-assign]
        assert await self.send(old.address, LOST) == UNCONFIRMED
        assert old.member.last_index > old.member.committed_index
        await asyncio.sleep(FAILOVER_S)
        return old


def run_scenario(machines: int, steps: Callable[[Scenario], Awaitable[None]]) -> None:
    async def main() -> None:
        scenario = await Scenario.begin(machines)
        assert await scenario.send(scenario.cluster.addresses[0], FIRST) == 200
        await steps(scenario)
        if scenario.cluster.failed.done():
            scenario.cluster.failed.result()

    virtual_loop.run(main())


@pytest.mark.parametrize("machines", [3, 5])
def test_order_whose_record_is_lost_with_its_primary_is_accepted_when_resent(machines: int) -> None:
    async def steps(scenario: Scenario) -> None:
        old = await scenario.isolate_primary_with_undecided_record()
        assert await scenario.send(old.address, LOST) == UNCONFIRMED
        assert await scenario.send(scenario.others(old)[0], LOST) == 200
        scenario.heal()
        await asyncio.sleep(CATCH_UP_S)
        for address in scenario.cluster.addresses:
            assert await scenario.send(address, LOST) == 200
        assert [state.version for state in scenario.states()] == [3] * machines

    run_scenario(machines, steps)


@pytest.mark.parametrize("machines", [3, 5])
def test_lost_order_is_rejected_when_resent_after_a_rival_order_was_accepted(machines: int) -> None:
    async def steps(scenario: Scenario) -> None:
        old = await scenario.isolate_primary_with_undecided_record()
        first, second = scenario.others(old)[:2]
        assert await scenario.send(first, RIVAL) == 200
        assert await scenario.send(second, LOST) == 412
        assert await scenario.send(old.address, LOST) == UNCONFIRMED
        scenario.heal()
        await asyncio.sleep(CATCH_UP_S)
        for address in scenario.cluster.addresses:
            assert await scenario.send(address, LOST) == 412
            assert await scenario.send(address, RIVAL) == 200
        accepted = [(state.is_accepted(LOST), state.is_accepted(RIVAL)) for state in scenario.states()]
        assert accepted == [(False, True)] * machines

    run_scenario(machines, steps)


def test_order_committed_after_the_failure_of_its_primary_is_acknowledged_when_resent() -> None:
    async def steps(scenario: Scenario) -> None:
        old = scenario.primary
        call = asyncio.ensure_future(scenario.send(old.address, LOST))
        while not old.has_undecided:
            await asyncio.sleep(0.0005)
        old.is_frozen = True  # messages already sent arrive; the answers do not
        await asyncio.sleep(FAILOVER_S)
        first, second = scenario.others(old)
        assert await scenario.send(first, RIVAL) == 412
        assert await scenario.send(second, LOST) == 200
        scenario.cluster.thaw(old.address)
        await asyncio.sleep(CATCH_UP_S)
        assert await call in (200, UNCONFIRMED)
        assert await scenario.send(old.address, LOST) == 200

    run_scenario(3, steps)


def test_neither_an_order_nor_its_rival_is_confirmed_while_copies_are_missing() -> None:
    async def steps(scenario: Scenario) -> None:
        primary = scenario.primary
        for address in scenario.others(primary):
            scenario.cluster.disks[address].is_full = True
        sent = [asyncio.ensure_future(scenario.send(primary.address, what)) for what in (LOST, LOST, RIVAL)]
        statuses = await asyncio.gather(*sent)
        assert statuses == [UNCONFIRMED] * 3
        for disk in scenario.cluster.disks.values():
            disk.is_full = False
        await asyncio.sleep(CATCH_UP_S)
        assert [
            await scenario.send(address, what)
            for address in scenario.cluster.addresses
            for what in (LOST, RIVAL)
        ] == [200, 412] * 3

    run_scenario(3, steps)


def test_isolated_primary_neither_serves_reads_nor_rejects_orders_from_its_own_state() -> None:
    async def steps(scenario: Scenario) -> None:
        old = scenario.primary
        scenario.cut_off(old)
        assert old.member.is_primary
        stale, ahead = order(2, 0, "stale"), order(4, 3, "ahead")
        asked = [scenario.read(old.address), *(scenario.send(old.address, one) for one in (stale, ahead))]
        assert await asyncio.gather(*asked) == [(UNCONFIRMED, 0), UNCONFIRMED, UNCONFIRMED]

    run_scenario(3, steps)


def test_missing_configuration_is_not_reported_by_a_process_that_cannot_know_it() -> None:
    async def main() -> None:
        scenario = await Scenario.begin(3)
        old = scenario.primary
        assert [(await scenario.read(address))[0] for address in scenario.cluster.addresses] == [404] * 3
        scenario.cut_off(old)
        assert await scenario.read(old.address) == (UNCONFIRMED, 0)
        await asyncio.sleep(FAILOVER_S)
        assert await scenario.send(scenario.others(old)[0], FIRST) == 200
        assert await scenario.read(old.address) == (UNCONFIRMED, 0)
        scenario.heal()
        await asyncio.sleep(CATCH_UP_S)
        assert await scenario.read(old.address) == (200, 1)

    virtual_loop.run(main())


def test_only_one_of_eight_concurrent_orders_with_one_version_is_accepted_and_never_the_invalid_one() -> None:
    async def steps(scenario: Scenario) -> None:
        rivals = [
            order(3, 1, f"{sort}-{number}", sort) for sort in ("replace", "change") for number in range(3)
        ]
        bad = OperatorOrder("replace", 1, rivals[0].body[:-1])
        again = OperatorOrder("change", 1, rivals[0].body)  # the same text as a change adds nothing
        sent = [*rivals, bad, again]
        everywhere = scenario.cluster.addresses
        statuses = await asyncio.gather(
            *(scenario.send(everywhere[number % 3], one) for number, one in enumerate(sent))
        )
        assert sorted(statuses)[0] == 200
        assert statuses.count(200) == 1
        assert statuses[6] in (400, 412)
        repeated = [await scenario.send(everywhere[0], one) for one in sent]
        assert [status == 200 for status in repeated] == [status == 200 for status in statuses]

    run_scenario(3, steps)


def test_same_body_with_another_base_version_is_a_different_order() -> None:
    async def steps(scenario: Scenario) -> None:
        address = scenario.cluster.addresses[0]
        assert await scenario.send(address, LOST) == 200
        assert await scenario.send(address, OperatorOrder("replace", 3, LOST.body)) == 400  # 3 is not above 3
        assert await scenario.send(address, OperatorOrder("replace", 2, LOST.body)) == 412
        assert await scenario.send(address, order(5, 3, "next")) == 200
        assert await scenario.send(address, LOST) == 200  # superseded, and sent again

    run_scenario(3, steps)
