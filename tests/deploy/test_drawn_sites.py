"""Deployments drawn from a site file differ in their figures and in nothing else."""

from __future__ import annotations

import runpy
import tomllib
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

SCRIPT = Path(__file__).parents[2] / "deploy" / "sites" / "draw_system.py"
SITE = """name = "s"
services = [{ name = "llm", llm = { kv_tokens = 229973, adapter_slots = 8 } }]
classes = [{ name = "note", aim_ms = 400, deadline_ms = 5000 }, { name = "plan", aim_ms = 800.0 }]
models = [{ name = "m0", load_s = 1.9, share = 0.1 }, { name = "m1", load_s = 1.0, share = 0.1 }]
traffic = [{ zone = "a", per_s = 100.0, clients = 7 }]

[goal]
mean = 0.4
window = 0.1
class = 0.3
zone = 0.2

[weights]
per_s = 29.0
at_once = 52

[[day]]
name = "scale-1"
traffic = [{ zone = "a", per_s = 200.0, clients = 7 }]
"""


@pytest.fixture(scope="module")
def draw() -> Callable[[str, Random], str]:
    function: Callable[[str, Random], str] = runpy.run_path(str(SCRIPT))["draw"]
    return function


def drawn(draw: Callable[[str, Random], str], seed: int) -> dict[str, Any]:
    return tomllib.loads(draw(SITE, Random(seed)))


def test_equal_seeds_draw_equal_deployments(draw: Callable[[str, Random], str]) -> None:
    assert drawn(draw, 3) == drawn(draw, 3) != drawn(draw, 4)


def test_traffic_of_the_days_changes_as_that_of_the_site(draw: Callable[[str, Random], str]) -> None:
    site = drawn(draw, 5)
    by_site, by_day = site["traffic"][0]["per_s"] / 100.0, site["day"][0]["traffic"][0]["per_s"] / 200.0
    assert by_site == pytest.approx(by_day, abs=1e-3)
    assert site["weights"]["per_s"] != 29.0


def test_whole_numbers_stay_whole_and_other_fields_stay(draw: Callable[[str, Random], str]) -> None:
    site = drawn(draw, 6)
    engine = site["services"][0]["llm"]
    assert isinstance(engine["kv_tokens"], int)
    assert isinstance(site["classes"][0]["aim_ms"], int)
    assert site["classes"][0]["deadline_ms"] == 5000
    assert site["traffic"][0]["clients"] == 7
    assert site["models"][0]["share"] == 0.1
