"""Orders around the loss of a primary, each moment forced: real members, logs and calls in virtual time."""

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

SILENCE_S = 1.0  # of an operator
FAILOVER_S = 2.0  # a new primary acts within this
CATCH_UP_S = 6.0  # one that comes back has what the others have
UNCLEAR = 503


def order(version: int, base_version: int, mark: str, operation: str = "replace") -> OperatorOrder:
    services = [{"name": "s", "health_path": f"/{mark}"}]
    body = (
        {"config_version": version, "add": {"services": services}}
        if operation == "change"
        else {"config_version": version, "routes": [], "services": services}
    )
    return OperatorOrder(operation, base_version, json.dumps(body).encode())


FIRST, LOST, RIVAL = order(1, 0, "first"), order(3, 1, "lost"), order(3, 1, "rival")


class Scene:
    """Control processes that have taken FIRST; answers are not lost."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster

    @classmethod
    async def begin(cls, machines: int) -> Scene:
        scene = cls(SimulatedCluster(7, machines))
        scene.cluster.links.answer_loss_rate = 0.0
        for address in scene.cluster.addresses:
            scene.cluster.start(address, first_boot=True)
        await asyncio.sleep(FAILOVER_S)
        return scene

    @property
    def primary(self) -> Process:
        (address,) = self.cluster.primaries
        return self.cluster.processes[address]

    def others(self, process: Process) -> list[str]:
        return [address for address in self.cluster.addresses if address != process.address]

    async def send(self, address: str, sent: OperatorOrder) -> int:
        answer = await self.cluster.call(address, sent.operation, sent.base_version, sent.body, SILENCE_S)
        return UNCLEAR if answer is None else answer.status

    async def read(self, address: str) -> tuple[int, int]:
        answer = await self.cluster.call(address, "read", -1, b"", SILENCE_S)
        if answer is None or answer.status != 200:
            return (UNCLEAR if answer is None else answer.status), 0
        return 200, json.loads(answer.body)["config_version"]

    def cut_off(self, process: Process) -> None:
        alone = process.address
        self.cluster.links.is_cut = lambda sender, receiver: alone in (sender, receiver)

    def heal(self) -> None:
        self.cluster.links.is_cut = no_link_is_cut

    def states(self) -> list[ConfigurationState]:
        return [process.state for process in self.cluster.processes.values()]

    async def leave_a_record_behind(self) -> Process:
        """The primary proposes LOST in the moment in which it is cut off; the others get another one."""
        old = self.primary
        propose = old.log.propose

        async def cut_and_propose(record: bytes) -> int:
            self.cut_off(old)
            return await propose(record)

        old.log.propose = cut_and_propose  # type: ignore[method-assign]
        assert await self.send(old.address, LOST) == UNCLEAR
        assert old.member.last_index > old.member.committed_index
        await asyncio.sleep(FAILOVER_S)
        return old


def played(machines: int, scene: Callable[[Scene], Awaitable[None]]) -> None:
    async def play() -> None:
        playing = await Scene.begin(machines)
        assert await playing.send(playing.cluster.addresses[0], FIRST) == 200
        await scene(playing)
        if playing.cluster.failed.done():
            playing.cluster.failed.result()

    virtual_loop.run(play())


@pytest.mark.parametrize("machines", [3, 5])
def test_an_order_whose_record_is_dropped_with_its_primary_is_taken_when_sent_again(machines: int) -> None:
    async def scene(playing: Scene) -> None:
        old = await playing.leave_a_record_behind()
        assert await playing.send(old.address, LOST) == UNCLEAR
        assert await playing.send(playing.others(old)[0], LOST) == 200
        playing.heal()
        await asyncio.sleep(CATCH_UP_S)
        for address in playing.cluster.addresses:
            assert await playing.send(address, LOST) == 200
        assert [state.version for state in playing.states()] == [3] * machines

    played(machines, scene)


@pytest.mark.parametrize("machines", [3, 5])
def test_where_a_rival_won_meanwhile_the_dropped_order_is_refused_and_never_in_force(machines: int) -> None:
    async def scene(playing: Scene) -> None:
        old = await playing.leave_a_record_behind()
        first, second = playing.others(old)[:2]
        assert await playing.send(first, RIVAL) == 200
        assert await playing.send(second, LOST) == 412
        assert await playing.send(old.address, LOST) == UNCLEAR
        playing.heal()
        await asyncio.sleep(CATCH_UP_S)
        for address in playing.cluster.addresses:
            assert await playing.send(address, LOST) == 412
            assert await playing.send(address, RIVAL) == 200
        taken = [(state.is_accepted(LOST), state.is_accepted(RIVAL)) for state in playing.states()]
        assert taken == [(False, True)] * machines

    played(machines, scene)


def test_an_order_that_outlives_its_primary_is_acknowledged_when_sent_again() -> None:
    async def scene(playing: Scene) -> None:
        old = playing.primary
        call = asyncio.ensure_future(playing.send(old.address, LOST))
        while not old.has_undecided:
            await asyncio.sleep(0.0005)
        old.is_frozen = True  # what it has sent arrives; what comes back does not
        await asyncio.sleep(FAILOVER_S)
        first, second = playing.others(old)
        assert await playing.send(first, RIVAL) == 412
        assert await playing.send(second, LOST) == 200
        playing.cluster.thaw(old.address)
        await asyncio.sleep(CATCH_UP_S)
        assert await call in (200, UNCLEAR)
        assert await playing.send(old.address, LOST) == 200

    played(3, scene)


def test_while_copies_are_missing_neither_the_order_nor_a_rival_gets_a_clear_answer() -> None:
    async def scene(playing: Scene) -> None:
        primary = playing.primary
        for address in playing.others(primary):
            playing.cluster.disks[address].is_full = True
        sent = [asyncio.ensure_future(playing.send(primary.address, what)) for what in (LOST, LOST, RIVAL)]
        statuses = await asyncio.gather(*sent)
        assert statuses == [UNCLEAR] * 3
        for disk in playing.cluster.disks.values():
            disk.is_full = False
        await asyncio.sleep(CATCH_UP_S)
        assert [
            await playing.send(address, what)
            for address in playing.cluster.addresses
            for what in (LOST, RIVAL)
        ] == [200, 412] * 3

    played(3, scene)


def test_a_primary_that_is_cut_off_neither_reads_nor_refuses_from_what_it_has() -> None:
    async def scene(playing: Scene) -> None:
        old = playing.primary
        playing.cut_off(old)
        assert old.member.is_primary
        stale, ahead = order(2, 0, "stale"), order(4, 3, "ahead")
        asked = [playing.read(old.address), *(playing.send(old.address, one) for one in (stale, ahead))]
        assert await asyncio.gather(*asked) == [(UNCLEAR, 0), UNCLEAR, UNCLEAR]

    played(3, scene)


def test_missing_configuration_is_not_reported_by_a_process_that_cannot_know_it() -> None:
    async def play() -> None:
        playing = await Scene.begin(3)
        old = playing.primary
        assert [(await playing.read(address))[0] for address in playing.cluster.addresses] == [404] * 3
        playing.cut_off(old)
        assert await playing.read(old.address) == (UNCLEAR, 0)
        await asyncio.sleep(FAILOVER_S)
        assert await playing.send(playing.others(old)[0], FIRST) == 200
        assert await playing.read(old.address) == (UNCLEAR, 0)
        playing.heal()
        await asyncio.sleep(CATCH_UP_S)
        assert await playing.read(old.address) == (200, 1)

    virtual_loop.run(play())


def test_of_eight_at_once_under_one_number_one_wins_and_a_bad_one_among_them_never_does() -> None:
    async def scene(playing: Scene) -> None:
        rivals = [
            order(3, 1, f"{sort}-{number}", sort) for sort in ("replace", "change") for number in range(3)
        ]
        bad = OperatorOrder("replace", 1, rivals[0].body[:-1])
        again = OperatorOrder("change", 1, rivals[0].body)  # the same text as a change adds nothing
        sent = [*rivals, bad, again]
        everywhere = playing.cluster.addresses
        statuses = await asyncio.gather(
            *(playing.send(everywhere[number % 3], one) for number, one in enumerate(sent))
        )
        assert sorted(statuses)[0] == 200
        assert statuses.count(200) == 1
        assert statuses[6] in (400, 412)
        repeated = [await playing.send(everywhere[0], one) for one in sent]
        assert [status == 200 for status in repeated] == [status == 200 for status in statuses]

    played(3, scene)


def test_the_same_text_on_another_version_is_another_order() -> None:
    async def scene(playing: Scene) -> None:
        address = playing.cluster.addresses[0]
        assert await playing.send(address, LOST) == 200
        assert await playing.send(address, OperatorOrder("replace", 3, LOST.body)) == 400  # 3 is not above 3
        assert await playing.send(address, OperatorOrder("replace", 2, LOST.body)) == 412
        assert await playing.send(address, order(5, 3, "next")) == 200
        assert await playing.send(address, LOST) == 200  # superseded, and sent again

    played(3, scene)
