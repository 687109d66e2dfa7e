"""The models on loopback sockets: boxes, discovery and open-loop clients of the platform's protocol.

The models are the ones of virtual time; only what carries them differs. All runs in one asyncio loop, in a
process other than the dispatcher's, and every record is kept on this side.
"""

from .clients import Clients
from .installation import Installation
from .realtime import RealTime
from .settings import dispatcher_settings

__all__ = ["Clients", "Installation", "RealTime", "dispatcher_settings"]
