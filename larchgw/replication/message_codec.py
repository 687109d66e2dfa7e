"""Encoding of replication messages: a JSON header followed by raw bytes.

Every body is a big-endian 32-bit header length, the header, and the raw bytes: the records of an append, or
the chunk of a snapshot. Every header carries the sender's address under "from", so that a member can answer a
new member that is not in any view yet.

The names on the wire are listed here, in the order in which they are sent. They must not change, even if the
Python names do, because members of several versions run side by side during an upgrade.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from .errors import MessageDecodeError
from .lease_actions import ActionAnnouncement, KnownActions
from .messages import (
    Accept,
    Accepted,
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    InstallSnapshot,
    InstallSnapshotReply,
    JoinRequest,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    LeaveGranted,
    LeaveRequest,
    Message,
    Prepare,
    PreVoteReply,
    PreVoteRequest,
    Promise,
    TakeOver,
)
from .view import View

_HEADER_LENGTH = struct.Struct(">I")
_SENDER_KEY = "from"
_RECORD_LENGTHS_KEY = "lengths"
_VIEW_KEY = "view"
_EPOCHS_KEY = "epochs"
_ACTS_KEY = "acts"  # omitted if None, because members of earlier versions reject the key


@dataclass(frozen=True, slots=True)
class _WireFormat:
    """The wire format of one type of message.

    Attributes:
        kind: The name of the type on the wire.
        message_type: The class of the message.
        keys: Attribute name -> key in the JSON header, in the order in which they are written. Attributes
            sent after the header (`Append.records`, `InstallSnapshot.chunk`) are not included.
    """

    kind: str
    message_type: type[Any]
    keys: Mapping[str, str]

    @property
    def attributes(self) -> Mapping[str, str]:
        """Key in the JSON header -> attribute name."""
        return {key: attribute for attribute, key in self.keys.items()}


_FORMATS = (
    _WireFormat("probe", PreVoteRequest, {"round": "round"}),
    _WireFormat(
        "probe_reply",
        PreVoteReply,
        {"round": "round", "granted": "granted", "promised": "promised", "view": _VIEW_KEY},
    ),
    _WireFormat("prepare", Prepare, {"epoch": "epoch"}),
    _WireFormat(
        "promise",
        Promise,
        {"epoch": "epoch", "granted": "granted", "promised": "promised", "view": _VIEW_KEY},
    ),
    _WireFormat("accept", Accept, {"view": _VIEW_KEY}),
    _WireFormat("accepted", Accepted, {"epoch": "epoch", "granted": "granted", "promised": "promised"}),
    _WireFormat("heartbeat", Heartbeat, {"epoch": "epoch", "round": "round", "committed_index": "commit"}),
    _WireFormat(
        "heartbeat_reply",
        HeartbeatReply,
        {
            "epoch": "epoch",
            "round": "round",
            "granted": "granted",
            "promised": "promised",
            "view_epoch": "view_epoch",
            "view": _VIEW_KEY,
        },
    ),
    _WireFormat(
        "append",
        Append,
        {
            "epoch": "epoch",
            "previous_index": "previous_index",
            "previous_epoch": "previous_epoch",
            "committed_index": "commit",
            "epochs": _EPOCHS_KEY,
        },
    ),
    _WireFormat(
        "install",
        InstallSnapshot,
        {
            "epoch": "epoch",
            "index": "index",
            "index_epoch": "index_epoch",
            "offset": "offset",
            "size_bytes": "size",
            "checksum": "checksum",
        },
    ),
    _WireFormat(
        "install_reply", InstallSnapshotReply, {"epoch": "epoch", "index": "index", "offset": "offset"}
    ),
    _WireFormat("append_reply", AppendReply, {"epoch": "epoch", "matched": "matched", "index": "index"}),
    _WireFormat("join", JoinRequest, {"member": "member", "address": "address"}),
    _WireFormat("leave", LeaveRequest, {"member": "member"}),
    _WireFormat("left", LeaveGranted, {"epoch": "epoch"}),
    _WireFormat("take_over", TakeOver, {"epoch": "epoch"}),
    _WireFormat(
        "lease_ask",
        LeaseRequest,
        {
            "name": "name",
            "fencing_token": "fence",
            "is_renewal": "renewal",
            "view_epoch": "view_epoch",
            "attempt": "attempt",
            "is_acting": "acting",
            "announcement": _ACTS_KEY,
        },
    ),
    _WireFormat(
        "lease_answer",
        LeaseReply,
        {
            "name": "name",
            "attempt": "attempt",
            "granted": "granted",
            "fencing_token": "fence",
            "actor": "actor",
            "acting_token": "acting_fence",
            "remaining_s": "remaining",
            "view": _VIEW_KEY,
            "known_actions": _ACTS_KEY,
        },
    ),
    _WireFormat("lease_release", LeaseRelease, {"name": "name", "fencing_token": "fence"}),
)
_FORMAT_BY_TYPE = {wire_format.message_type: wire_format for wire_format in _FORMATS}
_FORMAT_BY_KIND = {wire_format.kind: wire_format for wire_format in _FORMATS}
_NESTED_TYPES = (View, ActionAnnouncement, KnownActions)
_ACTS_TYPE_BY_KIND: Mapping[str, type[ActionAnnouncement] | type[KnownActions]] = {
    "lease_ask": ActionAnnouncement,
    "lease_answer": KnownActions,
}
_ATTRIBUTES_BY_KIND = {wire_format.kind: wire_format.attributes for wire_format in _FORMATS}


def encode(message: Message, address: str) -> tuple[str, bytes]:
    """Returns the kind and the body of a message from the member at `address`."""
    wire_format = _FORMAT_BY_TYPE[type(message)]
    header: dict[str, Any] = {_SENDER_KEY: address}
    for attribute, key in wire_format.keys.items():
        value = getattr(message, attribute)
        if key == _ACTS_KEY and value is None:
            continue
        header[key] = value.to_json() if isinstance(value, _NESTED_TYPES) else value
    payload: Sequence[bytes] = ()
    if isinstance(message, Append):
        payload = message.records
        header[_RECORD_LENGTHS_KEY] = [len(record) for record in payload]
    elif isinstance(message, InstallSnapshot):
        payload = (message.chunk,)
    encoded = json.dumps(header, separators=(",", ":")).encode()
    return wire_format.kind, b"".join((_HEADER_LENGTH.pack(len(encoded)), encoded, *payload))


def decode(kind: str, body: bytes) -> tuple[Message, str]:
    """Returns the message and its sender's address.

    Raises:
        MessageDecodeError: The kind is not known, or the body is invalid for it.
    """
    try:
        wire_format = _FORMAT_BY_KIND[kind]
        (length,) = _HEADER_LENGTH.unpack_from(body)
        payload_start = _HEADER_LENGTH.size + length
        header = json.loads(body[_HEADER_LENGTH.size : payload_start])
        address = str(header.pop(_SENDER_KEY))
        payload = _payload_arguments(kind, header, body, payload_start)
        return wire_format.message_type(**payload, **_header_arguments(kind, header)), address
    except (KeyError, TypeError, ValueError, AttributeError, struct.error) as error:
        raise MessageDecodeError(kind, str(error)) from error


def _payload_arguments(kind: str, header: dict[str, Any], body: bytes, start: int) -> dict[str, Any]:
    """Reads the attributes that follow the header."""
    if kind == "append":
        return {"records": _records(header.pop(_RECORD_LENGTHS_KEY), body, start)}
    if kind == "install":
        return {"chunk": bytes(body[start:])}
    return {}


def _header_arguments(kind: str, header: dict[str, Any]) -> dict[str, Any]:
    """Reads the attributes in the header; raises KeyError for a key that this kind does not have."""
    if header.get(_VIEW_KEY) is not None:
        header[_VIEW_KEY] = View.from_json(header[_VIEW_KEY])
    if _EPOCHS_KEY in header:
        header[_EPOCHS_KEY] = tuple(header[_EPOCHS_KEY])
    if _ACTS_KEY in header:
        header[_ACTS_KEY] = _ACTS_TYPE_BY_KIND[kind].from_json(header[_ACTS_KEY])
    attributes = _ATTRIBUTES_BY_KIND[kind]
    return {attributes[key]: value for key, value in header.items()}


def _records(lengths: list[int], body: bytes, start: int) -> tuple[bytes, ...]:
    records = []
    for length in lengths:
        records.append(bytes(body[start : start + length]))
        start += length
    if start != len(body):
        raise ValueError("record lengths do not add up to the length of the body")
    return tuple(records)
