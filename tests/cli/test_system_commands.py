"""`larchgw system`: exit statuses and output that operators and scripts rely on."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from larchgw.cli import system_config, system_disk
from larchgw.cli.errors import NoAnswerError, UsageError
from larchgw.cli.main import call
from larchgw.cli.operator_client import Call, Reply
from larchgw.cli.system_common import columns
from larchgw.cli.system_status import placement_lines, runner_lines, view_lines
from larchgw.rpc.generated.ttypes import (
    ControlStatus,
    DiskStatus,
    Entry,
    ModelStatus,
    OrderStatus,
    PlacementStatus,
    ProcessStatus,
    View,
)
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage
from larchgw.storage.files import DiskFiles
from larchgw.storage.log import Log
from tests.support.configurations import example

SETTINGS: dict[str, Any] = {
    "node_name": "core-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "spare_ports": [7660, 7675],
    "seed_list": ["127.0.0.1:8146", "127.0.0.2:8146"],
}


class Peer:
    def __init__(self, *answers: Reply) -> None:
        self.answers = list(answers)
        self.sent: list[tuple[str, Call]] = []

    def send(self, address: str, call: Call) -> Reply:
        self.sent.append((address, call))
        if not self.answers:
            raise NoAnswerError(address, "silence")
        return self.answers.pop(0)


@pytest.fixture
def peer(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> Peer:
    peer = Peer()
    monkeypatch.setattr(system_config, "_transport", lambda: peer)
    settings = tmp_path / "local.json"
    settings.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv("LARCHGW_NODE_FILE", str(settings))
    return peer


@pytest.fixture
def source(tmp_path: Path) -> str:
    path = tmp_path / "configuration.json"
    path.write_text(json.dumps(example()))
    return str(path)


def reply(status: int, **fields: object) -> Reply:
    return Reply(status, json.dumps(fields).encode())


def test_a_change_goes_to_the_seeds_byte_for_byte(
    peer: Peer, source: str, capsys: pytest.CaptureFixture[str]
) -> None:
    peer.answers = [reply(200, config_version=9)]
    assert call(["system", "config", "change", source, "--built-on", "7"]) == 0
    assert peer.sent == [
        ("127.0.0.1:8146", Call("POST", "/Config.Change", {"X-Built-On": "7"}, Path(source).read_bytes()))
    ]
    assert capsys.readouterr().out == "acknowledged; the current version is 9\n"


def test_a_refusal_is_one_line_with_field_and_remedy_and_status_1(
    peer: Peer, source: str, capsys: pytest.CaptureFixture[str]
) -> None:
    error = "X-Built-On: 5 is not the current version, 7; read it"
    peer.answers = [reply(412, error=error, config_version=7)]
    assert call(["system", "config", "replace", source, "--built-on", "5"]) == 1
    assert capsys.readouterr().err == f"larchgw: refused with 412: {error} (the current version is 7)\n"


def test_a_response_that_is_not_json_is_shown_unchanged(
    peer: Peer, source: str, capsys: pytest.CaptureFixture[str]
) -> None:
    peer.answers = [Reply(413, b"too large")]
    assert call(["system", "config", "replace", source, "--built-on", "5"]) == 1
    assert "413: too large" in capsys.readouterr().err


def test_an_unknown_outcome_is_distinguished_from_a_refusal(
    peer: Peer, source: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert call(["system", "config", "replace", source, "--built-on", "0", "--seconds", "0.1"]) == 3
    assert "may have been taken: send the same file again" in capsys.readouterr().err


def test_the_complete_configuration_is_printed_and_can_be_submitted_again(
    peer: Peer, capsys: pytest.CaptureFixture[str]
) -> None:
    peer.answers = [Reply(200, json.dumps(example()).encode())]
    assert call(["system", "config", "read", "--at", "10.0.0.9:1"]) == 0
    assert json.loads(capsys.readouterr().out) == example()
    assert peer.sent[0][0] == "10.0.0.9:1"


@pytest.mark.parametrize(
    ("arguments", "word"),
    [
        (["system"], "view"),
        (["system", "config"], "replace"),
        (["system", "log"], "verify"),
        (["system", "config", "replace", "FILE"], "--built-on"),
        (["system", "config", "replace", "FILE", "--built-on", "x"], "--built-on"),
        (["system", "config", "replace", "/nowhere", "--built-on", "1"], "/nowhere"),
        (["system", "config", "change", "FILE", "--built-on", "1", "--seconds", "0"], "--seconds"),
        (["system", "config", "read", "--at", "nowhere"], "nowhere"),
        (["system", "view", "--at", "10.0.0.1:99999"], "--at"),
        (["system", "runners", "--at", ","], "--at"),
        (["system", "log", "verify", "/nowhere"], "/nowhere"),
        (["system", "restore", "x"], "--data-dir"),
        (["system", "restore", "x", "--data-dir", "y", "--yes=1"], "--yes"),
    ],
)
def test_a_usage_error_sends_no_request(arguments: list[str], word: str, peer: Peer, source: str) -> None:
    with pytest.raises(UsageError) as caught:
        call([source if argument == "FILE" else argument for argument in arguments])
    assert word in str(caught.value)
    assert "\n" not in str(caught.value)
    assert peer.sent == []


def test_without_addresses_and_settings_the_call_says_what_to_name(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("LARCHGW_NODE_FILE", raising=False)
    with pytest.raises(UsageError, match="--at: name control processes, or set LARCHGW_NODE_FILE"):
        call(["system", "view"])


def test_a_log_is_verified_and_damage_gives_status_1(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = Log.open(DiskFiles(), str(tmp_path / "log"))
    log.append(b"first")
    log.sync()
    log.append(b"second")
    log.sync()
    assert call(["system", "log", "verify", str(tmp_path / "log")]) == 0
    assert call(["system", "log", "dump", str(tmp_path / "log")]) == 0
    assert "record 2 (durable up to 1): 6 bytes 'second'" in capsys.readouterr().out
    (segment,) = (tmp_path / "log").glob("*.seg")
    data = bytearray(segment.read_bytes())
    data[data.index(b"first")] ^= 1
    segment.write_bytes(data)
    assert call(["system", "log", "verify", str(tmp_path / "log")]) == 1
    assert capsys.readouterr().out.startswith("DAMAGED: ")
    assert call(["system", "log", "dump", str(tmp_path / "log")]) == 1
    assert capsys.readouterr().err.startswith("larchgw: ")


@pytest.fixture
def running_processes(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    running: list[str] = []

    async def answering(asked: object) -> list[str]:
        return running

    monkeypatch.setattr(system_disk, "_answering", answering)
    return running


def test_a_restore_without_confirmation_writes_nothing(
    peer: Peer, source: str, running_processes: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    target = tmp_path / "data"
    assert call(["system", "restore", source, "--data-dir", str(target)]) == 1
    assert not target.exists()
    assert "--yes" in capsys.readouterr().err


def test_a_restore_with_a_running_process_is_refused(
    peer: Peer, source: str, running_processes: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    running_processes.append("127.0.0.2:7660")
    target = tmp_path / "data"
    assert call(["system", "restore", source, "--data-dir", str(target), "--yes"]) == 1
    assert not target.exists()
    assert "127.0.0.2:7660" in capsys.readouterr().err


def test_a_restore_into_a_directory_that_is_not_empty_is_refused(
    peer: Peer, source: str, running_processes: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    target = tmp_path / "data"
    target.mkdir()
    (target / "witness-a").write_bytes(b"x")
    assert call(["system", "restore", source, "--data-dir", str(target), "--yes"]) == 1
    assert "is not empty" in capsys.readouterr().err
    assert [path.name for path in target.iterdir()] == ["witness-a"]


def test_a_restore_with_first_boot_in_the_settings_is_refused(
    peer: Peer, source: str, tmp_path: Path
) -> None:
    settings = tmp_path / "first.json"
    settings.write_text(json.dumps(SETTINGS | {"first_boot": True}))
    with pytest.raises(UsageError, match="first_boot"):
        call(["system", "restore", source, "--data-dir", str(tmp_path / "d"), "--settings", str(settings)])


def test_a_restore_writes_a_directory_and_prints_the_next_steps(
    peer: Peer, source: str, running_processes: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    target = tmp_path / "data"
    assert call(["system", "restore", source, "--data-dir", str(target), "--yes"]) == 0
    assert (target / "identity-a").exists()
    assert "start this control process, then the others with empty data folders" in capsys.readouterr().out


def test_numeric_columns_are_right_aligned() -> None:
    assert columns(("name", "n"), [("a", 1), ("long-name", 22)]) == [
        "name        n",
        "a           1",
        "long-name  22",
    ]


def test_a_view_shows_the_primary_and_suspected_processes() -> None:
    status = ControlStatus(
        "core-2",
        "b#1",
        "backup",
        View(4, "a", ["b#1"], ["a", "b#1", "c"], {}),
        7,
        12,
        True,
        [ProcessStatus("core-1", "control", "10.0.0.1:7661", "z", "suspect")],
        "10.0.0.1:7660",
        9,
        {"silent": 1, "ready": 2},
        DiskStatus(100, 1, 12, 12, -1, False),
    )
    text = "\n".join(view_lines("10.0.0.2:7660", status))
    for fragment in (
        "core-2 at 10.0.0.2:7660: backup, cut off from the majority",
        "epoch 4, primary a",
        "configuration  7, record 12 committed",
        "2 ready, 1 silent",
        "without reserve",
        "free space not told",
        "core-1  control  10.0.0.1:7661  z     suspect",
    ):
        assert fragment in text


def test_a_process_without_view_and_configuration_is_shown_as_such() -> None:
    status = ControlStatus(
        "c", "c#1", "learner", None, 0, 0, False, [], "", 0, {}, DiskStatus(0, 1, 0, 0, 3 << 20, True)
    )
    text = "\n".join(view_lines("a:1", status))
    for fragment in (
        "view           none yet",
        "configuration  none",
        "nobody known",
        "3 MiB free, with reserve",
    ):
        assert fragment in text


def test_runners_are_listed_with_held_and_expected_models() -> None:
    record = RunnerRecord(
        "i-1", "s", "10.0.0.5:1", "z", Stage.DRAINING, models=(HeldModel("m", 1, ("a1",)), HeldModel("n"))
    )
    entries = [
        Entry("runner/i-1", 1, 0, "o", 1, record.encode()),
        Entry("expected/i-1", 1, 1, "o", 2, b'{"n": -1.0, "p": 250.0}'),
    ]
    lines = runner_lines(entries)
    assert lines[1].split() == [
        "i-1",
        "s",
        "10.0.0.5:1",
        "z",
        "draining",
        "m+a1",
        "n",
        "n:unloading",
        "p:250ms",
    ]
    assert lines[-1] == "runners: 1 draining"


def test_placement_shows_demand_holders_and_open_orders() -> None:
    status = PlacementStatus(
        9,
        13,
        12,
        [ModelStatus("s", "m", 0.5, 1, 2, ["i-1"], ["i-2"])],
        [OrderStatus("i-2", "loading", "m", 40, False)],
    )
    lines = placement_lines("core-1", status)
    assert lines[0] == "placer core-1, fence 9: 12 of 13 loads may begin now"
    assert lines[2].split() == ["s", "m", "0.5", "1", "2", "i-1", "i-2"]
    assert lines[-1].split() == ["i-2", "loading", "m", "40", "not", "yet"]
