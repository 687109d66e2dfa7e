"""The guarantees of the log under power losses, kills and failed calls at any point."""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import suppress

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from larchgw.storage.errors import StorageError
from tests.support.faulty_files import FaultyFiles, PowerLossError
from tests.support.storage_model import CheckedLog, make_record

SEEDS = range(6)
"""Seeds of the random outcomes of each power loss."""


def append_records(log: CheckedLog, numbers: range) -> None:
    for number in numbers:
        log.append(make_record(number))


def fill_segments(log: CheckedLog) -> None:
    for start in range(0, 24, 3):
        append_records(log, range(start, start + 3))
        log.sync()


def truncate_repeatedly(log: CheckedLog) -> None:
    fill_segments(log)
    log.truncate_after(20)
    append_records(log, range(100, 102))
    log.truncate_after(5)
    append_records(log, range(200, 206))
    log.sync()
    log.truncate_after(0)
    append_records(log, range(300, 303))
    log.sync()


def compact_repeatedly(log: CheckedLog) -> None:
    fill_segments(log)
    log.compact(10, b"ten")
    append_records(log, range(100, 103))
    log.compact(27, b"all")
    append_records(log, range(200, 210))
    log.sync()
    log.truncate_after(30)
    log.compact(28, b"most" * 50)
    append_records(log, range(300, 303))
    log.sync()


def install_repeatedly(log: CheckedLog) -> None:
    fill_segments(log)
    log.install(10, b"ten")
    append_records(log, range(100, 104))
    log.sync()
    log.compact(12, b"twelve")
    append_records(log, range(200, 202))
    log.install(50, b"fifty")
    append_records(log, range(300, 303))
    log.sync()


SCRIPTS = [fill_segments, truncate_repeatedly, compact_repeatedly, install_repeatedly]


def count_calls(script: Callable[[CheckedLog], None]) -> int:
    port = FaultyFiles()
    script(CheckedLog(port))
    return port.call_count


def run_until_power_loss(script: Callable[[CheckedLog], None], power_loss_at: int, seed: int) -> CheckedLog:
    """Runs the script until the power loss; returns the log before its recovery."""
    port = FaultyFiles(seed, strict=seed % 2 == 1)
    log = CheckedLog(port)
    port.power_loss_at = power_loss_at
    with suppress(PowerLossError):
        script(log)
    return log


@pytest.mark.parametrize("script", SCRIPTS)
def test_power_loss_at_any_call_keeps_every_guarantee(script: Callable[[CheckedLog], None]) -> None:
    for power_loss_at in range(2, count_calls(script) + 1):
        for seed in SEEDS:
            log = run_until_power_loss(script, power_loss_at, seed)
            log.lose_power()
            log.append(b"after the loss")
            log.sync()
            log.lose_power()
            assert log.state.records[-1] == b"after the loss"


@pytest.mark.parametrize("script", SCRIPTS)
def test_power_loss_during_recovery_keeps_every_guarantee(
    script: Callable[[CheckedLog], None],
) -> None:
    for power_loss_at in range(2, count_calls(script) + 1, 2):
        for second_cut in range(1, 6):
            log = run_until_power_loss(script, power_loss_at, power_loss_at)
            log.port.lose_power()
            log.port.power_loss_at = log.port.call_count + second_cut
            try:
                log.reopen()
            except PowerLossError:
                log.lose_power()


@pytest.mark.parametrize("script", SCRIPTS)
def test_power_loss_after_a_kill_keeps_what_was_recovered(
    script: Callable[[CheckedLog], None],
) -> None:
    for power_loss_at in range(2, count_calls(script) + 1):
        for seed in SEEDS:
            log = run_until_power_loss(script, power_loss_at, seed)
            log.kill_process()
            log.lose_power()


@pytest.mark.parametrize("script", SCRIPTS)
@pytest.mark.parametrize("call", ["write", "truncate", "rename", "remove", "sync_file", "sync_folder"])
def test_failed_call_guarantees_nothing_and_can_be_repeated(
    script: Callable[[CheckedLog], None], call: str
) -> None:
    for seed in range(40):
        port = FaultyFiles(seed, strict=seed % 2 == 1)
        log = CheckedLog(port)
        generator = random.Random(seed)
        for _ in range(4):
            port.failures_left[call] = generator.randrange(3)
            try:
                script(log)
            except StorageError:
                pass
            except ValueError:
                break
        port.failures_left.clear()
        if generator.random() < 0.5:
            log.append(b"after the failures")
            log.sync()
        log.lose_power()


class LogMachine(RuleBasedStateMachine):
    """Runs calls, failures, power losses and kills in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.port = FaultyFiles(1, strict=True)
        self.log = CheckedLog(self.port)
        self.count = 0

    def attempt(self, call: Callable[[], None]) -> None:
        try:
            call()
        except PowerLossError:
            self.lose_power()
        except StorageError:
            pass

    def index_at(self, share: float) -> int:
        """Index of the last record of this share of the records; that of the snapshot for share 0."""
        state = self.log.state
        return state.snapshot_index + int(share * len(state.records))

    @rule(size=st.integers(0, 120))
    def append(self, size: int) -> None:
        self.count += 1
        self.attempt(lambda: self.log.append(f"{self.count}:".encode() + b"x" * size))

    @rule()
    def sync(self) -> None:
        self.attempt(self.log.sync)

    @rule(share=st.floats(0, 1))
    def truncate(self, share: float) -> None:
        self.attempt(lambda: self.log.truncate_after(self.index_at(share)))

    @rule(share=st.floats(0, 1))
    def compact(self, share: float) -> None:
        up_to = self.index_at(share)
        self.attempt(lambda: self.log.compact(up_to, f"snapshot {up_to}".encode() * 5))

    @rule(index=st.integers(1, 60))
    def install(self, index: int) -> None:
        self.count += 1
        self.attempt(lambda: self.log.install(index, f"installed {self.count}".encode()))

    @rule()
    def lose_power(self) -> None:
        self.port.refuses_writes = False
        self.port.failures_left.clear()
        self.log.lose_power()

    @rule()
    def kill(self) -> None:
        self.port.refuses_writes = False
        self.port.failures_left.clear()
        self.log.kill_process()

    @rule(ahead=st.integers(1, 8))
    def lose_power_soon(self, ahead: int) -> None:
        self.port.power_loss_at = self.port.call_count + ahead

    @rule(call=st.sampled_from(["write", "truncate", "rename", "remove", "sync_file", "sync_folder"]))
    def fail_next(self, call: str) -> None:
        self.port.failures_left[call] = 1

    @rule()
    def fill_disk(self) -> None:
        self.port.refuses_writes = True

    @precondition(lambda self: self.port.refuses_writes)
    @rule()
    def free_disk(self) -> None:
        self.port.refuses_writes = False


LogMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=40)
TestLogMachine = LogMachine.TestCase
