"""Distinct types for identifiers, so that the type checker detects, say, a runner's id used for a member's.

At run time they are plain strings and integers, also on the wire, in settings and in stored data.
"""

from __future__ import annotations

from typing import NewType

MemberId = NewType("MemberId", str)
"""Durable identity of a replica of the control state, stored in its data directory."""

RunnerId = NewType("RunnerId", str)
"""Id that a runner sends in the path of its check-ins."""

Origin = NewType("Origin", str)
"""Identifies one incarnation of a process as the source of registry entries; key of version vectors."""

RpcAddress = NewType("RpcAddress", str)
"""`host:port` at which a control process serves RPC."""

ViewEpoch = NewType("ViewEpoch", int)
"""Number of a view of the replicated control state; increases with each view."""

FencingToken = NewType("FencingToken", int)
"""Fencing token of a lease; each later holder gets a higher one (`fence` on the wire)."""
