"""What the fleet does, estimated by a dispatcher that sees little of it. Free of I/O; time comes in."""

from .cold import ColdTurns
from .fleet import Fleet
from .health import Health
from .loads import Loads
from .reports import Reports
from .runs import Runs, Shrunk, Taken
from .works import Works

__all__ = ["ColdTurns", "Fleet", "Health", "Loads", "Reports", "Runs", "Shrunk", "Taken", "Works"]
