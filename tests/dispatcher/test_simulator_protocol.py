"""The codec of the simulator's protocol, on hand-built frames in both directions."""

import io
import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from larchgw.dispatcher.scheduling.interface import Status
from larchgw.dispatcher.simulator_protocol import wire
from larchgw.dispatcher.simulator_protocol.wirehost import Host, serve

CLASS = {"name": "a", "aim": 0.4, "deadline": 6.0, "effect": "deduplicated", "group": "zone"}
SETTINGS = {
    "requestClasses": [CLASS | {"points": 10.0, "memorySpan": 10.0}],
    "nInstances": 3,
    "unheardOf": {"x": 1},
    "report": {"fields": ["x0", "q", "novel"], "via": "piggyback"},
    "familyInfo": {"reportX0": "free slots", "classStretch": [2.0], "tellsStart": True},
}


def frame(*records: tuple[int, bytes], now: float = 7.5) -> bytes:
    body = b"".join(struct.pack("<BI", code, len(fields)) + fields for code, fields in records)
    return struct.pack("<dI", now, len(records)) + body


def spawn(i: int = 3) -> tuple[int, bytes]:
    text = json.dumps(SETTINGS).encode()
    return wire.SPAWN, struct.pack("<HQI", i, 99, len(text)) + text


WORKER = bytes([10, 18, 74, 7]) + struct.pack("<H", 7000)
LEDGER = (wire.LEDGER, struct.pack("<HI", 0, 1) + struct.pack("<BdH6sBfH", 1, 0.0, 0, WORKER, 0, 1.0, 5))
SYNC = (wire.SYNC, struct.pack("<HBIH", 3, 2, 41, 0))
ORDER = (wire.ORDER, struct.pack("<HIQHfddfBH", 3, 77, 5, 0, 0.0, 0.019, 13.5, 2.0, 1, 1))


def records(reply: bytes) -> list[tuple[int, bytes]]:
    size, count = struct.unpack_from("<II", reply)
    assert size == len(reply) - 4
    found, at = [], 8
    for _ in range(count):
        code, length = struct.unpack_from("<BI", reply, at)
        found.append((code, reply[at + 5 : at + 5 + length]))
        at += 5 + length
    assert at == len(reply)
    return found


def test_an_empty_batch_has_the_empty_reply() -> None:
    now, events = wire.decode(bytes.fromhex("508d976e12d3204000000000"))
    assert list(events) == []
    assert 8.4 < now < 8.5
    assert wire.encode_reply([]) == bytes.fromhex("0400000000000000")


def test_a_request_is_routed_to_the_listed_worker() -> None:
    reply = Host().answer(frame(spawn(), LEDGER, SYNC, ORDER))
    sends = [fields for code, fields in records(reply) if code == 0]
    assert sends == [struct.pack("<HI6sd", 3, 77, WORKER, 0.0)]


def test_every_event_is_read() -> None:
    load = struct.pack("<2f", 1.0, 2.0)
    f = frame(
        (wire.RESOLVED, struct.pack("<HIB6sBHHdB", 3, 77, 0, WORKER, 1, 302, 2, 0.25, 2) + load),
        (wire.UPDATE, struct.pack("<HIf6sBH", 3, 77, 0.5, WORKER, 2, 1)),
        (wire.HEADERS, struct.pack("<HIH6sd", 3, 77, 1, WORKER, 0.1)),
        (wire.PINGED, struct.pack("<H6sHdB", 3, WORKER, 100, 0.1, 2) + load),
        (wire.INBOX, struct.pack("<HHH", 3, 1, 2) + b"hi"),
        (wire.FIRED, struct.pack("<HI", 3, 9)),
        (wire.EXIT, struct.pack("<H", 3)),
    )
    got = [content for _, _, content in wire.decode(f)[1]]
    assert (got[0].status, got[0].attempt, got[0].closed, list(got[0].report)) == (
        Status.FULL,
        2,
        True,
        [1, 2],
    )
    assert (got[1].started, got[1].share, got[1].worker) == (False, 0.5, WORKER)
    assert got[2] == (77, 1)
    assert got[3][:2] == (WORKER, Status.OK)
    assert got[4] == (1, b"hi")
    assert got[5:] == [9, None]


def test_actions_are_written_as_the_page_shows() -> None:
    out: list[bytes] = []
    act = wire.WireActions(out, 3)
    act.refuse(0x0E6F2B19, 0.25)
    act.fail(7)
    act.cancel(7, 1)
    act.timer(8.5, 77)
    act.probe(WORKER)
    act.subscribe()
    codes = [code for code, _ in records(wire.encode_reply(out))]
    assert codes == [1, 2, 3, 4, 5, 10]
    assert out[0] == bytes.fromhex("010e0000000300192b6f0e000000000000d03f")


def test_settings_skip_what_is_unknown() -> None:
    s = wire.decode_settings(json.dumps(SETTINGS).encode())
    assert (s.instances, s.slot_reports, s.queue_reports, s.tells_start) == (3, 0, 1, True)
    assert (s.classes[0].effect, s.classes[0].group, s.classes[0].stretch) == ("deduplicated", "zone", 2.0)


@pytest.mark.parametrize(
    "bad",
    [
        frame(spawn())[:-3],
        frame((77, b"")),
        frame((wire.FIRED, b"\x03")),
        frame((wire.FIRED, struct.pack("<HI", 3, 9))),
        frame((wire.SPAWN, struct.pack("<HQI", 1, 1, 3) + b"{]}")),
        frame((wire.SPAWN, struct.pack("<HQI", 1, 1, 2) + b"{}")),
        frame(spawn(), SYNC),
        frame() + b"x",
    ],
)
def test_malformed_input_ends_with_a_message_and_no_half_reply(
    bad: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    sink = io.BytesIO()
    assert serve(io.BytesIO(struct.pack("<I", len(bad)) + bad), sink) == 1
    assert sink.getvalue() == b""
    assert "larchgw:" in capsys.readouterr().err


def test_end_of_input_is_a_clean_exit() -> None:
    root = Path(__file__).parents[2]
    host = [sys.executable, "-m", "larchgw.dispatcher.simulator_protocol.wirehost"]
    done = subprocess.run(host, input=b"", cwd=root, capture_output=True)
    assert (done.returncode, done.stdout) == (0, b"")
    cut = subprocess.run(host, input=b"\x10", cwd=root, capture_output=True)
    assert cut.returncode == 1
    assert cut.stdout == b""
    assert cut.stderr


def test_our_own_fault_is_said_on_the_wire(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("larchgw.dispatcher.scheduling.scheduler.Dispatcher.on_request", lambda *a: 1 / 0)
    reply = Host().answer(frame(spawn(), LEDGER, SYNC, ORDER))
    assert any(code == 9 and b"ZeroDivisionError" in fields for code, fields in records(reply))
