"""Errors of the explorations, and the simulated crash of a process during a write."""

from __future__ import annotations


class ModelCheckingError(Exception):
    """Base of all errors that explorations raise."""


class InvariantError(ModelCheckingError):
    """An invariant is violated; the message says which one, by which process and when."""


class SimulatedCrashError(ModelCheckingError):
    """The machine has lost power, or the process was killed, in the middle of a write.

    Raised by the simulated disk. Propagates through the code under test to the simulated machine, which
    ends the process.
    """
