"""Frames of every call and reply must be encoded to, and decoded from, the recorded bytes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from thrift.Thrift import TApplicationException, TMessageType

from larchgw.rpc.codec import (
    FrameReader,
    Message,
    decode_message,
    decode_struct,
    encode_message,
    encode_struct,
)
from larchgw.rpc.generated import Control
from larchgw.rpc.generated.ttypes import (
    ControlStatus,
    DemandReport,
    DiskStatus,
    Entry,
    ModelDemand,
    ModelStatus,
    OperatorAnswer,
    OperatorCall,
    OrderStatus,
    PeerMessage,
    PlacementStatus,
    ProcessStatus,
    PullReply,
    PullRequest,
    PushReply,
    PushRequest,
    StatusRequest,
    Unavailable,
    View,
)

RECORDED: dict[str, str] = json.loads(
    (Path(__file__).parents[1] / "fixtures" / "rpc" / "frames.json").read_text()
)

ENTRY = Entry("runner/a", 1 << 40, -1, "core-1.0badcafe", 7, b"\x00\xff{}")
REPORT = DemandReport("edge-1", 500, [ModelDemand("chat", "m", "a", 3, 2, 1, 250, 1.5)])
VIEW = View(9, "core-1", ["core-2"], ["core-3"], {"core-1": "10.0.0.1:7660"})
PLACEMENT = PlacementStatus(
    17,
    4,
    3,
    [ModelStatus("chat", "m", 2.5, 1, 2, ["r1"], ["r2"])],
    [OrderStatus("r2", "loading", "m/a", 1200, True)],
)
STATUS = ControlStatus(
    "core-1",
    "core-1#00ff",
    "primary",
    VIEW,
    5,
    44,
    False,
    [ProcessStatus("edge-1", "edge", "10.0.0.1:7662", "zone-é", "suspect")],
    "10.0.0.1:7660",
    17,
    {"ready": 12},
    DiskStatus(4096, 1, 44, 43, -1, True),
    PLACEMENT,
)
UNAVAILABLE = Unavailable("this process is cut off", "ask another control process")

CALL, REPLY = TMessageType.CALL, TMessageType.REPLY
PEER_MESSAGE = PeerMessage("core-1", "core-2", "append", b"\x01\x02")
MESSAGES = {
    "pull call": Message(
        "pull", CALL, 1, Control.pull_args(PullRequest("edge-1", {"core-1": 3}, 900, ["runner/"]))
    ),
    "pull reply": Message(
        "pull", REPLY, 1, Control.pull_result(PullReply([ENTRY], {"core-1": 4}, True, False, ["10.0.0.1:1"]))
    ),
    "pull unavailable": Message("pull", REPLY, 2, Control.pull_result(None, UNAVAILABLE)),
    "push call": Message("push", CALL, 3, Control.push_args(PushRequest("core-1", [ENTRY, ENTRY]))),
    "push reply": Message("push", REPLY, 3, Control.push_result(PushReply({"core-1": 4}))),
    "push unavailable": Message("push", REPLY, 3, Control.push_result(None, UNAVAILABLE)),
    "demand call": Message("demand", CALL, 4, Control.demand_args(REPORT)),
    "demand reply": Message("demand", REPLY, 4, Control.demand_result()),
    "demand unavailable": Message("demand", REPLY, 4, Control.demand_result(UNAVAILABLE)),
    "submit call": Message("submit", CALL, 5, Control.submit_args(OperatorCall("replace", -1, b"{}"))),
    "submit reply": Message(
        "submit", REPLY, 5, Control.submit_result(OperatorAnswer(200, b"{}", "10.0.0.1:7660"))
    ),
    "submit unavailable": Message("submit", REPLY, 5, Control.submit_result(None, UNAVAILABLE)),
    "deliver call": Message("deliver", TMessageType.ONEWAY, 0, Control.deliver_args(PEER_MESSAGE)),
    "status call": Message("status", CALL, 0x7FFFFFFF, Control.status_args(StatusRequest(True))),
    "status reply": Message("status", REPLY, 0x7FFFFFFF, Control.status_result(STATUS)),
    "exception": Message(
        "status", TMessageType.EXCEPTION, 6, TApplicationException(6, "KeyError('no such runner')")
    ),
}
STRUCTS: dict[str, Any] = {"entry": ENTRY, "peer message": PEER_MESSAGE, "view": VIEW, "status": STATUS}


def frame_of(message: Message) -> str:
    return encode_message(message.method, message.kind, message.sequence, message.body).hex()


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_message_is_written_to_the_recorded_frame(name: str) -> None:
    assert frame_of(MESSAGES[name]) == RECORDED[name]


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_recorded_frame_is_read_to_the_same_message(name: str) -> None:
    [frame] = FrameReader().feed(bytes.fromhex(RECORDED[name]))
    read, expected = decode_message(frame), MESSAGES[name]
    assert (read.method, read.kind, read.sequence) == (expected.method, expected.kind, expected.sequence)
    if isinstance(expected.body, TApplicationException):
        assert (read.body.type, read.body.message) == (expected.body.type, expected.body.message)
    else:
        assert read.body == expected.body


@pytest.mark.parametrize("name", sorted(STRUCTS))
def test_struct_is_written_to_and_read_from_the_recorded_bytes(name: str) -> None:
    recorded = bytes.fromhex(RECORDED[f"struct {name}"])
    assert encode_struct(STRUCTS[name]) == recorded
    assert decode_struct(type(STRUCTS[name]), recorded) == STRUCTS[name]


def test_every_method_and_struct_is_recorded() -> None:
    assert {message.method for message in MESSAGES.values()} == {
        method for method in vars(Control.Iface) if not method.startswith("_")
    }
    assert set(RECORDED) == set(MESSAGES) | {f"struct {name}" for name in STRUCTS}
