"""The generated thrift structs by the methods that they belong to, and types for them.

The type checker sees none of the generated code: the unions below are for readers, `ThriftStruct` for both.
"""

from __future__ import annotations

from typing import Protocol, TypeAlias

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated

from .generated import Control
from .generated.ttypes import (
    ControlStatus,
    DemandReport,
    OperatorAnswer,
    OperatorCall,
    PeerMessage,
    PullReply,
    PullRequest,
    PushReply,
    PushRequest,
    StatusRequest,
)

Argument: TypeAlias = PullRequest | PushRequest | DemandReport | OperatorCall | PeerMessage | StatusRequest
"""What the methods of the service take."""

Reply: TypeAlias = PullReply | PushReply | OperatorAnswer | ControlStatus
"""What the methods of the service return. `demand` returns nothing: its reply is None."""


class ThriftStruct(Protocol):
    """A struct of the generated code."""

    def read(self, iprot: TBinaryProtocolAccelerated) -> None:
        """Reads the fields."""

    def write(self, oprot: TBinaryProtocolAccelerated) -> None:
        """Writes the fields."""


def new_arguments(method: str, argument: Argument | None = None) -> ThriftStruct:
    """Returns the struct of a method's arguments, of which each method has one.

    Raises:
        AttributeError: If the service has no such method.
    """
    arguments: ThriftStruct = getattr(Control, method + "_args")(argument)
    return arguments


def new_result(method: str) -> ThriftStruct:
    """Returns the empty struct of a method's result: its reply, or the exception that it declares.

    Raises:
        AttributeError: If the service has no such method.
    """
    result: ThriftStruct = getattr(Control, method + "_result")()
    return result
