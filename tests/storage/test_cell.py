"""The atomically replaced value (`Cell`) under losses of power, failures and damage."""

from __future__ import annotations

from contextlib import suppress

import pytest

from larchgw.storage.cell import Cell
from larchgw.storage.errors import CorruptCellError, DiskFailedError
from tests.support.faulty_files import FaultyFiles, PowerLossError
from tests.support.storage_model import FOLDER

VALUES = [b"one", b"two" * 30, b"", b"four", b"five" * 9]


def store_until_power_loss(port: FaultyFiles) -> int:
    """Stores VALUES, and reopens the cell after every second one; returns how many were stored."""
    stored = 0
    with suppress(PowerLossError):
        cell = Cell(port, FOLDER, "vote")
        for value in VALUES:
            cell.store(value)
            stored += 1
            if stored % 2:
                cell = Cell(port, FOLDER, "vote")
    return stored


def test_cell_returns_the_last_stored_value_or_the_next_after_any_power_loss() -> None:
    undisturbed = FaultyFiles()
    store_until_power_loss(undisturbed)
    for power_loss_at in range(1, undisturbed.call_count + 1):
        for seed in range(30):
            port = FaultyFiles(seed, strict=seed % 2 == 1)
            port.power_loss_at = power_loss_at
            stored = store_until_power_loss(port)
            allowed = [None, *VALUES][stored : stored + 2]
            kill_first = seed % 3 == 0
            if kill_first:
                port.kill_process()
                loaded = Cell(port, FOLDER, "vote").load()
                assert loaded in allowed
                allowed = [loaded]
            port.lose_power()
            assert Cell(port, FOLDER, "vote").load() in allowed


def test_failed_store_keeps_the_former_value_and_can_be_repeated(port: FaultyFiles) -> None:
    cell = Cell(port, FOLDER, "vote")
    cell.store(b"one")
    port.failures_left["sync_file"] = 1
    with pytest.raises(DiskFailedError):
        cell.store(b"two")
    assert cell.load() == b"one"
    cell.store(b"three")
    port.lose_power()
    assert Cell(port, FOLDER, "vote").load() == b"three"


def test_two_damaged_copies_are_reported(port: FaultyFiles) -> None:
    cell = Cell(port, FOLDER, "vote")
    cell.store(b"one")
    cell.store(b"two")
    for path in port.paths():
        port.flip_bit(path, 10)
    with pytest.raises(CorruptCellError, match="new replica"):
        Cell(port, FOLDER, "vote")


def test_value_that_is_too_long_is_rejected(port: FaultyFiles) -> None:
    with pytest.raises(ValueError, match="use the log"):
        Cell(port, FOLDER, "vote").store(bytes(70_000))
