"""The whole system's real processes under an emulated calm day: every rule is kept, and requests are served.

Nothing here asserts a speed: on a busy machine requests may come late or be refused.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from larchgw.cli.errors import UsageError
from larchgw.cli.main import call
from larchgw.cli.system_trial import TERMINATED
from larchgw.configuration.settings import TimeLimits, parse_settings
from larchgw.configuration.settings_check import settings_faults
from larchgw.emulator.system.network import PORTS, Network
from larchgw.emulator.system.records import Records
from larchgw.emulator.system.rig import Rig
from larchgw.emulator.system.site import ENGINES, Site
from larchgw.emulator.system.trial import SystemSpec, run
from tests.support.stand_ins import PATIENCE, ROOT, until


def test_a_calm_day_breaks_no_rule_and_every_class_is_served(tmp_path: Path) -> None:
    site = Site(edges=2, runners=4, models=6, rate=12.0)
    outcome = asyncio.run(run(SystemSpec(seconds=4.0, site=site, folder=tmp_path)))
    assert outcome.broken == []
    assert outcome.statuses == [0] * (site.controls + site.edges)
    assert set(outcome.results) == {one.name for one in site.classes}
    assert all(result.served > 0 for result in outcome.results.values())
    read_back = outcome.records.read_back
    assert read_back is not None
    assert read_back["config_version"] == 1
    for log in tmp_path.glob("*/log"):
        assert re.search(r"event=process\.build version=\S+ source=[0-9a-f]{12}$", log.read_text(), re.M)


def refused(address: str) -> bool:
    """Whether nobody listens there."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) != 0


def test_a_trial_that_is_told_to_end_leaves_no_process_behind(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "larchgw", "try", "--system", "--edges", "1", "--folder", str(tmp_path)]
    trial = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    try:
        log = tmp_path / "control-3" / "log"
        until(lambda: log.exists() and "event=control.started" in log.read_text())
        trial.terminate()
        assert trial.wait(3 * PATIENCE) == TERMINATED
    finally:
        trial.kill()
        trial.wait()
    addresses = [
        json.loads(file.read_text())["listen"]["control"] for file in tmp_path.glob("control-*/local.json")
    ]
    assert len(addresses) == 3
    assert all(refused(address) for address in addresses)


def test_the_settings_of_every_process_are_without_fault(tmp_path: Path) -> None:
    network = Network.claim(random.Random(7))
    network.close()
    rig = Rig(network, tmp_path, Records(), TimeLimits(), lambda: 0.0, controls=3, edges=4)
    for machine in rig.machines:
        settings = parse_settings(
            machine.settings(rig.control_addresses(), TimeLimits(fenced=True), first_boot=True)
        )
        assert settings_faults(settings) == []
        assert settings.time_limits.fenced
    assert len({machine.ip for machine in rig.machines}) == 7


def test_two_networks_never_share_an_address() -> None:
    first, second = Network.claim(random.Random(7)), Network.claim(random.Random(7))
    try:
        assert (first.prefix, first.first_port) != (second.prefix, second.first_port)
    finally:
        first.close()
        second.close()


def take_a_port_of_a_network_everywhere(taken: socket.socket) -> tuple[int, int]:
    """Returns a seed and a port of the network that it claims, bound on all addresses.

    Another trial may use the port number on addresses of its own; then the next seed is tried.
    """
    for seed in range(7, 57):
        wanted = Network.claim(random.Random(seed))
        wanted.close()
        try:
            taken.bind(("0.0.0.0", wanted.first_port + 3))
        except OSError:
            continue
        return seed, wanted.first_port + 3
    raise AssertionError("no port is free on all addresses")


def test_a_port_that_is_taken_on_all_addresses_is_not_claimed() -> None:
    with socket.socket() as taken:
        seed, port = take_a_port_of_a_network_everywhere(taken)
        other = Network.claim(random.Random(seed))
        other.close()
    assert not other.first_port <= port < other.first_port + PORTS


def test_every_model_is_held_at_the_start_where_there_is_room() -> None:
    site = Site(runners=6, models=12)
    engines = site.services().count(ENGINES)
    held = site.initially_held(engines)
    assert {name for names in held for name in names} == set(site.model_names())
    assert all(len(names) == len(set(names)) for names in held)


@pytest.mark.parametrize(
    "option", [["--edges", "0"], ["--runners", "two"], ["--models", "0"], ["--rate", "-1"], ["--folder"]]
)
def test_sizes_that_cannot_be_played_are_refused_before_anything_starts(option: list[str]) -> None:
    with pytest.raises(UsageError, match=option[0]):
        call(["try", "--system", *option])


def test_a_folder_that_holds_something_is_not_played_over(tmp_path: Path) -> None:
    (tmp_path / "kept").write_text("from an earlier trial")
    with pytest.raises(UsageError, match="not empty"):
        call(["try", "--system", "--folder", str(tmp_path)])
