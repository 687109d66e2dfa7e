"""Process settings: unneeded or unknown fields must not prevent a start, and errors must be reported."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from larchgw.configuration.errors import SettingsError
from larchgw.configuration.settings import SETTINGS_FILE_VARIABLE, load_settings, parse_settings
from larchgw.configuration.settings_check import is_address, settings_faults
from tests.support.configurations import with_value

CONTROL: dict[str, Any] = {
    "node_name": "core-1",
    "role": "control",
    "machine_class": "core",
    "serves": ["control"],
    "ip": "10.1.0.37",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r", "b": "r"},
    "listen": {"control": "10.1.0.37:8146"},
    "spare_ports": [7660, 7675],
    "seed_list": ["10.1.0.37:8146", "10.2.0.30:8146"],
    "first_boot": True,
    "counts_for_quorum": True,
    "limits": {"cpu_share": 0.86, "cpus": 3, "memory_mb": 296, "open_files": 4096, "disk_mb": 128},
    "data_dir": "/data",
    "beat_ms": 1200,
    "promises": ["base"],
    "survive": {"computers": 1},
    "time_limits": {"ack_ms": 4000, "fenced": True, "origin_rate_cap": 1.1},
}


def test_settings_are_read_with_their_types() -> None:
    settings = parse_settings(CONTROL)
    limits = settings.time_limits
    assert (limits.ack_ms, limits.fenced, settings.survive.zones) == (4000.0, True, 0)
    assert (settings.listen.control, settings.listen.front, settings.port(0)) == ("10.1.0.37:8146", "", 7660)
    assert settings_faults(settings) == []


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("later", {"a": [1]}),
        ("discovery", ""),
        ("role", ""),
        ("data_dir", None),
        ("time_limits", None),
        ("time_limits.ack_ms", None),
        ("time_limits.ack_ms", ""),
        ("time_limits.later", "x"),
        ("survive", {}),
        ("limits.cpus", 3.0),
        ("time_limits.again_s", False),
        ("listen.front", None),
        ("promises", None),
    ],
)
def test_empty_or_unknown_fields_do_not_prevent_a_start(path: str, value: object) -> None:
    assert parse_settings(with_value(CONTROL, path, value)).node_name == "core-1"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("node_name", ...),
        ("node_name", ""),
        ("ip", None),
        ("zone", 3),
        ("time_limits.ack_ms", "soon"),
        ("limits.cpus", [3]),
        ("time_limits.fenced", "yes"),
        ("serves", "control"),
        ("listen", "10.1.0.37:8146"),
        ("spare_ports", [1]),
        ("spare_ports", ...),
    ],
)
def test_error_names_the_field_that_cannot_be_used(path: str, value: object) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(with_value(CONTROL, path, value))
    assert caught.value.field == path
    assert caught.value.remedy


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        ("listen", {}, "listen.control"),
        ("listen.control", "10.1.0.37", "listen.control"),
        ("listen.front", "host:http", "listen.front"),
        ("serves", ["edge", "control"], "listen.front"),
        ("seed_list", [], "seed_list"),
        ("seed_list", ["10.1.0.37"], "seed_list[0]"),
        ("spare_ports", [7675, 7660], "spare_ports"),
        ("spare_ports", [7660, 7661], "spare_ports"),
        ("zone", "c", "zone"),
        ("data_dir", None, "data_dir"),
        ("time_limits.lease_term_ms", 0, "time_limits.lease_term_ms"),
        ("time_limits.ack_ms", -1, "time_limits.ack_ms"),
        ("survive.computers", -1, "survive.computers"),
    ],
)
def test_faults_name_the_field_that_contradicts_another_or_a_range(
    path: str, value: object, field: str
) -> None:
    faults = settings_faults(parse_settings(with_value(CONTROL, path, value)))
    assert faults
    assert faults[0].field == field


@pytest.mark.parametrize(
    ("text", "right"),
    [
        ("10.0.0.1:80", True),
        ("h:65535", True),
        ("h:0", False),
        ("h:65536", False),
        (":80", False),
        ("h:", False),
        ("h", False),
        ("", False),
        ("h:8²", False),
    ],
)
def test_is_address_requires_host_and_port(text: str, right: bool) -> None:
    assert is_address(text) is right


def test_settings_are_loaded_from_the_file_that_the_environment_names(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "local.json"
    path.write_text(json.dumps(CONTROL))
    monkeypatch.setenv(SETTINGS_FILE_VARIABLE, str(path))
    assert load_settings() == parse_settings(CONTROL)
    for text in ("[]", "{", ""):
        path.write_text(text)
        with pytest.raises(SettingsError, match="local.json"):
            load_settings()
    monkeypatch.delenv(SETTINGS_FILE_VARIABLE)
    with pytest.raises(SettingsError, match=SETTINGS_FILE_VARIABLE):
        load_settings()


def test_port_beyond_the_spare_ports_is_rejected() -> None:
    settings = parse_settings(CONTROL)
    assert settings.port(15) == 7675
    with pytest.raises(SettingsError, match="spare_ports"):
        settings.port(16)
