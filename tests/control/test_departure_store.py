"""The departure store on a faulty disk: what it calls durable comes back after any end of the process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from larchgw.control.departure_store import MAX_RECORDS, RETRY_PAUSE_S, DepartureStore
from larchgw.distribution.registry import Registry
from larchgw.emulator.virtual_loop import run
from larchgw.rpc.generated.ttypes import Entry
from larchgw.runner_directory.directory import GONE_MAJOR
from larchgw.runner_directory.runner_record import Stage
from larchgw.storage.log import Log
from tests.support.faulty_files import FaultyFiles, PowerLossError
from tests.support.virtual_time import in_virtual_time

FOLDER = "departures"


class SlowDisk:
    """A DiskExecutor that takes a time for each operation, and may stand still."""

    def __init__(self, seconds: float = 0.0) -> None:
        self.seconds = seconds
        self.operations = 0
        self.proceed = asyncio.Event()
        self.proceed.set()

    async def run(self, operation: Callable[[], None]) -> None:
        self.operations += 1
        await asyncio.sleep(self.seconds)
        await self.proceed.wait()
        operation()


class Process:
    """One incarnation of a control process, reduced to its registry and its store."""

    def __init__(self, files: FaultyFiles, incarnation: int = 1, seconds: float = 0.0) -> None:
        self.disk = SlowDisk(seconds)
        self.registry = Registry(f"a.{incarnation}")
        self.store = DepartureStore(self.registry, Log.open(files, FOLDER, segment_bytes=512), self.disk)

    def publish(self, runner: str, stage: Stage = Stage.GONE, count: int = 1) -> Entry:
        key = f"runner/{runner}"
        self.registry.put(key, b"record of " + runner.encode(), count, int(stage))
        entry = self.registry.get(key)
        assert entry is not None
        return entry

    def stage_of(self, runner: str) -> Stage | None:
        entry = self.registry.get(f"runner/{runner}")
        return None if entry is None else Stage(entry.minor)


@in_virtual_time
async def test_what_was_called_durable_comes_back_unchanged_in_the_next_incarnation() -> None:
    files = FaultyFiles()
    process = Process(files)
    entries = [process.publish("i-1", Stage.DRAINING), process.publish("i-2")]
    assert await process.store.make_durable(entries)
    files.lose_power()
    restarted = Process(files, incarnation=2)
    assert [restarted.registry.get(entry.key) for entry in entries] == entries


@in_virtual_time
async def test_runners_that_are_ready_or_silent_are_not_stored() -> None:
    files = FaultyFiles()
    process = Process(files)
    entries = [process.publish("i-1", Stage.READY), process.publish("i-2", Stage.SILENT)]
    assert await process.store.make_durable(entries)
    assert process.disk.operations == 0


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("how", ["lose_power", "kill_process"])
def test_an_end_at_any_write_loses_nothing_that_was_called_durable(how: str, seed: int) -> None:
    """Guards against a loss of power or a kill between the write of a departure and its sync."""
    files = FaultyFiles(seed, strict=seed % 2 == 0)
    durable: set[str] = set()

    async def depart(process: Process, first: int) -> None:
        for number in range(first, first + 6):
            entry = process.publish(f"i-{number}", Stage.DRAINING if number % 3 else Stage.GONE)
            if await process.store.make_durable([entry]):
                durable.add(f"i-{number}")

    async def main(incarnation: int) -> None:
        process = Process(files, incarnation)
        assert all(process.stage_of(runner) is not None for runner in durable)
        files.power_loss_at = files.call_count + 1 + files.random.randrange(14)
        departing = asyncio.ensure_future(depart(process, incarnation * 10))
        await asyncio.sleep(1.0)
        departing.cancel()
        await asyncio.gather(departing, return_exceptions=True)

    for incarnation in range(1, 8):
        run_ignoring_power_loss(lambda number=incarnation: main(number))  # type: ignore[misc]
        getattr(files, how)()
    assert durable


def run_ignoring_power_loss(main: Callable[[], object]) -> None:
    """The writer's task ends with PowerLossError, as a thread of a process without power does."""

    async def guarded() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await main()  # type: ignore[misc]

    try:
        run(guarded())
    except PowerLossError:
        return


@in_virtual_time
async def test_a_wave_of_departures_costs_two_syncs() -> None:
    files = FaultyFiles()
    process = Process(files, seconds=0.02)
    first = asyncio.ensure_future(process.store.make_durable([process.publish("i-0")]))
    await asyncio.sleep(0.01)
    wave = [process.store.make_durable([process.publish(f"i-{number}")]) for number in range(1, 141)]
    assert all(await asyncio.gather(first, *wave))
    assert asyncio.get_running_loop().time() == pytest.approx(0.04, abs=0.005)
    assert sum(call.startswith("sync_file") for call in files.call_log) == 2


@in_virtual_time
async def test_a_refused_write_is_reported_and_repeated_later() -> None:
    files = FaultyFiles()
    process = Process(files)
    files.refuses_writes = True
    entry = process.publish("i-1")
    assert not await process.store.make_durable([entry])
    files.refuses_writes = False
    await asyncio.sleep(RETRY_PAUSE_S + 0.1)
    assert len(process.store) == 1
    assert Process(files, incarnation=2).stage_of("i-1") is Stage.GONE


@in_virtual_time
async def test_a_failed_sync_makes_nothing_durable() -> None:
    files = FaultyFiles()
    process = Process(files)
    files.failures_left["sync_file"] = 1
    assert not await process.store.make_durable([process.publish("i-1")])
    assert len(process.store) == 0
    assert await process.store.make_durable([process.publish("i-2")])
    files.lose_power()
    assert {Process(files, incarnation=2).stage_of(runner) for runner in ("i-1", "i-2")} == {Stage.GONE}


@in_virtual_time
async def test_an_expired_tombstone_does_not_come_back_after_a_restart() -> None:
    files = FaultyFiles()
    process = Process(files)
    assert await process.store.make_durable([process.publish("i-1"), process.publish("i-2")])
    process.registry.remove_if("runner/i-1", lambda entry: True)
    await asyncio.sleep(0.1)
    restarted = Process(files, incarnation=2)
    assert restarted.stage_of("i-1") is None
    assert restarted.stage_of("i-2") is Stage.GONE


@in_virtual_time
async def test_the_journal_does_not_grow_with_the_number_of_departures_that_expired() -> None:
    files = FaultyFiles()
    process = Process(files)
    for number in range(3 * MAX_RECORDS):
        assert await process.store.make_durable([process.publish("i-1", Stage.DRAINING, number + 1)])
    assert await process.store.make_durable([process.publish("i-1", Stage.GONE, GONE_MAJOR)])
    assert files.used() < 200 * MAX_RECORDS
    assert Process(files, incarnation=2).stage_of("i-1") is Stage.GONE


@in_virtual_time
async def test_a_repeated_push_during_a_write_waits_for_that_write_only() -> None:
    files = FaultyFiles()
    process = Process(files, seconds=0.5)
    entry = process.publish("i-1")
    first = asyncio.ensure_future(process.store.make_durable([entry]))
    await asyncio.sleep(0.3)
    assert await process.store.make_durable([entry])
    assert asyncio.get_running_loop().time() == pytest.approx(0.5, abs=0.01)
    assert await first
    assert process.disk.operations == 1
