"""Creates the generated Thrift structs of a method, and declares types for them.

The type checker does not see the generated code: the unions below are documentation only, while
`ThriftStruct` is also checked.
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
"""Argument types of the service's methods."""

Reply: TypeAlias = PullReply | PushReply | OperatorAnswer | ControlStatus
"""Reply types of the service's methods. `demand` returns nothing: its reply is None."""


class ThriftStruct(Protocol):
    """A struct of the generated code."""

    def read(self, iprot: TBinaryProtocolAccelerated) -> None:
        """Reads the fields."""

    def write(self, oprot: TBinaryProtocolAccelerated) -> None:
        """Writes the fields."""


def new_arguments(method: str, argument: Argument | None = None) -> ThriftStruct:
    """Returns the arguments struct of a method; every method has exactly one argument.

    Raises:
        AttributeError: If the service has no such method.
    """
    arguments: ThriftStruct = getattr(Control, method + "_args")(argument)
    return arguments


def new_result(method: str) -> ThriftStruct:
    """Returns an empty result struct of a method, for its reply or its declared exception.

    Raises:
        AttributeError: If the service has no such method.
    """
    result: ThriftStruct = getattr(Control, method + "_result")()
    return result
