"""Types of identifiers that packages exchange, so that a runner's id is never taken for a process's.

At run time each is the plain value; the wire, the settings and stored data hold it as it is.
"""

from __future__ import annotations

from typing import NewType

MemberId = NewType("MemberId", str)
"""The durable identity of a member of the replicated control state (kept in its data folder)."""

RunnerId = NewType("RunnerId", str)
"""The id that a runner names in the path of its check-ins."""

Origin = NewType("Origin", str)
"""One incarnation of a process as the source of registry entries; a key of version vectors."""

RpcAddress = NewType("RpcAddress", str)
"""`host:port` where a control process serves rpc."""

ViewEpoch = NewType("ViewEpoch", int)
"""Number of a view of the replicated control state; rises with each view."""

FencingToken = NewType("FencingToken", int)
"""Number of one holding of a lease; a later holder's is higher (`fence` on the wire)."""
