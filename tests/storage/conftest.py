"""Fixtures: a simulated disk and a log on it."""

from __future__ import annotations

import pytest

from larchgw.storage.log import Log
from tests.support.faulty_files import FaultyFiles
from tests.support.storage_model import FOLDER, SEGMENT_BYTES


@pytest.fixture
def port() -> FaultyFiles:
    return FaultyFiles()


@pytest.fixture
def log(port: FaultyFiles) -> Log:
    return Log.open(port, FOLDER, segment_bytes=SEGMENT_BYTES)
