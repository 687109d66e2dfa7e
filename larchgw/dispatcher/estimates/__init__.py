"""What the fleet does, estimated by a dispatcher that sees little of it. Free of I/O; time comes in."""

from .cold import ColdStartLimiter
from .fleet import Fleet
from .health import Health
from .loads import Loads
from .reports import Reports
from .runs import ShrunkMean, WarmThroughput, WorkEstimates
from .works import RunPredictor

__all__ = [
    "ColdStartLimiter",
    "Fleet",
    "Health",
    "Loads",
    "Reports",
    "WorkEstimates",
    "ShrunkMean",
    "WarmThroughput",
    "RunPredictor",
]
