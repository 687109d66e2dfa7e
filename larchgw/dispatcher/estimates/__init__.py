"""Estimates of the state of the fleet from the partial view of one dispatcher.

The modules do no I/O, and the caller passes in the time.
"""

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
