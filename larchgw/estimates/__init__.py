"""What the fleet does, estimated by a dispatcher that sees little of it. Free of I/O; time comes in."""

from .cold import ColdTurns
from .fleet import Fleet
from .loads import Loads
from .runs import Runs, Shrunk, Taken

__all__ = ["ColdTurns", "Fleet", "Loads", "Runs", "Shrunk", "Taken"]
